package adminapi

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/refusal"
)

// countTicket counts a ticket in cuminhook_admin_tickets_total under its outcome.
func countTicket(r manifest.Receipt, err error) {
	outcome := "accepted"
	if refused, ok := refusal.As(err); ok {
		outcome = string(refused.Reason)
	} else if err != nil {
		outcome = string(refusal.Internal)
	} else if r.Repeated {
		outcome = "repeated"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_admin_tickets_total{outcome=%q}`, outcome)).Inc()
}
