package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// play runs a test in virtual time.
func play(t *testing.T, scripts map[string]script, fn func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(t, newRig(t, scripts)) })
}

func hangUp(*seenRequest) bool { return false }

var notRun = reply(503, "Not-Run: 1\r\n", "")

// Guards against a booking that lands twice: after a connection that breaks off nobody knows whether it ran.
func TestNonIdempotentIsNotRepeatedWhenItMayHaveRun(t *testing.T) {
	play(t, map[string]script{"near": hangUp, "far": reply(200, "", "ok")}, func(t *testing.T, r *rig) {
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 502 || a.retryAfter != "" || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

func TestNonIdempotentGoesOnWhenItHasNotRun(t *testing.T) {
	play(t, map[string]script{"near": notRun, "far": reply(200, "", "ok")}, func(t *testing.T, r *rig) {
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 200 || a.body != "ok" || r.requests() != "near 1, far 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

func TestIdempotentIsRepeated(t *testing.T) {
	for name, first := range map[string]script{
		"broken off": hangUp, "failed": reply(500, "", ""), "cut short": func(r *seenRequest) bool {
			fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", r.id)
			return false
		}, "not HTTP": func(r *seenRequest) bool { fmt.Fprint(r.conn, "garbage\r\n\r\n"); return false }, "silent": hangUntilClosed,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, map[string]script{"near": first, "far": reply(200, "", "ok")}, func(t *testing.T, r *rig) {
				a := r.call("GET", "/safe/x", "1")
				if a.status != 200 || a.body != "ok" || a.took > 4*objective {
					t.Errorf("%+v after %s", a, r.requests())
				}
			})
		})
	}
}

// Guards against giving up a request that may be repeated because its only target lost one answer.
func TestIdempotentIsRepeatedAtItsOnlyTarget(t *testing.T) {
	n := 0
	play(t, map[string]script{"near": func(r *seenRequest) bool {
		if n++; n == 1 {
			return false
		}
		return reply(200, "", "ok")(r)
	}}, func(t *testing.T, r *rig) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 200 || a.body != "ok" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
	n = 0
	play(t, map[string]script{"near": func(*seenRequest) bool { n++; return false }}, func(t *testing.T, r *rig) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 502 || n != 2 {
			t.Errorf("%+v after %d attempts", a, n)
		}
	})
}

// Guards against a refusal that hides a failure the target has answered.
func TestAnsweredFailureIsPassedOn(t *testing.T) {
	play(t, map[string]script{"near": reply(500, "", "why"), "far": hangUp}, func(t *testing.T, r *rig) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 500 || a.body != "why" {
			t.Errorf("%+v", a)
		}
	})
}

func TestRefusalsThatSayNotRun(t *testing.T) {
	for name, scripts := range map[string]map[string]script{
		"rejected": {"near": notRun, "far": notRun}, "unreachable": {"near": nil}, "no target": {},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, scripts, func(t *testing.T, r *rig) {
				a := r.call("POST", "/unsafe/x", "1")
				if a.status != 503 || a.retryAfter == "" || !strings.Contains(a.body, `"not_run"`) {
					t.Errorf("%+v", a)
				}
				if a.took > objective/holdShare+50*time.Millisecond {
					t.Errorf("refused after %v", a.took)
				}
			})
		})
	}
}

// Guards against the answer to an earlier request being passed on for a later one on the same connection.
func TestLateAnswerToAnotherRequest(t *testing.T) {
	var first *seenRequest
	answerTwice := func(r *seenRequest) bool {
		if first == nil {
			first = r
			return reply(200, "", "one")(r)
		}
		reply(200, "", "one again")(first)
		return reply(200, "", "two")(r)
	}
	play(t, map[string]script{"near": answerTwice}, func(t *testing.T, r *rig) {
		if a := r.call("GET", "/safe/x", "1"); a.body != "one" {
			t.Fatalf("%+v", a)
		}
		if a := r.call("GET", "/safe/x", "2"); a.status != 200 || a.body != "two" {
			t.Errorf("%+v", a)
		}
	})
}

