package replay

import (
	"errors"
	"fmt"
	"time"

	"cuminhook.org/cuminhook/lib/ticket"
	"cuminhook.org/cuminhook/lib/weights"
)

// Deployment describes the hosts and targets that a trace is replayed on.
type Deployment struct {
	Name               string                `yaml:"name"`
	Entries            []Entry               `yaml:"entries"`
	Targets            []Target              `yaml:"targets"`
	Models             []ticket.Model        `yaml:"models"`
	Adapters           []ticket.Adapter      `yaml:"adapters"`
	Organisations      []ticket.Organisation `yaml:"organisations"`
	WeightStore        weights.Limits        `yaml:"weight_store"`
	LoadBytesPerSecond int64                 `yaml:"load_bytes_per_second"` // of a model load at the full speed of the store
	AdapterLoadMS      float64               `yaml:"adapter_load_ms"`       // at the full speed of the store
	ZoneDelayMS        float64               `yaml:"zone_delay_ms"`         // one-way delay between availability zones
	ReportLagMS        float64               `yaml:"report_lag_ms"`         // age of an engine's load report
	DeadlineMS         int64                 `yaml:"deadline_ms"`           // until the first token; default of requests
	MaxTokenGapMS      float64               `yaml:"token_gap_ms"`          // maximum mean time between tokens of an answer
}

// Entry describes an entry host.
type Entry struct {
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
}

// Target describes a model engine.
type Target struct {
	ID                     string  `yaml:"id"`
	Zone                   string  `yaml:"zone"`
	Accelerators           int     `yaml:"accelerators"`
	MemoryBytes            int64   `yaml:"bytes"` // memory for models and adapters
	Slots                  int     `yaml:"slots"` // batch slots
	PrefillTokensPerSecond float64 `yaml:"prefill_rate"`
	TokenGapMS             float64 `yaml:"token_gap_ms"`  // time between tokens with one sequence
	FullGapMS              float64 `yaml:"full_gap_ms"`   // time between tokens with all slots in use
	PrefixCacheTokens      int64   `yaml:"prefix_tokens"` // capacity of the prefix cache
	Fences                 bool    `yaml:"fences"`
}

// Validate implements settings.Validator.
func (d *Deployment) Validate() error {
	switch {
	case d.Name == "":
		return errors.New("name is required")
	case len(d.Entries) == 0 || len(d.Targets) == 0 || len(d.Models) == 0 || len(d.Organisations) == 0:
		return errors.New("entries, targets, models and organisations each need at least one item")
	case d.LoadBytesPerSecond <= 0:
		return errors.New("load_bytes_per_second must be positive")
	case d.DeadlineMS <= 0 || d.MaxTokenGapMS <= 0:
		return errors.New("deadline_ms and token_gap_ms must be positive")
	case d.WeightStore.LoadsPerSecond <= 0 || d.WeightStore.FullSpeedLoads <= 0 || d.WeightStore.AdapterLoadsAtSpeed <= 0:
		return errors.New("weight_store needs positive loads_per_second, full_speed_loads and adapter_loads_at_speed")
	}
	for i := range d.Targets {
		if err := d.Targets[i].validate(); err != nil {
			return fmt.Errorf("targets[%d]: %w", i, err)
		}
	}
	names := map[string]bool{}
	for _, m := range d.Models {
		if m.Bytes <= 0 || names[m.Name] {
			return fmt.Errorf("model %q: the name must be unique and bytes positive", m.Name)
		}
		names[m.Name] = true
	}
	for _, a := range d.Adapters {
		if !names[a.Model] || names[a.Name] {
			return fmt.Errorf("adapter %q: its model must be listed and its name be unique", a.Name)
		}
	}
	return nil
}

func (t *Target) validate() error {
	switch {
	case t.ID == "" || t.Zone == "":
		return errors.New("id and zone are required")
	case t.MemoryBytes <= 0 || t.Slots <= 0 || t.PrefillTokensPerSecond <= 0 || t.TokenGapMS <= 0:
		return errors.New("bytes, slots, prefill_rate and token_gap_ms must be positive")
	case t.FullGapMS < t.TokenGapMS:
		return errors.New("full_gap_ms must be at least token_gap_ms")
	}
	return nil
}

// acceleratorCount returns the number of accelerators of all targets, at least one for each target.
func (d *Deployment) acceleratorCount() int {
	n := 0
	for i := range d.Targets {
		n += max(d.Targets[i].Accelerators, 1)
	}
	return n
}

// tokenGap returns the time between tokens of a sequence when the batch holds the given number of sequences. It rises
// linearly from TokenGapMS with one sequence to FullGapMS with all slots in use.
func (t *Target) tokenGap(sequences int) time.Duration {
	if t.Slots <= 1 {
		return millis(t.TokenGapMS)
	}
	batchFraction := float64(min(sequences, t.Slots)-1) / float64(t.Slots-1)
	return millis(t.TokenGapMS + (t.FullGapMS-t.TokenGapMS)*batchFraction)
}
