package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// withTargets runs fn in virtual time with one target for each script.
func withTargets(t *testing.T, scripts map[string]script, fn func(t *testing.T, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(t, newHarness(t, scripts)) })
}

// closeWithoutAnswer is a script that closes the connection after it read the request.
func closeWithoutAnswer(*receivedRequest) bool { return false }

var notRun = reply(503, "Not-Run: 1\r\n", "")

// Guards against a non-idempotent request that runs twice: when its connection breaks, it may already have run.
func TestNonIdempotentIsNotRetriedWhenItMayHaveRun(t *testing.T) {
	withTargets(t, map[string]script{"near": closeWithoutAnswer, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 502 || a.retryAfter != "" || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against refusing a request that the first target provably did not run although another target would.
func TestNonIdempotentIsRetriedWhenItHasNotRun(t *testing.T) {
	withTargets(t, map[string]script{"near": notRun, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 200 || a.body != "ok" || r.requests() != "near 1, far 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against passing on a failure of one target when another one can answer in time.
func TestIdempotentIsRetriedAtAnotherTarget(t *testing.T) {
	for name, first := range map[string]script{
		"broken off": closeWithoutAnswer, "failed": reply(500, "", ""), "cut short": func(r *receivedRequest) bool {
			fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", r.id)
			return false
		}, "not processed": reply(200, "Stampless: 1\r\n", "bad"), "not HTTP": func(r *receivedRequest) bool { fmt.Fprint(r.conn, "garbage\r\n\r\n"); return false },
		"unresponsive": blockUntilClosed,
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": first, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
				a := r.call("GET", "/safe/x", "1")
				if a.status != 200 || a.body != "ok" || a.took > 4*objective {
					t.Errorf("%+v after %s", a, r.requests())
				}
			})
		})
	}
}

// Guards against refusing an idempotent request whose only target lost a single answer.
func TestIdempotentIsRetriedAtItsOnlyTarget(t *testing.T) {
	n := 0
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		if n++; n == 1 {
			return false
		}
		return reply(200, "", "ok")(r)
	}}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 200 || a.body != "ok" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
	n = 0
	withTargets(t, map[string]script{
		"near": func(*receivedRequest) bool { n++; return false },
	}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 502 || n != 2 {
			t.Errorf("%+v after %d attempts", a, n)
		}
	})
}

// Guards against a refusal that replaces the 5xx answer of a target when the retry fails as well.
func TestAnsweredFailureIsPassedOn(t *testing.T) {
	withTargets(t, map[string]script{"near": reply(500, "", "why"), "far": closeWithoutAnswer}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 500 || a.body != "why" {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a refusal that does not state "not run" and a time to retry, and against one that takes longer than the
// wait for a target.
func TestUndeliverableRequestIsRefusedAsNotRun(t *testing.T) {
	for name, scripts := range map[string]map[string]script{
		"rejected": {"near": notRun, "far": notRun}, "unreachable": {"near": nil}, "no target": {},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, scripts, func(t *testing.T, r *harness) {
				a := r.call("POST", "/unsafe/x", "1")
				if a.status != 503 || a.retryAfter == "" || !strings.Contains(a.body, `"not_run"`) {
					t.Errorf("%+v", a)
				}
				if a.took > objective/pickWaitDivisor+50*time.Millisecond {
					t.Errorf("refused after %v", a.took)
				}
			})
		})
	}
}

