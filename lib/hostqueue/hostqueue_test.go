package hostqueue

import (
	"fmt"
	"testing"
	"time"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// during returns a rate that is multiplied from one time to another.
func during(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return rate * factor
		}
		return rate
	}
}

// mixed returns kinds of three priorities that are load times what 20 targets can serve, 152 requests a second.
func mixed(rate func(part float64) func(time.Duration) float64) []kind {
	return []kind{
		{"urgent", "a", 0, 500 * time.Millisecond, 1000, 100, rate(0.3)},
		{"usual", "b", 1, 800 * time.Millisecond, 1000, 100, rate(0.5)},
		{"batch", "c", 2, 800 * time.Millisecond, 1500, 100, rate(0.2)},
	}
}

func (s *sim) of(name string) report {
	return s.report(func(c *simCall) bool { return name == "" || c.kind.name == name })
}

// sites returns the fleets to test.
var fleets = []int{7, 80}

func TestExplore(t *testing.T) {
	const capacity = 150
	for name, c := range map[string]site{
		"overload": {length: 20 * time.Second, kinds: mixed(func(p float64) func(time.Duration) float64 { return steady(2 * capacity * p) })},
		"org": {length: 20 * time.Second, kinds: func() (kinds []kind) {
			for i := range 6 {
				r := steady(0.12 * capacity)
				if i == 0 {
					r = during(0.12*capacity, 7.5, 5*time.Second, 15*time.Second)
				}
				kinds = append(kinds, kind{fmt.Sprint("org", i), fmt.Sprint("org", i), 1, 800 * time.Millisecond, 1000, 100, r})
			}
			return kinds
		}()},
		"long": {length: 15 * time.Second, kinds: []kind{
			{"short", "a", 1, 800 * time.Millisecond, 500, 100, steady(0.6 * capacity)},
			{"long", "b", 1, 800 * time.Millisecond, 9000, 50, during(2, 20, 5*time.Second, 8*time.Second)},
		}},
		"half": {
			length: 15 * time.Second, gone: 10, goneFrom: 5 * time.Second, goneTo: 9 * time.Second,
			kinds: mixed(func(p float64) func(time.Duration) float64 { return steady(0.8 * capacity * p) }),
		},
		"burst": {length: 12 * time.Second, kinds: mixed(func(p float64) func(time.Duration) float64 {
			return during(0.5*capacity*p, 5, 4*time.Second, 6*time.Second)
		})},
	} {
		for _, hosts := range fleets {
			for _, admission := range []bool{false, true} {
				c.hosts, c.targets, c.admission = hosts, 20, admission
				s := play(c, 1)
				t.Log(name, hosts, admission, s.of(""))
				for _, k := range s.kinds {
					t.Log("       ", k.name, s.of(k.name))
				}
			}
		}
	}
}
