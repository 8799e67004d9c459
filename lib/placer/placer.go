// Package placer implements the placement role: one host at a time, the controller, holds the placement lease and sends
// the orders that load models and adapters at targets and unload them.
//
// Each order states how many orders its target has accepted before. Of all orders that state the same number, the target
// executes at most one. An unanswered order, whether this controller or its predecessor sent it, therefore cannot be
// executed in addition to a later one.
package placer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/residency"
	"cuminhook.org/cuminhook/lib/sleep"
)

const (
	// planInterval is the shortest time between two runs of the planner, which take at most the fraction 1/planRestDivisor of
	// the controller's time: plans of a thousand targets take tens of milliseconds on a small host, which also serves requests.
	planInterval    = 100 * time.Millisecond
	planRestDivisor = 10
	// publishDelay is the time in which changes of adapters are gathered to be published together: hosts ask for hundreds a second.
	publishDelay = 50 * time.Millisecond
	// maxLoadBurst is the maximum number of loads from the weight store that may start at once. The platform tolerates
	// three loads above its rate in a window.
	maxLoadBurst = 2
	// excessLoads is how many loads above its rate the platform tolerates in a window.
	excessLoads = 3
	// loadRateFraction is the fraction of the tolerated load rate that the planner uses. The remainder allows for orders
	// that are executed late and close together.
	loadRateFraction = 0.93
	// maxUnseenLoads is how many loads from the weight store a target executes at most within residency.LoadWindow, one after the other:
	// the fastest take 1.3 s.
	maxUnseenLoads = 3
	// maxLoggedLoads stands in the log for a number of loads that is not known, as JSON has no infinity.
	maxLoggedLoads = 1e6
	// unknownModelMB is the memory that a loaded model is assumed to take if it is not in the configuration.
	unknownModelMB = 80000
)

// Demand is the demand of the callers of all hosts.
type Demand struct {
	EngineLoad map[string]float64 // engine load in milliseconds of engine time a second, by model
	Adapters   map[string]float64 // requests a second, by model/adapter
}

// Config holds the dependencies and settings of a Placer.
type Config struct {
	Host           string
	Lease          *lease.Lease
	ShouldCampaign func() bool // reports whether this host should campaign; nil: always
	Cut            func() bool // reports whether this host reaches no target while others do: it gives up the lease; nil: never
	Client         orders.Client
	LoadRateFactor float64 // factor on the weight store's rate up to which loads are tolerated
	Demand         func() Demand
	Suspects       func() map[string]bool // targets that several hosts find unresponsive, by id
	Paused         func(id string) bool   // whether a target wants no requests from this host now; nil: never
	StateInterval  func() time.Duration   // time between two states that this host broadcasts
	Publish        func()                 // called when the resident models or adapters may have changed
	// Waves has copies planned in waves: as many loads from the weight store at once as its window has room for.
	Waves bool
	// DemandTimeConstant is the time constant of the exponential averages that Demand returns. It is used for waves only.
	DemandTimeConstant time.Duration
	// LoadedBefore returns the models that were loaded, by target, according to a placement that this host has known since before the
	// time; nil if it has known none for so long. It is used for waves only, and may be nil.
	LoadedBefore func(time.Time) map[string]registry.Residency
	Log          *slog.Logger
	Metrics      *metrics.Set
}

// Placer campaigns for the placement lease and sends orders while it holds it. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu           sync.Mutex
	catalog      *catalog.Catalog              // guarded by mu
	targets      map[string]*target            // guarded by mu; by id, of services with engines
	active       bool                          // guarded by mu
	epoch        int64                         // guarded by mu; of the current or last term
	planners     map[string]*residency.Planner // guarded by mu; by service
	loadedBefore map[string]registry.Residency // guarded by mu; a window of the weight store before the term; nil: not known
	demand       Demand                        // guarded by mu; as of the latest plan; not changed
	adapterLoads map[string]chan struct{}      // guarded by mu; closed when a load ends; by service/model/adapter
	publishing   bool                          // guarded by mu; publishSoon will publish
	evacuated    map[string]bool               // guarded by mu; zones whose targets get no load orders, and count for no plan
}

// New returns a placer that does nothing until Run is called.
func New(cfg Config) *Placer {
	if cfg.Paused == nil {
		cfg.Paused = func(string) bool { return false }
	}
	return &Placer{cfg: cfg, targets: map[string]*target{}, adapterLoads: map[string]chan struct{}{}}
}

// SetCatalog installs a new configuration.
func (p *Placer) SetCatalog(c *catalog.Catalog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalog = c
}

// SetTargets replaces the list of existing targets. What is known of a target is kept as long as the target has not
// restarted.
func (p *Placer) SetTargets(list []*registry.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	for _, info := range list {
		seen[info.ID] = true
		t := p.targets[info.ID]
		if t == nil || t.info.Started != info.Started {
			t = newTarget()
			p.targets[info.ID] = t
		}
		t.info = info
	}
	for id := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
		}
	}
}