// Guards against a late answer to an earlier request on the same connection being passed on for a later request.
func TestLateAnswerIsNotPassedOnForAnotherRequest(t *testing.T) {
	var first *receivedRequest
	answerTwice := func(r *receivedRequest) bool {
		if first == nil {
			first = r
			return reply(200, "", "one")(r)
		}
		reply(200, "", "one again")(first)
		return reply(200, "", "two")(r)
	}
	withTargets(t, map[string]script{"near": answerTwice}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/safe/x", "1"); a.body != "one" {
			t.Fatalf("%+v", a)
		}
		if a := r.call("GET", "/safe/x", "2"); a.status != 200 || a.body != "two" {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a copy of an earlier refusal that is taken for the answer to a request which its target runs.
func TestRefusalWithoutIDOnAKeptConnectionIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		kept, answered bool
		want           int
		requests       string
	}{
		"first answer":            {false, false, 200, "near 2, far 2"},
		"kept, answer follows":    {true, true, 200, "near 1, near 2"},
		"kept, no answer follows": {true, false, 504, "near 1, near 2"},
	} {
		near := func(r *receivedRequest) bool {
			if r.id == "1" {
				return reply(200, "", "one")(r)
			}
			fmt.Fprint(r.conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return !c.answered || reply(200, "", "ok")(r)
		}
		withTargets(t, map[string]script{"near": near, "far": reply(200, "", "ok")}, func(t *testing.T, r *harness) {
			if c.kept {
				r.call("GET", "/safe/x", "1")
			}
			if a := r.call("POST", "/unsafe/x", "2"); a.status != c.want || a.retryAfter != "" || r.requests() != c.requests {
				t.Errorf("%s: %+v after %s", name, a, r.requests())
			}
		})
	}
}

// Guards against a copy of a target's refusal that is taken for its answer to the same request sent once more, which then
// runs more often than allowed.
func TestSecondCopyOfARefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	n, runs := 0, 0
	var refusedOn net.Conn
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		switch n++; n {
		case 1: // ran, answer lost
			runs++
			return false
		case 2:
			refusedOn = r.conn
			return notRun(r)
		}
		runs++
		if n == 3 && r.conn == refusedOn {
			notRun(r)
		}
		return reply(200, "", "ok")(r)
	}}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 200 || runs != 2 {
			t.Errorf("%d runs: %+v", runs, a)
		}
	})
}

// Guards against losing the body of an answer with neither Content-Length nor chunks.
func TestAnswerWithoutLengthIsReadToTheEndOfTheConnection(t *testing.T) {
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", r.id)
		return false
	}}, func(t *testing.T, r *harness) {
		if a := r.call("POST", "/unsafe/x", "1"); a.status != 200 || a.body != "whole" || a.err != nil {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a stream that the caller takes for complete although the target closed its connection early.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		startStream(r)
		chunk(r.conn, event(1))
		return false
	}, "far": reply(200, "", "never")}, func(t *testing.T, r *harness) {
		a := r.call("POST", "/stream/x", "1")
		if a.status != 200 || a.body != event(1) || a.err == nil || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against missing, repeated or truncated events when a stream continues at another target.
func TestResumableStreamContinuesAtAnotherTarget(t *testing.T) {
	for name, broken := range map[string]script{
		"broken in an event": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(1)+event(2)+event(3)[:5])
			return false
		},
		"stalled after an event": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(1)+event(2))
			return blockUntilClosed(r)
		},
		"dripping without an event": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(1)+event(2))
			for {
				if _, err := fmt.Fprint(r.conn, "1\r\n:\r\n"); err != nil {
					return false
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
		"flooding without an event": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(1)+event(2))
			sent := 0
			for {
				if _, err := fmt.Fprintf(r.conn, "1000\r\n%s\r\n", strings.Repeat(":", 1<<12)); err != nil {
					return false
				}
				if sent += 1 << 12; sent > 2*maxEventBytes {
					t.Errorf("%d bytes without an event were read", sent)
					return false
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": broken, "far": func(r *receivedRequest) bool {
				startStream(r)
				if r.lastEventID != "2" {
					t.Errorf("resumed after %q", r.lastEventID)
				}
				chunk(r.conn, event(2)) // some targets repeat the last event
				chunk(r.conn, event(3)+event(4))
				fmt.Fprint(r.conn, "0\r\n\r\n")
				return true
			}}, func(t *testing.T, r *harness) {
				a := r.call("POST", "/resumable/x", "1")
				if want := event(1) + event(2) + event(3) + event(4); a.body != want || a.err != nil {
					t.Errorf("%q %v, want %q", a.body, a.err, want)
				}
			})
		})
	}
}

