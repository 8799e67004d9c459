package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/ledger"
	"cuminhook.org/cuminhook/lib/placement"
)

// entryKey identifies a model or adapter.
type entryKey struct{ kind, name string }

// retirement is the planned unload of an entry, which first leaves the view and is then unloaded.
type retirement struct {
	action       placement.Action
	unloadQueued bool // the unload is queued or in progress
}

// backoff is a retry delay that doubles with every failure, from minRetryDelay to maxRetryDelay.
type backoff struct {
	until time.Time
	delay time.Duration
}

// next returns the backoff after another failure at now.
func (b backoff) next(now time.Time) backoff {
	d := min(max(2*b.delay, minRetryDelay), maxRetryDelay)
	return backoff{now.Add(d), d}
}

// target is an engine target. All fields are guarded by term.targetsMu. While busy is set, a job is running for the
// target, and only that job replaces ledger. A ledger is never modified after it was assigned to the field.
type target struct {
	id            string
	host          hostlist.Host
	busy          bool
	ledger        *ledger.Ledger // nil until it is loaded in this term, and while it has to be read again
	lastLedger    *ledger.Ledger // last known one while ledger is nil, for planning only
	ledgerVersion kv.Version
	hasUnstored   bool      // ledger has recorded outcomes that are not stored yet
	reportedAt    time.Time // when the last answered report was requested
	failingSince  time.Time // when the first report since the last answered one failed; zero if none did
	lastAttempt   time.Time // when a report was last requested or a read of the ledger begun; zero after a read
	// suspected is set if a gateway could not use the target since the last report was requested.
	suspected      bool
	reportPeriod   time.Duration // time between reports while the target answers
	slots          int
	prefillRate    float64 // tokens per second, zero if unknown
	decodeRate     float64 // tokens per second of a full batch, zero if unknown
	queue          []placement.Action
	retiring       map[entryKey]*retirement
	refused        map[entryKey]backoff
	entrySince     map[entryKey]time.Time // when the entry was first seen in the ledger
	resolveBackoff backoff                // for orders of unknown outcome
}

// alive reports whether the target has answered a report request and such requests have not been failing for
// unreachableTimeout.
func (t *target) alive(now time.Time) bool {
	return !t.reportedAt.IsZero() && (t.failingSince.IsZero() || now.Sub(t.failingSince) < unreachableTimeout)
}

// routable reports whether the entry is confirmed as resident, so that no unresolved order can remove it.
func (t *target) routable(k entryKey) bool {
	if t.ledger == nil || !t.ledger.Reconciled() {
		return false
	}
	e := t.ledger.Entry(k.kind, k.name)
	return e != nil && e.State() == ledger.Resident
}

// hasQueued reports whether an action for the entry is queued.
func (t *target) hasQueued(k entryKey) bool {
	return slices.ContainsFunc(t.queue, func(a placement.Action) bool { return a.Kind == k.kind && a.Name == k.name })
}

// dropQueue drops the queued actions. Retirements stay, so that their unloads are queued again.
func (t *target) dropQueue() {
	t.queue = nil
	for _, r := range t.retiring {
		r.unloadQueued = false
	}
}

// needsJob reports whether there is work for a job on the target.
func (t *target) needsJob(now time.Time) bool {
	return t.ledger == nil && now.Sub(t.lastAttempt) >= planPeriod || t.hasUnstored || len(t.queue) > 0 || t.reportDue(now)
}

// reportDue reports whether it is time to fetch the target's report.
func (t *target) reportDue(now time.Time) bool {
	interval := t.reportPeriod
	if !t.failingSince.IsZero() || t.suspected || t.ledger == nil || !t.ledger.Reconciled() || t.ledger.HasUnresolved() {
		interval = minReportInterval
	}
	return now.Sub(t.lastAttempt) >= interval
}

// plannerState returns the state of the target as input for the planner. The caller holds targetsMu.
func (t *target) plannerState(now time.Time) placement.TargetState {
	s := placement.TargetState{
		ID: t.id, Zone: t.host.Zone, Leaving: t.host.Leaving, Slots: t.slots, Alive: t.alive(now), Blocked: true,
		PrefillRate: t.prefillRate, DecodeRate: t.decodeRate,
	}
	l := t.ledger
	if l == nil {
		l = t.lastLedger
	}
	if l == nil {
		return s
	}
	s.Capacity = l.Capacity
	s.Blocked = t.ledger == nil || !l.Reconciled()
	for i := range l.Entries {
		s.Residencies = append(s.Residencies, t.plannerEntry(&l.Entries[i]))
	}
	for _, a := range t.queue {
		if a.Op == placement.Load && l.Entry(a.Kind, a.Name) == nil {
			s.Residencies = append(s.Residencies, placement.Residency{
				Kind: a.Kind, Name: a.Name, Bytes: a.Bytes, State: placement.Loading, Since: now,
			})
		}
	}
	for k, b := range t.refused {
		if now.Sub(b.until) > maxRetryDelay {
			delete(t.refused, k)
		}
		// An entry whose order was refused recently is passed as NotLoadable, which keeps the planner from loading it here.
		if now.Before(b.until) && l.Entry(k.kind, k.name) == nil && !t.hasQueued(k) {
			s.Residencies = append(s.Residencies, placement.Residency{
				Kind: k.kind, Name: k.name, State: placement.NotLoadable, Since: now,
			})
		}
	}
	return s
}

