package placement

import (
	"cmp"
	"math"
	"slices"
)

// adapters loads adapters with demand where their model is resident.
func (w *world) adapters(in *Input) {
	names := make([]AdapterSpec, 0, len(in.Adapters))
	for _, a := range in.Adapters {
		if d := w.demand[a.Name]; (d.Queue > 0 || d.Short.Requests > w.cfg.AdapterIdle) && w.byName[a.Model] != nil {
			names = append(names, a)
		}
	}
	slices.SortFunc(names, func(a, b AdapterSpec) int {
		da, db := w.demand[a.Name], w.demand[b.Name]
		return cmp.Or(-cmp.Compare(da.Queue, db.Queue), -cmp.Compare(da.Short.Requests, db.Short.Requests), cmp.Compare(a.Name, b.Name))
	})
	limit := max(1, in.Limits.AdapterLoadsAtSpeed)
	for _, a := range names {
		if w.adapting >= limit {
			return
		}
		w.placeAdapter(a, limit)
	}
}

// placeAdapter loads a on as many of its model's targets as its share of the model's requests asks for.
func (w *world) placeAdapter(a AdapterSpec, limit int) {
	m := w.byName[a.Model]
	d, base := w.demand[a.Name], w.demand[m.Name]
	want := 1
	if base.Short.Requests > 0 {
		want = int(math.Ceil(float64(len(m.copies)) * math.Min(1, d.Short.Requests/base.Short.Requests)))
	}
	var open []*target
	for _, h := range m.copies {
		e := h.t.holds[key(KindAdapter, a.Name)]
		switch {
		case e == nil || e.State == Retiring:
			open = append(open, h.t)
		case e.State == Resident || e.State == Loading:
			want--
		}
	}
	slices.SortStableFunc(open, func(x, y *target) int {
		return cmp.Or(cmp.Compare(x.load, y.load), -cmp.Compare(x.free, y.free), cmp.Compare(x.ID, y.ID))
	})
	for _, t := range open {
		if want <= 0 || w.adapting >= limit {
			return
		}
		if w.loadAdapter(a, t) {
			want--
		}
	}
}

func (w *world) loadAdapter(a AdapterSpec, t *target) bool {
	if h := t.holds[key(KindAdapter, a.Name)]; h != nil {
		h.State = Resident
		t.soon -= h.Bytes
		w.action(Load, h, PriorityDemand, "adapter demand")
		return true
	}
	if !t.usable() {
		return false
	}
	if t.free >= a.Bytes {
		h := &hold{Held: Held{Kind: KindAdapter, Name: a.Name, Bytes: a.Bytes, State: Loading, Since: w.now}, t: t}
		t.holds[key(KindAdapter, a.Name)] = h
		t.free -= a.Bytes
		w.adapting++
		w.action(Load, h, PriorityDemand, "adapter demand")
		return true
	}
	if t.free+t.soon >= a.Bytes {
		t.claim(a.Bytes)
		return true
	}
	set, _ := w.victims(t, a.Bytes-t.free-t.soon, w.cfg.High, false)
	set = slices.DeleteFunc(set, func(h *hold) bool { return h.Kind == KindModel && h.Name == a.Model })
	freed := t.free + t.soon
	for _, h := range set {
		freed += h.Bytes
	}
	if freed < a.Bytes {
		return false
	}
	for _, h := range set {
		w.unload(h, PriorityDemand, "makes room for "+a.Name)
	}
	t.claim(a.Bytes)
	return true
}
