package storewatch

import (
	"context"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
)

// decodeTarget returns the update that an entry describes. An entry that cannot be decoded counts as removed and is logged
// once per version. The caller holds mu.
func (f *Watcher) decodeTarget(key string, value []byte, version kv.Version) registry.Update {
	id := strings.TrimPrefix(key, f.codec.TargetPrefix())
	t, err := f.codec.Target(id, value)
	if err != nil {
		if f.invalidEntries[id] != version {
			f.invalidEntries[id] = version
			f.log.Warn("target entry not decoded", "key", key, "error", err.Error())
		}
		return registry.Update{ID: id, Revision: int64(version)}
	}
	t.Revision = int64(version)
	return registry.Update{ID: id, Target: t, Revision: int64(version)}
}

// applyTargetChange applies one change of a target's entry and reports whether the table changed.
func (f *Watcher) applyTargetChange(c kv.Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := registry.Update{ID: strings.TrimPrefix(c.Key, f.codec.TargetPrefix()), Revision: int64(c.Version)}
	if !c.Deleted {
		u = f.decodeTarget(c.Key, c.Value, c.Version)
	}
	return f.applyTargetUpdate(u)
}

// applyTargetUpdate applies an update to the table and records what other hosts need of it. The caller holds mu.
func (f *Watcher) applyTargetUpdate(u registry.Update) (changed bool) {
	now := time.Now()
	old := f.targets.Get(u.ID)
	changed = f.targets.ApplyUpdate(u, now, u.Target == nil && f.afterOutage(now))
	if changed {
		f.recordChange(u, old)
	}
	return changed
}

// replaceTargets installs the targets of a full read. Changes found by the first one are not announced.
func (f *Watcher) replaceTargets(entries []kv.Entry, revision kv.Version) {
	f.mu.Lock()
	first := !f.snapshotRead
	f.snapshotRead = true
	var all []registry.Update
	for _, e := range entries {
		all = append(all, f.decodeTarget(e.Key, e.Value, e.Version))
	}
	for _, u := range append(all, f.targets.Missing(all, int64(revision))...) {
		f.applyTargetUpdate(u)
	}
	if first {
		clear(f.changes)
	}
	pending := len(f.changes) > 0
	f.mu.Unlock()
	f.publishTargets()
	if pending {
		f.announceChanges()
	}
}

// publishTargets passes the list of targets to the handler.
func (f *Watcher) publishTargets() {
	f.mu.Lock()
	list := f.targets.List()
	f.logTargetStates(list)
	f.mu.Unlock()
	f.handlers.OnTargets(list)
}

// logTargetStates logs targets that were added, changed their state or were removed. The caller holds mu.
func (f *Watcher) logTargetStates(list []*registry.Target) {
	seen := make(map[string]bool, len(list))
	for _, t := range list {
		seen[t.ID] = true
		if state, ok := f.loggedStates[t.ID]; !ok || state != t.State {
			f.loggedStates[t.ID] = t.State
			f.log.Info("target", "target", t.ID, "service", t.Service, "state", t.State.String(), "beat", t.Beat, "addr", t.Addr)
		}
	}
	for id := range f.loggedStates {
		if !seen[id] {
			delete(f.loggedStates, id)
			f.log.Info("target", "target", id, "state", "gone")
		}
	}
}

// expireTargets drops targets whose missing entries did not return in time. During an outage none is dropped.
func (f *Watcher) expireTargets(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		f.mu.Lock()
		changed := !f.storeLost && f.targets.Expire(time.Now())
		f.mu.Unlock()
		if changed {
			f.publishTargets()
		}
	}
}
