package relay

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/stopping"
)

// fakePlacement is a controller that has a model or an adapter loaded at the target "a" at a set time.
type fakePlacement struct {
	harness  *harness
	began    time.Time
	noticed  time.Duration // when the load is known, after the start; zero: never
	expected time.Duration // when it is expected to be done
	reaction time.Duration
	busy     time.Duration // until then the targets load no adapter

	mu    sync.Mutex
	asked int // calls of Ensure
}

func (p *fakePlacement) Ensure(context.Context, string, string, string) error {
	p.mu.Lock()
	p.asked++
	p.mu.Unlock()
	if time.Since(p.began) < p.busy {
		return errors.New("targets are busy")
	}
	p.load("a1")
	return nil
}

func (p *fakePlacement) ExpectedModel(_, _ string, now time.Time) (time.Time, bool) {
	switch {
	case p.reaction == 0:
		return time.Time{}, false
	case p.noticed > 0 && now.Sub(p.began) >= p.noticed:
		return p.began.Add(p.expected), true
	default:
		return now.Add(p.reaction + time.Second), false
	}
}

func (p *fakePlacement) Reaction() time.Duration { return p.reaction }

// load loads the model m, with adapters, at the target.
func (p *fakePlacement) load(adapters ...string) {
	p.harness.balancer.SetTargets([]*registry.Target{{
		ID: "a", Addr: "a", Service: "s", Zone: "z", Slots: 6, Models: []registry.ResidentModel{{Model: "m", Adapters: adapters}},
	}})
}

// callModel sends a request for the model to a harness with the placement. The model is ready after the time ready, or never
// if that is zero.
func callModel(t *testing.T, p *fakePlacement, header string, ready time.Duration, check func(answer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p.harness = newHarnessWith(t, map[string]script{"a": reply(200, "", "ok")}, p)
		p.began = time.Now()
		if ready > 0 {
			time.AfterFunc(ready, func() { p.load() })
		}
		check(p.harness.callWith("POST", "/unsafe/x", "1", "Model: m\r\n"+header))
	})
}

// Guards against refusing requests for a model that is loaded in time: the caller would come back at a bad moment, or not at
// all.
func TestRequestWaitsForModelThatComesInTime(t *testing.T) {
	for name, p := range map[string]*fakePlacement{
		"known to be loading": {noticed: time.Nanosecond, expected: 3 * time.Second, reaction: 300 * time.Millisecond},
		"noticed meanwhile":   {noticed: 250 * time.Millisecond, expected: 3 * time.Second, reaction: 300 * time.Millisecond},
		"late":                {noticed: time.Nanosecond, expected: 2 * time.Second, reaction: 300 * time.Millisecond},
	} {
		callModel(t, p, "", 3*time.Second, func(a answer) {
			if a.status != 200 || a.took < 3*time.Second || a.took > 3200*time.Millisecond {
				t.Errorf("%s: %d after %v, the model was ready after 3 s", name, a.status, a.took)
			}
		})
	}
}

// Guards against holding a request until its deadline although it is known that its model comes too late or not at all, and
// against a Retry-After that does not tell when the model is expected.
func TestRequestIsRefusedOnceItsModelCannotComeInTime(t *testing.T) {
	for name, c := range map[string]struct {
		p          *fakePlacement
		within     time.Duration
		retryAfter float64 // seconds, at least; a third of the time that is left is the most
	}{
		"comes too late":    {&fakePlacement{noticed: time.Nanosecond, expected: 5 * time.Second, reaction: 300 * time.Millisecond}, 200 * time.Millisecond, 1.9},
		"soon but too late": {&fakePlacement{noticed: 100 * time.Millisecond, expected: 4500 * time.Millisecond, reaction: 300 * time.Millisecond}, 300 * time.Millisecond, 1.9},
		"nobody loads it":   {&fakePlacement{reaction: 300 * time.Millisecond}, 500 * time.Millisecond, 1.2},
		"no controller":     {&fakePlacement{}, 200 * time.Millisecond, 1.4},
	} {
		callModel(t, c.p, "", 0, func(a answer) {
			after, err := strconv.ParseFloat(a.retryAfter, 64)
			if a.status != 503 || a.took > c.within || err != nil || after < c.retryAfter || after > 2.1 {
				t.Errorf("%s: %d after %v, Retry-After %q, want 503 within %v and Retry-After from %v",
					name, a.status, a.took, a.retryAfter, c.within, c.retryAfter)
			}
		})
	}
}

