// Package manifest keeps the log of accepted tickets in the key-value service. One key holds the manifest, which
// refers to ticket bodies, chunks of ticket references and a snapshot of the state, each stored under its content
// hash. A change is accepted once a compare-and-swap (CAS) of that key succeeds.
package manifest

import "context"

// Key is the key of the manifest in the key-value service.
const Key = "manifest"

// SlotCount is the number of quota slots.
const SlotCount = 64

// TicketRef refers to an accepted ticket whose body is stored under its content hash.
type TicketRef struct {
	Seq      int64  `json:"q"` // position in the order of acceptance, from 1
	Number   int64  `json:"n"` // ticket number that the operators chose
	SHA256   string `json:"h"` // of the body, in hex
	Revision int64  `json:"r"` // manifest revision that accepted the ticket
}

// ChunkRef refers to a chunk: a stored list of consecutive ticket references.
type ChunkRef struct {
	First  int64  `json:"f"` // sequence number of its first reference
	SHA256 string `json:"h"` // of the encoded chunk, in hex
}

// SnapshotRef refers to a stored snapshot of the state.
type SnapshotRef struct {
	Seq    int64  `json:"q"` // sequence number of the last ticket contained
	SHA256 string `json:"h"` // of the encoded state, in hex
	Parts  int    `json:"p"` // number of keys that the snapshot is split over
}

// SlotTable names the owner of each quota slot by host id. No tokens are issued for a slot without an owner (empty id).
type SlotTable struct {
	Version int64    `json:"v"`
	Owners  []string `json:"o"` // SlotCount entries
	// Since holds for each slot the table version in which its present owner got it. WithOwners fills it in.
	Since []int64 `json:"s,omitempty"`
}

// Manifest is the value of Key.
type Manifest struct {
	Revision  int64       `json:"r"` // rises by one with each write
	Seq       int64       `json:"q"` // sequence number of the newest accepted ticket
	Tickets   []TicketRef `json:"t"` // tickets after the newest chunk
	Chunks    []ChunkRef  `json:"c"` // chunks that no snapshot has replaced
	Snapshot  SnapshotRef `json:"s"`
	Slots     SlotTable   `json:"l"`
	Witnesses []string    `json:"w"` // host ids
}

// Restriction is what a manifest write takes away: API keys, slots and rates. It is announced before the write, which
// may or may not take effect.
type Restriction struct {
	Base      int64            // revision that the write replaces
	Keys      []string         // withdrawn API keys, SHA-256 in hex
	SlotsLost []int            // slots that their present owner loses
	Rates     map[string]Limit // lowered limits by organisation
}

// Limit is a token rate and burst.
type Limit struct {
	Rate  int64 // tokens per second
	Burst int64 // tokens
}

// Announcer sends a restriction to the witnesses before a manifest write.
type Announcer interface {
	// Announce returns the number of witnesses that acknowledged before the context's deadline.
	Announce(ctx context.Context, r Restriction, witnesses []string) (acked int, err error)
}