// plannerEntry returns a ledger entry as input for the planner.
func (t *target) plannerEntry(e *ledger.Entry) placement.Residency {
	k := entryKey{e.Kind, e.Name}
	h := placement.Residency{Kind: e.Kind, Name: e.Name, Bytes: e.ReservedBytes(), Since: t.entrySince[k]}
	switch e.State() {
	case ledger.Resident:
		h.State = placement.Resident
		if r := t.retiring[k]; r != nil {
			h.State = placement.Retiring
			if r.unloadQueued {
				h.State = placement.Unloading
			}
		}
	case ledger.Loading:
		h.State = placement.Loading
	case ledger.Unloading:
		h.State = placement.Unloading
	case ledger.Intended:
		h.State = placement.Loading
		if t.retiring[k] != nil {
			h.State = placement.Unloading
		}
	case ledger.Gone:
		h.State = placement.NotLoadable
	default:
		h.State = placement.Unknown
	}
	return h
}

// job does the pending work of one target: it maintains its ledger and executes its queued actions.
type job struct {
	tm      *term
	t       *target
	working *ledger.Ledger // private working copy; publishLedger makes it visible to the control loop
}

// runJob runs one job for the target. An error of the target or the key-value service ends the job, and a later job
// goes on with the work.
func (tm *term) runJob(ctx context.Context, t *target) {
	j := &job{tm: tm, t: t}
	defer func() {
		tm.targetsMu.Lock()
		t.busy = false
		tm.targetsMu.Unlock()
	}()
	if err := j.run(ctx); errors.Is(err, errTermOver) || errors.Is(err, ledger.ErrSuperseded) {
		tm.fail(errTermOver)
	} else if err != nil {
		tm.deps.Log.Warn("target work failed", "target", t.id, "err", err)
	}
}

