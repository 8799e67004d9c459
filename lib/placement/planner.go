package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the planner's thresholds. Utilisation is the share of a target's time that is used.
type Config struct {
	High          float64       // least utilisation over a model's targets above which it gets another copy
	Low           float64       // utilisation that the remaining copies may reach when one is removed
	Gain          float64       // a new copy must go to a target whose utilisation is lower by this much
	Rising        float64       // head-room factor while the short-term demand is over twice the long-term one
	QueueDrain    time.Duration // time in which queued requests shall be worked off
	MinResidence  time.Duration // a copy loaded for demand stays this long
	AdapterIdle   float64       // long-term requests a second below which an adapter counts as idle
	PrefillRate   float64       // tokens a second, for targets of unknown rate
	DecodeRate    float64       // tokens a second, for targets of unknown rate
	QueuedPrompt  float64       // tokens of a queued request of a model without history
	QueuedOutput  float64       // tokens of a queued request of a model without history
	SpareInFlight int           // loads in flight from which no copies for a second zone are started
}

// DefaultConfig returns the thresholds in use. High and Low lie apart so that a removed copy is not
// wanted again at the same demand. Rising makes up for the short average, which shows 40% of a jump a
// second after it.
func DefaultConfig() Config {
	return Config{
		High: 0.8, Low: 0.45, Gain: 0.57, Rising: 1.5, QueueDrain: 5 * time.Second, MinResidence: 30 * time.Second,
		AdapterIdle: 0.01, PrefillRate: 8000, DecodeRate: 2000, QueuedPrompt: 500, QueuedOutput: 200,
		SpareInFlight: 1,
	}
}

