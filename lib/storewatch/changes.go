package storewatch

import (
	"time"

	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/registry"
)

// TargetChanges carries changes of targets from one host to another. A host that received a change need not poll the
// store for it, so that the number of calls to the store does not grow with the number of hosts.
type TargetChanges struct {
	Departures []registry.Departure `json:"d,omitempty"`
	Arrivals   []*registry.Target   `json:"a,omitempty"`
}

// Empty reports whether there are no changes.
func (c TargetChanges) Empty() bool { return len(c.Departures)+len(c.Arrivals) == 0 }

// changeKey identifies one change of one incarnation of a target.
type changeKey struct {
	id      string
	started int64 // identifies the incarnation
	kind    changeKind
}

type changeKind uint8

const (
	targetAdded changeKind = iota
	targetDraining
	targetRemoved
)

// recentChange is a change that this host read from the store and repeats to other hosts.
type recentChange struct {
	departure  registry.Departure // unless arrival is set
	arrival    *registry.Target
	observedAt time.Duration // by the boot clock, which counts suspension too: changes from before one are outdated
	announced  bool          // by this host or another one
}

// recordChange records the change from old to u, if other hosts need it, for later announcement. The caller holds mu.
func (w *Watcher) recordChange(u registry.Update, old *registry.Target) {
	now := bootclock.Now()
	switch {
	case u.Target == nil:
		w.changes[changeKey{u.ID, old.Started, targetRemoved}] = &recentChange{
			departure:  registry.Departure{ID: u.ID, Started: old.Started, Removed: true, Revision: u.Revision},
			observedAt: now,
		}
	case u.Target.State == registry.Draining:
		key := changeKey{u.ID, u.Target.Started, targetDraining}
		if w.changes[key] == nil {
			w.changes[key] = &recentChange{
				departure: registry.Departure{ID: u.ID, Started: u.Target.Started, Revision: u.Revision}, observedAt: now,
			}
		}
	case old == nil || old.Started != u.Target.Started:
		w.changes[changeKey{u.ID, u.Target.Started, targetAdded}] = &recentChange{arrival: u.Target, observedAt: now}
	}
}

// announceChanges has changes sent to the other hosts at once.
func (w *Watcher) announceChanges() {
	if w.handlers.Announce != nil {
		w.handlers.Announce()
	}
}

// TargetChanges returns the changes that this host recorded within changeTTL. With fresh set it returns only those that
// no host has announced yet, and marks them as announced.
func (w *Watcher) TargetChanges(fresh bool) TargetChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := bootclock.Now()
	var out TargetChanges
	for key, item := range w.changes {
		switch {
		case now-item.observedAt > changeTTL:
			delete(w.changes, key)
		case fresh && item.announced:
		case item.arrival != nil:
			out.Arrivals = append(out.Arrivals, item.arrival)
		default:
			out.Departures = append(out.Departures, item.departure)
		}
		item.announced = item.announced || fresh
	}
	return out
}

// ApplyChanges applies changes received from another host. They are not announced again.
func (w *Watcher) ApplyChanges(c TargetChanges) {
	if c.Empty() {
		return
	}
	now := time.Now()
	w.mu.Lock()
	changed := false
	for _, d := range c.Departures {
		changed = w.targets.ApplyDeparture(d, now) || changed
		kind := targetDraining
		if d.Removed {
			kind = targetRemoved
		}
		w.markAnnounced(changeKey{d.ID, d.Started, kind})
	}
	for _, t := range c.Arrivals {
		old := w.targets.Get(t.ID)
		if old == nil || old.Started != t.Started {
			changed = w.targets.ApplyUpdate(
				registry.Update{ID: t.ID, Target: t, Revision: t.Revision}, now, false) || changed
		}
		w.markAnnounced(changeKey{t.ID, t.Started, targetAdded})
	}
	w.mu.Unlock()
	if changed {
		w.publishTargets()
	}
}

// markAnnounced marks a change of this host as announced by another one. The caller holds mu.
func (w *Watcher) markAnnounced(key changeKey) {
	if item := w.changes[key]; item != nil {
		item.announced = true
	}
}
