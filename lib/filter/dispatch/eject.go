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
	trial    bool // a trial request is under way
}

// usable reports whether id may get work now.
func (e *ejector) usable(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	return t == nil || !t.trial && !time.Now().Before(t.until)
}

// start notes that id got a request.
func (e *ejector) start(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.targets[id]; t != nil {
		t.trial = true
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
			t.trial = false
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
	t.trial = false
	length := min(firstEjection<<min(t.failures-1, 10), maxEjection)
	if v == Draining {
		length = drainEjection
	}
	t.until = time.Now().Add(length)
}
