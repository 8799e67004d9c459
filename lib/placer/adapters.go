package placer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// adapterLoadTime is how long a target takes to load an adapter.
	adapterLoadTime = 12 * time.Millisecond
	// maxAdapterPrefetches is the maximum number of adapters that one plan of a service starts to load ahead of requests,
	// over all targets. Each load from the store takes longer when many run at the same time.
	maxAdapterPrefetches = 6
	// minRPSPerCopy is the rate in requests a second for each existing copy of an adapter from which on the adapter gets
	// another copy.
	minRPSPerCopy = 1.5
	// usedSlotCost is the cost of a target for each adapter slot in use; it spreads adapters over targets with free slots.
	// evictionCost is the cost of a target without a free slot; it ranks such targets after all others.
	usedSlotCost = 0.001
	evictionCost = 1.0
	// firstCopyBonusRPS is added to the demand, in requests a second, for an adapter that no target has loaded, so that it
	// ranks before further copies of other adapters.
	firstCopyBonusRPS = 10.0
	// minEvictionRatio is the minimum ratio of the demand for an adapter to the demand for the adapter that it evicts.
	minEvictionRatio = 2.0
	// adapterOrderTimeout bounds the call for an order for an adapter. It is short because a request waits for the call.
	adapterOrderTimeout = orderTimeout / 4
	// maxEvictableRPS is the rate in requests a second below which an adapter may be evicted ahead of requests.
	maxEvictableRPS = 0.3
)

// Errors of Ensure.
var (
	ErrInactive = errors.New("placer: this host does not hold the placement lease")
	ErrNoSlot   = errors.New("placer: no target with the model has an adapter slot free; retry shortly")
)

