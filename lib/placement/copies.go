package placement

import (
	"cmp"
	"math"
	"slices"
)

// removeUnconfigured plans the unload of models and adapters that are no longer configured.
func (w *workingState) removeUnconfigured() {
	for _, t := range w.targets {
		if !t.usable() {
			continue
		}
		for _, e := range t.Residencies {
			if e.State != Resident || w.configured(e) {
				continue
			}
			w.planUnload(t.residencies[keyOf(e.Kind, e.Name)], PriorityUnconfigured, "not configured")
		}
	}
}

// configured reports whether e is a configured model, or a configured adapter of a configured model.
func (w *workingState) configured(e Residency) bool {
	if e.Kind == KindModel {
		return w.modelsByName[e.Name] != nil
	}
	a, ok := w.adapterSpecs[e.Name]
	return ok && w.modelsByName[a.Model] != nil
}

// restoreMinCopies brings every model to MinCopies: models without any copy first, then those with the highest load.
func (w *workingState) restoreMinCopies() {
	belowMin := slices.DeleteFunc(slices.Clone(w.models), func(m *plannedModel) bool {
		return len(m.copies)+m.loadingCopies >= m.MinCopies
	})
	slices.SortStableFunc(belowMin, func(a, b *plannedModel) int {
		return cmp.Or(
			cmp.Compare(w.restorePriority(a), w.restorePriority(b)),
			-cmp.Compare(a.sustainedLoad, b.sustainedLoad),
			-cmp.Compare(a.Bytes, b.Bytes),
		)
	})
	for _, m := range belowMin {
		prio, reason := w.restorePriority(m), "no copy left"
		if prio != PriorityUnreachable {
			reason = "below its least number of copies"
		}
		for range m.MinCopies - len(m.copies) - m.loadingCopies {
			if !w.addCopy(m, prio, reason, true) {
				break
			}
		}
	}
}

// restorePriority returns the priority of another copy for a model below MinCopies.
func (w *workingState) restorePriority(m *plannedModel) int {
	if m.reachableCopies+m.loadingCopies == 0 {
		return PriorityUnreachable
	}
	return PriorityMinCopies
}

// scaleUp plans more copies for models whose targets are all above Config.ScaleUpUtilisation, the busiest first.
func (w *workingState) scaleUp() {
	var busy []*plannedModel
	for _, m := range w.models {
		if len(m.copies) > 0 && w.minUtilisation(m) > w.cfg.ScaleUpUtilisation {
			busy = append(busy, m)
		}
	}
	slices.SortStableFunc(busy, func(a, b *plannedModel) int { return -cmp.Compare(w.minUtilisation(a), w.minUtilisation(b)) })
	for _, m := range busy {
		// All missing copies are planned at once, so that in a burst of ten times the demand their loads run in
		// parallel instead of one after another.
		want := int(math.Ceil(m.engineLoad/w.cfg.ScaleUpUtilisation)) - len(m.copies) - m.loadingCopies
		if want < 1 && m.loadingCopies == 0 && w.hasNotableLoad(m) {
			want = 1
		}
		for range want {
			if !w.addCopy(m, PriorityDemand, "demand", false) {
				break
			}
		}
	}
}

// minUtilisation returns the utilisation of the least used target with a copy of m, or infinity without any copy.
func (w *workingState) minUtilisation(m *plannedModel) float64 {
	lowest := math.Inf(1)
	for _, h := range m.copies {
		lowest = math.Min(lowest, h.target.utilisation)
	}
	return lowest
}

// hasNotableLoad reports whether m causes a notable part of its targets' load, so that another copy helps.
func (w *workingState) hasNotableLoad(m *plannedModel) bool {
	return m.engineLoad/float64(len(m.copies)) > 0.1
}

// addSecondZones plans copies in a second zone for models whose copies are all in one zone, those with the highest load
// first, as long as fewer than Config.SecondZoneMaxLoads model loads are in flight. It uses free memory only. Such
// copies are the first that freeMemory unloads.
func (w *workingState) addSecondZones() {
	if w.modelLoadsInFlight >= w.cfg.SecondZoneMaxLoads {
		return
	}
	var single []*plannedModel
	for _, m := range w.models {
		if len(m.copies)+m.loadingCopies > 0 && len(m.copiesPerZone) == 1 {
			single = append(single, m)
		}
	}
	slices.SortStableFunc(single, func(a, b *plannedModel) int { return -cmp.Compare(a.sustainedLoad, b.sustainedLoad) })
	for _, m := range single {
		if w.modelLoadsInFlight >= w.cfg.SecondZoneMaxLoads || w.loadBudget == 0 {
			return
		}
		if t := w.bestTarget(m, func(t *plannedTarget) bool {
			return m.copiesPerZone[t.Zone] == 0 && t.freeBytes >= m.Bytes+m.largestAdapterBytes
		}); t != nil {
			w.planLoad(m, t, PrioritySecondZone, "second zone")
		}
	}
}

