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

type entryKey struct{ kind, name string }

// retirement is an entry on its way out: out of the view first, then unloaded.
type retirement struct {
	action placement.Action
	queued bool // the unload is queued or under way
}

// backoff delays the repetition of what failed.
type backoff struct {
	until time.Time
	delay time.Duration
}

func (b backoff) next(now time.Time) backoff {
	d := min(max(2*b.delay, retryFirst), retryMax)
	return backoff{now.Add(d), d}
}

// target is an engine target. All fields are guarded by term.state. While busy is set, one job works on the
// target; it alone replaces ledger, whose value is never changed once it is set.
type target struct {
	id       string
	host     hostlist.Host
	busy     bool
	ledger   *ledger.Ledger // nil until taken over, and while it has to be read again
	last     *ledger.Ledger // the one before it has to be read again, for planning only
	version  kv.Version
	unstored bool      // ledger holds confirmed outcomes that are not stored yet
	reported time.Time // when the last answered report was requested
	failing  time.Time // when the first report since the last answered one failed; zero if none did
	tried    time.Time // when a report was last requested
	// suspected: a gateway could not use the target since the last report was requested.
	suspected bool
	period    time.Duration // between reports while the target answers
	slots     int
	prefill   float64 // tokens a second, zero if unknown
	decode    float64 // tokens a second of a full batch, zero if unknown
	queue     []placement.Action
	retiring  map[entryKey]*retirement
	refused   map[entryKey]backoff
	since     map[entryKey]time.Time // start of residence
	resolve   backoff                // for orders in doubt
}

func (t *target) alive(now time.Time) bool {
	return !t.reported.IsZero() && (t.failing.IsZero() || now.Sub(t.failing) < unreachableAfter)
}

// routable reports whether the entry is confirmed as resident, so that no unsettled order can remove it.
func (t *target) routable(k entryKey) bool {
	if t.ledger == nil || !t.ledger.Settled() {
		return false
	}
	e := t.ledger.Entry(k.kind, k.name)
	return e != nil && e.State() == ledger.Resident
}

func (t *target) queued(k entryKey) bool {
	return slices.ContainsFunc(t.queue, func(a placement.Action) bool { return a.Kind == k.kind && a.Name == k.name })
}

// dropQueue gives up the queued actions. Retirements stay and are queued again.
func (t *target) dropQueue() {
	t.queue = nil
	for _, r := range t.retiring {
		r.queued = false
	}
}

// due reports whether the target needs a job.
func (t *target) due(now time.Time) bool {
	return t.ledger == nil && now.Sub(t.tried) >= planPeriod || t.unstored || len(t.queue) > 0 || t.reportDue(now)
}

// reportDue reports whether the target is to be asked for its report.
func (t *target) reportDue(now time.Time) bool {
	every := t.period
	if !t.failing.IsZero() || t.suspected || t.ledger == nil || !t.ledger.Settled() || t.ledger.InDoubt() {
		every = reportPeriod
	}
	return now.Sub(t.tried) >= every
}

// planned is the planner's view of the target.
func (t *target) planned(now time.Time) placement.TargetState {
	s := placement.TargetState{
		ID: t.id, Zone: t.host.Zone, Leaving: t.host.Leaving, Slots: t.slots, Alive: t.alive(now), Blocked: true,
		PrefillRate: t.prefill, DecodeRate: t.decode,
	}
	l := t.ledger
	if l == nil {
		l = t.last
	}
	if l == nil {
		return s
	}
	s.Capacity = l.Capacity
	s.Blocked = t.ledger == nil || !l.Settled()
	for i := range l.Entries {
		s.Held = append(s.Held, t.heldEntry(&l.Entries[i]))
	}
	for _, a := range t.queue {
		if a.Op == placement.Load && l.Entry(a.Kind, a.Name) == nil {
			s.Held = append(s.Held, placement.Held{Kind: a.Kind, Name: a.Name, Bytes: a.Bytes, State: placement.Loading, Since: now})
		}
	}
	for k, b := range t.refused {
		if now.Sub(b.until) > retryMax {
			delete(t.refused, k)
		}
		// An entry that was refused lately is shown as one that must not be loaded here.
		if now.Before(b.until) && l.Entry(k.kind, k.name) == nil && !t.queued(k) {
			s.Held = append(s.Held, placement.Held{Kind: k.kind, Name: k.name, State: placement.Gone, Since: now})
		}
	}
	return s
}

