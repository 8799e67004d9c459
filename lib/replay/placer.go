package replay

import (
	"cmp"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/placement"
)

const (
	planEvery   = time.Second
	planSoon    = 100 * time.Millisecond // after the first demand for something that is nowhere resident
	viewDelay   = 200 * time.Millisecond // until entry hosts have a new placement
	deadAfter   = 2 * time.Second        // until the planner knows that a target died
	retireDelay = 3 * time.Second        // between leaving the placement and the unload
	unloadTime  = 10 * time.Millisecond
	resendAfter = 8 * time.Second // an order without an answer is sent again
	sampleEvery = 100 * time.Millisecond
)

// placer runs the planner and carries out its actions on the fake engines.
type placer struct {
	s         *sim
	planner   *placement.Planner
	tracker   *placement.Tracker
	store     fakeStore
	held      map[*fakeEngine][]*holding
	known     map[*fakeEngine]bool // alive as far as the planner knows
	memory    map[*fakeEngine]int64
	routable  map[string][]*fakeEngine
	version   int64
	soon      bool
	loseNext  map[string]int
	delayNext map[string]time.Duration
	pending   []*call // demand not yet reported
}

// holding is one entry of a target's ledger.
type holding struct {
	placement.Residency
	inMemory bool
	life     int
}

func newPlacer(s *sim) *placer {
	p := &placer{
		s: s, tracker: placement.NewTracker(), store: fakeStore{d: s.d, clk: s.clk},
		held: map[*fakeEngine][]*holding{}, known: map[*fakeEngine]bool{}, memory: map[*fakeEngine]int64{},
		loseNext: map[string]int{}, delayNext: map[string]time.Duration{},
	}
	cfg := placement.DefaultConfig()
	if s.policy.greedy {
		cfg.ScaleUpUtilisation, cfg.ScaleDownUtilisation, cfg.MinUtilisationGain, cfg.MinResidence = 0.3, 0.29, 0.01, 0
	}
	p.planner = placement.New(cfg)
	for _, e := range s.engines {
		p.known[e] = true
	}
	p.fill()
	p.publish()
	return p
}

// fill places copies of the models in turn, each with its adapters, until memory is full.
func (p *placer) fill() {
	if p.s.policy.unlimited {
		return
	}
	adapters := map[string][]placement.Residency{}
	for _, a := range p.s.d.Adapters {
		adapters[a.Model] = append(adapters[a.Model], placement.Residency{Kind: placement.KindAdapter, Name: a.Name, Bytes: a.Bytes})
	}
	for placed := true; placed; {
		placed = false
		for _, m := range p.s.d.Models {
			set := append([]placement.Residency{{Kind: placement.KindModel, Name: m.Name, Bytes: m.Bytes}}, adapters[m.Name]...)
			if e := p.emptiest(m.Name, set); e != nil {
				placed = true
				for _, h := range set {
					h.State, h.Since = placement.Resident, p.s.clk.time().Add(-time.Hour)
					p.held[e] = append(p.held[e], &holding{Residency: h, inMemory: true})
					p.memory[e] += h.Bytes
				}
			}
		}
	}
}

func (p *placer) emptiest(model string, set []placement.Residency) *fakeEngine {
	need := int64(0)
	for _, h := range set {
		need += h.Bytes
	}
	var best *fakeEngine
	for _, e := range p.s.engines {
		if p.find(e, placement.KindModel, model) != nil || e.spec.Bytes-p.memory[e] < need {
			continue
		}
		if best == nil || p.memory[e] < p.memory[best] {
			best = e
		}
	}
	return best
}

func (p *placer) find(e *fakeEngine, kind, name string) *holding {
	for _, h := range p.held[e] {
		if h.Kind == kind && h.Name == name {
			return h
		}
	}
	return nil
}

func (p *placer) start(end time.Duration) {
	if p.s.policy.unlimited {
		return
	}
	p.s.clk.every(sampleEvery, p.s.end, p.sample)
	if p.s.policy.adaptive {
		p.s.clk.every(planEvery, end, p.plan)
	}
}

