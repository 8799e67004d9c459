package storewatch

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/sleep"
)

// fail makes the store unavailable for a time, in which the entries of the targets expire.
func (f *fakeFeed) fail(d time.Duration, expire ...string) {
	f.update(func() { f.down = true })
	f.cutWatches()
	time.Sleep(d)
	for _, id := range expire {
		f.remove("targets/" + id)
	}
	f.update(func() { f.down = false })
}

// Guards against sending work for too long to a target whose entry is removed after a call of the store has failed although the store was
// available.
func TestRemovalAfterAFailedCallIsDetectedInTime(t *testing.T) {
	refused := errors.New("status 503")
	for name, failing := range map[string][]error{
		"watch ended":                         nil,
		"watch ended, then one refused read":  {refused},
		"watch ended, then calls too many":    {kv.ErrRateLimited, kv.ErrRateLimited},
		"watch ended, then the address moved": {kv.ErrMoved},
	} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", name, pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					feed := newFakeFeed()
					feed.put("targets/a", "ready")
					_, s := startWatcher(t, feed)
					time.Sleep(5 * time.Second)
					feed.update(func() { feed.failing = failing })
					feed.cutWatches()
					time.Sleep(pause)
					feed.remove("targets/a")
					time.Sleep(drainDeadline)
					if _, ok := s.targetState("a"); ok {
						t.Errorf("the target is in use %v after its removal", drainDeadline)
					}
				})
			})
		}
	}
}

// Guards against a target that is dropped as soon as the store is back from a second outage, before it could write its entry again, and
// against one that is kept after that time.
func TestEntriesExpiredInTwoOutagesAreKeptForGracePeriod(t *testing.T) {
	for _, outage := range []time.Duration{heartbeat / 2, 3 * heartbeat} {
		synctest.Test(t, func(t *testing.T) {
			feed := newFakeFeed()
			feed.put("targets/a", "ready")
			_, s := startWatcher(t, feed)
			time.Sleep(5 * time.Second)
			feed.fail(3*heartbeat, "a")
			time.Sleep(1500 * time.Millisecond)
			feed.fail(outage)
			time.Sleep(1500 * time.Millisecond)
			if _, ok := s.targetState("a"); !ok {
				t.Errorf("dropped 1.5 s after the second outage of %v", outage)
			}
			time.Sleep(2 * time.Second)
			if _, ok := s.targetState("a"); ok {
				t.Errorf("in use 3.5 s after the second outage of %v", outage)
			}
		})
	}
}

// Guards against sending work for too long to a target that leaves soon after an outage in which its entry did not expire.
func TestTargetThatWritesAfterAnOutageAndLeavesIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		_, s := startWatcher(t, feed)
		time.Sleep(5 * time.Second)
		feed.fail(10 * time.Second)
		time.Sleep(maxRetryDelay)
		feed.put("targets/a", "ready")
		time.Sleep(100 * time.Millisecond)
		feed.remove("targets/a")
		time.Sleep(time.Second)
		if _, ok := s.targetState("a"); ok {
			t.Error("the target is in use a second after its removal")
		}
	})
}

// Guards against a failed call that is taken for an outage, and an outage that is taken for a failed call.
func TestOutagesThatMayCostEntries(t *testing.T) {
	const tick = heartbeat / 12
	for name, c := range map[string]struct {
		calls string // one a tick: . sign of the store, x failed call, - no call
		want  int    // ticks after the last call at which entries may still return, rounded down
	}{
		"no failure":                         {"..........", 0},
		"no call for long":                   {".-------------------.", 0},
		"one failed call":                    {"....x.....", 0},
		"failures shorter than a heartbeat":  {"....xxxxxxxxxx.", 0},
		"outage":                             {"....xxxxxxxxxxxxxxx.", 22},
		"outage that no call met but one":    {".--------------x.", 22},
		"outage some time ago":               {"....xxxxxxxxxxxxxxx.--------------------------.", 0},
		"outage a moment ago":                {"....xxxxxxxxxxxxxxx.----.", 17},
		"flapping":                           {"....xxxxx.xxxxx.xxxxx.", 22},
		"failures apart from each other":     {"..xxxxxxxx..............xxxxxxxx.", 0},
		"failure while entries return":       {"....xxxxxxxxxxxxxxx.----------------x.", 22},
		"first failure after entries return": {"....xxxxxxxxxxxxxxx........................x.", 0},
	} {
		o, now := outages{heartbeat: heartbeat}, time.Unix(1000, 0)
		for _, call := range c.calls {
			now = now.Add(tick)
			switch call {
			case '.':
				o.sign(now)
			case 'x':
				o.fail(now)
			}
		}
		if got := int(max(0, o.returnBy.Sub(now)) / tick); got != c.want {
			t.Errorf("%s: entries may return for %d ticks, want %d", name, got, c.want)
		}
	}
}

