package storewatch

import (
	"time"

	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/registry"
)

// seenTTL is how long a change is remembered. The states that carry it end long before.
const seenTTL = 4 * changeTTL

// TargetChanges carries changes of targets from one host to another. A host that received a change need not poll the
// store for it, so that the number of calls to the store does not grow with the number of hosts.
type TargetChanges struct {
	Departures []registry.Departure `json:"d,omitempty"`
	Arrivals   []*registry.Target   `json:"a,omitempty"`
	Zones      []ZoneChange         `json:"z,omitempty"`
}

// Empty reports whether there are no changes.
func (c TargetChanges) Empty() bool { return len(c.Departures)+len(c.Arrivals)+len(c.Zones) == 0 }

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

// recentChange is a change that this host repeats to other hosts.
type recentChange struct {
	departure  registry.Departure // unless arrival is set
	arrival    *registry.Target
	observedAt time.Duration // by the boot clock, which counts suspension too: changes from before one are outdated
	// announced states to which audiences the change was announced, by this host or another one.
	announced [audiences]bool
}

// Audience is a group of hosts to which changes are announced together.
type Audience uint8

// Audiences of announcements.
const (
	ToMesh   Audience = iota // hosts that learn of changes from several others
	ToLeaves                 // hosts that learn of changes from this one only
	audiences
)

// recordChange records the change from old to u, if other hosts need it, for later announcement. The caller holds mu.
func (w *Watcher) recordChange(u registry.Update, old *registry.Target) {
	now := bootclock.Now()
	switch {
	case u.Target == nil:
		w.add(changeKey{u.ID, old.Started, targetRemoved}, recentChange{
			departure: registry.Departure{ID: u.ID, Started: old.Started, Beat: old.Beat, Removed: true, Revision: u.Revision},
		}, now)
	case u.Target.State == registry.Draining:
		key := changeKey{u.ID, u.Target.Started, targetDraining}
		if w.changes[key] == nil {
			w.add(key, recentChange{departure: registry.Departure{ID: u.ID, Started: u.Target.Started, Revision: u.Revision}}, now)
		}
	case old == nil || old.Started != u.Target.Started:
		w.add(changeKey{u.ID, u.Target.Started, targetAdded}, recentChange{arrival: u.Target}, now)
	}
}

// add records a change as of now. The caller holds mu.
func (w *Watcher) add(key changeKey, c recentChange, now time.Duration) {
	c.observedAt = now
	w.changes[key] = &c
	w.seen[key] = now
}

// TargetLeaving records that an incarnation of a target said in an answer that it leaves, and announces that to the other hosts.
// It reports whether that is new here.
func (w *Watcher) TargetLeaving(id string, started int64) (changed bool) {
	d := registry.Departure{ID: id, Started: started, Stated: true}
	w.mu.Lock()
	if changed = w.targets.ApplyDeparture(d, time.Now()); changed {
		w.add(changeKey{id, started, targetDraining}, recentChange{departure: d}, bootclock.Now())
	}
	w.mu.Unlock()
	if changed {
		w.publishTargets()
		w.announceChanges()
	}
	return changed
}

// announceChanges has changes sent to the other hosts at once.
func (w *Watcher) announceChanges() {
	if w.handlers.Announce != nil {
		w.handlers.Announce()
	}
}

// TargetChanges returns the changes of the last changeTTL, and the evacuated zones.
func (w *Watcher) TargetChanges() TargetChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.recentChanges(func(*recentChange) bool { return true })
	out.Zones = w.zoneChanges(func(*zone) bool { return true })
	return out
}

// NewTargetChanges returns the changes of the last changeTTL that were not announced to the audience yet, and marks them as
// announced.
func (w *Watcher) NewTargetChanges(to Audience) TargetChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.recentChanges(func(c *recentChange) bool {
		announced := c.announced[to]
		c.announced[to] = true
		return !announced
	})
	out.Zones = w.zoneChanges(func(z *zone) bool {
		announced := z.announced[to]
		z.announced[to] = true
		return !announced
	})
	return out
}

// recentChanges returns the changes of the last changeTTL for which include returns true. The caller holds mu.
func (w *Watcher) recentChanges(include func(*recentChange) bool) (out TargetChanges) {
	now := bootclock.Now()
	for key, item := range w.changes {
		switch {
		case now-item.observedAt > changeTTL:
			delete(w.changes, key)
		case !include(item):
		case item.arrival != nil:
			out.Arrivals = append(out.Arrivals, item.arrival.Aged(now-item.observedAt))
		default:
			out.Departures = append(out.Departures, item.departure)
		}
	}
	return out
}

// ApplyChanges applies changes received from another host, and repeats them to the hosts that may not know them: to all if
// a leaf sent them, else to the leaves. It reports whether there are any to announce.
func (w *Watcher) ApplyChanges(c TargetChanges, fromLeaf bool) (announce bool) {
	if c.Empty() {
		return false
	}
	now := time.Now()
	w.mu.Lock()
	changed := false
	zones := w.applyZoneChanges(c.Zones, fromLeaf)
	announce = zones
	for _, d := range c.Departures {
		changed = w.targets.ApplyDeparture(d, now) || changed
		kind := targetDraining
		if d.Removed {
			kind = targetRemoved
		}
		announce = w.recordReceived(changeKey{d.ID, d.Started, kind}, recentChange{departure: d}, fromLeaf) || announce
	}
	for _, t := range c.Arrivals {
		old := w.targets.Get(t.ID)
		if old == nil || old.Started != t.Started {
			applied := w.targets.ApplyUpdate(registry.Update{ID: t.ID, Target: t, Revision: t.Revision}, now, false)
			changed = applied || changed
			// A restored store may have lost the entry, and does not report its removal then.
			if applied && kv.Version(t.Revision).Era() < w.era {
				w.targets.ApplyUpdate(registry.Update{ID: t.ID, Revision: int64(kv.NewVersion(w.era, 0))}, now, true)
			}
		}
		announce = w.recordReceived(changeKey{t.ID, t.Started, targetAdded}, recentChange{arrival: t}, fromLeaf) || announce
	}
	w.mu.Unlock()
	if zones {
		w.publishZones()
	}
	if changed {
		w.publishTargets()
	}
	return announce
}

// recordReceived records a change that another host has announced, and reports whether it is new here. A change that was
// seen within seenTTL is not, so that hosts do not repeat it to each other for ever. The caller holds mu.
func (w *Watcher) recordReceived(key changeKey, c recentChange, fromLeaf bool) bool {
	now := bootclock.Now()
	if item := w.changes[key]; item != nil {
		item.announced[ToMesh] = item.announced[ToMesh] || !fromLeaf
		return false
	}
	for old, at := range w.seen {
		if now-at > seenTTL {
			delete(w.seen, old)
		}
	}
	if _, known := w.seen[key]; known {
		return false
	}
	c.announced[ToMesh] = !fromLeaf
	w.add(key, c, now)
	return true
}