// Guards against targets that go on working on a request whose caller closed its connection.
func TestDisconnectedCallerEndsTheAttempt(t *testing.T) {
	for name, target := range map[string]script{
		"before the answer": blockUntilClosed,
		"in a stream": func(r *receivedRequest) bool {
			startStream(r)
			chunk(r.conn, event(1))
			return blockUntilClosed(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": target}, func(t *testing.T, r *harness) {
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
				if len(r.closed) != 1 || r.closed[0].Before(left) || r.closed[0].Sub(left) > 500*time.Millisecond {
					t.Errorf("the target saw %v, the caller left at %v", r.closed, left)
				}
			})
		})
	}
}

// blockUntilClosed is a script that sends nothing more and returns when the connection ends.
func blockUntilClosed(r *receivedRequest) bool {
	_, _ = io.Copy(io.Discard, r.conn) // a read of a pipe may also end with the empty write of an empty body
	return false
}

// Guards against requests that stay open past the timeout of their route.
func TestRouteTimeoutIsAnsweredAtOnce(t *testing.T) {
	withTargets(t, map[string]script{"near": blockUntilClosed}, func(t *testing.T, r *harness) {
		a := r.call("POST", "/unsafe/x", "1")
		if a.status != 504 || a.retryAfter != "" || a.took < timeout || a.took > timeout+100*time.Millisecond {
			t.Errorf("%+v", a)
		}
	})
}

// Guards against a retry that states a longer time to the target than the caller has left.
func TestRetryStatesTheRemainingTime(t *testing.T) {
	var left []string
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		left = append(left, r.Header.Get("Left"))
		time.Sleep(time.Second)
		return false
	}, "far": func(r *receivedRequest) bool {
		left = append(left, r.Header.Get("Left"))
		return reply(200, "", "ok")(r)
	}}, func(t *testing.T, r *harness) {
		if a := r.call("GET", "/safe/x", "1"); a.status != 200 || len(left) != 2 || left[0] != "6000" || left[1] != "5000" {
			t.Errorf("%+v, times stated to the targets: %v", a, left)
		}
	})
}

// Guards against reuse of a connection on which unrequested bytes have arrived.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", r.id)
		return true
	}}, func(t *testing.T, r *harness) {
		for i := range 3 {
			if a := r.call("GET", "/safe/x", fmt.Sprint(i)); a.status != 200 || a.body != "ok" {
				t.Errorf("%+v", a)
			}
		}
	})
}

// Guards against answers in the wrong order on a caller's persistent connection.
func TestKeptConnectionAnswersInOrder(t *testing.T) {
	withTargets(t, map[string]script{
		"near": func(r *receivedRequest) bool { return reply(200, "", r.id+r.URL.RawQuery+r.body)(r) },
	}, func(t *testing.T, r *harness) {
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

// Guards against a target in trouble that gets more requests than it states to take while another one is free, against
// refusals for that reason, and against a limit that outlives its statement.
func TestTargetThatStatesALimitIsLeftAlone(t *testing.T) {
	for _, run := range []func(*testing.T, map[string]script, func(*testing.T, *harness)){withTargets, withAdmission} {
		testTargetThatStatesALimit(t, run)
	}
}

func testTargetThatStatesALimit(t *testing.T, run func(*testing.T, map[string]script, func(*testing.T, *harness))) {
	t.Helper()
	limit := "Limit: 2\r\n"
	run(t, map[string]script{
		"near": func(r *receivedRequest) bool { return reply(200, limit, "near")(r) }, "far": reply(200, "", "far"),
	}, func(t *testing.T, r *harness) {
		send := func(n int) (near int) {
			for i := range n {
				a := r.call("GET", "/safe/x", fmt.Sprint(i))
				if a.status != 200 {
					t.Errorf("%+v", a)
				}
				if a.body == "near" {
					near++
				}
				time.Sleep(100 * time.Millisecond)
			}
			return near
		}
		if near := send(60); near < 9 || near > 15 {
			t.Errorf("%d requests in 6 s, 2 a second allowed", near)
		}
		limit = ""
		send(10) // the next answer states no limit
		if near := send(20); near != 20 {
			t.Errorf("%d of 20 requests after the limit was lifted", near)
		}
	})
}
