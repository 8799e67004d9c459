package dispatch

import (
	"errors"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/placement"
)

// ErrNoTarget is returned if no target can serve the request at present.
var ErrNoTarget = errors.New("dispatch: no available target has loaded the model; retry after a short delay")

// PickRequest describes the request for which a target is picked.
type PickRequest struct {
	Model        string
	Adapter      string // empty if none
	Organisation string
	PrefixHash   uint64 // zero if none
	PromptTokens int64
	MaxOutput    int64
	Deadline     time.Time
	Avoid        []string // targets already tried; picked only if there is no other
}

// Target is an engine target.
type Target struct {
	ID   string
	Addr string // IP:port
	// OnFirstEvent is called at the first event of a stream. May be nil.
	OnFirstEvent func()
}

// AttemptOutcome states how an attempt at a target ended.
type AttemptOutcome uint8

// Attempt outcomes.
const (
	Answered    AttemptOutcome = iota
	Failed                     // lost connection, wrong or missing response, status 5xx
	Draining                   // the target reported that it is draining
	NotResident                // the target has not loaded the model
	Cancelled                  // by the caller or a deadline; says nothing about the target
)

// Result is what an attempt revealed about its target.
type Result struct {
	Outcome      AttemptOutcome
	Load         engine.Load
	HasLoad      bool
	FirstToken   time.Duration // since the pick; zero if unknown
	OutputTokens int64         // -1 if unknown
}

// Picker chooses targets. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns a target and a function that the caller must call with the result when the attempt ends,
	// or ErrNoTarget.
	Pick(req PickRequest) (Target, func(Result), error)
}

// LeastOutstanding picks the target with the fewest requests of this gateway in progress.
type LeastOutstanding struct {
	view    confview.View
	ejector ejector

	mu          sync.Mutex
	outstanding map[string]int // by target id; guarded by mu
}

// NewLeastOutstanding returns a picker that chooses among the targets of the published placement.
func NewLeastOutstanding(view confview.View) *LeastOutstanding {
	return &LeastOutstanding{view: view, outstanding: map[string]int{}}
}

// Pick implements Picker.
func (p *LeastOutstanding) Pick(req PickRequest) (Target, func(Result), error) {
	snap := p.view.Snapshot()
	leaving := map[string]bool{}
	for _, h := range snap.Hosts {
		if h.Leaving {
			leaving[h.ID] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *placement.TargetView
	bestCost := 0
	for i := range snap.Placement.Targets {
		t := &snap.Placement.Targets[i]
		if t.Leaving || leaving[t.ID] || !isLoaded(t, req.Model, req.Adapter) {
			continue
		}
		if cost := p.costLocked(t, req.Avoid); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil {
		return Target{}, nil, ErrNoTarget
	}
	p.outstanding[best.ID]++
	p.ejector.requestStarted(best.ID)
	target := Target{ID: best.ID, Addr: best.Addr}
	return target, func(res Result) { p.release(target.ID, res) }, nil
}

func isLoaded(t *placement.TargetView, model, adapter string) bool {
	return slices.Contains(t.Models, model) && (adapter == "" || slices.Contains(t.Adapters, adapter))
}

// costLocked returns the rank of a target, lowest first: ejected targets rank after all others and targets
// already tried after those. The caller holds p.mu.
func (p *LeastOutstanding) costLocked(t *placement.TargetView, avoid []string) int {
	const ejected, tried = 1 << 20, 1 << 21
	cost := p.outstanding[t.ID]
	if !p.ejector.usable(t.ID) {
		cost += ejected
	}
	if slices.Contains(avoid, t.ID) {
		cost += tried
	}
	return cost
}

func (p *LeastOutstanding) release(id string, res Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outstanding[id]--; p.outstanding[id] == 0 {
		delete(p.outstanding, id)
	}
	p.ejector.requestEnded(id, res.Outcome)
}