// sample adds up the time for which models have no copy that can answer.
func (p *placer) sample() {
	for _, m := range p.s.d.Models {
		if !slices.ContainsFunc(p.routable[m.Name], func(e *fakeEngine) bool { return !e.down && !e.silent }) {
			p.s.out.UnreachableModelSeconds += sampleEvery.Seconds()
		}
	}
}

// copies returns the targets on which the model or adapter can be used.
func (p *placer) copies(name string) []*fakeEngine {
	if p.s.policy.unlimited {
		return p.s.engines
	}
	return p.routable[name]
}

// observe notes the demand of a call; the planner learns of it with the next report.
func (p *placer) observe(c *call) {
	if !p.s.policy.adaptive {
		return
	}
	p.pending = append(p.pending, c)
	if len(p.routable[c.name()]) == 0 && !p.soon {
		p.soon = true
		p.s.clk.after(planSoon, func() {
			p.soon = false
			p.plan()
		})
	}
}

func (p *placer) plan() {
	p.reportDemand()
	if p.s.kvDown > 0 {
		return // an order needs a written intent
	}
	p.resend()
	in := p.input()
	for _, a := range p.planner.Plan(in) {
		p.carryOut(a)
	}
}

func (p *placer) reportDemand() {
	now := p.s.clk.time()
	for _, c := range p.pending {
		p.tracker.Observe(now, c.base, c.rec.Prompt, c.rec.Output)
		if c.adapter != "" {
			p.tracker.Observe(now, c.adapter, c.rec.Prompt, c.rec.Output)
		}
	}
	p.pending = p.pending[:0]
	for _, h := range p.s.hosts {
		p.reportQueues(h, now)
	}
}

func (p *placer) reportQueues(h *entryHost, now time.Time) {
	byModel := map[string]int{}
	for name, q := range h.queues {
		byModel[p.s.baseModel(name)] += q.Len()
		if p.s.adapterName(name) != "" {
			p.tracker.SetQueueLength(now, name, h.spec.ID, q.Len())
		}
	}
	for _, m := range p.s.d.Models {
		p.tracker.SetQueueLength(now, m.Name, h.spec.ID, byModel[m.Name])
	}
}

func (p *placer) input() *placement.Input {
	in := &placement.Input{Now: p.s.clk.time(), Limits: p.s.d.WeightStore, Demand: p.tracker.Snapshot(p.s.clk.time())}
	for _, m := range p.s.d.Models {
		in.Models = append(in.Models, placement.ModelSpec{Name: m.Name, Bytes: m.Bytes, MinCopies: m.MinCopies})
	}
	for _, a := range p.s.d.Adapters {
		in.Adapters = append(in.Adapters, placement.AdapterSpec{Name: a.Name, Model: a.Model, Bytes: a.Bytes})
	}
	for _, e := range p.s.engines {
		t := placement.TargetState{
			ID: e.spec.ID, Zone: e.spec.Zone, Capacity: e.spec.Bytes, Slots: e.spec.Slots, Alive: p.known[e],
			PrefillRate: e.spec.PrefillRate, DecodeRate: float64(e.spec.Slots) / e.spec.gap(e.spec.Slots).Seconds(),
		}
		for _, h := range p.held[e] {
			t.Residencies = append(t.Residencies, h.Residency)
		}
		in.Targets = append(in.Targets, t)
	}
	return in
}

func (p *placer) carryOut(a placement.Action) {
	e := p.s.byID[a.Target]
	switch a.Op {
	case placement.Load:
		p.load(e, a)
	case placement.Unload:
		p.unload(e, a)
	}
}

