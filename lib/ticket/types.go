// Package ticket holds the operators' objects, change tickets and the state that results from them.
package ticket

// Organisation is a caller's organisation with its token rate and burst over all hosts together.
type Organisation struct {
	Name   string `json:"name" yaml:"name"`
	Rate   int64  `json:"rate" yaml:"rate"`     // tokens a second
	Burst  int64  `json:"burst" yaml:"burst"`   // tokens
	Weight int64  `json:"weight" yaml:"weight"` // share under contention; default 1
}

// Key is a caller's key; only its hash is kept. A key is withdrawn by deleting it.
type Key struct {
	Name         string `json:"name" yaml:"name"`
	Organisation string `json:"organisation" yaml:"organisation"`
	SHA256       string `json:"sha256" yaml:"sha256"` // lower-case hex of the key's SHA-256
}

// Model is a model that engines can load.
type Model struct {
	Name          string   `json:"name" yaml:"name"`
	Bytes         int64    `json:"bytes" yaml:"bytes"`                                     // accelerator memory
	MaxOutput     int64    `json:"max_output" yaml:"max_output"`                           // tokens, default and upper bound of an answer
	DeadlineMS    int64    `json:"deadline_ms" yaml:"deadline_ms"`                         // first token, default for requests
	MinCopies     int      `json:"min_copies" yaml:"min_copies"`                           // default 1
	Organisations []string `json:"organisations,omitempty" yaml:"organisations,omitempty"` // empty: all
}

// Adapter runs on top of a model. Callers name it in the model field.
type Adapter struct {
	Name          string   `json:"name" yaml:"name"`
	Model         string   `json:"model" yaml:"model"`
	Bytes         int64    `json:"bytes" yaml:"bytes"`
	Organisations []string `json:"organisations,omitempty" yaml:"organisations,omitempty"`
}

// Route leads a path prefix to a plain service.
type Route struct {
	Name          string   `json:"name" yaml:"name"`
	Prefix        string   `json:"prefix" yaml:"prefix"`                       // path prefix, longest match wins
	Methods       []string `json:"methods,omitempty" yaml:"methods,omitempty"` // empty: all
	Service       string   `json:"service" yaml:"service"`
	Open          bool     `json:"open" yaml:"open"` // served without a key
	Idempotent    bool     `json:"idempotent" yaml:"idempotent"`
	Tokens        int64    `json:"tokens" yaml:"tokens"` // charged to the organisation for each call
	DeadlineMS    int64    `json:"deadline_ms" yaml:"deadline_ms"`
	Organisations []string `json:"organisations,omitempty" yaml:"organisations,omitempty"`
}

// State is all that is in force. It is immutable once published.
type State struct {
	Organisations map[string]Organisation
	Keys          map[string]Key // by SHA256
	Models        map[string]Model
	Adapters      map[string]Adapter
	Routes        map[string]Route
	// Writers holds for each object, deleted ones included, the number of the ticket that wrote it
	// last.
	Writers Writers
	// Accepted holds the content hash of each ticket number at or above Floor.
	Accepted Numbers
	Floor    int64

	pruneAt int // length of Writers from which tombstones are worth pruning
}

// Kind is the kind of an object.
type Kind string

// Kinds of objects.
const (
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindModel        Kind = "model"
	KindAdapter      Kind = "adapter"
	KindRoute        Kind = "route"
)

// Ref names an object.
type Ref struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// MaxBytes is the largest encoded ticket.
const MaxBytes = 512 << 10

// Ticket is a numbered change ticket: the complete new state of every object it touches.
type Ticket struct {
	Number        int64          `json:"number" yaml:"number"`
	Organisations []Organisation `json:"organisations,omitempty" yaml:"organisations,omitempty"`
	Keys          []Key          `json:"keys,omitempty" yaml:"keys,omitempty"`
	Models        []Model        `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters      []Adapter      `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Routes        []Route        `json:"routes,omitempty" yaml:"routes,omitempty"`
	Delete        []Ref          `json:"delete,omitempty" yaml:"delete,omitempty"`
}
