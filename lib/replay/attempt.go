package replay

import (
	"time"

	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/router"
)

// attempt is one attempt of an entry host to have a target answer a call.
type attempt struct {
	host            *entryHost
	call            *call
	engine          *fakeEngine
	number          int
	startedAt       time.Duration
	ended           bool
	hostIncarnation int // incarnation of the host at the start of the attempt; a crash of the host ends the attempt
}

// deliver submits the request to the engine, or retries the call if the target is down. It runs when the request
// reaches the target.
func (a *attempt) deliver() {
	s := a.host.sim
	if a.engine.down {
		s.clock.scheduleAfter(a.networkDelay(), func() { a.end(true); a.retry(true) })
		return
	}
	a.call.runs++
	a.engine.submit(&job{
		priority: s.enginePriority(a.call), model: a.call.baseModel,
		promptTokens: a.call.rec.PromptTokens, outputTokens: a.call.rec.OutputTokens,
		prefix: a.call.rec.Prefix, prefixTokens: a.call.rec.PrefixTokens,
		onFirstToken: func() { a.respond(a.onFirstToken) },
		onDone:       func(ok bool) { a.respond(func() { a.onDone(ok) }) },
	})
	s.clock.scheduleAfter(responseTimeout, a.checkResponseTimeout)
}

// enginePriority returns the priority of the call at an engine: its deadline if the policy has fair queues, else 0,
// so that engines serve calls in order of arrival.
func (s *sim) enginePriority(c *call) int64 {
	if !s.policy.fairQueues {
		return 0
	}
	return int64(c.deadline)
}

func (a *attempt) networkDelay() time.Duration {
	return a.host.sim.networkDelay(a.host.spec.Zone, a.engine.spec.Zone)
}

// respond runs fn at the host after the network delay, unless the attempt is over or the host has crashed. With
// cost-based routing, the engine's load follows as a report, later by the deployment's report lag.
func (a *attempt) respond(fn func()) {
	load, sent := a.engine.load(), a.host.sim.clock.absoluteTime()
	a.host.sim.clock.scheduleAfter(a.networkDelay(), func() {
		if a.call.attempt == a.number && !a.ended && a.hostIncarnation == a.host.incarnation {
			fn()
		}
	})
	if a.host.sim.policy.routing != routeCost {
		return
	}
	a.host.sim.clock.scheduleAfter(a.networkDelay()+millis(a.host.sim.deployment.ReportLagMS), func() {
		a.host.router.RecordLoad(a.engine.spec.ID, load, sent)
	})
}

func (a *attempt) onFirstToken() {
	a.call.firstTokenAt = a.host.sim.clock.now
	a.host.waitMargin.Observe(a.call.firstTokenAt > a.call.deadline)
	a.markPrefillDone()
	if a.host.sim.policy.routing == routeCentralQueue {
		a.host.sim.centralQueue.dispatch()
	}
}

func (a *attempt) onDone(ok bool) {
	a.end(!ok)
	if !ok {
		a.retry(false)
		return
	}
	c, s := a.call, a.host.sim
	c.finishedAt, c.over = s.clock.now, true
	if c.firstTokenAt < 0 {
		c.firstTokenAt = c.finishedAt // the target was unresponsive when the first token was due
	}
	a.host.refund(c, c.usedTokens())
	s.dispatchAfterAttempt(a.host)
}

// markPrefillDone tells the router that the target has finished the prefill of the prompt.
func (a *attempt) markPrefillDone() {
	if a.host.sim.policy.routing != routeCost {
		return
	}
	if t := a.host.router.Target(a.engine.spec.ID); t != nil {
		t.FirstToken(&a.call.route)
	}
}

// end ends the attempt, reports its result to the host's router and excludes the target from further attempts of
// the call. Ending an ended attempt has no effect.
func (a *attempt) end(failed bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.hostIncarnation != a.host.incarnation {
		return
	}
	a.host.outstanding[a.engine]--
	a.markPrefillDone()
	if t := a.host.router.Target(a.engine.spec.ID); t != nil && a.host.sim.policy.routing == routeCost {
		t.Done(a.host.sim.clock.absoluteTime(), router.Result{Failed: failed, Duration: a.host.sim.clock.now - a.startedAt})
		a.call.route.Exclude(t)
	}
}

// retry enqueues the call again, or refuses it. It refuses calls past their deadline, and calls that may have run if
// they are not idempotent or have returned a token. Without fair queues there is one retry, as in a plain balancer.
func (a *attempt) retry(notRun bool) {
	c, s := a.call, a.host.sim
	late := s.clock.now >= c.deadline
	switch {
	case a.host.down:
	case notRun && late:
		a.host.giveUp(c, refusal.DeadlineUnreachable)
	case !notRun && (c.rec.NonIdempotent || c.firstTokenAt >= 0 || late):
		c.refuse(refusal.TargetFailed)
	case !s.policy.fairQueues && c.attempt > 1:
		c.refuse(refusal.TargetFailed)
	default:
		a.host.enqueue(c)
	}
	s.dispatchAfterAttempt(a.host)
}

// checkResponseTimeout ends and retries the attempt if its target is unresponsive.
func (a *attempt) checkResponseTimeout() {
	if a.ended || a.call.attempt != a.number || a.host.down || !a.engine.unresponsive {
		return
	}
	a.end(true)
	a.retry(false)
}

// dispatchAfterAttempt dispatches waiting calls after an attempt of h has freed capacity at a target.
func (s *sim) dispatchAfterAttempt(h *entryHost) {
	if s.policy.routing == routeCentralQueue {
		s.centralQueue.dispatch()
		return
	}
	h.dispatch()
}
