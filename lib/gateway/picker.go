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

// prefixShare is the part of a prompt that is taken as cached where its prefix was sent before. Engines do not
// report how much of a prompt they found cached.
const prefixShare = 0.5

// RouterPicker chooses targets with lib/router and keeps its topology at the newest snapshot.
type RouterPicker struct {
	view   confview.View
	router *router.Router
	seen   atomic.Pointer[confview.Snapshot]
	mu     sync.Mutex // held while a new topology is made
	// suspect learns of targets that failed a request; may be nil.
	suspect func(target string)
}

// NewRouterPicker returns a picker for the gateway in the zone. Suspect, if not nil, is called with each target that
// failed a request.
func NewRouterPicker(view confview.View, zone string, suspect func(target string)) *RouterPicker {
	return &RouterPicker{
		view: view, router: router.New(router.Config{Zone: zone, Rand: rand.Uint64}), suspect: suspect,
	}
}

// Pick implements dispatch.Picker.
func (p *RouterPicker) Pick(req dispatch.PickRequest) (dispatch.Target, func(dispatch.Result), error) {
	p.refresh()
	began := time.Now()
	q := router.Request{
		Model: req.Model, Adapter: req.Adapter, Prefix: req.PrefixHash, PromptTokens: req.PromptTokens,
		PrefixTokens: int64(float64(req.PromptTokens) * prefixShare),
	}
	for _, id := range req.Avoid {
		if t := p.router.Target(id); t != nil {
			q.Exclude(t)
		}
	}
	t, ok := p.router.Pick(began, &q)
	if !ok && len(req.Avoid) > 0 {
		// A target tried before is better than none.
		q = router.Request{Model: req.Model, Adapter: req.Adapter, PromptTokens: req.PromptTokens}
		t, ok = p.router.Pick(began, &q)
	}
	if !ok {
		return dispatch.Target{}, nil, dispatch.ErrNoTarget
	}
	target := dispatch.Target{ID: t.ID, Addr: t.Addr, OnFirstEvent: func() { t.FirstToken(&q) }}
	return target, func(res dispatch.Result) { p.done(t, &q, began, res) }, nil
}

func (p *RouterPicker) done(t *router.Target, q *router.Request, began time.Time, res dispatch.Result) {
	now := time.Now()
	t.FirstToken(q)
	if res.Outcome == dispatch.Failed && p.suspect != nil {
		p.suspect(t.ID)
	}
	out := router.Result{Failed: res.Outcome == dispatch.Failed || res.Outcome == dispatch.Draining}
	if res.Outcome == dispatch.Answered {
		out.Duration = now.Sub(began)
	}
	t.Done(now, out)
	if res.HasLoad {
		p.router.RecordLoad(t.ID, res.Load, now)
	}
}

// refresh gives the router the placement and leaving hosts of the newest snapshot.
func (p *RouterPicker) refresh() {
	snap := p.view.Snapshot()
	if p.seen.Load() == snap {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	snap = p.view.Snapshot()
	old := p.seen.Load()
	if old == snap {
		return
	}
	if old == nil || old.Placement != snap.Placement || !slices.Equal(old.Hosts, snap.Hosts) {
		leaving := map[string]bool{}
		for _, h := range snap.Hosts {
			if h.Leaving {
				leaving[h.ID] = true
			}
		}
		p.router.SetPlacement(snap.Placement, func(id string) bool { return leaving[id] })
	}
	gateways := 1
	for _, m := range p.view.Members() {
		if m.Role == "gateway" && !m.Leaving {
			gateways++
		}
	}
	p.router.SetGateways(gateways)
	p.seen.Store(snap)
}
