package admission

import (
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/placement"
)

const (
	// limitPollInterval is the age at which the limits are recomputed.
	limitPollInterval = 500 * time.Millisecond
	// memberTimeout is the time since the last state after which a gateway no longer counts as one that
	// uses the targets.
	memberTimeout = 5 * time.Second
	// oversubscription is the ratio of requests to batch slots. It keeps a target's batch full while
	// responses and further requests are in transit.
	oversubscription = 1.25
	// minRequestsPerTarget ensures that each gateway can use every target.
	minRequestsPerTarget = 2
)

// limits caches the limit of outstanding requests per model.
type limits struct {
	mu         sync.Mutex
	view       *placement.View
	computedAt time.Time
	byModel    map[string]int
}

// limitFromView returns the limit of a model: the batch slots of its targets times oversubscription, divided
// among the gateways.
func (f *Filter) limitFromView(model string) int {
	l := &f.limits
	view := f.cfg.View.Snapshot().Placement
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view != view || now.Sub(l.computedAt) >= limitPollInterval {
		l.view, l.computedAt, l.byModel = view, now, modelLimits(view, f.countGateways())
	}
	// If no target has loaded the model, one request at a time passes to dispatch, which waits for a target
	// or refuses the request.
	return max(1, l.byModel[model])
}

// countGateways returns the number of reachable gateways that are not leaving. This host always counts.
func (f *Filter) countGateways() int {
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

// modelLimits returns the limit of each model for one of several gateways. Leaving targets do not count.
func modelLimits(view *placement.View, gateways int) map[string]int {
	out := map[string]int{}
	for i := range view.Targets {
		t := &view.Targets[i]
		if t.Leaving {
			continue
		}
		perTarget := max(minRequestsPerTarget, int(float64(t.Slots)*oversubscription)/gateways)
		for _, m := range t.Models {
			out[m] += perTarget
		}
	}
	return out
}
