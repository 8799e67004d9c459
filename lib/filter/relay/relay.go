// Package relay is the last filter for requests that pass through unchanged. It picks a target, sends the request, retries
// at other targets where that is allowed, and passes the answer or the event stream on to the caller.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/attempt"
	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/hostqueue"
	"cuminhook.org/cuminhook/lib/httpanswer"
	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/stopping"
	"cuminhook.org/cuminhook/lib/streamversion"
	"cuminhook.org/cuminhook/lib/targetrate"
	"cuminhook.org/cuminhook/lib/workload"
)

const (
	// busyRetryAfter is the Retry-After when targets exist but none took the request.
	busyRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After while the zones of all targets are evacuated, which lasts until the operator ends it.
	evacuatedRetryAfter = 2 * time.Second
	// retryAfterDivisor divides the caller's remaining time and so bounds Retry-After: a caller that waits longer would
	// have too little time left for the retry.
	retryAfterDivisor = 3
)

// Placement loads adapters on request and tells what becomes of models that no target has loaded.
type Placement interface {
	// Ensure returns nil once a target has the adapter loaded, and an error if that failed or ctx ended first.
	Ensure(ctx context.Context, service, model, adapter string) error
	// ExpectedModel returns when a first copy of the model is expected to be ready, and whether it is known to be on its way;
	// otherwise the time is when it would be ready if the demand of now made it so. The time is zero if nobody places models.
	ExpectedModel(service, model string, now time.Time) (at time.Time, loading bool)
	// Reaction returns the time from a demand for a model until its load is known, or zero if nobody places models.
	Reaction() time.Duration
}

// Statements learns what targets state of themselves in answers.
type Statements interface {
	// Leaving records that the target leaves.
	Leaving(t *registry.Target, requestID string)
	// Pause records that the target wants no request from this host for a time, or a negative time if that cannot be read.
	Pause(t *registry.Target, d time.Duration, requestID string)
	// Cold records how much longer the target is cold.
	Cold(t *registry.Target, left time.Duration)
	// Brittle records whether the target states that those of its service fall over when they have to turn many requests away.
	Brittle(t *registry.Target, stated bool)
	// Down records that the target refused a connection: no process listens at its address.
	Down(t *registry.Target)
}

// Streams knows where streams began that may be taken up, at whatever host.
type Streams interface {
	// Began records that a target has sent the first event of a stream, before it is passed on. shared states that the route leads to
	// several services.
	Began(k streamversion.Key, o streamversion.Origin, shared bool)
	// Find returns where a stream began, or false if that is not known. services are those of the route.
	Find(k streamversion.Key, services []string) (streamversion.Origin, bool)
}

// Path watches the path from this host to the targets.
type Path interface {
	// Wait records that a request waits for bytes of a target, until the function that it returns is called.
	Wait() (done func(arrived bool))
	// Cut reports whether this host is cut off from the targets while others reach them.
	Cut() bool
	// Reaches reports whether a target other than the one at the address accepts connections.
	Reaches(ctx context.Context, except string) bool
}

// Config are the settings of the filter.
type Config struct {
	Protocol  passthrough.Protocol
	Client    *forward.Client
	Balancer  *balance.Balancer
	Retries   *retry.Budget
	Placement Placement          // nil: models and adapters are not loaded on request
	Demand    *workload.Meter    // counts the demand for each model and adapter
	Rates     *targetrate.Limits // learns the rates that targets state; nil: they are ignored
	// Statements learns what else targets state of themselves; nil: it is ignored.
	Statements Statements
	// Quarantine learns which prompt segments crash targets; nil: a detector of its own.
	Quarantine *quarantine.Detector
	// Requests learns which requests crash targets; nil: a detector of its own.
	Requests *quarantine.Requests
	// Streams knows at which software version of their service streams began; nil: they may go on at any.
	Streams Streams
	// OnClaim is called with a request that other hosts should be told of: this host is about to send it alone; nil: they are not.
	OnClaim func(quarantine.RequestKey)
	// TargetAt returns the target that is known at an address, or nil. Where the function is nil, a target that starts again before it is
	// checked does not count as crashed.
	TargetAt func(addr string) *registry.Target
	// Path tells failures of the path from those of targets; nil: it never fails.
	Path Path
	// Admission has requests wait at this host for room at the targets, and refuses at once what cannot be served; false: all are sent
	// at once.
	Admission bool
	// Stop is the stop of this host; nil: it never stops.
	Stop    *stopping.Stop
	Log     *slog.Logger
	Metrics *metrics.Set
	Random  func() float64 // uniform in [0, 1); nil: the default source
}

