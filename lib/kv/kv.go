// Package kv defines the interface to the platform's key-value service. Its sub-packages implement it: httpkv over
// HTTP, memkv in memory.
package kv

import (
	"context"
	"errors"
	"time"
)

// Version is the version of a key. It rises with every write of the key and is never reused. Zero means that the key
// does not exist.
type Version int64

// LeaseID identifies a lease and is never reused; zero means no lease.
type LeaseID int64

// Era counts the restorations of a service from older copies of its data. A restored service gives out again the revisions and
// lease ids that it has given out since the copy, so a Version and a LeaseID also tell the era in which they were read. Zero is
// the era of a service that states none.
type Era int64

// History is what a client knows of the eras of a service.
type History struct {
	Era      Era           // the newest that an answer has stated
	Since    time.Duration // when the first such answer arrived, by the client's clock
	Restored bool          // an earlier answer stated another era
}

const (
	// eraShift leaves 40 bits for the revisions of one era: over 300 years at 100 writes a second.
	eraShift = 40
	// MaxEra is the highest era that versions can state.
	MaxEra Era = 1<<(63-eraShift) - 1
	// MaxRevision is the highest revision that they can state.
	MaxRevision = 1<<eraShift - 1
)

// NewVersion returns the version of a key that had a revision of the service, above zero, when it was read in an era.
func NewVersion(e Era, revision int64) Version { return Version(int64(e)<<eraShift | revision) }

// Era returns the era in which the version was read.
func (v Version) Era() Era { return Era(v >> eraShift) }

// Revision returns the revision of the service in the version's era.
func (v Version) Revision() int64 { return int64(v) & MaxRevision }

// NewLeaseID returns the id of the n-th lease that a client was granted in an era.
func NewLeaseID(e Era, n int64) LeaseID { return LeaseID(NewVersion(e, n)) }

// Era returns the era in which the lease was granted.
func (id LeaseID) Era() Era { return Version(id).Era() }

// MaxValueBytes is the largest size of a value that the service stores.
const MaxValueBytes = 1 << 20

// Errors of a Store. ErrUnknown is returned by writes whose response was lost: the write may have taken effect.
var (
	ErrNotFound    = errors.New("kv: key not found")
	ErrConflict    = errors.New("kv: version conflict; read the key again and retry")
	ErrUnknown     = errors.New("kv: outcome of the write unknown; read the key to find out")
	ErrUnavailable = errors.New("kv: service unavailable; retry later")
	ErrRateLimited = errors.New("kv: more calls than the service accepts; retry later") // with ErrUnavailable: the service is available
	ErrMoved       = errors.New("kv: the client calls another address now; call again") // with ErrUnavailable, of reads
	ErrLeaseLost   = errors.New("kv: lease expired; grant a new one")
	ErrTooLarge    = errors.New("kv: value larger than 1 MiB; split it")
)

// Entry is a key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Created Version // version at which the key was created; a key that is deleted and written again has another. Zero: not stated
}

// Store is a client of the key-value service. Every call honours the deadline of its context.
type Store interface {
	// Get reads the newest value. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Wait returns the entry of key once its version differs from after. If that doesn't happen within the time
	// wait, it returns the unchanged entry. A key that does not exist is returned with version zero.
	Wait(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the key has version expect (zero: the key must not exist), attaches the key to lease and
	// returns its new version. Errors: ErrConflict, ErrUnknown, ErrUnavailable (not written), ErrLeaseLost,
	// ErrTooLarge.
	Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if it has version expect. Errors as Put.
	Delete(ctx context.Context, key string, expect Version) error
	// Grant creates a lease that expires ttl after its last renewal. Keys attached to it are deleted then.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. Errors: ErrLeaseLost, ErrUnavailable.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease at once and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}
