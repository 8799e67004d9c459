package residency

import (
	"slices"
	"time"
)

// LoadWindow is the time over which the weight store's owner counts the loads that begin.
const LoadWindow = 5 * time.Second

const (
	// termFraction is the fraction of the tolerated loads that one controller starts in a window. The remainder is what its
	// successor may start before it can exclude that its predecessor's loads fall into the same window.
	termFraction = 0.9
	// Fractions of a controller's loads in a window up to which loads of each kind start. What is less urgent leaves the rest
	// to what may become urgent before the window has passed.
	urgentFraction = 0.85 // for demand, while a model has less than half of the copies that it needs
	demandFraction = 0.6  // for demand otherwise
	unusedFraction = 0.5  // of models that are not in demand
	// maxUnresolved is how long a load without a known outcome counts: orders are carried out up to 12 s late, and a target that
	// takes longer to answer has lost its entry in the store.
	maxUnresolved = 30 * time.Second
)

// loadWindow limits the loads from the weight store that begin within LoadWindow. An order without an answer may begin
// its load at any later time, so it counts until its outcome is known, and for LoadWindow after that. Any window then holds
// at most as many loads as the limit, also if orders are carried out late.
type loadWindow struct {
	tolerated   float64     // loads that may begin within LoadWindow
	loads       []storeLoad // in the order of the plans
	predecessor time.Time   // until when loads of an earlier controller may fall into the window
	theirLoads  float64     // how many of them may; infinite if that is not known
}

// storeLoad is a load that may have begun within the window.
type storeLoad struct {
	targetModel
	plannedAt  time.Time
	resolvedAt time.Time // latest time at which the load can have begun; zero while an order for it may still be carried out
}

// update drops the loads that began before the window.
func (w *loadWindow) update(now time.Time) {
	w.loads = slices.DeleteFunc(w.loads, func(l storeLoad) bool {
		if l.resolvedAt.IsZero() {
			return now.Sub(l.plannedAt) >= maxUnresolved
		}
		return now.Sub(l.resolvedAt) >= LoadWindow
	})
}

// mayStart reports whether a load may begin that may use the fraction of the window.
func (w *loadWindow) mayStart(fraction float64, now time.Time) bool {
	return float64(len(w.loads)+1) <= w.limit(fraction, now)
}

// limit returns the loads that may use the fraction of the window.
func (w *loadWindow) limit(fraction float64, now time.Time) float64 {
	own := termFraction * w.tolerated
	if now.Before(w.predecessor) {
		own = max(w.tolerated-own, own-w.theirLoads) // late orders of the predecessor may still be carried out
	}
	return max(1, fraction*own) // a small store would otherwise never load what is less urgent
}

// start counts a load whose order is about to be sent.
func (w *loadWindow) start(target, model string, now time.Time) {
	w.loads = append(w.loads, storeLoad{targetModel: targetModel{target, model}, plannedAt: now})
}

// resolve records that the order of a load was carried out before now, or never will be.
func (w *loadWindow) resolve(target, model string, now time.Time) {
	for i := range w.loads {
		if l := &w.loads[i]; l.targetModel == (targetModel{target, model}) && l.resolvedAt.IsZero() {
			l.resolvedAt = now
		}
	}
}