// Planner plans loads and unloads. It keeps only the pacing of the weight store between plans and is
// not safe for concurrent use.
type Planner struct {
	cfg    Config
	tokens float64 // model loads that may start now
	at     time.Time
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Plan returns the actions to start now, most urgent first. Every action keeps to the memory that is
// free at this moment; an unload that makes room is planned before the load that needs it.
func (p *Planner) Plan(in *Input) []Action {
	w := p.newWorld(in)
	p.refill(in)
	w.budget = p.budget(in, w)
	w.ahead = w.budget + max(1, in.Limits.FullSpeedLoads)
	start := w.budget
	w.tidy()
	w.restore()
	w.scale()
	w.adapters(in)
	w.spread()
	p.tokens -= float64(start - w.budget)
	slices.SortStableFunc(w.actions, func(a, b Action) int { return cmp.Compare(a.Priority, b.Priority) })
	return w.actions
}

// refill adds the loads that the store's rate allows since the last plan.
func (p *Planner) refill(in *Input) {
	burst := math.Max(1, in.Limits.LoadsPerSecond)
	if p.at.IsZero() {
		p.tokens = burst
	} else {
		p.tokens = math.Min(burst, p.tokens+in.Now.Sub(p.at).Seconds()*in.Limits.LoadsPerSecond)
	}
	p.at = in.Now
}

// budget returns how many model loads may start. More than the full-speed limit would slow all of them.
func (p *Planner) budget(in *Input, w *world) int {
	free := max(1, in.Limits.FullSpeedLoads) - w.inFlight
	return max(0, min(free, int(p.tokens+1e-9)))
}

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

// tidy removes what is no longer configured.
func (w *world) tidy() {
	for _, t := range w.targets {
		if !t.usable() {
			continue
		}
		for _, e := range t.Held {
			if e.State != Resident || w.configured(e) {
				continue
			}
			w.unload(t.holds[key(e.Kind, e.Name)], PriorityTidy, "not configured")
		}
	}
}

func (w *world) configured(e Held) bool {
	if e.Kind == KindModel {
		return w.byName[e.Name] != nil
	}
	a, ok := w.adapter[e.Name]
	return ok && w.byName[a.Model] != nil
}

// restore brings every model to its least number of copies, models without any copy first and among
// them the ones with most demand.
func (w *world) restore() {
	short := slices.DeleteFunc(slices.Clone(w.models), func(m *model) bool {
		return len(m.copies)+m.loading >= m.MinCopies
	})
	slices.SortStableFunc(short, func(a, b *model) int {
		return cmp.Or(cmp.Compare(w.urgency(a), w.urgency(b)), -cmp.Compare(a.keep, b.keep), -cmp.Compare(a.Bytes, b.Bytes))
	})
	for _, m := range short {
		prio, reason := w.urgency(m), "no copy left"
		if prio != PriorityLost {
			reason = "below its least number of copies"
		}
		for range m.MinCopies - len(m.copies) - m.loading {
			if !w.add(m, prio, reason, true) {
				break
			}
		}
	}
}

func (w *world) urgency(m *model) int {
	if m.reach+m.loading == 0 {
		return PriorityLost
	}
	return PriorityLeaving
}

// scale gives models whose targets are all busy another copy, the busiest first.
func (w *world) scale() {
	var busy []*model
	for _, m := range w.models {
		if len(m.copies) > 0 && w.pressure(m) > w.cfg.High {
			busy = append(busy, m)
		}
	}
	slices.SortStableFunc(busy, func(a, b *model) int { return -cmp.Compare(w.pressure(a), w.pressure(b)) })
	for _, m := range busy {
		// Several copies are ordered at once: a tenfold burst must not wait for one load after another.
		want := int(math.Ceil(m.work/w.cfg.High)) - len(m.copies) - m.loading
		if want < 1 && m.loading == 0 && w.shared(m) {
			want = 1
		}
		for range want {
			if !w.add(m, PriorityDemand, "demand", false) {
				break
			}
		}
	}
}

// pressure is the utilisation of the least used target that holds m.
func (w *world) pressure(m *model) float64 {
	least := math.Inf(1)
	for _, h := range m.copies {
		least = math.Min(least, h.t.load)
	}
	return least
}

// shared reports whether m is a notable part of the work on its targets, so that another copy helps.
func (w *world) shared(m *model) bool {
	return m.work/float64(len(m.copies)) > 0.1
}

// spread gives models with demand a second zone, into free memory only. Such copies are the first to
// make room for others.
func (w *world) spread() {
	if w.inFlight >= w.cfg.SpareInFlight {
		return
	}
	var single []*model
	for _, m := range w.models {
		if len(m.copies)+m.loading > 0 && len(m.zones) == 1 {
			single = append(single, m)
		}
	}
	slices.SortStableFunc(single, func(a, b *model) int { return -cmp.Compare(a.keep, b.keep) })
	for _, m := range single {
		if w.inFlight >= w.cfg.SpareInFlight || w.budget == 0 {
			return
		}
		if t := w.choose(m, func(t *target) bool { return m.zones[t.Zone] == 0 && t.free >= m.Bytes+m.adapters }); t != nil {
			w.load(m, t, PrioritySpread, "second zone")
		}
	}
}

// add plans one more copy of m, or the unloads that make room for it. It reports whether it did either.
// Forced copies may take room from redundant copies that carry load.
func (w *world) add(m *model, prio int, reason string, forced bool) bool {
	if w.ahead == 0 || !w.tryAdd(m, prio, reason, forced) {
		return false
	}
	w.ahead--
	return true
}

func (w *world) tryAdd(m *model, prio int, reason string, forced bool) bool {
	fits := func(t *target) bool { return w.suits(m, t, forced) }
	if t := w.choose(m, func(t *target) bool { return fits(t) && w.retained(m, t) }); t != nil {
		w.action(Load, m.on[t], prio, reason)
		w.claimRetained(m, t)
		return true
	}
	if t := w.choose(m, func(t *target) bool { return fits(t) && t.free >= m.Bytes }); t != nil {
		if w.budget == 0 {
			t.free -= m.Bytes // keeps the room for this load once the store allows it
			return true
		}
		w.load(m, t, prio, reason)
		return true
	}
	if t := w.choose(m, func(t *target) bool { return fits(t) && t.free+t.soon >= m.Bytes }); t != nil {
		t.claim(m.Bytes)
		return true
	}
	if w.makeRoom(m, prio, fits, forced) {
		return true
	}
	return prio == PriorityLost && w.moveAside(m)
}

// retained reports whether a copy of m on t is about to be unloaded and can be kept instead.
func (w *world) retained(m *model, t *target) bool {
	h := m.on[t]
	return h != nil && h.State == Retiring
}

func (w *world) claimRetained(m *model, t *target) {
	h := m.on[t]
	h.State = Resident
	t.soon -= h.Bytes
	m.copies = append(m.copies, h)
	m.zones[t.Zone]++
}

func (t *target) claim(bytes int64) {
	fromFree := min(max(t.free, 0), bytes)
	t.free -= fromFree
	t.soon -= bytes - fromFree
}

// suits reports whether a copy of m may be placed on t, room aside.
func (w *world) suits(m *model, t *target, forced bool) bool {
	if !t.usable() || m.Bytes > t.Capacity {
		return false
	}
	if h := m.on[t]; h != nil && h.State != Retiring {
		return false
	}
	return forced || t.load+w.cfg.Gain <= w.pressure(m)
}

// choose returns the best target that passes ok, or nil: a zone without the model first, then the least
// used target, then the tightest fit, which keeps large gaps for large models.
func (w *world) choose(m *model, ok func(*target) bool) *target {
	var best *target
	var bestScore float64
	for _, t := range w.targets {
		if !t.usable() || !ok(t) {
			continue
		}
		if h := m.on[t]; h != nil && h.State != Retiring {
			continue
		}
		score := 2*float64(m.zones[t.Zone]) + t.load + 0.2*float64(t.free)/float64(max(1, t.Capacity))
		if t.free < m.Bytes+m.adapters {
			score++ // no room would be left for one of its adapters
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// makeRoom plans unloads of idle adapters and redundant copies on the target where that costs least.
func (w *world) makeRoom(m *model, prio int, fits func(*target) bool, forced bool) bool {
	var best *target
	var bestSet []*hold
	bestCost := math.Inf(1)
	for _, t := range w.targets {
		if !fits(t) {
			continue
		}
		set, cost := w.victims(t, m.Bytes-t.free-t.soon, w.tolerated(m), forced)
		cost += 0.5 * float64(m.zones[t.Zone])
		if set != nil && cost < bestCost {
			best, bestSet, bestCost = t, set, cost
		}
	}
	if best == nil {
		return false
	}
	for _, h := range bestSet {
		w.unload(h, prio, "makes room for "+m.Name)
	}
	best.claim(m.Bytes)
	return true
}

// victims returns entries of t that free the given bytes at the least cost, or nil.
func (w *world) victims(t *target, bytes int64, tolerated float64, forced bool) ([]*hold, float64) {
	var set []*hold
	cost := 0.0
	for _, h := range t.idle {
		if bytes <= 0 {
			break
		}
		if h.State == Resident && (forced || w.demand[h.Name].Long.Requests < w.cfg.AdapterIdle) {
			set, bytes, cost = append(set, h), bytes-h.Bytes, cost+0.05+w.demand[h.Name].Short.Requests
		}
	}
	for bytes > 0 {
		var pick *hold
		pickCost := math.Inf(1)
		for _, h := range t.copies {
			if slices.Contains(set, h) {
				continue
			}
			if c, ok := w.removal(h, tolerated, forced); ok && c < pickCost {
				pick, pickCost = h, c
			}
		}
		if pick == nil {
			return nil, 0
		}
		set, bytes, cost = append(set, pick), bytes-pick.Bytes, cost+pickCost
	}
	return set, cost
}

// tolerated is the utilisation up to which other targets may rise to make room for m. Under overload every target is
// above High, and room is still worth making where the targets that gain work stay well below those of m.
func (w *world) tolerated(m *model) float64 {
	if len(m.copies) == 0 {
		return w.cfg.High
	}
	return math.Max(w.cfg.High, w.pressure(m)-w.cfg.Gain)
}

// removal returns the cost of removing copy h, and false if h must stay.
func (w *world) removal(h *hold, tolerated float64, forced bool) (float64, bool) {
	m := h.m
	if h.State != Resident || len(m.copies) < 2 || len(m.copies) <= m.MinCopies {
		return 0, false
	}
	left := float64(len(m.copies) - 1)
	cost := m.keep / left
	if len(m.zones) == 2 && m.zones[h.t.Zone] == 1 {
		// Its last copy outside one zone. Without it, the loss of a zone makes the model unreachable until it is
		// loaded anew, which takes seconds.
		if !forced {
			return 0, false
		}
		cost += 0.5
	}
	if forced {
		return cost, true
	}
	if w.now.Sub(h.Since) < w.cfg.MinResidence || m.keep/left > w.cfg.Low {
		return 0, false
	}
	for _, o := range m.copies {
		if o != h && o.t.load+m.keep/left/(left+1) > tolerated {
			return 0, false
		}
	}
	return cost, true
}

// moveAside starts the move of one model to another target when that frees enough room for m. The
// copy left behind is redundant in a later plan.
func (w *world) moveAside(m *model) bool {
	if w.budget == 0 {
		return false
	}
	for _, t := range w.targets {
		if !w.suits(m, t, true) {
			continue
		}
		for _, h := range t.copies {
			if h.State != Resident || h.m.loading > 0 || t.free+t.soon+h.Bytes < m.Bytes {
				continue
			}
			if to := w.choose(h.m, func(o *target) bool { return o != t && o.free >= h.Bytes }); to != nil {
				w.load(h.m, to, PriorityLost, "moves to make room for "+m.Name)
				return true
			}
		}
	}
	return false
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

// adapters loads adapters with demand where their model is resident.
func (w *world) adapters(in *Input) {
	names := make([]AdapterSpec, 0, len(in.Adapters))
	for _, a := range in.Adapters {
		if d := w.demand[a.Name]; (d.Queue > 0 || d.Short.Requests > w.cfg.AdapterIdle) && w.byName[a.Model] != nil {
			names = append(names, a)
		}
	}
	slices.SortFunc(names, func(a, b AdapterSpec) int {
		da, db := w.demand[a.Name], w.demand[b.Name]
		return cmp.Or(-cmp.Compare(da.Queue, db.Queue), -cmp.Compare(da.Short.Requests, db.Short.Requests), cmp.Compare(a.Name, b.Name))
	})
	limit := max(1, in.Limits.AdapterLoadsAtSpeed)
	for _, a := range names {
		if w.adapting >= limit {
			return
		}
		w.placeAdapter(a, limit)
	}
}

// placeAdapter loads a on as many of its model's targets as its share of the model's requests asks for.
func (w *world) placeAdapter(a AdapterSpec, limit int) {
	m := w.byName[a.Model]
	d, base := w.demand[a.Name], w.demand[m.Name]
	want := 1
	if base.Short.Requests > 0 {
		want = int(math.Ceil(float64(len(m.copies)) * math.Min(1, d.Short.Requests/base.Short.Requests)))
	}
	var open []*target
	for _, h := range m.copies {
		e := h.t.holds[key(KindAdapter, a.Name)]
		switch {
		case e == nil || e.State == Retiring:
			open = append(open, h.t)
		case e.State == Resident || e.State == Loading:
			want--
		}
	}
	slices.SortStableFunc(open, func(x, y *target) int {
		return cmp.Or(cmp.Compare(x.load, y.load), -cmp.Compare(x.free, y.free), cmp.Compare(x.ID, y.ID))
	})
	for _, t := range open {
		if want <= 0 || w.adapting >= limit {
			return
		}
		if w.loadAdapter(a, t) {
			want--
		}
	}
}

func (w *world) loadAdapter(a AdapterSpec, t *target) bool {
	if h := t.holds[key(KindAdapter, a.Name)]; h != nil {
		h.State = Resident
		t.soon -= h.Bytes
		w.action(Load, h, PriorityDemand, "adapter demand")
		return true
	}
	if !t.usable() {
		return false
	}
	if t.free >= a.Bytes {
		h := &hold{Held: Held{Kind: KindAdapter, Name: a.Name, Bytes: a.Bytes, State: Loading, Since: w.now}, t: t}
		t.holds[key(KindAdapter, a.Name)] = h
		t.free -= a.Bytes
		w.adapting++
		w.action(Load, h, PriorityDemand, "adapter demand")
		return true
	}
	if t.free+t.soon >= a.Bytes {
		t.claim(a.Bytes)
		return true
	}
	set, _ := w.victims(t, a.Bytes-t.free-t.soon, w.cfg.High, false)
	set = slices.DeleteFunc(set, func(h *hold) bool { return h.Kind == KindModel && h.Name == a.Model })
	freed := t.free + t.soon
	for _, h := range set {
		freed += h.Bytes
	}
	if freed < a.Bytes {
		return false
	}
	for _, h := range set {
		w.unload(h, PriorityDemand, "makes room for "+a.Name)
	}
	t.claim(a.Bytes)
	return true
}
