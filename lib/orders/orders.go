// Package orders is the interface to the orders that change what targets hold.
package orders

import (
	"context"
	"errors"

	"cuminhook.org/cuminhook/lib/registry"
)

// Errors of an order. An error that wraps none of them leaves the outcome unknown: the order may be carried out later,
// unless the target has accepted another order by then.
var (
	ErrConflict    = errors.New("orders: the target carries out another order, or has accepted one since; read its report")
	ErrFenced      = errors.New("orders: a newer controller is active; stop")
	ErrWrongTarget = errors.New("orders: another target has the address; use the newest entry")
	ErrInvalid     = errors.New("orders: the target does not know the order")
	ErrNotSent     = errors.New("orders: the target was not reached")
)

// Op is what an order does.
type Op string

// Operations.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Order changes what a target holds.
type Order struct {
	Op       Op
	Model    string
	Adapter  string // empty: the model itself
	Holder   string // host that gives the order
	Fence    int64  // epoch of its lease
	Expected int64  // orders that the target has accepted so far; it carries the order out only then
}

// Report is a target's account of itself. It is some hundred milliseconds old.
type Report struct {
	Models   []registry.Resident
	Busy     bool  // loads or unloads a model
	Accepted int64 // orders since its start
	Coming   []registry.Resident
	InMemory []string // models with a copy in host memory
	OnDisk   []string // models with a copy on disk
}

// Client reaches targets.
type Client interface {
	// Order gives an order. done states that it holds already; otherwise it is being carried out.
	Order(ctx context.Context, t *registry.Target, o Order) (done bool, err error)
	// Report asks for the report.
	Report(ctx context.Context, t *registry.Target) (Report, error)
}
