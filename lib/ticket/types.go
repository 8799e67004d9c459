// Package ticket defines change tickets, with which operators write and delete configuration objects (organisations,
// keys, models, adapters and routes). It parses and validates tickets and applies them to the configuration state.
package ticket

// Organisation is a caller's organisation. Its token rate and burst apply to all hosts together.
type Organisation struct {
	Name   string `json:"name" yaml:"name"`
	Rate   int64  `json:"rate" yaml:"rate"`     // tokens per second
	Burst  int64  `json:"burst" yaml:"burst"`   // tokens
	Weight int64  `json:"weight" yaml:"weight"` // relative share under contention; default 1
}

// Key is a caller's API key, stored as a hash only. To revoke a key, delete it.
type Key struct {
	Name         string `json:"name" yaml:"name"`
	Organisation string `json:"organisation" yaml:"organisation"`
	SHA256       string `json:"sha256" yaml:"sha256"` // lower-case hex of the key's SHA-256
}

// Model is a model that engines can load.
type Model struct {
	Name          string   `json:"name" yaml:"name"`
	Bytes         int64    `json:"bytes" yaml:"bytes"`                                     // size in accelerator memory
	MaxOutput     int64    `json:"max_output" yaml:"max_output"`                           // tokens per answer: limit, default
	DeadlineMS    int64    `json:"deadline_ms" yaml:"deadline_ms"`                         // first token, default for requests
	MinCopies     int      `json:"min_copies" yaml:"min_copies"`                           // default 1
	Organisations []string `json:"organisations,omitempty" yaml:"organisations,omitempty"` // empty: all
}

// Adapter is an adapter for a model. Callers request it by putting its name into the model field.
type Adapter struct {
	Name          string   `json:"name" yaml:"name"`
	Model         string   `json:"model" yaml:"model"`
	Bytes         int64    `json:"bytes" yaml:"bytes"`
	Organisations []string `json:"organisations,omitempty" yaml:"organisations,omitempty"`
}

// Route maps a path prefix to a service that isn't a model engine.
type Route struct {
	Name          string   `json:"name" yaml:"name"`
	Prefix        string   `json:"prefix" yaml:"prefix"`                       // path prefix; the longest match wins
	Methods       []string `json:"methods,omitempty" yaml:"methods,omitempty"` // empty: all
	Service       string   `json:"service" yaml:"service"`
	Open          bool     `json:"open" yaml:"open"` // served without a key
	Idempotent    bool     `json:"idempotent" yaml:"idempotent"`
	Tokens        int64    `json:"tokens" yaml:"tokens"` // charged to the organisation for each call
	DeadlineMS    int64    `json:"deadline_ms" yaml:"deadline_ms"`
	Organisations []string `json:"organisations,omitempty" yaml:"organisations,omitempty"`
}

// State is the configuration that results from the accepted tickets. It is immutable once published. It is stored as
// JSON under the names of its fields.
type State struct {
	Organisations map[string]Organisation
	Keys          map[string]Key // by SHA256
	Models        map[string]Model
	Adapters      map[string]Adapter
	Routes        map[string]Route
	// Writers holds for each object the number of the ticket that last wrote or deleted it. The entry of a
	// deleted object is a tombstone.
	Writers LastWriters
	// Accepted holds the number and content hash of each accepted ticket with a number of Floor or above.
	Accepted AcceptedNumbers
	Floor    int64

	pruneAt int // prune tombstones once Writers has this many entries
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

// Ref identifies an object.
type Ref struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// MaxBytes is the maximum size of a ticket, both as sent and in its canonical encoding.
const MaxBytes = 512 << 10

// Ticket is a numbered set of changes. It holds the complete new value of every object that it writes, and
// references to the objects that it deletes.
type Ticket struct {
	Number        int64          `json:"number" yaml:"number"`
	Organisations []Organisation `json:"organisations,omitempty" yaml:"organisations,omitempty"`
	Keys          []Key          `json:"keys,omitempty" yaml:"keys,omitempty"`
	Models        []Model        `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters      []Adapter      `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Routes        []Route        `json:"routes,omitempty" yaml:"routes,omitempty"`
	Delete        []Ref          `json:"delete,omitempty" yaml:"delete,omitempty"`
}
