package admission

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/refusal"
)

// counters counts refusals by reason and organisation. Looking the counter up by its formatted name
// would cost more than the refusal.
type counters struct{ m sync.Map }

type refusedKey struct {
	reason       refusal.Reason
	organisation string
}

func (c *counters) inc(reason refusal.Reason, organisation string) {
	key := refusedKey{reason, organisation}
	n, ok := c.m.Load(key)
	if !ok {
		n, _ = c.m.LoadOrStore(key, metrics.GetOrCreateCounter(fmt.Sprintf(
			`cuminhook_admission_refusals_total{reason=%q,organisation=%q}`, string(reason), organisation)))
	}
	n.(*metrics.Counter).Inc()
}

// gateMetrics are the metrics of one model's queue.
type gateMetrics struct {
	waiting atomic.Int64
	wait    *metrics.Histogram
}

func newGateMetrics(model string) *gateMetrics {
	g := &gateMetrics{
		wait: metrics.GetOrCreateHistogram(fmt.Sprintf(`cuminhook_admission_wait_seconds{model=%q}`, model)),
	}
	metrics.GetOrCreateGauge(fmt.Sprintf(`cuminhook_admission_waiting{model=%q}`, model),
		func() float64 { return float64(g.waiting.Load()) })
	return g
}
