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
}

// Depart takes over what another host has seen. A target that started anew since stays as it is.
func (t *Table) Depart(d Departure) (changed bool) {
	old := t.targets[d.ID]
	if old == nil || old.Started != d.Started {
		return false
	}
	if d.Gone {
		delete(t.targets, d.ID)
		delete(t.missing, d.ID)
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
	ID     string
	Target *Target
}

// returnGrace is how long targets have, after an outage of the store, to write entries that lapsed meanwhile.
const returnGrace = 2200 * time.Millisecond // two seconds stated by the platform, and a tenth for the reader's own delay

// Table keeps the targets of all services. It is not safe for concurrent use.
type Table struct {
	targets map[string]*Target
	missing map[string]time.Time // entries gone during an outage: when to drop them
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: map[string]*Target{}, missing: map[string]time.Time{}}
}

// Apply takes an update over. An entry that vanished in or right after an outage of the store keeps its target for a
// while, as it lapses when the target cannot renew it.
func (t *Table) Apply(u Update, now time.Time, inOutage bool) (changed bool) {
	old := t.targets[u.ID]
	if u.Target == nil {
		if old == nil {
			return false
		}
		if inOutage {
			if _, ok := t.missing[u.ID]; !ok {
				t.missing[u.ID] = now.Add(returnGrace)
			}
			return false
		}
		delete(t.targets, u.ID)
		delete(t.missing, u.ID)
		return true
	}
	if !u.Target.Supersedes(old) {
		return false
	}
	delete(t.missing, u.ID)
	t.targets[u.ID] = u.Target
	return true
}

// Replace takes a whole listing over.
func (t *Table) Replace(all []Update, now time.Time, inOutage bool) {
	listed := make(map[string]bool, len(all))
	for _, u := range all {
		listed[u.ID] = true
		t.Apply(u, now, inOutage)
	}
	for id := range t.targets {
		if !listed[id] {
			t.Apply(Update{ID: id}, now, inOutage)
		}
	}
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
