package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cuminhook.org/cuminhook/lib/kv"
)

// Key returns the key of a target's ledger in the key-value service.
func Key(cell, target string) string { return "cell/" + cell + "/target/" + target }

// Encode returns the stored form of a ledger.
func Encode(l *Ledger) ([]byte, error) { return json.Marshal(l) }

// Decode parses the stored form of a ledger. The result counts as not reconciled.
func Decode(data []byte) (*Ledger, error) {
	l := &Ledger{}
	if err := json.Unmarshal(data, l); err != nil {
		return nil, fmt.Errorf("ledger: cannot decode the stored ledger: %w; delete its key after a restart of the target", err)
	}
	return l, nil
}

// Store reads and writes the ledgers of a cell in the key-value service. It is safe for concurrent use as long as
// each target has one caller at a time.
type Store struct {
	kv   kv.Store
	cell string
}

// NewStore returns a store for the ledgers of the cell.
func NewStore(s kv.Store, cell string) *Store { return &Store{kv: s, cell: cell} }

// Get reads the ledger of a target. A target without a stored ledger gets an empty one and version zero.
func (s *Store) Get(ctx context.Context, target string) (*Ledger, kv.Version, error) {
	e, err := s.kv.Get(ctx, Key(s.cell, target))
	if errors.Is(err, kv.ErrNotFound) {
		return New(target), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	l, err := Decode(e.Value)
	return l, e.Version, err
}

// Put replaces version expect of the stored ledger by l. If the outcome of the write is unknown, Put finds out
// whether it took effect, as PutResolved does. After any error the caller must read the stored ledger again.
func (s *Store) Put(ctx context.Context, l *Ledger, expect kv.Version) (kv.Version, error) {
	data, err := Encode(l)
	if err != nil {
		return 0, err
	}
	return PutResolved(ctx, s.kv, Key(s.cell, l.Target), data, expect)
}

// PutResolved replaces version expect of the key by value and repeats the write while its outcome is unknown. A conflict
// after an unknown outcome counts as success if the stored value equals value. The value must therefore contain the
// writer's epoch and differ from every other value written over the same version.
func PutResolved(ctx context.Context, store kv.Store, key string, value []byte, expect kv.Version) (kv.Version, error) {
	unknown := false
	for {
		v, err := store.Put(ctx, key, value, expect, 0)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, kv.ErrUnknown):
			unknown = true
			if ctx.Err() != nil {
				return 0, err
			}
		case errors.Is(err, kv.ErrConflict) && unknown:
			e, gerr := store.Get(ctx, key)
			if gerr != nil {
				return 0, gerr
			}
			if bytes.Equal(e.Value, value) {
				return e.Version, nil
			}
			return 0, err
		default:
			return 0, err
		}
	}
}