type filter struct {
	cfg              Config
	crashes          *crashWatch
	paced            pacedQueues
	admission        *admission // nil: requests are sent at once
	durations        durations
	retryCounter     func(reason string) *metrics.Counter
	givenUpCounter   *metrics.Counter // attempts given up at silent targets, and handed over
	firstByteSeconds *metrics.Histogram
}

// New returns the filter. It has no next handler: it must be the last one.
func New(cfg Config) pipeline.Handler {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Path == nil {
		cfg.Path = soundPath{}
	}
	if cfg.Stop == nil {
		cfg.Stop = stopping.New()
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New()
	}
	if cfg.Requests == nil {
		cfg.Requests = quarantine.NewRequests()
	}
	f := &filter{
		cfg: cfg, crashes: newCrashWatch(&cfg),
		retryCounter: func(reason string) *metrics.Counter {
			return cfg.Metrics.GetOrCreateCounter(`cuminhook_repeats_total{reason="` + reason + `"}`)
		},
		givenUpCounter:   cfg.Metrics.GetOrCreateCounter("cuminhook_attempts_given_up_total"),
		firstByteSeconds: cfg.Metrics.GetOrCreateHistogram("cuminhook_first_byte_seconds"),
	}
	if cfg.Admission {
		f.admission = newAdmission(&f.cfg)
	}
	return f
}

// soundPath is a path that never fails.
type soundPath struct{}

// Wait implements Path.
func (soundPath) Wait() func(bool) { return func(bool) {} }

// Cut implements Path.
func (soundPath) Cut() bool { return false }

// Reaches implements Path.
func (soundPath) Reaches(context.Context, string) bool { return true }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	ctx, release := f.cfg.Stop.Bound(ctx)
	ctx, cancelDeadline := context.WithDeadline(ctx, ex.AnswerBy)
	cancel := func() {
		cancelDeadline()
		release()
	}
	r := &request{
		filter: f, ex: ex, ctx: ctx, route: ex.Matched, call: ex.Call,
		service: ex.Matched.PickService(f.cfg.Random()),
		state:   attempt.State{Repeatable: ex.Matched.Repeatable(), MaxRuns: ex.Matched.MaxAttempts},
	}
	if err := r.findRegions(); err != nil {
		cancel()
		return err
	}
	if err := r.findVersion(); err != nil {
		cancel()
		return err
	}
	if !ex.Counted {
		f.cfg.Retries.RecordRequest(r.service)
	}
	if err := r.checkQuarantine(); err != nil {
		cancel()
		return err
	}
	if r.call.Model != "" {
		f.cfg.Demand.Add(r.call, ex.Start)
	}
	ex.OnFinish(func(pipeline.Outcome) {
		cancel()
		r.releaseReserved()
	})
	return r.run()
}

// request holds the state of one request over all its attempts.
type request struct {
	*filter
	ex           *pipeline.Exchange
	ctx          context.Context
	route        *catalog.Route
	call         *passthrough.Call
	service      string
	state        attempt.State
	tried        []string
	answers      []*forward.Answer     // to earlier attempts
	failedAnswer *try                  // latest 5xx answer; passed on unless a later attempt succeeds
	lastEventID  string                // id of the last event passed on
	ahead        int                   // requests before it in the queue of the host for targets with limits
	onSend       func()                // called before an attempt is sent; nil: none
	regions      []string              // in which a target must be; nil: any
	version      *string               // of the software that a target must have, as it began the stream; nil: any
	streaming    bool                  // the answer is passed on as a stream: a further attempt has to continue it
	reserved     *balance.Choice       // target of the next attempt, whose retry is charged; nil: none was reserved
	requestKey   quarantine.RequestKey // see key
	trialEnd     time.Time             // until when the request waits for other runs of it; zero: it has not begun to
	trialOver    bool                  // the request no longer waits for other runs of it
	claimed      bool                  // the request is about to be sent as the only one
	silentSince  time.Time             // when a target first accepted no connection of the request, nor refused it; zero: none
}

