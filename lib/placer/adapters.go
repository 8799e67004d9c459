package placer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/pause"
)

const (
	// adapterTime is how long a target takes to load an adapter.
	adapterTime = 12 * time.Millisecond
	// fillMost bounds the adapters that are loaded ahead of requests at a time, over all targets: beyond some that are
	// on their way from the store, each takes longer.
	fillMost = 6
	// copyRate is the rate of requests for one adapter from which on it gets another copy.
	copyRate = 1.5
	// slotWeight spreads adapters over targets with free slots; evictWeight puts targets without after all of these.
	slotWeight  = 0.001
	evictWeight = 1.0
	// firstCopyValue puts adapters that no target holds before further copies, in requests a second.
	firstCopyValue = 10.0
	// evictFactor is how many times as often an adapter has to be asked for as the one that gives way to it.
	evictFactor = 2.0
	// adapterOrderTime bounds an order for an adapter; the request waits for it.
	adapterOrderTime = orderTime / 4
	// usedRate is the rate below which an adapter may give way to another one.
	usedRate = 0.3
)

// Errors of Ensure.
var (
	ErrInactive = errors.New("placer: this host does not hold the placement lease")
	ErrNoSlot   = errors.New("placer: no target with the model has an adapter slot free; retry shortly")
)

// Ensure has an adapter loaded unless a target holds it, and returns the target.
func (p *Placer) Ensure(ctx context.Context, service, model, adapter string) (string, error) {
	key := service + "/" + model + "/" + adapter
	for {
		p.mu.Lock()
		if !p.active {
			p.mu.Unlock()
			return "", ErrInactive
		}
		if id := p.holder(service, model, adapter); id != "" {
			p.mu.Unlock()
			return id, nil
		}
		under := p.loading[key]
		if under == nil {
			done := make(chan struct{})
			p.loading[key] = done
			p.mu.Unlock()
			id, err := p.loadAdapter(ctx, service, model, adapter)
			p.mu.Lock()
			delete(p.loading, key)
			p.mu.Unlock()
			close(done)
			return id, err
		}
		p.mu.Unlock()
		select {
		case <-under:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// holder returns a target that holds the adapter; mu is held.
func (p *Placer) holder(service, model, adapter string) string {
	for id, t := range p.targets {
		if t.known && t.info.Service == service && t.has(model, adapter) {
			return id
		}
	}
	return ""
}

// loadAdapter loads an adapter at the best target. Targets that refuse are passed over.
func (p *Placer) loadAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	var tried []*target
	for ctx.Err() == nil {
		demand := p.cfg.Demand().Adapters
		p.mu.Lock()
		var t *target
		var victim adapterName
		if s := p.service(service); s != nil {
			t, victim = p.slotFor(s, model, demand, tried)
		}
		if t == nil {
			p.mu.Unlock()
			return "", ErrNoSlot
		}
		t.ordering = true
		p.mu.Unlock()
		if p.swap(ctx, t, victim, adapterName{model, adapter}) {
			return t.info.ID, nil
		}
		tried = append(tried, t)
	}
	return "", ctx.Err()
}

func (p *Placer) service(name string) *catalog.Service {
	if p.catalog == nil {
		return nil
	}
	if s := p.catalog.Service(name); s != nil && s.Engine != nil {
		return s
	}
	return nil
}

// adapterName names an adapter of a model.
type adapterName struct{ model, adapter string }

func (n adapterName) key() string { return n.model + "/" + n.adapter }

// slotFor returns a target with the model and a free slot, or one whose least used adapter may go; mu is held.
func (p *Placer) slotFor(s *catalog.Service, model string, demand map[string]float64, tried []*target) (*target, adapterName) {
	var best *target
	var victim adapterName
	lowest := 0.0
	for _, t := range p.of(s) {
		if !t.known || t.busy || t.ordering || !t.has(model, "") || slices.Contains(tried, t) {
			continue
		}
		cost, v := float64(t.adapters())*slotWeight, adapterName{}
		if t.adapters() >= s.Engine.AdapterSlots {
			v = t.leastUsed(demand)
			cost = evictWeight + demand[v.key()]
		}
		if best == nil || cost < lowest {
			best, victim, lowest = t, v, cost
		}
	}
	return best, victim
}

// leastUsed returns the adapter of the target that is asked for least.
func (t *target) leastUsed(demand map[string]float64) adapterName {
	var all []adapterName
	for model, h := range t.held {
		for adapter := range h.adapters {
			all = append(all, adapterName{model, adapter})
		}
	}
	return slices.MinFunc(all, func(a, b adapterName) int {
		return cmp.Or(cmp.Compare(demand[a.key()], demand[b.key()]), cmp.Compare(a.key(), b.key()))
	})
}

// swap unloads the victim, if one is named, and loads the adapter. The target's flag ordering is set by the caller.
func (p *Placer) swap(ctx context.Context, t *target, victim, name adapterName) bool {
	defer func() {
		p.mu.Lock()
		t.ordering = false
		p.mu.Unlock()
		p.cfg.Publish()
	}()
	if victim.adapter != "" {
		p.set(t, victim, false)
		done, err := p.giveOnce(ctx, t, orders.Order{Op: orders.Unload, Model: victim.model, Adapter: victim.adapter})
		if err != nil || !done { // one that a request uses keeps its slot until the request has ended
			p.unsure(t, reportLag)
			return false
		}
	}
	done, err := p.giveOnce(ctx, t, orders.Order{Op: orders.Load, Model: name.model, Adapter: name.adapter})
	if err != nil {
		p.unsure(t, reportLag)
		return false
	}
	if !done && !pause.For(ctx, adapterTime) {
		return false
	}
	p.set(t, name, true)
	return true
}

func (p *Placer) set(t *target, name adapterName, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := t.held[name.model]
	if h == nil {
		return
	}
	if held {
		h.adapters[name.adapter] = true
	} else {
		delete(h.adapters, name.adapter)
	}
}

// giveOnce gives an order for an adapter. One without an answer is not given again: another target is quicker, and the
// target's next report settles it.
func (p *Placer) giveOnce(ctx context.Context, t *target, o orders.Order) (done bool, err error) {
	p.mu.Lock()
	o.Expected, o.Holder = t.accepted, p.cfg.Host
	info := t.info
	p.mu.Unlock()
	epoch, held := p.cfg.Lease.Held()
	if !held {
		return false, ErrInactive
	}
	o.Fence = epoch
	ctx, cancel := context.WithTimeout(ctx, adapterOrderTime)
	defer cancel()
	done, err = p.cfg.Client.Order(ctx, info, o)
	p.logOrder(info, o, done, err, 0)
	if err == nil {
		// Orders for adapters count whether they are done at once or not.
		p.mu.Lock()
		t.accepted++
		p.mu.Unlock()
	}
	return done, err
}

// planAdapters loads adapters of models in demand ahead of requests, where slots are free; mu is held.
func (p *Placer) planAdapters(ctx context.Context, s *catalog.Service, demand Demand) {
	started := 0
	targets := p.of(s)
	wanted := wantedModels(demand.Adapters)
	copies := map[string]int{}
	for _, t := range targets {
		for model, h := range t.held {
			for adapter := range h.adapters {
				copies[adapterName{model, adapter}.key()]++
			}
		}
	}
	for _, t := range targets {
		if started >= fillMost || !t.known || t.busy || t.ordering {
			continue
		}
		name, victim, ok := t.nextAdapter(s.Engine, wanted, copies, demand.Adapters)
		if !ok {
			continue
		}
		started++
		copies[name.key()]++
		t.ordering = true
		go p.swap(ctx, t, victim, name)
	}
}

// wantedModels returns the models of which adapters are asked for.
func wantedModels(demand map[string]float64) map[string]bool {
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

// nextAdapter returns the adapter that the target should hold next, and the one that gives way to it if all slots are
// taken.
func (t *target) nextAdapter(e *catalog.Engine, wanted map[string]bool, copies map[string]int, demand map[string]float64) (name, victim adapterName, ok bool) {
	var best float64
	for model, h := range t.held {
		m := e.Models[model]
		if m == nil || !wanted[model] || !h.ready || h.going {
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
				value += firstCopyValue
			case demand[n.key()] < copyRate*float64(c):
				continue
			}
			if !ok || value > best || value == best && n.key() < name.key() {
				name, best, ok = n, value, true
			}
		}
	}
	if !ok || t.adapters() < e.AdapterSlots {
		return name, victim, ok
	}
	victim = t.leastUsed(demand)
	return name, victim, demand[victim.key()] < usedRate && demand[name.key()] > evictFactor*demand[victim.key()]+usedRate
}