// Guards against cutting off a request without an answer when its host stops while it waits for a model, and against refusing one whose
// model comes in time nevertheless.
func TestRequestThatWaitsIsAnsweredBeforeItsHostStops(t *testing.T) {
	for ready, want := range map[time.Duration]int{2 * time.Second: 200, 4 * time.Second: 503} {
		p := &fakePlacement{noticed: time.Nanosecond, expected: ready, reaction: 300 * time.Millisecond}
		synctest.Test(t, func(t *testing.T) {
			p.harness = newHarnessWith(t, map[string]script{"a": reply(200, "", "ok")}, p)
			p.began = time.Now()
			time.AfterFunc(ready, func() { p.load() })
			time.AfterFunc(time.Second, func() {
				p.harness.stop.Begin(stopping.NewSchedule(time.Now(), time.Second, 3200*time.Millisecond)) // cuts requests after 3 s
			})
			if a := p.harness.callWith("POST", "/unsafe/x", "1", "Model: m\r\n"); a.status != want || a.took >= 4*time.Second {
				t.Errorf("model ready after %v: %d after %v, want %d before the host stops after 4 s", ready, a.status, a.took, want)
			}
		})
	}
}

// Guards against refusing a request after one try to load its adapter while all targets of the model are busy with a load, and
// against requests that keep the controller busy with asking again.
func TestAdapterIsAskedForAgainWhileTargetsAreBusy(t *testing.T) {
	p := &fakePlacement{reaction: 300 * time.Millisecond, busy: 1500 * time.Millisecond}
	callModel(t, p, "Adapter: a1\r\n", time.Nanosecond, func(a answer) {
		if a.status != 200 || a.took > 2*time.Second {
			t.Errorf("%d after %v, the target was busy for 1.5 s", a.status, a.took)
		}
		if p.asked > 12 {
			t.Errorf("asked %d times in 1.5 s", p.asked)
		}
	})
	p = &fakePlacement{reaction: 300 * time.Millisecond, busy: time.Hour}
	callModel(t, p, "Adapter: a1\r\n", time.Nanosecond, func(a answer) {
		if a.status != 503 || a.took > timeout*8/10 {
			t.Errorf("%d after %v, want 503 before the answer would be late", a.status, a.took)
		}
		if p.asked > 10 {
			t.Errorf("asked %d times in %v, at most every 600 ms once targets are known to be busy", p.asked, a.took)
		}
	})
}

// Guards against refusing a stream that is taken up because the only target with its model has just crashed.
func TestStreamThatIsTakenUpWaitsForItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlacement{began: time.Now(), noticed: 100 * time.Millisecond, expected: time.Second, reaction: 300 * time.Millisecond}
		p.harness = newHarnessWith(t, map[string]script{"a": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(3))
			chunk(r.conn, "")
			return true
		}, "b": nil}, p)
		model := []registry.ResidentModel{{Model: "m"}}
		p.harness.balancer.SetTargets([]*registry.Target{
			{ID: "a", Addr: "a", Service: "s", Zone: "z", Slots: 6}, {ID: "b", Addr: "b", Service: "s", Zone: "z", Slots: 6, Models: model},
		})
		time.AfterFunc(time.Second, func() { p.load() })
		if a := p.harness.callWith("POST", "/resumable/x", "1", "Model: m\r\nLast: 2\r\n"); a.status != 200 || a.body != event(3) {
			t.Errorf("%+v", a)
		}
	})
}
