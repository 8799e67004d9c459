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

// target is what the controller knows of one incarnation of a target. It is guarded by the placer's mutex.
type target struct {
	info                *registry.Target
	suspect             bool      // several hosts find the target unresponsive
	synced              bool      // a report was applied in this term, and no order since needs another one to be resolved
	syncing             bool      // a report is being read
	nextSync            time.Time // earliest time of the next read of a report
	accepted            int64     // number of orders that the target has accepted since its start
	busy                bool      // a model is being loaded or unloaded, or the outcome of such an order is unknown
	adapterOrderPending bool      // an order for an adapter is in progress
	models              map[string]*loadedModel
	seen                bool     // a report was applied in this term
	newAtFirst          int      // models of the first report that were not loaded a window of the weight store before the term
	cachedModels        []string // models whose weights are in host memory or on the target's disk
}

// loadedModel is a model in the target's memory, or one that is being loaded or unloaded.
type loadedModel struct {
	ready     bool
	readyBy   time.Time // when its load is expected to be done; zero if it is not being loaded
	unloading bool
	adapters  map[string]bool
	leaving   map[string]bool // adapters that are unloaded once no request uses them; nil if there are none
}

func newTarget() *target { return &target{models: map[string]*loadedModel{}} }

// reset discards everything but the registry entry, at the start of a term.
func (t *target) reset() {
	info := t.info
	*t = *newTarget()
	t.info = info
}

// isOrderable reports whether the target is of the service and may get orders.
func (t *target) isOrderable(s *catalog.Service) bool {
	return t.info.Service == s.Name && t.info.State == registry.Ready && !t.suspect
}

// countNew counts the models of the first report of the term that the target did not have before.
func (t *target) countNew(before registry.Residency) {
	if t.seen {
		return
	}
	t.seen, t.newAtFirst = true, len(t.models)
	if before.Started != t.info.Started {
		return
	}
	for _, m := range before.Models {
		if t.models[m.Model] != nil {
			t.newAtFirst--
		}
	}
}

// addLoading adds a model that is being loaded.
func (t *target) addLoading(model string, readyBy time.Time) {
	t.models[model] = &loadedModel{adapters: map[string]bool{}, readyBy: readyBy}
}

// residents returns the models and adapters that requests may be routed to at the target, sorted by name.
func (t *target) residents() []registry.ResidentModel {
	out := []registry.ResidentModel{}
	for name, h := range t.models {
		if !h.ready || h.unloading {
			continue
		}
		r := registry.ResidentModel{Model: name}
		r.Adapters = slices.Sorted(maps.Keys(h.adapters))
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b registry.ResidentModel) int { return strings.Compare(a.Model, b.Model) })
	return out
}

// plannerTarget returns the target in the form that the planner takes.
func (t *target) plannerTarget(e *catalog.Engine) *residency.Target {
	out := &residency.Target{
		ID: t.info.ID, Zone: t.info.Zone, MemoryMB: e.ModelMemoryMB(), Busy: t.busy,
		Cached: t.cachedModels,
	}
	for name, h := range t.models {
		mb := float64(unknownModelMB)
		if m := e.Models[name]; m != nil {
			mb = m.WeightsMB
		}
		out.Models = append(out.Models, residency.LoadedModel{Model: name, MB: mb, Ready: h.ready, Unloading: h.unloading})
	}
	slices.SortFunc(out.Models, func(a, b residency.LoadedModel) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}

// adapterCount returns the number of adapter slots in use.
func (t *target) adapterCount() int {
	n := 0
	for _, h := range t.models {
		n += len(h.adapters)
	}
	return n
}

// hasLeavingAdapter reports whether the target unloads an adapter once no request uses it.
func (t *target) hasLeavingAdapter() bool {
	for _, h := range t.models {
		if len(h.leaving) > 0 {
			return true
		}
	}
	return false
}

// serves reports whether the target has the model ready and, unless adapter is empty, the adapter loaded.
func (t *target) serves(model, adapter string) bool {
	h := t.models[model]
	return h != nil && h.ready && !h.unloading && (adapter == "" || h.adapters[adapter])
}
