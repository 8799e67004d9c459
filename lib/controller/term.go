package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/ledger"
	"cuminhook.org/cuminhook/lib/placement"
)

// term is the work under one lease. Its loop owns all fields that are not marked otherwise.
type term struct {
	*Controller
	epoch   int64
	begun   time.Time
	store   *ledger.Store
	planner Planner
	jobs    *errgroup.Group
	fail    context.CancelCauseFunc

	view        *placement.View // last one stored; nil before the first; written under state
	viewVersion kv.Version
	planned     time.Time // last plan
	viewRetry   time.Time // no attempt to store the view before

	// state guards targets and everything in them that jobs and the loop share.
	state   sync.Mutex
	targets map[string]*target
	models  map[string]bool // configured, as of the last tick
	sent    map[string]bool // ids of the orders that this term sent
	// listed holds when a view with a route was last in force, for routes that left the view lately. It is
	// not part of target, which ends when the host list drops the host for a moment.
	listed map[route]time.Time
}

// route is an entry on a target.
type route struct {
	target string
	entry  entryKey
}

// runTerm works until the lease is lost, a newer controller shows up or ctx ends. It returns after all
// jobs have ended.
func (c *Controller) runTerm(ctx context.Context, epoch int64, lost <-chan struct{}) error {
	tctx, fail := context.WithCancelCause(context.WithoutCancel(ctx))
	defer fail(nil)
	tm := &term{
		Controller: c, epoch: epoch, begun: time.Now(), store: ledger.NewStore(c.deps.KV, c.cfg.Cell),
		planner: c.deps.NewPlanner(), jobs: &errgroup.Group{}, fail: fail, targets: map[string]*target{}, sent: map[string]bool{}, listed: map[route]time.Time{},
	}
	tm.jobs.SetLimit(maxJobs)
	c.setTerm(tm)
	defer c.setTerm(nil)
	tm.jobs.Go(func() error { tm.keepManifest(tctx, ctx.Done()); return nil })
	err := tm.loop(tctx, ctx.Done(), lost)
	if err != nil {
		fail(err)
	}
	// A planned stop lets orders in progress end and be recorded, and starts none.
	tm.state.Lock()
	for _, t := range tm.targets {
		t.dropQueue()
	}
	tm.state.Unlock()
	_ = tm.jobs.Wait()
	return err
}

func (tm *term) loop(ctx context.Context, stop <-chan struct{}, lost <-chan struct{}) error {
	tick := time.NewTicker(planPeriod)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-lost:
			return errTermOver
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
			if !tm.held() {
				return errTermOver
			}
			tm.tick(ctx)
		}
	}
}

// held reports whether the lease of this term is certainly valid at this instant.
func (tm *term) held() bool {
	epoch, ok := tm.deps.Lease.Held()
	return ok && epoch == tm.epoch
}

func (tm *term) tick(ctx context.Context) {
	snap := tm.deps.View.Snapshot()
	tm.follow(snap)
	every := planPeriod * time.Duration(1+len(snap.Hosts)/planTargets)
	if now := time.Now(); now.Sub(tm.planned) >= every && tm.ready(snap) {
		tm.planned = now
		tm.publish(ctx, snap)
		start := time.Now()
		actions := tm.planner.Plan(tm.input(snap))
		tm.met.planTime.UpdateDuration(start)
		tm.apply(actions)
		tm.retire()
	}
	tm.startJobs(ctx)
}

// ready reports whether enough is known to plan: a configuration that is in force and every listed target,
// but for those that do not answer. Without this a new controller would see models as lost whose targets
// it has not asked yet.
func (tm *term) ready(snap *confview.Snapshot) bool {
	if tm.deps.View.Status() != confview.Fresh || len(snap.Hosts) == 0 {
		return false
	}
	if time.Since(tm.begun) > unreachableAfter {
		return true
	}
	tm.state.Lock()
	defer tm.state.Unlock()
	for _, t := range tm.targets {
		if t.ledger == nil || !t.ledger.Settled() {
			return false
		}
	}
	return true
}

// follow takes over the host list and the configured models.
func (tm *term) follow(snap *confview.Snapshot) {
	tm.state.Lock()
	defer tm.state.Unlock()
	tm.models = make(map[string]bool, len(snap.State.Models))
	for name := range snap.State.Models {
		tm.models[name] = true
	}
	listed := make(map[string]bool, len(snap.Hosts))
	period := max(reportPeriod, time.Duration(len(tm.targets))*time.Second/time.Duration(tm.cfg.ReportsPerSecond))
	for _, h := range snap.Hosts {
		if h.Role != hostlist.RoleEngine {
			continue
		}
		listed[h.ID] = true
		t := tm.targets[h.ID]
		if t == nil {
			t = &target{id: h.ID, retiring: map[entryKey]*retirement{}, refused: map[entryKey]backoff{}}
			tm.targets[h.ID] = t
		}
		t.host, t.period = h, period
	}
	for id, t := range tm.targets {
		if !listed[id] && !t.busy {
			delete(tm.targets, id)
		}
	}
}

