package hostqueue

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/passthrough"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// during returns a rate that is multiplied from one time to another.
func during(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return rate * factor
		}
		return rate
	}
}

// capacity is what 20 targets can serve, in requests a second.
const capacity = 150

// mixed returns kinds of three priorities. rate returns the rate of each from its part of the requests.
func mixed(rate func(part float64) func(time.Duration) float64) []kind {
	return []kind{
		{"urgent", "a", 0, 500 * time.Millisecond, 1000, 100, rate(0.3)},
		{"usual", "b", 1, 800 * time.Millisecond, 1000, 100, rate(0.5)},
		{"batch", "c", 2, 800 * time.Millisecond, 1500, 100, rate(0.2)},
	}
}

func (s *sim) of(name string) report {
	return s.report(func(c *simCall) bool { return strings.HasPrefix(c.kind.name, name) })
}

// organisations returns a kind for each of six organisations; the first sends 7.5 times its load for ten seconds.
func organisations() (kinds []kind) {
	for i := range 6 {
		name, rate := fmt.Sprint("other", i), steady(0.12*capacity)
		if i == 0 {
			name, rate = "first", during(0.12*capacity, 7.5, 5*time.Second, 15*time.Second)
		}
		kinds = append(kinds, kind{name, name, 1, 800 * time.Millisecond, 1000, 100, rate})
	}
	return kinds
}

// Guards against hosts that send everything at once, so that what the targets begin is late. Each case has to fail without a queue at the
// hosts, as they decide without the setting admission.
func TestCallersGetMoreThanWithoutAQueue(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		site
		met func(hosts int, s *sim) bool
	}{
		"twice the load of mixed kinds": {site{
			length: 20 * second, kinds: mixed(func(p float64) func(time.Duration) float64 { return steady(2 * capacity * p) }),
		}, func(_ int, s *sim) bool {
			urgent, usual, batch := s.of("urgent"), s.of("usual"), s.of("batch")
			return s.of("").part(s.of("").inTime) > 0.22 && urgent.part(urgent.inTime) > 0.52 && urgent.part(urgent.answered) > 0.97 &&
				urgent.part(urgent.inTime) > usual.part(usual.inTime) && usual.part(usual.inTime) > batch.part(batch.inTime)
		}},
		"one organisation at 7.5 times its load": {site{length: 20 * second, kinds: organisations()}, func(_ int, s *sim) bool {
			others := s.of("other")
			return others.part(others.inTime) > 0.65 && others.part(others.answered) > 0.93
		}},
		"a burst of long prompts": {site{length: 15 * second, kinds: []kind{
			{"short", "a", 1, 800 * time.Millisecond, 500, 100, steady(0.6 * capacity)},
			{"long", "b", 1, 800 * time.Millisecond, 9000, 50, during(2, 20, 5*second, 8*second)},
		}}, func(_ int, s *sim) bool {
			short := s.of("short")
			return short.part(short.inTime) > 0.77 && s.of("long").answered > 0
		}},
		"half of the targets gone for 4 s": {site{
			length: 15 * second, gone: 10, goneFrom: 5 * second, goneTo: 9 * second,
			kinds: mixed(func(p float64) func(time.Duration) float64 { return steady(0.8 * capacity * p) }),
		}, func(hosts int, s *sim) bool {
			limit := 1200 * time.Millisecond
			if hosts > 10 {
				limit = 1550 * time.Millisecond
			}
			return quantile(s.of("").lastWaits, 0.9) < limit && s.of("").part(s.of("").answered) > 0.9
		}},
		"a burst, and callers that come back": {site{length: 14 * second, kinds: mixed(func(p float64) func(time.Duration) float64 {
			return during(0.5*capacity*p, 5, 4*second, 8*second)
		})}, func(_ int, s *sim) bool {
			back := s.report(func(c *simCall) bool { return c.sends > 1 })
			return quantile(s.of("").lastWaits, 0.9) < 2200*time.Millisecond && back.n > 100 && back.part(back.answered) > 0.15 &&
				s.of("").part(s.of("").answered) > 0.65
		}},
	} {
		for _, hosts := range []int{7, 80} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				day := c.site
				day.hosts, day.targets = hosts, 20
				before := play(day, 1)
				day.admission = true
				after := play(day, 1)
				t.Logf("without: %v; with: %v", before.of(""), after.of(""))
				if c.met(hosts, before) {
					t.Error("met without a queue")
				}
				if !c.met(hosts, after) || after.of("").refusedLate > 0 {
					for _, k := range c.kinds {
						t.Error(k.name, after.of(k.name))
					}
				}
			})
		}
	}
}

