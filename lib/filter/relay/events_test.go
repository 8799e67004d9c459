package relay

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against results that depend on how the stream is split into reads, and against events cut in two.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 3)
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", 1)
	f.Add(": comment\n\nid: 5\n\nid: 5\n\nid: 4\n\n", 7)
	f.Fuzz(func(t *testing.T, text string, step int) {
		var whole, parts eventReader
		want, _ := whole.feed(nil, []byte(text))
		var got []byte
		step = max(1, step%64)
		for rest := text; rest != ""; {
			n := min(step, len(rest))
			got, _ = parts.feed(got, []byte(rest[:n]))
			rest = rest[n:]
		}
		if string(got) != string(want) || parts.lastID != whole.lastID {
			t.Errorf("in parts of %d: %q, whole: %q", step, got, want)
		}
		if !strings.HasSuffix(string(got), "\n\n") && !strings.HasSuffix(string(got), "\r\n\r\n") && len(got) > 0 {
			t.Errorf("an event was cut: %q", got)
		}
	})
}

// Guards against repeated or lost events when a stream broke within an event and the new target starts with earlier ones.
func TestRepeatedEventsAreSkipped(t *testing.T) {
	var r eventReader
	var out []byte
	for _, n := range []int{1, 2, 3} {
		out, _ = r.feed(out, []byte(event(n)))
	}
	_, _ = r.feed(nil, []byte("id: 4\nda"))
	r.dropPartial()
	for _, n := range []int{2, 3, 4, 5} {
		out, _ = r.feed(out, []byte(event(n)))
	}
	want := ""
	for n := range 5 {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n+1)
	}
	if string(out) != want {
		t.Errorf("%q, want %q", out, want)
	}
}

// Guards against a stream that ends inside an event and reaches the caller as complete, however the target frames it.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		path, answer string
		complete     bool
	}{
		"without a length":             {"/stream/x", header + "\r\n" + event(1) + "id: 2\nda", false},
		"after a line":                 {"/stream/x", header + "\r\n" + event(1) + "id: 2\n", false},
		"in chunks":                    {"/stream/x", header + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n0\r\n\r\n", false},
		"resumable, without a length":  {"/resumable/x", header + "\r\n" + event(1) + "id: 2\nda", false},
		"no events, with a length":     {"/stream/x", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", true},
		"whole, without a length":      {"/stream/x", header + "\r\n" + event(1) + event(2), true},
		"whole, with carriage returns": {"/stream/x", header + "\r\nid: 1\r\ndata: 1\r\n\r\nid: 2\rdata: 2\r\r", true},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
				fmt.Fprint(r.conn, c.answer)
				return false
			}}, func(t *testing.T, r *harness) {
				if a := r.call("POST", c.path, "1"); a.status != 200 || (a.err == nil) != c.complete {
					t.Errorf("complete %v: %+v", a.err == nil, a)
				}
			})
		})
	}
}
