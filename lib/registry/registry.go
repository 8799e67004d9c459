// Package registry holds a host's table of targets: their addresses, states and loaded models.
package registry

import (
	"time"

	"cuminhook.org/cuminhook/lib/kv"
)

// State is the state that a target reports in its entry.
type State uint8

// States of targets.
const (
	Ready    State = iota // accepts requests
	Draining              // finishes its requests and accepts no new ones
)

// String returns the name used in logs.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// ResidentModel is a model that is loaded at a target, with its loaded adapters.
type ResidentModel struct {
	Model    string   `json:"m"`
	Adapters []string `json:"a,omitempty"`
}

// Residency lists the models that are loaded at one incarnation of a target.
type Residency struct {
	Started int64           `json:"s"` // identifies the incarnation, as Target.Started does
	Models  []ResidentModel `json:"m,omitempty"`
}

// Target is one incarnation of a target as its entry describes it.
type Target struct {
	ID      string
	Service string
	Addr    string // IP:port
	Zone    string
	Slots   int    // requests that it runs at the same time
	Version string // of its software; empty if its entry states none
	State   State
	// Started is the start in Unix milliseconds by the target's clock, which may have been set back since the start before. It identifies
	// incarnations, and is never compared with a clock.
	Started int64
	Beat    int64           // increases with each entry that this incarnation writes
	Models  []ResidentModel // loaded when the entry was written
	// Cold is how much longer the target was cold when the entry was written: it takes few requests after a start. StatesCold reports
	// whether the entry states that; zero then means that the target was not cold.
	Cold       time.Duration
	StatesCold bool

	Revision int64 // store revision at which the entry was written
	Created  int64 `json:",omitempty"` // store revision at which the entry was created; after a removal another one is. Zero: not stated
}

// Supersedes reports whether t replaces old, which may be nil. Entries of one incarnation may arrive out of order, and a
// draining incarnation never becomes ready again. Of two incarnations the one counts whose entry was written later. A restored store
// cannot tell that; there the one counts that started later by its clock.
func (t *Target) Supersedes(old *Target) bool {
	switch {
	case old == nil:
		return true
	case t.Started == old.Started:
		return t.Beat >= old.Beat && (old.State != Draining || t.State == Draining)
	case t.Revision != old.Revision && kv.Version(t.Revision).Era() == kv.Version(old.Revision).Era():
		return t.Revision > old.Revision
	default:
		return t.Started > old.Started
	}
}

// Aged returns the target as its entry describes it some time after it was read: it is cold for less.
func (t *Target) Aged(d time.Duration) *Target {
	if t.Cold <= 0 {
		return t
	}
	out := *t
	out.Cold = max(0, t.Cold-d)
	return &out
}

// WithoutColdTime returns the target without the cold time of its entry, which has passed in part if the entry was read some time ago.
func (t *Target) WithoutColdTime() *Target {
	if t.Cold <= 0 {
		return t
	}
	out := *t
	out.Cold, out.StatesCold = 0, false
	return &out
}

// Departure reports that an incarnation of a target drains or was removed.
type Departure struct {
	ID      string `json:"i"`
	Started int64  `json:"s"`
	Beat    int64  `json:"b,omitempty"` // of the last entry that the reporting host knew
	Removed bool   `json:"g,omitempty"` // its entry was removed; otherwise the target drains
	Stated  bool   `json:"l,omitempty"` // the target itself said so in an answer; such a departure has no revision

	Revision int64 `json:"r"`           // store revision at or after the change
	Created  int64 `json:"c,omitempty"` // of the entry that drains or was removed, see Target.Created
}

// Removal returns the departure of a target whose entry was removed at or before a store revision.
func (t *Target) Removal(revision int64) Departure {
	return Departure{ID: t.ID, Started: t.Started, Beat: t.Beat, Removed: true, Revision: revision, Created: t.Created}
}

// Drain returns the departure of a target whose entry says, as of a store revision, that it drains.
func (t *Target) Drain(revision int64) Departure {
	return Departure{ID: t.ID, Started: t.Started, Revision: revision, Created: t.Created}
}

