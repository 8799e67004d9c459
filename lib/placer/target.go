package placer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/residency"
)

// target is what the holder of the lease knows of one incarnation of a target. It is guarded by the placer's mutex.
type target struct {
	info     *registry.Target
	suspect  bool      // does not answer the hosts
	known    bool      // a report has been read in this term
	syncing  bool      // a report is being read
	nextSync time.Time // not before
	accepted int64     // orders that the target has accepted
	busy     bool      // a model is being loaded or unloaded, or it is not known whether
	ordering bool      // an order for an adapter is under way
	held     map[string]*heldModel
	atHand   []string // models with a copy in host memory or on disk
}

type heldModel struct {
	ready    bool
	going    bool
	adapters map[string]bool
}

func newTarget() *target { return &target{held: map[string]*heldModel{}} }

// forget drops what was known, for a new term.
func (t *target) forget() {
	info := t.info
	*t = *newTarget()
	t.info = info
}

// hold notes a model that is being loaded.
func (t *target) hold(model string) {
	t.held[model] = &heldModel{adapters: map[string]bool{}}
}

// residents lists what may be routed to the target.
func (t *target) residents() []registry.Resident {
	out := []registry.Resident{}
	for name, h := range t.held {
		if !h.ready || h.going {
			continue
		}
		r := registry.Resident{Model: name}
		r.Adapters = slices.Sorted(maps.Keys(h.adapters))
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b registry.Resident) int { return strings.Compare(a.Model, b.Model) })
	return out
}

// plan returns the target as the planner sees it.
func (t *target) plan(e *catalog.Engine) *residency.Target {
	out := &residency.Target{ID: t.info.ID, Zone: t.info.Zone, MB: roomForModels(e), Busy: t.busy, AtHand: t.atHand}
	for name, h := range t.held {
		mb := float64(unknownMB)
		if m := e.Models[name]; m != nil {
			mb = m.MB
		}
		out.Held = append(out.Held, residency.Held{Model: name, MB: mb, Ready: h.ready, Going: h.going})
	}
	slices.SortFunc(out.Held, func(a, b residency.Held) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}

// roomForModels is the memory of a target without that of its adapters.
func roomForModels(e *catalog.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if len(m.Adapters) > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return e.MB - float64(e.AdapterSlots)*largest
}

// adapters is the number of adapters that take a slot.
func (t *target) adapters() int {
	n := 0
	for _, h := range t.held {
		n += len(h.adapters)
	}
	return n
}

// has reports whether the model is ready, and the adapter if one is named.
func (t *target) has(model, adapter string) bool {
	h := t.held[model]
	return h != nil && h.ready && !h.going && (adapter == "" || h.adapters[adapter])
}
