// Package idem runs a non-idempotent request at most once per idempotency key.
//
// Each idempotency key belongs to a slot of the slot table. The owner of the slot keeps a record for the key and
// copies it to its successor, the next distinct owner in the slot table, before the request runs. A new owner takes
// the records from the old owner or its successor. Taking them fences the host that gives them: it refuses claims
// and copies of older slot tables from then on. Store holds the records and makes the decisions without any
// communication; Manager connects the stores of the hosts.
package idem

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/manifest"
)

const (
	// Retention is how long a record is kept after its last change.
	Retention = 15 * time.Minute
	// unconfirmedPeriod is how long a new owner refuses claims if it cannot get the records of earlier claims. The
	// old owner may have granted claims for a few seconds after the table changed.
	unconfirmedPeriod = Retention + 10*time.Second
	// restartDelay is how long a restarted owner waits before it uses the copies of its previous incarnation's
	// records: a table change just before the restart is known by then.
	restartDelay = 3 * time.Second
	// MaxBodyBytes is the largest response body that is stored, in bytes.
	MaxBodyBytes = 16 << 10
)

// Key is the hash of organisation and idempotency key.
type Key [32]byte

// MakeKey returns the key of a record.
func MakeKey(organisation, idempotencyKey string) Key {
	return sha256.Sum256([]byte(organisation + "\x00" + idempotencyKey))
}

// Slot returns the slot that the key belongs to.
func (k Key) Slot() int { return int(binary.BigEndian.Uint64(k[:8]) % manifest.SlotCount) }

// State is the state of a record.
type State uint8

// States of a record.
const (
	Claimed  State = iota + 1 // the request may be running
	Done                      // the request was answered
	Unknown                   // the request may have run
	Released                  // the request provably did not run; the key may be claimed again
)

// Record is what is known about one key. Hosts send each other durations instead of times, because their clocks are
// never compared.
type Record struct {
	Key         Key
	Digest      [32]byte // of the request
	Claim       string   // id of the attempt
	Version     int64    // rises with each change of the record
	State       State
	Response    Response
	HasResponse bool // if false and Done, the response was too large to keep
	ExpiresIn   time.Duration
	RunsFor     time.Duration // a claim older than this counts as unknown

	expiresAt, runsUntil int64 // ExpiresIn and RunsFor as times of the local clock
}

// Response is the stored response to a request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Decision is the owner's decision on a claim.
type Decision uint8

// Decisions of an owner.
const (
	Proceed         Decision = iota + 1 // run the request
	Replay                              // answer with the stored response
	InProgress                          // another attempt may be running
	OutcomeUnknown                      // an earlier attempt may have run
	KeyReused                           // the key was used for a request with other content
	Unconfirmed                         // whether there were earlier attempts cannot be known
	NotOwner                            // the caller's slot table differs from the owner's
	MemoryFull                          // the memory bound is reached
	ResponseNotKept                     // the request was answered, and the response was too large to keep
)

// Table is the slot table.
type Table manifest.SlotTable

// Owner returns the owner of a slot, empty if there is none.
func (t Table) Owner(slot int) string {
	if slot >= len(t.Owners) {
		return ""
	}
	return t.Owners[slot]
}

// Successor returns the next distinct owner after the slot, empty if there is none.
func (t Table) Successor(slot int) string {
	for i := 1; i < len(t.Owners); i++ {
		if o := t.Owners[(slot+i)%len(t.Owners)]; o != "" && o != t.Owners[slot] {
			return o
		}
	}
	return ""
}

// recordSource names the hosts that have the records of a slot.
type recordSource struct {
	owner     string // old owner; this host itself after a restart or after a table was missed
	successor string
	version   int64 // last table under which owner owned the slot
	notBefore int64 // earliest time to ask for the records
}

// ownSlot is a slot that this host owns or has owned.
type ownSlot struct {
	owned         bool
	ready         bool         // records are complete, so that this host may decide on claims
	lastOwned     int64        // newest table version seen under which this host owned the slot
	fence         int64        // version of the newest table for which the records were handed out
	source        recordSource // where to take the records from while not ready
	readyAt       int64        // time at which an owner without records becomes ready
	records       map[Key]*Record
	syncedTo      string // successor that has all records
	syncedBoot    string // boot id of that successor when it received them
	syncedVersion int64  // table version under which it received them
}

