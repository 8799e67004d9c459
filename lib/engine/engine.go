// Package engine is the interface to model engines: inference for gateways and orders for the controller.
package engine

import (
	"context"
	"errors"
	"fmt"
)

// Errors. An error that wraps none of them leaves the outcome unknown.
var (
	ErrNotRun        = errors.New("engine: request was not run; another attempt is safe")
	ErrDraining      = errors.New("engine: target is leaving; use another target")           // also not run
	ErrNotResident   = errors.New("engine: model or adapter not loaded; use another target") // also not run
	ErrFenced        = errors.New("engine: order refused, its epoch or sequence is old; a newer controller is active")
	ErrOrderRefused  = errors.New("engine: order refused; it had no effect")
	ErrStreamBroken  = errors.New("engine: stream broken; resume it from the last event")
	ErrWrongResponse = errors.New("engine: answer belongs to another request; the connection was closed")
)

// Load is an engine's load report. It lags.
type Load struct {
	Running    int   `json:"running"`     // sequences in the batch
	Queued     int   `json:"queued"`      // sequences waiting
	QueuedToks int64 `json:"queued_toks"` // prompt tokens waiting for prefill
	Slots      int   `json:"slots"`       // batch slots
}

// Request is one inference request. It holds no caller's key.
type Request struct {
	ID           string
	Path         string // /v1/chat/completions or /v1/completions
	Body         []byte // JSON with model, adapter and max_tokens as the engine shall see them
	Model        string
	Adapter      string
	Stream       bool
	Priority     int // lower runs earlier
	Organisation string
	Idempotent   bool
}

// Event is one streamed event.
type Event struct {
	Seq  int64  // rises by one from 1
	Data []byte // valid until the next call of Next
	Last bool   // the stream ended properly with this event
}

// EventReader reads a stream.
type EventReader interface {
	// Next returns the next event, or ErrStreamBroken when the stream stopped without its end marker.
	Next(ctx context.Context) (Event, error)
	// Close ends the stream. A stream closed early is cancelled at the engine, but not a broken one,
	// which may have been resumed.
	Close() error
	Load() (Load, bool)
}

// Response is a whole answer.
type Response struct {
	Status       int
	Body         []byte
	PromptTokens int64
	OutputTokens int64
	Load         Load
	HasLoad      bool
}

// Inference runs requests on the engine at addr (IP:port).
type Inference interface {
	Do(ctx context.Context, addr string, req *Request) (*Response, error)
	Stream(ctx context.Context, addr string, req *Request) (EventReader, error)
	// Resume continues the stream of request id after event seq on a new connection.
	Resume(ctx context.Context, addr, id string, seq int64) (EventReader, error)
	// Cancel stops the work of request id.
	Cancel(ctx context.Context, addr, id string) error
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders. OrderFence has no effect but to raise the engine's fencing number.
const (
	OrderFence         OrderKind = "fence"
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order changes what an engine holds. Epoch and Seq form its fencing number. An engine carries out an order
// id at most once: a repeat of an id that it has answered has no further effect. A load of what is resident
// and an unload of what is not are carried out without effect.
type Order struct {
	// Boot is the engine start that the order is meant for. It must not reach any other start: the adapter
	// sends the order on a connection on which the engine reported this boot id, or the engine compares it.
	// ErrNotRun is returned if the boot id differs.
	Boot  string    `json:"boot"`
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Name  string    `json:"name"`            // model or adapter
	Model string    `json:"model,omitempty"` // base model of an adapter
	Bytes int64     `json:"bytes"`
	Epoch int64     `json:"epoch"`
	Seq   int64     `json:"seq"`
}

// Resident is a model or adapter in an engine's memory. It is listed from the acceptance of its load on, so
// that a report shows all memory that accepted orders take.
type Resident struct {
	Kind    string `json:"kind"` // model or adapter
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Loading bool   `json:"loading,omitempty"` // takes memory, cannot be used yet
}

// Report is an engine's own account of itself.
type Report struct {
	Boot      string     `json:"boot"`     // new for each start of the engine
	Capacity  int64      `json:"capacity"` // bytes
	Fences    bool       `json:"fences"`   // refuses orders with an old fencing number
	Epoch     int64      `json:"epoch"`    // highest fencing number seen, if it fences
	Seq       int64      `json:"seq"`
	Residents []Resident `json:"residents"`
	Done      []string   `json:"done"` // ids of recent orders that were carried out
	Load      Load       `json:"load"`
	// PrefillRate is in prompt tokens a second with nothing else running, DecodeRate in output tokens a second of a
	// full batch; zero if the engine does not tell.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	DecodeRate  float64 `json:"decode_rate,omitempty"`
}

// Control gives orders to the engine at addr.
type Control interface {
	// Order returns nil once the order was carried out. ErrFenced, ErrOrderRefused and ErrNotRun: it had no
	// effect and will have none. After any other error the outcome is unknown.
	Order(ctx context.Context, addr string, o Order) error
	Report(ctx context.Context, addr string) (Report, error)
}

// StatusError is an engine's own refusal of a stream; the engine did not start it.
type StatusError struct {
	Status int // HTTP status code
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d instead of a stream", e.Status)
}

// Pending is implemented by event readers that can tell whether the next event is already there, so that
// a relay need not flush each one.
type Pending interface {
	// Pending reports whether bytes of a further event have arrived.
	Pending() bool
}
