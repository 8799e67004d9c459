// Package attempt decides whether a request may be sent to another target after a failed attempt, and what the final
// refusal states. A request that may have run is sent again only where that is allowed, and "not run" is stated only when
// it is certain.
package attempt

import (
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/refusal"
)

// maxSends is the maximum number of targets that one request is sent to, including those that did not run it. Every send
// after the first uses up retry budget that other requests share.
const maxSends = 4

// State is the state of one request over all its attempts. The zero value is a request that has not been sent. It is not
// safe for concurrent use.
type State struct {
	Repeatable     bool // the request may run more than once
	MaxRuns        int  // how many targets may run a repeatable request
	sends          int  // attempts that reached or may have reached a target
	possibleRuns   int  // of those, the ones in which the target ran the request or may have
	outcomeUnknown bool // an attempt ended with an unknown outcome
}

// Record records the outcome of an attempt.
func (s *State) Record(o forward.Outcome) {
	switch o {
	case forward.NotSent:
	case forward.NotRun:
		s.sends++
	case forward.Unknown:
		s.sends, s.possibleRuns, s.outcomeUnknown = s.sends+1, s.possibleRuns+1, true
	case forward.Answered:
		s.sends, s.possibleRuns = s.sends+1, s.possibleRuns+1
	}
}

// MaySend reports whether the request may be sent to another target.
func (s *State) MaySend() bool {
	if s.sends >= maxSends {
		return false
	}
	return s.possibleRuns == 0 || s.Repeatable && s.possibleRuns < s.MaxRuns
}

// MayFollow reports whether the request may be sent to another target after one more attempt that ends without an answer.
func (s *State) MayFollow() bool {
	next := *s
	next.Record(forward.Unknown)
	return next.MaySend()
}

// NextIsRetry reports whether the next attempt is a retry, which counts against the retry budget.
func (s *State) NextIsRetry() bool { return s.sends > 0 }

// MayHaveRun reports whether a target has run the request or may have run it.
func (s *State) MayHaveRun() bool { return s.possibleRuns > 0 }

// Refusal returns the refusal that ends the request when no further attempt follows. If the request has certainly not run,
// the refusal states reason, and retryAfter as the time after which the caller should send the request again. Otherwise
// its run state is unknown, and timedOut distinguishes a timeout of the target from a failure.
func (s *State) Refusal(reason refusal.Reason, timedOut bool, retryAfter time.Duration) *refusal.Error {
	if s.possibleRuns == 0 {
		return &refusal.Error{
			Reason: reason, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: retryAfter,
			Message: "no target took the request", Remedy: "send it again after the time stated",
		}
	}
	if timedOut {
		return &refusal.Error{
			Reason: refusal.TargetTimeout, Run: refusal.RunUnknown, Status: fasthttp.StatusGatewayTimeout,
			Message: "the target did not answer in time", Remedy: "repeat the request only if it is idempotent",
		}
	}
	return &refusal.Error{
		Reason: refusal.TargetFailed, Run: refusal.RunUnknown, Status: fasthttp.StatusBadGateway,
		Message: "the target sent no whole answer in proper form", Remedy: "repeat the request only if it is idempotent",
	}
}
