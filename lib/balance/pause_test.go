package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/registry"
)

var plainQuery = Query{Service: "plain", Call: &passthrough.Call{}}

// pickAll picks until an error, and returns the choices and the error.
func pickAll(b *Balancer, q Query, at time.Time) (out []*Choice, err error) {
	for range 1000 {
		c, err := b.Pick(q, at)
		if err != nil {
			return out, err
		}
		out = append(out, c)
	}
	return out, nil
}

func TestTargetInAPauseGetsNothingAndThenOneRequest(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(plainTargets(1))
	id := plainTargets(1)[0].ID
	if _, changed := b.Pause(id, 0, time.Second, now); !changed {
		t.Fatal("the pause is not news")
	}
	if _, changed := b.Pause(id, 0, 300*time.Millisecond, now); changed {
		t.Error("a shorter statement changes the pause")
	}
	for _, after := range []time.Duration{0, time.Millisecond, 999 * time.Millisecond} {
		var paused *PausedError
		if got, err := pickAll(b, plainQuery, now.Add(after)); len(got) > 0 || !errors.As(err, &paused) || paused.Until != now.Add(time.Second) {
			t.Errorf("after %v: %d requests, %v", after, len(got), err)
		}
	}
	at := now.Add(time.Second)
	total := 0
	for _, want := range []int{1, 2, 4, 8} {
		got, err := pickAll(b, plainQuery, at)
		if len(got) != want || !errors.Is(err, ErrBusy) {
			t.Fatalf("%d requests at once, then %v; want %d and ErrBusy", len(got), err, want)
		}
		if total += want; total > 8 {
			break
		}
		at = at.Add(returnWindow)
		for _, c := range got {
			c.Answered(false, at)
		}
	}
}

func TestFailedReturnFromAPauseLetsNoMoreIn(t *testing.T) {
	for name, end := range map[string]func(c *Choice, at time.Time){
		"turned away": (*Choice).Rejected, "broken": (*Choice).ConnectionBroken, "refused": (*Choice).Refused,
		"abandoned": func(c *Choice, _ time.Time) { c.Abandoned() },
	} {
		b := newBalancer("a")
		b.SetTargets(plainTargets(1))
		b.Pause(plainTargets(1)[0].ID, 0, time.Second, now)
		for i := range 3 {
			at := now.Add(time.Second + time.Duration(i)*returnWindow)
			got, _ := pickAll(b, plainQuery, at)
			if len(got) != 1 {
				t.Errorf("%s: %d requests in try %d", name, len(got), i)
			}
			for _, c := range got {
				end(c, at)
			}
		}
	}
}

func TestStatedPausesAreBounded(t *testing.T) {
	for d, want := range map[time.Duration]time.Duration{
		-1: 0, 0: 0, time.Millisecond: time.Millisecond, maxPause: maxPause, 24 * time.Hour: maxPause, 1<<63 - 1: maxPause,
	} {
		b := newBalancer("a")
		b.SetTargets(plainTargets(1))
		until, changed := b.Pause(plainTargets(1)[0].ID, 0, d, now)
		if changed != (want > 0) || want > 0 && until.Sub(now) != want || b.Paused(plainTargets(1)[0].ID, now) != (want > 0) {
			t.Errorf("%v: until %v, changed %v; want a pause of %v", d, until, changed, want)
		}
	}
}

func TestPauseBindsOneIncarnation(t *testing.T) {
	b := newBalancer("a")
	target := &registry.Target{ID: "x", Service: "plain", Slots: 6, Started: 1}
	b.SetTargets([]*registry.Target{target})
	b.Pause("x", 1, time.Minute, now)
	again := *target
	again.Started = 2
	b.SetTargets([]*registry.Target{&again})
	b.Pause("x", 1, time.Minute, now) // late answer of the start before
	pick(t, b, plainQuery)
}

