package dispatch

import (
	"sync"
	"time"
)

const (
	// firstEjection and maxEjection bound the time for which a failing target gets no work. It doubles
	// with each failure in a row.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// drainEjection keeps work from a target that said it is leaving until the host list says so too.
	drainEjection = 30 * time.Second
	// trialLimit readmits a target whose trial request is still under way without failure: a long stream
	// must not keep its target out.
	trialLimit = 5 * time.Second
)

// ejector keeps work from failing targets. After the ejection one trial request readmits a target. The
// zero value is ready for use.
type ejector struct {
	mu      sync.Mutex
	targets map[string]*ejection // guarded by mu
}

type ejection struct {
	failures int // in a row
	until    time.Time
	trial    time.Time // start of the trial request under way; zero if there is none
}

// usable reports whether id may get work now.
func (e *ejector) usable(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	if t == nil {
		return true
	}
	now := time.Now()
	return !now.Before(t.until) && (t.trial.IsZero() || now.Sub(t.trial) >= trialLimit)
}

// start notes that id got a request.
func (e *ejector) start(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.targets[id]; t != nil {
		t.trial = time.Now()
	}
}

// end notes how a request at id ended.
func (e *ejector) end(id string, v Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	switch v {
	case Answered, NotResident:
		delete(e.targets, id)
		return
	case Cancelled:
		if t != nil {
			t.trial = time.Time{}
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
	t.trial = time.Time{}
	length := min(firstEjection<<min(t.failures-1, 10), maxEjection)
	if v == Draining {
		length = drainEjection
	}
	t.until = time.Now().Add(length)
}
