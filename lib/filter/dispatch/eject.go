package dispatch

import (
	"sync"
	"time"
)

const (
	// minEjection and maxEjection bound the time for which a failing target gets no requests. The time
	// doubles with each consecutive failure.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// drainEjection is the time for which a target that reported that it is draining gets no requests. It
	// bridges the time until the host list shows the target as leaving.
	drainEjection = 30 * time.Second
	// trialTimeout is the time after which a target gets a further trial request although the previous one has
	// not finished, so that a long stream does not keep its target ejected.
	trialTimeout = 5 * time.Second
)

// ejector keeps requests away from failing targets. After the ejection a target gets one trial request, whose
// success readmits it. The zero value is ready for use.
type ejector struct {
	mu      sync.Mutex
	targets map[string]*ejection // guarded by mu
}

// ejection is the state of one failing target.
type ejection struct {
	failures     int // consecutive
	ejectedUntil time.Time
	trialStart   time.Time // zero if no trial request is in progress
}

// usable reports whether the target id may get a request now.
func (e *ejector) usable(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	if t == nil {
		return true
	}
	now := time.Now()
	return !now.Before(t.ejectedUntil) && (t.trialStart.IsZero() || now.Sub(t.trialStart) >= trialTimeout)
}

// requestStarted records that the target id got a request.
func (e *ejector) requestStarted(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.targets[id]; t != nil {
		t.trialStart = time.Now()
	}
}

// requestEnded records how a request at the target id ended.
func (e *ejector) requestEnded(id string, outcome AttemptOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	switch outcome {
	case Answered, NotResident:
		delete(e.targets, id)
		return
	case Cancelled:
		if t != nil {
			t.trialStart = time.Time{}
		}
		return
	}
	if t == nil {
		if e.targets == nil {
			e.targets = map[string]*ejection{}
		}
		t = &ejection{}
		e.targets[id] = t
	}
	t.failures++
	t.trialStart = time.Time{}
	duration := min(minEjection<<min(t.failures-1, 10), maxEjection)
	if outcome == Draining {
		duration = drainEjection
	}
	t.ejectedUntil = time.Now().Add(duration)
}
