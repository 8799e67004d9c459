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

// term is the control loop from the acquisition of the lease until its end. The goroutine of the loop owns all fields for
// which no other rule is stated.
type term struct {
	*Controller
	epoch     int64
	startedAt time.Time
	ledgers   *ledger.Store
	planner   Planner
	jobs      *errgroup.Group
	fail      context.CancelCauseFunc // ends the term

	view        *placement.View // last stored view; nil before the first and after a failed write; written under targetsMu
	viewVersion kv.Version
	lastPlan    time.Time // when the last plan was made
	viewRetryAt time.Time // time before which the view is not stored again after an error

	// targetsMu guards the fields below and all fields of the targets, which the loop shares with the jobs.
	targetsMu        sync.Mutex
	targets          map[string]*target
	configuredModels map[string]bool // names of the configured models, as of the last tick
	sentOrders       map[string]bool // ids of the orders that this term sent
	// lastListed holds, by route, when a view that contains the route was last in force. Old entries are removed. It is
	// no field of target, since a target is dropped when its host is missing from the host list for a moment.
	lastListed map[route]time.Time
}

// route is a model or adapter on a target.
type route struct {
	target string
	entry  entryKey
}

// runTerm runs the control loop until the lease is lost, a newer controller has written to the store, or ctx ends. It
// returns after all jobs have ended.
func (c *Controller) runTerm(ctx context.Context, epoch int64, lost <-chan struct{}) error {
	tctx, fail := context.WithCancelCause(context.WithoutCancel(ctx))
	defer fail(nil)
	tm := &term{
		Controller: c, epoch: epoch, startedAt: time.Now(), ledgers: ledger.NewStore(c.deps.KV, c.cfg.Cell),
		planner: c.deps.NewPlanner(), jobs: &errgroup.Group{}, fail: fail, targets: map[string]*target{},
		sentOrders: map[string]bool{}, lastListed: map[route]time.Time{},
	}
	tm.jobs.SetLimit(maxConcurrentJobs)
	c.setTerm(tm)
	defer c.setTerm(nil)
	tm.jobs.Go(func() error { tm.maintainManifest(tctx, ctx.Done()); return nil })
	err := tm.loop(tctx, ctx.Done(), lost)
	if err != nil {
		fail(err)
	}
	// On a planned stop, orders in progress end and are recorded, and no others are sent.
	tm.targetsMu.Lock()
	for _, t := range tm.targets {
		t.dropQueue()
	}
	tm.targetsMu.Unlock()
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
			if !tm.leaseValid() {
				return errTermOver
			}
			tm.tick(ctx)
		}
	}
}

// leaseValid reports whether the lease of this term is certainly valid now.
func (tm *term) leaseValid() bool {
	epoch, ok := tm.deps.Lease.Held()
	return ok && epoch == tm.epoch
}

// tick makes a plan if it is time for one, and starts the jobs of targets that need one.
func (tm *term) tick(ctx context.Context) {
	snap := tm.deps.View.Snapshot()
	tm.applySnapshot(snap)
	interval := planPeriod * time.Duration(1+len(snap.Hosts)/hostsPerPlanPeriod)
	if now := time.Now(); now.Sub(tm.lastPlan) >= interval && tm.readyToPlan(snap) {
		tm.lastPlan = now
		tm.publish(ctx, snap)
		start := time.Now()
		actions := tm.planner.Plan(tm.plannerInput(snap))
		tm.metrics.planSeconds.UpdateDuration(start)
		tm.queueActions(actions)
		tm.queueUnloads()
	}
	tm.startJobs(ctx)
}

// readyToPlan reports whether enough is known for a plan: a fresh configuration and the reconciled ledgers of all listed
// targets. After unreachableTimeout the targets that don't answer are not waited for. Without this check a new
// controller would take models for lost whose targets it has not asked yet.
func (tm *term) readyToPlan(snap *confview.Snapshot) bool {
	if tm.deps.View.Status() != confview.Fresh || len(snap.Hosts) == 0 {
		return false
	}
	if time.Since(tm.startedAt) > unreachableTimeout {
		return true
	}
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	for _, t := range tm.targets {
		if t.ledger == nil || !t.ledger.Reconciled() {
			return false
		}
	}
	return true
}

// applySnapshot installs the host list and the configured models of the snapshot.
func (tm *term) applySnapshot(snap *confview.Snapshot) {
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	tm.configuredModels = make(map[string]bool, len(snap.State.Models))
	for name := range snap.State.Models {
		tm.configuredModels[name] = true
	}
	listed := make(map[string]bool, len(snap.Hosts))
	period := max(minReportInterval, time.Duration(len(tm.targets))*time.Second/time.Duration(tm.cfg.ReportsPerSecond))
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
		t.host, t.reportPeriod = h, period
	}
	for id, t := range tm.targets {
		if !listed[id] && !t.busy {
			delete(tm.targets, id)
		}
	}
}

