package relay

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
)

// withAdmission runs fn in virtual time with the setting admission, and with a host that sends its state as it does in a fleet.
func withAdmission(t *testing.T, scripts map[string]script, fn func(t *testing.T, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newHarnessOf(t, scripts, nil, true)
		done := make(chan struct{})
		t.Cleanup(func() { close(done) })
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
					r.balancer.LocalLoads(time.Now())
				}
			}
		}()
		fn(t, r)
	})
}

// peerLoad has a peer report the load of a target from now on.
func (r *harness) peerLoad(target string, running int) {
	r.balancer.SetPeerLoads("peer", map[string]balance.Load{target: {Running: running}})
}

// Guards against a request that is refused, or sent to a full target, although room appears before it is late.
func TestRequestWaitsForRoomAtTheHost(t *testing.T) {
	withAdmission(t, map[string]script{"near": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		r.peerLoad("near", 9)
		time.AfterFunc(300*time.Millisecond, func() { r.peerLoad("near", 2) })
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 200 || a.took < 300*time.Millisecond || a.took > 350*time.Millisecond {
			t.Errorf("%+v, want an answer once there is room after 300 ms", a)
		}
	})
}

// Guards against a request that is held although no room appears: until its caller has little time left, or without the promise that it
// has not run.
func TestRequestWithoutRoomIsRefusedInTime(t *testing.T) {
	withAdmission(t, map[string]script{"near": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		r.peerLoad("near", 200)
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 503 || !strings.Contains(a.body, `"not_run"`) || a.retryAfter == "" || r.requests() != "" {
			t.Errorf("%+v after %q", a, r.requests())
		}
		if a.took > objective {
			t.Errorf("refused after %v, the caller has %v", a.took, timeout)
		}
	})
}

// Guards against a stopping host that keeps requests, and against one that sends what another host can take.
func TestStopEmptiesTheQueue(t *testing.T) {
	withAdmission(t, map[string]script{"near": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		r.peerLoad("near", 9)
		time.AfterFunc(100*time.Millisecond, func() { r.stopWithin(4 * time.Second) })
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 503 || !strings.Contains(a.body, `"stopping"`) || !strings.Contains(a.body, `"not_run"`) || a.took > 200*time.Millisecond {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a request that stays in the queue, or is sent, after its caller has left.
func TestCallerThatLeavesTheQueueIsForgotten(t *testing.T) {
	withAdmission(t, map[string]script{"near": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		r.peerLoad("near", 9)
		conn, err := r.ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi")
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
		time.Sleep(10 * time.Millisecond)
		r.peerLoad("near", 0)
		time.Sleep(time.Second)
		if load := r.balancer.LocalLoads(time.Now()); len(load) > 0 || r.requests() != "" {
			t.Errorf("%+v after %q", load, r.requests())
		}
	})
}

// Guards against targets that idle while requests wait, and against answers that get lost between queue and caller: ten times as many
// requests as the target has slots come at once, and each is answered or refused.
func TestBurstIsAnsweredOrRefused(t *testing.T) {
	const n = 60
	withAdmission(t, map[string]script{"near": after(200*time.Millisecond, reply(200, "", "ok"))}, func(t *testing.T, r *harness) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range n {
			wg.Go(func() {
				status := r.call("GET", "/safe/x", fmt.Sprint(i)).status
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			})
		}
		wg.Wait()
		if statuses[200]+statuses[503] != n || statuses[200] < 6 {
			t.Errorf("%v after %s", statuses, r.requests())
		}
		time.Sleep(2 * time.Second)
		if a := r.call("GET", "/safe/x", "after"); a.status != 200 || a.took > 300*time.Millisecond {
			t.Errorf("%+v after the burst", a)
		}
	})
}

// Guards against a short time to wait that is taken for that of a caller that comes back, where callers always state various times.
func TestCallerThatComesBackIsToldFromItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		usual func(i int) time.Duration
		want  time.Duration
	}{
		"all callers wait as long": {func(int) time.Duration { return 20 * time.Second }, 3 * time.Second},
		"various":                  {func(i int) time.Duration { return time.Duration(1+i%20) * time.Second }, 0},
		"not stated":               {func(int) time.Duration { return 0 }, 0},
	} {
		a := &admission{waits: map[string]*statedWaits{}}
		for i := range 500 {
			a.elapsed("route", c.usual(i), now)
		}
		if got := a.elapsed("route", 17*time.Second, now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