// SetEvacuated sets the zones whose targets get no load orders. Plans do not count the models that they have loaded.
func (p *Placer) SetEvacuated(zones map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = zones
}

// mayLoad reports whether the target may get load orders as far as its zone is concerned.
func (p *Placer) mayLoad(t *registry.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.evacuated[t.Zone]
}

// Residents returns the controller's epoch and what it knows to be resident, by target. ok is false on hosts that do not
// hold the lease.
func (p *Placer) Residents() (epoch int64, residents map[string]registry.Residency, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return 0, nil, false
	}
	out := map[string]registry.Residency{}
	for id, t := range p.targets {
		if t.synced {
			out[id] = registry.Residency{Started: t.info.Started, Models: t.residents()}
		}
	}
	return p.epoch, out, true
}

// Expected returns when a first copy of each model that has none is expected to be ready, by service/model: of those that are
// being loaded, and of those in demand that wait for memory or for a load token. ok is false on hosts that do not hold the
// lease.
func (p *Placer) Expected(now time.Time) (expected map[string]time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active || p.catalog == nil {
		return nil, false
	}
	expected = map[string]time.Time{}
	for _, t := range p.targets {
		if p.evacuated[t.info.Zone] {
			continue
		}
		for name, m := range t.models {
			key := t.info.Service + "/" + name
			if at, known := expected[key]; !m.readyBy.IsZero() && (!known || m.readyBy.Before(at)) {
				expected[key] = m.readyBy
			}
		}
	}
	for name, planner := range p.planners {
		s := p.engineService(name)
		if s == nil {
			continue
		}
		for i, model := range planner.Waiting() {
			m := s.Engine.Models[model]
			if m == nil {
				continue
			}
			turn := time.Duration(float64(i+1) / max(planner.LoadRate(m.StoreLoadTime), 1e-3) * float64(time.Second))
			expected[name+"/"+model] = now.Add(max(turn, unloadTime) + m.StoreLoadTime)
		}
	}
	for _, t := range p.targets {
		for name, m := range t.models {
			if m.ready && !m.unloading && !p.evacuated[t.info.Zone] {
				delete(expected, t.info.Service+"/"+name)
			}
		}
	}
	return expected, true
}

// Run campaigns for the lease and sends orders while the lease is held, until ctx ends. It then resigns.
func (p *Placer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.shouldCampaign() {
			sleep.For(ctx, planInterval)
			continue
		}
		ended, err := p.campaign(ctx)
		if err != nil {
			if ctx.Err() == nil && p.shouldCampaign() {
				p.cfg.Log.Warn("campaign for the placement lease failed", "error", err.Error())
			}
			sleep.For(ctx, planInterval)
			continue
		}
		epoch, held := p.cfg.Lease.Held()
		if !held {
			continue
		}
		p.cfg.Log.Info("placement lease won", "epoch", epoch)
		p.beginTerm(epoch)
		p.runTerm(ctx, ended)
		p.mu.Lock()
		p.active = false
		p.mu.Unlock()
		p.cfg.Log.Info("placement lease ended", "epoch", epoch)
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := p.cfg.Lease.Resign(end); err != nil {
		p.cfg.Log.Warn("placement lease not revoked; others wait until it expires", "error", err.Error())
	}
}

func (p *Placer) shouldCampaign() bool {
	return (p.cfg.ShouldCampaign == nil || p.cfg.ShouldCampaign()) && !p.isCut()
}

func (p *Placer) isCut() bool { return p.cfg.Cut != nil && p.cfg.Cut() }

// campaign waits until this host acquires the lease. It gives up once this host should no longer campaign, for example
// because another host holds the lease.
func (p *Placer) campaign(ctx context.Context) (ended <-chan struct{}, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for sleep.For(ctx, planInterval) {
			if !p.shouldCampaign() {
				cancel()
			}
		}
	}()
	return p.cfg.Lease.Campaign(ctx)
}

// Epoch returns the epoch of the lease while this host holds it, or zero.
func (p *Placer) Epoch() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return 0
	}
	return p.epoch
}

// beginTerm activates the placer and discards what it knew in an earlier term.
func (p *Placer) beginTerm(epoch int64) {
	var loadedBefore map[string]registry.Residency
	if p.cfg.Waves && p.cfg.LoadedBefore != nil {
		loadedBefore = p.cfg.LoadedBefore(time.Now().Add(-residency.LoadWindow))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active, p.epoch, p.demand = true, epoch, Demand{}
	p.planners = map[string]*residency.Planner{}
	p.loadedBefore = loadedBefore
	for _, t := range p.targets {
		t.reset()
	}
}

// runTerm plans and publishes until the term ends.
func (p *Placer) runTerm(ctx context.Context, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		started := time.Now()
		if _, held := p.cfg.Lease.Held(); !held {
			return
		}
		if p.isCut() {
			p.cfg.Log.Warn("placement lease given up", "reason", "no path to targets")
			if err := p.cfg.Lease.Resign(ctx); err != nil {
				p.cfg.Log.Warn("placement lease not revoked; others wait until it expires", "error", err.Error())
			}
			return
		}
		p.planServices(ctx)
		p.cfg.Publish()
		timer.Reset(max(planInterval, (planRestDivisor-1)*time.Since(started)))
	}
}

