package residency

import (
	"math"
	"slices"
	"time"
)

const (
	// slowLoadFactor is the ratio to the configured load time from which on a load counts as slow.
	slowLoadFactor = 1.25
	// reportDelay is the usual time from the end of a load until a plan sees it: targets are polled, and plans have an interval.
	reportDelay = 250 * time.Millisecond
	// slowLoadSamples is how many successive loads have to be slow before fewer run at once. A single one may just be slow at
	// its target, or its order was late.
	slowLoadSamples = 3
	// firstCopyShare is the fraction of the store's pace that is kept for models without a copy.
	firstCopyShare = 0.25
)

// storePace learns how many loads the weight store runs at full speed. Beyond that number each load takes proportionally
// longer: no more loads are done in the same time, and first copies come no sooner than those added for demand.
type storePace struct {
	limit       float64 // loads at full speed; infinite as long as no load was slow
	running     map[targetModel]runningLoad
	loadSeconds float64 // sum of the times for which loads have run
	updatedAt   time.Time
	slow        []float64 // loads at full speed by the latest loads, which were all slow
}

// targetModel identifies a load.
type targetModel struct{ target, model string }

// runningLoad is a load from the weight store.
type runningLoad struct {
	beganAt     time.Time
	configured  time.Duration // at full speed
	loadSeconds float64       // of the storePace when the load began
	together    float64       // loads that ran when the load began, with itself
	resolved    bool          // its order was answered, or its outcome known
	late        bool          // it began at an unknown time
	raisesTo    float64       // highest limit that the load shows if it runs at full speed; zero unless it took the last place
}

func newStorePace(now time.Time) *storePace {
	return &storePace{limit: math.Inf(1), running: map[targetModel]runningLoad{}, updatedAt: now}
}

// update removes the loads that have ended, and learns from those that are done.
func (s *storePace) update(targets []*Target, now time.Time) {
	s.loadSeconds += float64(len(s.running)) * max(0, now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
	loading, ready := map[targetModel]bool{}, map[targetModel]bool{}
	for _, t := range targets {
		for _, h := range t.Models {
			if h.Ready {
				ready[targetModel{t.ID, h.Model}] = true
			} else if !h.Unloading {
				loading[targetModel{t.ID, h.Model}] = true
			}
		}
	}
	for _, key := range s.sortedRunning() {
		switch {
		case ready[key]:
			s.learn(s.running[key], now)
			delete(s.running, key)
		case !loading[key]: // the target has restarted, or its state is unknown
			delete(s.running, key)
		}
	}
}

// sortedRunning returns the running loads, the oldest first.
func (s *storePace) sortedRunning() []targetModel {
	var out []targetModel
	for key := range s.running {
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b targetModel) int {
		if c := s.running[a].beganAt.Compare(s.running[b].beganAt); c != 0 {
			return c
		}
		if a.target < b.target {
			return -1
		}
		return 1
	})
	return out
}

// learn applies the duration of a load that is done.
func (s *storePace) learn(l runningLoad, now time.Time) {
	if l.late {
		return
	}
	took := now.Sub(l.beganAt).Seconds()
	configured := l.configured.Seconds()
	if configured <= 0 || took <= 0 {
		return
	}
	if took <= slowLoadFactor*configured+reportDelay.Seconds() {
		s.slow = nil
		if l.raisesTo > s.limit {
			s.limit = min(s.limit+1, l.raisesTo) // more may run at full speed than the limit says; what has made loads late may be over
		}
		return
	}
	together := max(l.together, (s.loadSeconds-l.loadSeconds)/took) // whichever of them the store goes by
	s.slow = append(s.slow, together*configured/(took-reportDelay.Seconds()))
	if len(s.slow) > slowLoadSamples {
		s.slow = s.slow[1:]
	}
	if len(s.slow) == slowLoadSamples {
		sorted := slices.Sorted(slices.Values(s.slow))
		s.limit = max(1, sorted[slowLoadSamples/2])
	}
}

// mayStart reports whether another load runs at full speed. Copies that are not the first of their model leave places for
// those that are.
func (s *storePace) mayStart(first bool) bool {
	limit := s.limit
	if !first {
		limit = max(1, limit*(1-firstCopyShare))
	}
	return float64(len(s.running)+1) <= limit
}

// start counts a load.
func (s *storePace) start(target string, m *Model, first bool, now time.Time) {
	key := targetModel{target, m.Name}
	l := runningLoad{beganAt: now, configured: m.StoreLoadTime, loadSeconds: s.loadSeconds}
	s.running[key] = l
	l.together = float64(len(s.running))
	if !s.mayStart(first) {
		l.raisesTo = math.Inf(1)
		if !first {
			l.raisesTo = math.Ceil((l.together + 1) / (1 - firstCopyShare)) // one more of them may run then
		}
	}
	s.running[key] = l
}

// began records that a load began before now: just now if its order was accepted, else at an unknown time. Time in which an
// order is not answered is none that the store takes.
func (s *storePace) began(target, model string, accepted bool, now time.Time) {
	key := targetModel{target, model}
	l, ok := s.running[key]
	if !ok || l.resolved {
		return
	}
	l.resolved, l.late = true, !accepted
	l.beganAt, l.loadSeconds = now, s.loadSeconds+float64(len(s.running))*max(0, now.Sub(s.updatedAt).Seconds())
	s.running[key] = l
}
