package entryhost

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// statements passes what targets state of themselves in answers to those that keep it. It implements relay.Statements.
type statements struct {
	watcher *storewatch.Watcher
	log     *slog.Logger
	metrics *metrics.Set
}

// Leaving implements relay.Statements.
func (s *statements) Leaving(t *registry.Target, requestID string) {
	if s.watcher.TargetLeaving(t.ID, t.Started) {
		s.count("leaving")
		s.log.Info("target leaves", "request_id", requestID, "target", t.ID, "started", t.Started, "reason", "stated in an answer")
	}
}

func (s *statements) count(kind string) {
	s.metrics.GetOrCreateCounter(`cuminhook_target_statements_total{kind="` + kind + `"}`).Inc()
}
