package placer

import (
	"context"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/residency"
	"cuminhook.org/cuminhook/lib/sleep"
)

const (
	// orderTimeout bounds the call for an order or a report; targets answer in a few milliseconds.
	orderTimeout = 400 * time.Millisecond
	// orderRetryDelay is the delay before an unanswered order is sent again.
	orderRetryDelay = 200 * time.Millisecond
	// waveOrderTimeout and waveRetryDelay replace these two for the first attempt at an order while copies are planned in waves:
	// a third of the orders may go unanswered, and a second attempt with the same number does no harm.
	waveOrderTimeout = 200 * time.Millisecond
	waveRetryDelay   = 60 * time.Millisecond
	// reportPollInterval is the time between two reads of a target's report while the target executes an order.
	reportPollInterval = 150 * time.Millisecond
	// maxReportAge is the maximum age of the report that a target returns.
	maxReportAge = 250 * time.Millisecond
	// syncInterval is the minimum time between two reads of the report of a target that does not answer or is busy.
	syncInterval = 300 * time.Millisecond
	// retireStatePeriods is the number of the controller's states that hosts may miss before they learn that they must no
	// longer use a model at a target.
	retireStatePeriods = 2
	// stateDelay is the time that a state takes to reach the other hosts.
	stateDelay = 50 * time.Millisecond
	// executionTimeout bounds the wait for the end of an order; the target unloads a model only after its runs have ended.
	executionTimeout = 20 * time.Second
	// unloadTime is the usual time of an unload, which waits for the model's runs.
	unloadTime = time.Second
	// firstPollFraction is the fraction of the configured load time after which the target's report is first read.
	firstPollFraction = 0.9
)

// syncTargets starts reading the reports of the targets that are not synced. The caller holds mu.
func (p *Placer) syncTargets(ctx context.Context, s *catalog.Service) {
	now := time.Now()
	for _, t := range p.orderableTargets(s) {
		if t.hasLeavingAdapter() && !t.busy && !t.adapterOrderPending && !now.Before(t.nextSync) {
			t.synced = false // only its report tells when the adapter has left
		}
		if t.synced || t.syncing || now.Before(t.nextSync) || p.cfg.Paused(t.info.ID) {
			continue
		}
		t.syncing, t.nextSync = true, now.Add(syncInterval)
		go p.syncTarget(ctx, t)
	}
}

