package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
)

// record describes a member in exchanges and notifications.
type record struct {
	ID       string
	Role     string
	Zone     string
	Addr     string
	Boot     string
	Leaving  bool
	Revision int64
	Status   uint8
	AgeMS    int64 // since the last contact with the member, direct or through others
}

// brief is the changing part of a record, for a peer that knows the member already.
type brief struct {
	Tag      uint32 // hash of ID, role, zone, address and boot id
	Leaving  bool
	Revision int64 // revision of the member less that of the sender
	Status   uint8
	AgeMS    int64
}

// tag returns a hash of the fields of a record that do not change while the member's program runs.
func (r *record) tag() uint32 {
	return uint32(xxhash.Sum64String(r.ID + "|" + r.Role + "|" + r.Zone + "|" + r.Addr + "|" + r.Boot))
}

// RecordsArgs requests the full records of the members with the given tags.
type RecordsArgs struct{ Tags []uint32 }

// RecordsReply carries the requested records that the peer has.
type RecordsReply struct{ Members []record }

// evidenceRecord states that a witness could not reach the key-value service AgeMS ago.
type evidenceRecord struct {
	Witness string
	Known   int64 // newest revision that the witness knew to exist
	AgeMS   int64 // rounded up
}

// announcement is the announcement of a manifest write.
type announcement struct {
	ID          string
	Restriction manifest.Restriction
	AgeMS       int64 // rounded down
}

// viewID identifies a placement view.
type viewID struct{ Epoch, Version int64 }

// newer reports whether a is newer than b.
func (a viewID) newer(b viewID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Version > b.Version
}

// ExchangeArgs is the request of an exchange. It carries no ages of confirmation or evidence, because the receiver
// cannot determine how long the request was in transit.
type ExchangeArgs struct {
	Self    record
	Members []brief
	Has     []string // ids of the unresolved announcements that the caller has
	Brief   bool     // the reply need not contain member records
}

// ExchangeReply is the reply of an exchange. The caller counts the ages of the configuration, the evidence and the
// host list from the instant at which it sent the request, so that they are never too small.
type ExchangeReply struct {
	Self          record
	Members       []brief
	Known         int64 // newest revision known to exist
	Confirmed     bool  // AgeMS is valid
	AgeMS         int64 // since the configuration was last confirmed as the newest, rounded up
	Evidence      []evidenceRecord
	Announcements []announcement // unresolved announcements that the caller lacks
	View          viewID
	HostsHash     uint64
	HostsAgeMS    int64 // since the host list was read
}

// FetchArgs requests a configuration newer than the caller's.
type FetchArgs struct {
	Revision int64 // of the caller; -1 if it has none or wants the whole manifest
	Seq      int64 // of the caller's state
}

// FetchReply carries the manifest, whole or as a delta, and the bodies of tickets newer than the caller's state.
type FetchReply struct {
	Revision  int64 // -1: the peer has no configuration
	Version   int64 // version of the manifest key in the key-value service; zero if unknown
	Confirmed bool
	AgeMS     int64
	Manifest  []byte
	Delta     *delta
	Objects   map[string][]byte
}

// ObjectsArgs requests stored objects by key.
type ObjectsArgs struct{ Keys []string }

// ObjectsReply carries the requested objects that the peer has, as many as fit into maxBatchBytes.
type ObjectsReply struct{ Objects map[string][]byte }

// StateArgs requests the part of the encoded state that starts at Offset, in bytes.
type StateArgs struct{ Offset int }

// StateReply carries a part of the encoded state.
type StateReply struct {
	Seq  int64
	Size int // of the whole encoded state, in bytes
	Part []byte
}

// FetchViewArgs requests a placement view newer than Have.
type FetchViewArgs struct{ Have viewID }

// FetchViewReply carries the encoded view, empty if the peer has no newer one.
type FetchViewReply struct{ View []byte }

// FetchHostsArgs requests the host list unless it has the given hash.
type FetchHostsArgs struct{ Hash uint64 }

// FetchHostsReply carries the host list, unless Same reports that it has the hash given by the caller.
type FetchHostsReply struct {
	Same  bool
	AgeMS int64
	Hosts []hostlist.Host
}

// NotifyArgs notifies a member that the sender has installed a revision.
type NotifyArgs struct {
	From     record
	Revision int64
}

// Empty is the reply of methods that return nothing.
type Empty struct{}

// AnnounceArgs announces a manifest write to a witness.
type AnnounceArgs struct{ Announcement announcement }

// ceilMS converts d to milliseconds and rounds up, so that an age sent to a peer is never too small.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// ms converts milliseconds to a duration.
func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
