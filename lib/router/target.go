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
	ejectAfterFailures = 3 // consecutive failures after which a target is ejected
	minEjection        = time.Second
	maxEjection        = 30 * time.Second
	// outstandingPerSlot limits the outstanding requests per batch slot of a target, over all gateways. A short queue
	// at the engine keeps its batch full; in a longer one, requests are no longer served in the order of the gateways'
	// fair queues.
	outstandingPerSlot       = 1.25
	minOutstandingPerGateway = 2 // outstanding requests that each gateway may always have at a target
	// sampleWeight is the weight of a new observation in the moving average of service times.
	sampleWeight = 0.2
)

// Result is the outcome of an attempt at a target.
type Result struct {
	Failed   bool          // the target failed; refusals because of load are not failures
	Duration time.Duration // from sending the request to its end; zero if unknown
}

// Target is the routing state of one target. Its mutable fields are atomics, so that Pick needs no lock.
type Target struct {
	ID   string
	Addr string
	Zone string

	hash               uint32
	zoneDelay          time.Duration // one-way delay to the target's zone
	slots              atomic.Int64  // batch slots
	localRequests      atomic.Int64  // outstanding requests of this gateway
	localPrefillTokens atomic.Int64  // prompt tokens of this gateway's requests that have no first token yet

	// Load of other gateways at the target at the time of the newest load report.
	otherRequests      atomic.Int64
	otherPrefillTokens atomic.Int64 // prompt tokens that wait for prefill
	reportedAt         atomic.Int64 // Unix time in nanoseconds at which the engine made the report

	serviceSeconds atomic.Uint64 // bits of a float64: moving average of Result.Duration

	failures     atomic.Int32 // consecutive ones since the last ejection
	ejections    atomic.Int32 // consecutive ones since the last success
	ejectedUntil atomic.Int64 // Unix time in nanoseconds; zero unless ejected
}

func newTarget(v *placement.TargetView, zoneDelay time.Duration) *Target {
	t := &Target{ID: v.ID, Addr: v.Addr, Zone: v.Zone, zoneDelay: zoneDelay}
	t.hash = uint32(xxhash.Sum64String(v.ID)) | 1 // never zero, which stands for no target
	t.serviceSeconds.Store(math.Float64bits(defaultServiceTime.Seconds()))
	return t
}

// Outstanding returns the number of outstanding requests of this gateway at the target.
func (t *Target) Outstanding() int64 { return t.localRequests.Load() }

// addOutstanding counts a request whose prompt tokens have to be prefilled.
func (t *Target) addOutstanding(prompt int64) {
	t.localRequests.Add(1)
	t.localPrefillTokens.Add(prompt)
}

// FirstToken records the first token of a request that Pick counted. Calls after the first have no effect.
func (t *Target) FirstToken(q *Request) {
	t.localPrefillTokens.Add(-q.prefillTokens)
	q.prefillTokens = 0
}

// Done records the end of a request that Pick counted. The caller must have called FirstToken before, also if there was
// no first token.
func (t *Target) Done(now time.Time, res Result) {
	t.localRequests.Add(-1)
	if res.Failed {
		t.recordFailure(now)
		return
	}
	t.failures.Store(0)
	t.ejections.Store(0)
	t.ejectedUntil.Store(0)
	if res.Duration > 0 {
		updateAverage(&t.serviceSeconds, res.Duration.Seconds())
	}
}

// recordFailure ejects the target after ejectAfterFailures failures in a row, or at once if no request has succeeded
// since the last ejection, as when the trial request fails. The ejection time doubles from minEjection to maxEjection.
func (t *Target) recordFailure(now time.Time) {
	ejected := t.ejectedUntil.Load() != 0
	if t.failures.Add(1) < ejectAfterFailures && !ejected {
		return
	}
	n := t.ejections.Add(1)
	wait := min(minEjection<<min(n-1, 10), maxEjection)
	t.ejectedUntil.Store(now.Add(wait).UnixNano())
	t.failures.Store(0)
}

// usable reports whether the target may get requests. An ejected target gets one trial request once its ejection
// time has passed, and further ones only after a success.
func (t *Target) usable(now time.Time) bool {
	until := t.ejectedUntil.Load()
	if until == 0 {
		return true
	}
	return now.UnixNano() >= until && t.localRequests.Load() == 0
}

// applyReport stores the load that other gateways cause, which is the reported load less that of this gateway.
// Reports older than the newest one are ignored.
func (t *Target) applyReport(load engine.Load, sent time.Time) {
	if sent.UnixNano() < t.reportedAt.Load() {
		return
	}
	t.reportedAt.Store(sent.UnixNano())
	t.otherRequests.Store(max(int64(load.Running+load.Queued)-t.localRequests.Load(), 0))
	t.otherPrefillTokens.Store(max(load.QueuedPromptTokens-t.localPrefillTokens.Load(), 0))
	if load.Slots > 0 {
		t.slots.Store(int64(load.Slots))
	}
}

// atLimit reports whether this gateway has reached its limit of outstanding requests at the target, which is an equal
// share of the limit for all gateways. A target with an estimated free batch slot takes more, because requests are
// spread unevenly over gateways.
func (t *Target) atLimit(now time.Time, gateways int64) bool {
	slots := float64(t.slots.Load())
	local := float64(t.localRequests.Load())
	if local < max(minOutstandingPerGateway, slots*outstandingPerSlot/float64(gateways)) {
		return false
	}
	return t.estimateRequests(now) >= slots
}

// estimateRequests estimates the number of requests at the target. The number of this gateway's requests is exact;
// that of other gateways comes from the newest load report, weighted by its age.
func (t *Target) estimateRequests(now time.Time) float64 {
	requests := float64(t.localRequests.Load())
	if others := t.otherRequests.Load(); others > 0 {
		requests += float64(others) * reportWeight(now.UnixNano()-t.reportedAt.Load())
	}
	return requests
}

// estimateWait estimates the time until a batch slot is free and the prompts that wait there are prefilled.
func (t *Target) estimateWait(now time.Time) time.Duration {
	waitingTokens := float64(t.localPrefillTokens.Load())
	if toks := t.otherPrefillTokens.Load(); toks > 0 {
		waitingTokens += float64(toks) * reportWeight(now.UnixNano()-t.reportedAt.Load())
	}
	return t.slotWait(t.estimateRequests(now)) + prefillTime(int64(waitingTokens))
}

// slotWait estimates the time until a batch slot is free with the given number of requests at the target.
func (t *Target) slotWait(requests float64) time.Duration {
	slots := float64(max(t.slots.Load(), 1))
	service := math.Float64frombits(t.serviceSeconds.Load())
	if excess := requests + 1 - slots; excess > 0 {
		return time.Duration(excess / slots * service * float64(time.Second))
	}
	// A fuller batch decodes more slowly, so a small term prefers the emptier of two targets with free slots.
	return time.Duration(requests / slots * float64(time.Millisecond))
}

// prefillTime estimates the time to prefill the given number of prompt tokens.
func prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
}

// reportWeight returns the weight of a load report of the given age in nanoseconds: 1 for a new one, 1/2 at
// reportHalfLife, 1/3 at twice that age.
func reportWeight(age int64) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(reportHalfLife))
}

// updateAverage adds the observation v to a moving average. Of two concurrent observations one may be dropped.
func updateAverage(avg *atomic.Uint64, v float64) {
	old := avg.Load()
	next := math.Float64frombits(old)*(1-sampleWeight) + v*sampleWeight
	avg.CompareAndSwap(old, math.Float64bits(next))
}
