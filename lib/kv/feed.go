package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned when the service no longer holds the changes after the revision asked for.
var ErrCompacted = errors.New("kv: history no longer available; take a new snapshot")

// Snapshot is the content of a prefix. Changes after Revision may be part of it already.
type Snapshot struct {
	Entries  []Entry
	Revision Version // of the service when the snapshot began
}

// Change is one write or removal of a key.
type Change struct {
	Entry   // without value if Deleted
	Deleted bool
}

// Feed reads whole prefixes and follows their changes.
type Feed interface {
	// Snapshot reads all entries under the prefix with linearizable calls. Errors: ErrUnavailable.
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Changes returns the changes under the prefix after a revision, and the revision from which to go on. It waits
	// at most wait for the first one. Errors: ErrCompacted, ErrUnavailable.
	Changes(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
}