// try is one attempt at a target.
type try struct {
	choice   *balance.Choice
	answer   *forward.Answer
	body     []byte // whole body; nil for streams
	stream   bool   // the body is an event stream that has not been read yet
	outcome  forward.Outcome
	err      error
	cancel   context.CancelFunc
	timedOut atomic.Bool // the attempt was given up: its target is silent, or another one continues the stream
	givenUp  *metrics.Counter
	sentAt   time.Time
	headerAt time.Time // when the header of the answer arrived
	began    bool      // the target has sent a whole answer or, of a stream, a whole event
}

// recordFailure reports to the balancer that the attempt ended without a complete answer.
func (r *request) recordFailure(t *try, now time.Time) {
	switch {
	case r.ctx.Err() != nil, errors.Is(t.err, httpconn.ErrLimit):
		t.choice.Abandoned()
	case t.outcome == forward.NotSent && errors.Is(t.err, httpconn.ErrRefused):
		t.choice.Refused(now)
	case t.outcome == forward.NotSent || t.timedOut.Load():
		t.choice.Unresponsive(now)
	default:
		t.choice.ConnectionBroken(now)
		r.logBroken(t, now)
		r.checkCrash(t, now)
	}
}

// answerBegan records that the target has begun to answer and goes on to run.
func (r *request) answerBegan(t *try) {
	if !t.began {
		t.began = true
		now := time.Now()
		r.cfg.Quarantine.Began(r.call.SharedSegments(), now.Sub(t.sentAt), now.Sub(t.headerAt), now)
	}
}

// logBroken logs what tells a target that broke off on its own from one that a request brought down: how long the request
// had been there, whether it was answered already, and what its prompt shares with others.
func (r *request) logBroken(t *try, now time.Time) {
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "target broke off", slog.String("request_id", r.ex.ID),
		slog.String("target", t.choice.Target.ID), slog.String("addr", t.choice.Target.Addr), slog.Bool("header", t.answer != nil),
		slog.Bool("answer_began", t.began),
		slog.Float64("sent_ms_ago", float64(now.Sub(t.sentAt))/float64(time.Millisecond)),
		slog.String("request_key", r.key().String()), slog.String("shared_segments", strings.Join(r.call.SharedSegments(), ",")))
}

// run makes attempts until an answer can be delivered or no further attempt is allowed.
func (r *request) run() error {
	for {
		if r.cfg.Path.Cut() {
			r.releaseReserved()
			return r.fail(refusal.NoPath, busyRetryAfter)
		}
		choice, err := r.nextChoice()
		if err != nil {
			return r.refuseNoTarget(err)
		}
		if err := r.checkQuarantine(); err != nil { // found while the request waited
			choice.Unsent()
			choice.Abandoned()
			return err
		}
		if !r.isItsTurn() {
			choice.Unsent()
			choice.Abandoned()
			r.awaitTurn()
			continue
		}
		if r.tooLateToSend(choice, time.Now()) {
			return r.refuseStopping(choice)
		}
		t := r.attempt(choice)
		r.logAttempt(t)
		if t.outcome == forward.NotSent && isTimeout(t.err) && r.silentSince.IsZero() {
			r.silentSince = t.sentAt
		}
		if t.outcome == forward.Answered && !r.retryable(t) {
			r.releaseReserved()
			return r.deliver(t)
		}
		if t.outcome == forward.Answered {
			r.failedAnswer = t
		}
		if r.ctx.Err() != nil || !r.takeRetry(t) {
			return r.fail(refusal.TargetFailed, busyRetryAfter)
		}
	}
}

// isTimeout reports whether the error is that of an operation that took too long.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// retryable reports whether the answer is a 5xx that another target's answer may replace.
func (r *request) retryable(t *try) bool {
	return !t.stream && t.answer.Header.StatusCode() >= fasthttp.StatusInternalServerError && r.state.Repeatable
}

