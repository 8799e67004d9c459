package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		withTargets(t, map[string]script{"near": reply(200, "Leaving: 1\r\n", "near"), "far": reply(200, "", "far")},
			func(t *testing.T, r *harness) {
				for i, want := range []string{"near", "far", "far"} {
					if a := r.call("GET", path, fmt.Sprint(i)); a.body != want {
						t.Errorf("%s, request %d: %+v, want the answer of %s", path, i, a, want)
					}
				}
			})
	}
}

func TestStreamOfATargetThatLeavesGoesOn(t *testing.T) {
	withTargets(t, map[string]script{
		"near": func(r *receivedRequest) bool {
			fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.id)
			for i := range 5 {
				chunk(r.conn, event(i))
				time.Sleep(100 * time.Millisecond)
			}
			chunk(r.conn, "")
			return true
		},
		"far": reply(200, "", "far"),
	}, func(t *testing.T, r *harness) {
		done := make(chan answer)
		go func() { done <- r.call("GET", "/resumable/x", "s") }()
		time.Sleep(150 * time.Millisecond)
		r.call("GET", "/safe/x", "1")
		if a := <-done; a.err != nil || strings.Count(a.body, "data:") != 5 {
			t.Errorf("%+v", a)
		}
		if got := r.requests(); got != "near s, far 1" {
			t.Errorf("targets received %s", got)
		}
	})
}

func TestLeavingOfAnotherServiceAtTheAddressIsIgnored(t *testing.T) {
	for _, stated := range []string{"", "Instance: other\r\n"} {
		foreign := true
		withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
			if foreign {
				return reply(421, stated+"Leaving: 1\r\n", "")(r)
			}
			return reply(200, "", "near")(r)
		}}, func(t *testing.T, r *harness) {
			r.call("GET", "/safe/x", "1")
			foreign = false
			time.Sleep(5 * time.Second)
			if a := r.call("GET", "/safe/x", "2"); a.body != "near" {
				t.Errorf("%q: %+v", stated, a)
			}
		})
	}
}