func (p *placer) load(e *fakeEngine, a placement.Action) {
	if h := p.find(e, a.Kind, a.Name); h != nil {
		if h.State == placement.Retiring {
			h.State = placement.Resident
			p.publish()
		}
		return
	}
	h := &holding{
		Residency: placement.Residency{Kind: a.Kind, Name: a.Name, Bytes: a.Bytes, State: placement.Loading, Since: p.s.clk.time()},
		life:      e.life,
	}
	p.held[e] = append(p.held[e], h)
	if a.Kind == placement.KindModel {
		p.s.out.Moves++
	} else {
		p.s.out.AdapterLoads++
	}
	p.order(e, h)
}

// order sends the load of h, which a fault may lose or delay.
func (p *placer) order(e *fakeEngine, h *holding) {
	id := e.spec.ID
	if p.loseNext[id] > 0 {
		p.loseNext[id]--
		return
	}
	late := p.delayNext[id]
	delete(p.delayNext, id)
	p.s.clk.after(late, func() {
		done := func() { p.loaded(e, h) }
		if h.Kind == placement.KindModel {
			p.store.loadModel(h.Bytes, done)
		} else {
			p.store.loadAdapter(done)
		}
	})
}

func (p *placer) loaded(e *fakeEngine, h *holding) {
	if e.down || e.life != h.life || h.inMemory {
		return
	}
	h.inMemory = true
	p.memory[e] += h.Bytes
	if p.memory[e] > e.spec.Bytes {
		p.s.out.MemoryOvercommitEvents++
	}
	if h.State == placement.Loading {
		h.State, h.Since = placement.Resident, p.s.clk.time()
		p.publish()
	}
}

// resend repeats orders without an answer. The entry holds its memory all the time.
func (p *placer) resend() {
	for _, e := range p.s.engines {
		for _, h := range p.held[e] {
			if h.State == placement.Loading && !h.inMemory && p.s.clk.time().Sub(h.Since) >= resendAfter+p.expected(h) {
				h.Since = p.s.clk.time()
				p.order(e, h)
			}
		}
	}
}

func (p *placer) expected(h *holding) time.Duration {
	return time.Duration(float64(h.Bytes) / float64(p.s.d.LoadBytesRate) * float64(time.Second))
}

func (p *placer) unload(e *fakeEngine, a placement.Action) {
	h := p.find(e, a.Kind, a.Name)
	if h == nil || h.State != placement.Resident {
		return
	}
	h.State, h.Since = placement.Retiring, p.s.clk.time()
	p.publish()
	p.s.clk.after(retireDelay, func() {
		if h.State != placement.Retiring {
			return
		}
		h.State = placement.Unloading
		p.s.clk.after(unloadTime, func() { p.unloaded(e, h) })
	})
}

func (p *placer) unloaded(e *fakeEngine, h *holding) {
	if i := slices.Index(p.held[e], h); i >= 0 {
		p.held[e] = slices.Delete(p.held[e], i, i+1)
		p.memory[e] -= h.Bytes
	}
}

// lost empties the memory of a dead target; the planner learns of it later.
func (p *placer) lost(e *fakeEngine) {
	p.held[e], p.memory[e] = nil, 0
	p.publish()
	p.known[e] = true
	p.s.clk.after(deadAfter, func() { p.known[e] = !e.down })
	// A target that returns is seen with the next report.
	p.s.clk.every(planEvery, p.s.end, func() { p.known[e] = !e.down })
}

// publish builds the placement and gives it to the entry hosts after a delay.
func (p *placer) publish() {
	p.routable = map[string][]*fakeEngine{}
	p.version++
	view := &placement.View{Version: p.version}
	for _, e := range p.s.engines {
		t := placement.TargetView{ID: e.spec.ID, Addr: e.spec.ID, Zone: e.spec.Zone, Slots: e.spec.Slots}
		for _, h := range p.held[e] {
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
		for _, h := range p.s.hosts {
			h.setView(view)
		}
		p.s.pumpAll()
	}
	if p.s.clk.now == 0 {
		deliver()
		return
	}
	p.s.clk.after(viewDelay, deliver)
}
