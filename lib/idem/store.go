// Package idem runs a non-idempotent request at most once per idempotency key.
//
// The owner of the key's slot keeps the record and copies it to its successor, the next distinct owner in
// the slot table, before the request runs. A new owner takes the records from the old owner or its
// successor. Taking them fences the source: it refuses claims and copies of older slot tables from then
// on. Store is the pure core; Manager connects the hosts.
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
	// unconfirmed is how long a new owner refuses when it cannot learn of earlier claims. The old owner
	// may have granted claims for a few seconds after the table changed.
	unconfirmed = Retention + 10*time.Second
	// settleTime is how long a restarted owner waits before it uses the copies of its former life: a
	// table change just before the restart is known by then.
	settleTime = 3 * time.Second
	// MaxBody is the largest response kept.
	MaxBody = 16 << 10
)

// Key is the hash of organisation and idempotency key.
type Key [32]byte

// MakeKey returns the key of a record.
func MakeKey(organisation, idempotencyKey string) Key {
	return sha256.Sum256([]byte(organisation + "\x00" + idempotencyKey))
}

// Slot is the slot that the key belongs to.
func (k Key) Slot() int { return int(binary.BigEndian.Uint64(k[:8]) % manifest.SlotCount) }

// State is the state of a record.
type State uint8

// States of a record.
const (
	Claimed  State = iota + 1 // may be running
	Done                      // answered
	Unknown                   // may have run
	Released                  // provably not run; may be claimed again
)

// Record is what is known of one key. Durations instead of times travel between hosts, because their
// clocks are never compared.
type Record struct {
	Key         Key
	Digest      [32]byte // of the request
	Claim       string   // id of the attempt
	Version     int64    // rises with each change of the record
	State       State
	Response    Response
	HasResponse bool // false: done, and the response was too large to keep
	ExpiresIn   time.Duration
	RunsFor     time.Duration // a claim older than this counts as unknown

	expires, runs int64 // the same as times of the local clock
}

// Response is a stored answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Decision is the outcome of a claim at the owner.
type Decision uint8

// Decisions.
const (
	Proceed     Decision = iota + 1 // run it
	Replay                          // answer with the stored response
	InProgress                      // another attempt may be running
	Uncertain                       // an earlier attempt may have run
	KeyReused                       // other content under the same key
	Unconfirmed                     // earlier attempts cannot be known
	NotOwner                        // the caller's slot table differs
	Full                            // memory bound reached
	TooLarge                        // done, and the response was too large to keep
)

// Table is the slot table.
type Table manifest.SlotTable

// Owner is the owner of a slot, empty if none.
func (t Table) Owner(slot int) string {
	if slot >= len(t.Owners) {
		return ""
	}
	return t.Owners[slot]
}

// Successor is the next distinct owner after the slot, empty if there is none.
func (t Table) Successor(slot int) string {
	for i := 1; i < len(t.Owners); i++ {
		if o := t.Owners[(slot+i)%len(t.Owners)]; o != "" && o != t.Owners[slot] {
			return o
		}
	}
	return ""
}

// source names the hosts that know the records of a slot.
type source struct {
	owner     string // old owner; this host itself after a restart or after a table was missed
	successor string
	version   int64 // last table under which owner owned the slot
	notBefore int64
}

// ownSlot is a slot that this host owns, or owned.
type ownSlot struct {
	owned       bool
	ready       bool   // records are complete
	lastOwned   int64  // newest table version seen under which this host owned the slot
	fence       int64  // table version up to which the records were handed out
	source      source // where to take the records from while not ready
	unconfirmed int64  // time at which an owner without records becomes ready
	records     map[Key]*Record
	syncedTo    string // successor that holds all records
	syncedBoot  string // the life of the successor that got them
	syncedAt    int64  // under this table version
}

// copySlot holds copies for another owner.
type copySlot struct {
	owner    string
	version  int64 // table version under which owner declared the copies complete
	complete bool
	fence    int64
	taken    string // new owner that took the copies; nobody else may take them
	records  map[Key]*Record
}

// Store holds the records of one host. It is not safe for concurrent use. Times are offsets in
// nanoseconds.
type Store struct {
	self       string
	boot       uint64 // random; tells a restarted successor from its former life
	maxRecords int
	maxBytes   int64
	table      Table
	known      bool
	// assumeEmpty: the operator states that no claims were made before this process started.
	assumeEmpty bool
	own         [manifest.SlotCount]ownSlot
	copies      [manifest.SlotCount]copySlot
	count       int
	bytes       int64
}

