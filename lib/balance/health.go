package balance

import "time"

const (
	// failureWeight is the weight of the newest answer in the share of failures; about the last ten answers count.
	failureWeight = 0.1
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
	failures  float64       // share of failed answers, weighted towards the newest
	misses    int           // requests in a row that found the target unreachable or silent
	backoff   time.Duration // of the next suspension
	suspended time.Time     // no requests before
	trial     bool          // one request is out to find out whether the target answers again
}

func (h *health) usable(now time.Time) bool { return !now.Before(h.suspended) && !h.trial }

// suspect reports whether the target did not answer lately and has not answered since.
func (h *health) suspect() bool { return h.misses >= suspectMisses }

func (h *health) answered(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	h.failures += failureWeight * (x - h.failures)
	h.misses, h.backoff, h.trial = 0, 0, false
}

// broken records a request whose connection broke off. The target is there, and may have crashed or lost one answer.
func (h *health) broken() {
	h.failures += 2 * failureWeight * (1 - h.failures)
	h.trial = false
}

// silent records a request for which the target was unreachable or silent.
func (h *health) silent(now time.Time) {
	h.failures += 2 * failureWeight * (1 - h.failures)
	h.misses++
	h.trial = false
	if now.Before(h.suspended) {
		return // one fault shows in many requests at once
	}
	h.backoff = min(max(2*h.backoff, suspendFirst), suspendMost)
	h.suspended = now.Add(h.backoff)
}
