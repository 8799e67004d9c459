// Package residency plans which models targets have loaded. It deals with demand that moves to other models within seconds,
// targets that crash with the only copy of a model, a weight store that allows few loads a second, and more models than the
// targets have memory for, of which many are rarely asked for.
//
// The package does no I/O, and takes the time as an argument.
package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/orders"
)

const (
	// maxBusyFraction is the fraction of a target's time that the demand for one model may take before another copy is
	// added. First events are in time only while prompts rarely wait for each other.
	maxBusyFraction = 0.22
	// unloadHorizon is the time for which the weight store's loads may be prepared by unloads. An unload takes as long, and
	// memory that is freed earlier is of no use.
	unloadHorizon = 2 * time.Second
	// spareCopies is how many copies beyond the needed ones a model keeps while no other model needs the memory.
	spareCopies = 1
	// minCopies is how many copies every model should have whatever its demand, while there is memory for them.
	minCopies = 1
	// minUsedLoadMS is the demand below which a model counts as unused, in milliseconds of engine time per second.
	minUsedLoadMS = 1.0
	// usageTimeConstant is the time constant of the average demand by which unused models give way to others. A rare model
	// is asked for some times a minute.
	usageTimeConstant = 30 * time.Second
	// maxYieldingUsage is the fraction of another model's demand for each of its copies below which the average demand of an
	// unused model has to be for its last copy to give way to a further copy of the other.
	maxYieldingUsage = 0.1
	// maxSharedFraction is the fraction of a target's time that a model's demand may take at each of its copies after one of them
	// has given way to a model without a copy. Beyond it prompts wait long for each other.
	maxSharedFraction = 0.5
	// storeLoadCostMS and sameZoneCostMS are added to the load of a target, in milliseconds of engine time per second:
	// the first if a copy would come from the weight store and not from the target's own disk, the second if the
	// target's zone has a copy already.
	storeLoadCostMS = 200
	sameZoneCostMS  = 100
	// minFreeTargets is how many targets should have free memory for the largest model, so that loads need not wait for
	// unloads.
	minFreeTargets = 3
)

// LoadedModel is a model that takes memory of a target. It is being loaded while neither Ready nor Unloading is set.
type LoadedModel struct {
	Model     string
	MB        float64
	Ready     bool // loaded, and not to be unloaded
	Unloading bool // being unloaded
}

// Target is one engine, with its models.
type Target struct {
	ID       string
	Zone     string
	MemoryMB float64 // memory for models
	Models   []LoadedModel
	Busy     bool     // an order is being executed or its outcome is unknown
	Paused   bool     // gets no orders now, and perhaps not for longer than an order takes
	Cached   []string // models that the target can load without the weight store
}

// freeMB returns the memory that no model takes; a model counts until its unload is done.
func (t *Target) freeMB() float64 {
	freeMB := t.MemoryMB
	for _, h := range t.Models {
		freeMB -= h.MB
	}
	return freeMB
}

// hasModel reports whether the model takes memory of t: loaded, being loaded or being unloaded.
func (t *Target) hasModel(model string) bool {
	return slices.ContainsFunc(t.Models, func(h LoadedModel) bool { return h.Model == model })
}

// Model is a configured model and the demand for it.
type Model struct {
	Name          string
	MB            float64
	StoreLoadTime time.Duration // from the weight store, at full speed
	EngineLoad    float64       // demand in milliseconds of engine time per second, at the model's speed
}

// Action is an order to send.
type Action struct {
	Op        orders.Op
	Target    string
	Model     string
	FromStore bool   // the load reads the weight store, and counts against its rate
	Reason    string // for logs
	Idle      bool   // nobody asks for the model that is unloaded
}

// Reasons of actions.
const (
	ReasonLost       = "no copy left"
	ReasonDemand     = "demand"
	ReasonUnused     = "unused model"
	ReasonFreeMemory = "room"
)

// Planner plans actions. It is not safe for concurrent use.
type Planner struct {
	storeLoads tokenBucket
	pace       *storePace
	usage      map[string]float64 // average demand by model, in milliseconds of engine time per second
	plannedAt  time.Time
	waiting    []string   // see Waiting
	waves      *waveState // nil: copies are not planned in waves
	succeeds   bool       // an earlier planner may have started loads shortly before
}

