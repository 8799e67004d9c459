package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by Feed.Changes when the service no longer has the changes after the given revision, also because
// it was restored since.
var ErrCompacted = errors.New("kv: history no longer available; take a new snapshot")

// ErrWatchEnded is wrapped by an error of Feed.Changes if the service had the call and ended it before there was a change. A service
// that is available does that too.
var ErrWatchEnded = errors.New("kv: the service ended the watch; watch again")

// Snapshot holds all entries under a prefix. It may already contain some changes made after Revision.
type Snapshot struct {
	Entries  []Entry
	Revision Version // of the service when the snapshot began
}

// Change is one write or deletion of a key.
type Change struct {
	Entry   // without value if Deleted
	Deleted bool
}

// Feed reads all entries under a prefix and the changes made to them.
type Feed interface {
	// Snapshot reads all entries under the prefix with linearizable calls. Errors: ErrUnavailable, with it ErrRateLimited or ErrMoved.
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Changes returns the changes under the prefix after the revision after, and the revision to pass to the next
	// call. It waits at most wait for the first change. Errors: ErrCompacted, ErrUnavailable, with it ErrWatchEnded,
	// ErrRateLimited or ErrMoved.
	Changes(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
}
