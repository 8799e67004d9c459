package quota

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one organisation, in tokens unless named otherwise.
type counters struct {
	spent, refunded, lent, borrowed, returned, expired *metrics.Counter
	exceeded, tooSmall                                 *metrics.Counter // refusals
	lendErrors                                         *metrics.Counter // calls
}

func newCounters(organisation string) *counters {
	c := func(format string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(format, organisation))
	}
	return &counters{
		spent:      c(`cuminhook_quota_spent_tokens_total{organisation=%q}`),
		refunded:   c(`cuminhook_quota_refunded_tokens_total{organisation=%q}`),
		lent:       c(`cuminhook_quota_lent_tokens_total{organisation=%q}`),
		borrowed:   c(`cuminhook_quota_borrowed_tokens_total{organisation=%q}`),
		returned:   c(`cuminhook_quota_returned_tokens_total{organisation=%q}`),
		expired:    c(`cuminhook_quota_expired_tokens_total{organisation=%q}`),
		exceeded:   c(`cuminhook_quota_refusals_total{reason="rate_exceeded",organisation=%q}`),
		tooSmall:   c(`cuminhook_quota_refusals_total{reason="burst_too_small",organisation=%q}`),
		lendErrors: c(`cuminhook_quota_lend_errors_total{organisation=%q}`),
	}
}

// pending collects counts under the bucket's lock; publishing them once a tick keeps shared counters
// off the spend path.
type pending struct {
	spent, lent, borrowed int64
	refunded, returned    float64
}

// publish moves the collected counts to the metrics. Callers hold b.mu.
func (b *bucket) publish() {
	p := &b.pend
	b.met.spent.AddInt64(p.spent)
	b.met.lent.AddInt64(p.lent)
	b.met.borrowed.AddInt64(p.borrowed)
	p.spent, p.lent, p.borrowed = 0, 0, 0
	move(b.met.refunded, &p.refunded)
	move(b.met.returned, &p.returned)
	move(b.met.expired, &b.core.expired)
}

// move adds the whole tokens of from to the counter.
func move(to *metrics.Counter, from *float64) {
	n := int64(*from)
	to.AddInt64(n)
	*from -= float64(n)
}
