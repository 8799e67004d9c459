package follow

import (
	"time"

	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/registry"
)

// News tells other hosts of targets that came or left. A host that has heard of a change need not look at the store for
// it, so that the calls of the store do not grow with the number of hosts.
type News struct {
	Departures []registry.Departure `json:"d,omitempty"`
	Arrivals   []*registry.Target   `json:"a,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (n News) Empty() bool { return len(n.Departures)+len(n.Arrivals) == 0 }

// newsKey names one change of a target.
type newsKey struct {
	id      string
	started int64
	change  change
}

type change uint8

const (
	arrived change = iota
	drains
	gone
)

type newsItem struct {
	departure registry.Departure
	arrival   *registry.Target
	at        time.Duration // when this host saw it; by the boot clock, as a host that was suspended has only old news
	told      bool          // other hosts have been told, by this one or another
}

// noteNews keeps what others have to hear of; mu is held.
func (f *Follower) noteNews(u registry.Update, old *registry.Target) {
	now := bootclock.Now()
	switch {
	case u.Target == nil:
		f.news[newsKey{u.ID, old.Started, gone}] = &newsItem{
			departure: registry.Departure{ID: u.ID, Started: old.Started, Gone: true, Revision: u.Revision}, at: now,
		}
	case u.Target.State == registry.Draining:
		key := newsKey{u.ID, u.Target.Started, drains}
		if f.news[key] == nil {
			f.news[key] = &newsItem{
				departure: registry.Departure{ID: u.ID, Started: u.Target.Started, Revision: u.Revision}, at: now,
			}
		}
	case old == nil || old.Started != u.Target.Started:
		f.news[newsKey{u.ID, u.Target.Started, arrived}] = &newsItem{arrival: u.Target, at: now}
	}
}

// tell has the other hosts told at once.
func (f *Follower) tell() {
	if f.on.News != nil {
		f.on.News()
	}
}

// News returns the changes of the last seconds. With fresh set it returns only those of which no host has told the
// others yet, and counts them as told.
func (f *Follower) News(fresh bool) News {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Now()
	var out News
	for key, item := range f.news {
		switch {
		case now-item.at > newsTime:
			delete(f.news, key)
		case fresh && item.told:
		case item.arrival != nil:
			out.Arrivals = append(out.Arrivals, item.arrival)
		default:
			out.Departures = append(out.Departures, item.departure)
		}
		item.told = item.told || fresh
	}
	return out
}

// Hear takes over what another host has seen. It is not told on.
func (f *Follower) Hear(n News) {
	if n.Empty() {
		return
	}
	now := time.Now()
	f.mu.Lock()
	changed := false
	for _, d := range n.Departures {
		changed = f.table.Depart(d, now) || changed
		change := drains
		if d.Gone {
			change = gone
		}
		f.heard(newsKey{d.ID, d.Started, change})
	}
	for _, t := range n.Arrivals {
		old := f.table.Get(t.ID)
		if old == nil || old.Started != t.Started {
			changed = f.table.Apply(registry.Update{ID: t.ID, Target: t, Revision: t.Revision}, now, false) || changed
		}
		f.heard(newsKey{t.ID, t.Started, arrived})
	}
	f.mu.Unlock()
	if changed {
		f.publishTargets()
	}
}

// heard notes that others have been told; mu is held.
func (f *Follower) heard(key newsKey) {
	if item := f.news[key]; item != nil {
		item.told = true
	}
}
