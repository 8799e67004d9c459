package placement

import (
	"time"

	"cuminhook.org/cuminhook/lib/weights"
)

// Kinds of Residency and Action, as in engine.Resident.
const (
	KindModel   = "model"
	KindAdapter = "adapter"
)

// ResidencyState is the state of a model or adapter at a target.
type ResidencyState string

// States of Residency. The bytes of an entry count as occupied memory in all states but NotLoadable.
const (
	Resident    ResidencyState = "resident"
	Loading     ResidencyState = "loading"
	Retiring    ResidencyState = "retiring" // resident, but no longer in the view; to be unloaded soon
	Unloading   ResidencyState = "unloading"
	Unknown     ResidencyState = "doubt" // of unknown outcome: may be in memory, or may still be loaded by a delayed order
	NotLoadable ResidencyState = "gone"  // not in memory; must not be loaded here, for example because of a delayed unload
)

// Residency is a model or adapter that occupies, or may occupy, memory of a target.
type Residency struct {
	Kind  string
	Name  string
	Bytes int64
	State ResidencyState
	Since time.Time // start of the current state
}

// TargetState is the state of one engine target, as input to a plan.
type TargetState struct {
	ID          string
	Zone        string
	Capacity    int64 // bytes
	Slots       int   // batch slots
	Alive       bool
	Leaving     bool
	Residencies []Residency
	PrefillRate float64 // prompt tokens a second with nothing else running; zero if unknown
	DecodeRate  float64 // output tokens a second of a full batch; zero if unknown
	Blocked     bool    // accepts no orders for now, for example before the controller has taken over its ledger
}

// ModelSpec is a configured model.
type ModelSpec struct {
	Name      string
	Bytes     int64
	MinCopies int // values below one count as one
}

// AdapterSpec is a configured adapter.
type AdapterSpec struct {
	Name  string
	Model string
	Bytes int64
}

// Input is everything that a plan depends on, except the planner's rate limit of model loads.
type Input struct {
	Now      time.Time
	Targets  []TargetState
	Models   []ModelSpec
	Adapters []AdapterSpec
	Demand   map[string]Demand // by model or adapter name
	Limits   weights.Limits
}

// Op is the operation of an action.
type Op string

// Operations. An Unload first removes the entry from the view, waits until the gateways have that view, and then unloads.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Priorities of actions; a lower one goes first.
const (
	PriorityUnreachable  = iota // the model has no routable copy
	PriorityMinCopies           // the model has fewer than MinCopies copies on targets that are not leaving
	PriorityDemand              // another copy because of the demand
	PrioritySecondZone          // a copy in a second zone
	PriorityUnconfigured        // the model or adapter is no longer configured
)

// Action is a load or an unload of a model or adapter at a target. A Load of an entry in state Retiring cancels its
// unload.
type Action struct {
	Op       Op
	Kind     string
	Name     string
	Model    string // base model of an adapter
	Target   string
	Bytes    int64
	Priority int
	Reason   string // for logs
}
