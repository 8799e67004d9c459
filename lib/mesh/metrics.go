package mesh

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/confview"
)

// nodeMetrics holds the metrics of a node.
type nodeMetrics struct {
	set           *metrics.Set
	exchanges     *metrics.Counter
	fetches       *metrics.Counter
	notifies      *metrics.Counter
	installs      *metrics.Counter
	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter
	polls         *metrics.Counter
	pollFailures  *metrics.Counter
}

func newMetrics(set *metrics.Set, n *Node) *nodeMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("cuminhook_config_age_seconds", n.configAge)
	set.NewGauge("cuminhook_config_revision", func() float64 { return float64(n.Snapshot().Manifest.Revision) })
	set.NewGauge("cuminhook_mesh_members", func() float64 { return float64(len(n.Members())) })
	set.NewGauge("cuminhook_mesh_announcements_unresolved", func() float64 {
		return float64(len(n.Snapshot().Restrictions))
	})
	for s := confview.Starting; s <= confview.Isolated; s++ {
		set.NewGauge(fmt.Sprintf("cuminhook_config_status{status=%q}", s), func() float64 {
			if n.Status() == s {
				return 1
			}
			return 0
		})
	}
	return &nodeMetrics{
		set:           set,
		exchanges:     set.NewCounter("cuminhook_mesh_exchanges_total"),
		fetches:       set.NewCounter("cuminhook_mesh_fetches_total"),
		notifies:      set.NewCounter("cuminhook_mesh_notifies_total"),
		installs:      set.NewCounter("cuminhook_config_installs_total"),
		sentBytes:     set.NewCounter("cuminhook_mesh_sent_bytes_total"),
		receivedBytes: set.NewCounter("cuminhook_mesh_received_bytes_total"),
		polls:         set.NewCounter("cuminhook_mesh_polls_total"),
		pollFailures:  set.NewCounter("cuminhook_mesh_poll_failures_total"),
	}
}

// callFailures returns the counter of failed calls with the given reason: unreachable, timeout, broken, refused, or
// delta for a delta that could not be applied.
func (m *nodeMetrics) callFailures(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("cuminhook_mesh_call_failures_total{reason=%q}", reason))
}