// Guards against a queue that costs callers answers while the targets can serve them. Plays of the same day differ by 0.02.
func TestQueueCostsNothingBelowCapacity(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		c := site{hosts: 80, targets: 20, length: 15 * time.Second, kinds: mixed(func(p float64) func(time.Duration) float64 {
			return steady(load * capacity * p)
		})}
		before := play(c, 1).of("")
		c.admission = true
		after := play(c, 1).of("")
		if after.part(after.inTime) < before.part(before.inTime)-0.06 || after.part(after.answered) < 0.98 {
			t.Errorf("load %v, without: %v; with: %v", load, before, after)
		}
	}
}

// fakeBalancer has room for a part of the demand.
type fakeBalancer struct{ full *balance.FullError }

func (f *fakeBalancer) Pick(q balance.Query, _ time.Time) (*balance.Choice, error) {
	if f.full != nil && (q.StartWithin == 0 || q.Rank >= f.full.Sent) {
		e := *f.full
		return nil, &e
	}
	return &balance.Choice{}, nil
}

func request(organisation string, priority int, at time.Time) *Request {
	return &Request{
		Query: balance.Query{Service: "s", Priority: priority, Call: &passthrough.Call{Model: "m"}}, Organisation: organisation,
		Tokens: 100, Objective: 800 * time.Millisecond, Arrived: at, Latest: at.Add(3 * time.Second),
	}
}

// Guards against a less urgent request that is sent while a more urgent one waits, and against an organisation that gets more because it
// sends more.
func TestUrgentRequestsAndSmallOrganisationsComeFirst(t *testing.T) {
	at := time.Unix(1000, 0)
	b := &fakeBalancer{&balance.FullError{Sent: 0.5, RoomIn: time.Second}}
	draw := 0.0
	q := New(b, func() float64 { draw = math.Mod(draw+0.618, 1); return draw })
	sent, all := map[string]int{}, map[string]int{}
	for i := range 600 {
		now := at.Add(time.Duration(i) * 10 * time.Millisecond)
		// The large organisation sends nine requests for each one of the small one. A third of the requests are urgent.
		name, priority := "large", 1
		if i%10 == 0 {
			name = "small"
		}
		if i%3 == 0 {
			priority = 0
		}
		r := request(name, priority, now)
		q.Enter(r, now)
		if i > 200 {
			key := fmt.Sprint(name, priority)
			all[key]++
			if r.Choice != nil {
				sent[key]++
			}
		}
		q.Leave(r)
	}
	part := func(key string) float64 { return float64(sent[key]) / float64(all[key]) }
	if part("large0") < 0.9 || part("small0") < 0.9 || part("small1") < 0.9 || part("large1") > 0.35 {
		t.Errorf("sent %v of %v", sent, all)
	}
}

// Guards against a request that is held in vain, and then refused with little time left: it is refused on arrival if room is far away, or
// else when it has become late, and is never held for three quarters of its time.
func TestRefusalsComeEarly(t *testing.T) {
	at := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		full   balance.FullError
		rank   float64
		reason string
		by     time.Duration
	}{
		"hopeless":                      {balance.FullError{Sent: 0.3, RoomIn: time.Hour, StartIn: time.Minute}, 0.9, ReasonFull, 0},
		"near the part that is sent":    {balance.FullError{Sent: 0.3, RoomIn: time.Hour, StartIn: time.Minute}, 0.4, ReasonLate, 500 * time.Millisecond},
		"room is expected, never comes": {balance.FullError{Sent: 0.3, RoomIn: time.Second, StartIn: time.Minute}, 0.9, ReasonHeld, 1600 * time.Millisecond},
	} {
		b := &fakeBalancer{&c.full}
		q := New(b, func() float64 { return c.rank })
		r := request("o", 0, at)
		now := at
		for q.Enter(r, now); !r.Decided() && now.Before(at.Add(10*time.Second)); now = now.Add(50 * time.Millisecond) {
			q.Advance(now)
		}
		refused := (*RefusedError)(nil)
		if !errors.As(r.Err, &refused) || refused.Reason != c.reason || now.Sub(at) > c.by+50*time.Millisecond {
			t.Errorf("%s: %v after %v", name, r.Err, now.Sub(at))
		}
		if after := refused.RetryAfter(0.5); after < minRetryAfter || after > maxRetryAfter {
			t.Errorf("%s: Retry-After %v", name, after)
		}
	}
}

