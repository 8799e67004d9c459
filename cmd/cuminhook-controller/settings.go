package main

import (
	"fmt"
	"strings"

	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/lib/weights"
)

// config holds the controller's settings.
type config struct {
	settings.Node `yaml:",inline"`
	Weights       weights.Limits `yaml:"weights"`       // limits of the platform's weight store
	KeepManifest  bool           `yaml:"keep_manifest"` // maintain slots, witnesses and snapshots; true in one cell only
}

func defaults() *config {
	return &config{
		Weights:      weights.Limits{LoadsPerSecond: 2, FullSpeedLoads: 3, AdapterLoadsAtSpeed: 25},
		KeepManifest: true,
	}
}

// Validate implements settings.Validator.
func (c *config) Validate() error {
	if err := c.Node.Validate(); err != nil {
		return err
	}
	if strings.Contains(c.Cell, "/") {
		return fmt.Errorf("cell: %q is not a cell name; use one without a slash", c.Cell)
	}
	if c.Weights.LoadsPerSecond <= 0 || c.Weights.FullSpeedLoads <= 0 || c.Weights.AdapterLoadsAtSpeed <= 0 {
		return fmt.Errorf("weights: loads_per_second %g, full_speed_loads %d and adapter_loads_at_speed %d must all be above zero",
			c.Weights.LoadsPerSecond, c.Weights.FullSpeedLoads, c.Weights.AdapterLoadsAtSpeed)
	}
	return nil
}
