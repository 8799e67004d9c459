package router

import "time"

const (
	// lateLimit is the share of late first tokens from which requests are judged with caution, and lateWeight the
	// weight of one first token in that share.
	lateLimit  = 0.05
	lateWeight = 0.05
	// Under caution a request is sent only if cautionFactor times the estimated wait and cautionMargin fit
	// into its deadline: estimates err most when queues are long.
	cautionFactor = 3
	cautionMargin = 150 * time.Millisecond
)

// Caution decides by which wait a request is judged against its deadline. When first tokens come late, requests use
// targets and still miss their deadline, which costs others theirs; then only requests with ample time are sent.
// It is not safe for concurrent use.
type Caution struct{ late float64 }

// Observe notes whether a first token was late.
func (c *Caution) Observe(late bool) {
	c.late *= 1 - lateWeight
	if late {
		c.late += lateWeight
	}
}

// Judge returns the time to the first token by which a request with the estimated wait is judged.
func (c *Caution) Judge(wait time.Duration) time.Duration {
	if c.late < lateLimit {
		return wait
	}
	return cautionFactor*wait + cautionMargin
}
