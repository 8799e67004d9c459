package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/placement"
)

var epoch = time.Unix(1_000_000, 0)

// newRouter returns a router with the given numbers of targets, models and copies of each model.
func newRouter(targets, models, copies int) *Router {
	rnd := rand.New(rand.NewPCG(1, 2))
	return newRouterWith(Config{Zone: "z0", Rand: rnd.Uint64}, targets, models, copies)
}

func newRouterWith(cfg Config, targets, models, copies int) *Router {
	view := &placement.View{}
	for i := range targets {
		view.Targets = append(view.Targets, placement.TargetView{
			ID: fmt.Sprintf("t%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: fmt.Sprintf("z%d", i%4), Slots: 8,
		})
	}
	for m := range models {
		for c := range copies {
			t := &view.Targets[(m*7+c*13)%targets]
			t.Models = append(t.Models, fmt.Sprintf("m%d", m))
		}
	}
	r := New(cfg)
	r.SetPlacement(view, nil)
	return r
}

// Guards against all requests going to the target that last reported an idle engine until the next load report.
func TestPickSpreadsBetweenReports(t *testing.T) {
	r := newRouter(20, 1, 20)
	for i := 1; i < 20; i++ {
		r.RecordLoad(fmt.Sprintf("t%d", i), engine.Load{Running: 4, Slots: 8}, epoch)
	}
	r.RecordLoad("t0", engine.Load{Running: 0, Slots: 8}, epoch)
	counts := map[string]int{}
	for range 200 {
		target, ok := r.Pick(epoch, &Request{Model: "m0"})
		if !ok {
			t.Fatal("no target")
		}
		counts[target.ID]++
	}
	if counts["t0"] > 30 {
		t.Errorf("idle target t0 got %d of 200 requests between two load reports, want at most 30", counts["t0"])
	}
}

// Guards against requests with a common prefix being spread over several targets, each of which must prefill it.
func TestPickPrefersPrefixHolder(t *testing.T) {
	r := newRouter(20, 1, 20)
	q := Request{Model: "m0", Prefix: 0xabcdef0123456789, PromptTokens: 4000, PrefixTokens: 3900}
	first, _ := r.Pick(epoch, &q)
	first.FirstToken(&q) // before its first token, its prompt counts as waiting for prefill
	for range 5 {
		next, _ := r.Pick(epoch, &q)
		if next != first {
			t.Fatalf("request went to %s, its prefix is cached at %s", next.ID, first.ID)
		}
	}
	// A target with a long queue must not be chosen, even if it caches the prefix.
	for range 40 {
		first.addOutstanding(0)
	}
	if next, _ := r.Pick(epoch, &q); next == first {
		t.Error("overloaded target was chosen because it caches the prefix")
	}
}

// Guards against a failing target that goes on getting requests, and against one that gets more than a single trial
// request when its ejection time ends.
func TestFailingTargetIsEjectedAndRetried(t *testing.T) {
	r := newRouter(1, 1, 1)
	now := epoch
	for range ejectAfterFailures {
		target, _ := r.Pick(now, &Request{Model: "m0"})
		target.Done(now, Result{Failed: true})
	}
	if _, ok := r.Pick(now, &Request{Model: "m0"}); ok {
		t.Fatal("ejected target was chosen")
	}
	now = now.Add(minEjection)
	trial, ok := r.Pick(now, &Request{Model: "m0"})
	if !ok {
		t.Fatal("no trial request after the ejection time")
	}
	if _, ok := r.Pick(now, &Request{Model: "m0"}); ok {
		t.Fatal("second request before the trial ended")
	}
	trial.Done(now, Result{Failed: true})
	if _, ok := r.Pick(now.Add(minEjection), &Request{Model: "m0"}); ok {
		t.Fatal("ejection time did not grow after a failed trial")
	}
	trial, _ = r.Pick(now.Add(2*minEjection), &Request{Model: "m0"})
	trial.Done(now, Result{})
	for range 3 {
		if _, ok := r.Pick(now, &Request{Model: "m0"}); !ok {
			t.Fatal("target not readmitted after a successful trial")
		}
	}
}

// Guards against a retry that goes to the target that failed, and against a new placement that resets the load of
// a target.
func TestRetryAndPlacementChangeKeepTargetState(t *testing.T) {
	r := newRouter(2, 1, 2)
	q := Request{Model: "m0"}
	first, _ := r.Pick(epoch, &q)
	q.Exclude(first)
	second, ok := r.Pick(epoch, &q)
	if !ok || second == first {
		t.Fatal("excluded target was chosen")
	}
	view := &placement.View{Targets: []placement.TargetView{
		{ID: first.ID, Addr: first.Addr, Zone: first.Zone, Slots: 8, Models: []string{"m0"}},
		{ID: second.ID, Addr: second.Addr, Zone: second.Zone, Slots: 8, Models: []string{"m0"}, Leaving: true},
	}}
	r.SetPlacement(view, nil)
	if got := r.Target(first.ID); got != first || got.Outstanding() != 1 {
		t.Error("outstanding requests were lost with the new placement")
	}
	for range 10 {
		if target, _ := r.Pick(epoch, &Request{Model: "m0"}); target != first {
			t.Fatal("leaving target got new work")
		}
	}
}

// Guards against a request for an adapter that goes to a target where only its model is resident.
func TestPickNeedsAdapter(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	r := New(Config{Rand: rnd.Uint64})
	r.SetPlacement(&placement.View{Targets: []placement.TargetView{
		{ID: "t0", Slots: 8, Models: []string{"m"}},
		{ID: "t1", Slots: 8, Models: []string{"m"}, Adapters: []string{"a"}},
	}}, nil)
	for range 20 {
		if target, ok := r.Pick(epoch, &Request{Model: "m", Adapter: "a"}); !ok || target.ID != "t1" {
			t.Fatal("no target chosen, or not t1, the only one where the adapter is resident")
		}
	}
}

// Guards against one gateway filling the queue of an engine that it shares with others: requests in that queue are no
// longer served in the order of the gateways' fair queues.
func TestBoundedPickLimitsOutstandingRequests(t *testing.T) {
	r := newRouter(1, 1, 1)
	r.SetGateways(4)
	r.RecordLoad("t0", engine.Load{Running: 8, Slots: 8}, epoch)
	picks := 0
	for range 20 {
		if _, ok := r.Pick(epoch, &Request{Model: "m0", LimitOutstanding: true}); ok {
			picks++
		}
	}
	if picks != 3 {
		t.Errorf("%d requests outstanding, want 8 slots x 1.25 / 4 gateways, rounded up", picks)
	}
}

// Guards against an overload in which requests that will miss their deadline use up target time, and against a margin
// that stays after the overload.
func TestWaitMarginFollowsLateFirstTokens(t *testing.T) {
	var m WaitMargin
	if got := m.Add(time.Second); got != time.Second {
		t.Errorf("wait of 1s became %v without any late first token", got)
	}
	for range 3 {
		m.Observe(true)
	}
	if got := m.Add(time.Second); got <= 2*time.Second {
		t.Errorf("wait of 1s became only %v after late first tokens", got)
	}
	for range 100 {
		m.Observe(false)
	}
	if got := m.Add(time.Second); got != time.Second {
		t.Errorf("wait of 1s became %v after the overload", got)
	}
}

// Guards against heap allocations for each routed request.
func TestPickDoesNotAllocate(t *testing.T) {
	r := newRouter(200, 30, 20)
	q := Request{Model: "m3", Prefix: 77, PromptTokens: 500}
	allocs := testing.AllocsPerRun(1000, func() {
		target, _ := r.Pick(epoch, &q)
		target.FirstToken(&q)
		target.Done(epoch, Result{})
	})
	if allocs != 0 {
		t.Errorf("%v allocations per pick", allocs)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ targets, models, copies int }{{200, 30, 20}, {10_000, 510, 60}} {
		b.Run(fmt.Sprintf("targets=%d/models=%d", size.targets, size.models), func(b *testing.B) {
			r := newRouterWith(Config{Zone: "z0", Rand: rand.Uint64}, size.targets, size.models, size.copies)
			names := make([]string, size.models)
			for i := range names {
				names[i] = fmt.Sprintf("m%d", i)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					q := Request{Model: names[i%len(names)], Prefix: uint64(i) << 20, PromptTokens: 500}
					target, _ := r.Pick(epoch, &q)
					target.FirstToken(&q)
					target.Done(epoch, Result{})
				}
			})
		})
	}
}
