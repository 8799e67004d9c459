package admission

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// retriesPerRequest is the fraction of a retry that each request earns. Retries beyond a small fraction of
	// the requests add load to targets that already fail under load.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the retries that accumulate while nothing fails.
	maxSavedRetries = 100
)

// RetryBudget bounds the retries of each organisation to a tenth of its requests and one. It is safe for
// concurrent use.
type RetryBudget struct {
	orgs sync.Map // organisation to *retryState
}

type retryState struct {
	denied *metrics.Counter
	mu     sync.Mutex
	credit float64 // guarded by mu
}

// NewRetryBudget returns a budget in which each organisation has one retry.
func NewRetryBudget() *RetryBudget { return &RetryBudget{} }

// state returns the state of an organisation and creates it if necessary.
func (b *RetryBudget) state(organisation string) *retryState {
	if s, ok := b.orgs.Load(organisation); ok {
		return s.(*retryState)
	}
	s, _ := b.orgs.LoadOrStore(organisation, &retryState{
		credit: 1,
		denied: metrics.GetOrCreateCounter(
			fmt.Sprintf(`cuminhook_retries_denied_total{organisation=%q}`, organisation)),
	})
	return s.(*retryState)
}

// CreditRequest credits the organisation with retriesPerRequest for one admitted request.
func (b *RetryBudget) CreditRequest(organisation string) {
	s := b.state(organisation)
	s.mu.Lock()
	s.credit = min(s.credit+retriesPerRequest, maxSavedRetries)
	s.mu.Unlock()
}

// Allow takes one retry from the budget of the organisation and reports whether there was one.
func (b *RetryBudget) Allow(organisation string) bool {
	s := b.state(organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The margin absorbs rounding: ten requests earn one retry.
	if s.credit < 1-1e-9 {
		s.denied.Inc()
		return false
	}
	s.credit--
	return true
}
