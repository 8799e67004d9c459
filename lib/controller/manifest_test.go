package controller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/confview/viewtest"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
)

// Guards against slots that stay with dead hosts, an uneven distribution, and moves of slots whose owner is still live.
func TestAssignSlotsBalancesWithFewestMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching("g[0-9]{2}"), 1, 20, rapid.ID).Draw(t, "hosts")
		before := assignSlots(nil, hosts)
		live := hosts[:rapid.IntRange(1, len(hosts)).Draw(t, "live")]
		after := assignSlots(before, live)
		count := map[string]int{}
		moved, dead := 0, 0
		for i, o := range after {
			count[o]++
			if o != before[i] {
				moved++
			}
			if !slices.Contains(live, before[i]) {
				dead++
			}
		}
		for _, h := range live {
			if n := manifest.SlotCount / len(live); count[h] < n || count[h] > n+1 {
				t.Fatalf("%s owns %d of %d slots among %d hosts", h, count[h], manifest.SlotCount, len(live))
			}
		}
		if moved != dead {
			t.Fatalf("%d slots moved, but %d had a dead owner", moved, dead)
		}
		if grown := assignSlots(after, hosts); !slices.Equal(grown, assignSlots(grown, hosts)) {
			t.Fatal("the owners of slots change without a change of hosts")
		}
	})
}

// Guards against a change of the witness list after which two majorities may have no common witness: each step may add
// or remove only one host.
func TestWitnessesChangeOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := map[string]hostlist.Host{}
		var witnesses []string
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("g%d", rapid.IntRange(0, 11).Draw(t, "host"))
			if _, ok := listed[id]; ok && rapid.Bool().Draw(t, "remove") {
				delete(listed, id)
			} else {
				listed[id] = hostlist.Host{ID: id, Zone: id[len(id)-1:], Leaving: rapid.Bool().Draw(t, "leaving")}
			}
			next := nextWitnesses(witnesses, listed, func(string) bool { return true })
			if d := len(next) - len(witnesses); d < -1 || d > 1 {
				t.Fatalf("witnesses %v became %v, want one added or removed at most", witnesses, next)
			}
			if common := intersect(witnesses, next); len(common) != min(len(witnesses), len(next)) {
				t.Fatalf("witnesses %v became %v, want one added or removed at most", witnesses, next)
			}
			witnesses = next
		}
	})
}

// Guards against the removal of a live witness before one that is gone, after which no majority may be left.
func TestGoneWitnessesLeaveFirst(t *testing.T) {
	listed := map[string]hostlist.Host{
		"live-1": {ID: "live-1", Zone: "z", Leaving: true}, "live-2": {ID: "live-2", Zone: "z"},
	}
	got := nextWitnesses([]string{"live-1", "live-2", "gone"}, listed, func(string) bool { return true })
	if !slices.Equal(got, []string{"live-1", "live-2"}) {
		t.Errorf("witnesses %v, want the one that is gone removed first", got)
	}
}

func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(x string) bool { return !slices.Contains(b, x) })
}

// Guards against slots that move while a gateway restarts or has just started: an owner keeps its slots until it has not
// been seen for five seconds, and a new gateway gets none before it has been seen for as long.
func TestRestartingGatewayMovesNoSlots(t *testing.T) {
	start := time.Unix(1000, 0)
	a := &slotAssigner{startedAt: start, firstSeen: map[string]time.Time{}, lastSeen: map[string]time.Time{}}
	owners := []string{"a", "b"}
	seen := func(at time.Duration, ids ...string) []string {
		var members []confview.Member
		for _, id := range ids {
			members = append(members, confview.Member{ID: id, Role: roleGateway})
		}
		a.recordMembers(start.Add(at), members)
		return a.eligibleGateways(start.Add(at), owners, map[string]hostlist.Host{})
	}
	for _, c := range []struct {
		at   time.Duration
		ids  []string
		want []string
	}{
		{time.Second, []string{"a", "c"}, []string{"a", "b"}},               // b was not seen by this controller yet
		{4 * time.Second, []string{"a", "c"}, []string{"a", "b"}},           // c is new
		{5 * time.Second, []string{"a", "c"}, []string{"a"}},                // b is gone
		{6 * time.Second, []string{"a", "b", "c"}, []string{"a", "b", "c"}}, // b is back, c was seen for 5 s
	} {
		if got := seen(c.at, c.ids...); !slices.Equal(got, c.want) {
			t.Errorf("after %v: %v, want %v", c.at, got, c.want)
		}
	}
}

type alwaysValidLease struct{}

func (alwaysValidLease) Held() (int64, bool) { return 1, true }

func (alwaysValidLease) Campaign(context.Context) (int64, <-chan struct{}, error) { return 1, nil, nil }

func (alwaysValidLease) Resign(context.Context) error { return nil }

type countingCompactor struct{ calls int }

func (c *countingCompactor) Compact(context.Context) error { c.calls++; return nil }

// Guards against compaction that runs only when a snapshot is due. The keys that the last snapshot made obsolete would
// then be deleted only 1,024 tickets later, instead of after 10 minutes.
func TestCompactionIsPeriodic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countingCompactor{}
		view := viewtest.New(&confview.Snapshot{Manifest: manifest.Initial()})
		tm := &term{Controller: &Controller{deps: Deps{View: view, Lease: alwaysValidLease{}, Compactor: c}}, epoch: 1}
		a := &slotAssigner{startedAt: time.Now(), firstSeen: map[string]time.Time{}, lastSeen: map[string]time.Time{}}
		for range 10 * 60 {
			if err := tm.checkManifest(t.Context(), a); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // virtual
		}
		if c.calls != 10 {
			t.Errorf("%d calls in ten minutes, want one a minute", c.calls)
		}
	})
}
