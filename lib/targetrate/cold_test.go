package targetrate

import (
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/registry"
)

const testColdTime = 3 * time.Second

// coldHost is one of 100 hosts that has no part of the bound of target "t": a cold one gets no request from it.
type coldHost struct {
	*Limits
	now time.Time
}

func newColdHost(t *testing.T) *coldHost {
	h := &coldHost{now: time.Unix(1000, 0)}
	h.Limits = New(h.now, rand.New(rand.NewPCG(1, 1)))
	h.SetCatalog(catalog.New(catalog.Content{Services: []*catalog.Service{{Name: "s", ColdStart: testColdTime, ColdPerSecond: 2}}}))
	var others []string
	for i := range 99 {
		others = append(others, string(rune('A'+i)))
	}
	for i := range 100 { // a name without a part
		h.SetMembers(string(rune('à'+i)), others, h.now)
		if h.coldPart("t", &cold{service: "s"}) == 0 {
			return h
		}
	}
	t.Fatal("each host has a part")
	return nil
}

func (h *coldHost) entry(started, beat int64, cold time.Duration, states bool) {
	h.SetTargets([]*registry.Target{{ID: "t", Service: "s", Started: started, Beat: beat, Cold: cold, StatesCold: states}}, h.now)
}

// refused has another host report that the target refused a connection to a host in the zone.
func (h *coldHost) refused(target, zone string, age time.Duration) {
	h.MergeCold(map[string]ColdStatement{target: {Started: 1, RefusedMS: map[string]int64{zone: age.Milliseconds()}}}, "x", h.now)
}

func (h *coldHost) isCold() bool { return !h.Available("t", h.now) }

// after lets time pass in which the host has contact.
func (h *coldHost) after(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		h.now = h.now.Add(100 * time.Millisecond)
		h.Contact(true, h.now)
	}
}

// Guards against a target that gets the requests of all hosts when it may be cold without news of that, and against one that counts as
// cold although it states, later, that it is not.
func TestTargetWithoutNewsCountsAsCold(t *testing.T) {
	for name, c := range map[string]struct {
		learn func(h *coldHost)
		cold  bool
	}{
		"first entry with a cold time":      {func(h *coldHost) { h.entry(2, 1, time.Second, true) }, true},
		"first entry states that it is not": {func(h *coldHost) { h.entry(2, 1, 0, true) }, false},
		"first entry states nothing":        {func(h *coldHost) { h.entry(2, 1, 0, false) }, true},
		"later entry states nothing":        {func(h *coldHost) { h.entry(1, 6, 0, false) }, false},
		"later entry with a cold time":      {func(h *coldHost) { h.entry(1, 6, time.Second, true) }, true},
		"entry that came back": {func(h *coldHost) {
			h.SetTargets(nil, h.now)
			h.after(200 * time.Millisecond)
			h.entry(1, 6, 0, true)
		}, true},
		"answer":                                   {func(h *coldHost) { h.Cold("t", time.Second, h.now) }, true},
		"report":                                   {func(h *coldHost) { h.MergeCold(map[string]ColdStatement{"t": {Started: 1, LeftMS: 1000}}, "x", h.now) }, true},
		"report of an incarnation before":          {func(h *coldHost) { h.MergeCold(map[string]ColdStatement{"t": {LeftMS: 1000}}, "x", h.now) }, false},
		"refused in another zone":                  {func(h *coldHost) { h.refused("t", "x", 0) }, false},
		"refused in two zones":                     {func(h *coldHost) { h.refused("t", "x", 0); h.refused("t", "y", time.Second) }, true},
		"refused there before":                     {func(h *coldHost) { h.refused("t", "x", 0); h.refused("t", "y", 2*refusalTTL) }, false},
		"refused, and an entry that was under way": {func(h *coldHost) { h.Down("t", h.now); h.entry(1, 6, 0, true) }, true},
		"refused, and later entries":               {func(h *coldHost) { h.Down("t", h.now); h.entry(1, 6, 0, true); h.entry(1, 7, 0, true) }, false},
		"connection refused":                       {func(h *coldHost) { h.Down("t", h.now) }, true},
		"contact lost and regained":                {func(h *coldHost) { h.Contact(false, h.now); h.Contact(true, h.now) }, true},
		"entries read after a loss of contact":     {func(h *coldHost) { h.Contact(false, h.now); h.entry(1, 9, 0, true) }, true},
		"suspension":                               {func(h *coldHost) { h.now = h.now.Add(maxSilence + 1) }, true},
		"contact all the time":                     {func(h *coldHost) { h.after(testColdTime) }, false},
	} {
		h := newColdHost(t)
		h.entry(1, 4, 0, false) // before traffic starts
		if h.after(time.Second); h.isCold() {
			t.Errorf("%s: cold before traffic starts", name)
		}
		h.Traffic()
		h.entry(1, 5, 0, true)
		if c.learn(h); h.isCold() != c.cold {
			t.Errorf("%s: cold %v, want %v", name, h.isCold(), c.cold)
		}
		if h.after(testColdTime + endMargin + 100*time.Millisecond); h.isCold() {
			t.Errorf("%s: cold after the time", name)
		}
	}
}

// Guards against an assumption that is ended by an entry written before it, or not ended by a later one.
func TestLaterEntryEndsTheAssumedColdTime(t *testing.T) {
	h := newColdHost(t)
	h.Traffic()
	h.entry(1, 5, 0, true)
	h.SetTargets(nil, h.now)
	h.after(100 * time.Millisecond)
	for _, c := range []struct {
		beat   int64
		states bool
		cold   bool
	}{{6, true, true}, {6, true, true}, {7, false, true}, {8, true, false}} {
		if h.entry(1, c.beat, 0, c.states); h.isCold() != c.cold {
			t.Errorf("beat %d: cold %v", c.beat, h.isCold())
		}
		h.after(100 * time.Millisecond)
	}
}

// Guards against states that grow with each target that was cold once.
func TestWhatColdTargetsGotIsReportedForATime(t *testing.T) {
	h := newColdHost(t)
	h.Traffic()
	h.entry(1, 1, time.Second, true)
	h.Take("t", h.now)
	if u := h.Usage(h.now); u["t"].Charged != tokensPerRequest {
		t.Errorf("reported %+v", u)
	}
	if h.after(time.Second + reportedTTL/2); len(h.Usage(h.now)) == 0 {
		t.Error("nothing is reported right after the end")
	}
	if h.after(reportedTTL); len(h.Usage(h.now)) > 0 {
		t.Errorf("still reported: %+v", h.Usage(h.now))
	}
	h.Return("t")
	if h.entry(1, 2, time.Second, true); !h.isCold() {
		t.Error("not cold again")
	}
}

// Guards against a statement that two hosts put off for ever by passing it on to each other.
func TestPassedOnColdTimeEnds(t *testing.T) {
	a, b := newColdHost(t), newColdHost(t)
	a.entry(1, 1, 0, true)
	b.entry(1, 1, 0, true)
	a.Cold("t", time.Second, a.now)
	for range 60 {
		reported := a.ColdStatements(a.now)
		b.now = a.now.Add(50 * time.Millisecond)
		b.MergeCold(reported, "a", b.now)
		reported = b.ColdStatements(b.now)
		a.now = b.now.Add(50 * time.Millisecond)
		a.MergeCold(reported, "b", a.now)
	}
	if a.isCold() || b.isCold() {
		t.Error("the target is cold 6 s after it stated a second")
	}
}
