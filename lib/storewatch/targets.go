package storewatch

import (
	"context"
	"maps"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sleep"
)

// decodeTarget returns the update that an entry describes. An entry that cannot be decoded counts as removed and is logged
// once per version. The caller holds mu.
func (w *Watcher) decodeTarget(e kv.Entry) registry.Update {
	id := strings.TrimPrefix(e.Key, w.codec.TargetPrefix())
	t, err := w.codec.Target(id, e.Value)
	if err != nil {
		if w.invalidEntries[id] != e.Version {
			w.invalidEntries[id] = e.Version
			w.log.Warn("target entry not decoded", "key", e.Key, "error", err.Error())
		}
		return registry.Update{ID: id, Revision: int64(e.Version)}
	}
	t.Revision, t.Created = int64(e.Version), int64(e.Created)
	return registry.Update{ID: id, Target: t, Revision: int64(e.Version)}
}

// applyTargetChange applies one change of a target's entry and reports whether the table changed.
func (w *Watcher) applyTargetChange(c kv.Change) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := registry.Update{ID: strings.TrimPrefix(c.Key, w.codec.TargetPrefix()), Revision: int64(c.Version)}
	if !c.Deleted {
		u = w.decodeTarget(c.Entry)
	}
	return w.applyTargetUpdate(u, false)
}

// applyTargetUpdate applies an update to the table and records what other hosts need of it. A target may write a removed entry
// again if a restored store has lost it, or after an outage. The caller holds mu.
func (w *Watcher) applyTargetUpdate(u registry.Update, lost bool) (changed bool) {
	now := time.Now()
	old := w.targets.Get(u.ID)
	keepUntil, disputed := w.keepUntil(old), w.targets.Disputed(u.ID)
	if lost {
		keepUntil = now.Add(returnGrace)
	}
	changed = w.targets.ApplyUpdate(u, now, keepUntil)
	if disputed && u.Target != nil {
		old = nil // for hosts that have dropped it, the target is new
	}
	if changed {
		w.recordChange(u, old)
	}
	return changed
}

// replaceTargets installs the targets of a full read. Changes found by the first one are not announced; those that other hosts
// announced before or announce after it are passed on to leaves, which have no other source.
func (w *Watcher) replaceTargets(entries []kv.Entry, revision kv.Version) {
	w.mu.Lock()
	first := !w.snapshotRead
	w.snapshotRead = true
	received := maps.Clone(w.changes)
	var all []registry.Update
	for _, e := range entries {
		all = append(all, w.decodeTarget(e))
	}
	restored := !first && revision.Era() > w.era
	if restored {
		w.targets.Restored(all, int64(revision))
	}
	w.era = max(w.era, revision.Era())
	for _, u := range all {
		w.applyTargetUpdate(u, false)
	}
	for _, u := range w.targets.Missing(all, int64(revision)) {
		w.applyTargetUpdate(u, restored)
	}
	if first {
		for key := range w.changes {
			if received[key] == nil {
				delete(w.changes, key)
				delete(w.seen, key)
			}
		}
	}
	pending := len(w.changes) > 0
	w.mu.Unlock()
	w.publishTargets()
	if pending {
		w.announceChanges()
	}
}

// publishTargets passes the list of targets to the handler.
func (w *Watcher) publishTargets() {
	w.publishing.Lock() // the handler must not get an older list last
	defer w.publishing.Unlock()
	w.mu.Lock()
	list := w.targets.List()
	w.logTargetStates(list)
	w.mu.Unlock()
	w.handlers.OnTargets(list)
}

// logTargetStates logs targets that were added, changed their state or were removed. The caller holds mu.
func (w *Watcher) logTargetStates(list []*registry.Target) {
	seen := make(map[string]bool, len(list))
	for _, t := range list {
		seen[t.ID] = true
		if state, ok := w.loggedStates[t.ID]; !ok || state != t.State {
			w.loggedStates[t.ID] = t.State
			w.log.Info("target", "target", t.ID, "service", t.Service, "state", t.State.String(), "beat", t.Beat, "addr",
				t.Addr)
		}
	}
	for id := range w.loggedStates {
		if !seen[id] {
			delete(w.loggedStates, id)
			w.log.Info("target", "target", id, "state", "gone")
		}
	}
}

// expireTargets has targets dropped whose missing entries did not return in time, which only the store can tell: a watch that waits has
// no change to deliver, and a host that does not watch at the moment has to.
func (w *Watcher) expireTargets(ctx context.Context) {
	for sleep.For(ctx, expireInterval) {
		w.expireZones()
		w.mu.Lock()
		now := time.Now()
		w.targets.Expire(now)
		due := !w.storeLost && w.targets.MissingTooLong(now)
		current := !w.watchingSince.IsZero() && now.Sub(w.watchingSince) >= expireInterval
		w.mu.Unlock()
		switch {
		case !due:
		case current:
			w.dropMissing()
		default:
			w.PollNow()
		}
	}
}

// dropMissing drops targets whose missing entries did not return in time, and announces that. Call it only when all changes up to now
// have been applied.
func (w *Watcher) dropMissing() {
	w.mu.Lock()
	dropped := w.targets.DropMissing(time.Now())
	for _, d := range dropped {
		w.addDeparture(d, bootclock.Now())
	}
	w.mu.Unlock()
	if len(dropped) > 0 {
		w.publishTargets()
		w.announceChanges()
	}
}
