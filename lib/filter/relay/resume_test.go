package relay

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// breakAfterTwoEvents is a script that closes the connection in the middle of a stream.
func breakAfterTwoEvents(r *receivedRequest) bool {
	startStream(r)
	chunk(r.conn, event(1)+event(2))
	return false
}

// sendAndClose returns a script that writes the text as its answer.
func sendAndClose(text string) script {
	return func(r *receivedRequest) bool {
		fmt.Fprint(r.conn, text)
		return false
	}
}

// Guards against an error of the target at which a stream is resumed, or bytes that are no events of that stream, in the
// middle of the caller's stream, and against such a stream that ends as if it were complete.
func TestOnlyEventsOfAResumedStreamReachTheCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	const events = head + "Content-Type: text/event-stream\r\n"
	const failure = "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror"
	for name, second := range map[string]string{
		"error":                      "HTTP/1.1 500 X\r\nId: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"error as text":              head + "Content-Type: text/plain\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"error without a type":       head + "Content-Length: 7\r\n\r\nerror\n\n",
		"error without an end":       head + "Content-Type: text/html\r\n\r\nerror\n\n",
		"empty body":                 head + "Content-Length: 0\r\n\r\n",
		"no content":                 "HTTP/1.1 204 X\r\nId: 1\r\n\r\n",
		"encoded":                    events + "Content-Encoding: gzip\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"error text in the events":   events + "Content-Length: 7\r\n\r\nerror\n\n",
		"error head in the events":   events + "\r\n" + failure,
		"error head in an event":     events + "\r\n" + event(3)[:9] + failure,
		"error head in a chunk":      events + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + event(3)[:9] + failure,
		"ends without an event":      events + "Content-Length: 0\r\n\r\n",
		"begins at the first event":  events + "\r\n" + event(1) + event(2) + event(3),
		"goes back":                  events + "\r\n" + event(3) + event(1),
		"begins before the first":    events + "\r\n" + event(0) + event(3),
		"sends the first event only": events + "\r\n" + event(1),
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": breakAfterTwoEvents, "far": sendAndClose(second)}, func(t *testing.T, r *harness) {
				a := r.call("POST", "/resumable/x", "1")
				if a.err == nil || a.body != event(1)+event(2) && a.body != event(1)+event(2)+event(3) {
					t.Errorf("%q, %v", a.body, a.err)
				}
			})
		})
	}
}

// Guards against a stream without ids that is started anew at another target after a part of it was passed on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
		startStream(r)
		chunk(r.conn, ": hello\n\ndata: 1\n\n")
		return false
	}, "far": func(r *receivedRequest) bool {
		startStream(r)
		chunk(r.conn, "data: 1\n\n")
		fmt.Fprint(r.conn, "0\r\n\r\n")
		return true
	}}, func(t *testing.T, r *harness) {
		if a := r.call("POST", "/resumable/x", "1"); a.body != ": hello\n\ndata: 1\n\n" || a.err == nil || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against text that is no event in the stream of the first target, and against its loss of the events around it.
func TestStreamThatTurnsIntoAnErrorIsResumed(t *testing.T) {
	for name, text := range map[string]string{
		"text": "error\n\n", "head": "HTTP/1.1 500 X\r\nA: b\r\n\r\n", "head in an event": event(3)[:9] + "HTTP/1.1 500 X\r\nA: b\r\n\r\n",
		"ids go back": event(1),
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
				startStream(r)
				chunk(r.conn, event(1)+event(2)+text)
				fmt.Fprint(r.conn, "0\r\n\r\n")
				return true
			}, "far": func(r *receivedRequest) bool {
				startStream(r)
				chunk(r.conn, "cuminhook-versions: 2\n"+event(3)+": ping\n\n"+event(4)+"data\n\n")
				fmt.Fprint(r.conn, "0\r\n\r\n")
				return true
			}}, func(t *testing.T, r *harness) {
				want := event(1) + event(2) + "cuminhook-versions: 2\n" + event(3) + ": ping\n\n" + event(4) + "data\n\n"
				if a := r.call("POST", "/resumable/x", "1"); a.body != want || a.err != nil {
					t.Errorf("%q, %v", a.body, a.err)
				}
			})
		})
	}
}

