package replay

import (
	"cmp"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/placement"
)

const (
	planInterval          = time.Second
	missingModelPlanDelay = 100 * time.Millisecond // after a call for a model that is loaded nowhere
	viewDelay             = 200 * time.Millisecond // until the entry hosts use a new placement
	crashDetectionDelay   = 2 * time.Second        // until the planner knows that a target has crashed
	retireDelay           = 3 * time.Second        // between removal from the placement and the unload
	unloadDuration        = 10 * time.Millisecond
	resendTimeout         = 8 * time.Second // added to the expected load time; then an unconfirmed order is resent
	sampleInterval        = 100 * time.Millisecond
)

// controller simulates the placement controller: it runs the planner and executes its actions on the fake engines.
type controller struct {
	sim                *sim
	planner            *placement.Planner
	tracker            *placement.Tracker
	store              fakeWeightStore
	residencies        map[*fakeEngine][]*residency
	believedAlive      map[*fakeEngine]bool // what the planner knows about each target
	usedBytes          map[*fakeEngine]int64
	routable           map[string][]*fakeEngine
	viewVersion        int64
	earlyPlanScheduled bool
	ordersToLose       map[string]int
	nextOrderDelay     map[string]time.Duration
	unreportedCalls    []*call // calls whose demand the planner has not received yet
}

// residency is the ledger entry of one model or adapter at a target.
type residency struct {
	placement.Residency
	inMemory          bool
	targetIncarnation int
}

func newController(s *sim) *controller {
	p := &controller{
		sim: s, tracker: placement.NewTracker(), store: fakeWeightStore{deployment: s.deployment, clock: s.clock},
		residencies: map[*fakeEngine][]*residency{}, believedAlive: map[*fakeEngine]bool{}, usedBytes: map[*fakeEngine]int64{},
		ordersToLose: map[string]int{}, nextOrderDelay: map[string]time.Duration{},
	}
	cfg := placement.DefaultConfig()
	if s.policy.noHysteresis {
		cfg.ScaleUpUtilisation, cfg.ScaleDownUtilisation, cfg.MinUtilisationGain, cfg.MinResidence = 0.3, 0.29, 0.01, 0
	}
	p.planner = placement.New(cfg)
	for _, e := range s.engines {
		p.believedAlive[e] = true
	}
	p.placeInitialCopies()
	p.publish()
	return p
}

// placeInitialCopies places one more copy of each model in turn, together with its adapters, until no target has
// enough free memory.
func (p *controller) placeInitialCopies() {
	if p.sim.policy.unlimitedMemory {
		return
	}
	adapters := map[string][]placement.Residency{}
	for _, a := range p.sim.deployment.Adapters {
		adapters[a.Model] = append(adapters[a.Model], placement.Residency{
			Kind: placement.KindAdapter, Name: a.Name, Bytes: a.Bytes,
		})
	}
	for placed := true; placed; {
		placed = false
		for _, m := range p.sim.deployment.Models {
			set := append([]placement.Residency{{Kind: placement.KindModel, Name: m.Name, Bytes: m.Bytes}}, adapters[m.Name]...)
			if e := p.emptiestTarget(m.Name, set); e != nil {
				placed = true
				for _, h := range set {
					h.State, h.Since = placement.Resident, p.sim.clock.absoluteTime().Add(-time.Hour)
					p.residencies[e] = append(p.residencies[e], &residency{Residency: h, inMemory: true})
					p.usedBytes[e] += h.Bytes
				}
			}
		}
	}
}

// emptiestTarget returns the target with the least memory in use among those that lack the model and have free memory
// for the whole set, or nil.
func (p *controller) emptiestTarget(model string, set []placement.Residency) *fakeEngine {
	need := int64(0)
	for _, h := range set {
		need += h.Bytes
	}
	var best *fakeEngine
	for _, e := range p.sim.engines {
		if p.findResidency(e, placement.KindModel, model) != nil || e.spec.MemoryBytes-p.usedBytes[e] < need {
			continue
		}
		if best == nil || p.usedBytes[e] < p.usedBytes[best] {
			best = e
		}
	}
	return best
}

func (p *controller) findResidency(e *fakeEngine, kind, name string) *residency {
	for _, h := range p.residencies[e] {
		if h.Kind == kind && h.Name == name {
			return h
		}
	}
	return nil
}

func (p *controller) startTimers(end time.Duration) {
	if p.sim.policy.unlimitedMemory {
		return
	}
	p.sim.clock.scheduleEvery(sampleInterval, p.sim.end, p.sampleUnreachableModels)
	if p.sim.policy.adaptivePlacement {
		p.sim.clock.scheduleEvery(planInterval, end, p.plan)
	}
}

