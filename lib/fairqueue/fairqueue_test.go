package fairqueue

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "20260711", "")) }

// checkHeaps fails if the queue does not have as many entries as all, if an index or a sum of tokens is wrong, or if a
// heap is out of order.
func checkHeaps(t *rapid.T, q *Queue, all []*Entry) {
	if q.Len() != len(all) {
		t.Fatalf("%d entries, want %d", q.Len(), len(all))
	}
	n := 0
	for i, f := range q.active {
		if f.heapIndex != i || q.backlog[f.backlogIndex] != f || len(f.entries) == 0 || q.byName[f.name] != f {
			t.Fatalf("flow %s has a wrong heap index, no entries, or is not the one in byName", f.name)
		}
		waiting := 0.0
		for j, e := range f.entries {
			waiting += float64(e.Tokens)
			if e.flowIndex != j || q.deadlines[e.deadlineIndex] != e || e.flow != f {
				t.Fatalf("an entry of %s has a wrong index", f.name)
			}
			if j > 0 && dueBefore(e, f.entries[(j-1)/2]) {
				t.Fatalf("heap of %s is out of order", f.name)
			}
		}
		if waiting != f.backlogTokens {
			t.Fatalf("entries of %s have %v tokens, its backlogTokens is %v", f.name, waiting, f.backlogTokens)
		}
		if i > 0 && q.active.Less(i, (i-1)/2) || q.backlog.Less(i, (i-1)/2) && i > 0 {
			t.Fatal("heap of active flows or of backlogs is out of order")
		}
		n += len(f.entries)
	}
	if n != q.Len() || len(q.byName) != len(q.active)+len(q.idle) {
		t.Fatalf("%d entries in flows, %d in the queue; %d flows in byName", n, q.Len(), len(q.byName))
	}
}

// Guards against lost, repeated or misordered entries under pushes, pops, removals, expiry and overflow.
func TestEntriesLeaveOnceAndInDeadlineOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(20)
		var all []*Entry
		drop := func(e *Entry) {
			i := slices.Index(all, e)
			if i < 0 {
				t.Fatal("an entry left the queue twice or was never pushed")
			}
			all = slices.Delete(all, i, i+1)
		}
		now := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := &Entry{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "org"),
					Weight:       rapid.Int64Range(0, 3).Draw(t, "weight"),
					Tokens:       rapid.Int64Range(1, 100).Draw(t, "tokens"),
					Deadline:     now + rapid.Int64Range(1, 50).Draw(t, "deadline"),
				}
				all = append(all, e)
				if d := q.Push(e); d != nil {
					drop(d)
				}
			},
			"pop": func(t *rapid.T) {
				e := q.Pop()
				if (e == nil) != (len(all) == 0) {
					t.Fatalf("Pop returned %v from a queue of %d entries", e, len(all))
				}
				if e == nil {
					return
				}
				drop(e)
				for _, other := range all {
					if other.Organisation == e.Organisation && dueBefore(other, e) {
						t.Fatal("an entry was served before one of the same organisation with an earlier deadline")
					}
				}
			},
			"remove": func(t *rapid.T) {
				if len(all) > 0 {
					e := rapid.SampledFrom(all).Draw(t, "entry")
					drop(e)
					if !q.Remove(e) || q.Remove(e) {
						t.Fatal("Remove must succeed for a queued entry and fail when repeated")
					}
				}
			},
			"expire": func(t *rapid.T) {
				now += rapid.Int64Range(0, 20).Draw(t, "time")
				for e := q.PopExpired(now); e != nil; e = q.PopExpired(now) {
					drop(e)
				}
				for _, e := range all {
					if e.Deadline <= now {
						t.Fatal("an expired entry stayed in the queue")
					}
				}
			},
			"": func(t *rapid.T) { checkHeaps(t, q, all) },
		})
	})
}

