// Package kv is the interface to the platform's key-value service. Adapters for a wire protocol live below it.
package kv

import (
	"context"
	"errors"
	"time"
)

// Version is the version of a key. It rises with every write of the key and is never reused; zero
// stands for a key that does not exist.
type Version int64

// LeaseID names a lease; zero is none.
type LeaseID int64

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. ErrUnknown is returned by writes whose answer was lost: the write may have taken effect.
var (
	ErrNotFound    = errors.New("kv: key not found")
	ErrConflict    = errors.New("kv: version conflict; read the key again and retry")
	ErrUnknown     = errors.New("kv: outcome of the write unknown; read the key to find out")
	ErrUnavailable = errors.New("kv: service unavailable; retry later")
	ErrLeaseLost   = errors.New("kv: lease expired; grant a new one")
	ErrTooLarge    = errors.New("kv: value larger than 1 MiB; split it")
)

// Entry is one key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is the key-value service. Every call honours the deadline of its context.
type Store interface {
	// Get reads the newest value. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Wait returns when the version of key differs from after, or at the end of wait with the
	// unchanged entry. A key that does not exist is returned with version zero.
	Wait(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	// List returns the entries whose key has the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the key has version expect (zero: must not exist) and attaches it to lease.
	// Errors: ErrConflict, ErrUnknown, ErrUnavailable (not written), ErrLeaseLost, ErrTooLarge.
	Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if it has version expect. Errors as Put.
	Delete(ctx context.Context, key string, expect Version) error
	// Grant creates a lease; keys attached to it vanish when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. Errors: ErrLeaseLost, ErrUnavailable.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, id LeaseID) error
}
