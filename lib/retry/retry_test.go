package retry

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "22", "")) }

// Guards against more retries of all hosts together than the ratio and the slack allow, after any number of requests.
// Targets fail every request, and the load is spread unevenly over the hosts.
func TestRetriesStayWithinRatioAndSlack(t *testing.T) {
	const ratio, slack = 0.2, 54.0
	rapid.Check(t, func(rt *rapid.T) {
		hosts := make([]*Budget, rapid.IntRange(1, 12).Draw(rt, "hosts"))
		for i := range hosts {
			hosts[i] = NewBudget(ratio, slack)
			hosts[i].SetHosts(len(hosts))
		}
		requests, retries := 0.0, 0.0
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(hosts)-1), 0, 400).Draw(rt, "requests") {
			hosts[i].RecordRequest("s")
			requests++
			for hosts[i].Allow("s") {
				retries++
			}
			if allowed := ratio*requests + slack; retries > allowed {
				rt.Fatalf("%v retries after %v requests, %v allowed", retries, requests, allowed)
			}
		}
	})
}

// Guards against a budget that denies retries when failures are rare: here one request in ten fails.
func TestSingleFailuresAreRetried(t *testing.T) {
	b := NewBudget(0.2, 54)
	b.SetHosts(7)
	for i := range 100 {
		b.RecordRequest("s")
		if i%10 == 0 && !b.Allow("s") {
			t.Fatalf("the retry of request %d was denied", i)
		}
	}
}
