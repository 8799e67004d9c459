// Package retry limits the retries of requests under overload and when targets fail: the number of retries may grow with
// the number of requests that callers send, but not with the number of failures.
package retry

import "sync"

const (
	// usedRatioFraction is the fraction of the allowed ratio that is used. The remainder absorbs rounding and requests that
	// are still in flight.
	usedRatioFraction = 0.85
	// usedSlackFraction is the fraction of the allowed slack that is used.
	usedSlackFraction = 0.8
)

// Budget is the retry budget of one host, with a credit for each service. All hosts together stay within the ratio and the
// slack, because each host earns credit only by its own requests and uses an equal share of the slack. It is safe for
// concurrent use.
type Budget struct {
	retriesPerRequest float64 // credit earned by one request
	slack             float64 // retries of all hosts together, for each service, that no request needs to earn

	mu      sync.Mutex
	hosts   int                // guarded by mu
	credits map[string]float64 // guarded by mu; retries that may be sent, by service
}

// NewBudget returns a budget that allows ratio retries for each request, and slack retries for each service of all hosts
// together in addition.
func NewBudget(ratio, slack float64) *Budget {
	return &Budget{retriesPerRequest: ratio * usedRatioFraction, slack: slack * usedSlackFraction, hosts: 1, credits: map[string]float64{}}
}

// SetHosts sets the number of hosts that share the slack, including this one.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
	for service, credit := range b.credits {
		b.credits[service] = min(credit, b.maxCredit())
	}
}

// maxCredit returns the credit that a service has at the start and at most. The caller holds mu.
func (b *Budget) maxCredit() float64 { return b.slack / float64(b.hosts) }

// credit returns the present credit of a service. The caller holds mu.
func (b *Budget) credit(service string) float64 {
	if c, ok := b.credits[service]; ok {
		return c
	}
	return b.maxCredit()
}

// RecordRequest records a request that is sent for the first time, which earns credit.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = min(b.maxCredit(), b.credit(service)+b.retriesPerRequest)
}

// Allow reports whether a retry may be sent, and charges the credit of the service with it.
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

// Return takes back the charge of a retry that was not sent.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = min(b.maxCredit(), b.credit(service)+1)
}