// input is the planner's view of the cell.
func (tm *term) input(snap *confview.Snapshot) *placement.Input {
	now := time.Now()
	in := &placement.Input{Now: now, Demand: tm.demand(), Limits: tm.cfg.Limits}
	for _, m := range snap.State.Models {
		in.Models = append(in.Models, placement.ModelSpec{Name: m.Name, Bytes: m.Bytes, MinCopies: m.MinCopies})
	}
	for _, a := range snap.State.Adapters {
		in.Adapters = append(in.Adapters, placement.AdapterSpec{Name: a.Name, Model: a.Model, Bytes: a.Bytes})
	}
	tm.state.Lock()
	defer tm.state.Unlock()
	for _, t := range tm.targets {
		in.Targets = append(in.Targets, t.planned(now))
	}
	return in
}

// apply queues the planned actions. A planned unload first takes the entry out of the view.
func (tm *term) apply(actions []placement.Action) {
	tm.state.Lock()
	defer tm.state.Unlock()
	for _, a := range actions {
		t := tm.targets[a.Target]
		if t == nil || t.ledger == nil || !t.ledger.Settled() {
			continue
		}
		k := entryKey{a.Kind, a.Name}
		switch {
		case a.Op == placement.Load && t.retiring[k] != nil:
			if !t.retiring[k].queued {
				delete(t.retiring, k)
			}
		case a.Op == placement.Load && !t.queued(k):
			t.queue = append(t.queue, a)
		case a.Op == placement.Unload && t.retiring[k] == nil:
			t.retiring[k] = &retirement{action: a}
			tm.deps.Log.Info("retire", "target", a.Target, "kind", a.Kind, "name", a.Name, "reason", a.Reason)
		}
	}
}

// retire queues the unloads whose entries have been out of the view for long enough, and gives up those
// that would remove the last routable copy.
func (tm *term) retire() {
	now := time.Now()
	tm.state.Lock()
	defer tm.state.Unlock()
	for _, t := range tm.targets {
		for k, r := range t.retiring {
			switch {
			case t.ledger == nil || t.ledger.Entry(k.kind, k.name) == nil:
				delete(t.retiring, k)
			case r.queued:
			case !tm.redundant(t, k):
				delete(t.retiring, k)
			case tm.unlisted(t, k, now):
				r.queued = true
				t.queue = append(t.queue, r.action)
			}
		}
	}
}

// mayUnload reports whether an unload may be ordered now. The caller holds state.
func (tm *term) mayUnload(t *target, k entryKey) bool {
	return tm.unlisted(t, k, time.Now()) && tm.redundant(t, k)
}

// unlisted reports whether no view of the last viewDelay lists the entry. The caller holds state.
func (tm *term) unlisted(t *target, k entryKey, now time.Time) bool {
	return tm.view != nil && !lists(tm.view, t.id, k) && now.Sub(tm.listed[route{t.id, k}]) >= viewDelay
}

func lists(v *placement.View, id string, k entryKey) bool {
	for i := range v.Targets {
		if v.Targets[i].ID == id {
			return slices.Contains(names(&v.Targets[i], k.kind), k.name)
		}
	}
	return false
}

func names(v *placement.TargetView, kind string) []string {
	if kind == placement.KindModel {
		return v.Models
	}
	return v.Adapters
}

// redundant reports whether another copy of the model is confirmed, routable in the stored view and not
// itself about to be unloaded. The caller holds state.
func (tm *term) redundant(t *target, k entryKey) bool {
	if k.kind != placement.KindModel || !tm.models[k.name] {
		return true
	}
	if tm.view == nil {
		return false
	}
	now := time.Now()
	for _, v := range tm.view.Targets {
		o := tm.targets[v.ID]
		if v.ID == t.id || o == nil || v.Leaving || o.host.Leaving || !slices.Contains(v.Models, k.name) {
			continue
		}
		if o.alive(now) && o.retiring[k] == nil && o.routable(k) {
			return true
		}
	}
	return false
}

// startJobs starts a job for every target that needs one, most urgent work first.
func (tm *term) startJobs(ctx context.Context) {
	now := time.Now()
	tm.state.Lock()
	defer tm.state.Unlock()
	for _, id := range slices.Sorted(maps.Keys(tm.targets)) {
		t := tm.targets[id]
		if t.busy || !t.due(now) {
			continue
		}
		t.busy = true
		if !tm.jobs.TryGo(func() error { tm.work(ctx, t); return nil }) {
			t.busy = false
			return
		}
	}
}
