package balance

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest answer in the share of failures; about the last ten answers count.
	failureWeight = 0.1
	// forgiveTime is the time constant with which failures are forgotten: a target that is avoided gives no answers by
	// which it could show that it has recovered.
	forgiveTime = 2 * time.Second
	// suspendFirst is how long a target is left alone after a request that it did not answer. It doubles with each
	// further one; most restarts of a process take about a second.
	suspendFirst = 300 * time.Millisecond
	// suspendMost bounds it: the target's entry lapses after three heartbeats of about a second.
	suspendMost = 4 * time.Second
)

// suspectMisses is how many requests in a row a target has to leave unanswered before it counts as suspect.
const suspectMisses = 2

// health is what answers say about a target.
type health struct {
	failures  float64 // share of failed answers, weighted towards the newest, at the time failedAt
	failedAt  time.Time
	misses    int           // requests in a row that found the target unreachable or silent
	backoff   time.Duration // of the next suspension
	suspended time.Time     // no requests before
	trial     bool          // one request is out to find out whether the target answers again
}

func (h *health) usable(now time.Time) bool { return !now.Before(h.suspended) && !h.trial }

// suspect reports whether the target did not answer lately and has not answered since.
func (h *health) suspect() bool { return h.misses >= suspectMisses }

// failing is the share of failed answers, as far as it is not forgotten.
func (h *health) failing(now time.Time) float64 {
	return h.failures * math.Exp(-float64(now.Sub(h.failedAt))/float64(forgiveTime))
}

// count moves the share of failures towards x.
func (h *health) count(x, weight float64, now time.Time) {
	h.failures = h.failing(now)
	h.failures += weight * (x - h.failures)
	h.failedAt = now
}

func (h *health) answered(failed bool, now time.Time) {
	x := 0.0
	if failed {
		x = 1
	}
	h.count(x, failureWeight, now)
	h.misses, h.backoff, h.trial = 0, 0, false
}

// rejected records a request that the target did not run, for lack of room.
func (h *health) rejected(now time.Time) {
	h.answered(false, now)
	h.count(1, failureWeight/4, now)
}

// broken records a request whose connection broke off. The target is there, and may have crashed or lost one answer.
func (h *health) broken(now time.Time) {
	h.count(1, 2*failureWeight, now)
	h.trial = false
}

// silent records a request for which the target was unreachable or silent.
func (h *health) silent(now time.Time) {
	h.count(1, 2*failureWeight, now)
	h.misses++
	h.trial = false
	if now.Before(h.suspended) {
		return // one fault shows in many requests at once
	}
	h.backoff = min(max(2*h.backoff, suspendFirst), suspendMost)
	h.suspended = now.Add(h.backoff)
}
