package relay

import (
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/catalog"
)

const (
	// silenceFactor times the route's objective is the time without an answer after which a target may count as silent.
	silenceFactor = 3
	// expectedFactor times the time that an attempt is expected to take is the least such time.
	expectedFactor = 2
	// minSilence is the shortest silence and stall timeout. A restarting target is unresponsive for longer.
	minSilence = 300 * time.Millisecond
	// silenceChecks is how often a target's silence is judged again in the time of the first judgement.
	silenceChecks = 8
)

// silenceTimeout returns the time without an answer after which a target may count as silent. The header of an answer that is not a
// stream arrives when the target has completed it.
func (r *request) silenceTimeout(choice *balance.Choice) time.Duration {
	expected := choice.ExpectedFirstEvent
	if r.route.Kind != catalog.Stream {
		whole, _ := r.durations.expected(r.route.Name)
		expected = max(expected, whole)
	}
	return max(minSilence, silenceFactor*r.route.Objective, expectedFactor*expected)
}

// watchSilence gives up the attempt if its target is silent and the next attempt is certain to be made. Otherwise the attempt lasts
// until the deadline of the request: a busy target answers late, and nothing is gained by a request that ends without an answer. The
// caller calls stop at the end of the attempt.
func (r *request) watchSilence(t *try) (stop func()) {
	if !r.state.Repeatable || r.route.MaxAttempts < 2 {
		return func() {}
	}
	after := r.silenceTimeout(t.choice)
	var mu sync.Mutex
	var timer *time.Timer
	ended, denied := false, false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(after, func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		now := time.Now()
		if t.choice.Silent(t.sentAt, after, now) {
			choice, allowed := r.reserve(now)
			if choice != nil {
				r.reserved = choice
				t.timeOut()
				return
			}
			if !allowed && !denied {
				denied = true
				r.retryCounter("denied").Inc()
			}
			t.choice.Overdue(now)
		}
		timer.Reset(after / silenceChecks)
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
	}
}

// reserve chooses the target of the next attempt and charges its retry, while the present attempt still runs. It returns nil if that
// attempt is not allowed, or no other target has room for it; allowed is false if the retry budget forbids it.
func (r *request) reserve(now time.Time) (choice *balance.Choice, allowed bool) {
	if r.quarantined(now) != nil || r.ctx.Err() != nil || !r.state.MayFollow() {
		return nil, true
	}
	if !r.cfg.Retries.Allow(r.service) {
		return nil, false
	}
	choice, err := r.cfg.Balancer.Pick(balance.Query{
		Service: r.service, Call: r.call, Tried: r.tried, Wanted: map[string]bool{}, UsualRate: r.cfg.Demand.UsualRate(r.call.Model, now),
		Regions: r.regions, Version: r.version,
	}, now)
	if err != nil {
		r.cfg.Retries.Return(r.service)
		return nil, true
	}
	if !choice.HasRoom(r.route.Objective) || r.tooLateToSend(choice, now) {
		choice.Unsent()
		choice.Abandoned()
		r.cfg.Retries.Return(r.service)
		return nil, true
	}
	return choice, true
}

// nextChoice returns the target that is reserved for the next attempt, or picks one.
func (r *request) nextChoice() (*balance.Choice, error) {
	if choice := r.reserved; choice != nil {
		r.reserved = nil
		return choice, nil
	}
	return r.pick()
}

// releaseReserved releases a target that was reserved for an attempt that does not follow.
func (r *request) releaseReserved() {
	if choice := r.reserved; choice != nil {
		r.reserved = nil
		choice.Unsent()
		choice.Abandoned()
		r.cfg.Retries.Return(r.service)
	}
}

// timeOut cancels an attempt that is given up.
func (t *try) timeOut() {
	if !t.timedOut.Swap(true) {
		t.givenUp.Inc()
	}
	t.cancel()
}
