package balance

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest answer in the failure fraction; about the last ten answers count.
	failureWeight = 0.1
	// failureTimeConstant is the time constant with which past failures decay. Without decay, a target that is avoided
	// because of its failures would get no requests whose answers could show that it has recovered.
	failureTimeConstant = 2 * time.Second
	// minSuspension is how long a target gets no requests after an unanswered one. The suspension doubles with each
	// further unanswered request. Most restarts of a process take about a second.
	minSuspension = 300 * time.Millisecond
	// maxSuspension bounds the suspension: the target's entry in the store expires after three heartbeats of about a
	// second each.
	maxSuspension = 4 * time.Second
)

// minSuspectMisses is how many requests in a row a target has to leave unanswered before it counts as suspect.
const minSuspectMisses = 2

// minSuspectTime is how long it has to answer nothing for that: sound targets may fall silent for a second or so. An entry in the store of one
// that is dead expires after three heartbeats of about a second each.
const minSuspectTime = 1500 * time.Millisecond

// health is the state of a target as seen from the outcomes of this host's requests.
type health struct {
	failureFraction float64 // fraction of failed answers as of failureUpdated; the newest answers weigh most
	failureUpdated  time.Time
	misses          int           // requests in a row that found the target unreachable or unresponsive
	missedSince     time.Time     // when the first of them did
	backoff         time.Duration // last suspension; zero after an answer
	suspendedUntil  time.Time
	probing         bool // a request is in flight that probes whether the target answers again
	// The following are for targets that fail a part of their requests; see outliers.
	recent   Failures // requests of this host as of recentAt
	recentAt time.Time
	pooled   Failures // of all hosts, as of the last comparison
	excess   float64  // fraction of failed requests beyond what is usual in the service, of all hosts, as of the last comparison
	aside    aside
}

// usable reports whether the target is neither suspended nor being probed.
func (h *health) usable(now time.Time) bool { return !now.Before(h.suspendedUntil) && !h.probing }

// suspect reports whether the target left several requests in a row unanswered, for a time, and has not answered since.
func (h *health) suspect(now time.Time) bool {
	return h.misses >= minSuspectMisses && now.Sub(h.missedSince) >= minSuspectTime
}

// recentFailureFraction returns the failure fraction, decayed until now, or that of all hosts if it is larger.
func (h *health) recentFailureFraction(now time.Time) float64 {
	return max(h.excess, h.ownFailureFraction(now))
}

// ownFailureFraction returns the failure fraction as this host has seen it, decayed until now.
func (h *health) ownFailureFraction(now time.Time) float64 {
	return h.failureFraction * math.Exp(-float64(now.Sub(h.failureUpdated))/float64(failureTimeConstant))
}

// addOutcome moves the failure fraction towards outcome: 0 for a success, 1 for a failure.
func (h *health) addOutcome(outcome, weight float64, now time.Time) {
	h.failureFraction = h.ownFailureFraction(now)
	h.failureFraction += weight * (outcome - h.failureFraction)
	h.failureUpdated = now
}

// answered records an answer. It resets the length of the next suspension, but doesn't end one in force.
func (h *health) answered(failed bool, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	h.addOutcome(outcome, failureWeight, now)
	h.count(failed, now)
	h.misses, h.backoff, h.probing = 0, 0, false
}

// rejected records a request that the target did not run, for lack of capacity. It counts as an answer and, with a
// quarter of the usual weight, as a failure.
func (h *health) rejected(now time.Time) {
	h.answered(false, now)
	h.addOutcome(1, failureWeight/4, now)
}

// broken records a request whose connection broke. The target was reachable; it may have crashed, or lost this one answer.
func (h *health) broken(now time.Time) {
	h.addOutcome(1, 2*failureWeight, now)
	h.count(true, now)
	h.probing = false
}

// refused records a request that was not sent because the target closed a new connection, for lack of capacity.
func (h *health) refused(now time.Time) {
	h.addOutcome(1, failureWeight/4, now)
	h.probing = false
}

// unresponsive records a request for which the target was unreachable or unresponsive.
func (h *health) unresponsive(now time.Time) {
	h.addOutcome(1, 2*failureWeight, now)
	h.count(true, now)
	if h.misses++; h.misses == 1 {
		h.missedSince = now
	}
	h.probing = false
	if now.Before(h.suspendedUntil) {
		return // one fault fails many requests at once
	}
	h.backoff = min(max(2*h.backoff, minSuspension), maxSuspension)
	h.suspendedUntil = now.Add(h.backoff)
}
