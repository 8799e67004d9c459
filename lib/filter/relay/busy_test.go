package relay

import (
	"fmt"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
)

// after returns a script that answers after a time.
func after(d time.Duration, s script) script {
	return func(r *receivedRequest) bool {
		time.Sleep(d)
		return s(r)
	}
}

// crowd has a peer report that the targets are full, from shortly after now on. With progress, their load falls and rises with each
// report, as it does where requests end.
func (r *harness) crowd(progress bool, targets ...string) {
	for i := range 40 {
		time.AfterFunc(time.Duration(i+1)*200*time.Millisecond, func() {
			loads := map[string]balance.Load{}
			for _, id := range targets {
				loads[id] = balance.Load{Running: 12}
				if progress {
					loads[id] = balance.Load{Running: 12 + i%2}
				}
			}
			r.balancer.SetPeerLoads("peer", loads)
		})
	}
}

// Guards against a request that is given up at a busy target, and then ends without the answer that it would have got.
func TestRequestAtABusyTargetIsAnswered(t *testing.T) {
	late := after(4*time.Second, reply(200, "", "ok"))
	for name, c := range map[string]struct {
		scripts  map[string]script
		busy     []string
		noCredit bool
		requests string
	}{
		"all targets are full":                 {map[string]script{"near": late, "far": late}, []string{"near", "far"}, false, "near 1"},
		"another target is free":               {map[string]script{"near": late, "far": late}, []string{"near"}, false, "near 1"},
		"no credit for repeats":                {map[string]script{"near": late, "far": late}, nil, true, "near 1"},
		"the only target":                      {map[string]script{"near": late}, nil, false, "near 1"},
		"the last attempt that may be made":    {map[string]script{"near": closeWithoutAnswer, "far": late}, nil, false, "near 1, far 1"},
		"the next target is full":              {map[string]script{"near": late, "far": late}, []string{"far"}, false, "near 1"},
		"the next target cannot be reached":    {map[string]script{"near": late, "far": nil}, []string{"near"}, false, "near 1"},
		"the last attempt, after a silent one": {map[string]script{"near": blockUntilClosed, "far": after(3*time.Second, reply(200, "", "ok"))}, nil, false, "near 1, far 1"},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, c.scripts, func(t *testing.T, r *harness) {
				if c.noCredit {
					r.retries.SetHosts(1000)
				}
				r.crowd(true, c.busy...)
				if a := r.call("GET", "/safe/x", "1"); a.status != 200 || a.body != "ok" || r.requests() != c.requests {
					t.Errorf("%+v after %s, want %s", a, r.requests(), c.requests)
				}
			})
		})
	}
}

// Guards against a stream that is handed over because it waits in the queue of a busy target.
func TestStreamThatWaitsAtABusyTargetStaysThere(t *testing.T) {
	begins := func(r *receivedRequest) bool {
		startStream(r)
		time.Sleep(3500 * time.Millisecond)
		chunk(r.conn, event(1))
		_, err := fmt.Fprint(r.conn, "0\r\n\r\n")
		return err == nil
	}
	withTargets(t, map[string]script{"near": begins, "far": begins}, func(t *testing.T, r *harness) {
		r.crowd(true, "near")
		if a := r.call("POST", "/resumable/x", "1"); a.body != event(1) || a.err != nil || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against requests that wait until their deadline at a target that went dark or froze while it was full.
func TestSilentTargetIsLeftAlsoIfItIsFull(t *testing.T) {
	for name, prepare := range map[string]func(*harness){
		"no progress at other hosts": func(r *harness) { r.crowd(false, "near") },
		"others suspect it": func(r *harness) {
			r.crowd(true, "near")
			r.balancer.SetSuspects("peer", map[string]int{"near": 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": blockUntilClosed, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
				prepare(r)
				if a := r.call("GET", "/safe/x", "1"); a.status != 200 || a.took > 4*time.Second {
					t.Errorf("%+v after %s", a, r.requests())
				}
			})
		})
	}
}

// Guards against a target that no request avoids although it is silent, as there was no credit to repeat those that wait there.
func TestSilentTargetIsAvoidedWithoutCreditForRepeats(t *testing.T) {
	withTargets(t, map[string]script{"near": blockUntilClosed, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		r.retries.SetHosts(1000)
		go r.call("GET", "/safe/x", "1")
		time.Sleep(silenceFactor*objective + 100*time.Millisecond)
		if a := r.call("GET", "/safe/x", "2"); a.status != 200 || a.took > objective {
			t.Errorf("%+v after %s", a, r.requests())
		}
		time.Sleep(timeout)
	})
}

// Guards against a reserved target that counts the request for ever, and a retry that stays charged without being sent.
func TestReservedTargetIsReleased(t *testing.T) {
	withTargets(t, map[string]script{"near": blockUntilClosed, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		for i := range 3 {
			r.call("GET", "/safe/x", fmt.Sprint(i))
		}
		time.Sleep(time.Second)
		if load := r.balancer.LocalLoads(time.Now()); len(load) > 0 {
			t.Errorf("%+v after %s", load, r.requests())
		}
	})
}
