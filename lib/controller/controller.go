// Package controller runs the control loop of a cell. While it holds the cell's lease, it maintains the ledgers of the
// targets, sends engines the orders planned by lib/placement, publishes the placement view, and assigns quota slots
// and witnesses in the manifest.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/demand"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/weights"
)

// Durations of the control loop.
const (
	planPeriod = 250 * time.Millisecond
	// minReportInterval is the minimum time between two reports of a target, and the time between attempts while the
	// target does not answer.
	minReportInterval = time.Second
	reportTimeout     = 700 * time.Millisecond
	kvTimeout         = 2 * time.Second
	// orderTimeout allows for a load from a slow weight store. An order that exceeds it has an unknown outcome.
	orderTimeout = 30 * time.Second
	// viewPropagationDelay is the time in which a published view reaches all gateways. A copy is removed from the view
	// this long before its unload is sent.
	viewPropagationDelay = 3 * time.Second
	// unreachableTimeout is the time after which a target that does not answer report requests counts as failed.
	unreachableTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between attempts to resolve an order of unknown outcome, and the
	// delay before a refused order is sent again.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// campaignRetryDelay is the time between a failed campaign and the next.
	campaignRetryDelay = time.Second
	// manifestCheckPeriod is the time between two checks of the slots and witnesses in the manifest.
	manifestCheckPeriod = time.Second
	// compactionPeriod is the time between two calls of the compactor, which lists a few keys if there is nothing to do.
	compactionPeriod = time.Minute
)

// defaultReportsPerSecond is the number of reports fetched per second from all targets together. With more targets
// than that, each is asked less often than every second, and a failed one is detected through suspicions of gateways.
const defaultReportsPerSecond = 40

// hostsPerPlanPeriod is the number of hosts with which the time between plans grows by one more planPeriod, to bound the
// processor time. A cell of 834 targets is planned every second, so a burst gets its order within two seconds.
const hostsPerPlanPeriod = 250

// maxConcurrentJobs bounds the number of jobs that run at the same time, one per target.
const maxConcurrentJobs = 256

// Lease is the lease that the controller of a cell holds.
type Lease interface {
	lease.Checker
	// Campaign blocks until the lease is acquired and returns its epoch. The channel lost is closed when the lease
	// is known to be lost.
	Campaign(ctx context.Context) (epoch int64, lost <-chan struct{}, err error)
	// Resign releases the lease.
	Resign(ctx context.Context) error
}

// ManifestWriter updates the manifest. Update may call change again after a conflict.
type ManifestWriter interface {
	Update(ctx context.Context, change func(*manifest.Manifest) (manifest.Restriction, error)) (*manifest.Manifest, error)
}

// Compactor writes a snapshot of the accepted tickets when one is due, and deletes the keys that earlier snapshots made
// obsolete.
type Compactor interface {
	Compact(ctx context.Context) error
}

// Planner plans loads and unloads of models and adapters. *placement.Planner implements it.
type Planner interface {
	Plan(in *placement.Input) []placement.Action
}

// Config holds the settings of a controller.
type Config struct {
	Cell   string         // name of the cell
	Limits weights.Limits // limits of loads from the weight store
	// ReportsPerSecond bounds the number of reports fetched per second from all targets together. Zero means 40.
	ReportsPerSecond int
}

// Deps holds the dependencies of a controller. Manifest and Compactor may be nil.
type Deps struct {
	KV        kv.Store
	View      confview.View
	Engines   engine.Control
	Lease     Lease
	Manifest  ManifestWriter
	Compactor Compactor
	// NewPlanner returns the planner for a new term. Nil means the planner of lib/placement.
	NewPlanner func() Planner
	Log        *slog.Logger
}

// Controller runs the control loop. It is safe for concurrent use.
type Controller struct {
	cfg     Config
	deps    Deps
	metrics *controllerMetrics

	mu             sync.Mutex
	tracker        *placement.Tracker       // guarded by mu
	gatewayReports map[string]gatewayReport // guarded by mu; by gateway id
	term           *term                    // guarded by mu; nil while the lease is not held
}