func (j *job) run(ctx context.Context) error {
	if err := j.loadLedger(ctx); err != nil {
		return err
	}
	if err := j.storePending(ctx); err != nil {
		return err
	}
	now := time.Now()
	if !j.working.Reconciled() || j.reportDue(now) {
		if err := j.reconcile(ctx); err != nil {
			j.dropQueue()
			return err
		}
	}
	if !j.working.Reconciled() {
		return nil
	}
	if err := j.resolveUnknown(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		a, ok := j.popAction()
		if !ok {
			return nil
		}
		if err := j.execute(ctx, a); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// reportDue reports whether it is time to fetch the target's report.
func (j *job) reportDue(now time.Time) bool {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	return j.t.reportDue(now)
}

// publishLedger makes a copy of the job's ledger visible to the control loop.
func (j *job) publishLedger() {
	now := time.Now()
	l := j.working.Clone()
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	j.t.ledger = l
	since := make(map[entryKey]time.Time, len(l.Entries))
	for i := range l.Entries {
		k := entryKey{l.Entries[i].Kind, l.Entries[i].Name}
		if since[k] = j.t.entrySince[k]; since[k].IsZero() {
			since[k] = now
		}
	}
	j.t.entrySince = since
}

// loadLedger reads the stored ledger and rewrites it with this term's epoch, so that later writes of earlier
// controllers fail. Orders that this term stored but did not send are dropped.
func (j *job) loadLedger(ctx context.Context) error {
	if j.t.ledger != nil {
		j.working = j.t.ledger.Clone()
		return nil
	}
	j.tm.targetsMu.Lock()
	j.t.lastAttempt = time.Now()
	j.tm.targetsMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	l, version, err := j.tm.ledgers.Get(ctx, j.t.id)
	if err != nil {
		return err
	}
	if err := l.BeginTerm(j.tm.epoch); err != nil {
		return err
	}
	for _, id := range l.UnresolvedIDs(j.tm.epoch) {
		if !j.wasSent(id) {
			l.MarkNoEffect(id)
		}
	}
	j.working = l
	if err := j.putLedger(ctx, version); err != nil {
		return err
	}
	j.tm.targetsMu.Lock()
	j.t.lastAttempt = time.Time{}
	j.tm.targetsMu.Unlock()
	j.publishLedger()
	return nil
}

// storePending stores the outcomes that are only in memory because an earlier write failed.
func (j *job) storePending(ctx context.Context) error {
	if !j.t.hasUnstored {
		return nil
	}
	if err := j.storeLedger(ctx); err != nil {
		return err
	}
	j.tm.targetsMu.Lock()
	j.t.hasUnstored = false
	j.tm.targetsMu.Unlock()
	return nil
}

// storeLedger replaces the known version of the stored ledger by the job's ledger. After a conflict the next job reads
// the stored ledger again.
func (j *job) storeLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	err := j.putLedger(ctx, j.t.ledgerVersion)
	if errors.Is(err, kv.ErrConflict) {
		j.tm.metrics.ledgerConflicts.Inc()
		j.discardLedger()
	}
	return err
}

// putLedger replaces the version expect of the stored ledger by the job's ledger.
func (j *job) putLedger(ctx context.Context, expect kv.Version) error {
	if !j.tm.leaseValid() {
		return errTermOver
	}
	version, err := j.tm.ledgers.Put(ctx, j.working, expect)
	if err != nil {
		return err
	}
	j.tm.targetsMu.Lock()
	j.t.ledgerVersion = version
	j.tm.targetsMu.Unlock()
	return nil
}

// discardLedger drops the target's ledger and queued actions, so that the next job reads the stored ledger again.
func (j *job) discardLedger() {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	if j.t.ledger != nil {
		j.t.lastLedger = j.t.ledger
	}
	j.t.ledger, j.t.ledgerVersion, j.t.hasUnstored = nil, 0, false
	j.t.dropQueue()
}

// dropQueue drops the queued actions. The planner plans again with the state that is then known.
func (j *job) dropQueue() {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	j.t.dropQueue()
}

// reconcile updates the ledger from the target's report. If orders are unresolved or the term has just begun, a target
// that supports fencing then gets a fence and is asked for another report.
func (j *job) reconcile(ctx context.Context) error {
	report, err := j.fetchReport(ctx)
	if err != nil {
		return err
	}
	changed := j.working.Reconcile(report, engine.Order{})
	if j.working.Fences && (!j.working.Reconciled() || j.working.HasUnresolved()) {
		fence := j.working.NewFence()
		if err := j.sendOrder(ctx, fence, reportTimeout); err != nil {
			j.publishLedger() // keeps the sequence number of the fence from being used again
			return err
		}
		if report, err = j.fetchReport(ctx); err != nil {
			return err
		}
		j.working.Reconcile(report, fence)
		changed = true
	}
	if changed {
		if err := j.storeLedger(ctx); err != nil {
			return err
		}
	}
	j.publishLedger()
	return nil
}

// fetchReport asks the target for its report and records whether it answered.
func (j *job) fetchReport(ctx context.Context) (engine.Report, error) {
	start := time.Now()
	j.tm.targetsMu.Lock()
	j.t.lastAttempt, j.t.suspected = start, false
	addr := j.t.host.Addr
	j.tm.targetsMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := j.tm.deps.Engines.Report(ctx, addr)
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	if err != nil {
		if j.t.failingSince.IsZero() {
			j.t.failingSince = start
		}
		return r, err
	}
	j.t.reportedAt, j.t.failingSince = start, time.Time{}
	j.t.slots = r.Load.Slots
	j.t.prefillRate, j.t.decodeRate = r.PrefillRate, r.DecodeRate
	return r, nil
}

// sendOrder checks the lease and sends the order. Except for fences, the ledger with the order must be stored before.
func (j *job) sendOrder(ctx context.Context, o engine.Order, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	j.tm.targetsMu.Lock()
	addr := j.t.host.Addr
	j.tm.targetsMu.Unlock()
	if !j.tm.leaseValid() {
		return errTermOver
	}
	j.tm.metrics.ordersSent.Inc()
	j.tm.metrics.ordersOfKind(o.Kind).Inc()
	return j.tm.deps.Engines.Order(ctx, addr, o)
}

// popAction removes the first action from the target's queue.
func (j *job) popAction() (placement.Action, bool) {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	if len(j.t.queue) == 0 {
		return placement.Action{}, false
	}
	a := j.t.queue[0]
	j.t.queue = j.t.queue[1:]
	return a, true
}

// execute stores the order of an action as intended, sends it and records its outcome.
func (j *job) execute(ctx context.Context, a placement.Action) error {
	k := entryKey{a.Kind, a.Name}
	if e := j.working.Entry(a.Kind, a.Name); a.Op == placement.Load && e != nil && e.State() == ledger.Resident {
		return nil // loaded since the action was planned
	}
	var o engine.Order
	var err error
	if a.Op == placement.Load {
		o, err = j.working.IntendLoad(a.Kind, a.Name, a.Model, a.Bytes)
	} else {
		defer j.endRetirement(k)
		o, err = j.working.IntendUnload(a.Kind, a.Name)
	}
	if err != nil {
		j.recordRefusal(k)
		return nil
	}
	return j.executeOrder(ctx, o, k)
}

// endRetirement removes the retirement of the entry, after its unload or if the unload cannot be issued.
func (j *job) endRetirement(k entryKey) {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	delete(j.t.retiring, k)
}

// recordRefusal delays the next order for the entry.
func (j *job) recordRefusal(k entryKey) {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	j.t.refused[k] = j.t.refused[k].next(time.Now())
}

// executeOrder stores the ledger with the intended order o, sends o and records its outcome.
func (j *job) executeOrder(ctx context.Context, o engine.Order, k entryKey) error {
	if err := j.storeLedger(ctx); err != nil {
		j.discardLedger() // the write may have taken effect
		return err
	}
	if !j.stillAllowed(o, k) {
		j.working.MarkNoEffect(o.ID)
		return j.recordOutcome(ctx)
	}
	j.working.MarkSent(o.ID)
	j.markSent(o.ID)
	j.publishLedger()
	err := j.sendOrder(ctx, o, orderTimeout)
	switch {
	case err == nil:
		j.tm.metrics.ordersConfirmed.Inc()
		j.working.MarkDone(o.ID)
		j.clearRefusal(k)
	case errors.Is(err, errTermOver):
		return err // the stored order is left to the next controller
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrOrderRefused), errors.Is(err, engine.ErrNotRun):
		j.tm.metrics.ordersRefused.Inc()
		j.working.MarkNoEffect(o.ID)
		j.recordRefusal(k)
	default:
		j.tm.metrics.ordersUnknown.Inc()
		j.working.MarkUnknown(o.ID)
	}
	j.tm.deps.Log.Info("order", "target", j.t.id, "kind", o.Kind, "name", o.Name, "id", o.ID, "err", err)
	err = j.recordOutcome(ctx)
	if err == nil && !slices.Contains(j.working.UnresolvedIDs(j.tm.epoch), o.ID) {
		j.tm.targetsMu.Lock()
		defer j.tm.targetsMu.Unlock()
		delete(j.tm.sentOrders, o.ID)
	}
	return err
}