// Guards against unfair service: while two organisations both have entries waiting, the tokens served divided by the
// weight may differ by at most the sum of their largest requests divided by weight, whatever their backlogs and sizes.
func TestServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(1 << 20)
		n := rapid.IntRange(2, 5).Draw(t, "organisations")
		weight, served, largest := make([]int64, n), make([]float64, n), make([]float64, n)
		left := make([]int, n)
		for i := range n {
			weight[i] = rapid.Int64Range(1, 4).Draw(t, "weight")
			left[i] = rapid.IntRange(1, 200).Draw(t, "entries")
			size := rapid.Int64Range(1, 1000).Draw(t, "largest")
			for j := range left[i] {
				e := &Entry{
					Organisation: fmt.Sprint(i), Weight: weight[i], Tokens: 1 + (int64(j)*7919)%size, Deadline: int64(j), Value: i,
				}
				largest[i] = max(largest[i], float64(e.Tokens)/float64(weight[i]))
				q.Push(e)
			}
		}
		for e := q.Pop(); e != nil; e = q.Pop() {
			i := e.Value.(int)
			served[i] += float64(e.Tokens) / float64(weight[i])
			left[i]--
			for a := range n {
				for b := range n {
					// All entries are queued from the start. An organisation without entries left is no longer compared.
					if left[a] > 0 && left[b] > 0 && served[a]-served[b] > largest[a]+largest[b]+1e-6 {
						t.Fatalf("tokens served per weight: organisation %d %v, organisation %d %v", a, served[a], b, served[b])
					}
				}
			}
		}
	})
}

// Guards against the backlog of one organisation delaying another: a request of an organisation without backlog must be
// served after at most one request of each other organisation. As a control, with all requests under one organisation
// the request waits for the whole backlog.
func TestBacklogDoesNotDelayOthers(t *testing.T) {
	for name, fair := range map[string]bool{"by organisation": true, "control: one queue": false} {
		t.Run(name, func(t *testing.T) {
			org := func(name string) string {
				if fair {
					return name
				}
				return "all"
			}
			q := New(1 << 20)
			for i := range int64(10_000) {
				q.Push(&Entry{Organisation: org("busy"), Tokens: 100, Deadline: i})
				if i%2 == 0 {
					q.Push(&Entry{Organisation: org("other"), Tokens: 100, Deadline: i})
				}
			}
			for range 1000 {
				q.Pop()
			}
			if ahead := q.EstimateAhead(org("light"), 1, 1<<40); fair && ahead > 2 {
				t.Errorf("EstimateAhead returns %v entries before a request without backlog, want at most 2", ahead)
			}
			light := &Entry{Organisation: org("light"), Tokens: 100, Deadline: 1 << 40}
			q.Push(light)
			before := 0
			for q.Pop() != light {
				before++
			}
			t.Logf("%d requests were served before the one of organisation light", before)
			if (before <= 2) != fair {
				t.Errorf("%d requests were served before the one of organisation light", before)
			}
		})
	}
}

// BenchmarkPushPop measures the cost that the queue adds to a request that has to wait behind a backlog.
func BenchmarkPushPop(b *testing.B) {
	for _, orgs := range []int{5, 500} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			q := New(1 << 20)
			names := make([]string, orgs)
			for i := range names {
				names[i] = fmt.Sprintf("org-%d", i)
			}
			for i := range 4096 {
				q.Push(&Entry{Organisation: names[i%orgs], Tokens: 500, Deadline: int64(i)})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := q.Pop()
				e.Organisation, e.Deadline = names[i%orgs], int64(i)
				q.Push(e)
			}
		})
	}
}

// Guards against entries of a higher level that are served or kept before those of a lower one, and against an entry that blocks others
// because it cannot be served itself.
func TestLevelsAreServedInOrder(t *testing.T) {
	l := &Levels{Limit: 4}
	entries := map[string]*Entry{}
	for level, name := range []string{"first", "second", "third"} {
		entries[name] = &Entry{Organisation: "o", Tokens: 1, Deadline: int64(10 - level), Value: name}
		l.Push(level, entries[name])
	}
	none := func(*Entry) bool { return false }
	if e := l.Next(none); e.Value != "first" || l.Len() != 3 {
		t.Errorf("%v of %d", e.Value, l.Len())
	}
	if e := l.Next(func(e *Entry) bool { return e.Value == "first" }); e.Value != "second" {
		t.Errorf("%v", e.Value)
	}
	l.Push(0, &Entry{Organisation: "p", Tokens: 1})
	if dropped := l.Push(1, &Entry{Organisation: "p", Tokens: 1}); dropped == nil || dropped.Value != "third" || l.Len() != 4 {
		t.Errorf("dropped %+v of %d", dropped, l.Len())
	}
	l.Take(entries["first"])
	if !l.Remove(entries["second"]) || l.Remove(entries["second"]) || l.Len() != 2 {
		t.Errorf("%d left", l.Len())
	}
}
