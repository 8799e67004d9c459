// Package placer carries the placement duty out: one host at a time, by lease, gives the orders that change what targets
// hold.
//
// Each order states how many orders its target has accepted before. Of all orders that state the same number the target
// carries out one at most, so that an order without an answer, of this holder or the one before, cannot be carried out
// beside a later one.
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
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/residency"
)

const (
	// tickTime is the time between two plans.
	tickTime = 100 * time.Millisecond
	// loadsBurst is how many loads from the weight store may start at once. The platform tolerates three above its rate
	// in a window.
	loadsBurst = 2
	// loadsShare is the part of the tolerated rate that is used; orders may be carried out late and close together.
	loadsShare = 0.93
	// firstEpoch is the epoch of the first holder ever.
	firstEpoch = 1
	// unknownMB is assumed of a model that is held and not configured.
	unknownMB = 80000
)

// Demand is what callers ask for, over all hosts.
type Demand struct {
	Work     map[string]float64 // milliseconds of engine time a second, by model
	Adapters map[string]float64 // requests a second, by model/adapter
}

// Config is what a placer works with.
type Config struct {
	Host      string
	Lease     *lease.Lease
	Due       func() bool // whether this host should campaign; nil: always
	Client    orders.Client
	Overshoot float64 // factor on the weight store's rate that is tolerated
	Demand    func() Demand
	Suspects  func() map[string]bool // targets that do not answer the hosts
	Period    func() time.Duration   // between two states of this host
	Publish   func()                 // called when residents may have changed
	Log       *slog.Logger
	Set       *metrics.Set
}

// Placer is one candidate for the duty. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu      sync.Mutex
	catalog *catalog.Catalog              // guarded by mu
	targets map[string]*target            // guarded by mu; by id, of services with engines
	active  bool                          // guarded by mu
	epoch   int64                         // guarded by mu; of the present or last term
	plans   map[string]*residency.Planner // guarded by mu; by service
	loading map[string]chan struct{}      // guarded by mu; adapters on their way, by service/model/adapter
}

// New returns a placer.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, targets: map[string]*target{}, loading: map[string]chan struct{}{}}
}

// SetCatalog takes a new configuration over.
func (p *Placer) SetCatalog(c *catalog.Catalog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalog = c
}

// SetTargets takes over the targets that exist now.
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

// Residents returns what the targets hold as far as the holder of the lease knows, and its epoch. ok is false on hosts
// that do not hold the lease.
func (p *Placer) Residents() (epoch int64, residents map[string]registry.Holding, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return 0, nil, false
	}
	out := map[string]registry.Holding{}
	for id, t := range p.targets {
		if t.known {
			out[id] = registry.Holding{Started: t.info.Started, Models: t.residents()}
		}
	}
	return p.epoch, out, true
}

// Run campaigns for the lease and places while it is held, until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.due() {
			pause.For(ctx, tickTime)
			continue
		}
		ended, err := p.campaign(ctx)
		if err != nil {
			if ctx.Err() == nil && p.due() {
				p.cfg.Log.Warn("placement lease not campaigned for", "error", err.Error())
			}
			pause.For(ctx, tickTime)
			continue
		}
		epoch, held := p.cfg.Lease.Held()
		if !held {
			continue
		}
		p.cfg.Log.Info("placement lease won", "epoch", epoch)
		p.begin(epoch)
		p.term(ctx, ended)
		p.mu.Lock()
		p.active = false
		p.mu.Unlock()
		p.cfg.Log.Info("placement lease ended", "epoch", epoch)
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := p.cfg.Lease.Resign(end); err != nil {
		p.cfg.Log.Warn("placement lease not given back; it lapses", "error", err.Error())
	}
}

func (p *Placer) due() bool { return p.cfg.Due == nil || p.cfg.Due() }

// campaign waits for the lease until another host holds it.
func (p *Placer) campaign(ctx context.Context) (ended <-chan struct{}, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for pause.For(ctx, tickTime) {
			if !p.due() {
				cancel()
			}
		}
	}()
	return p.cfg.Lease.Campaign(ctx)
}

// Term returns the epoch of the lease while this host holds it, or zero.
func (p *Placer) Term() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return 0
	}
	return p.epoch
}

// begin forgets what an earlier term knew.
func (p *Placer) begin(epoch int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active, p.epoch = true, epoch
	p.plans = map[string]*residency.Planner{}
	for _, t := range p.targets {
		t.forget()
	}
}

func (p *Placer) term(ctx context.Context, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if _, held := p.cfg.Lease.Held(); !held {
			return
		}
		p.tick(ctx)
		p.cfg.Publish()
	}
}

// tick starts what is to be done now.
func (p *Placer) tick(ctx context.Context) {
	demand, suspects := p.cfg.Demand(), p.cfg.Suspects()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSuspects(suspects)
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

// noteSuspects marks the targets that do not answer: what they hold does not count; mu is held.
func (p *Placer) noteSuspects(suspects map[string]bool) {
	for id, t := range p.targets {
		if t.suspect != suspects[id] {
			t.suspect = suspects[id]
			p.cfg.Log.Info("target suspected", "target", id, "suspected", t.suspect)
		}
	}
}

// of returns the targets of a service that may get orders; mu is held.
func (p *Placer) of(s *catalog.Service) []*target {
	var out []*target
	for _, t := range p.targets {
		if t.info.Service == s.Name && t.info.State == registry.Ready && !t.suspect {
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

func (p *Placer) planModels(ctx context.Context, s *catalog.Service, demand Demand) {
	now := time.Now()
	plan := p.plans[s.Name]
	if plan == nil {
		plan = residency.NewPlanner(0, loadsBurst, p.epoch == firstEpoch, now)
		p.plans[s.Name] = plan
	}
	plan.SetRate(s.Engine.LoadsPerSecond * p.cfg.Overshoot * loadsShare)
	var models []residency.Model
	for _, m := range s.Engine.Models {
		models = append(models, residency.Model{Name: m.Name, MB: m.MB, Work: demand.Work[m.Name]})
	}
	slices.SortFunc(models, func(a, b residency.Model) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	var targets []*residency.Target
	for _, t := range p.of(s) {
		if t.known {
			targets = append(targets, t.plan(s.Engine))
		}
	}
	if len(targets) == 0 {
		return
	}
	for _, a := range plan.Plan(models, targets, now) {
		t := p.targets[a.Target]
		t.busy = true
		p.cfg.Log.Info("placement", "op", string(a.Op), "model", a.Model, "target", a.Target, "reason", a.Reason,
			"from_store", a.FromStore, "work", demand.Work[a.Model], "epoch", p.epoch)
		if a.Op == orders.Load {
			t.hold(a.Model)
			go p.load(ctx, t, s.Engine, a)
		} else {
			t.held[a.Model].going = true
			go p.unload(ctx, t, a.Model)
		}
	}
}