// takeRetry reports whether another attempt is allowed. A retry is charged to the service's retry budget.
func (r *request) takeRetry(t *try) bool {
	if !r.state.MaySend() || r.suspected(t) {
		return false
	}
	if r.state.NextIsRetry() && r.reserved == nil && !r.cfg.Retries.Allow(r.service) {
		r.retryCounter("denied").Inc()
		return false
	}
	r.retryCounter(t.outcome.String()).Inc()
	return true
}

// refuseNoTarget ends a request for which pick found no target.
func (r *request) refuseNoTarget(err error) error {
	reason, after := refusal.NoTarget, busyRetryAfter
	switch {
	case errors.Is(err, balance.ErrNoModel):
		after = r.modelRetryAfter()
	case errors.Is(err, balance.ErrEvacuated):
		reason, after = refusal.ZonesEvacuated, evacuatedRetryAfter
	case errors.Is(err, balance.ErrRegion):
		reason, after = refusal.RegionNotAllowed, 0
	case errors.Is(err, balance.ErrVersion):
		reason, after = refusal.StreamVersionGone, 0
	}
	if paced := (*balance.PacedError)(nil); errors.As(err, &paced) {
		after = max(after, r.paced.drainTime(r.pacedQueue(), paced.PerSecond), drainTime(r.ahead, paced.PerSecond))
	}
	if r.state.MayHaveRun() {
		reason = refusal.TargetFailed
	}
	if refused := (*hostqueue.RefusedError)(nil); errors.As(err, &refused) {
		return r.refuseFull(refused)
	}
	if errors.Is(err, errDrained) {
		return r.refuseStop()
	}
	r.countIneligible(reason)
	r.cfg.Log.Info("no target", "request_id", r.ex.ID, "service", r.service, "model", r.call.Model,
		"adapter", r.call.Adapter, "tried", len(r.tried), "regions", r.regions, "reason", err.Error())
	if paused := (*balance.PausedError)(nil); errors.As(err, &paused) {
		return r.end(reason, r.pauseRetryAfter(paused))
	}
	return r.fail(reason, after)
}

// pauseRetryAfter returns the time to the end of a pause, and up to busyRetryAfter more, so that refused callers do not come back
// at the same moment.
func (r *request) pauseRetryAfter(paused *balance.PausedError) time.Duration {
	return time.Until(paused.Until) + time.Duration(r.cfg.Random()*float64(busyRetryAfter))
}

// fail ends the request after its last attempt. The caller may come back after a time that is cut to what it has left.
func (r *request) fail(reason refusal.Reason, after time.Duration) error {
	return r.end(reason, min(after, time.Until(r.ex.AnswerBy)/retryAfterDivisor))
}

// end ends the request: with the latest answered failure if there is one, else with a refusal.
func (r *request) end(reason refusal.Reason, after time.Duration) error {
	if r.failedAnswer != nil {
		return r.deliver(r.failedAnswer)
	}
	cause := context.Cause(r.ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, stopping.ErrCut)
	if errors.Is(cause, pipeline.ErrCallerGone) {
		reason = refusal.CallerGone
	}
	return r.state.Refusal(reason, timedOut, after)
}

// attempt sends the request to the chosen target and reads the answer, except for the body of a stream.
func (r *request) attempt(choice *balance.Choice) *try {
	t := &try{choice: choice, sentAt: time.Now(), givenUp: r.givenUpCounter}
	r.tried = append(r.tried, choice.Target.ID)
	r.key() // while the body is there
	ctx := r.ctx
	ctx, t.cancel = context.WithCancel(ctx)
	defer r.watchSilence(t)()
	h := &r.ex.HTTP.Request.Header
	head := r.cfg.Protocol.AppendHead(nil, h, passthrough.Attempt{
		Instance: choice.Target.ID, TimeLeft: time.Until(r.targetDeadline()), Organisation: r.ex.Organisation,
		Priority: r.enginePriority(), LastEvent: r.lastEventID,
	})
	waited := r.cfg.Path.Wait()
	t.answer, t.outcome, t.err = r.cfg.Client.Do(ctx, &forward.Request{
		Addr: choice.Target.Addr, ID: r.call.ID, Head: head, Method: string(h.Method()),
		Body: r.ex.HTTP.Request.Body(), RunOnce: r.route.Kind == catalog.NonIdempotent, OnSend: r.onSend,
		Earlier: r.answers,
	})
	waited(t.answer != nil)
	if t.outcome == forward.NotSent {
		choice.Unsent()
		if errors.Is(t.err, syscall.ECONNREFUSED) && r.cfg.Statements != nil {
			go r.reportDown(choice.Target)
		}
	}
	if t.answer != nil {
		r.answers = append(r.answers, t.answer)
		t.headerAt = time.Now()
		if !t.otherInstance() {
			t.choice.Responding(t.headerAt)
		}
		r.recordStatements(t)
	}
	r.readAnswer(t)
	r.state.Record(t.outcome)
	return t
}

