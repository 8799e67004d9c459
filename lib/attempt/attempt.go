// Package attempt decides what follows each attempt at a target, and what a caller may be told. It answers failing
// targets: what may have run is repeated only where that is allowed, and "not run" is stated only when it is true.
package attempt

import (
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/refusal"
)

// maxSends bounds the targets that one request is sent to, those that did not run it included: each costs others their
// part of the retry budget.
const maxSends = 4

// State is the state of one request over all its attempts. The zero value has not been sent.
type State struct {
	Repeatable bool // the request may run more than once
	MaxRuns    int  // targets that may run it
	sends      int  // attempts that reached or may have reached a target
	runs       int  // of those, the ones that ran it or may have
	unknown    bool // an attempt ended without its outcome being known
}

// Record takes over how an attempt ended.
func (s *State) Record(o forward.Outcome) {
	switch o {
	case forward.NotSent:
	case forward.NotRun:
		s.sends++
	case forward.Unknown:
		s.sends, s.runs, s.unknown = s.sends+1, s.runs+1, true
	case forward.Answered:
		s.sends, s.runs = s.sends+1, s.runs+1
	}
}

// Again reports whether the request may be sent to another target.
func (s *State) Again() bool {
	if s.sends >= maxSends {
		return false
	}
	return s.runs == 0 || s.Repeatable && s.runs < s.MaxRuns
}

// Repeats reports whether the next attempt counts against the retry budget.
func (s *State) Repeats() bool { return s.sends > 0 }

// MayHaveRun reports whether a target ran the request or may have.
func (s *State) MayHaveRun() bool { return s.runs > 0 }

// GiveUp returns the final answer when no further attempt follows. A request that has certainly not run is refused with
// the time after which it is of use to send it again.
func (s *State) GiveUp(reason refusal.Reason, timedOut bool, retryAfter time.Duration) *refusal.Error {
	if s.runs == 0 {
		return &refusal.Error{
			Reason: reason, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: retryAfter,
			Message: "no target took the request", Remedy: "send it again after the time stated",
		}
	}
	if timedOut {
		return &refusal.Error{
			Reason: refusal.TargetTimeout, Run: refusal.Unknown, Status: fasthttp.StatusGatewayTimeout,
			Message: "the target did not answer in time", Remedy: "repeat the request only if it is idempotent",
		}
	}
	return &refusal.Error{
		Reason: refusal.TargetFailed, Run: refusal.Unknown, Status: fasthttp.StatusBadGateway,
		Message: "the target broke off without an answer", Remedy: "repeat the request only if it is idempotent",
	}
}
