package registry

import "time"

// incarnation is one start of a target. Those that said that they leave are kept apart from the targets: the entry of an incarnation may
// come later, vanish, or return from an older copy of the store, and still say that the target is ready.
type incarnation struct {
	id      string
	started int64
}

// leavingTTL is how long a statement is kept. No target that leaves stays as long.
const leavingTTL = time.Hour

// applyStatement applies a departure that a target has stated.
func (t *Table) applyStatement(d Departure, now time.Time) (changed bool) {
	// Without the time of its start, a target that starts again under its id cannot be told from the one that left.
	if i := (incarnation{d.ID, d.Started}); d.Started != 0 && t.leaving[i].IsZero() {
		t.leaving[i] = now
	}
	old := t.targets[d.ID]
	return old != nil && old.Started == d.Started && t.drain(old)
}

// withStatement returns the target as draining if its incarnation said that it leaves, and else unchanged.
func (t *Table) withStatement(info *Target) *Target {
	if _, ok := t.leaving[incarnation{info.ID, info.Started}]; !ok || info.State == Draining {
		return info
	}
	draining := *info
	draining.State = Draining
	return &draining
}