// downCheckTimeout bounds the check whether this host reaches other targets than one that refuses connections.
const downCheckTimeout = time.Second

// reportDown reports a target that refused a connection, unless all others do as well.
func (f *filter) reportDown(t *registry.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), downCheckTimeout)
	defer cancel()
	if f.cfg.Path.Reaches(ctx, t.Addr) {
		f.cfg.Statements.Down(t)
	}
}

// recordStatements records what the target states of itself in the header of the answer.
func (r *request) recordStatements(t *try) {
	r.recordRateLimit(t)
	stated := &t.answer.Stated
	// Another target that has the address now answers 421, and may not state its id.
	if r.cfg.Statements == nil || t.otherInstance() ||
		t.answer.Header.StatusCode() == fasthttp.StatusMisdirectedRequest && stated.Instance == "" {
		return
	}
	r.cfg.Statements.Brittle(t.choice.Target, stated.Brittle)
	if stated.Leaving {
		r.cfg.Statements.Leaving(t.choice.Target, r.ex.ID)
	}
	if stated.Pause != 0 {
		r.cfg.Statements.Pause(t.choice.Target, stated.Pause, r.ex.ID)
	}
	if stated.Cold > 0 {
		r.cfg.Statements.Cold(t.choice.Target, stated.Cold)
	}
}

// recordRateLimit records what the answer states of the target's rate.
func (r *request) recordRateLimit(t *try) {
	rate := t.answer.Stated.RateLimit
	switch {
	case r.cfg.Rates == nil, t.otherInstance():
	case rate < 0:
		r.cfg.Log.Warn("rate of a target not read", "request_id", r.ex.ID, "target", t.choice.Target.ID)
	case r.cfg.Rates.Stated(t.choice.Target.ID, rate, time.Now()):
		r.cfg.Metrics.GetOrCreateCounter(`cuminhook_target_statements_total{kind="limit"}`).Inc()
		r.cfg.Log.Info("target rate", "request_id", r.ex.ID, "target", t.choice.Target.ID, "per_s", rate)
	}
}

// Priorities at the engine are 0 to 9; 0 is served first.
const (
	enginePriorityBase = 3
	enginePriorityStep = 2
	maxEnginePriority  = 9
)

// enginePriority returns the request's priority at the engine, or -1 (the target's default) for plain services.
func (r *request) enginePriority() int {
	if r.call.Model == "" {
		return -1
	}
	return min(maxEnginePriority, enginePriorityBase+enginePriorityStep*r.ex.Priority)
}

// readAnswer reads the body, except that of a stream, and reports the outcome to the balancer. The outcome of a stream
// is reported when it ends.
func (r *request) readAnswer(t *try) {
	now := time.Now()
	switch t.outcome {
	case forward.NotSent, forward.Unknown:
		t.cancel()
		r.recordFailure(t, now)
		return
	case forward.NotRun:
		r.recordRejection(t, now)
		return
	}
	status := t.answer.Header.StatusCode()
	if r.route.Kind == catalog.Stream && status == fasthttp.StatusOK && (!r.streaming || isEventStream(t.answer)) {
		t.stream = true
		return
	}
	t.body, t.err = t.answer.ReadAll()
	t.cancel()
	if t.err == nil {
		if status < fasthttp.StatusInternalServerError { // a target may fail before it begins to answer on the prompt
			r.answerBegan(t)
			r.survived(t)
		}
		t.choice.Answered(status >= fasthttp.StatusInternalServerError, now)
		return
	}
	t.outcome = forward.Unknown
	r.recordFailure(t, now)
}

