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
	// smoothing is the weight of a new sample in a movingAverage.
	smoothing = 0.05
	// waitEstimateFactor scales the estimated wait before it is compared with the deadline. The error of the
	// estimate is as large as the spread of service times, and a wrong refusal costs more than a request
	// that expires in the queue.
	waitEstimateFactor = 0.7
	// minSamples is the number of samples from which on an average is used as an estimate.
	minSamples = 20
)

// gate bounds the requests outstanding for one model and queues those beyond the bound.
type gate struct {
	model   string
	limit   func(model string) int
	metrics *gateMetrics

	mu                sync.Mutex
	queue             *fairqueue.Queue
	outstanding       int
	tokens            map[string]int64 // charged tokens of waiting and outstanding requests, by organisation
	serviceSeconds    movingAverage    // time for which a request is outstanding
	firstTokenSeconds movingAverage    // time from admission to the first token
	waitMargin        router.WaitMargin
	timer             *time.Timer // calls admitWaiting; set by resetTimer
}

// movingAverage is the plain average of the first minSamples samples and an exponential one afterwards.
type movingAverage struct {
	value   float64
	samples int
}

func (a *movingAverage) add(x float64) {
	if a.samples++; a.samples <= minSamples {
		a.value += (x - a.value) / float64(a.samples)
		return
	}
	a.value += smoothing * (x - a.value)
}

// waiter is a request in the queue of a gate.
type waiter struct {
	entry    fairqueue.Entry
	result   chan error // receives one value; nil means admitted
	resolved bool       // result was sent; guarded by gate.mu
	queuedAt time.Time
}

// gateFor returns the gate of a base model and creates it if necessary.
func (f *Filter) gateFor(model string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.models[model]
	if g == nil {
		g = &gate{
			model: model, limit: f.cfg.OutstandingLimit, metrics: newGateMetrics(model),
			queue: fairqueue.New(f.cfg.MaxWaiting), tokens: map[string]int64{},
		}
		f.models[model] = g
	}
	return g
}

// checkDeadline refuses an exchange that would very likely miss its deadline, before it is charged or queued.
func (g *gate) checkDeadline(now time.Time, ex *pipeline.Exchange, weight int64) error {
	if ex.Deadline.IsZero() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Len() == 0 || g.serviceSeconds.samples < minSamples {
		return nil
	}
	ahead := g.queue.EstimateAhead(ex.Organisation, weight, ex.Deadline.UnixNano())
	wait := (ahead + 1) * g.serviceSeconds.value / float64(max(1, g.limit(g.model)))
	if g.firstTokenSeconds.samples >= minSamples {
		wait += g.firstTokenSeconds.value
	}
	if now.Add(time.Duration(waitEstimateFactor * wait * float64(time.Second))).After(ex.Deadline) {
		return deadlineUnreachable("too many requests wait for the model")
	}
	return nil
}

// enter returns nil once the exchange may go to an engine, or a refusal. An admitted exchange counts as
// outstanding until it finishes.
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
	w := &waiter{
		entry: fairqueue.Entry{
			Organisation: ex.Organisation, Weight: weight, Tokens: max(1, ex.Charge), Deadline: deadline,
		},
		result: make(chan error, 1), queuedAt: now,
	}
	w.entry.Value = w
	if dropped := g.queue.Push(&w.entry); dropped != nil {
		g.resolve(dropped.Value.(*waiter), queueFull(g.model))
	}
	g.admitWaiting(now)
	g.mu.Unlock()

	select {
	case err := <-w.result:
		return g.completeWait(ex, w, err)
	case <-ctx.Done():
	}
	g.mu.Lock()
	if !w.resolved {
		g.queue.Remove(&w.entry)
		g.resolve(w, deadlineUnreachable("the caller is gone"))
	}
	g.mu.Unlock()
	return g.completeWait(ex, w, <-w.result)
}

// completeWait ends the wait of w, which was admitted if err is nil.
func (g *gate) completeWait(ex *pipeline.Exchange, w *waiter, err error) error {
	now := time.Now()
	g.metrics.wait.Update(now.Sub(w.queuedAt).Seconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.removeTokens(ex.Organisation, ex.Charge)
		return err
	}
	g.outstanding-- // admitWaiting has counted the request already
	g.admit(ex, now)
	return nil
}