func TestAnswerWithoutLength(t *testing.T) {
	play(t, map[string]script{"near": func(r *seenRequest) bool {
		fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", r.id)
		return false
	}}, func(t *testing.T, r *rig) {
		if a := r.call("POST", "/unsafe/x", "1"); a.status != 200 || a.body != "whole" || a.err != nil {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a stream that looks complete although its target broke off.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	play(t, map[string]script{"near": func(r *seenRequest) bool {
		beginStream(r)
		chunk(r.conn, event(1))
		return false
	}, "far": reply(200, "", "never")}, func(t *testing.T, r *rig) {
		a := r.call("POST", "/stream/x", "1")
		if a.status != 200 || a.body != event(1) || a.err == nil || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against events that are missing, doubled or cut in two when a stream goes on at another target.
func TestResumableStreamGoesOn(t *testing.T) {
	for name, broken := range map[string]script{
		"broken in an event": func(r *seenRequest) bool {
			beginStream(r)
			chunk(r.conn, event(1)+event(2)+event(3)[:5])
			return false
		},
		"silent after an event": func(r *seenRequest) bool {
			beginStream(r)
			chunk(r.conn, event(1)+event(2))
			return hangUntilClosed(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, map[string]script{"near": broken, "far": func(r *seenRequest) bool {
				beginStream(r)
				if r.last != "2" {
					t.Errorf("resumed after %q", r.last)
				}
				chunk(r.conn, event(2)) // some repeat the last event
				chunk(r.conn, event(3)+event(4))
				fmt.Fprint(r.conn, "0\r\n\r\n")
				return true
			}}, func(t *testing.T, r *rig) {
				a := r.call("POST", "/resumable/x", "1")
				if want := event(1) + event(2) + event(3) + event(4); a.body != want || a.err != nil {
					t.Errorf("%q %v, want %q", a.body, a.err, want)
				}
			})
		})
	}
}

// Guards against work that goes on for callers that have left.
func TestCallerThatLeaves(t *testing.T) {
	for name, leave := range map[string]script{"before the answer": hangUntilClosed, "in a stream": func(r *seenRequest) bool {
		beginStream(r)
		chunk(r.conn, event(1))
		return hangUntilClosed(r)
	}} {
		t.Run(name, func(t *testing.T) {
			play(t, map[string]script{"near": leave}, func(t *testing.T, r *rig) {
				conn, err := r.ln.Dial()
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprint(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(time.Second)
				left := time.Now()
				_ = conn.Close()
				time.Sleep(time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				if len(r.closed) != 1 || r.closed[0].Sub(left) > 500*time.Millisecond {
					t.Errorf("the target saw %v, the caller left at %v", r.closed, left)
				}
			})
		})
	}
}

// hangUntilClosed never answers and notices the end of the connection.
func hangUntilClosed(r *seenRequest) bool {
	_, _ = r.conn.Read(make([]byte, 1))
	return false
}

// Guards against requests that are held past the time of their route.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	play(t, map[string]script{"near": hangUntilClosed}, func(t *testing.T, r *rig) {
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 504 || a.retryAfter != "" || a.took < timeout || a.took > timeout+100*time.Millisecond {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a target that is told a longer time than the caller has left.
func TestTimeLeftShrinks(t *testing.T) {
	var left []string
	play(t, map[string]script{"near": func(r *seenRequest) bool {
		left = append(left, r.Header.Get("Left"))
		time.Sleep(time.Second)
		return false
	}, "far": func(r *seenRequest) bool {
		left = append(left, r.Header.Get("Left"))
		return reply(200, "", "ok")(r)
	}}, func(t *testing.T, r *rig) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 200 || len(left) != 2 || left[0] != "6000" || left[1] != "5000" {
			t.Errorf("%+v, told %v", a, left)
		}
	})
}

// Guards against a connection on which bytes arrived that nobody asked for being used again.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	play(t, map[string]script{"near": func(r *seenRequest) bool {
		fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", r.id)
		return true
	}}, func(t *testing.T, r *rig) {
		for i := range 3 {
			if a := r.call("GET", "/safe/x", fmt.Sprint(i)); a.status != 200 || a.body != "ok" {
				t.Errorf("%+v", a)
			}
		}
	})
}

// Guards against a kept connection of a caller that gets answers in the wrong order.
func TestRequestsOnOneConnection(t *testing.T) {
	play(t, map[string]script{"near": func(r *seenRequest) bool { return reply(200, "", r.id+r.URL.RawQuery+r.body)(r) }}, func(t *testing.T, r *rig) {
		conn, err := r.ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		br := bufio.NewReader(conn)
		for i := range 3 {
			fmt.Fprintf(conn, "POST /unsafe/x?q=%d HTTP/1.1\r\nHost: h\r\nId: %d\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", i, i)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			body := make([]byte, 100)
			n, _ := resp.Body.Read(body)
			if want := fmt.Sprintf("%dq=%dhi", i, i); string(body[:n]) != want {
				t.Errorf("got %q, want %q", body[:n], want)
			}
			_ = resp.Body.Close()
		}
	})
}
