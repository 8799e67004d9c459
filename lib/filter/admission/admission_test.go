package admission

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

type fixedView struct{ snap *confview.Snapshot }

func (v *fixedView) Snapshot() *confview.Snapshot         { return v.snap }
func (v *fixedView) Status() confview.Status              { return confview.Fresh }
func (v *fixedView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (v *fixedView) Members() []confview.Member           { return nil }
func (v *fixedView) Self() string                         { return "a" }

func newView(orgs int) *fixedView {
	s := &confview.Snapshot{
		Manifest:  &manifest.Manifest{Slots: manifest.SlotTable{Version: 1}},
		State:     &ticket.State{Organisations: map[string]ticket.Organisation{}},
		Placement: &placement.View{},
	}
	for range manifest.SlotCount {
		s.Manifest.Slots.Owners = append(s.Manifest.Slots.Owners, "a")
	}
	for i := range orgs {
		name := fmt.Sprintf("org-%d", i)
		s.State.Organisations[name] = ticket.Organisation{Name: name, Rate: 1 << 40, Burst: 1 << 41, Weight: 1}
	}
	return &fixedView{s}
}

// quotaRecorder is a Quota that grants every charge and records charges and refunds.
type quotaRecorder struct {
	mu          sync.Mutex
	spent, used int64
	refunds     int
}

func (l *quotaRecorder) Spend(_ context.Context, _ string, n int64) (quota.Charge, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent += n
	return quota.Charge{Tokens: n}, nil
}

func (l *quotaRecorder) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spent
}

func (l *quotaRecorder) Refund(_ *quota.Charge, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used += used
	l.refunds++
}

// fakeEngine answers after a second unless the context ends first. It records the order of the requests and
// the highest number at once.
type fakeEngine struct {
	mu                  sync.Mutex
	running, maxRunning int
	order               []string
}

func (e *fakeEngine) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	e.mu.Lock()
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.order = append(e.order, ex.Organisation)
	e.mu.Unlock()
	defer func() { e.mu.Lock(); e.running--; e.mu.Unlock() }()
	select {
	case <-time.After(time.Second):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type result struct {
	org      string
	reason   refusal.Reason
	run      refusal.RunState
	elapsed  time.Duration
	priority int
}

// send passes one request through the filter and finishes it as the server does.
func send(ctx context.Context, f *Filter, org string, timeout time.Duration) result {
	start := time.Now()
	ex := &pipeline.Exchange{
		Kind: pipeline.KindModel, Organisation: org, BaseModel: "m", Charge: 100, Start: start, Deadline: start.Add(timeout),
	}
	err := f.Serve(ctx, ex)
	out := pipeline.Outcome{Ran: err == nil, PromptTokens: 10, OutputTokens: 20, FirstToken: time.Since(start)}
	res := result{org: org, elapsed: time.Since(start), priority: ex.Priority}
	if r, ok := refusal.As(err); ok {
		res.reason, res.run = r.Reason, r.Run
	}
	ex.Finish(out)
	return res
}

func newFilter(limit, waiting int) (*Filter, *fakeEngine, *quotaRecorder) {
	e, l := &fakeEngine{}, &quotaRecorder{}
	return New(e, Config{
		View: newView(4), Quota: l, OutstandingLimit: func(string) int { return limit }, MaxWaiting: waiting,
	}), e, l
}

// Guards against an organisation with many waiting requests delaying another one, against more outstanding
// requests than the limit, and against wrong refunds.
func TestQueueSharesModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e, l := newFilter(2, 0)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { send(t.Context(), f, "org-0", time.Hour) })
		}
		time.Sleep(500 * time.Millisecond)
		var light result
		wg.Go(func() { light = send(t.Context(), f, "org-1", time.Hour) })
		wg.Wait()
		if e.maxRunning != 2 || len(e.order) != 21 {
			t.Errorf("%d of 21 requests ran, at most %d at once, want 2", len(e.order), e.maxRunning)
		}
		if light.elapsed > 2*time.Second {
			t.Errorf("the light organisation waited %v behind the other's 20 requests", light.elapsed)
		}
		if l.spent != 2100 || l.used != 21*30 || l.refunds != 21 {
			t.Errorf("spent %d, used %d in %d refunds", l.spent, l.used, l.refunds)
		}
	})
}

