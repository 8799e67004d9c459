package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/hostqueue"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// roomDelay is the time from the first sign of room until the queue is looked at: answers of several requests come together.
	roomDelay = 2 * time.Millisecond
	// queueTick is the interval at which requests that wait are looked at for what time alone decides: that they are late, or have
	// waited too long.
	queueTick = 50 * time.Millisecond
	// shortWait is the time by which a stated time has to be below the usual one to count as that of a caller that comes back.
	shortWait = 100 * time.Millisecond
	// maxShortFraction is the fraction of short times, while nothing is refused, up to which a short one shows that its caller comes back.
	maxShortFraction = 0.1
	// shortWeight is the weight of the newest request in that fraction.
	shortWeight = 0.01
	// calmTime is the time after a refusal in which callers may come back.
	calmTime = 10 * time.Second
)

// errDrained ends the wait of a request at a host that stops.
var errDrained = errors.New("relay: the host stops; send the request to another one")

// admission has requests wait at the host while targets are full.
type admission struct {
	cfg   *Config
	queue *hostqueue.Queue

	waiting atomic.Int64 // requests in the queue
	woken   atomic.Bool  // advance is about to be called
	ticking atomic.Bool

	mu      sync.Mutex
	pending map[*hostqueue.Request]*queued // guarded by mu; requests that are not decided on
	waits   map[string]*statedWaits        // guarded by mu; by route
	refused time.Time                      // guarded by mu; the latest refusal
}

// queued is a request that has entered the queue.
type queued struct {
	req     *hostqueue.Request
	decided chan struct{}
	began   time.Time // of the wait
}

func newAdmission(cfg *Config) *admission {
	a := &admission{
		cfg: cfg, queue: hostqueue.New(cfg.Balancer, cfg.Random), pending: map[*hostqueue.Request]*queued{}, waits: map[string]*statedWaits{},
	}
	cfg.Balancer.OnRoom(func(string) { a.wake() })
	return a
}

// wake has the queue looked at shortly. It is called under the lock of the balancer.
func (a *admission) wake() {
	if a.waiting.Load() > 0 && !a.woken.Swap(true) {
		time.AfterFunc(roomDelay, func() {
			a.woken.Store(false)
			a.apply(a.queue.Advance(time.Now()))
		})
	}
}

// tick looks at the queue at intervals while requests wait.
func (a *admission) tick() {
	if !a.ticking.Swap(true) {
		time.AfterFunc(queueTick, func() {
			a.ticking.Store(false)
			if _, stops := a.cfg.Stop.Schedule(); stops {
				a.apply(a.queue.Drain(errDrained))
			} else {
				a.apply(a.queue.Advance(time.Now()))
			}
			if a.waiting.Load() > 0 {
				a.tick()
			}
		})
	}
}

// apply tells the requests that are decided on.
func (a *admission) apply(decided []*hostqueue.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, req := range decided {
		if errors.Is(req.Err, hostqueue.ErrRefused) {
			a.refused = time.Now()
		}
		if q := a.pending[req]; q != nil {
			delete(a.pending, req)
			a.waiting.Add(-1)
			close(q.decided)
		}
	}
}

// enter adds a request to the queue. q.decided is closed once it is decided on.
func (a *admission) enter(q *queued) {
	q.decided = make(chan struct{})
	a.mu.Lock()
	a.pending[q.req] = q
	a.mu.Unlock()
	a.waiting.Add(1)
	a.apply(a.queue.Enter(q.req, time.Now()))
}

// statedWaits are the times that the callers of a route state that they wait.
type statedWaits struct {
	usual         time.Duration // the longest
	shortFraction float64       // fraction of times that are below it, while nothing is refused
}

// elapsed returns the time since the caller has first sent a request, as far as it shows: where callers usually state the same time to
// wait, one that states less comes back after a refusal.
func (a *admission) elapsed(route string, wait time.Duration, now time.Time) time.Duration {
	if wait <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.waits[route]
	if w == nil {
		if len(a.waits) >= maxDurations {
			clear(a.waits)
		}
		w = &statedWaits{shortFraction: 1}
		a.waits[route] = w
	}
	w.usual = max(w.usual, wait)
	short := wait < w.usual-shortWait
	if now.Sub(a.refused) > calmTime {
		w.shortFraction *= 1 - shortWeight
		if short {
			w.shortFraction += shortWeight
		}
	}
	if !short || w.shortFraction > maxShortFraction {
		return 0
	}
	return w.usual - wait
}

