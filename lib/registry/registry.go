// Package registry holds what a host knows of the targets: their addresses, states and what they hold.
package registry

import (
	"time"
)

// State is what a target says of itself.
type State uint8

// States of targets.
const (
	Ready State = iota
	Draining
)

// String returns the name used in logs.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Resident is a model that a target holds.
type Resident struct {
	Model    string   `json:"m"`
	Adapters []string `json:"a,omitempty"`
}

// Holding is what one incarnation of a target holds.
type Holding struct {
	Started int64      `json:"s"` // of the incarnation
	Models  []Resident `json:"m,omitempty"`
}

// Target is one incarnation of a target as its entry describes it.
type Target struct {
	ID      string
	Service string
	Addr    string // IP:port
	Zone    string
	Slots   int
	State   State
	Started int64      // Unix milliseconds of its start, by its own clock; an identity, never compared with a clock
	Beat    int64      // rises with each entry that this incarnation writes
	Models  []Resident // as of the entry

	Revision int64 // of the store at which the entry was written
}

// Supersedes reports whether t, read after old, replaces it: entries of one incarnation may arrive out of order, and a
// draining target does not become ready again.
func (t *Target) Supersedes(old *Target) bool {
	if old == nil {
		return true
	}
	if t.Started != old.Started {
		return t.Started > old.Started
	}
	return t.Beat >= old.Beat && (old.State != Draining || t.State == Draining)
}

// Departure tells that an incarnation of a target leaves or is gone.
type Departure struct {
	ID      string `json:"i"`
	Started int64  `json:"s"`
	Gone    bool   `json:"g,omitempty"` // its entry was removed; otherwise it drains

	Revision int64 `json:"r"` // of the store, at or after the change
}

// Depart takes over what another host has seen. A target that started anew since stays as it is.
func (t *Table) Depart(d Departure, now time.Time) (changed bool) {
	old := t.targets[d.ID]
	if old == nil || old.Started != d.Started || d.Revision < old.Revision {
		return false
	}
	if d.Gone {
		t.drop(d.ID, d.Revision, now)
		return true
	}
	if old.State == Draining {
		return false
	}
	leaving := *old
	leaving.State = Draining
	t.targets[d.ID] = &leaving
	return true
}

// Update is one change of a target's entry: the target as written, or nil if the entry is gone or unreadable.
type Update struct {
	ID       string
	Target   *Target
	Revision int64 // of the store, at or after the change
}

// returnGrace is how long targets have, after an outage of the store, to write entries that lapsed meanwhile.
const returnGrace = 2200 * time.Millisecond // two seconds stated by the platform, and a tenth for the reader's own delay

// Table keeps the targets of all services. It is not safe for concurrent use.
type Table struct {
	targets map[string]*Target
	missing map[string]time.Time // entries gone during an outage: when to drop them
	gone    map[string]tombstone // targets that were dropped lately
}

// tombstone keeps what was written before a target was dropped from bringing it back.
type tombstone struct {
	revision int64
	at       time.Time
}

// tombstoneTime is how long a tombstone is kept. Hosts tell each other of changes for three seconds, and may be suspended
// meanwhile.
const tombstoneTime = 30 * time.Second

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: map[string]*Target{}, missing: map[string]time.Time{}, gone: map[string]tombstone{}}
}

// Apply takes an update over. An entry that vanished in or right after an outage of the store keeps its target for a
// while, as it lapses when the target cannot renew it.
func (t *Table) Apply(u Update, now time.Time, inOutage bool) (changed bool) {
	old := t.targets[u.ID]
	if u.Target == nil {
		if old == nil || u.Revision < old.Revision {
			return false
		}
		if inOutage {
			if _, ok := t.missing[u.ID]; !ok {
				t.missing[u.ID] = now.Add(returnGrace)
			}
			return false
		}
		t.drop(u.ID, u.Revision, now)
		return true
	}
	if !u.Target.Supersedes(old) || u.Target.Revision < t.gone[u.ID].revision {
		return false
	}
	delete(t.missing, u.ID)
	t.targets[u.ID] = u.Target
	return true
}

// drop removes a target. What was written before the revision does not bring it back.
func (t *Table) drop(id string, revision int64, now time.Time) {
	delete(t.targets, id)
	delete(t.missing, id)
	t.gone[id] = tombstone{max(t.gone[id].revision, revision), now}
}

// Missing returns an update for each target that a whole listing, as of a revision, does not hold.
func (t *Table) Missing(all []Update, revision int64) (out []Update) {
	listed := make(map[string]bool, len(all))
	for _, u := range all {
		listed[u.ID] = true
	}
	for id := range t.targets {
		if !listed[id] {
			out = append(out, Update{ID: id, Revision: revision})
		}
	}
	return out
}

// Expire drops targets whose entries did not return in time.
func (t *Table) Expire(now time.Time) (changed bool) {
	for id, at := range t.missing {
		if !now.Before(at) {
			delete(t.missing, id)
			delete(t.targets, id)
			changed = true
		}
	}
	for id, stone := range t.gone {
		if now.Sub(stone.at) > tombstoneTime {
			delete(t.gone, id)
		}
	}
	return changed
}

// Get returns a target, or nil.
func (t *Table) Get(id string) *Target { return t.targets[id] }

// List returns the targets in no particular order.
func (t *Table) List() []*Target {
	out := make([]*Target, 0, len(t.targets))
	for _, target := range t.targets {
		out = append(out, target)
	}
	return out
}
