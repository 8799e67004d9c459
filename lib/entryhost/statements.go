package entryhost

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// statements passes what targets state of themselves in answers to those that keep it. It implements relay.Statements.
type statements struct {
	watcher  *storewatch.Watcher
	balancer *balance.Balancer
	cold     *coldRole
	brittle  *brittleRole
	log      *slog.Logger
	metrics  *metrics.Set
}

// Leaving implements relay.Statements.
func (s *statements) Leaving(t *registry.Target, requestID string) {
	if s.watcher.TargetLeaving(t.ID, t.Started) {
		s.count("leaving")
		s.log.Info("target leaves", "request_id", requestID, "target", t.ID, "started", t.Started, "reason", "stated in an answer")
	}
}

// Pause implements relay.Statements.
func (s *statements) Pause(t *registry.Target, d time.Duration, requestID string) {
	if d < 0 {
		s.log.Warn("pause of a target not read", "request_id", requestID, "target", t.ID)
		return
	}
	now := time.Now()
	if until, changed := s.balancer.Pause(t.ID, t.Started, d, now); changed {
		s.count("pause")
		s.log.Info("target pause", "request_id", requestID, "target", t.ID, "stated_s", d.Seconds(), "until_s", until.Sub(now).Seconds(),
			"reason", "stated in a refusal")
	}
}

// Cold implements relay.Statements.
func (s *statements) Cold(t *registry.Target, left time.Duration) { s.cold.stated(t, left) }

// Brittle implements relay.Statements.
func (s *statements) Brittle(t *registry.Target, stated bool) { s.brittle.heard(t, stated) }

// Down implements relay.Statements.
func (s *statements) Down(t *registry.Target) { s.cold.down(t) }

// ofOrders records what a target states in answers to orders.
func (s *statements) ofOrders(t *registry.Target, stated orders.Stated) {
	if stated.Leaving {
		s.Leaving(t, "")
	}
	if stated.Pause != 0 {
		s.Pause(t, stated.Pause, "")
	}
	if stated.Cold > 0 {
		s.Cold(t, stated.Cold)
	}
}

func (s *statements) count(kind string) {
	s.metrics.GetOrCreateCounter(`cuminhook_target_statements_total{kind="` + kind + `"}`).Inc()
}
