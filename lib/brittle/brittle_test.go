package brittle

import (
	"slices"
	"testing"
	"time"
)

// Guards against hosts that hear of brittle targets late, forget them while they say so, or keep them for brittle when they no longer do.
func TestBrittlenessIsToldAndEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	a, b := New(), New()
	if a.Heard("s", false, now) || !a.Heard("s", true, at(10*time.Millisecond)) || a.Heard("s", true, at(20*time.Millisecond)) {
		t.Error("what is news is not told")
	}
	if a.Heard("s", false, at(30*time.Millisecond)) { // an answer that was under way
		t.Error("ended by one answer that crossed")
	}
	if !b.Merge(a.Statements(at(100*time.Millisecond)), at(900*time.Millisecond)) || !slices.Equal(b.Brittle(at(time.Second)), []string{"s"}) {
		t.Error("not learned from another host")
	}
	if !slices.Equal(b.Brittle(at(20*time.Second)), []string{"s"}) {
		t.Error("forgotten without an answer that ends it")
	}
	if !b.Heard("s", false, at(21*time.Second)) || len(b.Brittle(at(21*time.Second))) > 0 {
		t.Error("not ended by an answer that states nothing")
	}
	if !a.Merge(b.Statements(at(21100*time.Millisecond)), at(21200*time.Millisecond)) || len(a.Brittle(at(22*time.Second))) > 0 {
		t.Error("the end is not learned from another host")
	}
	c := New()
	c.Heard("s", true, now)
	if len(c.Brittle(at(forgetAfter+time.Second))) > 0 || c.Statements(at(forgetAfter+time.Second)) != nil {
		t.Error("never forgotten")
	}
}