// copySlot holds copies of another owner's records.
type copySlot struct {
	owner    string
	version  int64 // table version under which owner sent the complete records
	complete bool
	fence    int64  // version of the newest table for which the copies were handed out
	takenBy  string // new owner that took the copies; no other host may take them
	records  map[Key]*Record
}

// Store holds the records of one host. It is not safe for concurrent use. Times are offsets in
// nanoseconds.
type Store struct {
	self       string
	boot       uint64 // random; distinguishes a restarted host from its previous incarnation
	maxRecords int
	maxBytes   int64
	table      Table
	hasTable   bool
	// assumeEmpty is set if the operator states that no claims were made before this process started.
	assumeEmpty bool
	ownSlots    [manifest.SlotCount]ownSlot
	copySlots   [manifest.SlotCount]copySlot
	recordCount int
	bodyBytes   int64
}

// NewStore returns an empty store. boot must differ between incarnations of the host.
func NewStore(self string, boot uint64, maxRecords int, maxBytes int64) *Store {
	return &Store{self: self, boot: boot, maxRecords: maxRecords, maxBytes: maxBytes}
}

// SetTable installs a newer slot table.
func (s *Store) SetTable(now int64, t Table) {
	if s.hasTable && t.Version <= s.table.Version {
		return
	}
	old, firstTable := s.table, !s.hasTable
	s.table, s.hasTable = t, true
	for i := range s.ownSlots {
		s.carryOverCopies(i, old)
		o := &s.ownSlots[i]
		wasOwned := o.owned
		o.owned = t.Owner(i) == s.self
		switch {
		case !o.owned:
			continue
		case firstTable && t.Version == 0:
		case firstTable && s.assumeEmpty:
			o.ready = true
		case firstTable:
			o.ready = false
			o.source = recordSource{
				owner: s.self, successor: t.Successor(i), version: t.Version, notBefore: now + int64(restartDelay),
			}
			o.readyAt = now + int64(unconfirmedPeriod)
		case wasOwned && manifest.SlotTable(t).OwnedSince(i, old.Version) && o.fence <= old.Version:
			// Owned without a gap. A source that has not answered yet stays valid: no other host can have taken over.
		case wasOwned && o.ready && o.fence <= old.Version:
			// Another host may have owned the slot in a table that this host missed, and may have taken
			// the records from the successor.
			o.ready = false
			o.source = recordSource{owner: s.self, successor: old.Successor(i), version: old.Version}
			o.readyAt = now + int64(unconfirmedPeriod)
		case old.Version == 0 && (t.Version == 1 || s.assumeEmpty):
			o.ready = true // the first table: no host owned the slot before
		default:
			s.dropRecords(o)
			o.ready = false
			o.source = recordSource{}
			o.readyAt = now + int64(unconfirmedPeriod)
			if t.Version == old.Version+1 && old.Owner(i) != "" && old.Owner(i) != s.self {
				o.source = recordSource{owner: old.Owner(i), successor: old.Successor(i), version: old.Version}
			}
		}
		o.lastOwned = t.Version
	}
}

// carryOverCopies keeps the copies of a slot valid under the next table if owner and successor stay the same:
// the owner needs this host's acknowledgement under either table.
func (s *Store) carryOverCopies(slot int, old Table) {
	c, t := &s.copySlots[slot], s.table
	if c.complete && c.version == old.Version && t.Version == old.Version+1 &&
		t.Owner(slot) == c.owner && t.Successor(slot) == s.self && old.Successor(slot) == s.self {
		c.version = t.Version
	}
}

// dropRecords removes all records of a slot.
func (s *Store) dropRecords(o *ownSlot) {
	for _, r := range o.records {
		s.uncount(r)
	}
	o.records, o.syncedTo = nil, ""
}

// uncount subtracts a removed record from the counts that are bounded.
func (s *Store) uncount(r *Record) {
	s.recordCount--
	s.bodyBytes -= int64(len(r.Response.Body))
}

