// Package orders is the interface for the orders that load and unload models and adapters at targets.
package orders

import (
	"context"
	"errors"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

// Errors of Client.Send. After an error that wraps none of them, the outcome is unknown: the target may still execute the
// order, unless it accepts another order first.
var (
	ErrConflict    = errors.New("orders: the target executes another order, or has accepted one since; read its report")
	ErrFenced      = errors.New("orders: a newer controller is active; stop")
	ErrWrongTarget = errors.New("orders: another target has the address; use the newest entry of the target")
	ErrInvalid     = errors.New("orders: the target rejects the order as invalid")
	ErrNotSent     = errors.New("orders: the target was not reached; nothing was sent")
	ErrPaused      = errors.New("orders: the target has asked for a pause; nothing was sent, send it when the pause has ended")
)

// Op is the operation of an order.
type Op string

// Operations.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Order loads or unloads a model or an adapter at a target.
type Order struct {
	Op               Op
	Model            string
	Adapter          string // empty: the model itself
	Holder           string // host that sends the order: the holder of the placement lease
	Fence            int64  // epoch of the lease; a target refuses orders with an epoch below the highest that it has seen
	ExpectedAccepted int64  // the target executes the order only if it has accepted exactly this number of orders so far
}

// Report is the state of a target as the target reports it. It lags by some hundred milliseconds.
type Report struct {
	Models   []registry.ResidentModel // loaded
	Busy     bool                     // a model is being loaded or unloaded
	Accepted int64                    // number of orders accepted since the target started
	Loading  []registry.ResidentModel // being loaded
	InMemory []string                 // models with a copy in host memory
	OnDisk   []string                 // models with a copy on disk
}

// Stated is what a target states of itself in its answer to an order or a read of its report.
type Stated struct {
	Leaving bool
	Pause   time.Duration // how long the target wants no request from this host; negative if that cannot be read
	Cold    time.Duration // how much longer the target is cold; zero: not stated, or not cold
}

// StatedSource is implemented by clients that pass on what targets state of themselves.
type StatedSource interface {
	// OnStated sets the function to call with statements. It must be called before the first order.
	OnStated(func(*registry.Target, Stated))
}

// Client sends orders to targets and reads their reports.
type Client interface {
	// Send sends an order. done means that its effect is in place already; otherwise the target has started to execute it.
	Send(ctx context.Context, t *registry.Target, o Order) (done bool, err error)
	// Report reads the report of a target.
	Report(ctx context.Context, t *registry.Target) (Report, error)
}