// Guards against leaves that go on using a target whose entry did not return after an outage: their aggregator drops it and tells nobody.
func TestTargetThatDoesNotReturnAfterAnOutageIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		announced := make(chan TargetChanges, 10)
		_, s := startWatcherWith(t, feed, func(w *Watcher) {
			w.handlers.Announce = func() { announced <- w.NewTargetChanges(ToLeaves) }
		})
		time.Sleep(5 * time.Second)
		feed.fail(3*heartbeat, "a")
		time.Sleep(returnTime + 2*maxRetryDelay)
		if _, ok := s.targetState("a"); ok {
			t.Fatal("the host uses the target")
		}
		select {
		case c := <-announced:
			if len(c.Departures) != 1 || c.Departures[0].ID != "a" || !c.Departures[0].Removed {
				t.Errorf("announced %+v, want the departure of a", c)
			}
		default:
			t.Error("the departure is not announced")
		}
	})
}

// Guards against a target that is dropped though its entry is back: a host that polls rarely has not read the store since. What did not
// return is dropped.
func TestHostThatPollsRarelyKeepsTargetsThatReturned(t *testing.T) {
	for name, busy := range map[string]bool{"quiet store": false, "busy store": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := newFakeFeed()
				for _, id := range []string{"a", "b", "c"} {
					feed.put("targets/"+id, "ready")
				}
				_, s := startWatcherWith(t, feed, func(w *Watcher) {
					w.SetPolling(Polling{Interval: time.Minute})
					w.pollPhase = 0
				})
				time.Sleep(5 * time.Second)
				feed.fail(3*heartbeat, "a", "b", "c")
				if busy {
					go func() {
						for sleep.For(t.Context(), 100*time.Millisecond) {
							feed.put("targets/other", "ready")
						}
					}()
				}
				time.Sleep(maxRetryDelay)
				feed.put("targets/b", "ready") // answers the watch; the next one would follow in a minute
				time.Sleep(500 * time.Millisecond)
				feed.put("targets/a", "ready")
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					if _, ok := s.targetState("a"); !ok {
						t.Fatal("a was dropped although its entry is back")
					}
				}
				if _, ok := s.targetState("c"); ok {
					t.Error("c is still used although its entry did not come back")
				}
			})
		})
	}
}

// Guards against targets that all hosts drop because a leaf, which reads the store rarely, has made no call in the outage and takes expired
// entries for removed ones, and against a leaf that does not use them again once they are back.
func TestLeafThatMissedAnOutageDoesNotHaveTargetsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		aggregator, s := startWatcher(t, feed)
		leaf, view := startWatcherWith(t, feed, func(w *Watcher) { w.pollPhase = 0 })
		time.Sleep(5 * time.Second)
		leaf.SetPolling(Polling{Interval: time.Minute})
		feed.put("targets/a", "ready") // answers the leaf's watch; the next one would follow in a minute
		time.Sleep(time.Second)
		feed.fail(3*heartbeat, "a", "b")
		time.Sleep(maxRetryDelay)
		leaf.PollNow()
		synctest.Wait()
		if _, ok := view.targetState("a"); ok {
			t.Fatal("the leaf has not read the store")
		}
		aggregator.ApplyChanges(leaf.NewTargetChanges(ToMesh), true)
		if _, ok := s.targetState("a"); !ok {
			t.Error("dropped because a leaf says so")
		}
		feed.put("targets/a", "ready")
		time.Sleep(time.Second)
		leaf.ApplyChanges(aggregator.NewTargetChanges(ToLeaves), false)
		if _, ok := view.targetState("a"); !ok {
			t.Error("the leaf does not use a although its entry is back")
		}
		time.Sleep(returnTime + time.Second)
		if _, ok := s.targetState("b"); ok {
			t.Error("b is used although its entry did not come back")
		}
		leaf.ApplyChanges(aggregator.NewTargetChanges(ToLeaves), false)
		if _, ok := view.targetState("a"); !ok {
			t.Error("the leaf has dropped a again")
		}
	})
}