// gatewayReport identifies the last demand report of a gateway.
type gatewayReport struct {
	boot       string
	seq        int64
	receivedAt time.Time
}

// errTermOver ends a term: the lease is lost, or a newer controller has written to the store.
var errTermOver = errors.New("controller: lease lost; another controller takes over")

// New returns a controller.
func New(cfg Config, deps Deps) *Controller {
	if deps.NewPlanner == nil {
		deps.NewPlanner = func() Planner { return placement.New(placement.DefaultConfig()) }
	}
	if cfg.ReportsPerSecond <= 0 {
		cfg.ReportsPerSecond = defaultReportsPerSecond
	}
	if deps.Log == nil {
		deps.Log = slog.Default()
	}
	return &Controller{
		cfg: cfg, deps: deps, metrics: newControllerMetrics(), tracker: placement.NewTracker(),
		gatewayReports: map[string]gatewayReport{},
	}
}

// Run campaigns for the lease and runs the control loop while it holds it, until ctx ends. It then waits until the
// orders in progress are recorded, releases the lease and returns nil.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		epoch, lost, err := c.deps.Lease.Campaign(ctx)
		if err != nil {
			if ctx.Err() == nil {
				c.deps.Log.Warn("campaign for the placement lease failed", "err", err)
				sleep(ctx, campaignRetryDelay)
			}
			continue
		}
		c.deps.Log.Info("term begins", "cell", c.cfg.Cell, "epoch", epoch)
		err = c.runTerm(ctx, epoch, lost)
		c.deps.Log.Info("term ended", "cell", c.cfg.Cell, "epoch", epoch, "err", err)
		c.resign(ctx)
	}
	return nil
}

func (c *Controller) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), kvTimeout)
	defer cancel()
	if err := c.deps.Lease.Resign(ctx); err != nil {
		c.deps.Log.Warn("placement lease not released; it will expire", "err", err)
	}
}

// Active reports whether the controller is in a term and holds the lease.
func (c *Controller) Active() bool {
	c.mu.Lock()
	active := c.term != nil
	c.mu.Unlock()
	if !active {
		return false
	}
	_, ok := c.deps.Lease.Held()
	return ok
}

// Service is the RPC service of the controller. It is registered under the name demand.Service.
type Service struct{ c *Controller }

// Service returns the RPC service.
func (c *Controller) Service() *Service { return &Service{c} }

// Demand receives a gateway's report of demand and suspected targets. A controller that is not active counts the
// demand as well, so that it knows it when it acquires the lease.
func (s *Service) Demand(r *demand.Report, reply *demand.Reply) error {
	s.c.recordDemand(r)
	s.c.markSuspected(r.Suspects)
	reply.Active = s.c.Active()
	return nil
}

// recordDemand adds a gateway's report to the demand, unless it is a duplicate or older than the last one.
func (c *Controller) recordDemand(r *demand.Report) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gatewayReports[r.Gateway]; g.boot == r.Boot && g.seq >= r.Seq {
		return
	}
	c.gatewayReports[r.Gateway] = gatewayReport{r.Boot, r.Seq, now}
	for _, m := range r.Models {
		c.tracker.Add(now, m.Name, m.Requests, m.Prompt, m.Output)
		c.tracker.SetQueueLength(now, m.Name, r.Gateway, m.Queue)
	}
	for id, g := range c.gatewayReports {
		if now.Sub(g.receivedAt) > time.Hour {
			delete(c.gatewayReports, id)
		}
	}
}

// markSuspected marks targets that a gateway could not use, so that their reports are fetched sooner.
func (c *Controller) markSuspected(ids []string) {
	c.mu.Lock()
	tm := c.term
	c.mu.Unlock()
	if tm == nil || len(ids) == 0 {
		return
	}
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	for _, id := range ids {
		if t := tm.targets[id]; t != nil {
			t.suspected = true
		}
	}
}

func (c *Controller) demandSnapshot() map[string]placement.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Snapshot(time.Now())
}

func (c *Controller) setTerm(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