// NewPlanner returns a planner that starts at most rate loads a second from the weight store, and at most burst at once.
// startFull allows burst loads right away. It is false for a planner that succeeds another one, whose latest loads count
// against the same rate.
func NewPlanner(rate, burst float64, startFull bool, now time.Time) *Planner {
	b := tokenBucket{rate: rate, burst: burst, refilledAt: now}
	if startFull {
		b.tokens = burst
	}
	return &Planner{storeLoads: b, pace: newStorePace(now), usage: map[string]float64{}, plannedAt: now, succeeds: !startFull}
}

// tokenBucket limits the rate of loads; each load takes one token.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

// SetRate changes the rate of loads from the weight store, in loads a second.
func (p *Planner) SetRate(rate float64) { p.storeLoads.rate = rate }

// LoadRate returns how many loads of the given duration a second the weight store gets done at most.
func (p *Planner) LoadRate(loadTime time.Duration) float64 {
	return min(p.storeLoads.rate, p.pace.limit/max(loadTime.Seconds(), 1e-3))
}

// FullSpeedLoads returns how many loads the weight store is known to run at full speed; infinity if no number is known.
func (p *Planner) FullSpeedLoads() float64 { return p.pace.limit }

// missingCopy is a copy that a model should get.
type missingCopy struct {
	model    *Model
	reason   string
	priority int     // lower comes first
	urgency  float64 // within a priority, higher comes first
}

// Plan returns the actions to execute now, at most one for each target. Loads from the weight store that it returns count
// against the rate. Plan changes the lists of models of the targets.
func (p *Planner) Plan(models []Model, targets []*Target, now time.Time) []Action {
	p.storeLoads.refill(now)
	p.updateUsage(models, now)
	p.pace.update(targets, now)
	if p.waves != nil {
		models = p.waves.prepare(models, p.pace, now)
	}
	s := newPlanState(models, targets, p.usage)
	s.waves = p.waves != nil
	s.maxUnloading = max(1, int(math.Ceil(p.storeLoads.rate*unloadHorizon.Seconds())))
	var out []Action
	p.waiting = nil
	for _, c := range s.missingCopies() {
		if a, ok := s.placeCopy(c, p.storeAllowed(c, s.copies[c.model.Name], now)); ok {
			if a.FromStore {
				p.storeLoads.tokens--
				p.pace.start(a.Target, c.model, c.reason == ReasonLost, now)
				if p.waves != nil {
					p.waves.window.start(a.Target, a.Model, now)
				}
			}
			out = append(out, a)
		}
		if c.reason == ReasonLost && s.copies[c.model.Name] == 0 {
			p.waiting = append(p.waiting, c.model.Name)
		}
	}
	return append(out, s.freeMemory()...)
}

// storeAllowed reports whether a load from the weight store may begin for the missing copy of a model that has as many copies.
func (p *Planner) storeAllowed(c missingCopy, have int, now time.Time) bool {
	if p.waves != nil {
		return p.waves.storeAllowed(c, have, p.pace, now)
	}
	tokens := 1.0
	if c.reason == ReasonUnused { // what is in use goes first, also what will be asked for next
		tokens = p.storeLoads.burst
	}
	return p.storeLoads.tokens >= tokens && p.pace.mayStart(c.reason == ReasonLost)
}

// Waiting returns the models in demand that had no copy in the last plan and did not get one, because they wait for memory or
// for a load token. The most urgent comes first.
func (p *Planner) Waiting() []string { return p.waiting }

// updateUsage moves the average demand of each model towards its demand.
func (p *Planner) updateUsage(models []Model, now time.Time) {
	weight := 1 - math.Exp(-max(0, now.Sub(p.plannedAt).Seconds())/usageTimeConstant.Seconds())
	p.plannedAt = now
	for i := range models {
		m := &models[i]
		p.usage[m.Name] += weight * (m.EngineLoad - p.usage[m.Name])
	}
}

// answer is what is known of a condition.
type answer uint8

const (
	unknown answer = iota
	no
	yes
)

// zoneModel identifies a model in a zone.
type zoneModel struct{ zone, model string }

// planState is the state of the fleet as it will be after the actions planned so far.
type planState struct {
	models  []Model
	byName  map[string]*Model
	targets []*Target
	copies  map[string]int     // by model: loaded or being loaded
	inZone  map[zoneModel]int  // copies, also those being unloaded
	ready   map[string]int     // by model: loaded
	usage   map[string]float64 // by model: average demand
	claimed int                // missing copies that wait for memory that running unloads free
	// unloading counts the running unloads, of which maxUnloading may run for missing copies.
	unloading, maxUnloading int
	anySurplus, anyRare     answer             // see any
	busy                    map[string]bool    // by target: executes an order, or got an action
	loadMS                  map[string]float64 // by target: demand in milliseconds of engine time per second
	waves                   bool               // copies are planned in waves
	promised                map[string]int     // by model: missing copies for which memory is free or being freed
}

