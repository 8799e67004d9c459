package replay

import (
	"time"

	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/router"
)

// attempt is one try of a call at a target.
type attempt struct {
	h      *entryHost
	c      *call
	e      *fakeEngine
	number int
	began  time.Duration
	ended  bool
	life   int // of the host
}

// arrive is the arrival of the request at the target.
func (a *attempt) arrive() {
	s := a.h.s
	if a.e.down {
		s.clk.after(a.delay(), func() { a.end(true); a.again(true) })
		return
	}
	a.c.runs++
	a.e.submit(&job{
		priority: s.priority(a.c), model: a.c.base, prompt: a.c.rec.Prompt, output: a.c.rec.Output,
		prefix: a.c.rec.Prefix, shared: a.c.rec.PrefixTokens,
		first: func() { a.answer(a.firstToken) },
		done:  func(ok bool) { a.answer(func() { a.done(ok) }) },
	})
	s.clk.after(silentAfter, a.checkSilent)
}

// priority gives engines the order of deadlines where the policy has one.
func (s *sim) priority(c *call) int64 {
	if !s.policy.fair {
		return 0
	}
	return int64(c.deadline)
}

func (a *attempt) delay() time.Duration { return a.h.s.delay(a.h.spec.Zone, a.e.spec.Zone) }

// answer runs fn at the host after the way back, unless the attempt is over.
func (a *attempt) answer(fn func()) {
	load, sent := a.e.load(), a.h.s.clk.time()
	a.h.s.clk.after(a.delay(), func() {
		if a.c.attempt == a.number && !a.ended && a.life == a.h.life {
			fn()
		}
	})
	if a.h.s.policy.routing != routeCost {
		return
	}
	a.h.s.clk.after(a.delay()+millis(a.h.s.d.ReportLagMS), func() { a.h.router.RecordLoad(a.e.spec.ID, load, sent) })
}

func (a *attempt) firstToken() {
	a.c.first = a.h.s.clk.now
	a.h.caution.Observe(a.c.first > a.c.deadline)
	a.started()
	if a.h.s.policy.routing == routeCentral {
		a.h.s.central.pump()
	}
}

func (a *attempt) done(ok bool) {
	a.end(!ok)
	if !ok {
		a.again(false)
		return
	}
	c, s := a.c, a.h.s
	c.finished, c.over = s.clk.now, true
	if c.first < 0 {
		c.first = c.finished // the stream was silent and was resumed
	}
	a.h.refund(c, c.used())
	s.afterAttempt(a.h)
}

// started tells the router that the prompt is filled.
func (a *attempt) started() {
	if a.h.s.policy.routing != routeCost {
		return
	}
	if t := a.h.router.Target(a.e.spec.ID); t != nil {
		t.FirstToken(&a.c.route)
	}
}

// end closes the attempt at the host's router.
func (a *attempt) end(failed bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.life != a.h.life {
		return
	}
	a.h.own[a.e]--
	a.started()
	if t := a.h.router.Target(a.e.spec.ID); t != nil && a.h.s.policy.routing == routeCost {
		t.Done(a.h.s.clk.time(), router.Result{Failed: failed, Duration: a.h.s.clk.now - a.began})
		a.c.route.Exclude(t)
	}
}

// again retries the call if that is allowed. Without fair queues there is one retry, as in a plain balancer.
func (a *attempt) again(notRun bool) {
	c, s := a.c, a.h.s
	late := s.clk.now >= c.deadline
	switch {
	case a.h.down:
	case notRun && late:
		a.h.giveUp(c, refusal.DeadlineUnreachable)
	case !notRun && (c.rec.NotRepeat || c.first >= 0 || late):
		c.refuse(refusal.TargetFailed)
	case !s.policy.fair && c.attempt > 1:
		c.refuse(refusal.TargetFailed)
	default:
		a.h.enqueue(c)
	}
	s.afterAttempt(a.h)
}

// checkSilent ends an attempt at a target that no longer answers.
func (a *attempt) checkSilent() {
	if a.ended || a.c.attempt != a.number || a.h.down || !a.e.silent {
		return
	}
	a.end(true)
	a.again(false)
}

// afterAttempt sends what waits for the freed target.
func (s *sim) afterAttempt(h *entryHost) {
	if s.policy.routing == routeCentral {
		s.central.pump()
		return
	}
	h.pump()
}
