package entryhost

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/balance"
)

// asideLog logs which targets are set aside because they fail a part of their requests.
type asideLog struct {
	balancer *balance.Balancer
	log      *slog.Logger
	started  *metrics.Counter

	mu    sync.Mutex
	known map[string]bool // guarded by mu; targets that were set aside at the last call of update
}

func newAsideLog(b *balance.Balancer, log *slog.Logger, set *metrics.Set) *asideLog {
	set.NewGauge("cuminhook_targets_set_aside", func() float64 { return float64(len(b.Aside(time.Now()))) })
	return &asideLog{balancer: b, log: log, started: set.NewCounter("cuminhook_targets_set_aside_total"), known: map[string]bool{}}
}

// update logs what has changed since the last call.
func (a *asideLog) update(now time.Time) {
	aside := a.balancer.Aside(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, f := range aside {
		if !a.known[id] {
			a.known[id] = true
			a.started.Inc()
			a.log.Warn("target set aside", "target", id, "failed", f.Failed, "requests", f.Total)
		}
	}
	for id := range a.known {
		if _, still := aside[id]; !still {
			delete(a.known, id)
			a.log.Info("target let back", "target", id)
		}
	}
}
