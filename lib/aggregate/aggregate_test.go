package aggregate

import (
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/sharedrate"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "24", "")) }

// report is what a host with the charges and running requests reports.
func report(charged float64, running int) Contribution {
	return Contribution{
		Hosts: 1, Demand: sharedrate.Report{"o": {Charged: charged, Demand: 2, SharedTokens: 10}},
		Loads: map[string]balance.Load{"t": {Running: running}}, EngineLoad: map[string]float64{"m": 0.1},
		Suspects: map[string]int{"t": 1},
	}
}

// Guards against charges that are lost or counted twice when members come, go, restart and return: the sum must grow by what
// each member charges while it is known, and never shrink.
func TestChargesAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New()
		names := []string{"a", "b", "c"}
		boot, charged, known := map[string]uint64{}, map[string]float64{}, map[string]bool{}
		want := 0.0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			name := rapid.SampledFrom(names).Draw(rt, "member")
			switch rapid.SampledFrom([]string{"charge", "charge", "restart", "remove"}).Draw(rt, "step") {
			case "remove":
				s.Remove(name)
			case "restart":
				boot[name]++
				charged[name] = 0
				fallthrough
			case "charge":
				more := float64(rapid.IntRange(0, 100).Draw(rt, "tokens"))
				charged[name] += more
				if known[name] {
					want += more
				}
				known[name] = true
				s.Set(name, boot[name], report(charged[name], 1))
			}
			if got := s.Total(nil).Demand["o"].Charged; got != want {
				rt.Fatalf("counted %v, charged %v", got, want)
			}
			for _, left := range names {
				without := s.Without(s.Total(nil), left).Demand["o"].Charged
				only := s.Total(func(n string) bool { return n == left }).Demand["o"].Charged
				if math.Abs(without+only-want) > 1e-9 {
					rt.Fatalf("%v of %s and %v of the others, %v of all", only, left, without, want)
				}
			}
		}
	})
}

// Guards against a sum that keeps the load of a member that is gone, or that gives a member its own load back.
func TestSumFollowsItsMembers(t *testing.T) {
	s := New()
	for i, name := range []string{"a", "b", "c"} {
		s.Set(name, 1, report(float64(i), i+1))
	}
	total := s.Total(nil)
	if total.Hosts != 3 || total.Loads["t"].Running != 6 || total.Suspects["t"] != 3 || total.Demand["o"].SharedTokens != 10 {
		t.Errorf("total %+v", total)
	}
	without := s.Without(total, "b")
	if without.Hosts != 2 || without.Loads["t"].Running != 4 || without.Suspects["t"] != 2 || without.Demand["o"].Demand != 4 {
		t.Errorf("without b: %+v", without)
	}
	if total.Loads["t"].Running != 6 {
		t.Errorf("the total has changed: %+v", total)
	}
	s.Remove("b")
	if got := s.Total(nil); got.Hosts != 2 || got.Loads["t"].Running != 4 {
		t.Errorf("after the removal of b: %+v", got)
	}
	s.Remove("a")
	s.Remove("c")
	if got := s.Total(nil); got.Hosts != 0 || len(got.Loads) != 0 || len(got.EngineLoad) != 0 || len(got.Suspects) != 0 {
		t.Errorf("after the removal of all: %+v", got)
	}
}

// Guards against failures of targets that are counted twice, or go on to count, when what a member reports is left out of a sum.
func TestFailuresAreSummed(t *testing.T) {
	s := New()
	for i, name := range []string{"a", "b"} {
		s.Set(name, 1, Contribution{Hosts: 1, Failures: map[string]balance.Failures{"t": {Failed: 1.3, Total: 4}, name: {Failed: float64(i + 1), Total: 5}}})
	}
	total := s.Total(nil)
	if got := total.Failures["t"]; got != (balance.Failures{Failed: 2.6, Total: 8}) {
		t.Errorf("%+v in all", got)
	}
	without := s.Without(total, "a").Failures
	if _, ok := without["a"]; ok || without["t"] != (balance.Failures{Failed: 1.3, Total: 4}) || without["b"] != total.Failures["b"] {
		t.Errorf("%+v without a member", without)
	}
	s.Remove("b")
	if got := s.Total(nil).Failures["t"]; got.Total != 4 {
		t.Errorf("%+v after a member has gone", got)
	}
}
