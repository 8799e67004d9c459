package entryhost

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/brittle"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/filter/passon"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// brittleRole has the hosts keep the requests at brittle targets within their slots.
type brittleRole struct {
	*brittle.Services
	connections *connections
	relay       func() // has partial states sent at once
	log         *slog.Logger

	mu      sync.Mutex
	current []string                     // guarded by mu; services in force
	untold  map[storewatch.Audience]bool // guarded by mu; audiences that may not know
}

func newBrittleRole(c *connections, relay func(), log *slog.Logger) *brittleRole {
	return &brittleRole{Services: brittle.New(), connections: c, relay: relay, log: log, untold: map[storewatch.Audience]bool{}}
}

// heard records what an answer of a target states.
func (b *brittleRole) heard(t *registry.Target, stated bool) {
	if now := time.Now(); b.Heard(t.Service, stated, now) {
		b.tell(now)
	}
}

// merge applies what another host tells.
func (b *brittleRole) merge(s *peers.State, now time.Time) {
	if len(s.Brittle) > 0 && b.Merge(s.Brittle, now) {
		b.tell(now)
	}
}

// tell applies a change and tells it to the other hosts.
func (b *brittleRole) tell(now time.Time) {
	b.mu.Lock()
	b.untold[storewatch.ToMesh], b.untold[storewatch.ToLeaves] = true, true
	b.mu.Unlock()
	b.update(now)
	b.relay()
}

// update applies the services that are brittle now.
func (b *brittleRole) update(now time.Time) {
	services := b.Brittle(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Equal(services, b.current) {
		b.log.Info("brittle targets", "services", services, "before", b.current)
		b.current = services
		b.connections.SetBrittle(services)
	}
}

// fillNews fills in what an audience may not know, and reports whether there is anything.
func (b *brittleRole) fillNews(s *peers.State, to storewatch.Audience, now time.Time) bool {
	b.mu.Lock()
	untold := b.untold[to]
	b.untold[to] = false
	b.mu.Unlock()
	if untold {
		s.Brittle = b.Statements(now)
	}
	return untold
}

// divert returns the hosts that take requests of the route while this one may use no target of it, or nil.
func (b *brittleRole) divert(r *catalog.Route, hosts func() []passon.Host) (out []passon.Host) {
	b.mu.Lock()
	none := len(b.current) == 0
	b.mu.Unlock()
	if none || len(r.Split) != 1 {
		return nil
	}
	members := b.connections.Members(r.Split[0].Service)
	if len(members) == 0 {
		return nil
	}
	for _, h := range hosts() {
		if slices.Contains(members, h.Name) {
			out = append(out, h)
		}
	}
	return out
}
