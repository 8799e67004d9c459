package placement

import (
	"math"
	"slices"
)

// makeRoom plans unloads of idle adapters and redundant copies on the target where that costs least.
func (w *world) makeRoom(m *model, prio int, fits func(*target) bool, forced bool) bool {
	var best *target
	var bestSet []*hold
	bestCost := math.Inf(1)
	for _, t := range w.targets {
		if !fits(t) {
			continue
		}
		set, cost := w.victims(t, m.Bytes-t.free-t.soon, w.tolerated(m), forced)
		cost += 0.5 * float64(m.zones[t.Zone])
		if set != nil && cost < bestCost {
			best, bestSet, bestCost = t, set, cost
		}
	}
	if best == nil {
		return false
	}
	for _, h := range bestSet {
		w.unload(h, prio, "makes room for "+m.Name)
	}
	best.claim(m.Bytes)
	return true
}

// victims returns entries of t that free the given bytes at the least cost, or nil.
func (w *world) victims(t *target, bytes int64, tolerated float64, forced bool) ([]*hold, float64) {
	var set []*hold
	cost := 0.0
	for _, h := range t.idle {
		if bytes <= 0 {
			break
		}
		if h.State == Resident && (forced || w.demand[h.Name].Long.Requests < w.cfg.AdapterIdle) {
			set, bytes, cost = append(set, h), bytes-h.Bytes, cost+0.05+w.demand[h.Name].Short.Requests
		}
	}
	for bytes > 0 {
		var pick *hold
		pickCost := math.Inf(1)
		for _, h := range t.copies {
			if slices.Contains(set, h) {
				continue
			}
			if c, ok := w.removal(h, tolerated, forced); ok && c < pickCost {
				pick, pickCost = h, c
			}
		}
		if pick == nil {
			return nil, 0
		}
		set, bytes, cost = append(set, pick), bytes-pick.Bytes, cost+pickCost
	}
	return set, cost
}

// tolerated is the utilisation up to which other targets may rise to make room for m. Under overload every target is
// above High, and room is still worth making where the targets that gain work stay well below those of m.
func (w *world) tolerated(m *model) float64 {
	if len(m.copies) == 0 {
		return w.cfg.High
	}
	return math.Max(w.cfg.High, w.pressure(m)-w.cfg.Gain)
}

// removal returns the cost of removing copy h, and false if h must stay.
func (w *world) removal(h *hold, tolerated float64, forced bool) (float64, bool) {
	m := h.m
	if h.State != Resident || len(m.copies) < 2 || len(m.copies) <= m.MinCopies {
		return 0, false
	}
	left := float64(len(m.copies) - 1)
	cost := m.keep / left
	if len(m.zones) == 2 && m.zones[h.t.Zone] == 1 {
		// Its last copy outside one zone. Without it, the loss of a zone makes the model unreachable until it is
		// loaded anew, which takes seconds.
		if !forced {
			return 0, false
		}
		cost += 0.5
	}
	if forced {
		return cost, true
	}
	if w.now.Sub(h.Since) < w.cfg.MinResidence || m.keep/left > w.cfg.Low {
		return 0, false
	}
	for _, o := range m.copies {
		if o != h && o.t.load+m.keep/left/(left+1) > tolerated {
			return 0, false
		}
	}
	return cost, true
}

// moveAside starts the move of one model to another target when that frees enough room for m. The
// copy left behind is redundant in a later plan.
func (w *world) moveAside(m *model) bool {
	if w.budget == 0 {
		return false
	}
	for _, t := range w.targets {
		if !w.suits(m, t, true) {
			continue
		}
		for _, h := range t.copies {
			if h.State != Resident || h.m.loading > 0 || t.free+t.soon+h.Bytes < m.Bytes {
				continue
			}
			if to := w.choose(h.m, func(o *target) bool { return o != t && o.free >= h.Bytes }); to != nil {
				w.load(h.m, to, PriorityLost, "moves to make room for "+m.Name)
				return true
			}
		}
	}
	return false
}