// Guards against waiting requests that go on to count as outstanding or keep their tokens after their caller
// left or their deadline passed.
func TestGoneAndExpiredLeaveQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e, l := newFilter(1, 0)
		var wg sync.WaitGroup
		wg.Go(func() { send(t.Context(), f, "org-0", time.Hour) })
		synctest.Wait()
		gone, cancel := context.WithCancel(t.Context())
		var left, expired result
		wg.Go(func() { left = send(gone, f, "org-1", time.Hour) })
		wg.Go(func() { expired = send(t.Context(), f, "org-2", 300*time.Millisecond) })
		time.Sleep(200 * time.Millisecond)
		cancel()
		wg.Wait()
		if left.elapsed != 200*time.Millisecond || expired.elapsed != 300*time.Millisecond {
			t.Errorf("cancelled after %v, expired after %v", left.elapsed, expired.elapsed)
		}
		if expired.reason != refusal.DeadlineUnreachable || expired.run != refusal.NotRun {
			t.Errorf("expired: %s %s", expired.reason, expired.run)
		}
		if got := send(t.Context(), f, "org-3", time.Hour); got.elapsed != time.Second {
			t.Errorf("the next request took %v, want 1s: an ended request still counts as outstanding", got.elapsed)
		}
		g := f.gateFor("m")
		if len(e.order) != 2 || l.refunds != 4 || l.used != 60 || g.outstanding != 0 || len(g.tokens) != 0 {
			t.Errorf("%d ran, %d refunds, %d used, %d outstanding, tokens %v",
				len(e.order), l.refunds, l.used, g.outstanding, g.tokens)
		}
	})
}

// Guards the early refusal: a request that would wait past its deadline is refused at once without a charge,
// and one that can meet its deadline is not refused.
func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, l := newFilter(2, 0)
		for range minSamples {
			send(t.Context(), f, "org-0", time.Hour)
		}
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { send(t.Context(), f, "org-0", time.Hour) })
		}
		time.Sleep(time.Millisecond)
		spent := l.total()
		// One of two outstanding requests finishes every 0.5 s on average, and the first token takes 1 s more.
		got := send(t.Context(), f, "org-0", 900*time.Millisecond)
		if got.reason != refusal.DeadlineUnreachable || got.run != refusal.NotRun || got.elapsed != 0 || l.total() != spent {
			t.Errorf("request that cannot meet its deadline: %+v, spent %d", got, l.total()-spent)
		}
		// The request has the earliest deadline of its organisation, so it is next although 18 others wait.
		if got := send(t.Context(), f, "org-0", 2500*time.Millisecond); got.reason != "" {
			t.Errorf("refused %s after %v", got.reason, got.elapsed)
		}
		wg.Wait()
	})
}

// Guards against the wait in the queue counting as time that engines need, so that requests that could be answered
// are refused after every burst, and against requests that use an engine although their first token comes too late.
func TestEstimateLeavesOutQueueWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newFilter(2, 0)
		var wg sync.WaitGroup
		for range 40 { // the last ones wait for 19 s
			wg.Go(func() { send(t.Context(), f, "org-0", time.Hour) })
		}
		wg.Wait()
		if first := f.gateFor("m").firstTokenSeconds.value; first < 0.9 || first > 1.1 {
			t.Errorf("estimated %.1f s to the first token, want 1 s", first)
		}
		for range 2 {
			wg.Go(func() { send(t.Context(), f, "org-0", time.Hour) })
		}
		time.Sleep(time.Millisecond)
		// An outstanding request finishes after 1 s, so the first token would come after 2 s.
		got := send(t.Context(), f, "org-0", 1800*time.Millisecond)
		if got.reason != refusal.DeadlineUnreachable || got.run != refusal.NotRun {
			t.Errorf("%+v", got)
		}
		wg.Wait()
	})
}

