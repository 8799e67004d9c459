package hostqueue

import (
	"fmt"
	"testing"
	"time"
)

var dbg = map[string]int{}

func TestDebug(t *testing.T) {
	for _, load := range []float64{1.2, 2} {
		for _, admission := range []bool{false, true} {
			clear(dbg)
			r := 150 * load
			s := &sim{}
			simHook = func(x *sim) {
				q, run := 0, 0
				for _, t := range x.targets {
					q += len(t.waiting)
					run += t.running
				}
				if int(x.now/time.Millisecond)%1000 == 0 {
					w := 0
					for _, h := range x.hosts {
						w += h.queue.Len()
					}
					fmt.Println(x.now, "engine waiting", q, "running", run, "host waiting", w)
				}
			}
			s = play(site{hosts: 80, targets: 20, admission: admission, length: 10 * time.Second, kinds: []kind{
				{"urgent", "a", 0, 500 * time.Millisecond, 1000, 100, steady(r * 0.3)},
				{"usual", "b", 1, 800 * time.Millisecond, 1000, 100, steady(r * 0.5)},
				{"batch", "c", 2, 800 * time.Millisecond, 1500, 100, steady(r * 0.2)},
			}}, 1)
			fmt.Println(load, admission, s.report(nil), dbg)
		}
	}
}
