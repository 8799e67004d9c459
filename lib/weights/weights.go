// Package weights is the interface to the platform's rate-limited weight store.
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

// Limits are the store's limits for model loads, as configured by the operators.
type Limits struct {
	LoadsPerSecond      float64 `yaml:"loads_per_second" json:"loads_per_second"`
	FullSpeedLoads      int     `yaml:"full_speed_loads" json:"full_speed_loads"`             // model loads at once at full speed
	AdapterLoadsAtSpeed int     `yaml:"adapter_loads_at_speed" json:"adapter_loads_at_speed"` // adapter loads in flight over all targets before they slow down
}

// Artifact describes stored weights.
type Artifact struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Store tells what weights exist. Engines fetch the weights themselves.
type Store interface {
	// Lookup returns the artifact, or an error that wraps ErrNotFound or ErrUnavailable.
	Lookup(ctx context.Context, name string) (Artifact, error)
}
