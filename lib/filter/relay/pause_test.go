package relay

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const pause = "Not-Run: 1\r\nPause: 2s\r\n"

func TestTargetThatAsksForAPauseIsLeftAlone(t *testing.T) {
	slow := func(r *receivedRequest) bool {
		time.Sleep(time.Second)
		return reply(200, "", "far")(r)
	}
	withTargets(t, map[string]script{"near": reply(503, pause, ""), "far": slow}, func(t *testing.T, r *harness) {
		var all sync.WaitGroup
		send := func(n int) {
			for i := range n {
				all.Go(func() {
					if a := r.call("GET", "/unsafe/x", fmt.Sprint(i)); a.body != "far" {
						t.Errorf("%+v", a)
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
		}
		send(95)
		if n := strings.Count(r.requests(), "near"); n != 1 {
			t.Errorf("%d requests in 1.9 s to a target that asked for a pause of 2 s", n)
		}
		send(20)
		if n := strings.Count(r.requests(), "near"); n != 2 {
			t.Errorf("%d requests after the pause, want one more", n)
		}
		all.Wait()
	})
}

func TestPauseOfAllTargetsIsStatedToCallers(t *testing.T) {
	withTargets(t, map[string]script{"near": reply(503, pause, ""), "far": reply(503, "Not-Run: 1\r\nPause: 1s\r\n", "")},
		func(t *testing.T, r *harness) {
			r.call("GET", "/unsafe/x", "first")
			got := r.requests()
			for i := range 5 {
				a := r.call("GET", "/unsafe/x", fmt.Sprint(i))
				after, err := strconv.ParseFloat(a.retryAfter, 64)
				if a.status != 503 || a.took > 10*time.Millisecond || err != nil || after < 0.9 || after > 1.5 {
					t.Errorf("%+v, want a refusal at once that states 1 s and up to half a second more", a)
				}
			}
			if r.requests() != got {
				t.Errorf("requests in the pause of all targets: %s", r.requests())
			}
		})
}

func TestOneRequestReturnsAfterAPause(t *testing.T) {
	var asked atomic.Bool
	var running, most atomic.Int32
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		if !asked.Swap(true) {
			return reply(503, pause, "")(r)
		}
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(50 * time.Millisecond)
		running.Add(-1)
		return reply(200, "", "near")(r)
	}}, func(t *testing.T, r *harness) {
		r.call("GET", "/safe/x", "first")
		time.Sleep(2100 * time.Millisecond)
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() {
				if a := r.call("GET", "/safe/x", fmt.Sprint(i)); a.body != "near" {
					t.Errorf("%+v", a)
				}
			})
		}
		time.Sleep(40 * time.Millisecond)
		if n := running.Load(); n != 1 {
			t.Errorf("%d requests at once after a pause", n)
		}
		all.Wait()
	})
}