// Guards against callers that all come back at the same moment.
func TestRefusedCallersAreSpread(t *testing.T) {
	e := &RefusedError{RoomIn: time.Second}
	if early, late := e.RetryAfter(0), e.RetryAfter(0.999); late-early < 400*time.Millisecond {
		t.Errorf("%v to %v", early, late)
	}
}

// Guards against requests that stay in the queue when there is room, and when the host stops.
func TestQueueEmptiesWhenThereIsRoom(t *testing.T) {
	at := time.Unix(1000, 0)
	b := &fakeBalancer{&balance.FullError{Sent: 0, RoomIn: time.Second}}
	q := New(b, func() float64 { return 0.5 })
	for range 10 {
		q.Enter(request("o", 0, at), at)
	}
	if q.Len() != 10 {
		t.Fatalf("%d wait", q.Len())
	}
	b.full = nil
	if n := len(q.Advance(at.Add(100 * time.Millisecond))); n != 10 || q.Len() > 0 {
		t.Errorf("%d sent, %d wait", n, q.Len())
	}
	b.full = &balance.FullError{RoomIn: time.Second}
	q.Enter(request("o", 0, at), at)
	if n := len(q.Drain(errors.New("stop"))); n != 1 || q.Len() > 0 {
		t.Errorf("%d refused, %d wait", n, q.Len())
	}
}

// Guards against a queue that grows without bound.
func TestQueueIsBounded(t *testing.T) {
	at := time.Unix(1000, 0)
	q := New(&fakeBalancer{&balance.FullError{Sent: 0, RoomIn: time.Second}}, func() float64 { return 0.5 })
	for i := range maxWaiting + 100 {
		q.Enter(request(fmt.Sprint("o", i%5), i%3, at), at)
	}
	if q.Len() > maxWaiting {
		t.Errorf("%d wait", q.Len())
	}
}

// busyBalancer has no connection, or no request of a stated rate, to spare.
type busyBalancer struct{ err error }

func (b *busyBalancer) Pick(balance.Query, time.Time) (*balance.Choice, error) {
	if b.err != nil {
		return nil, b.err
	}
	return &balance.Choice{}, nil
}

// Guards against requests that wait for connections, or for targets that state a rate, for longer than their objective, behind more than
// these take in that time, or after one has come free.
func TestRequestsWaitForConnectionsAndStatedRates(t *testing.T) {
	at := time.Unix(1000, 0)
	b := &busyBalancer{balance.ErrBusy}
	q := New(b, func() float64 { return 0.5 })
	q.Enter(request("o", 0, at), at)
	if decided := q.Advance(at.Add(799 * time.Millisecond)); len(decided) > 0 {
		t.Errorf("%v", decided[0].Err)
	}
	if decided := q.Advance(at.Add(800 * time.Millisecond)); len(decided) != 1 || !errors.Is(decided[0].Err, balance.ErrBusy) {
		t.Errorf("%v", decided)
	}
	b.err = &balance.PacedError{PerSecond: 5}
	refused := 0
	for range 10 {
		refused += len(q.Enter(request("o", 0, at), at))
	}
	if refused != 6 || q.Len() != 4 {
		t.Errorf("%d refused, %d wait for 5 a second within 0.8 s", refused, q.Len())
	}
	b.err = nil
	if decided := q.Advance(at.Add(100 * time.Millisecond)); len(decided) != 4 {
		t.Errorf("%d sent", len(decided))
	}
}
