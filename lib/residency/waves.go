package residency

import (
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time over which the demand at the moment is told from its average. A shorter one would take the usual
	// variation of a few requests for a burst; a longer one delays copies.
	demandWindow = 800 * time.Millisecond
	// levelTimeConstant is the time constant with which the level of a model's demand follows its average. Copies that follow each
	// variation of the average are moved between models without end.
	levelTimeConstant = 5 * time.Second
	// requestMS is the engine time of a usual request in milliseconds, by which the variation of a constant demand is estimated.
	requestMS = 80.0
	// minDeviations is by how many standard deviations of a constant demand the demand has to differ from its level to have changed.
	minDeviations = 3
	// minLevelMS is the least demand for which that variation is estimated, in milliseconds of engine time a second.
	minLevelMS = 200.0
	// A model gets another copy when the needed ones are more than it has for addFraction of its level, and may lose one when it has
	// more than it needs for keepFraction of it.
	addFraction  = 0.95
	keepFraction = 1.1
	// waveStoreLoadCostMS is added to the load of a target from which a copy would read the weight store, in milliseconds of engine
	// time a second. It exceeds the load of most targets: a load from disk takes a fifth of the time, and is not counted.
	waveStoreLoadCostMS = 1000
	// saturatedFraction is the fraction of a target's time that the demand for a model takes at each copy from which on others
	// give up copies that they need, up to yieldFraction for each of those that they keep. In trials in virtual time (memory for
	// three quarters of the demand) 0.5 and 0.3 served 1.5 to 3 % less in time, and 0.4 and 0.4 took half as many loads again.
	saturatedFraction = 0.4
	yieldFraction     = 0.35
	// waveFreeFraction is the fraction of the targets that should have free memory for the largest model, while there are surplus
	// copies. In trials in virtual time with 64 targets half of a burst's copies came in 4.6 s with 8 such targets, 5.2 s with 3; with
	// 10 and demand that moves each 7 s, 0.2 to 0.3 % of the demand less was in time.
	waveFreeFraction = 0.1
	// defaultFullSpeedLoads is the least number of loads that a weight store is taken to run at full speed before it is known.
	defaultFullSpeedLoads = 3
)

// Waves are the figures by which the copies of a model are planned as one wave.
type Waves struct {
	// WindowLoads is how many loads from the weight store may begin in any window of 5 s.
	WindowLoads float64
	// RatePerSecond is the permitted rate of loads.
	RatePerSecond float64
	// DemandTimeConstant is the time constant of the exponential average that EngineLoad is.
	DemandTimeConstant time.Duration
}

// waveState is what a planner keeps to plan waves.
type waveState struct {
	Waves
	window loadWindow
	past   []demandSample     // the oldest first
	levels map[string]float64 // demand by model that is planned for
}

// demandSample is the average demand by model at a time.
type demandSample struct {
	at     time.Time
	byName map[string]float64
}

// SetWaves has copies planned in waves. Began must then be called for each load from the weight store.
func (p *Planner) SetWaves(w Waves, now time.Time) {
	if p.waves == nil {
		p.waves = &waveState{levels: map[string]float64{}}
		if p.succeeds {
			p.waves.window.predecessor, p.waves.window.theirLoads = now.Add(LoadWindow), math.Inf(1)
		}
	}
	p.waves.Waves = w
	p.waves.window.tolerated = w.WindowLoads
}

// SetPredecessorLoads sets how many loads an earlier planner can have started in the window before this one began. As long as it is
// not called they are taken to be as many as a planner may start.
func (p *Planner) SetPredecessorLoads(n int) {
	if p.waves != nil {
		p.waves.window.theirLoads = float64(n)
	}
}

// Began records that the order of a load has been carried out before now, or never will be. accepted states that it was answered,
// so that the load began just now.
func (p *Planner) Began(target, model string, accepted bool, now time.Time) {
	if p.waves == nil {
		return
	}
	p.waves.window.resolve(target, model, now)
	p.pace.began(target, model, accepted, now)
}

// prepare updates what is known of the store and returns the models with the demand to plan for.
func (w *waveState) prepare(models []Model, pace *storePace, now time.Time) []Model {
	w.window.update(now)
	if math.IsInf(pace.limit, 1) {
		pace.limit = w.assumedFullSpeedLoads(models)
	}
	return w.currentDemand(models, now)
}