// NewStore returns an empty store. Boot must differ between lives of the host.
func NewStore(self string, boot uint64, maxRecords int, maxBytes int64) *Store {
	return &Store{self: self, boot: boot, maxRecords: maxRecords, maxBytes: maxBytes}
}

// SetTable installs a newer slot table.
func (s *Store) SetTable(now int64, t Table) {
	if s.known && t.Version <= s.table.Version {
		return
	}
	old, first := s.table, !s.known
	s.table, s.known = t, true
	for i := range s.own {
		s.carryCopies(i, old)
		o := &s.own[i]
		was := o.owned
		o.owned = t.Owner(i) == s.self
		switch {
		case !o.owned:
			continue
		case first && t.Version == 0:
		case first && s.assumeEmpty:
			o.ready = true
		case first:
			o.ready = false
			o.source = source{
				owner: s.self, successor: t.Successor(i), version: t.Version, notBefore: now + int64(settleTime),
			}
			o.unconfirmed = now + int64(unconfirmed)
		case was && manifest.SlotTable(t).Kept(i, old.Version) && o.fence <= old.Version:
			// Kept without a gap. A source not yet reached stays valid: nobody else can have taken over.
		case was && o.ready && o.fence <= old.Version:
			// Another host may have owned the slot in a table that this host missed, and may have taken
			// the records from the successor.
			o.ready = false
			o.source = source{owner: s.self, successor: old.Successor(i), version: old.Version}
			o.unconfirmed = now + int64(unconfirmed)
		case old.Version == 0 && (t.Version == 1 || s.assumeEmpty):
			o.ready = true // the first table: nobody owned the slot before
		default:
			s.dropOwn(o)
			o.ready = false
			o.source = source{}
			o.unconfirmed = now + int64(unconfirmed)
			if t.Version == old.Version+1 && old.Owner(i) != "" && old.Owner(i) != s.self {
				o.source = source{owner: old.Owner(i), successor: old.Successor(i), version: old.Version}
			}
		}
		o.lastOwned = t.Version
	}
}

// carryCopies keeps the copies of a slot valid under the next table if owner and successor stay the same:
// the owner needs this host's acknowledgement under either table.
func (s *Store) carryCopies(slot int, old Table) {
	c, t := &s.copies[slot], s.table
	if c.complete && c.version == old.Version && t.Version == old.Version+1 &&
		t.Owner(slot) == c.owner && t.Successor(slot) == s.self && old.Successor(slot) == s.self {
		c.version = t.Version
	}
}

func (s *Store) dropOwn(o *ownSlot) {
	for _, r := range o.records {
		s.forget(r)
	}
	o.records, o.syncedTo = nil, ""
}

func (s *Store) forget(r *Record) {
	s.count--
	s.bytes -= int64(len(r.Response.Body))
}

// put stores r with its remaining durations counted from now, unless a newer version is present. It
// returns false if that version belongs to another attempt, so that r is not represented.
func (s *Store) put(now int64, m *map[Key]*Record, r Record) bool {
	if *m == nil {
		*m = map[Key]*Record{}
	}
	if old := (*m)[r.Key]; old != nil {
		if old.Version >= r.Version && old.expires > now {
			return old.Claim == r.Claim
		}
		s.forget(old)
	}
	r.expires, r.runs = now+int64(r.ExpiresIn), now+int64(r.RunsFor)
	if len(r.Response.Body) > MaxBody || s.bytes+int64(len(r.Response.Body)) > s.maxBytes {
		r.Response.Body, r.HasResponse = nil, false
	}
	s.count++
	s.bytes += int64(len(r.Response.Body))
	(*m)[r.Key] = &r
	return true
}

// export returns r with its durations as of now.
func (r *Record) export(now int64) Record {
	out := *r
	out.ExpiresIn, out.RunsFor = time.Duration(r.expires-now), time.Duration(r.runs-now)
	return out
}