// pickOrWait picks a target, after a wait in the queue of the host if it has one. A request that has been sent before does not wait: it
// has had its turn.
func (r *request) pickOrWait(w *wait, q balance.Query) (*balance.Choice, error) {
	_, stops := r.cfg.Stop.Schedule()
	if r.admission == nil || stops || r.state.NextIsRetry() || r.streaming || len(r.tried) > 0 {
		return r.cfg.Balancer.Pick(q, time.Now())
	}
	now := time.Now()
	if w.queued == nil {
		q.Priority = r.ex.Priority
		w.queued = &queued{req: &hostqueue.Request{
			Query: q, Organisation: r.ex.Organisation, Tokens: r.call.Tokens(), Objective: r.route.Objective, Arrived: r.ex.Start,
			Elapsed: r.admission.elapsed(r.route.Name, r.call.Wait, now), Latest: w.latest,
		}, began: now}
	}
	req := w.queued.req
	r.admission.enter(w.queued)
	select {
	case <-w.queued.decided:
	default:
		r.waitForRoom(w.queued)
	}
	if err := r.ctx.Err(); err != nil && req.Choice != nil {
		req.Choice.Unsent()
		req.Choice.Abandoned()
		return nil, err
	}
	if waited := time.Since(w.queued.began); waited > roomDelay || errors.Is(req.Err, hostqueue.ErrRefused) {
		r.logAdmission(w.queued, waited)
	}
	return req.Choice, req.Err
}

// waitForRoom waits until the request is decided on, or its caller has left.
func (r *request) waitForRoom(q *queued) {
	a := r.admission
	gauge := r.waitingGauge()
	gauge.Inc()
	defer gauge.Dec()
	a.tick()
	select {
	case <-q.decided:
	case <-r.ctx.Done():
		if a.queue.Leave(q.req) {
			q.req.Err = r.ctx.Err()
			a.apply([]*hostqueue.Request{q.req})
		}
		<-q.decided
	}
}

// logAdmission logs and counts a request that has waited or was refused, with the figures that decided.
func (r *request) logAdmission(q *queued, waited time.Duration) {
	outcome := "sent"
	attrs := []slog.Attr{
		slog.String("request_id", r.ex.ID), slog.String("route", r.route.Name), slog.String("model", r.call.Model),
		slog.String("organisation", r.ex.Organisation), slog.Int("priority", r.ex.Priority), slog.Float64("waited_ms", milliseconds(waited)),
		slog.Float64("elapsed_ms", milliseconds(q.req.Elapsed)), slog.Float64("rank", q.req.Rank),
	}
	if refused := (*hostqueue.RefusedError)(nil); errors.As(q.req.Err, &refused) {
		outcome = "refused"
		attrs = append(attrs, slog.String("reason", refused.Reason), slog.Float64("sent", refused.Sent),
			slog.Float64("start_in_ms", milliseconds(refused.StartIn)), slog.Float64("room_in_ms", milliseconds(refused.RoomIn)),
			slog.Float64("left_ms", milliseconds(refused.Left)), slog.Int("waiting", refused.Waiting))
		r.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_host_refused_total{reason=%q,priority="%d"}`, refused.Reason, r.ex.Priority)).Inc()
	} else if q.req.Err != nil {
		outcome = "not_sent"
		attrs = append(attrs, slog.String("error", q.req.Err.Error()))
	}
	r.cfg.Metrics.GetOrCreateHistogram(`cuminhook_host_wait_seconds{outcome="` + outcome + `"}`).Update(waited.Seconds())
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "admission", append(attrs, slog.String("outcome", outcome))...)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// waitingGauge returns the number of requests of the request's route and organisation that wait.
func (r *request) waitingGauge() *metrics.Gauge {
	return r.cfg.Metrics.GetOrCreateGauge(fmt.Sprintf(`cuminhook_host_waiting{route=%q,organisation=%q}`, r.route.Name, r.ex.Organisation), nil)
}

// refuseFull refuses a request that the targets are not expected to begin in time.
func (r *request) refuseFull(refused *hostqueue.RefusedError) error {
	reason := refusal.DeadlineUnreachable
	if refused.Reason == hostqueue.ReasonQueue {
		reason = refusal.QueueFull
	}
	after := refused.RetryAfter(r.cfg.Random())
	if patience := r.route.Patience; patience > 0 {
		after = min(after, max(0, time.Until(r.ex.Start.Add(patience)))/retryAfterDivisor)
	}
	return r.fail(reason, after)
}