// Guards against an answer on a stream route that is not a stream and is taken for a broken one.
func TestAnswerThatIsNotAStreamIsPassedOnWhole(t *testing.T) {
	withTargets(t, map[string]script{
		"near": reply(200, "Content-Type: application/json\r\n", "{}"), "far": reply(200, "", "never"),
	}, func(t *testing.T, r *harness) {
		if a := r.call("POST", "/resumable/x", "1"); a.status != 200 || a.body != "{}" || a.err != nil || r.requests() != "near 1" {
			t.Errorf("%+v after %s", a, r.requests())
		}
	})
}

// Guards against cutting a stream of which the caller has all events: its target lost only the end, which another target sends.
// An answer that the target has not ended with a last chunk and its trailer, or not processed, is no such end.
func TestEndOfAResumedStreamIsPassedOn(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		second   string
		complete bool
	}{
		"ended":                 {events + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"ended after a comment": {events + "Transfer-Encoding: chunked\r\n\r\n8\r\n: ping\n\n\r\n0\r\n\r\n", true},
		"no length, no end":     {events + "\r\n", false},
		"cut before the end":    {events + "Transfer-Encoding: chunked\r\n\r\n", false},
		"cut within the end":    {events + "Transfer-Encoding: chunked\r\n\r\n0\r\n", false},
		"not processed":         {events + "Stampless: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"end inside an event":   {events + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 3\r\n0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": breakAfterTwoEvents, "far": sendAndClose(c.second)}, func(t *testing.T, r *harness) {
				a := r.call("POST", "/resumable/x", "1")
				if (a.err == nil) != c.complete || !strings.HasPrefix(a.body, event(1)+event(2)) {
					t.Errorf("%q, %v, want complete %v", a.body, a.err, c.complete)
				}
			})
		})
	}
}

// Guards against a target that counts as sound although its answers are malformed, against a second run because such an answer states "not run",
// against reuse of its connection, and against quarantine of the prompts that met it.
func TestMalformedAnswerCountsAgainstItsTarget(t *testing.T) {
	used := map[net.Conn]bool{}
	malformed := func(r *receivedRequest) bool {
		if used[r.conn] {
			t.Errorf("request %s on a connection that has carried a malformed answer", r.id)
		}
		used[r.conn] = true
		if strings.HasPrefix(r.URL.Path, "/resumable/") {
			startStream(r)
			chunk(r.conn, event(1))
			fmt.Fprint(r.conn, "x\r\n")
			return true
		}
		fmt.Fprintf(r.conn, "HTTP/1.1 000 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.id)
		return true
	}
	rest := func(r *receivedRequest) bool {
		startStream(r)
		chunk(r.conn, event(2))
		chunk(r.conn, "")
		return true
	}
	withTargets(t, map[string]script{"near": malformed, "far": rest}, func(t *testing.T, r *harness) {
		for path, want := range map[string]answer{
			"/unsafe/x": {status: 502}, "/safe/x": {status: 200, body: event(2)}, "/resumable/x": {status: 200, body: event(1) + event(2)},
		} {
			for i := range 3 {
				a := r.callWith("POST", path, fmt.Sprint(path, i), "Prefix: all shared "+path+"\r\n")
				if a.status != want.status || a.err != nil || want.status == 200 && a.body != want.body {
					t.Errorf("%s: %+v", path, a)
				}
				time.Sleep(10 * time.Second) // longer than the target is avoided
				r.detector.Judge(time.Now(), 0)
			}
		}
		if n := strings.Count(r.requests(), "near"); n != 9 || strings.Count(r.requests(), "far") != 6 {
			t.Errorf("requests %s", r.requests())
		}
		if segment, _ := r.detector.Blocked([]string{"all", "shared"}, time.Now()); segment != "" {
			t.Errorf("segment %q in quarantine", segment)
		}
	})
	withTargets(t, map[string]script{"near": malformed}, func(t *testing.T, r *harness) {
		r.balancer.SetAside(0.5)
		for i := range 3 {
			r.call("POST", "/unsafe/x", fmt.Sprint(i))
		}
		if f := r.balancer.LocalFailures(time.Now())["near"]; f.Failed != 3 || len(used) != 12 {
			t.Errorf("failures of the target: %+v, on %d connections in all", f, len(used))
		}
	})
}
