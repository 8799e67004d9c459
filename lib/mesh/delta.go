package mesh

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/manifest"
)

// delta is the difference between two manifests. It saves sending the whole manifest, which has up to 64 ticket
// references and thousands of slots, of which a write changes few.
type delta struct {
	Base      int64 // revision that the delta applies to
	Revision  int64
	Seq       int64
	Drop      int // number of leading ticket references removed from the base
	Tickets   []manifest.TicketRef
	DropChunk int // number of leading chunk references removed from the base
	Chunks    []manifest.ChunkRef
	Snapshot  manifest.SnapshotRef
	Slots     int64       // version of the slot table
	Owners    []ownerDiff // changed slots
	Moved     bool        // Witnesses replaces the list of the base
	Witnesses []string
	Hash      uint64 // xxHash of the encoded resulting manifest
}

// ownerDiff is the new owner of a slot.
type ownerDiff struct {
	Slot  int
	Owner string
}

// diff returns the delta from old to next; raw is the encoded form of next. It reports false if a delta cannot express
// the change, because the number of slots differs.
func diff(old, next *manifest.Manifest, raw []byte) (*delta, bool) {
	if len(old.Slots.Owners) != len(next.Slots.Owners) {
		return nil, false
	}
	d := &delta{
		Base: old.Revision, Revision: next.Revision, Seq: next.Seq, Snapshot: next.Snapshot,
		Slots: next.Slots.Version, Hash: xxhash.Sum64(raw),
	}
	d.Drop, d.Tickets = diffRefs(old.Tickets, next.Tickets)
	d.DropChunk, d.Chunks = diffRefs(old.Chunks, next.Chunks)
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

// diffRefs returns the number of leading elements to drop from old and the elements to append to the rest, so that the
// result equals next.
func diffRefs[T comparable](old, next []T) (drop int, add []T) {
	for ; drop < len(old); drop++ {
		if kept := old[drop:]; len(kept) <= len(next) && slices.Equal(kept, next[:len(kept)]) {
			break
		}
	}
	return drop, next[len(old)-drop:]
}

// patch applies d to old and returns the encoded result. It reports false if d does not apply to old or if the hash of
// the result differs from d.Hash, for example because the sender's manifest has fields that this version of the
// program does not know.
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
	// An empty list may be encoded as null or as [], depending on whether it was nil; both encodings are tried.
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
