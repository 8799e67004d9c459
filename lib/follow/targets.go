package follow

import (
	"context"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
)

func (f *Follower) update(key string, value []byte, version kv.Version) registry.Update {
	id := strings.TrimPrefix(key, f.codec.TargetPrefix())
	t, err := f.codec.Target(id, value)
	if err != nil {
		if f.bad[id] != version {
			f.bad[id] = version
			f.log.Warn("entry names no target", "key", key, "error", err.Error())
		}
		return registry.Update{ID: id, Revision: int64(version)}
	}
	t.Revision = int64(version)
	return registry.Update{ID: id, Target: t, Revision: int64(version)}
}

func (f *Follower) target(c kv.Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := registry.Update{ID: strings.TrimPrefix(c.Key, f.codec.TargetPrefix()), Revision: int64(c.Version)}
	if !c.Deleted {
		u = f.update(c.Key, c.Value, c.Version)
	}
	return f.takeOver(u)
}

// takeOver changes the table and keeps what others have to hear of; mu is held.
func (f *Follower) takeOver(u registry.Update) (changed bool) {
	now := time.Now()
	old := f.table.Get(u.ID)
	changed = f.table.Apply(u, now, u.Target == nil && f.unsettled(now))
	if changed {
		f.noteNews(u, old)
	}
	return changed
}

// replaceTargets takes a whole listing over. The first one is no news to anybody.
func (f *Follower) replaceTargets(entries []kv.Entry, revision kv.Version) {
	f.mu.Lock()
	first := !f.listed
	f.listed = true
	var all []registry.Update
	for _, e := range entries {
		all = append(all, f.update(e.Key, e.Value, e.Version))
	}
	for _, u := range append(all, f.table.Missing(all, int64(revision))...) {
		f.takeOver(u)
	}
	if first {
		clear(f.news)
	}
	fresh := len(f.news) > 0
	f.mu.Unlock()
	f.publishTargets()
	if fresh {
		f.tell()
	}
}

func (f *Follower) publishTargets() {
	f.mu.Lock()
	list := f.table.List()
	f.note(list)
	f.mu.Unlock()
	f.on.Targets(list)
}

// note logs targets that appeared, changed their state or are gone; mu is held.
func (f *Follower) note(list []*registry.Target) {
	seen := make(map[string]bool, len(list))
	for _, t := range list {
		seen[t.ID] = true
		if state, ok := f.noted[t.ID]; !ok || state != t.State {
			f.noted[t.ID] = t.State
			f.log.Info("target", "target", t.ID, "service", t.Service, "state", t.State.String(), "beat", t.Beat, "addr", t.Addr)
		}
	}
	for id := range f.noted {
		if !seen[id] {
			delete(f.noted, id)
			f.log.Info("target", "target", id, "state", "gone")
		}
	}
}

func (f *Follower) expire(ctx context.Context) {
	for pause.For(ctx, expireTime) {
		f.mu.Lock()
		changed := !f.lost && f.table.Expire(time.Now())
		f.mu.Unlock()
		if changed {
			f.publishTargets()
		}
	}
}
