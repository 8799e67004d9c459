package controller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/engine"
)

// meters are the metrics of a controller.
type meters struct {
	set       *metrics.Set
	orders    *metrics.Counter
	confirmed *metrics.Counter
	refused   *metrics.Counter
	doubted   *metrics.Counter
	conflicts *metrics.Counter
	views     *metrics.Counter
	planTime  *metrics.Histogram
}

func newMeters() *meters {
	s := metrics.NewSet()
	return &meters{
		set:       s,
		orders:    s.NewCounter("cuminhook_controller_orders_sent_total"),
		confirmed: s.NewCounter("cuminhook_controller_orders_confirmed_total"),
		refused:   s.NewCounter("cuminhook_controller_orders_refused_total"),
		doubted:   s.NewCounter("cuminhook_controller_orders_doubt_total"),
		conflicts: s.NewCounter("cuminhook_controller_ledger_conflicts_total"),
		views:     s.NewCounter("cuminhook_controller_views_published_total"),
		planTime:  s.NewHistogram("cuminhook_controller_plan_seconds"),
	}
}

// Metrics returns the controller's set.
func (c *Controller) Metrics() *metrics.Set { return c.met.set }

// order counts orders sent by kind; load_model counts the moves.
func (m *meters) order(kind engine.OrderKind) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_controller_orders_total{kind=%q}`, string(kind)))
}
