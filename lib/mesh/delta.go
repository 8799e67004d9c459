package mesh

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/manifest"
)

// delta is the difference between two manifests. A whole manifest has up to 64 ticket references and thousands of
// slots, of which a write changes few.
type delta struct {
	Base      int64 // revision that it applies to
	Revision  int64
	Seq       int64
	Drop      int // leading ticket references of the base that are gone
	Tickets   []manifest.TicketRef
	DropChunk int // leading chunk references of the base that are gone
	Chunks    []manifest.ChunkRef
	Snapshot  manifest.SnapshotRef
	Slots     int64       // version of the slot table
	Owners    []ownerDiff // changed slots
	Moved     bool        // Witnesses replaces the list
	Witnesses []string
	Hash      uint64 // of the encoded result
}

type ownerDiff struct {
	Slot  int
	Owner string
}

// diff returns the delta from old to next, whose encoded form is raw. It reports false if only the whole manifest
// can express the change.
func diff(old, next *manifest.Manifest, raw []byte) (*delta, bool) {
	if len(old.Slots.Owners) != len(next.Slots.Owners) {
		return nil, false
	}
	d := &delta{
		Base: old.Revision, Revision: next.Revision, Seq: next.Seq, Snapshot: next.Snapshot,
		Slots: next.Slots.Version, Hash: xxhash.Sum64(raw),
	}
	d.Drop, d.Tickets = tail(old.Tickets, next.Tickets)
	d.DropChunk, d.Chunks = tail(old.Chunks, next.Chunks)
	for i, owner := range next.Slots.Owners {
		if owner != old.Slots.Owners[i] {
			d.Owners = append(d.Owners, ownerDiff{i, owner})
		}
	}
	if d.Moved = !slices.Equal(old.Witnesses, next.Witnesses); d.Moved {
		d.Witnesses = next.Witnesses
	}
	return d, true
}

// tail returns how many leading elements of old are not in next, which goes on with the rest of old and then add.
func tail[T comparable](old, next []T) (drop int, add []T) {
	for ; drop < len(old); drop++ {
		if kept := old[drop:]; len(kept) <= len(next) && slices.Equal(kept, next[:len(kept)]) {
			break
		}
	}
	return drop, next[len(old)-drop:]
}

// patch applies d to old and returns the encoded result. It reports false if the result is not the one that was
// sent, for example because the sender's manifest has fields that this version of the program does not know.
func patch(old *manifest.Manifest, d *delta) ([]byte, bool) {
	if d.Base != old.Revision || d.Drop > len(old.Tickets) || d.DropChunk > len(old.Chunks) {
		return nil, false
	}
	m := old.Clone()
	m.Revision, m.Seq, m.Snapshot, m.Slots.Version = d.Revision, d.Seq, d.Snapshot, d.Slots
	m.Tickets = append(m.Tickets[d.Drop:], d.Tickets...)
	m.Chunks = append(m.Chunks[d.DropChunk:], d.Chunks...)
	for _, o := range d.Owners {
		if o.Slot < 0 || o.Slot >= len(m.Slots.Owners) {
			return nil, false
		}
		m.Slots.Owners[o.Slot] = o.Owner
	}
	if d.Moved {
		m.Witnesses = d.Witnesses
	}
	// An empty list is stored as null or as [] depending on how it came about.
	for _, empty := range []bool{false, true} {
		if empty {
			m.Tickets, m.Chunks = nilIfEmpty(m.Tickets), nilIfEmpty(m.Chunks)
		}
		if raw, err := manifest.Encode(m); err == nil && xxhash.Sum64(raw) == d.Hash {
			return raw, true
		}
	}
	return nil, false
}

func nilIfEmpty[T any](s []T) []T {
	if len(s) == 0 {
		return nil
	}
	return s
}
