// Package relay is the filter that sends requests unchanged to targets and passes the answers on.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/attempt"
	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/passage"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/workload"
)

const (
	// silenceFactor is the multiple of a route's objective after which an idempotent request is sent to another target.
	silenceFactor = 3
	// minSilence bounds it from below; a target that restarts answers nothing for longer.
	minSilence = 300 * time.Millisecond
	// holdShare is the part of the objective for which a request waits for a target to appear.
	holdShare = 8
	// pollTime is the time between two looks for a target while a request waits.
	pollTime = 15 * time.Millisecond
	// adapterWait bounds the wait for an adapter to be loaded.
	adapterWait = 400 * time.Millisecond
	// loadRetry is stated when a model has to be loaded first; a load from the weight store takes 1 to 4 s.
	loadRetry = 1500 * time.Millisecond
	// busyRetry is stated when targets exist and did not take the request.
	busyRetry = 500 * time.Millisecond
	// retryPart is the part of a caller's remaining time up to which a Retry-After is of use to it.
	retryPart = 3
)

// Adapters has adapters loaded.
type Adapters interface {
	// Ensure returns when a target holds the adapter, or with an error.
	Ensure(ctx context.Context, service, model, adapter string) error
}

// Config are the settings of the filter.
type Config struct {
	Door     passage.Door
	Client   *forward.Client
	Book     *balance.Book
	Retries  *retry.Budget
	Adapters Adapters        // nil: adapters are not loaded on request
	Demand   *workload.Meter // counts what is asked for
	Log      *slog.Logger
	Set      *metrics.Set
	Random   func() float64 // uniform in [0, 1); nil: the default source
}

type filter struct {
	cfg     Config
	repeats func(reason string) *metrics.Counter
	first   *metrics.Histogram
}

