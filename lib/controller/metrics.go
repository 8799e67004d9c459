package controller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/engine"
)

// controllerMetrics holds the metrics of a controller.
type controllerMetrics struct {
	set             *metrics.Set
	ordersSent      *metrics.Counter
	ordersConfirmed *metrics.Counter
	ordersRefused   *metrics.Counter
	ordersUnknown   *metrics.Counter
	ledgerConflicts *metrics.Counter
	viewsPublished  *metrics.Counter
	planSeconds     *metrics.Histogram
}

func newControllerMetrics() *controllerMetrics {
	s := metrics.NewSet()
	return &controllerMetrics{
		set:             s,
		ordersSent:      s.NewCounter("cuminhook_controller_orders_sent_total"),
		ordersConfirmed: s.NewCounter("cuminhook_controller_orders_confirmed_total"),
		ordersRefused:   s.NewCounter("cuminhook_controller_orders_refused_total"),
		ordersUnknown:   s.NewCounter("cuminhook_controller_orders_doubt_total"),
		ledgerConflicts: s.NewCounter("cuminhook_controller_ledger_conflicts_total"),
		viewsPublished:  s.NewCounter("cuminhook_controller_views_published_total"),
		planSeconds:     s.NewHistogram("cuminhook_controller_plan_seconds"),
	}
}

// Metrics returns the set of the controller's metrics.
func (c *Controller) Metrics() *metrics.Set { return c.metrics.set }

// ordersOfKind returns the counter of sent orders of the kind. The one of load_model counts the moves of models.
func (m *controllerMetrics) ordersOfKind(kind engine.OrderKind) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_controller_orders_total{kind=%q}`, string(kind)))
}
