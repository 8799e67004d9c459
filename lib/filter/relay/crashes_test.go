package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against requests that crash one target after the other because they share a segment, against refusing sound requests
// beside them, and against taking a lost connection for a crash.
func TestRequestsThatCrashTargetsAreRefused(t *testing.T) {
	scripts := map[string]script{}
	for i := range 9 {
		scripts[fmt.Sprint("t", i)] = nil
	}
	withTargets(t, scripts, func(t *testing.T, r *harness) {
		sound := func(req *receivedRequest) bool {
			startStream(req)
			chunk(req.conn, event(1))
			chunk(req.conn, "")
			return true
		}
		for addr := range scripts {
			r.scripts[addr] = func(req *receivedRequest) bool {
				switch req.id[0] {
				case 'd':
					startStream(req)
					r.mu.Lock()
					r.scripts[addr] = nil // nothing listens there any more
					r.mu.Unlock()
					return false
				case 'l':
					return false
				default:
					return sound(req)
				}
			}
		}
		send := func(id, prefix string) answer {
			a := r.callWith("POST", "/stream/x", id, "Prefix: "+prefix+" "+id+"\r\n")
			time.Sleep(time.Second)
			r.detector.Judge(time.Now(), 0)
			return a
		}
		for i := range 60 {
			send(fmt.Sprint("s", i), "all subject")
			send(fmt.Sprint("l", i), "all lost")
		}
		for i := range 8 {
			send(fmt.Sprint("d", i), "all subject deadly")
			if a := send(fmt.Sprint("a", i), "all subject"); a.status != 200 || a.err != nil {
				t.Errorf("sound request after %d deadly ones: %+v", i+1, a)
			}
		}
		if n := strings.Count(r.requests(), " d"); n < 3 || n > 5 {
			t.Errorf("%d requests with the segment reached targets, 5 allowed", n)
		}
		if a := send("d9", "all deadly"); a.status != 503 || a.retryAfter == "" || strings.Contains(r.requests(), " d9") {
			t.Errorf("%+v, requests %s", a, r.requests())
		}
		if a := send("l99", "all lost"); a.status != 502 {
			t.Errorf("request whose connection is lost: %+v", a)
		}
	})
}
