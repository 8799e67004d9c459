package admission

import (
	"context"
	"math"
	"math/bits"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/fairqueue"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/router"
)

const (
	// smoothing is the weight of a new sample in the averages.
	smoothing = 0.05
	// optimism scales the estimated wait before it is compared with the deadline. The estimate errs by
	// the spread of service times, and a wrong refusal costs more than a request that expires in the
	// queue.
	optimism = 0.7
	// minSamples is the number of finished requests before estimates are used.
	minSamples = 20
)

// gate bounds the requests outstanding for one model.
type gate struct {
	model string
	limit func(model string) int
	met   *gateMetrics

	mu          sync.Mutex
	queue       *fairqueue.Queue
	outstanding int
	tokens      map[string]int64 // waiting and outstanding, by organisation
	hold        average          // seconds a request occupies its place
	first       average          // seconds from admission to the first token
	caution     router.Caution
	timer       *time.Timer // expires waiting requests
}

type average struct {
	value float64
	n     int
}

func (a *average) add(x float64) {
	if a.n++; a.n <= minSamples {
		a.value += (x - a.value) / float64(a.n)
		return
	}
	a.value += smoothing * (x - a.value)
}

// waiter is the state of one request at a gate.
type waiter struct {
	entry   fairqueue.Entry
	ready   chan error // receives once; nil admits
	decided bool       // admitted or dropped; guarded by gate.mu
	since   time.Time
}

func (f *Filter) gate(model string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.models[model]
	if g == nil {
		g = &gate{
			model: model, limit: f.cfg.Limit, met: newGateMetrics(model),
			queue: fairqueue.New(f.cfg.Waiting), tokens: map[string]int64{},
		}
		f.models[model] = g
	}
	return g
}

// reachable refuses an exchange that would very likely miss its deadline, before it uses anything.
func (g *gate) reachable(now time.Time, ex *pipeline.Exchange, weight int64) error {
	if ex.Deadline.IsZero() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Len() == 0 || g.hold.n < minSamples {
		return nil
	}
	ahead := g.queue.Ahead(ex.Organisation, weight, ex.Deadline.UnixNano())
	wait := (ahead + 1) * g.hold.value / float64(max(1, g.limit(g.model)))
	if g.first.n >= minSamples {
		wait += g.first.value
	}
	if now.Add(time.Duration(optimism * wait * float64(time.Second))).After(ex.Deadline) {
		return unreachable("too many requests wait for the model")
	}
	return nil
}

// enter returns once the exchange may go to an engine. Its place is freed when it finishes.
func (g *gate) enter(ctx context.Context, ex *pipeline.Exchange, weight int64) error {
	deadline := int64(math.MaxInt64)
	if !ex.Deadline.IsZero() {
		deadline = ex.Deadline.UnixNano()
	}
	now := time.Now()
	g.mu.Lock()
	ex.Priority = priority(g.tokens[ex.Organisation]/weight, time.Unix(0, deadline).Sub(now))
	g.tokens[ex.Organisation] += ex.Charge
	if g.queue.Len() == 0 && g.outstanding < g.limit(g.model) {
		g.admit(ex, now)
		g.mu.Unlock()
		return nil
	}
	t := &waiter{
		entry: fairqueue.Entry{
			Organisation: ex.Organisation, Weight: weight, Tokens: max(1, ex.Charge), Deadline: deadline,
		},
		ready: make(chan error, 1), since: now,
	}
	t.entry.Value = t
	if dropped := g.queue.Push(&t.entry); dropped != nil {
		g.decide(dropped.Value.(*waiter), queueFull(g.model))
	}
	g.pump(now)
	g.mu.Unlock()

	select {
	case err := <-t.ready:
		return g.leave(ex, t, err)
	case <-ctx.Done():
	}
	g.mu.Lock()
	if !t.decided {
		g.queue.Remove(&t.entry)
		g.decide(t, unreachable("the caller is gone"))
	}
	g.mu.Unlock()
	return g.leave(ex, t, <-t.ready)
}