func (t *target) heldEntry(e *ledger.Entry) placement.Held {
	k := entryKey{e.Kind, e.Name}
	h := placement.Held{Kind: e.Kind, Name: e.Name, Bytes: e.Held(), Since: t.since[k]}
	switch e.State() {
	case ledger.Resident:
		h.State = placement.Resident
		if r := t.retiring[k]; r != nil {
			h.State = placement.Retiring
			if r.queued {
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
		h.State = placement.Gone
	default:
		h.State = placement.Doubt
	}
	return h
}

// job is the work on one target. It reads and writes the target's shared fields through get and set.
type job struct {
	tm *term
	t  *target
	l  *ledger.Ledger // own copy, published by show
}

// work runs one job. Errors of the target or the key-value service end the job; a later one goes on.
func (tm *term) work(ctx context.Context, t *target) {
	j := &job{tm: tm, t: t}
	defer func() {
		tm.state.Lock()
		t.busy = false
		tm.state.Unlock()
	}()
	if err := j.run(ctx); errors.Is(err, errTermOver) || errors.Is(err, ledger.ErrSuperseded) {
		tm.fail(errTermOver)
	} else if err != nil {
		tm.deps.Log.Warn("target work failed", "target", t.id, "err", err)
	}
}

func (j *job) run(ctx context.Context) error {
	if err := j.takeOver(ctx); err != nil {
		return err
	}
	if err := j.flush(ctx); err != nil {
		return err
	}
	now := time.Now()
	if !j.l.Settled() || j.reportDue(now) {
		if err := j.refresh(ctx); err != nil {
			j.dropQueue()
			return err
		}
	}
	if !j.l.Settled() {
		return nil
	}
	if err := j.repeat(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		a, ok := j.pop()
		if !ok {
			return nil
		}
		if err := j.carryOut(ctx, a); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (j *job) reportDue(now time.Time) bool {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	return j.t.reportDue(now)
}

// show publishes a copy of the job's ledger to the loop.
func (j *job) show() {
	now := time.Now()
	l := j.l.Clone()
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	j.t.ledger = l
	since := make(map[entryKey]time.Time, len(l.Entries))
	for i := range l.Entries {
		k := entryKey{l.Entries[i].Kind, l.Entries[i].Name}
		if since[k] = j.t.since[k]; since[k].IsZero() {
			since[k] = now
		}
	}
	j.t.since = since
}

// takeOver reads the ledger and rewrites it with this term's epoch, which defeats later writes of any
// predecessor. Orders that this term wrote but never sent are dropped.
func (j *job) takeOver(ctx context.Context) error {
	if j.t.ledger != nil {
		j.l = j.t.ledger.Clone()
		return nil
	}
	j.tm.state.Lock()
	j.t.tried = time.Now()
	j.tm.state.Unlock()
	ctx, cancel := context.WithTimeout(ctx, kvDeadline)
	defer cancel()
	l, version, err := j.tm.store.Get(ctx, j.t.id)
	if err != nil {
		return err
	}
	if err := l.TakeOver(j.tm.epoch); err != nil {
		return err
	}
	for _, id := range l.Pending(j.tm.epoch) {
		if !j.wasSent(id) {
			l.NoEffect(id)
		}
	}
	j.l = l
	if err := j.put(ctx, version); err != nil {
		return err
	}
	j.tm.state.Lock()
	j.t.tried = time.Time{}
	j.tm.state.Unlock()
	j.show()
	return nil
}

// flush stores outcomes that a failed write left only in memory.
func (j *job) flush(ctx context.Context) error {
	if !j.t.unstored {
		return nil
	}
	if err := j.store(ctx); err != nil {
		return err
	}
	j.tm.state.Lock()
	j.t.unstored = false
	j.tm.state.Unlock()
	return nil
}

// store writes the job's ledger over the version known. If the stored ledger is another one, it is read
// again by the next job.
func (j *job) store(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, kvDeadline)
	defer cancel()
	err := j.put(ctx, j.t.version)
	if errors.Is(err, kv.ErrConflict) {
		j.tm.met.conflicts.Inc()
		j.forget()
	}
	return err
}

func (j *job) put(ctx context.Context, expect kv.Version) error {
	if !j.tm.held() {
		return errTermOver
	}
	version, err := j.tm.store.Put(ctx, j.l, expect)
	if err != nil {
		return err
	}
	j.tm.state.Lock()
	j.t.version = version
	j.tm.state.Unlock()
	return nil
}

// forget makes the next job read the stored ledger again.
func (j *job) forget() {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	if j.t.ledger != nil {
		j.t.last = j.t.ledger
	}
	j.t.ledger, j.t.version, j.t.unstored = nil, 0, false
	j.t.dropQueue()
}

// dropQueue gives up the queued actions; the planner plans again on what is then known.
func (j *job) dropQueue() {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	j.t.dropQueue()
}

// refresh reconciles the ledger with the target's report. A fencing target first gets a fence if any order
// is in doubt or the term has just begun.
func (j *job) refresh(ctx context.Context) error {
	report, err := j.report(ctx)
	if err != nil {
		return err
	}
	changed := j.l.Reconcile(report, engine.Order{})
	if j.l.Fences && (!j.l.Settled() || j.l.InDoubt()) {
		fence := j.l.Fence()
		if err := j.sendOrder(ctx, fence, reportDeadline); err != nil {
			j.show() // keeps the number that the fence used
			return err
		}
		if report, err = j.report(ctx); err != nil {
			return err
		}
		j.l.Reconcile(report, fence)
		changed = true
	}
	if changed {
		if err := j.store(ctx); err != nil {
			return err
		}
	}
	j.show()
	return nil
}

func (j *job) report(ctx context.Context) (engine.Report, error) {
	start := time.Now()
	j.tm.state.Lock()
	j.t.tried, j.t.suspected = start, false
	addr := j.t.host.Addr
	j.tm.state.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportDeadline)
	defer cancel()
	r, err := j.tm.deps.Engines.Report(ctx, addr)
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	if err != nil {
		if j.t.failing.IsZero() {
			j.t.failing = start
		}
		return r, err
	}
	j.t.reported, j.t.failing = start, time.Time{}
	j.t.slots = r.Load.Slots
	j.t.prefill, j.t.decode = r.PrefillRate, r.DecodeRate
	return r, nil
}

// sendOrder checks the lease and sends an order whose intent, if it has one, is stored.
func (j *job) sendOrder(ctx context.Context, o engine.Order, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	j.tm.state.Lock()
	addr := j.t.host.Addr
	j.tm.state.Unlock()
	if !j.tm.held() {
		return errTermOver
	}
	j.tm.met.orders.Inc()
	j.tm.met.order(o.Kind).Inc()
	return j.tm.deps.Engines.Order(ctx, addr, o)
}

func (j *job) pop() (placement.Action, bool) {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	if len(j.t.queue) == 0 {
		return placement.Action{}, false
	}
	a := j.t.queue[0]
	j.t.queue = j.t.queue[1:]
	return a, true
}

// carryOut stores the intent of an action, sends its order and records the outcome.
func (j *job) carryOut(ctx context.Context, a placement.Action) error {
	k := entryKey{a.Kind, a.Name}
	if e := j.l.Entry(a.Kind, a.Name); a.Op == placement.Load && e != nil && e.State() == ledger.Resident {
		return nil // planned before the last report
	}
	var o engine.Order
	var err error
	if a.Op == placement.Load {
		o, err = j.l.IntendLoad(a.Kind, a.Name, a.Model, a.Bytes)
	} else {
		defer j.endRetirement(k)
		o, err = j.l.IntendUnload(a.Kind, a.Name)
	}
	if err != nil {
		j.refuse(k)
		return nil
	}
	return j.order(ctx, o, k)
}

func (j *job) endRetirement(k entryKey) {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	delete(j.t.retiring, k)
}

func (j *job) refuse(k entryKey) {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	j.t.refused[k] = j.t.refused[k].next(time.Now())
}

// order stores the ledger with the intent of o, sends o and records the outcome.
func (j *job) order(ctx context.Context, o engine.Order, k entryKey) error {
	if err := j.store(ctx); err != nil {
		j.forget() // the write may have taken effect
		return err
	}
	if !j.allowed(o, k) {
		j.l.NoEffect(o.ID)
		return j.record(ctx)
	}
	j.l.Sent(o.ID)
	j.markSent(o.ID)
	j.show()
	err := j.sendOrder(ctx, o, orderDeadline)
	switch {
	case err == nil:
		j.tm.met.confirmed.Inc()
		j.l.Done(o.ID)
		j.clearRefusal(k)
	case errors.Is(err, errTermOver):
		return err // the intent stays in the ledger for the successor
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrOrderRefused), errors.Is(err, engine.ErrNotRun):
		j.tm.met.refused.Inc()
		j.l.NoEffect(o.ID)
		j.refuse(k)
	default:
		j.tm.met.doubted.Inc()
		j.l.Lost(o.ID)
	}
	j.tm.deps.Log.Info("order", "target", j.t.id, "kind", o.Kind, "name", o.Name, "id", o.ID, "err", err)
	err = j.record(ctx)
	if err == nil && !slices.Contains(j.l.Pending(j.tm.epoch), o.ID) {
		j.tm.state.Lock()
		defer j.tm.state.Unlock()
		delete(j.tm.sent, o.ID)
	}
	return err
}

// allowed checks once more, after the intent was stored, that an unload keeps to the rules.
func (j *job) allowed(o engine.Order, k entryKey) bool {
	if o.Kind != engine.OrderUnloadModel && o.Kind != engine.OrderUnloadAdapter {
		return true
	}
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	return j.tm.mayUnload(j.t, k)
}

func (j *job) markSent(id string) {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	j.tm.sent[id] = true
}

func (j *job) wasSent(id string) bool {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	return j.tm.sent[id]
}

func (j *job) clearRefusal(k entryKey) {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	delete(j.t.refused, k)
}

// record shows the outcome and stores it. If that fails the outcome stays in memory and is stored later.
func (j *job) record(ctx context.Context) error {
	j.show()
	err := j.store(context.WithoutCancel(ctx))
	if err != nil && j.t.ledger != nil {
		j.tm.state.Lock()
		j.t.unstored = true
		j.tm.state.Unlock()
	}
	return err
}

// repeat brings one entry in doubt to a known state. Targets that fence need none: a fence settles all. A
// repeated order does not settle the one in doubt, whose reservation stays.
func (j *job) repeat(ctx context.Context) error {
	now := time.Now()
	if j.l.Fences || now.Before(j.t.resolve.until) {
		return nil
	}
	i := slices.IndexFunc(j.l.Entries, func(e ledger.Entry) bool { return e.State() == ledger.Doubt })
	if i < 0 {
		j.setResolve(backoff{})
		return nil
	}
	j.setResolve(j.t.resolve.next(now))
	e := &j.l.Entries[i]
	k := entryKey{e.Kind, e.Name}
	var o engine.Order
	var err error
	if e.Unloading() {
		o, err = j.l.IntendUnload(e.Kind, e.Name)
	} else {
		o, err = j.l.IntendLoad(e.Kind, e.Name, e.Model, e.Bytes)
	}
	if err != nil {
		return nil
	}
	return j.order(ctx, o, k)
}

func (j *job) setResolve(b backoff) {
	j.tm.state.Lock()
	defer j.tm.state.Unlock()
	j.t.resolve = b
}
