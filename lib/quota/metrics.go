package quota

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one organisation, in tokens unless stated otherwise.
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

// pending collects counts under the bucket's lock. They are published once per tickInterval, so that
// spending does not touch shared counters.
type pending struct {
	spent, lent, borrowed int64
	refunded, returned    float64
}

// publish moves the collected counts to the metrics. The caller holds b.mu.
func (b *bucket) publish() {
	p := &b.pending
	b.counters.spent.AddInt64(p.spent)
	b.counters.lent.AddInt64(p.lent)
	b.counters.borrowed.AddInt64(p.borrowed)
	p.spent, p.lent, p.borrowed = 0, 0, 0
	addWholeTokens(b.counters.refunded, &p.refunded)
	addWholeTokens(b.counters.returned, &p.returned)
	addWholeTokens(b.counters.expired, &b.core.expiredTokens)
}

// addWholeTokens moves the integer part of from to the counter.
func addWholeTokens(to *metrics.Counter, from *float64) {
	n := int64(*from)
	to.AddInt64(n)
	*from -= float64(n)
}
