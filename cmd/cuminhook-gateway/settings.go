package main

import (
	"fmt"
	"time"

	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/settings"
)

// config holds the settings of a gateway.
type config struct {
	settings.Node `yaml:",inline"`
	Listen        string         `yaml:"listen"` // IP:port for callers
	Limits        gateway.Limits `yaml:"limits"`
	StopDelay     time.Duration  `yaml:"stop_delay"` // time for load balancers to notice that the host is not ready
	StopLimit     time.Duration  `yaml:"stop_limit"` // maximum duration of a stop, open streams included
	// FirstDeployment states that no gateway ran in the last 15 min. Without it, idempotency keys are refused for
	// that long where earlier claims cannot be known.
	FirstDeployment bool `yaml:"first_deployment"`
}

func defaults() config {
	return config{Limits: gateway.DefaultLimits(), StopDelay: 5 * time.Second, StopLimit: time.Hour}
}

// Validate implements settings.Validator.
func (c *config) Validate() error {
	if err := c.Node.Validate(); err != nil {
		return err
	}
	if err := settings.CheckAddr("listen", c.Listen); err != nil {
		return err
	}
	l := c.Limits
	for key, n := range map[string]int{"max_body": l.MaxBody, "max_header": l.MaxHeader, "max_conns": l.MaxConns} {
		if n <= 0 {
			return fmt.Errorf("limits.%s: %d is not positive; leave it out for the default", key, n)
		}
	}
	if l.MaxBuffered < int64(l.MaxBody) {
		return fmt.Errorf("limits.max_buffered: %d is below limits.max_body %d; no body of that size would be accepted", l.MaxBuffered, l.MaxBody)
	}
	durations := map[string]time.Duration{
		"limits.read_timeout": l.ReadTimeout, "limits.write_timeout": l.WriteTimeout, "limits.idle_timeout": l.IdleTimeout,
		"stop_limit": c.StopLimit,
	}
	for key, d := range durations {
		if d <= 0 {
			return fmt.Errorf("%s: %s is not positive; write it like 10s", key, d)
		}
	}
	if l.MaxConnsPerIP < 0 || c.StopDelay < 0 {
		return fmt.Errorf("limits.max_conns_per_ip %d and stop_delay %s must not be negative", l.MaxConnsPerIP, c.StopDelay)
	}
	return nil
}
