// Package service is the interface to plain services.
package service

import (
	"context"
	"errors"
)

// Errors of a call. Any other error means that the outcome is unknown.
var (
	// ErrNotRun: the connection could not be dialled, nothing was written, or the target says it did not run.
	ErrNotRun = errors.New("service: request was not run; another attempt is safe")
	// ErrDraining wraps ErrNotRun: the target is leaving.
	ErrDraining = errors.New("service: target is leaving; use another target")
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a call to a plain service. It holds no caller's key.
type Request struct {
	ID         string
	Method     string
	Path       string // path with query
	Headers    []Header
	Body       []byte
	Idempotent bool // false: sent once on a connection dialled for it
}

// Response is the whole answer.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client calls plain services at addr (IP:port).
type Client interface {
	Do(ctx context.Context, addr string, req *Request) (*Response, error)
}
