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

// ErrNoTarget means that no target can serve the request at present.
var ErrNoTarget = errors.New("dispatch: no target holds the model; retry after a short delay")

// PickRequest is what the choice of a target depends on.
type PickRequest struct {
	Model        string
	Adapter      string // empty if none
	Organisation string
	PrefixHash   uint64 // zero if none
	PromptTokens int64
	MaxOutput    int64
	Deadline     time.Time
	Avoid        []string // targets already tried, to be chosen only if there is no other
}

// Target is an engine target.
type Target struct {
	ID   string
	Addr string // IP:port
	// Started is called at the first event of a stream; nil if the picker need not know.
	Started func()
}

// Verdict tells how an attempt at a target ended.
type Verdict uint8

// Verdicts.
const (
	Answered    Verdict = iota
	Failed              // lost connection, wrong or missing answer, status 5xx
	Draining            // the target said that it is leaving
	NotResident         // the target does not hold the model
	Cancelled           // by the caller or a deadline; says nothing about the target
)

// Result is what an attempt showed of its target.
type Result struct {
	Verdict      Verdict
	Load         engine.Load
	HasLoad      bool
	FirstToken   time.Duration // since the pick; zero if unknown
	OutputTokens int64         // -1 if unknown
}

// Picker chooses targets. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns a target and the function that ends the attempt, or ErrNoTarget.
	Pick(req PickRequest) (Target, func(Result), error)
}

// LeastOutstanding picks the target with the least requests of this gateway under way.
type LeastOutstanding struct {
	view  confview.View
	eject ejector

	mu          sync.Mutex
	outstanding map[string]int // by target id; guarded by mu
}

// NewLeastOutstanding returns a picker over the published placement.
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
		if t.Leaving || leaving[t.ID] || !holds(t, req.Model, req.Adapter) {
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
	p.eject.start(best.ID)
	target := Target{ID: best.ID, Addr: best.Addr}
	return target, func(res Result) { p.release(target.ID, res) }, nil
}

func holds(t *placement.TargetView, model, adapter string) bool {
	return slices.Contains(t.Models, model) && (adapter == "" || slices.Contains(t.Adapters, adapter))
}

// costLocked ranks ejected targets behind all others and tried ones behind those.
func (p *LeastOutstanding) costLocked(t *placement.TargetView, avoid []string) int {
	const ejected, tried = 1 << 20, 1 << 21
	cost := p.outstanding[t.ID]
	if !p.eject.usable(t.ID) {
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
	p.eject.end(id, res.Verdict)
}
