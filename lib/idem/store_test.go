package idem

import (
	"testing"

	"cuminhook.org/cuminhook/lib/manifest"
)

// tables returns successive slot tables. Slot 0 belongs to one of the owners in each, the other slots to "x" in all.
func tables(owners ...string) []Table {
	var out []Table
	last := manifest.SlotTable{}
	for _, o := range owners {
		all := make([]string, manifest.SlotCount)
		for i := range all {
			all[i] = "x"
		}
		all[0] = o
		last = last.WithOwners(all)
		out = append(out, Table(last))
	}
	return out
}

// slotZeroKey returns a key of slot 0.
func slotZeroKey() (k Key) { return k }

// newHost returns the store of a host that has installed an empty table and then ts.
func newHost(name string, ts ...Table) *Store {
	s := NewStore(name, uint64(len(name))+uint64(name[0]), 100, 1<<20)
	s.SetTable(1, Table{})
	for _, t := range ts {
		s.SetTable(1, t)
	}
	return s
}

// syncCopies gives successor complete copies of the owner's slot 0.
func syncCopies(owner, successor *Store) {
	successor.AcceptCopy(1, owner.CopyMessage(1, 0, nil, successor.boot))
}

// Guards against two owners that both grant the same key. It checks each rule on its own, because the random test
// TestAtMostOneRun reaches the states that some rules protect against too rarely.
func TestFencingLeavesOneGrantingOwner(t *testing.T) {
	ts := tables("o", "p", "o", "n")
	claim := func(s *Store, id string) Decision {
		d, _ := s.Claim(1, slotZeroKey(), [32]byte{}, id, 1)
		return d
	}
	take := func(from *Store, by, owner string, last, version int64) bool {
		return from.Take(1, &TakeArgs{Slot: 0, By: by, Owner: owner, Last: last, Version: version}).Known
	}
	for name, holds := range map[string]func() bool{
		"an owner grants nothing after its records were taken": func() bool {
			o := newHost("o", ts[0])
			return take(o, "p", "o", 1, 2) && claim(o, "1") == Unconfirmed
		},
		"a claim in progress is not confirmed after its record was taken": func() bool {
			o := newHost("o", ts[0])
			return claim(o, "1") == Proceed && take(o, "p", "o", 1, 2) && !o.Confirm(1, slotZeroKey(), "1", 1)
		},
		"a claim in progress is not confirmed under another table": func() bool {
			o := newHost("o", ts[0])
			claimed := claim(o, "1") == Proceed
			o.SetTable(1, Table(manifest.SlotTable(ts[0]).WithOwners(ts[0].Owners)))
			return claimed && !o.Confirm(1, slotZeroKey(), "1", 1)
		},
		"a successor acknowledges nothing for an owner whose copies were taken": func() bool {
			o, x := newHost("o", ts[0]), newHost("x", ts[0])
			syncCopies(o, x)
			_, r := o.Claim(1, slotZeroKey(), [32]byte{}, "1", 1)
			return x.AcceptCopy(1, o.CopyMessage(1, 0, &r, 0)).OK && take(x, "p", "o", 1, 2) &&
				!x.AcceptCopy(1, o.CopyMessage(1, 0, &r, 0)).OK && !x.AcceptCopy(1, o.CopyMessage(1, 0, nil, x.boot)).OK
		},
		"copies are taken by one host only": func() bool {
			o, x := newHost("o", ts[0]), newHost("x", ts[0])
			syncCopies(o, x)
			first, repeated := take(x, "p", "o", 1, 2), take(x, "p", "o", 1, 2)
			return first && repeated && !take(x, "o", "o", 1, 3)
		},
		"a former owner does not pass for the last one": func() bool {
			o := newHost("o", ts[0], ts[1])
			return !take(o, "n", "o", 3, 4) && take(o, "p", "o", 1, 2)
		},
		"copies of an earlier ownership do not pass for the last one": func() bool {
			o, x := newHost("o", ts[0]), newHost("x", ts[0])
			syncCopies(o, x)
			return !take(x, "n", "o", 3, 4)
		},
		"an owner that missed a table does not take its slot for kept": func() bool {
			o := newHost("o", ts[0])
			o.SetTable(1, ts[2])
			return claim(o, "1") == Unconfirmed && len(o.PendingTakeovers(1)) == 1
		},
		"an owner that knows its slot was kept goes on over a missed table": func() bool {
			o := newHost("o", ts[0])
			second := manifest.SlotTable(ts[0]).WithOwners(ts[0].Owners)
			o.SetTable(1, Table(second.WithOwners(ts[0].Owners)))
			return claim(o, "1") == Proceed
		},
		"all records for a previous incarnation of the successor do not make it complete": func() bool {
			o, x := newHost("o", ts[0]), newHost("x", ts[0])
			late := o.CopyMessage(1, 0, nil, x.boot)
			x = newHost("x", ts[0])
			x.boot++
			return x.AcceptCopy(1, late).NeedFull && !take(x, "p", "o", 1, 2)
		},
		"a restarted owner waits until table changes before its restart are known": func() bool {
			o := NewStore("o", 1, 100, 1<<20)
			o.SetTable(1, ts[0])
			return claim(o, "1") == Unconfirmed && len(o.PendingTakeovers(1)) == 0 &&
				len(o.PendingTakeovers(1+int64(restartDelay))) == 1
		},
		"an owner without sources refuses until unconfirmedPeriod has passed": func() bool {
			n := newHost("n", ts[0])
			n.SetTable(1, ts[3])
			n.Expire(int64(Retention))
			before := claim(n, "1")
			n.Expire(1 + int64(unconfirmedPeriod))
			return before == Unconfirmed && claim(n, "1") == Proceed
		},
	} {
		if !holds() {
			t.Errorf("violated: %s", name)
		}
	}
}

// Guards against records that exceed the memory bound: new keys are refused, known keys are still answered, and
// responses that do not fit are not stored.
func TestMemoryBound(t *testing.T) {
	s := NewStore("o", 1, 2, 10)
	s.SetTable(1, Table{})
	s.SetTable(1, tables("o")[0])
	for i := range byte(3) {
		key := slotZeroKey()
		key[31] = i
		d, _ := s.Claim(1, key, [32]byte{}, "c", 1)
		if want := []Decision{Proceed, Proceed, MemoryFull}[i]; d != want {
			t.Errorf("claim %d: %d, want %d", i, d, want)
		}
		s.Finish(1, key, "c", Done, Response{Status: 200, Body: make([]byte, 8)})
	}
	if s.recordCount != 2 || s.bodyBytes != 8 {
		t.Errorf("%d records, %d bytes", s.recordCount, s.bodyBytes)
	}
	key := slotZeroKey()
	first, _ := s.Claim(1, key, [32]byte{}, "d", 1)
	key[31] = 1
	second, _ := s.Claim(1, key, [32]byte{}, "d", 1)
	if first != Replay || second != ResponseNotKept {
		t.Errorf("decisions %d and %d", first, second)
	}
}