// syncTarget reads the report of a target and applies it, unless the target is busy or the report is out of date.
func (p *Placer) syncTarget(ctx context.Context, t *target) {
	r, err := p.fetchReport(ctx, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.syncing = false
	if err != nil {
		p.cfg.Log.Warn("no report", "target", t.info.ID, "error", err.Error())
		return
	}
	if r.Busy || r.Accepted < t.accepted {
		return // the loaded models are changing, or the report predates an accepted order: the report is read again later
	}
	t.applyReport(r)
	t.countNew(p.loadedBefore[t.info.ID])
}

// fetchReport returns the target's report, which may be up to maxReportAge old.
func (p *Placer) fetchReport(ctx context.Context, t *target) (orders.Report, error) {
	p.mu.Lock()
	info := t.info
	p.mu.Unlock()
	if p.cfg.Paused(info.ID) {
		return orders.Report{}, orders.ErrPaused
	}
	p.cfg.Metrics.GetOrCreateCounter("cuminhook_target_reports_total").Inc()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.cfg.Client.Report(ctx, info)
}

// applyReport replaces what is known of the target by the contents of a report.
func (t *target) applyReport(r orders.Report) {
	t.synced, t.busy, t.accepted = true, false, r.Accepted
	before := t.models
	t.models = map[string]*loadedModel{}
	for _, list := range [][]registry.ResidentModel{r.Models, r.Loading} {
		for _, m := range list {
			h := t.models[m.Model]
			if h == nil {
				h = &loadedModel{ready: true, adapters: map[string]bool{}}
				t.models[m.Model] = h
			}
			for _, a := range m.Adapters {
				h.adapters[a] = true
				if old := before[m.Model]; old != nil && old.leaving[a] {
					h.setLeaving(a)
				}
			}
		}
	}
	t.cachedModels = append(slices.Clone(r.InMemory), r.OnDisk...)
}

// requireSync excludes the target from further orders until its report has been read again, not earlier than after wait.
func (p *Placer) requireSync(t *target, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.synced, t.nextSync = false, time.Now().Add(wait)
}

// outcome is the known outcome of an order.
type outcome uint8

const (
	notStarted     outcome = iota // the order was refused, or sending it was given up with the term
	started                       // the target has begun to execute it just now
	startedEarlier                // the target has begun to execute it at an unknown time
	holds                         // the target is already in the state that the order asks for
)

// sendUntilResolved sends an order again and again until its outcome is known. Every repetition states the same number of
// accepted orders, so that the target executes at most one of them.
func (p *Placer) sendUntilResolved(ctx context.Context, t *target, o orders.Order) (outcome, error) {
	p.mu.Lock()
	o.ExpectedAccepted, o.Holder = t.accepted, p.cfg.Host
	info := t.info
	p.mu.Unlock()
	for retries := 0; ; retries++ {
		epoch, held := p.cfg.Lease.Held()
		if !held {
			return notStarted, context.Canceled
		}
		if p.cfg.Paused(info.ID) || o.Op == orders.Load && !p.mayLoad(info) {
			if retries == 0 {
				return notStarted, orders.ErrPaused
			}
			if !sleep.For(ctx, orderRetryDelay) {
				return notStarted, ctx.Err()
			}
			continue
		}
		o.Fence = epoch
		timeout, delay := p.orderTiming(retries)
		call, cancel := context.WithTimeout(ctx, timeout)
		done, err := p.cfg.Client.Send(call, info, o)
		cancel()
		p.logOrder(info, o, done, err, retries)
		if err == nil {
			p.mu.Lock()
			if !done {
				t.accepted = max(t.accepted, o.ExpectedAccepted+1)
			}
			p.mu.Unlock()
			if done {
				return holds, nil
			}
			return started, nil
		}
		if hasNoEffect(err) || ctx.Err() != nil {
			return notStarted, err
		}
		// The target may have accepted the order, or may still do so. The report, or else sending it again, resolves it.
		r, reportErr := p.fetchReport(ctx, t)
		if reportErr != nil {
			p.cfg.Log.Warn("no report", "target", info.ID, "error", reportErr.Error())
		} else if r.Accepted > o.ExpectedAccepted {
			p.mu.Lock()
			t.accepted = max(t.accepted, o.ExpectedAccepted+1)
			p.mu.Unlock()
			return startedEarlier, nil
		}
		if !sleep.For(ctx, delay) {
			return notStarted, ctx.Err()
		}
	}
}

// orderTiming returns how long an attempt at an order may take, and the delay before the next one.
func (p *Placer) orderTiming(retries int) (timeout, delay time.Duration) {
	if p.cfg.Waves && retries == 0 {
		return waveOrderTimeout, waveRetryDelay
	}
	return orderTimeout, orderRetryDelay
}

// hasNoEffect reports whether the error of an order proves that the order has no effect and never will have. After any
// other error the outcome is unknown.
func hasNoEffect(err error) bool {
	for _, e := range []error{orders.ErrConflict, orders.ErrFenced, orders.ErrWrongTarget, orders.ErrInvalid, orders.ErrNotSent, orders.ErrPaused} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// logOrder logs and counts one attempt to send an order; retries is the number of attempts before it.
func (p *Placer) logOrder(t *registry.Target, o orders.Order, done bool, err error, retries int) {
	outcome := "accepted"
	switch {
	case err != nil && hasNoEffect(err):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	case done:
		outcome = "holds"
	}
	p.cfg.Metrics.GetOrCreateCounter(`cuminhook_orders_total{op="` + string(o.Op) + `",outcome="` + outcome + `"}`).Inc()
	attrs := []any{
		"op", string(o.Op), "model", o.Model, "adapter", o.Adapter, "target", t.ID, "expected", o.ExpectedAccepted,
		"fence", o.Fence,
		"again", retries, "outcome", outcome,
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	p.cfg.Log.Info("order", attrs...)
}

// loadModel sends the order to load a model and waits for its execution.
func (p *Placer) loadModel(ctx context.Context, t *target, e *catalog.Engine, a residency.Action) {
	outcome, err := p.sendUntilResolved(ctx, t, orders.Order{Op: orders.Load, Model: a.Model})
	p.recordBegin(t, a, outcome)
	if err != nil {
		p.requireSync(t, syncInterval)
		return
	}
	if outcome != holds {
		p.awaitExecution(ctx, t, orders.Order{Op: orders.Load, Model: a.Model}, time.Duration(firstPollFraction*float64(loadDuration(e, a))))
		return
	}
	p.requireSync(t, maxReportAge)
}

// recordBegin tells the planner that the outcome of the order for a load is known.
func (p *Placer) recordBegin(t *target, a residency.Action, o outcome) {
	if !a.FromStore {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if planner := p.planners[t.info.Service]; planner != nil {
		planner.Began(t.info.ID, a.Model, o == started, time.Now())
	}
}

// loadDuration returns how long the load of an action takes.
func loadDuration(e *catalog.Engine, a residency.Action) time.Duration {
	m := e.Models[a.Model]
	switch {
	case m == nil:
		return 0
	case a.FromStore:
		return m.StoreLoadTime
	default:
		return m.DiskLoadTime
	}
}

// unloadModel waits until the hosts no longer use the model, sends the order to unload it and waits for its execution. With waves it
// does not wait for a model that nobody asks for: a request that comes in that moment is told that the model is missing, and has not run.
func (p *Placer) unloadModel(ctx context.Context, t *target, model string, idle bool) {
	if !(idle && p.cfg.Waves) && !sleep.For(ctx, retireStatePeriods*p.cfg.StateInterval()+stateDelay) {
		return
	}
	outcome, err := p.sendUntilResolved(ctx, t, orders.Order{Op: orders.Unload, Model: model})
	if err != nil || outcome == holds {
		p.requireSync(t, syncInterval)
		return
	}
	p.awaitExecution(ctx, t, orders.Order{Op: orders.Unload, Model: model}, reportPollInterval)
}

// awaitExecution polls the target's report, first after firstPoll, until the target has executed the accepted order o and all
// before it, or executionTimeout has passed.
func (p *Placer) awaitExecution(ctx context.Context, t *target, o orders.Order, firstPoll time.Duration) {
	began := time.Now()
	deadline := began.Add(executionTimeout)
	wait := firstPoll
	for sleep.For(ctx, wait) && time.Now().Before(deadline) {
		wait = reportPollInterval
		r, err := p.fetchReport(ctx, t)
		if err != nil && ctx.Err() == nil {
			p.cfg.Log.Warn("no report", "target", t.info.ID, "error", err.Error())
		}
		p.mu.Lock()
		if err == nil && !r.Busy && r.Accepted >= t.accepted {
			t.applyReport(r)
			p.mu.Unlock()
			p.cfg.Log.Info("order executed", "op", string(o.Op), "model", o.Model, "target", t.info.ID, "seconds", time.Since(began).Seconds())
			return
		}
		removed := p.targets[t.info.ID] != t
		p.mu.Unlock()
		if removed {
			return
		}
	}
	if ctx.Err() == nil {
		p.cfg.Log.Warn("order not executed in time", "op", string(o.Op), "model", o.Model, "target", t.info.ID)
	}
	p.requireSync(t, maxReportAge)
}
