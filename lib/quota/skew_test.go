package quota

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/ticket"
)

// directNet calls other managers after a delay.
type directNet struct {
	hosts map[string]*Manager
	delay time.Duration
	calls atomic.Int64
}

func (n *directNet) Call(ctx context.Context, member, method string, args, reply any) error {
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

// load is a steady demand of one organisation, all of it at one host.
type load struct {
	charge, use int64
	every, hold time.Duration
	more        int // requests that may be refused beyond those of a single bucket
}

// refusals counts the requests refused in 60 s after a warm-up of 30 s, and the calls between hosts. The
// rate is 8,000 tokens a second, the burst 16,000.
func refusals(t *testing.T, hosts int, noLoans bool, l load) (refused, requests, calls int) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		net := &directNet{hosts: map[string]*Manager{}, delay: time.Millisecond}
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
			defer m.Close()
			net.hosts[v.self] = m
		}
		m := net.hosts["a"]
		time.Sleep(30 * time.Second)
		for range int(60 * time.Second / l.every) {
			requests++
			if c, err := m.Spend(ctx, org, l.charge); err != nil {
				refused++
			} else {
				time.AfterFunc(l.hold, func() { m.Refund(&c, l.use) })
			}
			time.Sleep(l.every)
		}
		time.Sleep(5 * time.Second)
		calls = int(net.calls.Load())
	})
	return refused, requests, calls
}

// Guards requirement "not refused within the rate": the load balancer sends one organisation's requests
// to one of eight hosts, and no more is refused than with a single bucket of the whole rate.
func TestSkewedDemandIsNotRefused(t *testing.T) {
	// In the second case the charges outstanding are 2.7 times the burst, so a single bucket refuses too;
	// unused loans reach their lenders up to 0.1 s later than a refund to a single bucket.
	for name, l := range map[string]load{
		"90% of the rate, all used":      {charge: 72, use: 72, every: 10 * time.Millisecond, hold: time.Second},
		"charge 4 times the use, 3 s":    {charge: 288, use: 72, every: 20 * time.Millisecond, hold: 3 * time.Second, more: 90},
		"charge 4 times the use, 200 ms": {charge: 1000, use: 250, every: 50 * time.Millisecond, hold: 200 * time.Millisecond},
		"half of the burst in a request": {charge: 8000, use: 8000, every: 1200 * time.Millisecond, hold: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			single, requests, _ := refusals(t, 1, true, l)
			static, _, _ := refusals(t, 8, true, l)
			loans, _, calls := refusals(t, 8, false, l)
			t.Logf("of %d requests refused: %d single bucket, %d static shares, %d with loans (%d calls)",
				requests, single, static, loans, calls)
			if loans > single+l.more {
				t.Errorf("%d refused with loans, %d with a single bucket", loans, single)
			}
		})
	}
}
