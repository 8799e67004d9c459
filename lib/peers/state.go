package peers

import (
	"cuminhook.org/cuminhook/lib/aggregate"
	"cuminhook.org/cuminhook/lib/brittle"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
	"cuminhook.org/cuminhook/lib/streamversion"
	"cuminhook.org/cuminhook/lib/targetrate"
)

// Kind states for whom a state is, and which hosts it covers.
type Kind uint8

// Kinds of states.
const (
	Mesh    Kind = iota // between hosts of the mesh: the sum over the sender and its leaves
	Up                  // from a leaf to its aggregator: the sender
	Down                // from an aggregator to a leaf: the sum over all other hosts
	Partial             // changes only: ConfigVersion, Changes and Placement. It is sent soon after a change
)

// PlacementVersion identifies and orders placements.
type PlacementVersion struct {
	Epoch int64 `json:"e,omitempty"` // of the controller's lease
	Seq   int64 `json:"s,omitempty"` // increases with each change in the epoch
}

// Before reports whether v is older than o.
func (v PlacementVersion) Before(o PlacementVersion) bool {
	return v.Epoch < o.Epoch || v.Epoch == o.Epoch && v.Seq < o.Seq
}

// Placement is the controller's knowledge of the models that are loaded at each target.
type Placement struct {
	Controller  string                        `json:"c"` // host
	Version     PlacementVersion              `json:"v"`
	Residencies map[string]registry.Residency `json:"r,omitempty"` // by target
	// ExpectedMS is when a first copy is expected to be ready of models that have none, by service/model: milliseconds after
	// the placement was made.
	ExpectedMS map[string]int64 `json:"x,omitempty"`
}

// Holder is what a host knows of the holder of the placement lease.
type Holder struct {
	Host       string `json:"h,omitempty"`
	Epoch      int64  `json:"e,omitempty"` // zero if no holder is known
	AgeMS      int64  `json:"a,omitempty"` // time since the holder was alive
	EndedEpoch int64  `json:"z,omitempty"` // highest epoch whose holder is known to have lost or given up the lease
}

// State is what a host sends about itself or, as its kind states, about several hosts.
type State struct {
	Host          string `json:"h"`
	Boot          uint64 `json:"b"` // new for each start
	Number        uint64 `json:"n"` // increases with each state since the start
	Addr          string `json:"x"` // IP:port of datagrams and calls
	Kind          Kind   `json:"f,omitempty"`
	StoreLost     bool   `json:"y,omitempty"` // the sender cannot read the store
	ConfigVersion int64  `json:"c"`           // version of the configuration in force at the sender
	aggregate.Contribution
	Quarantine quarantine.Report        `json:"z,omitzero"` // prompt segments that crash targets
	Requests   quarantine.RequestReport `json:"i,omitzero"` // requests that crash targets
	// Streams are those that the sender, if it belongs to the mesh, and its leaves have begun lately; LeafStreams those that a leaf has.
	Streams          streamversion.Report                `json:"sv,omitempty"`
	LeafStreams      streamversion.Report                `json:"sl,omitempty"`
	TargetRates      map[string]targetrate.Statement     `json:"r,omitempty"`  // rates that targets stated, by target
	Cold             map[string]targetrate.ColdStatement `json:"j,omitempty"`  // cold times that targets stated, by target
	Brittle          map[string]brittle.Statement        `json:"br,omitempty"` // services whose targets are brittle
	Changes          storewatch.TargetChanges            `json:"v,omitzero"`   // recent changes of targets
	Holder           Holder                              `json:"t,omitzero"`
	PlacementVersion PlacementVersion                    `json:"q,omitzero"`  // newest placement that the sender knows
	Placement        *Placement                          `json:"p,omitempty"` // for receivers that lack it
}
