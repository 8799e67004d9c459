package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// workingState is the state of one call of Plan: the input with indexes, estimated loads, and the effects of the actions
// planned so far.
type workingState struct {
	cfg                  Config
	now                  time.Time
	targets              []*plannedTarget
	targetsByID          map[string]*plannedTarget
	models               []*plannedModel
	modelsByName         map[string]*plannedModel
	adapterSpecs         map[string]AdapterSpec
	demand               map[string]Demand
	modelLoadsInFlight   int
	adapterLoadsInFlight int
	loadBudget           int // model loads that may still start
	copyBudget           int // copies that may still be planned, including those that only reserve or free memory
	actions              []Action
}

// plannedTarget is a target with the effects of the actions planned so far.
type plannedTarget struct {
	TargetState
	freeBytes        int64 // neither occupied nor reserved by this plan; negative when overcommitted
	unloadingBytes   int64 // to be freed by planned or started unloads, less what this plan has reserved
	utilisation      float64
	prefillRate      float64      // prompt tokens a second, as measured or configured
	decodeRate       float64      // output tokens a second of a full batch, as measured or configured
	copies           []*residency // resident copies of configured models, if the target is alive and not leaving
	residentAdapters []*residency
	residencies      map[residencyKey]*residency
}

// residency is a model or adapter that occupies, or may occupy, memory of a target.
type residency struct {
	Residency
	target *plannedTarget
	model  *plannedModel // nil for adapters and for models that are not configured
}

// plannedModel is a configured model with its copies and its load.
type plannedModel struct {
	ModelSpec
	copies              []*residency // resident on targets that are alive and not leaving
	reachableCopies     int          // resident on targets that are alive, leaving ones included
	loadingCopies       int          // on targets that are alive and not leaving
	engineLoad          float64      // seconds of engine time per second, from the short-term demand and the queue
	sustainedLoad       float64      // the larger of engineLoad and the load from the long-term demand
	largestAdapterBytes int64
	byTarget            map[*plannedTarget]*residency // in any state
	copiesPerZone       map[string]int                // resident and loading copies on targets that are not leaving
}

// usable reports whether actions may be planned for the target.
func (t *plannedTarget) usable() bool { return t.Alive && !t.Leaving && !t.Blocked }

// residencyKey identifies a model or adapter at a target. Models and adapters have separate name spaces.
type residencyKey struct {
	adapter bool
	name    string
}

func keyOf(kind, name string) residencyKey { return residencyKey{kind == KindAdapter, name} }