// Removes reports whether the removal of an entry also removes the entry that is known of the target. That one may be of an earlier
// incarnation, if this host has not heard of the later one.
func (d *Departure) Removes(known *Target) bool {
	if d.Started != known.Started {
		return d.Revision >= known.Revision && kv.Version(d.Revision).Era() == kv.Version(known.Revision).Era()
	}
	// An entry of a restored store has a later revision than the removal that the store has lost.
	return d.Revision >= known.Revision || d.Beat >= known.Beat && isLaterEra(known.Revision, d.Revision)
}

// Outdated reports whether a removal is older than the entry that is known of the target, which has been written since.
func (d *Departure) Outdated(known *Target) bool { return d.Removed && !d.Removes(known) }

// ApplyDeparture applies a departure that another host has seen. A target that has restarted since, or written an entry after
// its removal, is left unchanged.
func (t *Table) ApplyDeparture(d Departure, now time.Time) (changed bool) {
	if d.Stated {
		return t.applyStatement(d, now)
	}
	old := t.targets[d.ID]
	switch {
	case old == nil:
		return false
	case d.Removed:
		if !d.Removes(old) {
			return false
		}
		t.drop(d.ID, d.Revision, now)
		return true
	default:
		return old.Started == d.Started && t.drain(old)
	}
}

// drain marks a target in the table as draining and reports whether it was not.
func (t *Table) drain(old *Target) (changed bool) {
	if old.State == Draining {
		return false
	}
	draining := *old
	draining.State = Draining
	t.targets[old.ID] = &draining
	return true
}

// Update is one change of a target's entry: the target as written, or nil if the entry was removed or cannot be decoded.
type Update struct {
	ID       string
	Target   *Target
	Revision int64 // store revision at or after the change
}

// Table holds the targets of all services. It is not safe for concurrent use.
type Table struct {
	targets    map[string]*Target
	missing    map[string]missing        // targets whose entries may have expired in an outage
	tombstones map[string]tombstone      // targets that were dropped recently
	former     map[string]int64          // by target: the incarnation before the present one, whose late entries do not count
	leaving    map[incarnation]time.Time // incarnations that said that they leave, and when that was first said here
}

// missing is the removal of an entry that may have expired in an outage.
type missing struct {
	dropAt   time.Time // unless the entry returns before
	revision int64     // store revision at or after the removal
	disputed bool      // another host has dropped the target
}

// tombstone marks a dropped target, so that an entry written before the drop does not restore it.
type tombstone struct {
	revision int64     // store revision; older entries do not restore the target
	started  int64     // the incarnation that was dropped
	beat     int64     // of its last known entry, which a restored store may show with a later revision
	at       time.Time // when the target was dropped
}

// excludes reports whether the target's entry was written before the drop.
func (s tombstone) excludes(t *Target) bool {
	if isLaterEra(t.Revision, s.revision) {
		return t.Started < s.started || t.Started == s.started && t.Beat <= s.beat
	}
	return t.Revision < s.revision
}

// isLaterEra reports whether a revision is of a later era than another one. Only within an era do revisions tell which of two
// changes came first.
func isLaterEra(revision, other int64) bool {
	return kv.Version(revision).Era() > kv.Version(other).Era()
}

// tombstoneTTL is how long a tombstone is kept. Hosts announce a change to each other for three seconds, and may be
// suspended meanwhile.
const tombstoneTTL = 30 * time.Second

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: map[string]*Target{}, missing: map[string]missing{}, tombstones: map[string]tombstone{}, former: map[string]int64{}, leaving: map[incarnation]time.Time{}}
}

// ApplyUpdate applies an update and reports whether the list of targets changed. A target whose entry was removed is kept until
// keepUntil, if that is later than now: the entry may have expired in an outage of the store, because the target could not renew it.
func (t *Table) ApplyUpdate(u Update, now, keepUntil time.Time) (changed bool) {
	old := t.targets[u.ID]
	if u.Target == nil {
		if old == nil || u.Revision < old.Revision {
			return false
		}
		if _, ok := t.missing[u.ID]; ok {
			return false
		}
		if now.Before(keepUntil) {
			t.missing[u.ID] = missing{dropAt: keepUntil, revision: u.Revision}
			return false
		}
		t.drop(u.ID, u.Revision, now)
		return true
	}
	u.Target = t.withStatement(u.Target)
	if former, ok := t.former[u.ID]; ok && former == u.Target.Started || !u.Target.Supersedes(old) {
		return false
	}
	if stone, dropped := t.tombstones[u.ID]; dropped && stone.excludes(u.Target) {
		return false
	}
	delete(t.missing, u.ID)
	delete(t.tombstones, u.ID) // from now on the entry itself tells older ones
	if old != nil && old.Started != u.Target.Started {
		t.former[u.ID] = old.Started
	}
	t.targets[u.ID] = u.Target
	return true
}

