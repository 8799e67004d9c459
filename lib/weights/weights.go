// Package weights defines the interface to the platform's rate-limited store of model and adapter weights.
package weights

import (
	"context"
	"errors"
)

// Errors of a Store.
var (
	ErrNotFound    = errors.New("weights: no such artifact; upload the weights first")
	ErrUnavailable = errors.New("weights: store unavailable; retry later")
)

// Limits are the limits of the store for concurrent and frequent loads, as configured by the operators.
type Limits struct {
	LoadsPerSecond      float64 `yaml:"loads_per_second" json:"loads_per_second"`
	FullSpeedLoads      int     `yaml:"full_speed_loads" json:"full_speed_loads"`             // concurrent model loads at full speed
	AdapterLoadsAtSpeed int     `yaml:"adapter_loads_at_speed" json:"adapter_loads_at_speed"` // concurrent adapter loads at full speed, over all targets
}

// Artifact describes the stored weights of a model or adapter.
type Artifact struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Store looks up which weights exist. Engines fetch the weights themselves.
type Store interface {
	// Lookup returns the artifact with the given name, or an error that wraps ErrNotFound or ErrUnavailable.
	Lookup(ctx context.Context, name string) (Artifact, error)
}