// assumedFullSpeedLoads returns how many loads run at the same time at the permitted rate, while firstCopyShare of their places is kept
// free. Stores are sized for that.
func (w *waveState) assumedFullSpeedLoads(models []Model) float64 {
	seconds := 0.0
	for i := range models {
		seconds += models[i].StoreLoadTime.Seconds()
	}
	return max(defaultFullSpeedLoads, math.Ceil(w.RatePerSecond*seconds/float64(max(1, len(models)))/(1-firstCopyShare)))
}

// currentDemand returns the models with the level of their demand. The level follows the average slowly, unless the average, or
// the demand of the last demandWindow, has left it for certain.
func (w *waveState) currentDemand(models []Model, now time.Time) []Model {
	sample := demandSample{at: now, byName: make(map[string]float64, len(models))}
	var old, last *demandSample
	for i := range w.past {
		if last = &w.past[i]; now.Sub(last.at) >= demandWindow {
			old = last
		}
	}
	out := slices.Clone(models)
	for i := range out {
		m := &out[i]
		average := m.EngineLoad
		sample.byName[m.Name] = average
		level, known := w.levels[m.Name]
		if !known {
			level = average
		}
		if last != nil {
			level += (average - level) * (1 - math.Exp(-now.Sub(last.at).Seconds()/levelTimeConstant.Seconds()))
		}
		if hasLeft(average, level, 2*w.DemandTimeConstant) {
			level = average
		}
		if old != nil && w.DemandTimeConstant > 0 {
			passed := now.Sub(old.at)
			kept := math.Exp(-passed.Seconds() / w.DemandTimeConstant.Seconds())
			current := max(0, (average-kept*old.byName[m.Name])/(1-kept))
			if hasLeft(current, level, passed) {
				level = current
			}
		}
		w.levels[m.Name] = level
		if m.used() { // a model that is asked for keeps its copy, also in a moment without requests
			m.EngineLoad = max(level, minUsedLoadMS)
		}
	}
	w.past = append(w.past, sample)
	for len(w.past) > 1 && now.Sub(w.past[1].at) >= demandWindow {
		w.past = w.past[1:]
	}
	return out
}

// hasLeft reports whether a demand that was measured over the time differs from the level for certain.
func hasLeft(demand, level float64, over time.Duration) bool {
	deviation := math.Sqrt(max(level, minLevelMS) * requestMS / max(over.Seconds(), 1e-3))
	return math.Abs(demand-level) > minDeviations*deviation
}

// storeAllowed reports whether a load for the missing copy may begin now.
func (w *waveState) storeAllowed(c missingCopy, have int, pace *storePace, now time.Time) bool {
	fraction := demandFraction
	switch {
	case c.reason == ReasonLost:
		fraction = 1
	case c.reason == ReasonUnused:
		fraction = unusedFraction
	case 2*have < c.model.neededCopies():
		fraction = urgentFraction
	}
	return w.window.mayStart(fraction, now) && pace.mayStart(c.reason == ReasonLost)
}

// reserveMemory reserves free memory for a copy that waits for the weight store only, and reports whether there is any. Without it
// a copy would be unloaded at another target in vain.
func (s *planState) reserveMemory(m *Model) bool {
	t := s.findTarget(m, true)
	if t == nil {
		return false
	}
	s.busy[t.ID] = true
	s.promised[m.Name]++
	return true
}

// evictForBurst unloads a copy that its model needs, for a model whose copies are saturated. It takes from the model whose
// remaining copies have the least to do.
func (s *planState) evictForBurst(m *Model) (Action, bool) {
	perCopy := m.EngineLoad / float64(max(1, s.copies[m.Name]+s.promised[m.Name]))
	if perCopy < 1000*saturatedFraction {
		return Action{}, false
	}
	yields := func(v *Model) bool {
		return s.copies[v.Name] > 1 && s.ready[v.Name] > 1 && s.sharedLoad(v) <= 1000*yieldFraction
	}
	t, v, _ := s.cheapestVictim(m, yields, s.sharedLoad)
	if t == nil {
		return Action{}, false
	}
	s.claimed++
	return s.unload(t, v, ReasonFreeMemory), true
}

// copiesFor returns the number of copies that a demand needs, at least one.
func copiesFor(engineLoad float64) int {
	return max(1, int(math.Ceil(engineLoad/(1000*maxBusyFraction))))
}
