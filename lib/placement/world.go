package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// world is the working state of one plan.
type world struct {
	cfg      Config
	now      time.Time
	targets  []*target
	byID     map[string]*target
	models   []*model
	byName   map[string]*model
	adapter  map[string]AdapterSpec
	demand   map[string]Demand
	inFlight int // model loads
	adapting int // adapter loads
	budget   int // model loads that may start
	ahead    int // copies beyond the budget for which room may yet be made or kept
	actions  []Action
}

type target struct {
	TargetState
	free    int64 // bytes not held and not claimed by this plan
	soon    int64 // bytes that planned unloads will free, not claimed by this plan
	load    float64
	prefill float64
	decode  float64
	copies  []*hold // model copies that count
	idle    []*hold // resident adapters
	holds   map[holdKey]*hold
}

type hold struct {
	Held
	t *target
	m *model // nil if not configured, or an adapter
}

type model struct {
	ModelSpec
	copies   []*hold // resident on live targets that stay
	reach    int     // resident on live targets, leaving ones included
	loading  int
	work     float64 // target seconds a second, short-term with the queue
	keep     float64 // the larger of short and long-term work
	adapters int64   // bytes of its largest adapter
	on       map[*target]*hold
	zones    map[string]int
}

func (t *target) usable() bool { return t.Alive && !t.Leaving && !t.Blocked }

type holdKey struct {
	adapter bool
	name    string
}

func key(kind, name string) holdKey { return holdKey{kind == KindAdapter, name} }

func (p *Planner) newWorld(in *Input) *world {
	w := &world{
		cfg: p.cfg, now: in.Now, demand: in.Demand, byName: make(map[string]*model, len(in.Models)),
		adapter: make(map[string]AdapterSpec, len(in.Adapters)), byID: make(map[string]*target, len(in.Targets)),
	}
	for _, s := range in.Models {
		m := &model{ModelSpec: s, zones: map[string]int{}, on: map[*target]*hold{}}
		m.MinCopies = max(1, m.MinCopies)
		w.models = append(w.models, m)
		w.byName[s.Name] = m
	}
	slices.SortFunc(w.models, func(a, b *model) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range in.Adapters {
		w.adapter[a.Name] = a
		if m := w.byName[a.Model]; m != nil {
			m.adapters = max(m.adapters, a.Bytes)
		}
	}
	for _, s := range in.Targets {
		w.addTarget(s)
	}
	slices.SortFunc(w.targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	w.estimate()
	return w
}

func (w *world) addTarget(s TargetState) {
	t := &target{TargetState: s, free: s.Capacity, prefill: s.PrefillRate, decode: s.DecodeRate, holds: make(map[holdKey]*hold, len(s.Held))}
	if t.prefill <= 0 {
		t.prefill = w.cfg.PrefillRate
	}
	if t.decode <= 0 {
		t.decode = w.cfg.DecodeRate
	}
	w.targets = append(w.targets, t)
	w.byID[t.ID] = t
	for _, e := range s.Held {
		h := &hold{Held: e, t: t}
		t.holds[key(e.Kind, e.Name)] = h
		if e.State != Gone {
			t.free -= e.Bytes
		}
		if e.State == Retiring || e.State == Unloading {
			t.soon += e.Bytes
		}
		if e.Kind == KindModel {
			w.addCopy(t, h)
		} else {
			if e.State == Loading && t.Alive {
				w.adapting++
			}
			if e.State == Resident {
				t.idle = append(t.idle, h)
			}
		}
	}
}

func (w *world) addCopy(t *target, h *hold) {
	if h.m = w.byName[h.Name]; h.m != nil {
		h.m.on[t] = h
	}
	if h.State == Loading && t.Alive {
		w.inFlight++
	}
	if h.m == nil || !t.Alive {
		return
	}
	switch h.State {
	case Resident:
		h.m.reach++
		if !t.Leaving {
			h.m.copies = append(h.m.copies, h)
			h.m.zones[t.Zone]++
			t.copies = append(t.copies, h)
		}
	case Loading:
		if !t.Leaving {
			h.m.loading++
			h.m.zones[t.Zone]++
		}
	}
}

// estimate computes the work of each model and the utilisation of each target. Routers send more to
// the less used copies, so work is spread in a few rounds towards them.
func (w *world) estimate() {
	prefill, decode, n := 0.0, 0.0, 0.0
	for _, t := range w.targets {
		if t.usable() {
			prefill, decode, n = prefill+t.prefill, decode+t.decode, n+1
		}
	}
	if n == 0 {
		return
	}
	prefill, decode = prefill/n, decode/n
	for _, m := range w.models {
		d := w.demand[m.Name]
		short, long := d.Short, d.Long
		work := func(r Rates) float64 { return max(r.Prompt/prefill, r.Output/decode) }
		each := w.cfg.QueuedPrompt/prefill + w.cfg.QueuedOutput/decode
		if long.Requests > 0.01 {
			each = work(long) / long.Requests
		}
		m.work = work(short)
		if short.Requests > 2*long.Requests {
			m.work *= w.cfg.Rising
		}
		m.work += float64(d.Queue) * each / w.cfg.QueueDrain.Seconds()
		m.keep = math.Max(m.work, work(long))
	}
	w.share()
}

func (w *world) share() {
	loads := make(map[*target]float64, len(w.targets))
	for round := range 3 {
		for _, m := range w.models {
			sum := 0.0
			for _, h := range m.copies {
				sum += 1 / (0.1 + h.t.load)
			}
			for _, h := range m.copies {
				loads[h.t] += m.work / (0.1 + h.t.load) / sum
			}
		}
		for _, t := range w.targets {
			if round == 0 {
				t.load = loads[t]
			} else {
				t.load = (t.load + loads[t]) / 2
			}
		}
		clear(loads)
	}
}

func (t *target) claim(bytes int64) {
	fromFree := min(max(t.free, 0), bytes)
	t.free -= fromFree
	t.soon -= bytes - fromFree
}

func (w *world) load(m *model, t *target, prio int, reason string) {
	h := &hold{Held: Held{Kind: KindModel, Name: m.Name, Bytes: m.Bytes, State: Loading, Since: w.now}, t: t, m: m}
	m.on[t] = h
	t.free -= m.Bytes
	m.loading++
	m.zones[t.Zone]++
	w.inFlight++
	w.budget--
	w.action(Load, h, prio, reason)
}

func (w *world) unload(h *hold, prio int, reason string) {
	h.State = Retiring
	h.t.soon += h.Bytes
	if h.m != nil {
		h.m.copies = slices.DeleteFunc(h.m.copies, func(o *hold) bool { return o == h })
		if h.m.zones[h.t.Zone]--; h.m.zones[h.t.Zone] == 0 {
			delete(h.m.zones, h.t.Zone)
		}
		h.t.copies = slices.DeleteFunc(h.t.copies, func(o *hold) bool { return o == h })
		for _, a := range h.t.idle {
			if a.State == Resident && w.adapter[a.Name].Model == h.Name {
				w.unload(a, prio, "its model goes")
			}
		}
	}
	w.action(Unload, h, prio, reason)
}

func (w *world) action(op Op, h *hold, prio int, reason string) {
	base := ""
	if h.Kind == KindAdapter {
		base = w.adapter[h.Name].Model
	}
	w.actions = append(w.actions, Action{
		Op: op, Kind: h.Kind, Name: h.Name, Model: base, Target: h.t.ID, Bytes: h.Bytes, Priority: prio, Reason: reason,
	})
}
