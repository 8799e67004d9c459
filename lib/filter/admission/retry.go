package admission

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// retryShare is the number of retries earned by a request. Retries above a small share of the
	// requests add load to targets that already fail under load.
	retryShare = 0.1
	// retryBurst bounds the retries saved up while nothing fails.
	retryBurst = 100
)

// RetryBudget bounds retries to a tenth of the requests of each organisation. It starts with one retry.
// It is safe for concurrent use.
type RetryBudget struct {
	orgs sync.Map // organisation to *retryState
}

type retryState struct {
	denied *metrics.Counter
	mu     sync.Mutex
	credit float64 // guarded by mu
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{} }

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

// Request credits the organisation with one admitted request.
func (b *RetryBudget) Request(organisation string) {
	s := b.state(organisation)
	s.mu.Lock()
	s.credit = min(s.credit+retryShare, retryBurst)
	s.mu.Unlock()
}

// Allow takes one retry and reports whether the budget had room for it.
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
