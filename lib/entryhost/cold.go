package entryhost

import (
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
	"cuminhook.org/cuminhook/lib/targetrate"
)

// coldRole passes on what is known of cold targets: between hosts, and to operators.
type coldRole struct {
	host *Host
	news [2]atomic.Bool // by audience: there are statements that it may not know
}

func newColdRole(h *Host) *coldRole {
	r := &coldRole{host: h}
	s := h.cfg.Settings
	h.rates.SetZone(s.Zone)
	h.rates.SetColdBound(targetrate.ColdBound{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack}, func(c targetrate.ColdChange) {
		h.cfg.Metrics.GetOrCreateCounter("cuminhook_cold_targets_total").Inc()
		h.log.Info("target cold", "target", c.Target, "source", c.Source, "left_s", c.Left.Seconds())
	})
	h.cfg.Metrics.NewGauge("cuminhook_cold_targets", func() float64 { return float64(h.rates.ColdTargets(time.Now())) })
	return r
}

// stated records how much longer the target is cold, as an answer of it states.
func (r *coldRole) stated(t *registry.Target, left time.Duration) {
	if r.host.rates.Cold(t.ID, left, time.Now()) {
		r.announce()
	}
}

// down records that a target refused a connection.
func (r *coldRole) down(t *registry.Target) {
	if r.host.rates.Down(t.ID, time.Now()) {
		r.announce()
	}
}

// announce has the cold times that targets stated sent to the other hosts at once.
func (r *coldRole) announce() {
	r.news[storewatch.ToMesh].Store(true)
	r.news[storewatch.ToLeaves].Store(true)
	r.host.peers.Announce()
}

// fill fills in what a full state tells of cold targets.
func (r *coldRole) fill(s *peers.State, now time.Time) { s.Cold = r.host.rates.ColdStatements(now) }

// fillNews fills in what a partial state tells of cold targets, and reports whether the audience may not know it.
func (r *coldRole) fillNews(s *peers.State, to storewatch.Audience, now time.Time) bool {
	r.fill(s, now)
	return r.news[to].Swap(false) && len(s.Cold) > 0
}

// merge applies what another host tells of cold targets, and passes news on: to the leaves, and to the mesh what a leaf tells.
func (r *coldRole) merge(s *peers.State, now time.Time) {
	if len(s.Loads) > 0 {
		r.host.rates.Traffic()
	}
	if !r.host.rates.MergeCold(s.Cold, s.Host, now) {
		return
	}
	r.news[storewatch.ToLeaves].Store(true)
	if s.Kind == peers.Up {
		r.news[storewatch.ToMesh].Store(true)
	}
	r.host.peers.Relay()
}

// checkContact notes whether this host has contact with the store or with a peer.
func (r *coldRole) checkContact(store bool, now time.Time) {
	r.host.rates.Contact(store || r.host.peers.Fleet().Reachable > 1, now)
}
