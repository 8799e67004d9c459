package registry

import "testing"

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