// drop removes a target. Entries written before the revision do not restore it.
func (t *Table) drop(id string, revision int64, now time.Time) {
	stone := tombstone{revision: max(t.tombstones[id].revision, revision), at: now}
	if old := t.targets[id]; old != nil {
		stone.started, stone.beat = old.Started, old.Beat
	}
	delete(t.targets, id)
	delete(t.missing, id)
	t.tombstones[id] = stone
}

// Restored takes the entries that a full read of a restored store, as of a revision, shows of dropped incarnations for ones
// written before the drop: it may have lost their removal. A target that writes after the read is back.
func (t *Table) Restored(read []Update, revision int64) {
	started := make(map[string]int64, len(read))
	for _, u := range read {
		if u.Target != nil {
			started[u.ID] = u.Target.Started
		}
	}
	for id, stone := range t.tombstones {
		if at, ok := started[id]; !ok || at <= stone.started {
			stone.revision = max(stone.revision, revision+1)
			t.tombstones[id] = stone
		}
	}
}

// Missing returns a removal for each target in the table that a full read, as of a revision, does not contain.
func (t *Table) Missing(read []Update, revision int64) (out []Update) {
	present := make(map[string]bool, len(read))
	for _, u := range read {
		present[u.ID] = true
	}
	for id := range t.targets {
		if !present[id] {
			out = append(out, Update{ID: id, Revision: revision})
		}
	}
	return out
}

// Dispute keeps a target until a time unless its entry returns, although another host has dropped it.
func (t *Table) Dispute(d Departure, until time.Time) {
	m, ok := t.missing[d.ID]
	if !ok {
		m = missing{dropAt: until, revision: d.Revision}
	}
	m.disputed = true
	t.missing[d.ID] = m
}

// Disputed reports whether another host has dropped a target whose entry is missing here.
func (t *Table) Disputed(id string) bool { return t.missing[id].disputed }

// KeepMissing keeps targets whose entries are missing until a later time: the store was unavailable again.
func (t *Table) KeepMissing(until time.Time) {
	for id, m := range t.missing {
		if until.After(m.dropAt) {
			m.dropAt = until
			t.missing[id] = m
		}
	}
}

// MissingTooLong reports whether there are targets whose entries did not return in time, as far as is known.
func (t *Table) MissingTooLong(now time.Time) bool {
	for _, m := range t.missing {
		if !now.Before(m.dropAt) {
			return true
		}
	}
	return false
}

// DropMissing drops targets whose entries did not return in time, and returns their departures. Call it only when all changes up to now
// have been applied.
func (t *Table) DropMissing(now time.Time) (dropped []Departure) {
	for id, m := range t.missing {
		if !now.Before(m.dropAt) {
			dropped = append(dropped, t.targets[id].Removal(m.revision))
			t.drop(id, m.revision, now)
		}
	}
	return dropped
}

// Expire drops tombstones and statements that are no longer needed.
func (t *Table) Expire(now time.Time) {
	for id, stone := range t.tombstones {
		if now.Sub(stone.at) > tombstoneTTL {
			delete(t.tombstones, id)
		}
	}
	for id := range t.former {
		if t.targets[id] == nil {
			delete(t.former, id)
		}
	}
	for i, at := range t.leaving {
		if now.Sub(at) > leavingTTL {
			delete(t.leaving, i)
		}
	}
}

// Get returns the target with the id, or nil.
func (t *Table) Get(id string) *Target { return t.targets[id] }

// List returns the targets in no particular order.
func (t *Table) List() []*Target {
	out := make([]*Target, 0, len(t.targets))
	for _, target := range t.targets {
		out = append(out, target)
	}
	return out
}
