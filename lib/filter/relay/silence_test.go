package relay

import (
	"fmt"
	"testing"
	"time"
)

// pauseInStream returns a script that streams events up to last and pauses once for as long as given.
func pauseInStream(last int, pause time.Duration) script {
	return func(r *receivedRequest) bool {
		startStream(r)
		first := 1
		if r.lastEventID != "" {
			_, _ = fmt.Sscan(r.lastEventID, &first)
			first++
		}
		for n := first; n <= last; n++ {
			chunk(r.conn, event(n))
			if n == first {
				time.Sleep(pause)
			}
		}
		_, err := fmt.Fprint(r.conn, "0\r\n\r\n")
		return err == nil
	}
}

// rejectsResumption returns a script that runs s and rejects requests to continue a stream.
func rejectsResumption(s script) script {
	return func(r *receivedRequest) bool {
		if r.lastEventID != "" {
			return notRun(r)
		}
		return s(r)
	}
}

// Guards against a stream that is ended because its sound target pauses while no other target may continue it.
func TestPauseOfATargetEndsNoStream(t *testing.T) {
	const pause = 1600 * time.Millisecond
	late := func(r *receivedRequest) bool {
		time.Sleep(3*objective + time.Second)
		return pauseInStream(4, 0)(r)
	}
	events := event(1) + event(2) + event(3) + event(4)
	for name, tc := range map[string]struct {
		scripts  map[string]script
		noCredit bool
	}{
		"the last target that may run it":   {map[string]script{"near": pauseInStream(4, pause), "far": pauseInStream(4, pause)}, false},
		"the only target, which rejects it": {map[string]script{"near": rejectsResumption(pauseInStream(4, 2*pause))}, false},
		"no credit for repeats":             {map[string]script{"near": pauseInStream(4, pause), "far": pauseInStream(4, pause)}, true},
		"the only target":                   {map[string]script{"near": pauseInStream(4, pause)}, false},
		"all others reject it":              {map[string]script{"near": pauseInStream(4, pause), "far": notRun, "far2": notRun, "far3": notRun}, false},
		"the other breaks off at once":      {map[string]script{"near": pauseInStream(4, pause), "far": closeWithoutAnswer}, false},
		"the other cannot be reached":       {map[string]script{"near": rejectsResumption(pauseInStream(4, pause)), unreachable: notRun}, false},
		"the other begins late":             {map[string]script{"near": pauseInStream(4, time.Minute), "far": late}, false},
		"the other accepts no connections":  {map[string]script{"near": pauseInStream(4, pause), "far": nil}, false},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, tc.scripts, func(t *testing.T, r *harness) {
				if tc.noCredit {
					r.retries.SetHosts(1000)
				}
				if a := r.call("POST", "/resumable/x", "1"); a.status != 200 || a.body != events || a.err != nil {
					t.Errorf("%+v after %s", a, r.requests())
				}
			})
		})
	}
}

// Guards against a stream whose end the caller misses because the target paused before it.
func TestEndOfAStreamAfterAPauseIsPassedOn(t *testing.T) {
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		startStream(r)
		chunk(r.conn, event(1))
		time.Sleep(writeTimeout + 100*time.Millisecond)
		_, err := fmt.Fprint(r.conn, "0\r\n\r\n")
		return err == nil
	}}, func(t *testing.T, r *harness) {
		if a := r.call("POST", "/stream/x", "1"); a.body != event(1) || a.err != nil {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a request that is refused because the only target that can serve it answers to no new connection for a second.
func TestTargetSilentForASecondLosesNoRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
		withTargets(t, map[string]script{"near": pauseInStream(3, 0)}, func(t *testing.T, r *harness) {
			r.silentUntil = time.Now().Add(1100 * time.Millisecond)
			if a := r.call("POST", path, "1"); a.status != 200 || a.err != nil || r.requests() != "near 1" {
				t.Errorf("%s: %+v after %q", path, a, r.requests())
			}
			r.silentUntil = time.Now().Add(time.Minute)
			time.Sleep(10 * time.Second) // until no connection is idle
			if a := r.call("POST", path, "2"); a.status != 503 || a.took > silentTargetWait+objective {
				t.Errorf("%s: a dead target: %+v", path, a)
			}
		})
	}
}
