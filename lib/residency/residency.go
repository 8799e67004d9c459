// Package residency decides which models targets hold. It answers demand that moves to other models within seconds,
// targets that crash with the only copy of a model, and a weight store that allows few loads a second.
//
// It does no I/O, and takes the time as an argument.
package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/orders"
)

const (
	// busyShare is the part of a target's time that the demand for one model may take before another copy is added.
	// First events are in time only while prompts rarely wait for each other.
	busyShare = 0.22
	// spareCopies is how many copies more than needed a model keeps while nobody needs the room.
	spareCopies = 1
	// minCopies is wanted of every model, so that a crash leaves one.
	minCopies = 1
	// recentDemand is the demand in milliseconds of engine time a second below which a model counts as unused.
	recentDemand = 1.0
	// storeCost and sameZoneCost are added to the load of a target, in milliseconds of engine time a second, when a copy
	// would come from the weight store and not from the target's own disk, and when its zone has a copy already.
	storeCost    = 200
	sameZoneCost = 100
	// roomTargets is how many targets should have room for the largest model, so that loads need not wait for unloads.
	roomTargets = 3
)

// Held is a model in a target's memory.
type Held struct {
	Model string
	MB    float64
	Ready bool // loaded, and not about to be unloaded
	Going bool // about to be unloaded
}

// Target is one engine.
type Target struct {
	ID     string
	Zone   string
	MB     float64 // for models
	Held   []Held
	Busy   bool // an order is under way or its outcome unknown
	AtHand []string
}

func (t *Target) free() float64 {
	free := t.MB
	for _, h := range t.Held {
		free -= h.MB
	}
	return free
}

func (t *Target) holds(model string) bool {
	return slices.ContainsFunc(t.Held, func(h Held) bool { return h.Model == model })
}

// Model is a configured model and the demand for it.
type Model struct {
	Name string
	MB   float64
	Work float64 // milliseconds of engine time a second, at the model's speed
}

// Action is one order.
type Action struct {
	Op        orders.Op
	Target    string
	Model     string
	FromStore bool   // the load is counted by the weight store
	Reason    string // for logs
}

// Reasons of actions.
const (
	ReasonLost   = "no copy left"
	ReasonDemand = "demand"
	ReasonSpare  = "second copy"
	ReasonRoom   = "room"
)

// Planner plans actions. It is not safe for concurrent use.
type Planner struct {
	loads bucket
}

// NewPlanner returns a planner that starts at most rate loads a second from the weight store, and burst at once. A
// planner that follows another one starts without any.
func NewPlanner(rate, burst float64, first bool, now time.Time) *Planner {
	b := bucket{rate: rate, burst: burst, at: now}
	if first {
		b.tokens = burst
	}
	return &Planner{loads: b}
}

// bucket limits loads.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
}

// SetRate changes the rate of loads.
func (p *Planner) SetRate(rate float64) { p.loads.rate = rate }

// want is a model that should get another copy.
type want struct {
	model    *Model
	reason   string
	priority int
	urgency  float64
}

// Plan returns the actions to take now, at most one for each target. Loads that it returns are counted as started.
func (p *Planner) Plan(models []Model, targets []*Target, now time.Time) []Action {
	p.loads.refill(now)
	s := newState(models, targets)
	var out []Action
	for _, w := range s.wants() {
		if a, ok := s.place(w, p.loads.tokens >= 1); ok {
			if a.FromStore {
				p.loads.tokens--
			}
			out = append(out, a)
		}
	}
	return append(out, s.makeRoom()...)
}

// state is the world while a plan is made.
type state struct {
	models  []Model
	byName  map[string]*Model
	targets []*Target
	copies  map[string]int // ready or on their way
	ready   map[string]int
	taken   map[string]bool // targets that got an action
	load    map[string]float64
}

func newState(models []Model, targets []*Target) *state {
	s := &state{
		models: models, byName: map[string]*Model{}, targets: targets, copies: map[string]int{}, ready: map[string]int{},
		taken: map[string]bool{}, load: map[string]float64{},
	}
	for i := range models {
		s.byName[models[i].Name] = &models[i]
	}
	for _, t := range targets {
		s.taken[t.ID] = t.Busy
		for _, h := range t.Held {
			if !h.Going {
				s.copies[h.Model]++
			}
			if h.Ready {
				s.ready[h.Model]++
			}
		}
	}
	for _, t := range targets {
		for _, h := range t.Held {
			if m := s.byName[h.Model]; m != nil && !h.Going {
				s.load[t.ID] += m.Work / float64(max(1, s.copies[h.Model]))
			}
		}
	}
	return s
}

// needed is the number of copies that the demand needs.
func (m *Model) needed() int {
	return max(1, int(math.Ceil(m.Work/(1000*busyShare))))
}

// wants lists the models that should get a copy, the most urgent first.
func (s *state) wants() []want {
	var out []want
	for i := range s.models {
		m := &s.models[i]
		have, need := s.copies[m.Name], m.needed()
		switch {
		case have == 0:
			out = append(out, want{m, ReasonLost, 0, m.Work})
		case have < need:
			out = append(out, want{m, ReasonDemand, 1, float64(need) / float64(have)})
		case have < minCopies:
			out = append(out, want{m, ReasonSpare, 2, m.Work})
		}
	}
	slices.SortStableFunc(out, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.model.Name, b.model.Name))
	})
	return out
}