func TestAllTargetsInAPauseStateTheEarliestEnd(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(engines(3, registry.ResidentModel{Model: "m"}))
	q := Query{Service: "llm", Call: sharedPrefixCall("p"), Tried: []string{"t01"}}
	b.Pause("t00", 0, 3*time.Second, now)
	b.Pause("t01", 0, time.Second, now)
	if c := pick(t, b, q); c.Target.ID != "t02" {
		t.Errorf("%s was picked", c.Target.ID)
	}
	b.Pause("t02", 0, 2*time.Second, now)
	var paused *PausedError
	if _, err := b.Pick(q, now); !errors.As(err, &paused) || paused.Until != now.Add(time.Second) {
		t.Errorf("%v, want the end of the pause of the target that was tried", err)
	}
	q.Call = &passthrough.Call{Model: "other"}
	if _, err := b.Pick(q, now); !errors.Is(err, ErrNoModel) {
		t.Errorf("%v for a model that no target has", err)
	}
}

func TestPauseAndLimitOverlap(t *testing.T) {
	rates := wantedRates{}
	b := New("a", nil, rates, rand.New(rand.NewPCG(1, 1)))
	b.SetTargets(plainTargets(2))
	ids := []string{plainTargets(2)[0].ID, plainTargets(2)[1].ID}
	b.Pause(ids[0], 0, time.Second, now)
	q := plainQuery
	q.Wanted = map[string]bool{}
	if _, err := b.Pick(q, now); !errors.Is(err, ErrPaced) || rates[ids[0]] != 0 {
		t.Errorf("%v, demand %v; want to wait for the target with a limit, and none counted in the pause", err, rates)
	}
	b.Pause(ids[1], 0, time.Second, now)
	if _, err := b.Pick(q, now); !errors.Is(err, ErrPaused) {
		t.Errorf("%v, want ErrPaused", err)
	}
	if _, err := b.Pick(q, now.Add(time.Second)); !errors.Is(err, ErrPaced) {
		t.Errorf("%v after the pause, want the limit to hold", err)
	}
}

// The hosts have any number of requests that wait, and a request takes 30 ms.
func TestHostsReturnTogetherWithinTheTargetsSlots(t *testing.T) {
	const service = 30 * time.Millisecond
	for _, c := range []struct{ hosts, slots int }{{7, 6}, {7, 64}, {60, 64}, {195, 64}, {195, 48}} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(c, seed), func(t *testing.T) {
				var all []*Balancer
				for i := range c.hosts {
					b := New("a", nil, nil, rand.New(rand.NewPCG(seed, uint64(i))))
					b.SetHosts(c.hosts)
					b.SetTargets([]*registry.Target{{ID: "x", Service: "plain", Zone: "a", Slots: c.slots}})
					b.Pause("x", 0, 2*time.Second, now)
					all = append(all, b)
				}
				var first time.Time
				arrived := 0
				ends := map[time.Time][]*Choice{}
				for at := now.Add(1900 * time.Millisecond); first.IsZero() || at.Sub(first) < returnWindow; at = at.Add(time.Millisecond) {
					for _, choice := range ends[at] {
						choice.Answered(false, at)
					}
					for _, b := range all {
						got, _ := pickAll(b, plainQuery, at)
						if len(got) > 0 && first.IsZero() {
							if first = at; at.Before(now.Add(2 * time.Second)) {
								t.Fatal("a request in the pause")
							}
						}
						arrived += len(got)
						ends[at.Add(service)] = append(ends[at.Add(service)], got...)
					}
				}
				if arrived > c.slots {
					t.Errorf("%d requests of %d hosts in the first %v at %d slots", arrived, c.hosts, returnWindow, c.slots)
				}
			})
		}
	}
}

// Guards against requests during a pause to a target whose entry vanished and came back.
func TestPauseOutlivesTheEntryOfItsTarget(t *testing.T) {
	b := newBalancer("a")
	list := plainTargets(1)
	b.SetTargets(list)
	b.Pause(list[0].ID, list[0].Started, time.Second, now)
	b.SetTargets(nil)
	b.SetTargets(list)
	if _, err := b.Pick(plainQuery, now.Add(time.Millisecond)); !errors.Is(err, ErrPaused) {
		t.Errorf("a request in the pause: %v", err)
	}
	b.SetTargets(nil)
	restarted := *list[0]
	restarted.Started++
	b.SetTargets([]*registry.Target{&restarted})
	if _, err := b.Pick(plainQuery, now.Add(time.Millisecond)); err != nil {
		t.Errorf("a request to the target after its restart: %v", err)
	}
}