func newPlanState(models []Model, targets []*Target, usage map[string]float64) *planState {
	s := &planState{
		models: models, byName: map[string]*Model{}, targets: targets, usage: usage, copies: map[string]int{},
		inZone: map[zoneModel]int{}, ready: map[string]int{},
		busy: map[string]bool{}, loadMS: map[string]float64{}, promised: map[string]int{},
	}
	for i := range models {
		s.byName[models[i].Name] = &models[i]
	}
	for _, t := range targets {
		s.busy[t.ID] = t.Busy || t.Paused
		for _, h := range t.Models {
			s.inZone[zoneModel{t.Zone, h.Model}]++
			if !h.Unloading {
				s.copies[h.Model]++
			}
			if h.Ready {
				s.ready[h.Model]++
			}
			if h.Unloading {
				s.unloading++
			}
		}
	}
	for _, t := range targets {
		for _, h := range t.Models {
			if m := s.byName[h.Model]; m != nil && !h.Unloading {
				s.loadMS[t.ID] += m.EngineLoad / float64(max(1, s.copies[h.Model]))
			}
		}
	}
	return s
}

// used reports whether the model is in demand.
func (m *Model) used() bool { return m.EngineLoad >= minUsedLoadMS }

// neededCopies returns the number of copies that the demand needs, at least one.
func (m *Model) neededCopies() int {
	return copiesFor(m.EngineLoad)
}

// missingCopies lists the models that should get a copy, the most urgent first.
func (s *planState) missingCopies() []missingCopy {
	roomForAll := s.roomForAll()
	var out []missingCopy
	for i := range s.models {
		m := &s.models[i]
		have, need := s.copies[m.Name], s.copiesToAdd(m)
		switch {
		case have == 0 && m.used():
			out = append(out, missingCopy{m, ReasonLost, 0, m.EngineLoad})
		case have < need && have > 0:
			for n := have; n < need; n++ {
				out = append(out, missingCopy{m, ReasonDemand, 1, float64(need) / float64(n)})
			}
		case have < minCopies && (roomForAll || s.usage[m.Name] > 0):
			out = append(out, missingCopy{m, ReasonUnused, 2, s.usage[m.Name]})
		}
	}
	slices.SortStableFunc(out, func(a, b missingCopy) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.model.Name, b.model.Name))
	})
	return out
}

// roomForAll reports whether the targets have the memory for a copy of each model. Where they don't, a model that was not
// asked for would be loaded in vain most times.
func (s *planState) roomForAll() bool {
	needed, memory := 0.0, 0.0
	for i := range s.models {
		needed += s.models[i].MB
	}
	for _, t := range s.targets {
		memory += t.MemoryMB
	}
	return needed <= memory
}

// placeCopy returns the load of a missing copy. If no target has the memory, it returns an unload that makes space, unless
// running unloads will do or the copy is not urgent. storeAllowed states that the weight store allows another load.
func (s *planState) placeCopy(c missingCopy, storeAllowed bool) (Action, bool) {
	if t := s.findTarget(c.model, storeAllowed); t != nil {
		fromStore := !slices.Contains(t.Cached, c.model.Name)
		s.busy[t.ID] = true
		t.Models = append(t.Models, LoadedModel{Model: c.model.Name, MB: c.model.MB})
		s.copies[c.model.Name]++
		s.inZone[zoneModel{t.Zone, c.model.Name}]++
		return Action{Op: orders.Load, Target: t.ID, Model: c.model.Name, FromStore: fromStore, Reason: c.reason}, true
	}
	if s.waves && !storeAllowed && s.reserveMemory(c.model) {
		return Action{}, false
	}
	if c.reason == ReasonUnused || s.claimUnload(c.model) || s.unloading >= s.maxUnloading {
		return Action{}, false
	}
	a, ok := s.evictFor(c)
	if ok {
		s.promised[c.model.Name]++
	}
	return a, ok
}

