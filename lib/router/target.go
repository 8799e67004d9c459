package router

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/placement"
)

const (
	ejectAfter = 3 // consecutive failures
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	// queueShare is the outstanding work that a target is given per batch slot: a short queue at the engine
	// keeps its batch full, a longer one takes the order of service away from the fair queues.
	queueShare = 1.25
	minShare   = 2 // outstanding requests that every gateway may have at a target
	// averageShare is the weight of a new observation in the moving averages.
	averageShare = 0.2
)

// Result is how an attempt at a target ended.
type Result struct {
	Failed bool          // the target failed; refusals by the target because of load are not failures
	Total  time.Duration // zero if unknown
}

// Target is the routing state of one target. Its fields are atomics, so that picks need no lock.
type Target struct {
	ID   string
	Addr string
	Zone string

	hash     uint32
	distance time.Duration
	slots    atomic.Int64
	own      atomic.Int64 // requests outstanding from this gateway
	ownToks  atomic.Int64 // prompt tokens of those without a first token

	// Load of other gateways at the target at the time of the newest report.
	others   atomic.Int64
	toks     atomic.Int64 // prompt tokens waiting for prefill, of other gateways
	reported atomic.Int64 // unix nanoseconds

	serviceTime atomic.Uint64 // float64 seconds, moving average

	failures     atomic.Int32
	ejections    atomic.Int32
	ejectedUntil atomic.Int64 // unix nanoseconds; zero if admitted
}

func newTarget(v *placement.TargetView, distance time.Duration) *Target {
	t := &Target{ID: v.ID, Addr: v.Addr, Zone: v.Zone, distance: distance}
	t.hash = uint32(xxhash.Sum64String(v.ID)) | 1 // zero stands for no target
	t.serviceTime.Store(math.Float64bits(defaultServiceTime.Seconds()))
	return t
}

// Outstanding returns the requests of this gateway at the target.
func (t *Target) Outstanding() int64 { return t.own.Load() }

func (t *Target) begin(prompt int64) {
	t.own.Add(1)
	t.ownToks.Add(prompt)
}

// Started records the first token of a request that Pick counted. Calls after the first have no effect.
func (t *Target) Started(q *Request) {
	t.ownToks.Add(-q.filling)
	q.filling = 0
}

// Done ends a request that Pick counted. Without a first token, Started is called before.
func (t *Target) Done(now time.Time, res Result) {
	t.own.Add(-1)
	if res.Failed {
		t.fail(now)
		return
	}
	t.failures.Store(0)
	t.ejections.Store(0)
	t.ejectedUntil.Store(0)
	if res.Total > 0 {
		blend(&t.serviceTime, res.Total.Seconds())
	}
}

func (t *Target) fail(now time.Time) {
	readmitted := t.ejectedUntil.Load() != 0
	if t.failures.Add(1) < ejectAfter && !readmitted {
		return
	}
	n := t.ejections.Add(1)
	wait := min(ejectFirst<<min(n-1, 10), ejectMost)
	t.ejectedUntil.Store(now.Add(wait).UnixNano())
	t.failures.Store(0)
}

// usable reports whether the target may get work. An ejected target gets one trial request once its time
// has passed, and more only after a success.
func (t *Target) usable(now time.Time) bool {
	until := t.ejectedUntil.Load()
	if until == 0 {
		return true
	}
	return now.UnixNano() >= until && t.own.Load() == 0
}

func (t *Target) report(load engine.Load, sent time.Time) {
	if sent.UnixNano() < t.reported.Load() {
		return
	}
	t.reported.Store(sent.UnixNano())
	t.others.Store(max(int64(load.Running+load.Queued)-t.own.Load(), 0))
	t.toks.Store(max(load.QueuedToks-t.ownToks.Load(), 0))
	if load.Slots > 0 {
		t.slots.Store(int64(load.Slots))
	}
}

// full reports whether this gateway has its share of the target's work outstanding. A target with free batch
// slots by the newest report takes more, because requests are spread unevenly over gateways.
func (t *Target) full(now time.Time, gateways int64) bool {
	slots := float64(t.slots.Load())
	own := float64(t.own.Load())
	if own < max(minShare, slots*queueShare/float64(gateways)) {
		return false
	}
	return t.busy(now) >= slots
}

// busy estimates the requests at the target. Own outstanding work is exact; that of other
// gateways comes from a report that loses half its weight each reportHalfLife.
func (t *Target) busy(now time.Time) float64 {
	busy := float64(t.own.Load())
	if others := t.others.Load(); others > 0 {
		busy += float64(others) * decay(now.UnixNano()-t.reported.Load())
	}
	return busy
}

// wait estimates the time until a batch slot is free and the prompts ahead are filled.
func (t *Target) wait(now time.Time) time.Duration {
	ahead := float64(t.ownToks.Load())
	if toks := t.toks.Load(); toks > 0 {
		ahead += float64(toks) * decay(now.UnixNano()-t.reported.Load())
	}
	return t.slotWait(t.busy(now)) + prefill(int64(ahead))
}

func (t *Target) slotWait(busy float64) time.Duration {
	slots := float64(max(t.slots.Load(), 1))
	service := math.Float64frombits(t.serviceTime.Load())
	if over := busy + 1 - slots; over > 0 {
		return time.Duration(over / slots * service * float64(time.Second))
	}
	// A fuller batch decodes more slowly; a small term prefers the emptier of two free targets.
	return time.Duration(busy / slots * float64(time.Millisecond))
}

func prefill(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

// decay returns the weight of a report of the given age in nanoseconds.
func decay(age int64) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(reportHalfLife))
}

// blend moves a moving average towards v. A lost race drops one observation.
func blend(avg *atomic.Uint64, v float64) {
	old := avg.Load()
	next := math.Float64frombits(old)*(1-averageShare) + v*averageShare
	avg.CompareAndSwap(old, math.Float64bits(next))
}