// leave completes the wait of t, which was admitted if err is nil.
func (g *gate) leave(ex *pipeline.Exchange, t *waiter, err error) error {
	now := time.Now()
	g.met.wait.Update(now.Sub(t.since).Seconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.subtract(ex.Organisation, ex.Charge)
		return err
	}
	g.outstanding-- // pump reserved the place
	g.admit(ex, now)
	return nil
}

// admit counts the exchange as outstanding until it finishes. Callers hold g.mu.
func (g *gate) admit(ex *pipeline.Exchange, now time.Time) {
	g.outstanding++
	org, tokens := ex.Organisation, ex.Charge
	ex.OnFinish(func(out pipeline.Outcome) {
		end := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.outstanding--
		g.subtract(org, tokens)
		if out.Ran {
			g.hold.add(end.Sub(now).Seconds())
			// The wait at this gate is not part of it: it would raise the estimate, which refuses more.
			if first := ex.Start.Add(out.FirstToken).Sub(now); out.FirstToken > 0 && first > 0 {
				g.first.add(first.Seconds())
				g.caution.Observe(!ex.Deadline.IsZero() && ex.Start.Add(out.FirstToken).After(ex.Deadline))
			}
		}
		g.pump(end)
	})
}

// subtract removes tokens of a request that no longer waits or is outstanding. Callers hold g.mu.
func (g *gate) subtract(organisation string, tokens int64) {
	if g.tokens[organisation] -= tokens; g.tokens[organisation] <= 0 {
		delete(g.tokens, organisation)
	}
}

// decide tells the waiting request its outcome. Callers hold g.mu.
func (g *gate) decide(t *waiter, err error) {
	t.decided = true
	t.ready <- err
}

// pump drops expired requests and admits waiting ones while there is room. Callers hold g.mu.
func (g *gate) pump(now time.Time) {
	for e := g.queue.Expired(now.UnixNano()); e != nil; e = g.queue.Expired(now.UnixNano()) {
		g.decide(e.Value.(*waiter), unreachable("it waited for the model until its deadline"))
	}
	limit := g.limit(g.model)
	for g.outstanding < limit {
		e := g.queue.Pop()
		if e == nil {
			break
		}
		if g.late(now, e.Deadline) {
			g.decide(e.Value.(*waiter), unreachable("it waited too long for the model"))
			continue
		}
		g.outstanding++
		g.decide(e.Value.(*waiter), nil)
	}
	g.met.waiting.Store(int64(g.queue.Len()))
	g.arm(now)
}

// late reports whether a request admitted now would very likely miss its deadline. Under overload, requests that use
// an engine and still miss leave less for the others. Callers hold g.mu.
func (g *gate) late(now time.Time, deadline int64) bool {
	if deadline == math.MaxInt64 || g.first.n < minSamples {
		return false
	}
	wait := g.caution.Judge(time.Duration(g.first.value * float64(time.Second)))
	return now.Add(wait).UnixNano() > deadline
}

// arm sets the timer for the earliest deadline, and for a change of the limit. Callers hold g.mu.
func (g *gate) arm(now time.Time) {
	deadline, ok := g.queue.NextDeadline()
	if !ok {
		if g.timer != nil {
			g.timer.Stop()
		}
		return
	}
	// The limit follows the placement, which changes without a call to the gate.
	wait := min(limitPoll, max(time.Millisecond, time.Unix(0, deadline).Sub(now)))
	if g.timer != nil {
		g.timer.Reset(wait)
		return
	}
	g.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pump(time.Now())
	})
}

// priority orders requests at the engine as the fair queue does: first by what the organisation already
// has waiting or outstanding for its weight, in powers of two, then by time to the deadline. Both are
// relative, so values of several gateways can be compared.
func priority(tokensPerWeight int64, slack time.Duration) int {
	const slackBits = 16
	level := bits.Len64(uint64(max(0, tokensPerWeight)) >> 10)
	ms := min(max(0, slack.Milliseconds()), 1<<slackBits-1)
	return level<<slackBits | int(ms)
}
