// Package peer is the interface for calls between the system's own processes.
package peer

import (
	"context"
	"errors"
)

// Errors of a call.
var (
	// ErrUnreachable: the call was not sent.
	ErrUnreachable = errors.New("peer: host unreachable; the call was not sent")
	// ErrTimeout: the call was sent and not answered in time; its outcome is unknown.
	ErrTimeout = errors.New("peer: no answer in time; outcome unknown")
)

// Caller calls an RPC method of another member.
type Caller interface {
	// Call calls method ("Service.Method") of the member with the given id. An error returned by the
	// method itself is a net/rpc ServerError.
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Registrar registers the methods of rcvr as an RPC service.
type Registrar interface {
	Register(service string, rcvr any) error
}