// addCopy plans one more copy of m, or the step that has to come before its load, and reports whether it did either.
// Forced copies may go to any usable target and may replace redundant copies that carry load.
func (w *workingState) addCopy(m *plannedModel, prio int, reason string, forced bool) bool {
	if w.copyBudget == 0 || !w.tryAddCopy(m, prio, reason, forced) {
		return false
	}
	w.copyBudget--
	return true
}

// tryAddCopy is addCopy without the limit of copyBudget. In this order it keeps a copy that is about to be unloaded,
// loads into free memory, waits for memory that unloads will free, plans such unloads, or, for a model without any copy,
// moves another model away.
func (w *workingState) tryAddCopy(m *plannedModel, prio int, reason string, forced bool) bool {
	eligible := func(t *plannedTarget) bool { return w.mayPlace(m, t, forced) }
	if t := w.bestTarget(m, func(t *plannedTarget) bool { return eligible(t) && w.isRetiring(m, t) }); t != nil {
		w.addAction(Load, m.byTarget[t], prio, reason)
		w.keepRetiring(m, t)
		return true
	}
	if t := w.bestTarget(m, func(t *plannedTarget) bool { return eligible(t) && t.freeBytes >= m.Bytes }); t != nil {
		if w.loadBudget == 0 {
			t.freeBytes -= m.Bytes // reserved until the weight store's limits allow the load
			return true
		}
		w.planLoad(m, t, prio, reason)
		return true
	}
	if t := w.bestTarget(m, func(t *plannedTarget) bool {
		return eligible(t) && t.freeBytes+t.unloadingBytes >= m.Bytes
	}); t != nil {
		t.reserve(m.Bytes)
		return true
	}
	if w.freeMemory(m, prio, eligible, forced) {
		return true
	}
	return prio == PriorityUnreachable && w.relocateOther(m)
}

// isRetiring reports whether t has a copy of m that is to be unloaded soon and can be kept instead.
func (w *workingState) isRetiring(m *plannedModel, t *plannedTarget) bool {
	h := m.byTarget[t]
	return h != nil && h.State == Retiring
}

// keepRetiring counts the retiring copy of m on t as resident again.
func (w *workingState) keepRetiring(m *plannedModel, t *plannedTarget) {
	h := m.byTarget[t]
	h.State = Resident
	t.unloadingBytes -= h.Bytes
	m.copies = append(m.copies, h)
	m.copiesPerZone[t.Zone]++
}

// mayPlace reports whether a copy of m may be placed on t, regardless of free memory. Unless forced, the utilisation of t
// must be lower than that of all targets of m by at least Config.MinUtilisationGain.
func (w *workingState) mayPlace(m *plannedModel, t *plannedTarget, forced bool) bool {
	if !t.usable() || m.Bytes > t.Capacity {
		return false
	}
	if h := m.byTarget[t]; h != nil && h.State != Retiring {
		return false
	}
	return forced || t.utilisation+w.cfg.MinUtilisationGain <= w.minUtilisation(m)
}

// bestTarget returns the best usable target that passes ok and has no copy of m other than a retiring one, or nil. It
// prefers zones with fewer copies of m, then targets with lower utilisation, then those with less free memory, which
// keeps large gaps for large models.
func (w *workingState) bestTarget(m *plannedModel, ok func(*plannedTarget) bool) *plannedTarget {
	var best *plannedTarget
	var bestScore float64
	for _, t := range w.targets {
		if !t.usable() || !ok(t) {
			continue
		}
		if h := m.byTarget[t]; h != nil && h.State != Retiring {
			continue
		}
		score := 2*float64(m.copiesPerZone[t.Zone]) + t.utilisation + 0.2*float64(t.freeBytes)/float64(max(1, t.Capacity))
		if t.freeBytes < m.Bytes+m.largestAdapterBytes {
			score++ // not enough free memory for the model and its largest adapter
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}
