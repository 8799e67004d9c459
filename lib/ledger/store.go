package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cuminhook.org/cuminhook/lib/kv"
)

// Key returns the key of a target's ledger.
func Key(cell, target string) string { return "cell/" + cell + "/target/" + target }

// Encode returns the stored form.
func Encode(l *Ledger) ([]byte, error) { return json.Marshal(l) }

// Decode reads the stored form. The result is not settled.
func Decode(data []byte) (*Ledger, error) {
	l := &Ledger{}
	if err := json.Unmarshal(data, l); err != nil {
		return nil, fmt.Errorf("ledger: cannot decode stored ledger: %w; delete its key once the target was restarted", err)
	}
	return l, nil
}

// Store keeps the ledgers of a cell in the key-value service. It is safe for concurrent use by callers
// that work on different targets.
type Store struct {
	kv   kv.Store
	cell string
}

// NewStore returns a store for cell.
func NewStore(s kv.Store, cell string) *Store { return &Store{kv: s, cell: cell} }

// Get reads the ledger of a target; a target that was never seen has an empty one and version zero.
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

// Put writes l over version expect. If the answer is lost it finds out whether the write took effect.
// After any error the stored ledger is unknown to the caller, who must read it again.
func (s *Store) Put(ctx context.Context, l *Ledger, expect kv.Version) (kv.Version, error) {
	data, err := Encode(l)
	if err != nil {
		return 0, err
	}
	return PutSure(ctx, s.kv, Key(s.cell, l.Target), data, expect)
}

// PutSure writes value over version expect and repeats the same write while its outcome is unknown. A
// conflict after an unknown outcome is a success if the stored value is the one written, so the value
// must contain the writer's epoch and differ from any other write over the same version.
func PutSure(ctx context.Context, store kv.Store, key string, value []byte, expect kv.Version) (kv.Version, error) {
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
