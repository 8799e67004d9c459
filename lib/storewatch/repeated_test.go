package storewatch

import (
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

// Guards against leaves that go on using a target whose entry was removed again soon after it had come back, and against leaves that
// never use it again: their aggregator takes the second change for a repetition of the first.
func TestRepeatedChangesOfATargetReachLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		poller, _ := startWatcher(t, feed)
		aggregator, _ := startWatcher(t, newFakeFeed())
		leaf, view := startWatcher(t, newFakeFeed())
		time.Sleep(2 * time.Second)
		for round := range 3 {
			for _, present := range []bool{true, false} {
				if present {
					feed.put("targets/a", "ready")
				} else {
					feed.remove("targets/a")
				}
				time.Sleep(time.Second)
				aggregator.ApplyChanges(poller.NewTargetChanges(ToMesh), false)
				leaf.ApplyChanges(aggregator.NewTargetChanges(ToLeaves), false)
				if _, ok := view.targetState("a"); ok != present {
					t.Errorf("round %d: the leaf uses the target %v, want %v", round, ok, present)
				}
			}
		}
	})
}

// Guards against a leaf that goes on using a target that it has read from the store itself: its aggregator has missed that the target
// was back, and takes the second removal for a repetition of the first.
func TestRemovalOfATargetUnknownToTheAggregatorReachesLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		poller, _ := startWatcher(t, feed)
		aggregator, _ := startWatcher(t, newFakeFeed())
		time.Sleep(2 * time.Second)
		announce := func(change func()) TargetChanges {
			change()
			time.Sleep(time.Second)
			return poller.NewTargetChanges(ToMesh)
		}
		remove := func() { feed.remove("targets/a") }
		put := func() { feed.put("targets/a", "ready") }
		aggregator.ApplyChanges(announce(put), false)
		aggregator.ApplyChanges(announce(remove), false)
		aggregator.NewTargetChanges(ToLeaves)
		announce(put) // is lost
		leaf, view := startWatcherWith(t, feed, func(w *Watcher) { w.pollPhase = 0 })
		synctest.Wait()
		leaf.SetPolling(Polling{Interval: time.Minute})
		feed.put("targets/b", "ready") // ends the leaf's watch
		time.Sleep(time.Second)
		aggregator.ApplyChanges(announce(remove), false)
		leaf.ApplyChanges(aggregator.NewTargetChanges(ToLeaves), false)
		if _, ok := view.targetState("a"); ok {
			t.Error("the leaf uses the target")
		}
	})
}

// Guards against an outdated removal that is passed on by a host that has read a later entry, and against a host that is not told of that
// entry.
func TestOutdatedRemovalIsAnsweredByTheLaterEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		aggregator, s := startWatcher(t, feed)
		leaf, view := startWatcher(t, newFakeFeed())
		time.Sleep(2 * time.Second)
		leaf.ApplyChanges(TargetChanges{Arrivals: []*registry.Target{{ID: "a", Revision: 1, Created: 1}}}, false)
		feed.put("targets/b", "ready")
		feed.put("targets/a", "ready")
		time.Sleep(time.Second)
		aggregator.NewTargetChanges(ToLeaves)
		removal := TargetChanges{Departures: []registry.Departure{{ID: "a", Removed: true, Revision: 2, Created: 1}}}
		leaf.ApplyChanges(removal, false)
		for range 2 {
			aggregator.ApplyChanges(removal, true)
		}
		if _, ok := s.targetState("a"); !ok {
			t.Error("dropped by an outdated removal")
		}
		toLeaves := aggregator.NewTargetChanges(ToLeaves)
		if len(toLeaves.Departures) > 0 {
			t.Errorf("the removal is passed on: %+v", toLeaves)
		}
		leaf.ApplyChanges(toLeaves, false)
		if _, ok := view.targetState("a"); !ok {
			t.Error("the leaf does not use the target")
		}
		if again := aggregator.ApplyChanges(removal, true); again {
			t.Error("the entry is announced for each repetition of the removal")
		}
	})
}