// findTarget returns the idle target of least cost that has free memory for the model, or nil.
func (s *planState) findTarget(m *Model, storeAllowed bool) *Target {
	var best *Target
	var lowest float64
	for _, t := range s.targets {
		cached := slices.Contains(t.Cached, m.Name)
		if s.busy[t.ID] || t.hasModel(m.Name) || t.freeMB() < m.MB || !cached && !storeAllowed {
			continue
		}
		cost := s.loadMS[t.ID]
		if !cached {
			cost += s.storeLoadCost()
		}
		if s.zoneHasModel(t.Zone, m.Name) {
			cost += sameZoneCostMS
		}
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// storeLoadCost returns what is added to the load of a target that would load a copy from the weight store.
func (s *planState) storeLoadCost() float64 {
	if s.waves {
		return waveStoreLoadCostMS
	}
	return storeLoadCostMS
}

func (s *planState) zoneHasModel(zone, model string) bool {
	return s.inZone[zoneModel{zone, model}] > 0
}

// claimUnload reports whether running unloads free memory for the model, beside that for the copies that wait already.
func (s *planState) claimUnload(m *Model) bool {
	pending := 0
	for _, t := range s.targets {
		freeMB := t.freeMB()
		for _, h := range t.Models {
			if h.Unloading {
				freeMB += h.MB
			}
		}
		if freeMB >= m.MB && freeMB > t.freeMB() && !t.hasModel(m.Name) {
			pending++
		}
	}
	if s.claimed >= pending {
		return false
	}
	s.claimed++
	s.promised[m.Name]++
	return true
}

// copiesToAdd returns the number of copies up to which a model gets further ones.
func (s *planState) copiesToAdd(m *Model) int {
	if s.waves {
		return copiesFor(addFraction * m.EngineLoad)
	}
	return m.neededCopies()
}

// copiesToKeep returns the number of copies beyond which a model has a surplus.
func (s *planState) copiesToKeep(m *Model) int {
	if s.waves {
		return copiesFor(keepFraction * m.EngineLoad)
	}
	return m.neededCopies()
}

// surplus returns how many copies a model can lose so that minKept, the needed copies and one ready copy stay.
func (s *planState) surplus(m *Model, minKept int) int {
	return min(s.copies[m.Name]-max(minKept, s.copiesToKeep(m)), s.ready[m.Name]-1)
}

// evictFor unloads a copy from a target that then has free memory for the missing one: a surplus copy, or else the last one
// of an unused model that is rarely asked for, or else, for a model without a copy, a further copy of a model whose other
// copies can do its work.
func (s *planState) evictFor(c missingCopy) (Action, bool) {
	m := c.model
	limit := math.Inf(1)
	if c.reason == ReasonDemand {
		limit = maxYieldingUsage * m.EngineLoad / float64(s.copies[m.Name])
	}
	for _, kind := range []struct {
		exists bool
		yields func(*Model) bool
		cost   func(*Model) float64
	}{
		{s.any(&s.anySurplus, s.hasSurplus), s.hasSurplus, s.demandCost},
		{s.any(&s.anyRare, s.isRare), func(v *Model) bool { return s.isRare(v) && s.usage[v.Name] <= limit }, s.demandCost},
		{c.reason == ReasonLost, s.canShare, s.sharedLoad},
	} {
		if !kind.exists {
			continue
		}
		t, v, later := s.cheapestVictim(m, kind.yields, kind.cost)
		if t != nil {
			s.claimed++
			return s.unload(t, v, ReasonFreeMemory), true
		}
		if s.waves && c.reason == ReasonDemand {
			continue
		}
		if later || c.reason == ReasonDemand {
			// A busy target has done its order before a model that has to yield otherwise is loaded again, and a further copy
			// that does not fit is no reason to take a model its last one.
			return Action{}, false
		}
	}
	if s.waves && c.reason == ReasonDemand {
		return s.evictForBurst(m)
	}
	return Action{}, false
}

// demandCost is the cost of a copy by the demand for its model.
func (s *planState) demandCost(m *Model) float64 { return m.EngineLoad + s.usage[m.Name] }

// sharedLoad returns the demand for each copy of the model if it has one copy less.
func (s *planState) sharedLoad(m *Model) float64 {
	return m.EngineLoad / float64(max(1, s.copies[m.Name]-1))
}

// canShare reports whether the model's other copies can do its work if it has one ready copy less.
func (s *planState) canShare(m *Model) bool {
	return s.copies[m.Name] > 1 && s.ready[m.Name] > 1 && s.sharedLoad(m) <= 1000*maxSharedFraction
}

// hasSurplus reports whether the model has a surplus copy.
func (s *planState) hasSurplus(m *Model) bool { return s.surplus(m, minCopies) > 0 }

// isRare reports whether the model is not in use and has one copy left.
func (s *planState) isRare(m *Model) bool { return !m.used() && s.copies[m.Name] == 1 }

// any reports whether the condition holds for any model. The result is kept in known until the next unload.
func (s *planState) any(known *answer, condition func(*Model) bool) bool {
	if *known == unknown {
		*known = no
		for i := range s.models {
			if condition(&s.models[i]) {
				*known = yes
				break
			}
		}
	}
	return *known == yes
}

// cheapestVictim returns the idle target, and a copy there that may yield, whose unload gives it free memory for the model at
// the least cost; nil if there is none. later reports that there is one at a busy target. A target that has the model on its
// disk loads it several times as fast.
func (s *planState) cheapestVictim(m *Model, yields func(*Model) bool, costOf func(*Model) float64) (best *Target, victim *Model, later bool) {
	var lowest float64
	for _, t := range s.targets {
		if t.hasModel(m.Name) || t.Paused || s.busy[t.ID] && later {
			continue
		}
		v := s.victim(t, yields, costOf, m.MB-t.freeMB())
		if v == nil {
			continue
		}
		if s.busy[t.ID] {
			later = true
			continue
		}
		cost := s.loadMS[t.ID] + costOf(v)
		if !slices.Contains(t.Cached, m.Name) {
			cost += s.storeLoadCost()
		}
		if best == nil || cost < lowest {
			best, victim, lowest = t, v, cost
		}
	}
	return best, victim, later
}

// victim returns the model of a target that may yield, frees at least neededMB and costs the least, or nil.
func (s *planState) victim(t *Target, yields func(*Model) bool, costOf func(*Model) float64, neededMB float64) *Model {
	var best *Model
	for _, h := range t.Models {
		m := s.byName[h.Model]
		if m == nil || !h.Ready || h.Unloading || m.MB < neededMB || !yields(m) {
			continue
		}
		if best == nil || costOf(m) < costOf(best) {
			best = m
		}
	}
	return best
}

// unload returns the unload of a model and applies it to the state.
func (s *planState) unload(t *Target, m *Model, reason string) Action {
	s.busy[t.ID] = true
	s.copies[m.Name]--
	s.ready[m.Name]--
	s.unloading++
	s.anySurplus, s.anyRare = unknown, unknown
	for i := range t.Models {
		if t.Models[i].Model == m.Name {
			t.Models[i].Unloading, t.Models[i].Ready = true, false
		}
	}
	return Action{Op: orders.Unload, Target: t.ID, Model: m.Name, Reason: reason, Idle: !m.used()}
}

// freeMemory unloads surplus copies until enough targets have free memory for the largest model, or will have it
// after their unloads.
func (s *planState) freeMemory() []Action {
	largestMB := 0.0
	for i := range s.models {
		largestMB = max(largestMB, s.models[i].MB)
	}
	freeTargets := 0
	for _, t := range s.targets {
		freeMB := t.freeMB()
		for _, h := range t.Models {
			if h.Unloading {
				freeMB += h.MB
			}
		}
		if freeMB >= largestMB {
			freeTargets++
		}
	}
	var out []Action
	for freeTargets < s.minFreeTargets() {
		t, m := s.leastNeededCopy(largestMB)
		if t == nil {
			break
		}
		out = append(out, s.unload(t, m, ReasonFreeMemory))
		freeTargets++
	}
	return out
}

// minFreeTargets returns how many targets should have free memory for the largest model.
func (s *planState) minFreeTargets() int {
	if s.waves {
		return max(minFreeTargets, int(waveFreeFraction*float64(len(s.targets))))
	}
	return minFreeTargets
}

// leastNeededCopy returns the target and model of the copy with the largest surplus among those whose unload gives a target
// neededMB of free memory; nil if there is none.
func (s *planState) leastNeededCopy(neededMB float64) (*Target, *Model) {
	var best *Target
	var victim *Model
	highest := 0
	for _, t := range s.targets {
		if s.busy[t.ID] || t.freeMB() >= neededMB {
			continue
		}
		v := s.victim(t, func(m *Model) bool { return s.surplus(m, minCopies+spareCopies) > 0 }, s.demandCost, neededMB-t.freeMB())
		if v == nil || v.EngineLoad > minUsedLoadMS && s.surplus(v, minCopies) < 2*spareCopies {
			continue
		}
		if n := s.surplus(v, minCopies); best == nil || n > highest {
			best, victim, highest = t, v, n
		}
	}
	return best, victim
}
