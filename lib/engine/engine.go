// Package engine defines the interface to model engines: Inference for gateways, and Control for the controller, which
// sends orders to load and unload models and adapters.
package engine

import (
	"context"
	"errors"
	"fmt"
)

// Errors of Inference and Control. After an error that wraps none of them the outcome is unknown.
var (
	ErrNotRun        = errors.New("engine: request was not run; another attempt is safe")
	ErrDraining      = errors.New("engine: target is draining; use another target")          // also not run
	ErrNotResident   = errors.New("engine: model or adapter not loaded; use another target") // also not run
	ErrFenced        = errors.New("engine: order refused, its epoch or sequence number is old; a newer controller is active")
	ErrOrderRefused  = errors.New("engine: order refused; it had no effect")
	ErrStreamBroken  = errors.New("engine: stream broken; resume it from the last event")
	ErrWrongResponse = errors.New("engine: answer belongs to another request; the connection was closed")
)

// Load is the load that an engine reported. It may be out of date when it is read.
type Load struct {
	Running            int   `json:"running"`     // sequences in the batch
	Queued             int   `json:"queued"`      // sequences waiting
	QueuedPromptTokens int64 `json:"queued_toks"` // prompt tokens waiting for prefill
	Slots              int   `json:"slots"`       // batch slots
}

// Request is one inference request. It never contains the caller's key.
type Request struct {
	ID           string
	Path         string // /v1/chat/completions or /v1/completions
	Body         []byte // JSON; model, adapter and max_tokens are already set for the engine
	Model        string
	Adapter      string
	Stream       bool
	Priority     int // requests with lower values run earlier
	Organisation string
	Idempotent   bool
}

// Event is one event of a streamed answer.
type Event struct {
	Seq  int64  // consecutive, starting at 1
	Data []byte // valid until the next call of Next
	Last bool   // this event is the stream's end marker
}

// EventReader reads the events of a streamed answer.
type EventReader interface {
	// Next returns the next event, or an error that wraps ErrStreamBroken if the stream stops before its end marker.
	Next(ctx context.Context) (Event, error)
	// Close releases the stream. It cancels the request at the engine if the stream is unfinished, unless the stream is
	// broken, because it may have been resumed on another connection.
	Close() error
	// Load returns the latest load that the engine reported with the stream, or false if there is none.
	Load() (Load, bool)
}

// Response is a whole, unstreamed answer.
type Response struct {
	Status       int // HTTP status code
	Body         []byte
	PromptTokens int64 // -1 if the engine did not report it
	OutputTokens int64 // -1 if the engine did not report it
	Load         Load
	HasLoad      bool // the answer carried a load report
}

// Inference runs requests on the engine at addr (IP:port).
type Inference interface {
	// Do runs a request and returns its whole answer.
	Do(ctx context.Context, addr string, req *Request) (*Response, error)
	// Stream runs a request and returns a reader of its events.
	Stream(ctx context.Context, addr string, req *Request) (EventReader, error)
	// Resume continues the stream of request id after event seq on a new connection.
	Resume(ctx context.Context, addr, id string, seq int64) (EventReader, error)
	// Cancel stops the run of request id.
	Cancel(ctx context.Context, addr, id string) error
}

// OrderKind is the operation that an order asks for.
type OrderKind string

// Kinds of orders. OrderFence only raises the engine's fencing number.
const (
	OrderFence         OrderKind = "fence"
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order is the controller's instruction to an engine to load or unload a model or adapter. Epoch and Seq form its fencing
// number. An engine executes each order id at most once: if the id repeats that of an order already answered, the order
// has no further effect. Loading what is already resident and unloading what is not resident succeed without effect.
type Order struct {
	// Boot is the boot id of the engine incarnation that the order is meant for; no other incarnation may execute it.
	// Either the client sends the order on a connection on which the engine has reported this boot id, or the engine
	// compares the ids. ErrNotRun is returned if they differ.
	Boot  string    `json:"boot"`
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Name  string    `json:"name"`            // model or adapter
	Model string    `json:"model,omitempty"` // base model of an adapter
	Bytes int64     `json:"bytes"`           // memory of the model or adapter
	Epoch int64     `json:"epoch"`
	Seq   int64     `json:"seq"`
}

// Resident is a model or adapter in an engine's memory. It is listed as soon as the engine has accepted the order to load
// it, so that a report accounts for all memory taken by accepted orders.
type Resident struct {
	Kind    string `json:"kind"` // model or adapter
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Loading bool   `json:"loading,omitempty"` // takes memory already but cannot serve requests yet
}

// Report is the state that an engine reports of itself.
type Report struct {
	Boot           string     `json:"boot"`     // boot id, new for each start of the engine
	Capacity       int64      `json:"capacity"` // memory for models and adapters in bytes
	ChecksFence    bool       `json:"fences"`   // the engine refuses orders with an old fencing number
	Epoch          int64      `json:"epoch"`    // with Seq: highest fencing number received, if ChecksFence
	Seq            int64      `json:"seq"`
	Residents      []Resident `json:"residents"`
	ExecutedOrders []string   `json:"done"` // ids of recently executed orders
	Load           Load       `json:"load"`
	// PrefillRate is in prompt tokens a second with nothing else running, DecodeRate in output tokens a second of a
	// full batch; zero if the engine does not report them.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	DecodeRate  float64 `json:"decode_rate,omitempty"`
}

// Control sends orders to the engine at addr (IP:port) and reads its reports.
type Control interface {
	// Order sends an order and returns nil once the engine has executed it. An error that wraps ErrFenced,
	// ErrOrderRefused or ErrNotRun means that the order had no effect and will have none. After any other error the
	// outcome is unknown.
	Order(ctx context.Context, addr string, o Order) error
	// Report returns the engine's current report.
	Report(ctx context.Context, addr string) (Report, error)
}

// StatusError is the error status with which an engine answered a request for a stream; the stream was not started.
type StatusError struct {
	Status int // HTTP status code
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d instead of a stream", e.Status)
}

// EventBuffer is implemented by event readers that know whether a further event has already arrived, so that a relay can
// flush several events at once.
type EventBuffer interface {
	// HasBufferedEvent reports whether bytes of a further event have arrived.
	HasBufferedEvent() bool
}
