// Package peer defines the interfaces for RPC calls between the members of the mesh, which are the programs of all hosts.
package peer

import (
	"context"
	"errors"
)

// Errors of a call.
var (
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = errors.New("peer: host unreachable; the call was not sent")
	// ErrTimeout means that the call was sent, but no answer came in time or the connection broke; its outcome is
	// unknown.
	ErrTimeout = errors.New("peer: no answer in time; outcome unknown")
)

// Caller calls RPC methods of other members.
type Caller interface {
	// Call calls method ("Service.Method") of the member with the given id and stores its result in reply. An error
	// returned by the method itself is an rpc.ServerError of net/rpc.
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Registrar registers RPC services that other members can call.
type Registrar interface {
	// Register registers the exported methods of rcvr as the RPC service with the given name.
	Register(service string, rcvr any) error
}