// plannerInput returns the state of the cell as input for the planner.
func (tm *term) plannerInput(snap *confview.Snapshot) *placement.Input {
	now := time.Now()
	in := &placement.Input{Now: now, Demand: tm.demandSnapshot(), Limits: tm.cfg.Limits}
	for _, m := range snap.State.Models {
		in.Models = append(in.Models, placement.ModelSpec{Name: m.Name, Bytes: m.Bytes, MinCopies: m.MinCopies})
	}
	for _, a := range snap.State.Adapters {
		in.Adapters = append(in.Adapters, placement.AdapterSpec{Name: a.Name, Model: a.Model, Bytes: a.Bytes})
	}
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	for _, t := range tm.targets {
		in.Targets = append(in.Targets, t.plannerState(now))
	}
	return in
}

// queueActions queues the planned loads. For a planned unload it starts a retirement, which removes the entry from the
// view first.
func (tm *term) queueActions(actions []placement.Action) {
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	for _, a := range actions {
		t := tm.targets[a.Target]
		if t == nil || t.ledger == nil || !t.ledger.Reconciled() {
			continue
		}
		k := entryKey{a.Kind, a.Name}
		switch {
		case a.Op == placement.Load && t.retiring[k] != nil:
			if !t.retiring[k].unloadQueued {
				delete(t.retiring, k)
			}
		case a.Op == placement.Load && !t.hasQueued(k):
			t.queue = append(t.queue, a)
		case a.Op == placement.Unload && t.retiring[k] == nil:
			t.retiring[k] = &retirement{action: a}
			tm.deps.Log.Info("retire", "target", a.Target, "kind", a.Kind, "name", a.Name, "reason", a.Reason)
		}
	}
}

// queueUnloads queues the unloads of entries that have been out of the view for viewPropagationDelay, and cancels the
// retirements that would remove the last routable copy.
func (tm *term) queueUnloads() {
	now := time.Now()
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	for _, t := range tm.targets {
		for k, r := range t.retiring {
			switch {
			case t.ledger == nil || t.ledger.Entry(k.kind, k.name) == nil:
				delete(t.retiring, k)
			case r.unloadQueued:
			case !tm.hasOtherCopy(t, k):
				delete(t.retiring, k)
			case tm.outOfView(t, k, now):
				r.unloadQueued = true
				t.queue = append(t.queue, r.action)
			}
		}
	}
}

// mayUnload reports whether the order to unload the entry may be sent now. The caller holds targetsMu.
func (tm *term) mayUnload(t *target, k entryKey) bool {
	return tm.outOfView(t, k, time.Now()) && tm.hasOtherCopy(t, k)
}

// outOfView reports whether no view that was in force within the last viewPropagationDelay contains the entry. The caller
// holds targetsMu.
func (tm *term) outOfView(t *target, k entryKey, now time.Time) bool {
	return tm.view != nil && !viewLists(tm.view, t.id, k) && now.Sub(tm.lastListed[route{t.id, k}]) >= viewPropagationDelay
}

// viewLists reports whether the view contains the entry at the target with the id.
func viewLists(v *placement.View, id string, k entryKey) bool {
	for i := range v.Targets {
		if v.Targets[i].ID == id {
			return slices.Contains(entryNames(&v.Targets[i], k.kind), k.name)
		}
	}
	return false
}

// entryNames returns the names of the target's models or adapters, according to kind.
func entryNames(v *placement.TargetView, kind string) []string {
	if kind == placement.KindModel {
		return v.Models
	}
	return v.Adapters
}

// hasOtherCopy reports whether another target has a copy of the model that is confirmed, contained in the stored view
// and not about to be unloaded. For adapters and for models that are not configured it reports true. The caller holds
// targetsMu.
func (tm *term) hasOtherCopy(t *target, k entryKey) bool {
	if k.kind != placement.KindModel || !tm.configuredModels[k.name] {
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

// startJobs starts a job for every target that needs one, in the order of target ids, up to maxConcurrentJobs.
func (tm *term) startJobs(ctx context.Context) {
	now := time.Now()
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(tm.targets)) {
		t := tm.targets[id]
		if t.busy || !t.needsJob(now) {
			continue
		}
		t.busy = true
		if !tm.jobs.TryGo(func() error { tm.runJob(ctx, t); return nil }) {
			t.busy = false
			return
		}
	}
}