// sampleUnreachableModels adds a sample interval to UnreachableModelSeconds for each model without a copy that can
// answer.
func (p *controller) sampleUnreachableModels() {
	for _, m := range p.sim.deployment.Models {
		if !slices.ContainsFunc(p.routable[m.Name], func(e *fakeEngine) bool { return !e.down && !e.unresponsive }) {
			p.sim.result.UnreachableModelSeconds += sampleInterval.Seconds()
		}
	}
}

// copies returns the targets to which calls for the model or adapter can be routed.
func (p *controller) copies(name string) []*fakeEngine {
	if p.sim.policy.unlimitedMemory {
		return p.sim.engines
	}
	return p.routable[name]
}

// observeDemand records the demand of a call for the next plan. Demand for a model or adapter without a copy
// schedules an early plan.
func (p *controller) observeDemand(c *call) {
	if !p.sim.policy.adaptivePlacement {
		return
	}
	p.unreportedCalls = append(p.unreportedCalls, c)
	if len(p.routable[c.requestedModel()]) == 0 && !p.earlyPlanScheduled {
		p.earlyPlanScheduled = true
		p.sim.clock.scheduleAfter(missingModelPlanDelay, func() {
			p.earlyPlanScheduled = false
			p.plan()
		})
	}
}

// plan reports the collected demand to the planner and executes the actions that it returns.
func (p *controller) plan() {
	p.reportDemand()
	if p.sim.kvOutages > 0 {
		return // an order is sent only after its intent is stored in the key-value service
	}
	p.resendOrders()
	in := p.plannerInput()
	for _, a := range p.planner.Plan(in) {
		p.execute(a)
	}
}

func (p *controller) reportDemand() {
	now := p.sim.clock.absoluteTime()
	for _, c := range p.unreportedCalls {
		p.tracker.Observe(now, c.baseModel, c.rec.PromptTokens, c.rec.OutputTokens)
		if c.adapter != "" {
			p.tracker.Observe(now, c.adapter, c.rec.PromptTokens, c.rec.OutputTokens)
		}
	}
	p.unreportedCalls = p.unreportedCalls[:0]
	for _, h := range p.sim.hosts {
		p.reportQueues(h, now)
	}
}

func (p *controller) reportQueues(h *entryHost, now time.Time) {
	byModel := map[string]int{}
	for name, q := range h.queues {
		byModel[p.sim.baseModel(name)] += q.Len()
		if p.sim.adapterName(name) != "" {
			p.tracker.SetQueueLength(now, name, h.spec.ID, q.Len())
		}
	}
	for _, m := range p.sim.deployment.Models {
		p.tracker.SetQueueLength(now, m.Name, h.spec.ID, byModel[m.Name])
	}
}

func (p *controller) plannerInput() *placement.Input {
	in := &placement.Input{
		Now: p.sim.clock.absoluteTime(), Limits: p.sim.deployment.WeightStore,
		Demand: p.tracker.Snapshot(p.sim.clock.absoluteTime()),
	}
	for _, m := range p.sim.deployment.Models {
		in.Models = append(in.Models, placement.ModelSpec{Name: m.Name, Bytes: m.Bytes, MinCopies: m.MinCopies})
	}
	for _, a := range p.sim.deployment.Adapters {
		in.Adapters = append(in.Adapters, placement.AdapterSpec{Name: a.Name, Model: a.Model, Bytes: a.Bytes})
	}
	for _, e := range p.sim.engines {
		t := placement.TargetState{
			ID: e.spec.ID, Zone: e.spec.Zone, Capacity: e.spec.MemoryBytes, Slots: e.spec.Slots, Alive: p.believedAlive[e],
			PrefillRate: e.spec.PrefillTokensPerSecond,
			DecodeRate:  float64(e.spec.Slots) / e.spec.tokenGap(e.spec.Slots).Seconds(),
		}
		for _, h := range p.residencies[e] {
			t.Residencies = append(t.Residencies, h.Residency)
		}
		in.Targets = append(in.Targets, t)
	}
	return in
}

func (p *controller) execute(a placement.Action) {
	e := p.sim.engineByID[a.Target]
	switch a.Op {
	case placement.Load:
		p.load(e, a)
	case placement.Unload:
		p.unload(e, a)
	}
}

// load adds a ledger entry and sends a load order, or keeps a copy that is retiring.
func (p *controller) load(e *fakeEngine, a placement.Action) {
	if h := p.findResidency(e, a.Kind, a.Name); h != nil {
		if h.State == placement.Retiring {
			h.State = placement.Resident
			p.publish()
		}
		return
	}
	h := &residency{
		Residency: placement.Residency{
			Kind: a.Kind, Name: a.Name, Bytes: a.Bytes, State: placement.Loading, Since: p.sim.clock.absoluteTime(),
		},
		targetIncarnation: e.incarnation,
	}
	p.residencies[e] = append(p.residencies[e], h)
	if a.Kind == placement.KindModel {
		p.sim.result.Moves++
	} else {
		p.sim.result.AdapterLoads++
	}
	p.sendLoadOrder(e, h)
}

