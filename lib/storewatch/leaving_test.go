package storewatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/registry"
)

func TestTargetThatSaidItLeavesIsLeftByAllHosts(t *testing.T) {
	for _, hosts := range []int{7, 200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLeavingNews(t, hosts) })
		})
	}
}

// testLeavingNews has one of the hosts learn from an answer that a target leaves. Half of what hosts send to each other is lost,
// and the rest arrives in any order. No host reaches the store.
func testLeavingNews(t *testing.T, hosts int) {
	random := rand.New(rand.NewPCG(7, uint64(hosts)))
	ready := func(started, beat int64) TargetChanges {
		return TargetChanges{Arrivals: []*registry.Target{{ID: "a", Started: started, Beat: beat, Revision: 100*started + beat}}}
	}
	var all []*Watcher
	var views []*recorder
	for range hosts {
		feed := newFakeFeed()
		w, view := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.down = true })
		feed.cutWatches()
		w.ApplyChanges(ready(5, 1), false)
		all, views = append(all, w), append(views, view)
	}
	if !all[0].TargetLeaving("a", 5) || all[0].TargetLeaving("a", 5) {
		t.Error("the first statement is not news, or the second one is")
	}
	type message struct {
		to      int
		changes TargetChanges
	}
	var late []message
	for range 12 {
		var sent []message
		for i, w := range all {
			for to := range all {
				if c := w.TargetChanges(); to != i && random.IntN(max(1, hosts/7)) == 0 && random.IntN(2) == 0 {
					sent = append(sent, message{to, c})
				}
			}
		}
		sent = append(late, sent...)
		random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		half := len(sent) / 2
		for _, m := range sent[:half] {
			all[m.to].ApplyChanges(m.changes, false)
			all[m.to].ApplyChanges(ready(5, 2), false)
		}
		late = slices.Clone(sent[half:])
	}
	for i, v := range views {
		if state, ok := v.targetState("a"); !ok || state != registry.Draining {
			t.Errorf("host %d: %v, known %v", i, state, ok)
		}
		all[i].ApplyChanges(ready(6, 1), false)
		for _, m := range late[:min(3, len(late))] {
			all[i].ApplyChanges(m.changes, false)
		}
		if state, ok := v.targetState("a"); !ok || state != registry.Ready {
			t.Errorf("host %d after the target started again: %v, known %v", i, state, ok)
		}
	}
}

// Guards against a target that stays listed for ever: it said that it leaves, and the restored store has lost its entry.
func TestLeavingTargetThatARestoredStoreHasLostIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/stays", "ready")
		lost := &registry.Target{ID: "lost", Started: 5, Beat: 1, Revision: int64(kv.NewVersion(0, 2))}
		feed.restore(0)
		w, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		w.ApplyChanges(TargetChanges{
			Departures: []registry.Departure{{ID: "lost", Started: 5, Stated: true}}, Arrivals: []*registry.Target{lost},
		}, false)
		for range 20 { // the watch is never idle, so that no full read follows
			feed.put("targets/stays", "ready")
			time.Sleep(300 * time.Millisecond)
		}
		if state, ok := s.targetState("lost"); ok {
			t.Errorf("the target is listed as %v", state)
		}
	})
}
