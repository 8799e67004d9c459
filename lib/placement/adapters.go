package placement

import (
	"cmp"
	"math"
	"slices"
)

// placeAdapters plans loads of adapters that have demand, on targets where their model is resident. Adapters with the
// longest queues come first, then those with the most requests.
func (w *workingState) placeAdapters(in *Input) {
	wanted := make([]AdapterSpec, 0, len(in.Adapters))
	for _, a := range in.Adapters {
		if d := w.demand[a.Name]; (d.QueueLength > 0 || d.Short.Requests > w.cfg.IdleAdapterRate) &&
			w.modelsByName[a.Model] != nil {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b AdapterSpec) int {
		da, db := w.demand[a.Name], w.demand[b.Name]
		return cmp.Or(
			-cmp.Compare(da.QueueLength, db.QueueLength),
			-cmp.Compare(da.Short.Requests, db.Short.Requests),
			cmp.Compare(a.Name, b.Name),
		)
	})
	limit := max(1, in.Limits.AdapterLoadsAtSpeed)
	for _, a := range wanted {
		if w.adapterLoadsInFlight >= limit {
			return
		}
		w.placeAdapter(a, limit)
	}
}

// placeAdapter plans loads of a until the fraction of its model's targets that have it is at least its fraction of the
// model's requests. At most limit adapter loads may be in flight.
func (w *workingState) placeAdapter(a AdapterSpec, limit int) {
	m := w.modelsByName[a.Model]
	d, base := w.demand[a.Name], w.demand[m.Name]
	want := 1
	if base.Short.Requests > 0 {
		want = int(math.Ceil(float64(len(m.copies)) * math.Min(1, d.Short.Requests/base.Short.Requests)))
	}
	var candidates []*plannedTarget
	for _, h := range m.copies {
		e := h.target.residencies[keyOf(KindAdapter, a.Name)]
		switch {
		case e == nil || e.State == Retiring:
			candidates = append(candidates, h.target)
		case e.State == Resident || e.State == Loading:
			want--
		}
	}
	slices.SortStableFunc(candidates, func(x, y *plannedTarget) int {
		return cmp.Or(cmp.Compare(x.utilisation, y.utilisation), -cmp.Compare(x.freeBytes, y.freeBytes), cmp.Compare(x.ID, y.ID))
	})
	for _, t := range candidates {
		if want <= 0 || w.adapterLoadsInFlight >= limit {
			return
		}
		if w.loadAdapter(a, t) {
			want--
		}
	}
}

// loadAdapter keeps a retiring copy of a on t, plans its load, or reserves memory for it that unloads will free, and
// plans such unloads where needed. It reports whether it did any of these.
func (w *workingState) loadAdapter(a AdapterSpec, t *plannedTarget) bool {
	if h := t.residencies[keyOf(KindAdapter, a.Name)]; h != nil {
		h.State = Resident
		t.unloadingBytes -= h.Bytes
		w.addAction(Load, h, PriorityDemand, "adapter demand")
		return true
	}
	if !t.usable() {
		return false
	}
	if t.freeBytes >= a.Bytes {
		h := &residency{
			Residency: Residency{Kind: KindAdapter, Name: a.Name, Bytes: a.Bytes, State: Loading, Since: w.now}, target: t,
		}
		t.residencies[keyOf(KindAdapter, a.Name)] = h
		t.freeBytes -= a.Bytes
		w.adapterLoadsInFlight++
		w.addAction(Load, h, PriorityDemand, "adapter demand")
		return true
	}
	if t.freeBytes+t.unloadingBytes >= a.Bytes {
		t.reserve(a.Bytes)
		return true
	}
	evictions, _ := w.chooseEvictions(t, a.Bytes-t.freeBytes-t.unloadingBytes, w.cfg.ScaleUpUtilisation, false)
	evictions = slices.DeleteFunc(evictions, func(h *residency) bool { return h.Kind == KindModel && h.Name == a.Model })
	freed := t.freeBytes + t.unloadingBytes
	for _, h := range evictions {
		freed += h.Bytes
	}
	if freed < a.Bytes {
		return false
	}
	for _, h := range evictions {
		w.planUnload(h, PriorityDemand, "makes room for "+a.Name)
	}
	t.reserve(a.Bytes)
	return true
}
