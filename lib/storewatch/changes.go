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

// changeKey identifies one change of a target. What a change says may be true again: an entry that expired may be written again, and
// removed again. Hosts find one change at different store revisions; the entry that it is about is the same for all of them.
type changeKey struct {
	id      string
	started int64 // identifies the incarnation
	created int64 // store revision at which the entry was created; zero if not stated
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
		w.addDeparture(old.Removal(u.Revision), now)
	case u.Target.State == registry.Draining:
		if d := u.Target.Drain(u.Revision); w.changes[departureKey(d)] == nil {
			w.addDeparture(d, now)
		}
	case old == nil || old.Started != u.Target.Started:
		w.add(arrivalKey(u.Target), recentChange{arrival: u.Target}, now)
	}
}

func arrivalKey(t *registry.Target) changeKey {
	return changeKey{t.ID, t.Started, t.Created, targetAdded}
}

func departureKey(d registry.Departure) changeKey {
	if d.Removed {
		return changeKey{d.ID, d.Started, d.Created, targetRemoved}
	}
	return changeKey{d.ID, d.Started, d.Created, targetDraining}
}

// addDeparture records a departure as of now. The caller holds mu.
func (w *Watcher) addDeparture(d registry.Departure, now time.Duration) {
	w.add(departureKey(d), recentChange{departure: d}, now)
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
		w.addDeparture(d, bootclock.Now())
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
	// Arrivals come first: an older removal of the same target is told by the revision of the entry.
	for _, t := range c.Arrivals {
		news := w.applyArrival(t, now)
		changed = news || changed
		announce = w.recordReceived(arrivalKey(t), recentChange{arrival: t}, news, fromLeaf) || announce
	}
	for _, d := range c.Departures {
		if fromLeaf && w.dispute(d, now) {
			continue
		}
		if known := w.targets.Get(d.ID); known != nil && d.Outdated(known) {
			announce = w.recordReceived(arrivalKey(known), recentChange{arrival: known.WithoutColdTime()}, false, fromLeaf) || announce
			continue
		}
		news := w.targets.ApplyDeparture(d, now)
		changed = news || changed
		announce = w.recordReceived(departureKey(d), recentChange{departure: d}, news, fromLeaf) || announce
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

// applyArrival applies the entry of a target that another host has announced, and reports whether the target is new here. The caller
// holds mu.
func (w *Watcher) applyArrival(t *registry.Target, now time.Time) (news bool) {
	old := w.targets.Get(t.ID)
	if old != nil && old.Started == t.Started && old.Revision >= t.Revision {
		return false
	}
	if !w.targets.ApplyUpdate(registry.Update{ID: t.ID, Target: t, Revision: t.Revision}, now, time.Time{}) {
		return false
	}
	// A restored store may have lost the entry, and does not report its removal then.
	if kv.Version(t.Revision).Era() < w.era {
		w.targets.ApplyUpdate(registry.Update{ID: t.ID, Revision: int64(kv.NewVersion(w.era, 0))}, now, now.Add(returnGrace))
	}
	return old == nil || old.Started != t.Started
}

// dispute reports whether this host keeps a target that a leaf has dropped: its entry may have expired in an outage of the store in which
// the leaf, which reads the store rarely, made no call. The caller holds mu.
func (w *Watcher) dispute(d registry.Departure, now time.Time) bool {
	known := w.targets.Get(d.ID)
	until := w.keepUntil(known)
	if !d.Removed || !now.Before(until) || !d.Removes(known) {
		return false
	}
	w.targets.Dispute(d, until)
	return true
}

// recordReceived records a change that another host has announced, and reports whether it is new here, so that hosts do not repeat it
// to each other for ever. A change is new if it changes the list of targets (news), or if it was not seen within seenTTL: this host may
// know it from the store, but not its leaves. The caller holds mu.
func (w *Watcher) recordReceived(key changeKey, c recentChange, news, fromLeaf bool) bool {
	now := bootclock.Now()
	if item := w.changes[key]; item != nil && !news {
		item.announced[ToMesh] = item.announced[ToMesh] || !fromLeaf
		return false
	}
	for old, at := range w.seen {
		if now-at > seenTTL {
			delete(w.seen, old)
		}
	}
	if _, known := w.seen[key]; known && !news {
		return false
	}
	c.announced[ToMesh] = !fromLeaf
	w.add(key, c, now)
	return true
}