// Ensure returns the id of a target that has the adapter loaded. If there is none, it loads the adapter first. Concurrent
// calls for the same adapter share one load. The error is ErrInactive, ErrNoSlot or that of ctx.
func (p *Placer) Ensure(ctx context.Context, service, model, adapter string) (string, error) {
	key := service + "/" + model + "/" + adapter
	for {
		p.mu.Lock()
		if !p.active {
			p.mu.Unlock()
			return "", ErrInactive
		}
		if id := p.targetWithAdapter(service, model, adapter); id != "" {
			p.mu.Unlock()
			return id, nil
		}
		inProgress := p.adapterLoads[key]
		if inProgress == nil {
			done := make(chan struct{})
			p.adapterLoads[key] = done
			p.mu.Unlock()
			id, err := p.loadAdapter(ctx, service, model, adapter)
			p.mu.Lock()
			delete(p.adapterLoads, key)
			p.mu.Unlock()
			close(done)
			return id, err
		}
		p.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// targetWithAdapter returns the id of a target that has the adapter loaded, or "". The caller holds mu.
func (p *Placer) targetWithAdapter(service, model, adapter string) string {
	for id, t := range p.targets {
		if t.synced && !t.suspect && !p.evacuated[t.info.Zone] && t.info.State == registry.Ready && t.info.Service == service && t.serves(model, adapter) {
			return id
		}
	}
	return ""
}

// loadAdapter loads an adapter at the cheapest target and returns the target's id. If a target fails to load it, the next
// one is tried.
func (p *Placer) loadAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	var tried []*target
	for ctx.Err() == nil {
		p.mu.Lock()
		var t *target
		var victim adapterName
		if s := p.engineService(service); s != nil {
			t, victim = p.chooseAdapterTarget(s, model, tried)
		}
		if t == nil {
			p.mu.Unlock()
			return "", ErrNoSlot
		}
		t.adapterOrderPending = true
		p.mu.Unlock()
		if p.replaceAdapter(ctx, t, victim, adapterName{model, adapter}) {
			return t.info.ID, nil
		}
		tried = append(tried, t)
	}
	return "", ctx.Err()
}

// engineService returns the service of the name, or nil if it does not exist or has no engines. The caller holds mu.
func (p *Placer) engineService(name string) *catalog.Service {
	if p.catalog == nil {
		return nil
	}
	if s := p.catalog.Service(name); s != nil && s.Engine != nil {
		return s
	}
	return nil
}

// adapterName identifies an adapter of a model.
type adapterName struct{ model, adapter string }

func (n adapterName) key() string { return n.model + "/" + n.adapter }

// chooseAdapterTarget returns the cheapest target that has the model ready and is not among tried, and the adapter that
// must be evicted there if it has no free slot. Without such a target it returns nil. The caller holds mu.
func (p *Placer) chooseAdapterTarget(s *catalog.Service, model string, tried []*target) (*target, adapterName) {
	if s.Engine.AdapterSlots <= 0 {
		return nil, adapterName{}
	}
	var best *target
	var victim adapterName
	lowest, demand := 0.0, p.demand.Adapters
	for _, t := range p.targets {
		if !t.isOrderable(s) || p.evacuated[t.info.Zone] || !t.synced || t.busy || t.adapterOrderPending || !t.serves(model, "") || slices.Contains(tried, t) ||
			p.cfg.Paused(t.info.ID) {
			continue
		}
		cost, v := float64(t.adapterCount())*usedSlotCost, adapterName{}
		if t.adapterCount() >= s.Engine.AdapterSlots {
			var ok bool
			if v, ok = t.leastRequestedAdapter(demand); !ok {
				continue
			}
			cost = evictionCost + demand[v.key()]
		}
		if best == nil || cost < lowest || cost == lowest && t.info.ID < best.info.ID {
			best, victim, lowest = t, v, cost
		}
	}
	return best, victim
}

// leastRequestedAdapter returns the loaded adapter of the target with the lowest demand. Those that are leaving are left out; ok is false
// if there is no other one.
func (t *target) leastRequestedAdapter(demand map[string]float64) (name adapterName, ok bool) {
	var all []adapterName
	for model, h := range t.models {
		for adapter := range h.adapters {
			if !h.leaving[adapter] {
				all = append(all, adapterName{model, adapter})
			}
		}
	}
	if len(all) == 0 {
		return adapterName{}, false
	}
	return slices.MinFunc(all, func(a, b adapterName) int {
		return cmp.Or(cmp.Compare(demand[a.key()], demand[b.key()]), cmp.Compare(a.key(), b.key()))
	}), true
}

// setLeaving records that the target unloads the adapter once no request uses it.
func (m *loadedModel) setLeaving(adapter string) {
	if m.leaving == nil {
		m.leaving = map[string]bool{}
	}
	m.leaving[adapter] = true
}

// replaceAdapter unloads the victim, unless its name is empty, and loads the other adapter. It reports whether that
// adapter is loaded. The caller has set the target's adapterOrderPending, which replaceAdapter clears.
func (p *Placer) replaceAdapter(ctx context.Context, t *target, victim, name adapterName) bool {
	defer func() {
		p.mu.Lock()
		t.adapterOrderPending = false
		p.mu.Unlock()
		p.publishSoon()
	}()
	if victim.adapter != "" {
		p.setAdapterLoaded(t, victim, false)
		done, err := p.sendOnce(ctx, t, orders.Order{Op: orders.Unload, Model: victim.model, Adapter: victim.adapter})
		if err == nil && !done { // a request uses the victim, which keeps its slot until the request has ended
			p.noteLeaving(t, victim)
		}
		if err != nil || !done {
			p.requireSync(t, maxReportAge)
			return false
		}
	}
	done, err := p.sendOnce(ctx, t, orders.Order{Op: orders.Load, Model: name.model, Adapter: name.adapter})
	if err != nil {
		p.requireSync(t, maxReportAge)
		return false
	}
	if !done {
		time.Sleep(adapterLoadTime) // also if ctx ends: the adapter takes its slot
	}
	p.setAdapterLoaded(t, name, true)
	return ctx.Err() == nil
}

// noteLeaving records that the target unloads the adapter once no request uses it. Another order to unload it could find it gone, and would
// not be counted then.
func (p *Placer) noteLeaving(t *target, name adapterName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := t.models[name.model]; h != nil {
		h.setLeaving(name.adapter)
	}
}

// setAdapterLoaded records whether the adapter is loaded at the target.
func (p *Placer) setAdapterLoaded(t *target, name adapterName, loaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := t.models[name.model]
	if h == nil {
		return
	}
	if loaded {
		h.adapters[name.adapter] = true
		delete(h.leaving, name.adapter)
	} else {
		delete(h.adapters, name.adapter)
	}
}

// sendOnce sends an order for an adapter. An unanswered order is not sent again: trying another target is faster, and the
// target's next report resolves the order. done reports that the target is already in the state that the order asks for;
// otherwise the target is executing the order.
func (p *Placer) sendOnce(ctx context.Context, t *target, o orders.Order) (done bool, err error) {
	p.mu.Lock()
	o.ExpectedAccepted, o.Holder = t.accepted, p.cfg.Host
	info := t.info
	p.mu.Unlock()
	epoch, held := p.cfg.Lease.Held()
	if !held {
		return false, ErrInactive
	}
	if p.cfg.Paused(info.ID) || o.Op == orders.Load && !p.mayLoad(info) {
		return false, orders.ErrPaused
	}
	o.Fence = epoch
	ctx, cancel := context.WithTimeout(ctx, adapterOrderTimeout)
	defer cancel()
	done, err = p.cfg.Client.Send(ctx, info, o)
	p.logOrder(info, o, done, err, 0)
	// A target counts the orders that change what it has loaded. It unloads an adapter that no request uses at once, so that done is true
	// then; if done is true for a load, the adapter was there already.
	if err == nil && (!done || o.Op == orders.Unload) {
		p.mu.Lock()
		t.accepted++
		p.mu.Unlock()
	}
	return done, err
}

// planAdapters starts loading adapters ahead of requests, for models with demand for adapters. At a target without a
// free slot a rarely requested adapter is evicted. The caller holds mu.
func (p *Placer) planAdapters(ctx context.Context, s *catalog.Service, demand Demand) {
	if s.Engine.AdapterSlots <= 0 {
		return
	}
	started := 0
	targets := p.orderableTargets(s)
	modelsInDemand := modelsWithAdapterDemand(demand.Adapters)
	copies := map[string]int{}
	for _, t := range targets {
		for model, h := range t.models {
			for adapter := range h.adapters {
				copies[adapterName{model, adapter}.key()]++
			}
		}
	}
	for _, t := range targets {
		if started >= maxAdapterPrefetches || !t.synced || t.busy || t.adapterOrderPending || p.cfg.Paused(t.info.ID) {
			continue
		}
		name, victim, ok := t.nextAdapter(s.Engine, modelsInDemand, copies, demand.Adapters)
		if !ok {
			continue
		}
		started++
		copies[name.key()]++
		t.adapterOrderPending = true
		go p.replaceAdapter(ctx, t, victim, name)
	}
}

// modelsWithAdapterDemand returns the models that have at least one adapter in demand, whose keys are model/adapter.
func modelsWithAdapterDemand(demand map[string]float64) map[string]bool {
	out := map[string]bool{}
	for key := range demand {
		for i := range key {
			if key[i] == '/' {
				out[key[:i]] = true
				break
			}
		}
	}
	return out
}

// nextAdapter returns the adapter that the target should load next, and the adapter to evict if all slots are taken. ok is
// false if nothing should be loaded.
func (t *target) nextAdapter(e *catalog.Engine, modelsInDemand map[string]bool, copies map[string]int, demand map[string]float64) (name, victim adapterName, ok bool) {
	var best float64
	for model, h := range t.models {
		m := e.Models[model]
		if m == nil || !modelsInDemand[model] || !h.ready || h.unloading {
			continue
		}
		for _, a := range m.Adapters {
			n := adapterName{model, a}
			if h.adapters[a] {
				continue
			}
			value := demand[n.key()]
			switch c := copies[n.key()]; {
			case c == 0:
				value += firstCopyBonusRPS
			case demand[n.key()] < minRPSPerCopy*float64(c):
				continue
			}
			if !ok || value > best || value == best && n.key() < name.key() {
				name, best, ok = n, value, true
			}
		}
	}
	if !ok || t.adapterCount() < e.AdapterSlots {
		return name, victim, ok
	}
	if victim, ok = t.leastRequestedAdapter(demand); !ok {
		return name, victim, false
	}
	return name, victim, demand[victim.key()] < maxEvictableRPS && demand[name.key()] > minEvictionRatio*demand[victim.key()]+maxEvictableRPS
}
