package placer

import (
	"context"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/residency"
)

const (
	// orderTime bounds an order or a report; targets answer in a few milliseconds.
	orderTime = 400 * time.Millisecond
	// againTime is the pause before an order without an answer is given again.
	againTime = 200 * time.Millisecond
	// pollTime is the time between two reports while an order is carried out.
	pollTime = 150 * time.Millisecond
	// reportLag is the age that a report may have.
	reportLag = 250 * time.Millisecond
	// syncTime is the time between two reports of a target that does not answer or is busy.
	syncTime = 300 * time.Millisecond
	// retirePeriods is how many states of the controller hosts may miss before they learn that a model is no longer to be
	// used at a target.
	retirePeriods = 2
	// retireWay is how long a state is on its way.
	retireWay = 50 * time.Millisecond
	// doneTime bounds the wait for the end of an order; an unload waits for runs to finish.
	doneTime = 20 * time.Second
	// earlyShare is the part of the stated load time after which the target is first asked whether it is done.
	earlyShare = 0.9
)

// syncTargets reads the reports of targets that are not known; mu is held.
func (p *Placer) syncTargets(ctx context.Context, s *catalog.Service) {
	now := time.Now()
	for _, t := range p.of(s) {
		if t.known || t.syncing || now.Before(t.nextSync) {
			continue
		}
		t.syncing, t.nextSync = true, now.Add(syncTime)
		go p.sync(ctx, t)
	}
}

func (p *Placer) sync(ctx context.Context, t *target) {
	r, err := p.report(ctx, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.syncing = false
	if err != nil {
		p.cfg.Log.Warn("no report", "target", t.info.ID, "error", err.Error())
		return
	}
	if r.Busy || r.Accepted < t.accepted {
		return // what it holds changes, or the report is older than an order; it is asked again
	}
	t.adopt(r)
}

func (p *Placer) report(ctx context.Context, t *target) (orders.Report, error) {
	p.cfg.Set.GetOrCreateCounter("cuminhook_target_reports_total").Inc()
	p.mu.Lock()
	info := t.info
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	return p.cfg.Client.Report(ctx, info)
}

// adopt takes a report over.
func (t *target) adopt(r orders.Report) {
	t.known, t.busy, t.accepted = true, false, r.Accepted
	t.held = map[string]*heldModel{}
	for _, list := range [][]registry.Resident{r.Models, r.Coming} {
		for _, m := range list {
			h := t.held[m.Model]
			if h == nil {
				h = &heldModel{ready: true, adapters: map[string]bool{}}
				t.held[m.Model] = h
			}
			for _, a := range m.Adapters {
				h.adapters[a] = true
			}
		}
	}
	t.atHand = append(slices.Clone(r.InMemory), r.OnDisk...)
}

// unsure makes the target be asked again before it gets further orders.
func (p *Placer) unsure(t *target, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.known, t.nextSync = false, time.Now().Add(wait)
}

// give gives an order until its outcome is known. The number of orders accepted before stays the same meanwhile, so
// that the target carries out one of them at most.
func (p *Placer) give(ctx context.Context, t *target, o orders.Order) (done bool, err error) {
	p.mu.Lock()
	o.Expected, o.Holder = t.accepted, p.cfg.Host
	info := t.info
	p.mu.Unlock()
	for n := 0; ; n++ {
		epoch, held := p.cfg.Lease.Held()
		if !held {
			return false, context.Canceled
		}
		o.Fence = epoch
		call, cancel := context.WithTimeout(ctx, orderTime)
		done, err = p.cfg.Client.Order(call, info, o)
		cancel()
		p.logOrder(info, o, done, err, n)
		if err == nil {
			p.mu.Lock()
			if !done {
				t.accepted = max(t.accepted, o.Expected+1)
			}
			p.mu.Unlock()
			return done, nil
		}
		if known(err) || ctx.Err() != nil {
			return false, err
		}
		// It may have been accepted, or be carried out later. Giving it again settles it.
		r, reportErr := p.report(ctx, t)
		if reportErr != nil {
			p.cfg.Log.Warn("no report", "target", info.ID, "error", reportErr.Error())
		} else if r.Accepted > o.Expected {
			p.mu.Lock()
			t.accepted = max(t.accepted, o.Expected+1)
			p.mu.Unlock()
			return false, nil
		}
		if !pause.For(ctx, againTime) {
			return false, ctx.Err()
		}
	}
}

// known reports whether the outcome of a failed order is known: it has no effect.
func known(err error) bool {
	for _, e := range []error{orders.ErrConflict, orders.ErrFenced, orders.ErrWrongTarget, orders.ErrInvalid, orders.ErrNotSent} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (p *Placer) logOrder(t *registry.Target, o orders.Order, done bool, err error, again int) {
	outcome := "accepted"
	switch {
	case err != nil && known(err):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	case done:
		outcome = "holds"
	}
	p.cfg.Set.GetOrCreateCounter(`cuminhook_orders_total{op="` + string(o.Op) + `",outcome="` + outcome + `"}`).Inc()
	attrs := []any{
		"op", string(o.Op), "model", o.Model, "adapter", o.Adapter, "target", t.ID, "expected", o.Expected, "fence", o.Fence,
		"again", again, "outcome", outcome,
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	p.cfg.Log.Info("order", attrs...)
}

// load has a model loaded.
func (p *Placer) load(ctx context.Context, t *target, e *catalog.Engine, a residency.Action) {
	done, err := p.give(ctx, t, orders.Order{Op: orders.Load, Model: a.Model})
	if err != nil {
		p.unsure(t, syncTime)
		return
	}
	if !done {
		m := e.Models[a.Model]
		wait := m.FromStore
		if !a.FromStore {
			wait = m.FromDisk
		}
		p.await(ctx, t, time.Duration(earlyShare*float64(wait)))
		return
	}
	p.unsure(t, reportLag)
}

// unload has a model unloaded once the hosts no longer use it.
func (p *Placer) unload(ctx context.Context, t *target, model string) {
	if !pause.For(ctx, retirePeriods*p.cfg.Period()+retireWay) {
		return
	}
	done, err := p.give(ctx, t, orders.Order{Op: orders.Unload, Model: model})
	if err != nil || done {
		p.unsure(t, syncTime)
		return
	}
	p.await(ctx, t, pollTime)
}

// await waits until the target has carried out what it accepted.
func (p *Placer) await(ctx context.Context, t *target, first time.Duration) {
	until := time.Now().Add(doneTime)
	wait := first
	for pause.For(ctx, wait) && time.Now().Before(until) {
		wait = pollTime
		r, err := p.report(ctx, t)
		if err != nil && ctx.Err() == nil {
			p.cfg.Log.Warn("no report", "target", t.info.ID, "error", err.Error())
		}
		p.mu.Lock()
		if err == nil && !r.Busy && r.Accepted >= t.accepted {
			t.adopt(r)
			p.mu.Unlock()
			return
		}
		gone := p.targets[t.info.ID] != t
		p.mu.Unlock()
		if gone {
			return
		}
	}
	p.unsure(t, reportLag)
}