// newWorkingState indexes the input and estimates the loads.
func (p *Planner) newWorkingState(in *Input) *workingState {
	w := &workingState{
		cfg: p.cfg, now: in.Now, demand: in.Demand, modelsByName: make(map[string]*plannedModel, len(in.Models)),
		adapterSpecs: make(map[string]AdapterSpec, len(in.Adapters)),
		targetsByID:  make(map[string]*plannedTarget, len(in.Targets)),
	}
	for _, s := range in.Models {
		m := &plannedModel{ModelSpec: s, copiesPerZone: map[string]int{}, byTarget: map[*plannedTarget]*residency{}}
		m.MinCopies = max(1, m.MinCopies)
		w.models = append(w.models, m)
		w.modelsByName[s.Name] = m
	}
	slices.SortFunc(w.models, func(a, b *plannedModel) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range in.Adapters {
		w.adapterSpecs[a.Name] = a
		if m := w.modelsByName[a.Model]; m != nil {
			m.largestAdapterBytes = max(m.largestAdapterBytes, a.Bytes)
		}
	}
	for _, s := range in.Targets {
		w.addTarget(s)
	}
	slices.SortFunc(w.targets, func(a, b *plannedTarget) int { return cmp.Compare(a.ID, b.ID) })
	w.estimateLoad()
	return w
}

// addTarget adds a target and its residencies to the state.
func (w *workingState) addTarget(s TargetState) {
	t := &plannedTarget{
		TargetState: s, freeBytes: s.Capacity, prefillRate: s.PrefillRate, decodeRate: s.DecodeRate,
		residencies: make(map[residencyKey]*residency, len(s.Residencies)),
	}
	if t.prefillRate <= 0 {
		t.prefillRate = w.cfg.DefaultPrefillRate
	}
	if t.decodeRate <= 0 {
		t.decodeRate = w.cfg.DefaultDecodeRate
	}
	w.targets = append(w.targets, t)
	w.targetsByID[t.ID] = t
	for _, e := range s.Residencies {
		h := &residency{Residency: e, target: t}
		t.residencies[keyOf(e.Kind, e.Name)] = h
		if e.State != NotLoadable {
			t.freeBytes -= e.Bytes
		}
		if e.State == Retiring || e.State == Unloading {
			t.unloadingBytes += e.Bytes
		}
		if e.Kind == KindModel {
			w.recordModel(t, h)
		} else {
			if e.State == Loading && t.Alive {
				w.adapterLoadsInFlight++
			}
			if e.State == Resident {
				t.residentAdapters = append(t.residentAdapters, h)
			}
		}
	}
}

// recordModel adds the residency h of a model on t to the counts of the model and the target.
func (w *workingState) recordModel(t *plannedTarget, h *residency) {
	if h.model = w.modelsByName[h.Name]; h.model != nil {
		h.model.byTarget[t] = h
	}
	if h.State == Loading && t.Alive {
		w.modelLoadsInFlight++
	}
	if h.model == nil || !t.Alive {
		return
	}
	switch h.State {
	case Resident:
		h.model.reachableCopies++
		if !t.Leaving {
			h.model.copies = append(h.model.copies, h)
			h.model.copiesPerZone[t.Zone]++
			t.copies = append(t.copies, h)
		}
	case Loading:
		if !t.Leaving {
			h.model.loadingCopies++
			h.model.copiesPerZone[t.Zone]++
		}
	}
}

// estimateLoad computes the engine load of each model, for targets of mean speed, and the utilisation of each target.
func (w *workingState) estimateLoad() {
	meanPrefillRate, meanDecodeRate, n := 0.0, 0.0, 0.0
	for _, t := range w.targets {
		if t.usable() {
			meanPrefillRate, meanDecodeRate, n = meanPrefillRate+t.prefillRate, meanDecodeRate+t.decodeRate, n+1
		}
	}
	if n == 0 {
		return
	}
	meanPrefillRate, meanDecodeRate = meanPrefillRate/n, meanDecodeRate/n
	for _, m := range w.models {
		d := w.demand[m.Name]
		short, long := d.Short, d.Long
		engineLoad := func(r Rates) float64 { return max(r.PromptTokens/meanPrefillRate, r.OutputTokens/meanDecodeRate) }
		secondsPerRequest := w.cfg.DefaultPromptTokens/meanPrefillRate + w.cfg.DefaultOutputTokens/meanDecodeRate
		if long.Requests > 0.01 {
			secondsPerRequest = engineLoad(long) / long.Requests
		}
		m.engineLoad = engineLoad(short)
		if short.Requests > 2*long.Requests {
			m.engineLoad *= w.cfg.RisingDemandFactor
		}
		m.engineLoad += float64(d.QueueLength) * secondsPerRequest / w.cfg.QueueDrainTime.Seconds()
		m.sustainedLoad = math.Max(m.engineLoad, engineLoad(long))
	}
	w.distributeLoad()
}

// distributeLoad divides the load of each model among the targets of its copies. Routers send more requests to less
// used targets, so each round weights a target inversely to its utilisation in the round before.
func (w *workingState) distributeLoad() {
	next := make(map[*plannedTarget]float64, len(w.targets))
	for round := range 3 {
		for _, m := range w.models {
			weightSum := 0.0
			for _, h := range m.copies {
				weightSum += 1 / (0.1 + h.target.utilisation)
			}
			for _, h := range m.copies {
				next[h.target] += m.engineLoad / (0.1 + h.target.utilisation) / weightSum
			}
		}
		for _, t := range w.targets {
			if round == 0 {
				t.utilisation = next[t]
			} else {
				t.utilisation = (t.utilisation + next[t]) / 2
			}
		}
		clear(next)
	}
}

// reserve takes the given bytes from the free memory and the rest from the memory that unloads will free.
func (t *plannedTarget) reserve(bytes int64) {
	fromFree := min(max(t.freeBytes, 0), bytes)
	t.freeBytes -= fromFree
	t.unloadingBytes -= bytes - fromFree
}

// planLoad plans a load of m on t and counts the copy as loading.
func (w *workingState) planLoad(m *plannedModel, t *plannedTarget, prio int, reason string) {
	h := &residency{
		Residency: Residency{Kind: KindModel, Name: m.Name, Bytes: m.Bytes, State: Loading, Since: w.now}, target: t, model: m,
	}
	m.byTarget[t] = h
	t.freeBytes -= m.Bytes
	m.loadingCopies++
	m.copiesPerZone[t.Zone]++
	w.modelLoadsInFlight++
	w.loadBudget--
	w.addAction(Load, h, prio, reason)
}

// planUnload plans the unload of h. The unload of a model also unloads its adapters on the same target.
func (w *workingState) planUnload(h *residency, prio int, reason string) {
	h.State = Retiring
	h.target.unloadingBytes += h.Bytes
	if h.model != nil {
		h.model.copies = slices.DeleteFunc(h.model.copies, func(o *residency) bool { return o == h })
		if h.model.copiesPerZone[h.target.Zone]--; h.model.copiesPerZone[h.target.Zone] == 0 {
			delete(h.model.copiesPerZone, h.target.Zone)
		}
		h.target.copies = slices.DeleteFunc(h.target.copies, func(o *residency) bool { return o == h })
		for _, a := range h.target.residentAdapters {
			if a.State == Resident && w.adapterSpecs[a.Name].Model == h.Name {
				w.planUnload(a, prio, "its model goes")
			}
		}
	}
	w.addAction(Unload, h, prio, reason)
}

// addAction appends an action for h to the plan.
func (w *workingState) addAction(op Op, h *residency, prio int, reason string) {
	base := ""
	if h.Kind == KindAdapter {
		base = w.adapterSpecs[h.Name].Model
	}
	w.actions = append(w.actions, Action{
		Op: op, Kind: h.Kind, Name: h.Name, Model: base, Target: h.target.ID, Bytes: h.Bytes, Priority: prio, Reason: reason,
	})
}
