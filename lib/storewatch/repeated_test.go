package storewatch

import (
	"testing"
	"testing/synctest"
	"time"
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
		leaf, view := startWatcher(t, feed)
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
