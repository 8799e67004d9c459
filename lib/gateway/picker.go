package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/filter/dispatch"
	"cuminhook.org/cuminhook/lib/router"
)

// cachedPrefixFraction is the fraction of a prompt's tokens assumed to be cached at a target that was sent the same prefix
// before. It is an assumption because engines do not report how much of a prompt they found cached.
const cachedPrefixFraction = 0.5

// RouterPicker implements dispatch.Picker with a router.Router, whose topology it updates to the latest configuration
// snapshot.
type RouterPicker struct {
	view    confview.View
	router  *router.Router
	applied atomic.Pointer[confview.Snapshot]
	mu      sync.Mutex // held while the topology is updated
	// reportSuspect is called with the id of each target that failed a request; may be nil.
	reportSuspect func(target string)
}

// NewRouterPicker returns a picker for a gateway in the given availability zone. If suspect is not nil, it is called with
// the id of each target that failed a request.
func NewRouterPicker(view confview.View, zone string, suspect func(target string)) *RouterPicker {
	return &RouterPicker{
		view: view, router: router.New(router.Config{Zone: zone, Rand: rand.Uint64}), reportSuspect: suspect,
	}
}

// Pick implements dispatch.Picker.
func (p *RouterPicker) Pick(req dispatch.PickRequest) (dispatch.Target, func(dispatch.Result), error) {
	p.updateTopology()
	start := time.Now()
	q := router.Request{
		Model: req.Model, Adapter: req.Adapter, Prefix: req.PrefixHash, PromptTokens: req.PromptTokens,
		PrefixTokens: int64(float64(req.PromptTokens) * cachedPrefixFraction),
	}
	for _, id := range req.Avoid {
		if t := p.router.Target(id); t != nil {
			q.Exclude(t)
		}
	}
	t, ok := p.router.Pick(start, &q)
	if !ok && len(req.Avoid) > 0 {
		// No other target is available: allow those that were tried before.
		q = router.Request{Model: req.Model, Adapter: req.Adapter, PromptTokens: req.PromptTokens}
		t, ok = p.router.Pick(start, &q)
	}
	if !ok {
		return dispatch.Target{}, nil, dispatch.ErrNoTarget
	}
	target := dispatch.Target{ID: t.ID, Addr: t.Addr, OnFirstEvent: func() { t.FirstToken(&q) }}
	return target, func(res dispatch.Result) { p.recordResult(t, &q, start, res) }, nil
}

func (p *RouterPicker) recordResult(t *router.Target, q *router.Request, start time.Time, res dispatch.Result) {
	now := time.Now()
	t.FirstToken(q)
	if res.Outcome == dispatch.Failed && p.reportSuspect != nil {
		p.reportSuspect(t.ID)
	}
	result := router.Result{Failed: res.Outcome == dispatch.Failed || res.Outcome == dispatch.Draining}
	if res.Outcome == dispatch.Answered {
		result.Duration = now.Sub(start)
	}
	t.Done(now, result)
	if res.HasLoad {
		p.router.RecordLoad(t.ID, res.Load, now)
	}
}

// updateTopology passes the placement, the leaving hosts and the number of gateways of the latest snapshot to the router.
func (p *RouterPicker) updateTopology() {
	snap := p.view.Snapshot()
	if p.applied.Load() == snap {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	snap = p.view.Snapshot()
	old := p.applied.Load()
	if old == snap {
		return
	}
	if old == nil || old.Placement != snap.Placement || !slices.Equal(old.Hosts, snap.Hosts) {
		leavingHosts := map[string]bool{}
		for _, h := range snap.Hosts {
			if h.Leaving {
				leavingHosts[h.ID] = true
			}
		}
		p.router.SetPlacement(snap.Placement, func(id string) bool { return leavingHosts[id] })
	}
	gateways := 1
	for _, m := range p.view.Members() {
		if m.Role == "gateway" && !m.Leaving {
			gateways++
		}
	}
	p.router.SetGateways(gateways)
	p.applied.Store(snap)
}