// Guards the bound of the queue: if it is full, a request of the organisation with the longest backlog is refused.
func TestFullQueueDropsLongestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e, _ := newFilter(1, 5)
		results := make(chan result, 10)
		for range 8 {
			go func() { results <- send(t.Context(), f, "org-0", time.Hour) }()
		}
		synctest.Wait()
		light := send(t.Context(), f, "org-1", time.Hour)
		full := 0
		for range 8 {
			if (<-results).reason == refusal.QueueFull {
				full++
			}
		}
		if light.reason != "" || full != 3 || len(e.order) != 6 {
			t.Errorf("light %q, %d refused, %d ran", light.reason, full, len(e.order))
		}
	})
}

// Guards the order at the engine: first the organisation with fewer tokens outstanding per weight, then the
// earlier deadline.
func TestPriorityFollowsQueue(t *testing.T) {
	if priority(0, time.Hour) >= priority(5000, time.Millisecond) {
		t.Error("an organisation above its share goes first")
	}
	if priority(0, time.Second) >= priority(0, 2*time.Second) {
		t.Error("the later deadline goes first")
	}
}

// Guards against more or fewer retries than 10% of the requests and one.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.CreditRequest("x")
		for b.Allow("x") {
			retries++
		}
	}
	if retries != 101 {
		t.Errorf("%d retries for 1,000 requests", retries)
	}
}

// Guards the limit per model: 1.25 times the batch slots of its targets divided among the gateways, at least
// two per target, without leaving targets.
func TestLimitFollowsPlacement(t *testing.T) {
	got := modelLimits(&placement.View{Targets: []placement.TargetView{
		{Slots: 32, Models: []string{"m", "n"}}, {Slots: 4, Models: []string{"m"}}, {Slots: 64, Models: []string{"m"}, Leaving: true},
	}}, 8)
	if got["m"] != 7 || got["n"] != 5 {
		t.Errorf("limits %v", got)
	}
}

// Measures Serve without waiting: gate, charge, next handler and refund.
func BenchmarkAdmit(b *testing.B) {
	for _, orgs := range []int{5, 500} {
		for _, cores := range []int{1, 10} {
			b.Run(fmt.Sprintf("orgs=%d/cores=%d", orgs, cores), func(b *testing.B) {
				v := newView(orgs)
				var now atomic.Int64
				start := time.Now()
				m, err := quota.New(quota.Config{View: v, Clock: func() int64 {
					return now.Load() + int64(time.Since(start)) + 1
				}})
				if err != nil {
					b.Fatal(err)
				}
				defer m.Close()
				for range 3 { // receives the slots, starts to generate, has tokens
					_, _ = m.Spend(context.Background(), "org-0", 1)
					now.Add(int64(10 * time.Second))
				}
				names := make([]string, orgs)
				for i := range names {
					names[i] = fmt.Sprintf("org-%d", i)
				}
				next := pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil })
				f := New(next, Config{
					View: v, Quota: m, Retries: NewRetryBudget(), OutstandingLimit: func(string) int { return 1 << 30 },
				})
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
				var goroutine atomic.Int64
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for i := int(goroutine.Add(1)) * 7; pb.Next(); i++ {
						ex := &pipeline.Exchange{
							Kind: pipeline.KindModel, BaseModel: "m", Organisation: names[i%orgs], Charge: 1,
						}
						if err := f.Serve(context.Background(), ex); err != nil {
							b.Error(err)
							return
						}
						ex.Finish(pipeline.Outcome{Ran: true, PromptTokens: 1})
					}
				})
			})
		}
	}
}
