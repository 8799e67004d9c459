package relay

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request, or its body, that goes to a target in a region that its route does not allow, when the first target fails,
// when a stream is continued, or when no target is there.
func TestRequestsStayInTheAllowedRegion(t *testing.T) {
	withTargets(t, map[string]script{"near": reply(500, "", "failed"), "far": reply(200, "", "far")}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/north/x", "retry"); a.status != 500 || strings.Contains(r.requests(), "far") {
			t.Errorf("%+v, requests %q", a, r.requests())
		}
		if a := r.call("GET", "/safe/x", "anywhere"); a.body != "far" {
			t.Errorf("on a route without regions: %+v", a)
		}
	})
	withTargets(t, map[string]script{"near": breakAfterTwoEvents, "far": reply(200, "", "far")}, func(t *testing.T, r *harness) {
		if a := r.call("POST", "/northstream/x", "stream"); a.err == nil || strings.Contains(r.requests(), "far") {
			t.Errorf("%+v, requests %q", a, r.requests())
		}
		r.mu.Lock()
		r.scripts["near"] = stallsInAChunk(event(1), event(2))
		r.mu.Unlock()
		if a := r.call("POST", "/northstream/x", "stalled"); a.err == nil || strings.Contains(r.requests(), "far") {
			t.Errorf("%+v, requests %q", a, r.requests())
		}
		if a := r.call("GET", "/nowhere/x", "none"); a.status != 503 || strings.Contains(r.requests(), "none") || a.took > 50*time.Millisecond ||
			!strings.Contains(a.body, "region_not_allowed") || !strings.Contains(a.body, "not_run") {
			t.Errorf("no target in the region: %+v, requests %q", a, r.requests())
		}
	})
}

// Guards against a request to an evacuated zone on its way through retries and continued streams, against streams that are cut by the
// evacuation, and against requests that wait in vain when all zones are evacuated.
func TestEvacuatedZonesGetNoRequests(t *testing.T) {
	var release atomic.Bool
	withTargets(t, map[string]script{
		"near": func(q *receivedRequest) bool {
			if q.id != "open" {
				return breakAfterTwoEvents(q)
			}
			startStream(q)
			chunk(q.conn, event(1))
			for !release.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			chunk(q.conn, event(2))
			_, _ = q.conn.Write([]byte("0\r\n\r\n"))
			return true
		},
		"far": reply(200, "", "far"),
	}, func(t *testing.T, r *harness) {
		open := make(chan answer, 1)
		go func() { open <- r.call("POST", "/resumable/x", "open") }()
		time.Sleep(100 * time.Millisecond)
		r.balancer.SetEvacuated(map[string]bool{"other": true})
		if a := r.call("POST", "/resumable/x", "broken"); a.err == nil || strings.Contains(r.requests(), "far") {
			t.Errorf("%+v, requests %q", a, r.requests())
		}
		r.balancer.SetEvacuated(map[string]bool{"z": true})
		before := strings.Count(r.requests(), "near")
		if a := r.call("GET", "/safe/x", "moved"); a.body != "far" {
			t.Errorf("%+v", a)
		}
		r.balancer.SetEvacuated(map[string]bool{"z": true, "other": true})
		if a := r.call("GET", "/safe/x", "none"); a.status != 503 || a.retryAfter == "" || a.took > 50*time.Millisecond ||
			!strings.Contains(a.body, "zones_evacuated") || !strings.Contains(a.body, "not_run") {
			t.Errorf("all zones evacuated: %+v", a)
		}
		if strings.Count(r.requests(), "near") != before || strings.Contains(r.requests(), "none") {
			t.Errorf("requests %q", r.requests())
		}
		release.Store(true)
		if a := <-open; a.err != nil || a.body != event(1)+event(2) {
			t.Errorf("stream in progress: %+v", a)
		}
	})
}
