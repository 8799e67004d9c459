package registry

import (
	"testing"
	"time"
)

func TestTargetThatSaidItLeavesIsNotReadyAgain(t *testing.T) {
	at := time.Unix(1000, 0)
	entry := func(started, beat, revision int64) Update {
		return Update{ID: "a", Target: &Target{ID: "a", Started: started, Beat: beat, Revision: revision}, Revision: revision}
	}
	said := func(started int64) Departure { return Departure{ID: "a", Started: started, Stated: true} }
	for name, c := range map[string]struct {
		steps []any // Update or Departure
		want  State
	}{
		"entry still ready":                  {[]any{entry(5, 1, 10), said(5), entry(5, 2, 11)}, Draining},
		"said before the entry is known":     {[]any{said(5), entry(5, 1, 10)}, Draining},
		"entry from an older copy":           {[]any{entry(5, 7, 10), said(5), entry(5, 3, 4), entry(5, 8, 4)}, Draining},
		"entry vanishes and comes back":      {[]any{entry(5, 1, 10), said(5), Update{ID: "a", Revision: 12}, entry(5, 2, 20)}, Draining},
		"starts again":                       {[]any{entry(5, 1, 10), said(5), entry(6, 1, 11)}, Ready},
		"starts again after it vanished":     {[]any{entry(5, 1, 10), said(5), Update{ID: "a", Revision: 12}, entry(6, 1, 13)}, Ready},
		"late news of the start before":      {[]any{entry(5, 1, 10), entry(6, 1, 11), said(5), entry(6, 2, 12)}, Ready},
		"news of both starts, later first":   {[]any{said(6), said(5), entry(6, 1, 11)}, Draining},
		"no time of start, starts again":     {[]any{entry(0, 1, 10), said(0), Update{ID: "a", Revision: 12}, entry(0, 1, 20)}, Ready},
		"no time of start, entry comes back": {[]any{entry(0, 1, 10), said(0), entry(0, 2, 11)}, Draining},
	} {
		table := NewTable()
		table.applySteps(c.steps, at)
		if got := table.Get("a"); got == nil || got.State != c.want {
			t.Errorf("%s: %+v, want %s", name, got, c.want)
		}
	}
}

// applySteps applies updates and departures one after the other.
func (t *Table) applySteps(steps []any, now time.Time) {
	for _, s := range steps {
		switch s := s.(type) {
		case Update:
			t.ApplyUpdate(s, now, time.Time{})
		case Departure:
			t.ApplyDeparture(s, now)
		}
	}
}
