package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a request that crashes one target after the other because it comes again.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n"
	deaths := map[string]script{
		"before the head": func(*receivedRequest) bool { return false },
		"in the head":     func(req *receivedRequest) bool { fmt.Fprintf(req.conn, head, req.id); return false },
		"after the head":  func(req *receivedRequest) bool { fmt.Fprintf(req.conn, head+"\r\npart", req.id); return false },
		"after an event": func(req *receivedRequest) bool {
			startStream(req)
			chunk(req.conn, event(1))
			return false
		},
	}
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumable/"} {
		for name, death := range deaths {
			t.Run(path+name, func(t *testing.T) { testRequestThatCrashesTargets(t, path, death) })
		}
	}
}

// testRequestThatCrashesTargets sends two requests again and again that take targets down, with other ids each time and sound ones between.
func testRequestThatCrashesTargets(t *testing.T, path string, death script) {
	scripts := map[string]script{}
	for i := range 12 {
		scripts[fmt.Sprint("t", i)] = nil
	}
	withTargets(t, scripts, func(t *testing.T, r *harness) {
		for addr := range scripts {
			r.scripts[addr] = func(req *receivedRequest) bool {
				if !strings.Contains(req.URL.Path, "deadly") {
					startStream(req)
					chunk(req.conn, event(1))
					chunk(req.conn, "")
					return true
				}
				r.mu.Lock()
				r.scripts[addr] = nil // nothing listens there any more
				r.mu.Unlock()
				return death(req)
			}
		}
		var last answer
		for i := range 6 {
			for _, deadly := range []string{"deadly1", "deadly2"} {
				last = r.call("POST", path+deadly, fmt.Sprint(deadly, "-", i))
				r.call("POST", path+"sound", fmt.Sprint("between", i))
				time.Sleep(time.Second)
				r.judge()
			}
		}
		for _, deadly := range []string{"deadly1", "deadly2"} {
			if n := strings.Count(r.requests(), " "+deadly); n < 3 || n > 4 {
				t.Errorf("%s reached targets %d times, 4 allowed", deadly, n)
			}
		}
		if last.status != 503 || last.retryAfter == "" {
			t.Errorf("after its last crash: %+v", last)
		}
		if a := r.call("POST", path+"sound", "after"); a.status != 200 || a.err != nil {
			t.Errorf("sound request: %+v", a)
		}
	})
}

// Guards against a crash that goes unnoticed because the target listens again before it is checked.
func TestTargetThatStartsAgainAtOnceHasCrashed(t *testing.T) {
	scripts := map[string]script{"a": nil, "b": nil, "c": nil}
	withTargets(t, scripts, func(t *testing.T, r *harness) {
		for addr := range scripts {
			r.scripts[addr] = func(req *receivedRequest) bool {
				if strings.HasSuffix(req.URL.Path, "sound") {
					return reply(200, "", "ok")(req)
				}
				if strings.HasSuffix(req.URL.Path, "deadly") {
					time.AfterFunc(time.Second, func() { r.restart(addr) }) // its next entry
				}
				return false
			}
		}
		for i := range 4 {
			r.call("POST", "/unsafe/deadly", fmt.Sprint("deadly", i))
			r.call("POST", "/unsafe/cut", fmt.Sprint("cut", i)) // the target stays as it is
			time.Sleep(time.Second)
			r.call("POST", "/unsafe/sound", fmt.Sprint("sound", i))
			time.Sleep(3 * time.Second)
			r.judge()
		}
		if a := r.call("POST", "/unsafe/deadly", "last"); a.status != 503 || strings.Contains(r.requests(), "last") {
			t.Errorf("%+v, requests %s", a, r.requests())
		}
		if a := r.call("POST", "/unsafe/cut", "last cut"); a.status != 502 {
			t.Errorf("request whose connection is lost: %+v", a)
		}
	})
}
