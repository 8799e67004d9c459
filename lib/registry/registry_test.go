package registry

import "testing"

// Guards against entries that arrive out of order: an old one of the same start, one of an earlier start, and one that
// makes a leaving target ready again.
func TestSupersedes(t *testing.T) {
	old := &Target{Started: 100, Beat: 5}
	leaving := &Target{Started: 100, Beat: 5, State: Draining}
	for name, c := range map[string]struct {
		old, next *Target
		want      bool
	}{
		"first":                 {nil, &Target{}, true},
		"newer":                 {old, &Target{Started: 100, Beat: 6}, true},
		"same beat, now leaves": {old, &Target{Started: 100, Beat: 5, State: Draining}, true},
		"older":                 {old, &Target{Started: 100, Beat: 4}, false},
		"earlier start":         {old, &Target{Started: 99, Beat: 50}, false},
		"later start":           {old, &Target{Started: 101, Beat: 1}, true},
		"ready again":           {leaving, &Target{Started: 100, Beat: 6}, false},
		"ready after restart":   {leaving, &Target{Started: 101, Beat: 1}, true},
	} {
		if got := c.next.Supersedes(c.old); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
