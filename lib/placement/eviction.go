package placement

import (
	"math"
	"slices"
)

// freeMemory plans unloads of adapters and redundant copies that free enough memory for m, on the eligible target where
// they cost least, and reserves the memory. It returns false if no target has enough to unload.
func (w *workingState) freeMemory(m *plannedModel, prio int, eligible func(*plannedTarget) bool, forced bool) bool {
	var best *plannedTarget
	var bestEvictions []*residency
	bestCost := math.Inf(1)
	for _, t := range w.targets {
		if !eligible(t) {
			continue
		}
		evictions, cost := w.chooseEvictions(t, m.Bytes-t.freeBytes-t.unloadingBytes, w.utilisationLimit(m), forced)
		cost += 0.5 * float64(m.copiesPerZone[t.Zone])
		if evictions != nil && cost < bestCost {
			best, bestEvictions, bestCost = t, evictions, cost
		}
	}
	if best == nil {
		return false
	}
	for _, h := range bestEvictions {
		w.planUnload(h, prio, "makes room for "+m.Name)
	}
	best.reserve(m.Bytes)
	return true
}

// chooseEvictions returns residencies of t whose unloads free the given bytes, and their cost, or nil if there are not
// enough. It takes adapters first, only idle ones unless forced, and then the copies that cost least.
func (w *workingState) chooseEvictions(
	t *plannedTarget, bytes int64, maxUtilisation float64, forced bool,
) ([]*residency, float64) {
	var evictions []*residency
	cost := 0.0
	for _, h := range t.residentAdapters {
		if bytes <= 0 {
			break
		}
		if h.State == Resident && (forced || w.demand[h.Name].Long.Requests < w.cfg.IdleAdapterRate) {
			evictions, bytes, cost = append(evictions, h), bytes-h.Bytes, cost+0.05+w.demand[h.Name].Short.Requests
		}
	}
	for bytes > 0 {
		var cheapest *residency
		cheapestCost := math.Inf(1)
		for _, h := range t.copies {
			if slices.Contains(evictions, h) {
				continue
			}
			if c, ok := w.removalCost(h, maxUtilisation, forced); ok && c < cheapestCost {
				cheapest, cheapestCost = h, c
			}
		}
		if cheapest == nil {
			return nil, 0
		}
		evictions, bytes, cost = append(evictions, cheapest), bytes-cheapest.Bytes, cost+cheapestCost
	}
	return evictions, cost
}

// utilisationLimit returns the utilisation up to which unloads that free memory for m may raise other targets. Under
// overload every target may be above Config.ScaleUpUtilisation; another copy of m then still helps as long as the
// targets that take over load stay well below those of m.
func (w *workingState) utilisationLimit(m *plannedModel) float64 {
	if len(m.copies) == 0 {
		return w.cfg.ScaleUpUtilisation
	}
	return math.Max(w.cfg.ScaleUpUtilisation, w.minUtilisation(m)-w.cfg.MinUtilisationGain)
}

// removalCost returns the cost of removing copy h, which is the load that each remaining copy then carries, and false if
// h must stay. No removal goes below MinCopies. Unless forced, h must have been resident for Config.MinResidence, and the
// remaining copies must be able to take over its load.
func (w *workingState) removalCost(h *residency, maxUtilisation float64, forced bool) (float64, bool) {
	m := h.model
	if h.State != Resident || len(m.copies) < 2 || len(m.copies) <= m.MinCopies {
		return 0, false
	}
	remaining := float64(len(m.copies) - 1)
	cost := m.sustainedLoad / remaining
	if len(m.copiesPerZone) == 2 && m.copiesPerZone[h.target.Zone] == 1 {
		// Without h all copies would be in one zone, and the loss of that zone would make the model unreachable
		// until it is loaded again, which takes seconds.
		if !forced {
			return 0, false
		}
		cost += 0.5
	}
	if forced {
		return cost, true
	}
	if w.now.Sub(h.Since) < w.cfg.MinResidence || m.sustainedLoad/remaining > w.cfg.ScaleDownUtilisation {
		return 0, false
	}
	for _, o := range m.copies {
		if o != h && o.target.utilisation+m.sustainedLoad/remaining/(remaining+1) > maxUtilisation {
			return 0, false
		}
	}
	return cost, true
}

// relocateOther plans a second copy of another model on another target, if the unload of its first copy then frees
// enough memory for m. A later plan unloads the first copy as redundant.
func (w *workingState) relocateOther(m *plannedModel) bool {
	if w.loadBudget == 0 {
		return false
	}
	for _, t := range w.targets {
		if !w.mayPlace(m, t, true) {
			continue
		}
		for _, h := range t.copies {
			if h.State != Resident || h.model.loadingCopies > 0 || t.freeBytes+t.unloadingBytes+h.Bytes < m.Bytes {
				continue
			}
			if to := w.bestTarget(h.model, func(o *plannedTarget) bool { return o != t && o.freeBytes >= h.Bytes }); to != nil {
				w.planLoad(h.model, to, PriorityUnreachable, "moves to make room for "+m.Name)
				return true
			}
		}
	}
	return false
}
