// Package retry holds the budget of repeated requests. It answers overload and failing targets: repeats may grow with
// the requests that callers send, but not with the failures.
package retry

import "sync"

const (
	// earnedShare is the part of the allowed ratio that is used, so that rounding and requests that are still on their
	// way do not exceed it.
	earnedShare = 0.85
	// slackShare is the part of the allowed slack that is used.
	slackShare = 0.8
)

// Budget counts the requests of one host by service. All hosts together keep to the ratio and the slack, as each uses
// its own requests and its part of the slack. It is safe for concurrent use.
type Budget struct {
	ratio float64 // repeats earned by one request
	slack float64 // repeats of all hosts together that need no requests

	mu      sync.Mutex
	hosts   int
	credits map[string]float64 // guarded by mu; repeats that may be sent, by service
}

// NewBudget returns a budget of ratio repeats a request and slack repeats of all hosts together.
func NewBudget(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * earnedShare, slack: slack * slackShare, hosts: 1, credits: map[string]float64{}}
}

// SetHosts states how many hosts share the slack.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
	for service, credit := range b.credits {
		b.credits[service] = min(credit, b.limit())
	}
}

func (b *Budget) limit() float64 { return b.slack / float64(b.hosts) }

func (b *Budget) credit(service string) float64 {
	if c, ok := b.credits[service]; ok {
		return c
	}
	return b.limit()
}

// Request counts a request that is sent for the first time.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = min(b.limit(), b.credit(service)+b.ratio)
}

// Allow takes one repeat and reports whether there was room for it.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.credit(service)
	if credit < 1 {
		return false
	}
	b.credits[service] = credit - 1
	return true
}
