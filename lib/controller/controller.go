// Package controller is the control loop of a cell: under a lease it keeps the ledgers of the targets, gives
// orders to engines as planned by lib/placement, publishes the placement view, and keeps the slot table and
// the witness list of the manifest.
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
	// reportPeriod is the least time between two reports of a target, and the time between attempts while a
	// target does not answer.
	reportPeriod   = time.Second
	reportDeadline = 700 * time.Millisecond
	kvDeadline     = 2 * time.Second
	// orderDeadline bounds a load at a slowed-down weight store. A missed deadline puts the order in doubt.
	orderDeadline = 30 * time.Second
	// viewDelay is the time for a published view to reach all gateways. A copy leaves the view this long
	// before its unload is ordered.
	viewDelay = 3 * time.Second
	// unreachableAfter is the time without a report after which a target counts as failed.
	unreachableAfter = 3 * time.Second
	// retryFirst and retryMax bound the delay between attempts to resolve an order in doubt, and before a
	// refused order is tried again.
	retryFirst = time.Second
	retryMax   = 30 * time.Second
	// campaignRetry is the pause after a failed campaign.
	campaignRetry = time.Second
	// keepPeriod is the period of the work on the manifest.
	keepPeriod = time.Second
	// compactPeriod is the period of compaction, which lists a few keys when there is nothing to do.
	compactPeriod = time.Minute
)

// defaultReports is the number of reports a second over all targets. Beyond as many targets, each reports
// less often, and a failed one is found through the gateways' suspicions.
const defaultReports = 40

// planTargets is the number of hosts from which on plans are made less often, to bound the processor time.
// With a cell of 834 targets a plan is made every second, so a burst still has its order within two.
const planTargets = 250

// maxJobs bounds the targets that are worked on at the same time.
const maxJobs = 256

// Campaign is the lease of the cell's controller.
type Campaign interface {
	lease.Checker
	// Campaign blocks until the lease is held and returns its epoch. lost is closed when the lease is
	// known to be lost.
	Campaign(ctx context.Context) (epoch int64, lost <-chan struct{}, err error)
	// Resign releases the lease.
	Resign(ctx context.Context) error
}

// Writer changes the manifest. The function may be called again after a conflict.
type Writer interface {
	Update(ctx context.Context, change func(*manifest.Manifest) (manifest.Restriction, error)) (*manifest.Manifest, error)
}

// Compactor writes a snapshot of the accepted tickets when one is due, and deletes what earlier ones replaced.
type Compactor interface {
	Compact(ctx context.Context) error
}

// Planner plans actions; *placement.Planner implements it.
type Planner interface {
	Plan(in *placement.Input) []placement.Action
}

// Config holds the settings of a controller.
type Config struct {
	Cell   string
	Limits weights.Limits
	// ReportsPerSecond bounds the reports fetched from all targets together; zero stands for 40.
	ReportsPerSecond int
}

// Deps are the interfaces that a controller works through. Manifest and Compactor may be nil.
type Deps struct {
	KV        kv.Store
	View      confview.View
	Engines   engine.Control
	Lease     Campaign
	Manifest  Writer
	Compactor Compactor
	// NewPlanner makes the planner of a term; nil stands for the planner of lib/placement.
	NewPlanner func() Planner
	Log        *slog.Logger
}

// Controller runs the control loop. It is safe for concurrent use.
type Controller struct {
	cfg  Config
	deps Deps
	met  *meters

	mu       sync.Mutex
	tracker  *placement.Tracker // guarded by mu
	reported map[string]gateway // guarded by mu; by gateway id
	term     *term              // guarded by mu; nil while not active
}

type gateway struct {
	boot string
	seq  int64
	at   time.Time
}

// errTermOver ends a term: the lease is lost or a newer controller has written.
var errTermOver = errors.New("controller: lease lost; another controller takes over")

// New returns a controller.
func New(cfg Config, deps Deps) *Controller {
	if deps.NewPlanner == nil {
		deps.NewPlanner = func() Planner { return placement.New(placement.DefaultConfig()) }
	}
	if cfg.ReportsPerSecond <= 0 {
		cfg.ReportsPerSecond = defaultReports
	}
	if deps.Log == nil {
		deps.Log = slog.Default()
	}
	return &Controller{
		cfg: cfg, deps: deps, met: newMeters(), tracker: placement.NewTracker(), reported: map[string]gateway{},
	}
}

// Run campaigns for the lease and works under it until ctx ends. It then records the orders in progress,
// releases the lease and returns nil.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		epoch, lost, err := c.deps.Lease.Campaign(ctx)
		if err != nil {
			if ctx.Err() == nil {
				c.deps.Log.Warn("campaign failed", "err", err)
				sleep(ctx, campaignRetry)
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), kvDeadline)
	defer cancel()
	if err := c.deps.Lease.Resign(ctx); err != nil {
		c.deps.Log.Warn("lease not released; it expires", "err", err)
	}
}

// Active reports whether this controller holds the lease.
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

// Service is the RPC service of the controller, to be registered under demand.Service.
type Service struct{ c *Controller }

// Service returns the RPC service.
func (c *Controller) Service() *Service { return &Service{c} }

// Demand takes a gateway's report. A controller that is not active counts it too, so that it knows the
// demand if it takes over.
func (s *Service) Demand(r *demand.Report, reply *demand.Reply) error {
	s.c.observe(r)
	s.c.suspect(r.Suspects)
	reply.Active = s.c.Active()
	return nil
}

func (c *Controller) observe(r *demand.Report) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.reported[r.Gateway]; g.boot == r.Boot && g.seq >= r.Seq {
		return
	}
	c.reported[r.Gateway] = gateway{r.Boot, r.Seq, now}
	for _, m := range r.Models {
		c.tracker.Add(now, m.Name, m.Requests, m.Prompt, m.Output)
		c.tracker.Queue(now, m.Name, r.Gateway, m.Queue)
	}
	for id, g := range c.reported {
		if now.Sub(g.at) > time.Hour {
			delete(c.reported, id)
		}
	}
}

// suspect makes the controller ask the targets that a gateway could not use.
func (c *Controller) suspect(ids []string) {
	c.mu.Lock()
	tm := c.term
	c.mu.Unlock()
	if tm == nil || len(ids) == 0 {
		return
	}
	tm.state.Lock()
	defer tm.state.Unlock()
	for _, id := range ids {
		if t := tm.targets[id]; t != nil {
			t.suspected = true
		}
	}
}

func (c *Controller) demand() map[string]placement.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Snapshot(time.Now())
}

func (c *Controller) setTerm(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