// admit counts the exchange as outstanding until it finishes. The caller holds g.mu.
func (g *gate) admit(ex *pipeline.Exchange, now time.Time) {
	g.outstanding++
	org, tokens := ex.Organisation, ex.Charge
	ex.OnFinish(func(out pipeline.Outcome) {
		end := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.outstanding--
		g.removeTokens(org, tokens)
		if out.Ran {
			g.serviceSeconds.add(end.Sub(now).Seconds())
			// The wait at this gate is left out: it would raise the estimate, so that more requests are refused.
			if first := ex.Start.Add(out.FirstToken).Sub(now); out.FirstToken > 0 && first > 0 {
				g.firstTokenSeconds.add(first.Seconds())
				g.waitMargin.Observe(!ex.Deadline.IsZero() && ex.Start.Add(out.FirstToken).After(ex.Deadline))
			}
		}
		g.admitWaiting(end)
	})
}

// removeTokens subtracts the tokens of a request that is no longer waiting or outstanding. The caller holds
// g.mu.
func (g *gate) removeTokens(organisation string, tokens int64) {
	if g.tokens[organisation] -= tokens; g.tokens[organisation] <= 0 {
		delete(g.tokens, organisation)
	}
}

// resolve admits the waiting request if err is nil and refuses it with err otherwise. The caller holds g.mu.
func (g *gate) resolve(w *waiter, err error) {
	w.resolved = true
	w.result <- err
}

// admitWaiting refuses expired requests and admits waiting ones up to the limit. The caller holds g.mu.
func (g *gate) admitWaiting(now time.Time) {
	for e := g.queue.PopExpired(now.UnixNano()); e != nil; e = g.queue.PopExpired(now.UnixNano()) {
		g.resolve(e.Value.(*waiter), deadlineUnreachable("it waited for the model until its deadline"))
	}
	limit := g.limit(g.model)
	for g.outstanding < limit {
		e := g.queue.Pop()
		if e == nil {
			break
		}
		if g.missesDeadline(now, e.Deadline) {
			g.resolve(e.Value.(*waiter), deadlineUnreachable("it waited too long for the model"))
			continue
		}
		g.outstanding++
		g.resolve(e.Value.(*waiter), nil)
	}
	g.metrics.waiting.Store(int64(g.queue.Len()))
	g.resetTimer(now)
}

// missesDeadline reports whether a request admitted now would very likely miss its deadline. Under overload,
// a request that uses an engine and misses its deadline takes engine time from the others. The caller holds
// g.mu.
func (g *gate) missesDeadline(now time.Time, deadline int64) bool {
	if deadline == math.MaxInt64 || g.firstTokenSeconds.samples < minSamples {
		return false
	}
	wait := g.waitMargin.Add(time.Duration(g.firstTokenSeconds.value * float64(time.Second)))
	return now.Add(wait).UnixNano() > deadline
}

// resetTimer sets the timer to the earliest deadline in the queue, but at most limitPollInterval ahead. The
// caller holds g.mu.
func (g *gate) resetTimer(now time.Time) {
	deadline, ok := g.queue.NextDeadline()
	if !ok {
		if g.timer != nil {
			g.timer.Stop()
		}
		return
	}
	// The limit depends on the placement, which changes without a call to the gate.
	wait := min(limitPollInterval, max(time.Millisecond, time.Unix(0, deadline).Sub(now)))
	if g.timer != nil {
		g.timer.Reset(wait)
		return
	}
	g.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admitWaiting(time.Now())
	})
}

// priority returns a value by which engines order requests as the fair queue does, lowest first: by the tokens
// that the organisation already has waiting or outstanding per weight, in powers of two, then by the time to
// the deadline. Both are relative values, so those of several gateways can be compared.
func priority(tokensPerWeight int64, slack time.Duration) int {
	const slackBits = 16
	level := bits.Len64(uint64(max(0, tokensPerWeight)) >> 10)
	ms := min(max(0, slack.Milliseconds()), 1<<slackBits-1)
	return level<<slackBits | int(ms)
}
