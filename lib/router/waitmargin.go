package router

import "time"

const (
	// maxLateFraction is the moving average of late first tokens from which Add adds a margin. lateSampleWeight is
	// the weight of one first token in that average.
	maxLateFraction  = 0.05
	lateSampleWeight = 0.05
	// Above maxLateFraction, a request is sent only if waitFactor times its estimated wait plus minWaitMargin fits into
	// its deadline. The margin grows with the wait because estimates are least accurate when queues are long.
	waitFactor    = 3
	minWaitMargin = 150 * time.Millisecond
)

// WaitMargin adds a safety margin to estimated waits while many first tokens miss their deadline. Requests that miss
// their deadline still use up target time and thereby delay others, so during an overload only requests with ample
// time left are sent. It is not safe for concurrent use.
type WaitMargin struct{ lateFraction float64 }

// Observe records whether a first token missed its deadline.
func (m *WaitMargin) Observe(late bool) {
	m.lateFraction *= 1 - lateSampleWeight
	if late {
		m.lateFraction += lateSampleWeight
	}
}

// Add returns the time to the first token to compare with a request's deadline: the estimated wait, plus the
// margin while many first tokens are late.
func (m *WaitMargin) Add(wait time.Duration) time.Duration {
	if m.lateFraction < maxLateFraction {
		return wait
	}
	return waitFactor*wait + minWaitMargin
}
