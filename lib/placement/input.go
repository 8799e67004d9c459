package placement

import (
	"time"

	"cuminhook.org/cuminhook/lib/weights"
)

// Kinds of held entries and actions, as in engine.Resident.
const (
	KindModel   = "model"
	KindAdapter = "adapter"
)

// HeldState is the state of a held entry as the planner sees it.
type HeldState string

// States of held entries. All but Gone count as memory.
const (
	Resident  HeldState = "resident"
	Loading   HeldState = "loading"
	Retiring  HeldState = "retiring" // resident, out of the view, to be unloaded soon
	Unloading HeldState = "unloading"
	Doubt     HeldState = "doubt" // may or may not be in memory, and may yet be loaded by a late order
	Gone      HeldState = "gone"  // not in memory, but a late unload may arrive: must not be loaded here
)

// Held is a model or adapter that occupies, or may occupy, memory of a target.
type Held struct {
	Kind  string
	Name  string
	Bytes int64
	State HeldState
	Since time.Time // start of the present state
}

// TargetState is one engine target as the planner sees it.
type TargetState struct {
	ID          string
	Zone        string
	Capacity    int64 // bytes
	Slots       int   // batch slots
	Alive       bool
	Leaving     bool
	Held        []Held
	PrefillRate float64 // prompt tokens a second with nothing else running; zero if unknown
	DecodeRate  float64 // output tokens a second of a full batch; zero if unknown
	Blocked     bool    // no orders for now, for example while its ledger is not taken over
}

// ModelSpec is a configured model.
type ModelSpec struct {
	Name      string
	Bytes     int64
	MinCopies int // less than one counts as one
}

// AdapterSpec is a configured adapter.
type AdapterSpec struct {
	Name  string
	Model string
	Bytes int64
}

// Input is all that a plan depends on, apart from the planner's own pacing of loads.
type Input struct {
	Now      time.Time
	Targets  []TargetState
	Models   []ModelSpec
	Adapters []AdapterSpec
	Demand   map[string]Demand // by model or adapter name
	Limits   weights.Limits
}

// Op is what an action does.
type Op string

// Operations. Unload means: take out of the view, wait until gateways have it, then unload.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Priorities of actions; a lower one goes first.
const (
	PriorityLost    = iota // the model has no routable copy
	PriorityLeaving        // its copies are on leaving targets or below MinCopies
	PriorityDemand         // more copies for the demand
	PrioritySpread         // a second zone
	PriorityTidy           // removes what is no longer configured
)

// Action is one change of what a target holds. Load of an entry in state Retiring keeps it.
type Action struct {
	Op       Op
	Kind     string
	Name     string
	Model    string // base model of an adapter
	Target   string
	Bytes    int64
	Priority int
	Reason   string
}
