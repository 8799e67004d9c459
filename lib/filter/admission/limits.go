package admission

import (
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/placement"
)

const (
	// limitPoll is how often the limits are computed again.
	limitPoll = 500 * time.Millisecond
	// memberTimeout is the silence after which a gateway no longer counts as sharing the targets.
	memberTimeout = 5 * time.Second
	// oversubscribe keeps a target's batch full while responses travel.
	oversubscribe = 1.25
	// minPerTarget lets each gateway reach every target.
	minPerTarget = 2
)

// limits caches the outstanding limit per model.
type limits struct {
	mu      sync.Mutex
	view    *placement.View
	at      time.Time
	byModel map[string]int
}

// limitFromView derives a model's limit: the batch slots of its targets with some oversubscription,
// divided among the gateways.
func (f *Filter) limitFromView(model string) int {
	l := &f.limits
	view := f.cfg.View.Snapshot().Placement
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view != view || now.Sub(l.at) >= limitPoll {
		l.view, l.at, l.byModel = view, now, modelLimits(view, f.gateways())
	}
	// A model that no target holds passes one request at a time to dispatch, which gives the reason.
	return max(1, l.byModel[model])
}

func (f *Filter) gateways() int {
	n, self := 0, false
	for _, m := range f.cfg.View.Members() {
		if m.Role == "gateway" && !m.Leaving && m.AgeMS < memberTimeout.Milliseconds() {
			n++
			self = self || m.ID == f.cfg.View.Self()
		}
	}
	if !self {
		n++
	}
	return n
}

func modelLimits(view *placement.View, gateways int) map[string]int {
	out := map[string]int{}
	for i := range view.Targets {
		t := &view.Targets[i]
		if t.Leaving {
			continue
		}
		per := max(minPerTarget, int(float64(t.Slots)*oversubscribe)/gateways)
		for _, m := range t.Models {
			out[m] += per
		}
	}
	return out
}