// publishSoon publishes after publishDelay, together with what changes until then.
func (p *Placer) publishSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.publishing {
		return
	}
	p.publishing = true
	time.AfterFunc(publishDelay, func() {
		p.mu.Lock()
		p.publishing = false
		p.mu.Unlock()
		p.cfg.Publish()
	})
}

// planServices starts the loads, unloads and reads of reports that every service with engines needs now.
func (p *Placer) planServices(ctx context.Context) {
	demand, suspects := p.cfg.Demand(), p.cfg.Suspects()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand = demand
	p.updateSuspects(suspects)
	if p.catalog == nil {
		return
	}
	for _, s := range p.catalog.Services {
		if s.Engine == nil {
			continue
		}
		p.syncTargets(ctx, s)
		p.planModels(ctx, s, demand)
		p.planAdapters(ctx, s, demand)
	}
}

// updateSuspects marks the suspected targets. They get no orders, and plans do not count the models that they have
// loaded. The caller holds mu.
func (p *Placer) updateSuspects(suspects map[string]bool) {
	for id, t := range p.targets {
		if t.suspect != suspects[id] {
			t.suspect = suspects[id]
			p.cfg.Log.Info("target suspected", "target", id, "suspected", t.suspect)
		}
	}
}

// orderableTargets returns the targets of a service that may get orders, sorted by id. The caller holds mu.
func (p *Placer) orderableTargets(s *catalog.Service) []*target {
	var out []*target
	for _, t := range p.targets {
		if t.isOrderable(s) && !p.evacuated[t.info.Zone] {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *target) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	return out
}

// predecessorLoads returns how many loads the controllers before this one can have started in the window before the term: of
// each target the models that it did not have then, and maxUnseenLoads of a target whose report has not been read. The caller holds mu.
func (p *Placer) predecessorLoads(s *catalog.Service) (n int) {
	for _, t := range p.targets {
		if t.info.Service != s.Name {
			continue
		}
		if t.seen {
			n += t.newAtFirst
		} else {
			n += maxUnseenLoads
		}
	}
	return n
}

// planModels starts the loads and unloads of models that the planner returns. The caller holds mu.
func (p *Placer) planModels(ctx context.Context, s *catalog.Service, demand Demand) {
	now := time.Now()
	planner := p.planners[s.Name]
	if planner == nil {
		// Only in the first term may a burst of loads start at once: no earlier controller can have started loads shortly before.
		planner = residency.NewPlanner(0, maxLoadBurst, lease.IsFirstTerm(p.epoch), now)
		p.planners[s.Name] = planner
	}
	planner.SetRate(s.Engine.LoadsPerSecond * p.cfg.LoadRateFactor * loadRateFraction)
	if p.cfg.Waves {
		planner.SetWaves(residency.Waves{
			WindowLoads:   s.Engine.LoadsPerSecond*p.cfg.LoadRateFactor*residency.LoadWindow.Seconds() + excessLoads,
			RatePerSecond: s.Engine.LoadsPerSecond, DemandTimeConstant: p.cfg.DemandTimeConstant,
		}, now)
		if p.loadedBefore != nil {
			planner.SetPredecessorLoads(p.predecessorLoads(s))
		}
	}
	var models []residency.Model
	for _, m := range s.Engine.Models {
		models = append(models, residency.Model{Name: m.Name, MB: m.WeightsMB, StoreLoadTime: m.StoreLoadTime, EngineLoad: demand.EngineLoad[m.Name]})
	}
	slices.SortFunc(models, func(a, b residency.Model) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	var targets []*residency.Target
	for _, t := range p.orderableTargets(s) {
		if t.synced {
			target := t.plannerTarget(s.Engine)
			target.Paused = p.cfg.Paused(t.info.ID)
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 {
		return
	}
	for _, a := range planner.Plan(models, targets, now) {
		t := p.targets[a.Target]
		t.busy = true
		p.cfg.Log.Info("placement", "op", string(a.Op), "model", a.Model, "target", a.Target, "reason", a.Reason,
			"from_store", a.FromStore, "full_speed_loads", min(planner.FullSpeedLoads(), maxLoggedLoads), "work", demand.EngineLoad[a.Model], "epoch", p.epoch)
		if a.Op == orders.Load {
			t.addLoading(a.Model, now.Add(loadDuration(s.Engine, a)))
			go p.loadModel(ctx, t, s.Engine, a)
		} else {
			t.models[a.Model].unloading = true
			go p.unloadModel(ctx, t, a.Model, a.Idle)
		}
	}
}
