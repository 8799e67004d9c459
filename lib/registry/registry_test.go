package registry

import (
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
)

// Guards against entries that arrive out of order: an older one of the same incarnation, one of an earlier incarnation, and
// one that makes a draining target ready again.
func TestSupersedes(t *testing.T) {
	old := &Target{Started: 100, Beat: 5}
	draining := &Target{Started: 100, Beat: 5, State: Draining}
	for name, c := range map[string]struct {
		old, next *Target
		want      bool
	}{
		"first":                 {nil, &Target{}, true},
		"newer":                 {old, &Target{Started: 100, Beat: 6}, true},
		"same beat, now drains": {old, &Target{Started: 100, Beat: 5, State: Draining}, true},
		"older":                 {old, &Target{Started: 100, Beat: 4}, false},
		"earlier incarnation":   {old, &Target{Started: 99, Beat: 50}, false},
		"later incarnation":     {old, &Target{Started: 101, Beat: 1}, true},
		"ready again":           {draining, &Target{Started: 100, Beat: 6}, false},
		"ready after restart":   {draining, &Target{Started: 101, Beat: 1}, true},
	} {
		if got := c.next.Supersedes(c.old); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a cold time that begins anew at each host that is told of the target.
func TestColdTimeOfAPassedOnEntryPasses(t *testing.T) {
	entry := &Target{ID: "a", Cold: 3 * time.Second, StatesCold: true}
	if a := entry.Aged(time.Second); a.Cold != 2*time.Second || entry.Cold != 3*time.Second {
		t.Errorf("%s after a second, %s kept", a.Cold, entry.Cold)
	}
	if a := entry.WithoutColdTime(); a.Cold != 0 || a.StatesCold || entry.Cold != 3*time.Second {
		t.Errorf("%+v without its cold time, %s kept", a, entry.Cold)
	}
	if a := entry.Aged(4 * time.Second); a.Cold != 0 || !a.StatesCold {
		t.Errorf("%+v after its time", a)
	}
}

// Guards against a target that left during an outage of the store and is in use again because another host, which has read
// less, announces its entry.
func TestTargetThatExpiredAfterAnOutageStaysGone(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	entry := &Target{ID: "a", Started: 1, Revision: 5}
	table.ApplyUpdate(Update{ID: "a", Target: entry, Revision: 5}, now, time.Time{})
	table.ApplyUpdate(Update{ID: "a", Revision: 9}, now, now.Add(time.Second))
	if now = now.Add(time.Second); len(table.DropMissing(now)) != 1 || table.Get("a") != nil {
		t.Fatal("the target was not dropped")
	}
	table.ApplyUpdate(Update{ID: "a", Target: entry, Revision: 5}, now, time.Time{})
	if table.Get("a") != nil {
		t.Error("an entry from before the removal restored the target")
	}
	back := &Target{ID: "a", Started: 1, Beat: 1, Revision: 12}
	table.ApplyUpdate(Update{ID: "a", Target: back, Revision: 12}, now, time.Time{})
	if table.Get("a") != back {
		t.Error("a later entry did not restore the target")
	}
}

// Guards against a target that stays shut out because its entry, written after its removal, has the beat that it had.
func TestTargetWrittenAgainAfterItsRemovalIsBack(t *testing.T) {
	entryAt := func(revision int64) *Target {
		return &Target{ID: "a", Started: 1, Beat: 5, Revision: int64(kv.NewVersion(1, revision))}
	}
	now := time.Unix(1000, 0)
	dropped := func() *Table {
		table := NewTable()
		table.ApplyUpdate(Update{ID: "a", Target: entryAt(5), Revision: entryAt(5).Revision}, now, time.Time{})
		table.ApplyUpdate(Update{ID: "a", Revision: int64(kv.NewVersion(1, 9))}, now, time.Time{})
		return table
	}
	table, back := dropped(), entryAt(12)
	table.ApplyUpdate(Update{ID: "a", Target: back, Revision: back.Revision}, now, time.Time{})
	if table.Get("a") != back {
		t.Error("an entry written after the removal did not restore the target")
	}
	table.ApplyDeparture(Departure{ID: "a", Started: 1, Beat: 5, Removed: true, Revision: int64(kv.NewVersion(1, 9))}, now)
	if table.Get("a") != back {
		t.Error("a late report of the removal dropped the target that is back")
	}
}

// Guards against work for a draining target that was gone before: a restored store shows its entry, which is taken for an old one.
func TestReturnedTargetDrainsInARestoredStore(t *testing.T) {
	now, in := time.Unix(1000, 0), func(era kv.Era, revision int64) int64 { return int64(kv.NewVersion(era, revision)) }
	table := NewTable()
	for _, u := range []Update{
		{ID: "a", Target: &Target{ID: "a", Started: 1, Beat: 5}, Revision: in(1, 5)},
		{ID: "a", Revision: in(1, 9)},
		{ID: "a", Target: &Target{ID: "a", Started: 1, Beat: 7}, Revision: in(1, 12)},
	} {
		if u.Target != nil {
			u.Target.Revision = u.Revision
		}
		table.ApplyUpdate(u, now, time.Time{})
	}
	draining := &Target{ID: "a", Started: 1, Beat: 8, State: Draining, Revision: in(2, 13)}
	read := []Update{{ID: "a", Target: draining, Revision: draining.Revision}}
	table.Restored(read, in(2, 13))
	table.ApplyUpdate(read[0], now, time.Time{})
	if got := table.Get("a"); got == nil || got.State != Draining {
		t.Errorf("the target is %+v, want it to drain", got)
	}
}

// Guards against a target that stays shut out because it wrote the entry that a restored store had lost again, as it was.
func TestTargetThatWritesALostEntryAgainIsBack(t *testing.T) {
	now, in := time.Unix(1000, 0), func(era kv.Era, revision int64) int64 { return int64(kv.NewVersion(era, revision)) }
	table := NewTable()
	old := &Target{ID: "a", Started: 1, Beat: 5, Revision: in(1, 12)}
	table.ApplyUpdate(Update{ID: "a", Target: old, Revision: old.Revision}, now, time.Time{})
	table.ApplyUpdate(Update{ID: "a", Revision: in(1, 13)}, now, time.Time{})
	table.Restored(nil, in(2, 10))
	back := &Target{ID: "a", Started: 1, Beat: 5, Revision: in(2, 11)}
	table.ApplyUpdate(Update{ID: "a", Target: back, Revision: back.Revision}, now, time.Time{})
	if table.Get("a") != back {
		t.Error("an entry written after the full read did not restore the target")
	}
}

// Guards against an earlier incarnation that stays listed because this host has not heard of the later one whose entry was removed.
func TestRemovalOfALaterIncarnationIsApplied(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	entry := &Target{ID: "a", Started: 1, Revision: 5}
	table.ApplyUpdate(Update{ID: "a", Target: entry, Revision: 5}, now, time.Time{})
	removal := Departure{ID: "a", Started: 2, Removed: true, Revision: 4}
	if table.ApplyDeparture(removal, now) {
		t.Error("a removal from before the entry was applied")
	}
	removal.Revision = int64(kv.NewVersion(1, 9))
	if table.ApplyDeparture(removal, now) {
		t.Error("a removal of another era was applied to another incarnation")
	}
	removal.Revision = 9
	if !table.ApplyDeparture(removal, now) || table.Get("a") != nil {
		t.Error("the earlier incarnation is still listed")
	}
}

// Guards against work for a draining target whose clock was set back before it started under its id: its entries seem to be older than those
// of the start before.
func TestTargetThatStartsAgainUnderAnEarlierClockIsFollowed(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(started, revision int64, state State) Update {
		return Update{ID: "a", Target: &Target{ID: "a", Started: started, State: state, Revision: revision}, Revision: revision}
	}
	said := func(started int64) Departure { return Departure{ID: "a", Started: started, Stated: true} }
	for name, c := range map[string]struct {
		steps   []any // Update or Departure
		started int64
		state   State
	}{
		"drains":                                {[]any{entry(9, 10, Ready), entry(5, 11, Ready), entry(5, 12, Draining)}, 5, Draining},
		"late news of the start before":         {[]any{entry(5, 11, Ready), entry(9, 10, Ready)}, 5, Ready},
		"late write of the start before":        {[]any{entry(9, 10, Ready), entry(5, 11, Draining), entry(9, 12, Ready)}, 5, Draining},
		"says that it leaves":                   {[]any{entry(9, 10, Ready), said(9), entry(5, 11, Ready), said(5), entry(5, 12, Ready)}, 5, Draining},
		"says so before its entry is known":     {[]any{entry(9, 10, Ready), said(5), entry(5, 11, Ready)}, 5, Draining},
		"does not say so, but the start before": {[]any{entry(9, 10, Ready), said(9), entry(5, 11, Ready)}, 5, Ready},
	} {
		table := NewTable()
		table.applySteps(c.steps, now)
		if got := table.Get("a"); got == nil || got.Started != c.started || got.State != c.state {
			t.Errorf("%s: %+v, want start %d, %s", name, got, c.started, c.state)
		}
	}
}
