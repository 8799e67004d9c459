package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

// delayedCaller is a peer.Caller that calls the managers of other hosts after a delay.
type delayedCaller struct {
	hosts map[string]*Manager
	delay time.Duration
	calls atomic.Int64
}

func (n *delayedCaller) Call(ctx context.Context, member, method string, args, reply any) error {
	n.calls.Add(1)
	select {
	case <-time.After(n.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	s := &service{n.hosts[member]}
	if method == "Quota.Lend" {
		return s.Lend(args.(*LendArgs), reply.(*LendReply))
	}
	return s.Return(args.(*ReturnArgs), reply.(*ReturnReply))
}

// startHosts starts managers that share a rate of 8,000 tokens per second and a burst of 16,000 tokens.
func startHosts(t *testing.T, hosts int, noLoans bool) *delayedCaller {
	net := &delayedCaller{hosts: map[string]*Manager{}, delay: time.Millisecond}
	snap := snapshot(1, []ticket.Organisation{{Name: org, Rate: 8000, Burst: 16000}},
		func(i int) string { return hostID(i % hosts) })
	for i := range hosts {
		v := &fixedView{self: hostID(i)}
		v.snap.Store(snap)
		v.status.Store(int32(confview.Fresh))
		m, err := New(Config{View: v, Caller: net, NoLoans: noLoans})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		net.hosts[v.self] = m
	}
	return net
}

// workload is a steady sequence of requests of one organisation, sent to one host or spread over all.
type workload struct {
	charge, use     int64
	every, duration time.Duration
	extra           int // refusals allowed beyond those of a single bucket
	spread          bool
}

// refusals runs l for 60 s after a warm-up of 30 s and returns the numbers of refused requests, of all
// requests and of calls between hosts.
func refusals(t *testing.T, hosts int, noLoans bool, l workload) (refused, requests, calls int) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		net := startHosts(t, hosts, noLoans)
		m := net.hosts["a"]
		time.Sleep(30 * time.Second)
		start := time.Now()
		for i := range int(60 * time.Second / l.every) {
			requests++
			if l.spread {
				m = net.hosts[hostID(i%hosts)]
			}
			host := m
			if c, err := host.Spend(ctx, org, l.charge); err != nil {
				refused++
			} else {
				time.AfterFunc(l.duration, func() { host.Refund(&c, l.use) })
			}
			time.Sleep(time.Until(start.Add(time.Duration(i+1) * l.every)))
		}
		time.Sleep(5 * time.Second)
		calls = int(net.calls.Load())
	})
	return refused, requests, calls
}

// Guards against refusals of requests within the rate: the load balancer sends one organisation's requests
// to one of eight hosts, and no more of them may be refused than with a single bucket of the whole rate.
func TestSkewedDemandIsNotRefused(t *testing.T) {
	// With a duration of 3 s the outstanding charges are 2.7 times the burst, so a single bucket refuses too.
	// Unused loans reach their lenders up to 0.2 s later than a refund reaches a single bucket; extra
	// covers this delay. At three times the rate, tokens in transit cause the same delay.
	for name, l := range map[string]workload{
		"90% of the rate, all used":      {charge: 72, use: 72, every: 10 * time.Millisecond, duration: time.Second},
		"charge 4 times the use, 3 s":    {charge: 288, use: 72, every: 20 * time.Millisecond, duration: 3 * time.Second, extra: 200},
		"charge 4 times the use, 200 ms": {charge: 1000, use: 250, every: 50 * time.Millisecond, duration: 200 * time.Millisecond},
		"three times the rate":           {charge: 240, use: 240, every: 10 * time.Millisecond, duration: time.Second, extra: 90},
		"spread over the hosts":          {charge: 72, use: 72, every: 10 * time.Millisecond, duration: time.Second, spread: true},
		"large requests spread":          {charge: 7200, use: 7200, every: time.Second, duration: time.Second, spread: true},
		"half of the burst in a request": {charge: 8000, use: 8000, every: 1200 * time.Millisecond, duration: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			single, requests, _ := refusals(t, 1, true, l)
			static, _, _ := refusals(t, 8, true, l)
			loans, _, calls := refusals(t, 8, false, l)
			t.Logf("of %d requests refused: %d single bucket, %d static shares, %d with loans (%d calls)",
				requests, single, static, loans, calls)
			if loans > single+l.extra {
				t.Errorf("%d refused with loans, %d with a single bucket", loans, single)
			}
		})
	}
}

// Guards against one loan call per waiting request, and against tokens lost or requests left without an
// outcome when callers leave while they wait for loans.
func TestWaitingRequestsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := startHosts(t, 8, false)
		time.Sleep(30 * time.Second)
		m := net.hosts["a"]
		gone, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var served, left atomic.Int64
		for i := range 100 {
			ctx := t.Context()
			if i%10 == 9 {
				ctx = gone
			}
			wg.Go(func() {
				if _, err := m.Spend(ctx, org, 100); err == nil {
					served.Add(1)
				} else if r, ok := refusal.As(err); ok && r.Reason == refusal.DeadlineUnreachable && r.Run == refusal.NotRun {
					left.Add(1)
				}
			})
		}
		synctest.Wait()
		cancel()
		wg.Wait()
		// The 2,000 local tokens serve 20 requests at once; at least 8 of the 80 that wait for loans are cancelled.
		if served.Load()+left.Load() != 100 || left.Load() == 0 {
			t.Errorf("%d served, %d left", served.Load(), left.Load())
		}
		if n := net.calls.Load(); n > maxParallelRequests*maxLoanRounds {
			t.Errorf("%d calls for 100 requests", n)
		}
	})
}

// Guards against a RetryAfter that is too short for the next attempt to succeed, against a RetryAfter for a
// charge above the burst, and against spending with an outdated configuration.
func TestRefusalReasonsAndRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := startHosts(t, 1, false)
		time.Sleep(30 * time.Second)
		m := net.hosts["a"]
		refused := func(tokens int64) *refusal.Error {
			_, err := m.Spend(t.Context(), org, tokens)
			r, _ := refusal.As(err)
			return r
		}
		if r := refused(16001); r == nil || r.Reason != refusal.BurstTooSmall || r.RetryAfter != 0 {
			t.Errorf("above the burst: %v", r)
		}
		if r := refused(16000); r != nil {
			t.Errorf("the whole burst: %v", r)
		}
		r := refused(4000)
		if r == nil || r.Reason != refusal.RateExceeded || r.RetryAfter != 500*time.Millisecond {
			t.Fatalf("empty bucket: %+v", r)
		}
		time.Sleep(r.RetryAfter)
		if r := refused(4000); r != nil {
			t.Errorf("after the wait: %v", r)
		}
		v := m.view.(*fixedView)
		v.status.Store(int32(confview.Isolated))
		if r := refused(1); r == nil || r.Reason != refusal.ConfigStale || r.Run != refusal.NotRun {
			t.Errorf("isolated: %v", r)
		}
	})
}
