package storewatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
)

// watchZones has the watcher record what it passes on of zones.
func watchZones(s *recorder) func(*Watcher) {
	return func(w *Watcher) {
		w.handlers.OnZones = func(e Evacuations) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.zones, s.returned = e.Zones, append(s.returned, e.Returned...)
		}
	}
}

// state returns the evacuated zones and those that have returned, as text.
func (s *recorder) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zones []string
	for name := range s.zones {
		zones = append(zones, name)
	}
	slices.Sort(zones)
	return fmt.Sprint(zones, s.returned)
}

func startZoneWatcher(t *testing.T, feed kv.Feed) (*Watcher, *recorder) {
	s := &recorder{}
	w, _ := startWatcherWith(t, feed, watchZones(s))
	return w, s
}

// Guards against requests to an evacuated zone after a restart of the host, or after changes that the watch has missed, and against a
// zone that stays evacuated.
func TestEvacuationIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/evacuate/a", "{}")
		_, view := startZoneWatcher(t, feed)
		for i, c := range []struct {
			change func()
			want   string
		}{
			{func() {}, "[a] []"},
			{func() { feed.put("op/evacuate/b", "{}") }, "[a b] []"},
			{func() { feed.remove("op/evacuate/a") }, "[b] [a]"},
			{func() { feed.remove("op/evacuate/b"); feed.put("op/evacuate/b", "{}") }, "[b] [a b]"},
			{func() { feed.update(func() { feed.historyLost = true }); feed.remove("op/evacuate/b") }, "[] [a b b]"},
		} {
			c.change()
			time.Sleep(5 * time.Second)
			if got := view.state(); got != c.want {
				t.Errorf("step %d: %s, want %s", i, got, c.want)
			}
		}
	})
}

// Guards against an evacuation that ends because the store has lost the request, and against one that nobody can end any more.
func TestEvacuationHoldsInARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		_, view := startZoneWatcher(t, feed)
		time.Sleep(3 * time.Second)
		feed.put("op/evacuate/a", "{}")
		feed.put("op/evacuate/b", "{}")
		time.Sleep(5 * time.Second)
		feed.restore(2)
		feed.cutWatches()
		time.Sleep(lostZoneGrace - time.Second)
		if got := view.state(); got != "[a b] []" {
			t.Errorf("after the restoration: %s", got)
		}
		feed.put("op/evacuate/a", "{}")
		time.Sleep(5 * time.Second)
		if got := view.state(); got != "[a] [b]" {
			t.Errorf("after a was written again, and b was not: %s", got)
		}
		feed.remove("op/evacuate/a")
		time.Sleep(5 * time.Second)
		if got := view.state(); got != "[] [b a]" {
			t.Errorf("after the end: %s", got)
		}
	})
}

// Guards against hosts that do not read the store for a minute and go on to use an evacuated zone, or do not use one that has returned,
// because what others tell them is lost, or arrives late and in any order.
func TestEvacuationReachesAllHosts(t *testing.T) {
	for _, hosts := range []int{7, 200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testEvacuationNews(t, hosts) })
		})
	}
}

func testEvacuationNews(t *testing.T, hosts int) {
	random := rand.New(rand.NewPCG(7, uint64(hosts)))
	feed := newFakeFeed()
	var all []*Watcher
	var views []*recorder
	for i := range hosts {
		s := &recorder{}
		w, _ := startWatcherWith(t, feed, func(w *Watcher) {
			watchZones(s)(w)
			w.SetPolling(Polling{Poller: i == 0, Pollers: 1, Interval: time.Hour})
		})
		all, views = append(all, w), append(views, s)
	}
	time.Sleep(3 * time.Second)
	var late []TargetChanges
	exchange := func(rounds int) {
		for range rounds {
			time.Sleep(300 * time.Millisecond)
			for _, w := range all {
				c := w.TargetChanges()
				if late = append(late, c); len(late) > 5*hosts {
					late = late[hosts:]
				}
				for range 6 {
					if to := all[random.IntN(hosts)]; random.IntN(2) == 0 { // half is lost
						to.ApplyChanges(c, false)
						to.ApplyChanges(late[random.IntN(len(late))], false)
					}
				}
			}
		}
	}
	expect := func(step, want string) {
		for i, v := range views {
			if got := v.state(); got != want {
				t.Errorf("%s, host %d: %s, want %s", step, i, got, want)
			}
		}
	}
	feed.put("op/evacuate/a", "{}")
	exchange(15)
	expect("evacuated", "[a] []")
	feed.remove("op/evacuate/a")
	exchange(15)
	expect("returned", "[] [a]")
}

// Guards against an older report of another host that ends or begins an evacuation, and against changes that are not passed on.
func TestChangesOfZonesAreOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, view := startZoneWatcher(t, newFakeFeed())
		time.Sleep(time.Second)
		for i, c := range []struct {
			era      kv.Era
			revision int64
			begin    bool
			news     bool
			want     string
		}{
			{1, 5, true, true, "[a] []"},
			{1, 5, true, false, "[a] []"},
			{1, 4, false, false, "[a] []"},
			{1, 7, false, true, "[] [a]"},
			{1, 6, true, false, "[] [a]"},
			{2, 3, true, true, "[a] [a]"},
			{1, 9, false, false, "[a] [a]"},
		} {
			change := ZoneChange{Zone: "a", Evacuated: c.begin, Version: kv.NewVersion(c.era, c.revision)}
			if news := w.ApplyChanges(TargetChanges{Zones: []ZoneChange{change}}, false); news != c.news || view.state() != c.want {
				t.Errorf("step %d: news %v, %s, want %s", i, news, view.state(), c.want)
			}
			if leaves := w.NewTargetChanges(ToLeaves).Zones; (len(leaves) > 0) != c.news {
				t.Errorf("step %d: passed on to leaves: %v", i, leaves)
			}
			if mesh := w.NewTargetChanges(ToMesh).Zones; len(mesh) > 0 {
				t.Errorf("step %d: passed on to the mesh: %v", i, mesh)
			}
		}
	})
}
