package entryhost

import (
	"log/slog"
	"math"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/connbudget"
	"cuminhook.org/cuminhook/lib/forward"
)

// connections are this host's connections to targets, within its part of what each target accepts.
type connections struct {
	*connbudget.Budget
	client *forward.Client
	log    *slog.Logger
}

var _ balance.Connections = (*connections)(nil)

func newConnections(cfg *Config, onDial func(addr string, err error)) *connections {
	c := &connections{Budget: connbudget.New(cfg.Settings.Host), log: cfg.Log}
	c.client = forward.NewClient(forward.Config{
		Protocol: cfg.Protocol, Limit: c.limit, OnRefused: c.refused, Dial: cfg.Dial, OnDial: onDial, Metrics: cfg.Metrics,
	})
	return c
}

// HasIdle implements balance.Connections.
func (c *connections) HasIdle(addr string) bool { return c.client.HasIdle(addr) }

// limit returns the most connections that this host may have to the target at the address.
func (c *connections) limit(addr string) int {
	if limit, limited := c.Limit(addr, time.Now()); limited {
		return limit
	}
	return math.MaxInt
}

// refused records that the target at the address closed a new connection at once.
func (c *connections) refused(addr string, open int) {
	c.Refused(addr, open, time.Now())
	c.log.Info("connection refused", "addr", addr, "open", open, "limit", c.limit(addr))
}

// updateDemand divides the connections by the demand at this host and at the others.
func (c *connections) updateDemand(b *balance.Balancer, now time.Time) {
	local, total := b.Demand()
	for service, n := range local {
		c.SetDemand(service, n, total[service], now)
	}
}
