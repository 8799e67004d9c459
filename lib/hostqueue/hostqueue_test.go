package hostqueue

import (
	"testing"
	"time"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func TestExplore(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.0, 1.2, 2} {
		for _, hosts := range []int{7, 80} {
			for _, admission := range []bool{false, true} {
				// 20 targets of 16 slots, 2.1 s each: 152 requests a second.
				r := 150 * load
				s := play(site{hosts: hosts, targets: 20, admission: admission, length: 20 * time.Second, kinds: []kind{
					{"urgent", "a", 0, 500 * time.Millisecond, 1000, 100, steady(r * 0.3)},
					{"usual", "b", 1, 800 * time.Millisecond, 1000, 100, steady(r * 0.5)},
					{"batch", "c", 2, 800 * time.Millisecond, 1500, 100, steady(r * 0.2)},
				}}, 1)
				t.Log(load, hosts, admission, s.report(nil))
				for _, k := range s.kinds {
					t.Log("     ", k.name, s.report(func(c *simCall) bool { return c.kind.name == k.name }))
				}
			}
		}
	}
}
