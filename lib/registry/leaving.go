package registry

import "time"

// leaving is an incarnation that said that it leaves. It is kept apart from the target: the entry of that incarnation may come
// later, vanish, or return from an older copy of the store, and still say that the target is ready.
type leaving struct {
	started int64
	at      time.Time // when it was first said here
}

// leavingTTL is how long a statement is kept. No target that leaves stays as long.
const leavingTTL = time.Hour

// applyStatement applies a departure that a target has stated. Statements of an incarnation before one that is known change
// nothing.
func (t *Table) applyStatement(d Departure, now time.Time) (changed bool) {
	old := t.targets[d.ID]
	known, ok := t.leaving[d.ID]
	// Without the time of its start, a target that starts again under its id cannot be told from the one that left.
	if d.Started != 0 && (!ok || d.Started > known.started) && (old == nil || d.Started >= old.Started) {
		t.leaving[d.ID] = leaving{d.Started, now}
	}
	return old != nil && old.Started == d.Started && t.drain(old)
}

// withStatement returns the target as draining if its incarnation said that it leaves, and else unchanged.
func (t *Table) withStatement(info *Target) *Target {
	l, ok := t.leaving[info.ID]
	if !ok || l.started != info.Started || info.State == Draining {
		return info
	}
	draining := *info
	draining.State = Draining
	return &draining
}
