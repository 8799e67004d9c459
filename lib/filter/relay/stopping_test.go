package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/stopping"
)

// stopWithin has the harness's host stop now with the given grace; admission ends after half of it.
func (r *harness) stopWithin(grace time.Duration) {
	r.stop.Begin(stopping.NewSchedule(time.Now(), grace/2, grace))
}

// Guards against closing a connection without an answer when a host stops while its request waits at a target.
func TestRequestAtATargetIsAnsweredBeforeItsHostStops(t *testing.T) {
	for path, method := range map[string]string{"/unsafe/x": "POST", "/safe/x": "GET", "/stream/x": "POST", "/resumable/x": "POST"} {
		withTargets(t, map[string]script{"near": blockUntilClosed}, func(t *testing.T, r *harness) {
			began := time.Now()
			time.AfterFunc(time.Second, func() { r.stopWithin(1200 * time.Millisecond) })
			a := r.call(method, path, "1")
			if a.status != 504 || a.err != nil || time.Since(began) > 2200*time.Millisecond {
				t.Errorf("%s: %+v, want 504 before the process is killed after 2.2 s", path, a)
			}
		})
	}
}

// Guards against a target that is told of more time than its stopping host has, and so can't reject in time what waits in its queue.
func TestTargetOfAStoppingHostIsToldTheTimeOfTheHost(t *testing.T) {
	left := ""
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		left = r.Header.Get("Left")
		return reply(200, "", "ok")(r)
	}}, func(t *testing.T, r *harness) {
		r.stopWithin(3200 * time.Millisecond)
		if a := r.call("POST", "/unsafe/x", "1"); a.status != 200 || left != "2800" {
			t.Errorf("%+v; the target was told %s ms, want 2800 of a grace of 3200", a, left)
		}
	})
}

// Guards against a stopping host that takes requests which it has to cut, or any late in the grace, and against one that refuses
// those which it can complete.
func TestStoppingHostRefusesWhatItCannotComplete(t *testing.T) {
	slow := func(r *receivedRequest) bool {
		startStream(r)
		for n := range 10 {
			time.Sleep(200 * time.Millisecond)
			chunk(r.conn, event(n+1))
		}
		fmt.Fprint(r.conn, "0\r\n\r\n")
		return true
	}
	for name, c := range map[string]struct {
		after  time.Duration // the stop began
		status int
	}{
		"time enough": {500 * time.Millisecond, 200}, "too long": {1700 * time.Millisecond, 503}, "late": {2300 * time.Millisecond, 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t, map[string]script{"near": slow})
			for i := range 3 {
				r.call("POST", "/stream/x", fmt.Sprint("before ", i))
			}
			r.stopWithin(4 * time.Second)
			time.Sleep(c.after)
			a := r.call("POST", "/stream/x", "1")
			refused := strings.Contains(a.body, `"not_run"`) && a.retryAfter == "" && a.took < 10*time.Millisecond
			if a.status != c.status || a.err != nil || (a.status == 503) != refused {
				t.Errorf("%s: %+v, want %d", name, a, c.status)
			}
		})
	}
}

// Guards against a stalled stream that a stopping host hands over to another target without time for it.
func TestStoppingHostHandsOverNoStreamTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		grace    time.Duration
		requests string
	}{
		"late": {1130 * time.Millisecond, "near 1"}, "in time": {6 * time.Second, "near 1, far 1"},
	} {
		withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(1))
			return blockUntilClosed(r)
		}, "far": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(2))
			fmt.Fprint(r.conn, "0\r\n\r\n")
			return true
		}}, func(t *testing.T, r *harness) {
			r.stopWithin(c.grace)
			if r.call("POST", "/resumable/x", "1"); r.requests() != c.requests {
				t.Errorf("%s: %s, want %s", name, r.requests(), c.requests)
			}
		})
	}
}
