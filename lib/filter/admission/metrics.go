package admission

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/refusal"
)

// refusalCounters counts refusals by reason and organisation. It caches the counters because formatting a
// metric name costs more than the refusal itself.
type refusalCounters struct{ byKey sync.Map }

type refusalKey struct {
	reason       refusal.Reason
	organisation string
}

func (c *refusalCounters) inc(reason refusal.Reason, organisation string) {
	key := refusalKey{reason, organisation}
	n, ok := c.byKey.Load(key)
	if !ok {
		n, _ = c.byKey.LoadOrStore(key, metrics.GetOrCreateCounter(fmt.Sprintf(
			`cuminhook_admission_refusals_total{reason=%q,organisation=%q}`, string(reason), organisation)))
	}
	n.(*metrics.Counter).Inc()
}

// gateMetrics are the metrics of one gate.
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
