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
