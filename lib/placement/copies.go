package placement

import (
	"cmp"
	"math"
	"slices"
)

// tidy removes what is no longer configured.
func (w *world) tidy() {
	for _, t := range w.targets {
		if !t.usable() {
			continue
		}
		for _, e := range t.Held {
			if e.State != Resident || w.configured(e) {
				continue
			}
			w.unload(t.holds[key(e.Kind, e.Name)], PriorityTidy, "not configured")
		}
	}
}

func (w *world) configured(e Held) bool {
	if e.Kind == KindModel {
		return w.byName[e.Name] != nil
	}
	a, ok := w.adapter[e.Name]
	return ok && w.byName[a.Model] != nil
}

// restore brings every model to its least number of copies, models without any copy first and among
// them the ones with most demand.
func (w *world) restore() {
	short := slices.DeleteFunc(slices.Clone(w.models), func(m *model) bool {
		return len(m.copies)+m.loading >= m.MinCopies
	})
	slices.SortStableFunc(short, func(a, b *model) int {
		return cmp.Or(cmp.Compare(w.urgency(a), w.urgency(b)), -cmp.Compare(a.keep, b.keep), -cmp.Compare(a.Bytes, b.Bytes))
	})
	for _, m := range short {
		prio, reason := w.urgency(m), "no copy left"
		if prio != PriorityLost {
			reason = "below its least number of copies"
		}
		for range m.MinCopies - len(m.copies) - m.loading {
			if !w.add(m, prio, reason, true) {
				break
			}
		}
	}
}

func (w *world) urgency(m *model) int {
	if m.reach+m.loading == 0 {
		return PriorityLost
	}
	return PriorityLeaving
}

// scale gives models whose targets are all busy another copy, the busiest first.
func (w *world) scale() {
	var busy []*model
	for _, m := range w.models {
		if len(m.copies) > 0 && w.pressure(m) > w.cfg.High {
			busy = append(busy, m)
		}
	}
	slices.SortStableFunc(busy, func(a, b *model) int { return -cmp.Compare(w.pressure(a), w.pressure(b)) })
	for _, m := range busy {
		// Several copies are ordered at once: a tenfold burst must not wait for one load after another.
		want := int(math.Ceil(m.work/w.cfg.High)) - len(m.copies) - m.loading
		if want < 1 && m.loading == 0 && w.shared(m) {
			want = 1
		}
		for range want {
			if !w.add(m, PriorityDemand, "demand", false) {
				break
			}
		}
	}
}

// pressure is the utilisation of the least used target that holds m.
func (w *world) pressure(m *model) float64 {
	least := math.Inf(1)
	for _, h := range m.copies {
		least = math.Min(least, h.t.load)
	}
	return least
}

// shared reports whether m is a notable part of the work on its targets, so that another copy helps.
func (w *world) shared(m *model) bool {
	return m.work/float64(len(m.copies)) > 0.1
}

// spread gives models with demand a second zone, into free memory only. Such copies are the first to
// make room for others.
func (w *world) spread() {
	if w.inFlight >= w.cfg.SpareInFlight {
		return
	}
	var single []*model
	for _, m := range w.models {
		if len(m.copies)+m.loading > 0 && len(m.zones) == 1 {
			single = append(single, m)
		}
	}
	slices.SortStableFunc(single, func(a, b *model) int { return -cmp.Compare(a.keep, b.keep) })
	for _, m := range single {
		if w.inFlight >= w.cfg.SpareInFlight || w.budget == 0 {
			return
		}
		if t := w.choose(m, func(t *target) bool { return m.zones[t.Zone] == 0 && t.free >= m.Bytes+m.adapters }); t != nil {
			w.load(m, t, PrioritySpread, "second zone")
		}
	}
}

// add plans one more copy of m, or the unloads that make room for it. It reports whether it did either.
// Forced copies may take room from redundant copies that carry load.
func (w *world) add(m *model, prio int, reason string, forced bool) bool {
	if w.ahead == 0 || !w.tryAdd(m, prio, reason, forced) {
		return false
	}
	w.ahead--
	return true
}

func (w *world) tryAdd(m *model, prio int, reason string, forced bool) bool {
	fits := func(t *target) bool { return w.suits(m, t, forced) }
	if t := w.choose(m, func(t *target) bool { return fits(t) && w.retained(m, t) }); t != nil {
		w.action(Load, m.on[t], prio, reason)
		w.claimRetained(m, t)
		return true
	}
	if t := w.choose(m, func(t *target) bool { return fits(t) && t.free >= m.Bytes }); t != nil {
		if w.budget == 0 {
			t.free -= m.Bytes // keeps the room for this load once the store allows it
			return true
		}
		w.load(m, t, prio, reason)
		return true
	}
	if t := w.choose(m, func(t *target) bool { return fits(t) && t.free+t.soon >= m.Bytes }); t != nil {
		t.claim(m.Bytes)
		return true
	}
	if w.makeRoom(m, prio, fits, forced) {
		return true
	}
	return prio == PriorityLost && w.moveAside(m)
}

// retained reports whether a copy of m on t is about to be unloaded and can be kept instead.
func (w *world) retained(m *model, t *target) bool {
	h := m.on[t]
	return h != nil && h.State == Retiring
}

func (w *world) claimRetained(m *model, t *target) {
	h := m.on[t]
	h.State = Resident
	t.soon -= h.Bytes
	m.copies = append(m.copies, h)
	m.zones[t.Zone]++
}

// suits reports whether a copy of m may be placed on t, room aside.
func (w *world) suits(m *model, t *target, forced bool) bool {
	if !t.usable() || m.Bytes > t.Capacity {
		return false
	}
	if h := m.on[t]; h != nil && h.State != Retiring {
		return false
	}
	return forced || t.load+w.cfg.Gain <= w.pressure(m)
}

// choose returns the best target that passes ok, or nil: a zone without the model first, then the least
// used target, then the tightest fit, which keeps large gaps for large models.
func (w *world) choose(m *model, ok func(*target) bool) *target {
	var best *target
	var bestScore float64
	for _, t := range w.targets {
		if !t.usable() || !ok(t) {
			continue
		}
		if h := m.on[t]; h != nil && h.State != Retiring {
			continue
		}
		score := 2*float64(m.zones[t.Zone]) + t.load + 0.2*float64(t.free)/float64(max(1, t.Capacity))
		if t.free < m.Bytes+m.adapters {
			score++ // no room would be left for one of its adapters
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}