// New returns the filter. It is the last one.
func New(cfg Config) pipeline.Handler {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &filter{
		cfg: cfg,
		repeats: func(reason string) *metrics.Counter {
			return cfg.Set.GetOrCreateCounter(`cuminhook_repeats_total{reason="` + reason + `"}`)
		},
		first: cfg.Set.GetOrCreateHistogram("cuminhook_first_byte_seconds"),
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	ctx, cancel := context.WithDeadline(ctx, ex.AnswerBy)
	r := &request{
		filter: f, ex: ex, ctx: ctx, route: ex.Matched, call: ex.Call,
		service: ex.Matched.ServiceOf(f.cfg.Random()),
		state:   attempt.State{Repeatable: ex.Matched.Repeatable(), MaxRuns: ex.Matched.MaxAttempts},
	}
	f.cfg.Retries.Request(r.service)
	if r.call.Model != "" {
		f.cfg.Demand.Add(r.call, ex.Start)
	}
	ex.OnFinish(func(pipeline.Outcome) { cancel() })
	return r.run()
}

// request is one request on its way through its attempts.
type request struct {
	*filter
	ex      *pipeline.Exchange
	ctx     context.Context
	route   *catalog.Route
	call    *passage.Call
	service string
	state   attempt.State
	tried   []string
	failure *try   // an answered failure that is passed on unless another target does better
	last    string // id of the last event passed on
}

// try is one attempt.
type try struct {
	choice  *balance.Choice
	answer  *forward.Answer
	body    []byte // of an answer that was read whole
	stream  bool   // the body has not been read
	outcome forward.Outcome
	err     error
	cancel  context.CancelFunc
	silent  atomic.Bool // the target was silent for too long
}

// lost records at the book that the attempt ended without a complete answer.
func (r *request) lost(t *try, now time.Time) {
	switch {
	case r.ctx.Err() != nil:
		t.choice.Abandoned()
	case t.outcome == forward.NotSent || t.silent.Load():
		t.choice.Silent(now)
	default:
		t.choice.Broken(now)
	}
}

func (r *request) run() error {
	for {
		choice, err := r.pick()
		if err != nil {
			return r.noTarget(err)
		}
		t := r.attempt(choice)
		r.logTry(t)
		if t.outcome == forward.Answered && !r.worthRepeating(t) {
			return r.deliver(t)
		}
		if t.outcome == forward.Answered {
			r.failure = t
		}
		if r.ctx.Err() != nil || !r.again(t) {
			return r.giveUp(refusal.TargetFailed, busyRetry)
		}
	}
}

// worthRepeating reports whether an answered failure may be replaced by another target's answer.
func (r *request) worthRepeating(t *try) bool {
	return !t.stream && t.answer.Header.StatusCode() >= fasthttp.StatusInternalServerError && r.state.Repeatable
}

// again reports whether another attempt follows, and pays for it.
func (r *request) again(t *try) bool {
	if !r.state.Again() {
		return false
	}
	if r.state.Repeats() && !r.cfg.Retries.Allow(r.service) {
		r.repeats("denied").Inc()
		return false
	}
	r.repeats(t.outcome.String()).Inc()
	return true
}

// pick chooses a target. It waits a little for one to appear, and for an adapter to be loaded.
func (r *request) pick() (*balance.Choice, error) {
	until := time.Now().Add(r.route.Objective / holdShare)
	ensured := false
	for {
		choice, err := r.cfg.Book.Pick(balance.Query{Service: r.service, Call: r.call, Tried: r.tried}, time.Now())
		if err == nil {
			return choice, nil
		}
		if r.ctx.Err() != nil {
			return nil, r.ctx.Err()
		}
		if r.state.Repeatable && r.state.MayHaveRun() && len(r.tried) > 0 {
			r.tried = nil // the only target may have lost just one answer
			continue
		}
		if errors.Is(err, balance.ErrNoAdapter) && !ensured && r.cfg.Adapters != nil {
			ensured = true
			if r.ensure() == nil {
				until = time.Now().Add(r.route.Objective / holdShare)
				continue
			}
		}
		if time.Now().After(until) {
			return nil, err
		}
		select {
		case <-time.After(pollTime):
		case <-r.ctx.Done():
		}
	}
}

func (r *request) ensure() error {
	ctx, cancel := context.WithTimeout(r.ctx, adapterWait)
	defer cancel()
	err := r.cfg.Adapters.Ensure(ctx, r.service, r.call.Model, r.call.Adapter)
	if err != nil {
		r.cfg.Log.Warn("adapter not loaded", "request_id", r.ex.ID, "model", r.call.Model, "adapter", r.call.Adapter, "error", err.Error())
	}
	return err
}

// noTarget refuses a request for which there is no target to try, or no further one.
func (r *request) noTarget(err error) error {
	reason, after := refusal.NoTarget, busyRetry
	if errors.Is(err, balance.ErrNoModel) {
		after = loadRetry
	}
	if r.state.MayHaveRun() {
		reason = refusal.TargetFailed
	}
	r.cfg.Log.Info("no target", "request_id", r.ex.ID, "service", r.service, "model", r.call.Model,
		"adapter", r.call.Adapter, "tried", len(r.tried), "reason", err.Error())
	return r.giveUp(reason, after)
}

func (r *request) giveUp(reason refusal.Reason, after time.Duration) error {
	if r.failure != nil {
		return r.deliver(r.failure)
	}
	timedOut := errors.Is(r.ctx.Err(), context.DeadlineExceeded)
	if errors.Is(context.Cause(r.ctx), pipeline.ErrCallerGone) {
		reason = refusal.CallerGone
	}
	after = min(after, time.Until(r.ex.AnswerBy)/retryPart)
	return r.state.GiveUp(reason, timedOut, after)
}

// attempt sends the request to the target chosen.
func (r *request) attempt(choice *balance.Choice) *try {
	t := &try{choice: choice}
	r.tried = append(r.tried, choice.Target.ID)
	ctx := r.ctx
	ctx, t.cancel = context.WithCancel(ctx)
	if silence := r.silence(choice); silence > 0 {
		timer := time.AfterFunc(silence, t.giveUp)
		defer timer.Stop()
	}
	h := &r.ex.HTTP.Request.Header
	head := r.cfg.Door.AppendHead(nil, h, passage.Attempt{
		Instance: choice.Target.ID, Left: time.Until(r.ex.AnswerBy), Organisation: r.ex.Organisation,
		Priority: r.enginePriority(), LastEvent: r.last,
	})
	t.answer, t.outcome, t.err = r.cfg.Client.Do(ctx, &forward.Request{
		Addr: choice.Target.Addr, ID: r.call.ID, Head: head, Method: string(h.Method()),
		Body: r.ex.HTTP.Request.Body(), Fresh: r.route.Kind == catalog.NonIdempotent,
	})
	r.settle(t)
	r.state.Record(t.outcome)
	return t
}

// giveUp ends an attempt at a target that is silent.
func (t *try) giveUp() {
	t.silent.Store(true)
	t.cancel()
}

// silence is the time after which an attempt is given up for another one; zero: it is waited for.
func (r *request) silence(choice *balance.Choice) time.Duration {
	if !r.state.Repeatable || r.route.MaxAttempts < 2 {
		return 0
	}
	return max(minSilence, silenceFactor*r.route.Objective, 2*choice.Expected)
}

// Priorities at the engine: 0 to 9, 0 first.
const (
	priorityBase  = 3
	priorityStep  = 2
	priorityLimit = 9
)

func (r *request) enginePriority() int {
	if r.call.Model == "" {
		return -1
	}
	return min(priorityLimit, priorityBase+priorityStep*r.ex.Priority)
}

// settle reads whole answers and records at the book how the attempt ended. A stream goes on.
func (r *request) settle(t *try) {
	now := time.Now()
	switch t.outcome {
	case forward.NotSent, forward.Unknown:
		t.cancel()
		r.lost(t, now)
		return
	case forward.NotRun:
		r.rejected(t, now)
		return
	}
	status := t.answer.Header.StatusCode()
	if r.route.Kind == catalog.Stream && status == fasthttp.StatusOK {
		t.stream = true
		return
	}
	t.body, t.err = t.answer.Whole()
	t.cancel()
	if t.err == nil {
		t.choice.Answered(status >= fasthttp.StatusInternalServerError, now)
		return
	}
	t.outcome = forward.Unknown
	r.lost(t, now)
}

func (r *request) rejected(t *try, now time.Time) {
	if _, err := t.answer.Whole(); err != nil {
		t.err = err
	}
	t.cancel()
	wrong := t.answer.States.Instance != "" && t.answer.States.Instance != t.choice.Target.ID
	switch {
	case t.answer.Header.StatusCode() != fasthttp.StatusMisdirectedRequest:
		t.choice.Rejected(now)
	case wrong:
		t.choice.Silent(now) // another target has the address by now
	default:
		t.choice.Absent(r.call.Model, r.call.Adapter, now)
	}
}

func (r *request) logTry(t *try) {
	status := 0
	if t.answer != nil {
		status = t.answer.Header.StatusCode()
	}
	attrs := []slog.Attr{
		slog.String("request_id", r.ex.ID), slog.String("target", t.choice.Target.ID), slog.String("zone", t.choice.Target.Zone),
		slog.Int64("beat", t.choice.Target.Beat), slog.Float64("expected_ms", float64(t.choice.Expected)/float64(time.Millisecond)),
		slog.String("outcome", t.outcome.String()), slog.Int("status", status), slog.Int("attempt", len(r.tried)),
		slog.Float64("after_ms", float64(time.Since(r.ex.Start))/float64(time.Millisecond)),
	}
	if t.err != nil {
		attrs = append(attrs, slog.String("error", t.err.Error()))
	}
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt", attrs...)
}

// hopFields concern one connection and are not passed on.
var hopFields = map[string]bool{
	fasthttp.HeaderConnection: true, "Keep-Alive": true, fasthttp.HeaderTransferEncoding: true, fasthttp.HeaderTrailer: true,
	fasthttp.HeaderUpgrade: true, "Proxy-Connection": true, fasthttp.HeaderContentLength: true, fasthttp.HeaderProxyAuthenticate: true,
}

// deliver passes the answer on.
func (r *request) deliver(t *try) error {
	resp := &r.ex.HTTP.Response
	resp.SetStatusCode(t.answer.Header.StatusCode())
	resp.Header.SetNoDefaultContentType(true)
	for key, value := range t.answer.Header.All() {
		if !hopFields[string(key)] {
			resp.Header.AddBytesKV(key, value)
		}
	}
	if !t.stream {
		resp.SetBodyRaw(t.body)
		r.ex.Finish(pipeline.Outcome{
			Status: resp.StatusCode(), Complete: true, Ran: true, PromptTokens: -1, OutputTokens: -1, Body: t.body,
		})
		return nil
	}
	r.ex.Detach()
	resp.SetBodyStream(newStream(r, t), -1)
	return nil
}