// sendLoadOrder sends the order to load h to the target. A fault may lose or delay the order.
func (p *controller) sendLoadOrder(e *fakeEngine, h *residency) {
	id := e.spec.ID
	if p.ordersToLose[id] > 0 {
		p.ordersToLose[id]--
		return
	}
	delay := p.nextOrderDelay[id]
	delete(p.nextOrderDelay, id)
	p.sim.clock.scheduleAfter(delay, func() {
		done := func() { p.onLoaded(e, h) }
		if h.Kind == placement.KindModel {
			p.store.loadModel(h.Bytes, done)
		} else {
			p.store.loadAdapter(done)
		}
	})
}

func (p *controller) onLoaded(e *fakeEngine, h *residency) {
	if e.down || e.incarnation != h.targetIncarnation || h.inMemory {
		return
	}
	h.inMemory = true
	p.usedBytes[e] += h.Bytes
	if p.usedBytes[e] > e.spec.MemoryBytes {
		p.sim.result.MemoryOvercommitEvents++
	}
	if h.State == placement.Loading {
		h.State, h.Since = placement.Resident, p.sim.clock.absoluteTime()
		p.publish()
	}
}

// resendOrders sends load orders again that were not confirmed in time. Their ledger entries keep the memory reserved
// in the meantime.
func (p *controller) resendOrders() {
	for _, e := range p.sim.engines {
		for _, h := range p.residencies[e] {
			if h.State == placement.Loading && !h.inMemory &&
				p.sim.clock.absoluteTime().Sub(h.Since) >= resendTimeout+p.expectedLoadTime(h) {
				h.Since = p.sim.clock.absoluteTime()
				p.sendLoadOrder(e, h)
			}
		}
	}
}

func (p *controller) expectedLoadTime(h *residency) time.Duration {
	return time.Duration(float64(h.Bytes) / float64(p.sim.deployment.LoadBytesPerSecond) * float64(time.Second))
}

// unload removes a resident copy from the placement and unloads it after retireDelay.
func (p *controller) unload(e *fakeEngine, a placement.Action) {
	h := p.findResidency(e, a.Kind, a.Name)
	if h == nil || h.State != placement.Resident {
		return
	}
	h.State, h.Since = placement.Retiring, p.sim.clock.absoluteTime()
	p.publish()
	p.sim.clock.scheduleAfter(retireDelay, func() {
		if h.State != placement.Retiring {
			return
		}
		h.State = placement.Unloading
		p.sim.clock.scheduleAfter(unloadDuration, func() { p.onUnloaded(e, h) })
	})
}

func (p *controller) onUnloaded(e *fakeEngine, h *residency) {
	if i := slices.Index(p.residencies[e], h); i >= 0 {
		p.residencies[e] = slices.Delete(p.residencies[e], i, i+1)
		p.usedBytes[e] -= h.Bytes
	}
}

// onTargetCrash clears the ledger of a crashed target. The planner learns of the crash after crashDetectionDelay.
func (p *controller) onTargetCrash(e *fakeEngine) {
	p.residencies[e], p.usedBytes[e] = nil, 0
	p.publish()
	p.believedAlive[e] = true
	p.sim.clock.scheduleAfter(crashDetectionDelay, func() { p.believedAlive[e] = !e.down })
	// The planner learns of the restart of a target with the next periodic report.
	p.sim.clock.scheduleEvery(planInterval, p.sim.end, func() { p.believedAlive[e] = !e.down })
}

// publish builds a placement view from the resident models and adapters and delivers it to the entry hosts after
// viewDelay, at the start of a replay at once.
func (p *controller) publish() {
	p.routable = map[string][]*fakeEngine{}
	p.viewVersion++
	view := &placement.View{Version: p.viewVersion}
	for _, e := range p.sim.engines {
		t := placement.TargetView{ID: e.spec.ID, Addr: e.spec.ID, Zone: e.spec.Zone, Slots: e.spec.Slots}
		for _, h := range p.residencies[e] {
			if h.State != placement.Resident {
				continue
			}
			p.routable[h.Name] = append(p.routable[h.Name], e)
			if h.Kind == placement.KindModel {
				t.Models = append(t.Models, h.Name)
			} else {
				t.Adapters = append(t.Adapters, h.Name)
			}
		}
		view.Targets = append(view.Targets, t)
	}
	slices.SortFunc(view.Targets, func(a, b placement.TargetView) int { return cmp.Compare(a.ID, b.ID) })
	deliver := func() {
		for _, h := range p.sim.hosts {
			h.setPlacement(view)
		}
		p.sim.dispatchAll()
	}
	if p.sim.clock.now == 0 {
		deliver()
		return
	}
	p.sim.clock.scheduleAfter(viewDelay, deliver)
}
