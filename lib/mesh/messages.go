package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
)

// record is what hosts tell each other about a member.
type record struct {
	ID       string
	Role     string
	Zone     string
	Addr     string
	Boot     string
	Leaving  bool
	Revision int64
	Status   uint8
	AgeMS    int64 // since the member was last heard of
}

// brief is a record for a peer that knows the rest.
type brief struct {
	Tag      uint32 // identifies ID, role, zone, address and boot id
	Leaving  bool
	Revision int64 // difference to the revision of the sender
	Status   uint8
	AgeMS    int64
}

// tag identifies the parts of a record that do not change while its program runs.
func (r *record) tag() uint32 {
	return uint32(xxhash.Sum64String(r.ID + "|" + r.Role + "|" + r.Zone + "|" + r.Addr + "|" + r.Boot))
}

// RecordsArgs asks for the whole records of members.
type RecordsArgs struct{ Tags []uint32 }

// RecordsReply carries those that the peer has.
type RecordsReply struct{ Members []record }

// evidenceRecord says that a witness could not reach the key-value service AgeMS ago.
type evidenceRecord struct {
	Witness string
	Known   int64 // newest revision that the witness had heard of
	AgeMS   int64 // rounded up
}

// announcement is an announced manifest write.
type announcement struct {
	ID          string
	Restriction manifest.Restriction
	AgeMS       int64 // rounded down
}

// viewID identifies a placement view.
type viewID struct{ Epoch, Version int64 }

func (a viewID) newer(b viewID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Version > b.Version
}

// ExchangeArgs is the caller's side of an exchange. It carries no ages of confirmation or evidence: the receiver
// cannot tell how long the request was on its way.
type ExchangeArgs struct {
	Self    record
	Members []brief
	Has     []string // ids of the unresolved announcements the caller has
	Brief   bool     // the caller wants no member records
}

// ExchangeReply is the answer. The caller counts its ages from the moment it sent the request.
type ExchangeReply struct {
	Self          record
	Members       []brief
	Known         int64 // newest revision heard of
	Confirmed     bool  // AgeMS is valid
	AgeMS         int64 // since the configuration was certainly the newest, rounded up
	Evidence      []evidenceRecord
	Announcements []announcement // unresolved ones that the caller lacks
	View          viewID
	HostsHash     uint64
	HostsAgeMS    int64 // since the host list was read
}

// FetchArgs asks for a configuration newer than the caller's.
type FetchArgs struct {
	Revision int64 // -1 for none, and if the caller wants the whole manifest
	Seq      int64 // of the caller's state
}

// FetchReply carries the manifest, whole or as a delta, and ticket bodies that the caller may lack.
type FetchReply struct {
	Revision  int64 // -1: the peer has no configuration
	Version   int64 // of the manifest key in the key-value service; zero if unknown
	Confirmed bool
	AgeMS     int64
	Manifest  []byte
	Delta     *delta
	Objects   map[string][]byte
}

// ObjectsArgs asks for stored objects by key.
type ObjectsArgs struct{ Keys []string }

// ObjectsReply carries those that the peer has, as many as fit.
type ObjectsReply struct{ Objects map[string][]byte }

// StateArgs asks for a part of the encoded state.
type StateArgs struct{ Offset int }

// StateReply carries a part of the encoded state.
type StateReply struct {
	Seq  int64
	Size int // of the whole
	Part []byte
}

// FetchViewArgs asks for a newer placement view.
type FetchViewArgs struct{ Have viewID }

// FetchViewReply carries the encoded view, empty if the peer has no newer one.
type FetchViewReply struct{ View []byte }

// FetchHostsArgs asks for the host list unless it has the given hash.
type FetchHostsArgs struct{ Hash uint64 }

// FetchHostsReply carries the host list.
type FetchHostsReply struct {
	Same  bool
	AgeMS int64
	Hosts []hostlist.Host
}

// NotifyArgs tells of a new revision.
type NotifyArgs struct {
	From     record
	Revision int64
}

// Empty is an empty answer.
type Empty struct{}

// AnnounceArgs announces a manifest write.
type AnnounceArgs struct{ Announcement announcement }

// ceilMS rounds up, so that an age passed along is never too small.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
