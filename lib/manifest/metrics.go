package manifest

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/refusal"
)

var (
	writesDone   = metrics.NewCounter(`cuminhook_manifest_writes_total{outcome="done"}`)
	writeSeconds = metrics.NewHistogram("cuminhook_manifest_write_seconds")
)

// countWrite counts a finished write by its outcome.
func countWrite(err error) {
	if err == nil {
		writesDone.Inc()
		return
	}
	outcome := refusal.Internal
	if r, ok := refusal.As(err); ok {
		outcome = r.Reason
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_manifest_writes_total{outcome=%q}`, outcome)).Inc()
}

// countRetry counts a retry within a write by its cause.
func countRetry(err error) {
	cause := "other"
	switch {
	case errors.Is(err, kv.ErrConflict):
		cause = "conflict"
	case errors.Is(err, kv.ErrUnknown):
		cause = "answer_lost"
	case errors.Is(err, kv.ErrUnavailable):
		cause = "unavailable"
	case errors.Is(err, errPaused):
		cause = "paused"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_manifest_retries_total{cause=%q}`, cause)).Inc()
}