// putRecord stores r with its remaining durations counted from now, unless the same or a newer version is present.
// It returns false if that version belongs to another attempt, in which case nothing of r is stored.
func (s *Store) putRecord(now int64, m *map[Key]*Record, r Record) bool {
	if *m == nil {
		*m = map[Key]*Record{}
	}
	if old := (*m)[r.Key]; old != nil {
		if old.Version >= r.Version && old.expiresAt > now {
			return old.Claim == r.Claim
		}
		s.uncount(old)
	}
	r.expiresAt, r.runsUntil = now+int64(r.ExpiresIn), now+int64(r.RunsFor)
	if len(r.Response.Body) > MaxBodyBytes || s.bodyBytes+int64(len(r.Response.Body)) > s.maxBytes {
		r.Response.Body, r.HasResponse = nil, false
	}
	s.recordCount++
	s.bodyBytes += int64(len(r.Response.Body))
	(*m)[r.Key] = &r
	return true
}

// export returns r with its durations counted from now, as sent to other hosts.
func (r *Record) export(now int64) Record {
	out := *r
	out.ExpiresIn, out.RunsFor = time.Duration(r.expiresAt-now), time.Duration(r.runsUntil-now)
	return out
}

// exportAll returns the unexpired records in the order of their keys.
func exportAll(now int64, m map[Key]*Record) []Record {
	out := make([]Record, 0, len(m))
	for _, r := range m {
		if r.expiresAt > now {
			out = append(out, r.export(now))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return out
}

// Expire drops expired records. It also makes slots ready whose records this host could not take, once
// unconfirmedPeriod has passed.
func (s *Store) Expire(now int64) {
	for i := range s.ownSlots {
		s.expireRecords(now, s.ownSlots[i].records)
		s.expireRecords(now, s.copySlots[i].records)
		if o := &s.ownSlots[i]; o.owned && !o.ready && o.readyAt > 0 && now >= o.readyAt {
			o.ready = true
		}
	}
}

func (s *Store) expireRecords(now int64, m map[Key]*Record) {
	maps.DeleteFunc(m, func(_ Key, r *Record) bool {
		if r.expiresAt > now {
			return false
		}
		s.uncount(r)
		return true
	})
}

// checkOwnership returns Proceed if this host may decide on claims of the slot, else NotOwner or Unconfirmed.
func (s *Store) checkOwnership(slot int) Decision {
	o := &s.ownSlots[slot]
	switch {
	case !o.owned:
		return NotOwner
	case !o.ready || o.fence > s.table.Version:
		return Unconfirmed
	}
	return Proceed
}

// passing reports whether the slot is changing hands: another host owns it by a newer table, or this host is about to take its
// records.
func (s *Store) passing(slot int) bool {
	o := &s.ownSlots[slot]
	return !o.owned || !o.ready && o.source.owner != "" && o.source.owner != s.self
}

// Claim decides on an attempt. After Proceed, the caller copies the returned record to the successor and calls
// Confirm before the request runs.
func (s *Store) Claim(now int64, key Key, digest [32]byte, claim string, runsFor time.Duration) (Decision, Record) {
	slot := key.Slot()
	if d := s.checkOwnership(slot); d != Proceed {
		return d, Record{}
	}
	o := &s.ownSlots[slot]
	version := int64(1)
	if r := o.records[key]; r != nil && r.expiresAt > now {
		if r.State != Released {
			return decideRepeat(now, r, digest), *r
		}
		if r.Claim == claim {
			return Unconfirmed, Record{} // a late message of an attempt that was given up
		}
		version = r.Version + 1
	} else if s.recordCount >= s.maxRecords {
		return MemoryFull, Record{}
	}
	s.putRecord(now, &o.records, Record{
		Key: key, Digest: digest, Claim: claim, Version: version, State: Claimed,
		ExpiresIn: Retention, RunsFor: runsFor,
	})
	return Proceed, o.records[key].export(now)
}

// decideRepeat decides on an attempt whose key has record r.
func decideRepeat(now int64, r *Record, digest [32]byte) Decision {
	switch {
	case r.Digest != digest:
		return KeyReused
	case r.State == Done && r.HasResponse:
		return Replay
	case r.State == Done:
		return ResponseNotKept
	case r.State == Claimed && r.runsUntil > now:
		return InProgress
	}
	return OutcomeUnknown
}

// Confirm reports whether a claim may run whose record was copied to the successor under the given table version. It
// may not if the records were handed out, the table changed, or the attempt was given up since.
func (s *Store) Confirm(now int64, key Key, claim string, version int64) bool {
	slot := key.Slot()
	if s.checkOwnership(slot) != Proceed || s.table.Version != version {
		return false
	}
	r := s.ownSlots[slot].records[key]
	return r != nil && r.Claim == claim && r.State == Claimed && r.expiresAt > now
}

// Finish records the outcome of an attempt, and returns the record to copy and whether it changed. It has no effect
// on the record of another attempt, nor on one whose outcome is known.
func (s *Store) Finish(now int64, key Key, claim string, state State, resp Response) (Record, bool) {
	o := &s.ownSlots[key.Slot()]
	r := o.records[key]
	if r == nil || r.Claim != claim || r.State == Done || r.State == Released || r.expiresAt <= now {
		return Record{}, false
	}
	next := *r
	next.Version++
	next.State, next.Response, next.HasResponse = state, resp, state == Done && len(resp.Body) <= MaxBodyBytes
	next.ExpiresIn, next.RunsFor = Retention, 0
	s.putRecord(now, &o.records, next)
	return o.records[key].export(now), true
}

// CopyArgs carries records from an owner to its successor.
type CopyArgs struct {
	Slot    int
	Owner   string
	Version int64 // version of the owner's slot table
	// Nonce is the successor's boot number if Records holds all records of the slot, else zero. It keeps a delayed
	// message for a previous incarnation of the successor from making its copies complete.
	Nonce   uint64
	Records []Record
}

// CopyReply acknowledges copies.
type CopyReply struct {
	OK       bool
	NeedFull bool   // send all records with this nonce
	Nonce    uint64 // boot number of the successor
}

// AcceptCopy stores copies of another owner's records. They are merged with those present, so that a delayed message
// removes nothing.
func (s *Store) AcceptCopy(now int64, a *CopyArgs) CopyReply {
	if a.Slot < 0 || a.Slot >= len(s.copySlots) {
		return CopyReply{}
	}
	c := &s.copySlots[a.Slot]
	reply := CopyReply{Nonce: s.boot}
	sameOwner := c.complete && c.owner == a.Owner
	if a.Version < c.fence || !sameOwner && a.Version < c.version || s.recordCount+len(a.Records) > 2*s.maxRecords {
		return reply
	}
	full := a.Nonce != 0 && a.Nonce == s.boot
	if !full && (!sameOwner || a.Version > c.version) {
		reply.NeedFull = true
		return reply
	}
	reply.OK = true
	for _, r := range a.Records {
		reply.OK = s.putRecord(now, &c.records, r) && reply.OK
	}
	if full && reply.OK && (!sameOwner || a.Version > c.version) {
		c.owner, c.version, c.complete, c.takenBy = a.Owner, a.Version, true, ""
	}
	return reply
}

// CopyMessage returns the message that copies record r, or all records of the slot if nonce is not zero. If r is nil and
// nonce zero, the message has no records and only asks whether the successor needs them.
func (s *Store) CopyMessage(now int64, slot int, r *Record, nonce uint64) *CopyArgs {
	a := &CopyArgs{Slot: slot, Owner: s.self, Version: s.table.Version, Nonce: nonce}
	switch {
	case nonce != 0:
		a.Records = exportAll(now, s.ownSlots[slot].records)
	case r != nil:
		a.Records = []Record{*r}
	}
	return a
}

// TakeArgs asks for the records of a slot on behalf of its new owner.
type TakeArgs struct {
	Slot    int
	By      string // new owner
	Version int64  // version of the new owner's slot table
	Owner   string // last owner, under table Last
	Last    int64  // version of the last table in which Owner owned the slot
}

// TakeReply holds the records if Known is set. Otherwise Wait is how long the old owner itself would still have
// refused claims, zero if it does not know.
type TakeReply struct {
	Known   bool
	Records []Record
	Wait    time.Duration
}

// Take hands out the records of a slot to its new owner and fences older owners.
func (s *Store) Take(now int64, a *TakeArgs) TakeReply {
	if a.Slot < 0 || a.Slot >= len(s.ownSlots) {
		return TakeReply{}
	}
	o, c := &s.ownSlots[a.Slot], &s.copySlots[a.Slot]
	if a.Owner == s.self {
		// If the versions differ, a host that this one does not know of may have owned the slot in between, and the
		// records here may not be the newest.
		if o.lastOwned != a.Last || o.fence > a.Version {
			return TakeReply{}
		}
		o.fence = max(o.fence, a.Version)
		if !o.ready {
			return TakeReply{Wait: max(0, time.Duration(o.readyAt-now))}
		}
		return TakeReply{Known: true, Records: exportAll(now, o.records)}
	}
	if !c.complete || c.owner != a.Owner || c.version != a.Last || c.fence > a.Version ||
		c.takenBy != "" && c.takenBy != a.By {
		return TakeReply{}
	}
	c.fence, c.takenBy = a.Version, a.By
	return TakeReply{Known: true, Records: exportAll(now, c.records)}
}

// PendingTakeovers returns the takeovers that are still to be made: the slots whose records this host needs, with the hosts
// to ask and the request to send.
func (s *Store) PendingTakeovers(now int64) []Takeover {
	var out []Takeover
	for i := range s.ownSlots {
		o := &s.ownSlots[i]
		if !o.owned || o.ready || o.source.owner == "" || now < o.source.notBefore {
			continue
		}
		out = append(out, Takeover{
			Args: TakeArgs{
				Slot: i, By: s.self, Version: s.table.Version, Owner: o.source.owner, Last: o.source.version,
			},
			Owner:     o.source.owner,
			Successor: o.source.successor,
		})
	}
	return out
}

// Takeover is a request for the records of a slot, which Owner or Successor may have.
type Takeover struct {
	Args             TakeArgs
	Owner, Successor string
}

// CompleteTakeover stores the records received in a takeover and makes the slot ready. It reports whether it did so.
func (s *Store) CompleteTakeover(now int64, a *TakeArgs, reply TakeReply) bool {
	o := &s.ownSlots[a.Slot]
	if !o.owned || o.ready || s.table.Version != a.Version || o.source.owner != a.Owner || o.source.version != a.Last {
		return false
	}
	if !reply.Known {
		if reply.Wait > 0 {
			o.readyAt = min(o.readyAt, now+int64(reply.Wait))
		}
		return false
	}
	for _, r := range reply.Records {
		s.putRecord(now, &o.records, r)
	}
	o.ready = true
	return true
}

// slotsNotTaken returns the number of slots with records that no other host has taken.
func (s *Store) slotsNotTaken() int {
	n := 0
	for i := range s.ownSlots {
		if o := &s.ownSlots[i]; o.lastOwned > 0 && o.fence <= o.lastOwned && len(o.records) > 0 {
			n++
		}
	}
	return n
}

// UnsyncedSlots returns the slots whose successor does not have all records under the present table. boots holds the
// present boot id of each member, as far as it is known.
func (s *Store) UnsyncedSlots(boots map[string]string) []int {
	var out []int
	for i := range s.ownSlots {
		o := &s.ownSlots[i]
		if !o.owned || !o.ready {
			continue
		}
		succ := s.table.Successor(i)
		if succ != "" && (o.syncedTo != succ || o.syncedBoot != boots[succ] || o.syncedVersion != s.table.Version) {
			out = append(out, i)
		}
	}
	return out
}

// MarkSynced records that member, in the incarnation with this boot id, has all records of the slot under the table
// version.
func (s *Store) MarkSynced(slot int, member, boot string, version int64) {
	o := &s.ownSlots[slot]
	o.syncedTo, o.syncedBoot, o.syncedVersion = member, boot, version
}