// recordRejection reads the body of an answer that states that the target did not run the request, and reports to the balancer why. The
// statement holds only if the whole answer is well formed.
func (r *request) recordRejection(t *try, now time.Time) {
	_, t.err = t.answer.ReadAll()
	t.cancel()
	if httpanswer.PartOf(t.err) != "" {
		t.outcome = forward.Unknown // a target in trouble may have run the request
		r.recordFailure(t, now)
		return
	}
	switch {
	case t.answer.Header.StatusCode() != fasthttp.StatusMisdirectedRequest:
		t.choice.Rejected(now)
	case t.otherInstance():
		r.crashes.replaced(t.choice.Target)
		t.choice.Unresponsive(now) // the address now belongs to another target
	default:
		t.choice.ModelMissing(r.call.Model, r.call.Adapter, now)
	}
}

// otherInstance reports whether another target answered, to which the address belongs now.
func (t *try) otherInstance() bool {
	return t.answer.Stated.Instance != "" && t.answer.Stated.Instance != t.choice.Target.ID
}

func (r *request) logAttempt(t *try) {
	status := 0
	if t.answer != nil {
		status = t.answer.Header.StatusCode()
	}
	attrs := []slog.Attr{
		slog.String("request_id", r.ex.ID), slog.String("target", t.choice.Target.ID), slog.String("zone", t.choice.Target.Zone),
		slog.Int64("beat", t.choice.Target.Beat),
		slog.Float64("expected_ms", float64(t.choice.ExpectedFirstEvent)/float64(time.Millisecond)),
		slog.String("outcome", t.outcome.String()), slog.Int("status", status), slog.Int("attempt", len(r.tried)),
		slog.Float64("after_ms", float64(time.Since(r.ex.Start))/float64(time.Millisecond)),
	}
	if t.answer != nil && t.answer.Stated.Leaving {
		attrs = append(attrs, slog.Bool("leaving", true))
	}
	if t.answer != nil && t.answer.Stated.Pause != 0 {
		attrs = append(attrs, slog.Float64("pause_s", t.answer.Stated.Pause.Seconds()))
	}
	if t.timedOut.Load() {
		attrs = append(attrs, slog.Bool("given_up", true))
	}
	if t.err != nil {
		attrs = append(attrs, slog.String("error", t.err.Error()), malformedPart(t.err))
	}
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt", attrs...)
}

// malformedPart returns the attribute that names the malformed part of an answer. It is empty for other errors.
func malformedPart(err error) slog.Attr {
	if part := httpanswer.PartOf(err); part != "" {
		return slog.String("malformed", string(part))
	}
	return slog.Attr{}
}

// deliver passes the answer on to the caller. A stream is read while the server writes it, after deliver has returned.
func (r *request) deliver(t *try) error {
	var body *stream
	if t.stream {
		r.streaming = true
		body = newStream(r, t)
		if err := body.begin(); err != nil {
			body.endAttempt(false)
			r.cfg.Log.Info("stream not begun", "request_id", r.ex.ID, "error", err.Error(), malformedPart(err))
			return r.fail(refusal.TargetFailed, 0)
		}
	}
	resp := &r.ex.HTTP.Response
	resp.SetStatusCode(t.answer.Header.StatusCode())
	resp.Header.SetNoDefaultContentType(true)
	for key, value := range t.answer.Header.All() {
		if !pipeline.IsHopByHop(string(key)) {
			resp.Header.AddBytesKV(key, value)
		}
	}
	if !t.stream {
		resp.SetBodyRaw(t.body)
		r.durations.observe(r.route.Name, time.Since(r.ex.Start))
		r.ex.Finish(pipeline.Outcome{
			Status: resp.StatusCode(), Complete: true, Ran: true, PromptTokens: -1, OutputTokens: -1, Body: t.body,
		})
		return nil
	}
	r.ex.Detach()
	resp.SetBodyStream(body, -1)
	return nil
}
