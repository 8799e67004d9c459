// Package manifest holds the one key whose compare-and-swap makes changes accepted, the ticket log that it
// refers to, and snapshots.
package manifest

import "context"

// Key is the key of the manifest in the key-value service.
const Key = "manifest"

// SlotCount is the number of quota slots.
const SlotCount = 64

// TicketRef refers to an accepted ticket whose body is stored under its content hash.
type TicketRef struct {
	Seq      int64  `json:"q"` // position in the order of acceptance, from 1
	Number   int64  `json:"n"` // the operators' number
	SHA256   string `json:"h"`
	Revision int64  `json:"r"` // manifest revision that accepted it
}

// ChunkRef refers to a stored run of ticket references.
type ChunkRef struct {
	First  int64  `json:"f"` // sequence number of its first reference
	SHA256 string `json:"h"`
}

// SnapshotRef refers to a stored snapshot.
type SnapshotRef struct {
	Seq    int64  `json:"q"` // last sequence number contained
	SHA256 string `json:"h"`
	Parts  int    `json:"p"`
}

// SlotTable names the owner of each quota slot by host id; an empty owner mints nothing.
type SlotTable struct {
	Version int64    `json:"v"`
	Owners  []string `json:"o"` // SlotCount entries
	// Since holds for each slot the version from which its owner has it; filled by Next.
	Since []int64 `json:"s,omitempty"`
}

// Manifest is the value of Key.
type Manifest struct {
	Revision  int64       `json:"r"` // rises by one with each write
	Seq       int64       `json:"q"` // newest accepted sequence number
	Tickets   []TicketRef `json:"t"` // since the newest chunk
	Chunks    []ChunkRef  `json:"c"` // since the snapshot
	Snapshot  SnapshotRef `json:"s"`
	Slots     SlotTable   `json:"l"`
	Witnesses []string    `json:"w"` // host ids
}

// Restriction is the restrictive content of a manifest write that may or may not have taken effect.
type Restriction struct {
	Base      int64            // revision that the write replaces
	Keys      []string         // withdrawn keys, SHA-256 in hex
	SlotsLost []int            // slots whose present owner gives them up
	Rates     map[string]Limit // lowered limits by organisation
}

// Limit is a token rate and burst.
type Limit struct {
	Rate  int64 // tokens a second
	Burst int64 // tokens
}

// Announcer sends a restriction to the witnesses before a manifest write.
type Announcer interface {
	// Announce returns the number of witnesses that acknowledged before the context's deadline.
	Announce(ctx context.Context, r Restriction, witnesses []string) (acked int, err error)
}
