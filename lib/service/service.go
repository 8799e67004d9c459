// Package service defines the interface to plain services, which are HTTP services other than model engines.
package service

import (
	"context"
	"errors"
)

// Errors of Client.Do. After an error that wraps none of them the outcome is unknown.
var (
	// ErrNotRun means that no connection could be dialled, that nothing was written to it, or that the target reported
	// that it did not run the request.
	ErrNotRun = errors.New("service: request was not run; another attempt is safe")
	// ErrDraining means that the target is draining; it always comes together with ErrNotRun.
	ErrDraining = errors.New("service: target is draining; use another target")
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a call to a plain service. It never contains the caller's key.
type Request struct {
	ID         string
	Method     string
	Path       string // path with query
	Headers    []Header
	Body       []byte
	Idempotent bool // false: sent only once, on a newly dialled connection
}

// Response is the whole answer to a call.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client calls plain services at addr (IP:port).
type Client interface {
	// Do sends a request and returns its answer. An HTTP error status alone is not an error.
	Do(ctx context.Context, addr string, req *Request) (*Response, error)
}
