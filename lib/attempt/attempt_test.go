package attempt

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "21", "")) }

var outcomes = []forward.Outcome{forward.Unknown, forward.NotSent, forward.NotRun, forward.Answered}

// mayHaveRun reports whether the outcome leaves it possible that the target ran the request.
func mayHaveRun(o forward.Outcome) bool { return o == forward.Unknown || o == forward.Answered }

// Guards against a request that runs more often than allowed, and against a refusal that states "not run" although a
// target may have run the request.
func TestRunLimitIsKeptAndNotRunIsCertain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := State{Repeatable: rapid.Bool().Draw(rt, "repeatable"), MaxRuns: rapid.IntRange(1, 4).Draw(rt, "max runs")}
		runs, sends := 0, 0
		for {
			o := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
			s.Record(o)
			if o != forward.NotSent {
				sends++
			}
			if mayHaveRun(o) {
				runs++
			}
			if !s.MaySend() {
				break
			}
			if s.NextIsRetry() != (sends > 0) {
				rt.Fatalf("next is retry %v after %d sends", s.NextIsRetry(), sends)
			}
			if sends == 0 && rapid.Bool().Draw(rt, "give up") {
				break
			}
		}
		limit := 1
		if s.Repeatable {
			limit = s.MaxRuns
		}
		if runs > limit {
			rt.Fatalf("%d runs, %d allowed", runs, limit)
		}
		if sends > maxSends {
			rt.Fatalf("%d sends", sends)
		}
		r := s.Refusal(refusal.NoTarget, rapid.Bool().Draw(rt, "timed out"), time.Second)
		notRun := r.Run == refusal.NotRun || r.Status == 503 || r.Status == 429
		if notRun != (runs == 0) {
			rt.Fatalf("refused with %d (%s) after %d runs", r.Status, r.Run, runs)
		}
		if (r.RetryAfter > 0) != (runs == 0) {
			rt.Fatalf("Retry-After %v after %d runs", r.RetryAfter, runs)
		}
	})
}