func exportAll(now int64, m map[Key]*Record) []Record {
	out := make([]Record, 0, len(m))
	for _, r := range m {
		if r.expires > now {
			out = append(out, r.export(now))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return out
}

// Expire drops records past their retention and ends the refusal of owners that could not take over.
func (s *Store) Expire(now int64) {
	for i := range s.own {
		s.expire(now, s.own[i].records)
		s.expire(now, s.copies[i].records)
		if o := &s.own[i]; o.owned && !o.ready && o.unconfirmed > 0 && now >= o.unconfirmed {
			o.ready = true
		}
	}
}

func (s *Store) expire(now int64, m map[Key]*Record) {
	maps.DeleteFunc(m, func(_ Key, r *Record) bool {
		if r.expires > now {
			return false
		}
		s.forget(r)
		return true
	})
}

// usable reports whether this host may decide on claims of the slot.
func (s *Store) usable(slot int) Decision {
	o := &s.own[slot]
	switch {
	case !o.owned:
		return NotOwner
	case !o.ready || o.fence > s.table.Version:
		return Unconfirmed
	}
	return Proceed
}

// Claim decides on an attempt. After Proceed the caller copies the record to the successor and calls
// Confirm before the request runs.
func (s *Store) Claim(now int64, key Key, digest [32]byte, claim string, runsFor time.Duration) (Decision, Record) {
	slot := key.Slot()
	if d := s.usable(slot); d != Proceed {
		return d, Record{}
	}
	o := &s.own[slot]
	version := int64(1)
	if r := o.records[key]; r != nil && r.expires > now {
		if r.State != Released {
			return decide(now, r, digest), *r
		}
		if r.Claim == claim {
			return Unconfirmed, Record{} // a late message of an attempt that was given up
		}
		version = r.Version + 1
	} else if s.count >= s.maxRecords {
		return Full, Record{}
	}
	s.put(now, &o.records, Record{
		Key: key, Digest: digest, Claim: claim, Version: version, State: Claimed,
		ExpiresIn: Retention, RunsFor: runsFor,
	})
	return Proceed, o.records[key].export(now)
}

func decide(now int64, r *Record, digest [32]byte) Decision {
	switch {
	case r.Digest != digest:
		return KeyReused
	case r.State == Done && r.HasResponse:
		return Replay
	case r.State == Done:
		return TooLarge
	case r.State == Claimed && r.runs > now:
		return InProgress
	}
	return Uncertain
}

// Confirm completes a claim whose record was copied to the successor under the table version. It fails
// when the records were handed out, the table changed, or the attempt was given up since.
func (s *Store) Confirm(now int64, key Key, claim string, version int64) bool {
	slot := key.Slot()
	if s.usable(slot) != Proceed || s.table.Version != version {
		return false
	}
	r := s.own[slot].records[key]
	return r != nil && r.Claim == claim && r.State == Claimed && r.expires > now
}

// Finish records the outcome of an attempt and returns the record to copy. It has no effect on the
// record of another attempt, nor on one whose outcome is known.
func (s *Store) Finish(now int64, key Key, claim string, state State, resp Response) (Record, bool) {
	o := &s.own[key.Slot()]
	r := o.records[key]
	if r == nil || r.Claim != claim || r.State == Done || r.State == Released || r.expires <= now {
		return Record{}, false
	}
	next := *r
	next.Version++
	next.State, next.Response, next.HasResponse = state, resp, state == Done && len(resp.Body) <= MaxBody
	next.ExpiresIn, next.RunsFor = Retention, 0
	s.put(now, &o.records, next)
	return o.records[key].export(now), true
}

// CopyArgs carries records from an owner to its successor.
type CopyArgs struct {
	Slot    int
	Owner   string
	Version int64 // slot table of the owner
	// Nonce is the successor's boot number if Records holds all records of the slot, else zero. It keeps
	// a late message for a former life of the successor from being taken as complete.
	Nonce   uint64
	Records []Record
}

// CopyReply acknowledges copies.
type CopyReply struct {
	OK       bool
	NeedFull bool   // send all records with this nonce
	Nonce    uint64 // boot number
}

// AcceptCopy stores copies for another owner. Records are merged, so that a late message removes nothing.
func (s *Store) AcceptCopy(now int64, a *CopyArgs) CopyReply {
	if a.Slot < 0 || a.Slot >= len(s.copies) {
		return CopyReply{}
	}
	c := &s.copies[a.Slot]
	reply := CopyReply{Nonce: s.boot}
	same := c.complete && c.owner == a.Owner
	if a.Version < c.fence || !same && a.Version < c.version || s.count+len(a.Records) > 2*s.maxRecords {
		return reply
	}
	full := a.Nonce != 0 && a.Nonce == s.boot
	if !full && (!same || a.Version > c.version) {
		reply.NeedFull = true
		return reply
	}
	reply.OK = true
	for _, r := range a.Records {
		reply.OK = s.put(now, &c.records, r) && reply.OK
	}
	if full && reply.OK && (!same || a.Version > c.version) {
		c.owner, c.version, c.complete, c.taken = a.Owner, a.Version, true, ""
	}
	return reply
}

// CopyFor returns the message that copies a record, or all records of the slot if nonce is not zero.
func (s *Store) CopyFor(now int64, slot int, r *Record, nonce uint64) *CopyArgs {
	a := &CopyArgs{Slot: slot, Owner: s.self, Version: s.table.Version, Nonce: nonce}
	switch {
	case nonce != 0:
		a.Records = exportAll(now, s.own[slot].records)
	case r != nil:
		a.Records = []Record{*r}
	}
	return a
}

// TakeArgs asks for the records of a slot on behalf of its new owner.
type TakeArgs struct {
	Slot    int
	By      string // new owner
	Version int64  // slot table of the new owner
	Owner   string // last owner, under table Last
	Last    int64
}

// TakeReply holds the records if Known. Otherwise Wait is how long the old owner itself would have had to
// wait, zero if it cannot say.
type TakeReply struct {
	Known   bool
	Records []Record
	Wait    time.Duration
}

// Take hands out the records of a slot and fences older owners.
func (s *Store) Take(now int64, a *TakeArgs) TakeReply {
	if a.Slot < 0 || a.Slot >= len(s.own) {
		return TakeReply{}
	}
	o, c := &s.own[a.Slot], &s.copies[a.Slot]
	if a.Owner == s.self {
		// Under another table version a host unknown to this one may have owned the slot in between, and
		// the records here may not be the newest.
		if o.lastOwned != a.Last || o.fence > a.Version {
			return TakeReply{}
		}
		o.fence = max(o.fence, a.Version)
		if !o.ready {
			return TakeReply{Wait: max(0, time.Duration(o.unconfirmed-now))}
		}
		return TakeReply{Known: true, Records: exportAll(now, o.records)}
	}
	if !c.complete || c.owner != a.Owner || c.version != a.Last || c.fence > a.Version ||
		c.taken != "" && c.taken != a.By {
		return TakeReply{}
	}
	c.fence, c.taken = a.Version, a.By
	return TakeReply{Known: true, Records: exportAll(now, c.records)}
}

// Pending returns the slots whose records must still be taken over, with what to ask and whom.
func (s *Store) Pending(now int64) []Takeover {
	var out []Takeover
	for i := range s.own {
		o := &s.own[i]
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

// Takeover is a slot whose records are to be taken from Owner or Successor.
type Takeover struct {
	Args             TakeArgs
	Owner, Successor string
}

// Install completes a takeover with the records received.
func (s *Store) Install(now int64, a *TakeArgs, reply TakeReply) bool {
	o := &s.own[a.Slot]
	if !o.owned || o.ready || s.table.Version != a.Version || o.source.owner != a.Owner || o.source.version != a.Last {
		return false
	}
	if !reply.Known {
		if reply.Wait > 0 {
			o.unconfirmed = min(o.unconfirmed, now+int64(reply.Wait))
		}
		return false
	}
	for _, r := range reply.Records {
		s.put(now, &o.records, r)
	}
	o.ready = true
	return true
}

// held is the number of slots with records that no other host has taken.
func (s *Store) held() int {
	n := 0
	for i := range s.own {
		if o := &s.own[i]; o.lastOwned > 0 && o.fence <= o.lastOwned && len(o.records) > 0 {
			n++
		}
	}
	return n
}

// Unsynced returns the slots whose successor does not hold all records under the present table. Boots
// holds the present life of each member, as far as it is known.
func (s *Store) Unsynced(boots map[string]string) []int {
	var out []int
	for i := range s.own {
		o := &s.own[i]
		if !o.owned || !o.ready {
			continue
		}
		succ := s.table.Successor(i)
		if succ != "" && (o.syncedTo != succ || o.syncedBoot != boots[succ] || o.syncedAt != s.table.Version) {
			out = append(out, i)
		}
	}
	return out
}

// Synced notes that this life of member holds all records of the slot under the table version.
func (s *Store) Synced(slot int, member, boot string, version int64) {
	o := &s.own[slot]
	o.syncedTo, o.syncedBoot, o.syncedAt = member, boot, version
}