// place finds the target for another copy, or makes room for it.
func (s *state) place(w want, mayLoad bool) (Action, bool) {
	if t := s.roomFor(w.model, mayLoad); t != nil {
		fromStore := !slices.Contains(t.AtHand, w.model.Name)
		s.taken[t.ID] = true
		t.Held = append(t.Held, Held{Model: w.model.Name, MB: w.model.MB})
		s.copies[w.model.Name]++
		return Action{orders.Load, t.ID, w.model.Name, fromStore, w.reason}, true
	}
	if w.priority > 1 || s.emptying(w.model) {
		return Action{}, false
	}
	return s.evictFor(w.model)
}

// roomFor returns the best idle target with room for the model, or nil.
func (s *state) roomFor(m *Model, mayLoad bool) *Target {
	var best *Target
	var lowest float64
	for _, t := range s.targets {
		atHand := slices.Contains(t.AtHand, m.Name)
		if s.taken[t.ID] || t.holds(m.Name) || t.free() < m.MB || !atHand && !mayLoad {
			continue
		}
		cost := s.load[t.ID]
		if !atHand {
			cost += storeCost
		}
		if s.zoneHolds(t.Zone, m.Name) {
			cost += sameZoneCost
		}
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

func (s *state) zoneHolds(zone, model string) bool {
	return slices.ContainsFunc(s.targets, func(t *Target) bool { return t.Zone == zone && t.holds(model) })
}

// emptying reports whether a target will have room for the model once its unloads are done.
func (s *state) emptying(m *Model) bool {
	return slices.ContainsFunc(s.targets, func(t *Target) bool {
		free := t.free()
		for _, h := range t.Held {
			if h.Going {
				free += h.MB
			}
		}
		return free >= m.MB && free > t.free() && !t.holds(m.Name)
	})
}

// surplus is how many copies a model could lose; keep is the least that stays.
func (s *state) surplus(m *Model, keep int) int {
	return min(s.copies[m.Name]-max(keep, m.needed()), s.ready[m.Name]-1)
}

// evictFor unloads a copy that is not needed, on the target where that gives room for the model soonest.
func (s *state) evictFor(m *Model) (Action, bool) {
	for _, keep := range []int{minCopies, 1} {
		var best *Target
		var victim *Model
		var lowest float64
		for _, t := range s.targets {
			if s.taken[t.ID] || t.holds(m.Name) {
				continue
			}
			v := s.victim(t, keep, m.MB-t.free())
			if v == nil {
				continue
			}
			cost := s.load[t.ID] + v.Work
			if best == nil || cost < lowest {
				best, victim, lowest = t, v, cost
			}
		}
		if best != nil {
			return s.unload(best, victim, ReasonRoom), true
		}
	}
	return Action{}, false
}

// victim returns the least used model of a target that can go and frees enough, or nil.
func (s *state) victim(t *Target, keep int, mb float64) *Model {
	var best *Model
	for _, h := range t.Held {
		m := s.byName[h.Model]
		if m == nil || !h.Ready || h.Going || s.surplus(m, keep) <= 0 || m.MB < mb {
			continue
		}
		if best == nil || m.Work < best.Work {
			best = m
		}
	}
	return best
}

func (s *state) unload(t *Target, m *Model, reason string) Action {
	s.taken[t.ID] = true
	s.copies[m.Name]--
	s.ready[m.Name]--
	for i := range t.Held {
		if t.Held[i].Model == m.Name {
			t.Held[i].Going, t.Held[i].Ready = true, false
		}
	}
	return Action{orders.Unload, t.ID, m.Name, false, reason}
}

// makeRoom unloads copies that nobody needs until a few targets have room for the largest model.
func (s *state) makeRoom() []Action {
	largest := 0.0
	for i := range s.models {
		largest = max(largest, s.models[i].MB)
	}
	roomy := 0
	for _, t := range s.targets {
		free := t.free()
		for _, h := range t.Held {
			if h.Going {
				free += h.MB
			}
		}
		if free >= largest {
			roomy++
		}
	}
	var out []Action
	for roomy < roomTargets {
		t, m := s.spare(largest)
		if t == nil {
			break
		}
		out = append(out, s.unload(t, m, ReasonRoom))
		roomy++
	}
	return out
}

// spare returns the copy that is needed least among those that would give room for mb.
func (s *state) spare(mb float64) (*Target, *Model) {
	var best *Target
	var victim *Model
	most := 0
	for _, t := range s.targets {
		if s.taken[t.ID] || t.free() >= mb {
			continue
		}
		v := s.victim(t, minCopies+spareCopies, mb-t.free())
		if v == nil || v.Work > recentDemand && s.surplus(v, minCopies) < 2*spareCopies {
			continue
		}
		if n := s.surplus(v, minCopies); best == nil || n > most {
			best, victim, most = t, v, n
		}
	}
	return best, victim
}
