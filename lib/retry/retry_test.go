package retry

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "22", "")) }

// Guards against repeats of all hosts together beyond the ratio and the slack, in any span of requests, when targets
// fail every request and the hosts get uneven parts of the load.
func TestRepeatsStayWithinRatioAndSlack(t *testing.T) {
	const ratio, slack = 0.2, 54.0
	rapid.Check(t, func(rt *rapid.T) {
		hosts := make([]*Budget, rapid.IntRange(1, 12).Draw(rt, "hosts"))
		for i := range hosts {
			hosts[i] = NewBudget(ratio, slack)
			hosts[i].SetHosts(len(hosts))
		}
		requests, repeats := 0.0, 0.0
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(hosts)-1), 0, 400).Draw(rt, "requests") {
			hosts[i].Request("s")
			requests++
			for hosts[i].Allow("s") {
				repeats++
			}
			if allowed := ratio*requests + slack; repeats > allowed {
				rt.Fatalf("%v repeats after %v requests, %v allowed", repeats, requests, allowed)
			}
		}
	})
}

// Guards against a budget that refuses single failures in a calm hour.
func TestSingleFailuresAreRepeated(t *testing.T) {
	b := NewBudget(0.2, 54)
	b.SetHosts(7)
	for i := range 100 {
		b.Request("s")
		if i%10 == 0 && !b.Allow("s") {
			t.Fatalf("failure %d was not repeated", i)
		}
	}
}