// stillAllowed reports whether an order may still be sent after its ledger was stored. Only unloads need the check.
func (j *job) stillAllowed(o engine.Order, k entryKey) bool {
	if o.Kind != engine.OrderUnloadModel && o.Kind != engine.OrderUnloadAdapter {
		return true
	}
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	return j.tm.mayUnload(j.t, k)
}

func (j *job) markSent(id string) {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	j.tm.sentOrders[id] = true
}

func (j *job) wasSent(id string) bool {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	return j.tm.sentOrders[id]
}

func (j *job) clearRefusal(k entryKey) {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	delete(j.t.refused, k)
}

// recordOutcome publishes and stores the ledger with the outcome of an order. If the write fails, the outcome stays in
// memory and is stored later.
func (j *job) recordOutcome(ctx context.Context) error {
	j.publishLedger()
	err := j.storeLedger(context.WithoutCancel(ctx))
	if err != nil && j.t.ledger != nil {
		j.tm.targetsMu.Lock()
		j.t.hasUnstored = true
		j.tm.targetsMu.Unlock()
	}
	return err
}

// resolveUnknown issues a new order for one entry of unknown state, which brings the entry into a known state. Targets
// that support fencing don't need it, as a fence resolves all orders. The new order does not resolve the earlier ones,
// whose memory stays reserved.
func (j *job) resolveUnknown(ctx context.Context) error {
	now := time.Now()
	if j.working.Fences || now.Before(j.t.resolveBackoff.until) {
		return nil
	}
	i := slices.IndexFunc(j.working.Entries, func(e ledger.Entry) bool { return e.State() == ledger.Unresolved })
	if i < 0 {
		j.setResolveBackoff(backoff{})
		return nil
	}
	j.setResolveBackoff(j.t.resolveBackoff.next(now))
	e := &j.working.Entries[i]
	k := entryKey{e.Kind, e.Name}
	var o engine.Order
	var err error
	if e.Unloading() {
		o, err = j.working.IntendUnload(e.Kind, e.Name)
	} else {
		o, err = j.working.IntendLoad(e.Kind, e.Name, e.Model, e.Bytes)
	}
	if err != nil {
		return nil
	}
	return j.executeOrder(ctx, o, k)
}

func (j *job) setResolveBackoff(b backoff) {
	j.tm.targetsMu.Lock()
	defer j.tm.targetsMu.Unlock()
	j.t.resolveBackoff = b
}
