// Package dispatch is the last filter. It chooses targets, makes the attempts and relays whole answers and
// streams.
package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/filter/auth"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/service"
)

const (
	maxAttempts = 3
	// cancelTimeout bounds the order to stop work at an engine whose answer is no longer wanted.
	cancelTimeout = time.Second
	// statusCallerGone is the customary status in logs for a caller that left before the answer.
	statusCallerGone = 499
)

// targetPoll is the pause between looks for a target that holds the model.
const targetPoll = 50 * time.Millisecond

// errDeadline is the cause of a context that ended at the exchange's deadline.
var errDeadline = errors.New("dispatch: deadline passed")

// RetryBudget bounds retries.
type RetryBudget interface {
	// Allow reports whether the organisation may make one more retry now, and counts it. The
	// organisation is empty on open routes.
	Allow(organisation string) bool
}

// Config are the settings of the filter.
type Config struct {
	View     confview.View
	Picker   Picker
	Engine   engine.Inference
	Services service.Client
	Budget   RetryBudget  // nil: bounded by the number of attempts alone
	Set      *metrics.Set // nil: a set of its own
	// NoResume turns the resumption of broken streams off.
	NoResume bool
}

// Dispatch is the filter. Run must be active while it serves.
type Dispatch struct {
	cfg      Config
	streams  registry
	services balancer
	idPrefix string // random for each process, so that ids at targets are unique
	idCount  atomic.Uint64
}

// New returns the filter.
func New(cfg Config) *Dispatch {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	return &Dispatch{cfg: cfg, idPrefix: hex.EncodeToString(random[:])}
}

// Run ends open streams whose key becomes invalid, until ctx ends.
func (d *Dispatch) Run(ctx context.Context) { d.streams.run(ctx, d.cfg.View) }

// Serve implements pipeline.Handler.
func (d *Dispatch) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if r := secretsOf(ex).check(ex); r != nil {
		return r
	}
	if err := d.recheck(ex); err != nil {
		return err
	}
	if ex.Kind == pipeline.KindService {
		return d.service(ctx, ex)
	}
	return d.model(ctx, ex)
}

// recheck refuses a request whose key became invalid while it waited for admission.
func (d *Dispatch) recheck(ex *pipeline.Exchange) error {
	if ex.Organisation == "" {
		return nil
	}
	snap, status := confview.Read(d.cfg.View)
	_, err := auth.Check(snap, status, ex.KeyHash)
	return err
}

// attemptID returns an id that no other attempt has. Callers may repeat their request ids, and targets
// look requests up by id.
func (d *Dispatch) attemptID(ex *pipeline.Exchange) string {
	return ex.ID + "-" + d.idPrefix + strconv.FormatUint(d.idCount.Add(1), 36)
}

// attempts is the course of one exchange.
type attempts struct {
	made  int
	tried []string // targets
	ran   bool     // a target ran the request, or may have
	last  error
}

// provablyNotRun reports whether err states that the target did not run the request.
func provablyNotRun(err error) bool {
	for _, target := range []error{
		engine.ErrNotRun, engine.ErrDraining, engine.ErrNotResident, service.ErrNotRun, service.ErrDraining,
	} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// retryReason names the cause of a retry in metrics.
func retryReason(err error) string {
	switch {
	case errors.Is(err, engine.ErrDraining), errors.Is(err, service.ErrDraining):
		return "draining"
	case errors.Is(err, engine.ErrNotResident):
		return "not_resident"
	case provablyNotRun(err):
		return "not_run"
	case errors.Is(err, engine.ErrWrongResponse):
		return "wrong_response"
	case errors.Is(err, errTargetStatus):
		return "target_status"
	}
	return "unknown"
}

// verdict tells the picker what err shows of the target.
func verdict(ctx context.Context, err error) Verdict {
	switch {
	case err == nil:
		return Answered
	case ctx.Err() != nil:
		return Cancelled
	case errors.Is(err, engine.ErrDraining), errors.Is(err, service.ErrDraining):
		return Draining
	case errors.Is(err, engine.ErrNotResident):
		return NotResident
	}
	return Failed
}

// next decides after a failed attempt whether to make another; otherwise it returns the refusal.
func (d *Dispatch) next(ctx context.Context, ex *pipeline.Exchange, a *attempts, target string, err error) *refusal.Error {
	a.made++
	a.tried = append(a.tried, target)
	a.last = err
	a.ran = a.ran || !provablyNotRun(err)
	if ctx.Err() != nil {
		return ended(ctx, a)
	}
	if a.made >= maxAttempts || a.ran && !ex.Idempotent || !time.Now().Before(ex.AnswerBy) {
		return failed(a)
	}
	if invalid, ok := refusal.As(d.recheck(ex)); ok {
		r := *invalid
		r.Run = a.run()
		return &r
	}
	reason := retryReason(err)
	// A target that announces its leaving or the loss of a model is part of planned changes, which must
	// not use up the budget for failures.
	planned := reason == "draining" || reason == "not_resident"
	if !planned && d.cfg.Budget != nil && !d.cfg.Budget.Allow(ex.Organisation) {
		d.count(`cuminhook_retries_denied_total{reason=%q}`, reason)
		return failed(a)
	}
	d.count(`cuminhook_retries_total{reason=%q}`, reason)
	return nil
}

func (d *Dispatch) count(format, label string) {
	d.cfg.Set.GetOrCreateCounter(fmt.Sprintf(format, label)).Inc()
}

func (a *attempts) run() refusal.RunState {
	if a.ran {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// failed is the refusal after the last attempt.
func failed(a *attempts) *refusal.Error {
	r := &refusal.Error{
		Reason: refusal.TargetFailed, Run: a.run(), Status: fasthttp.StatusBadGateway,
		Message: "no target gave a complete answer", Remedy: "retry if the request is idempotent",
	}
	switch {
	case !a.ran && errors.Is(a.last, ErrNoTarget):
		r.Reason, r.Status, r.RetryAfter = refusal.NoTarget, fasthttp.StatusServiceUnavailable, time.Second
		r.Message, r.Remedy = "no target can serve the request at present", "retry after a short delay"
	case !a.ran:
		r.Status, r.RetryAfter = fasthttp.StatusServiceUnavailable, time.Second
		r.Message, r.Remedy = "no target accepted the request", "retry after a short delay"
	}
	return r
}

// ended is the refusal when the exchange's context ended.
func ended(ctx context.Context, a *attempts) *refusal.Error {
	cause := context.Cause(ctx)
	if invalid, ok := refusal.As(cause); ok {
		r := *invalid
		r.Run = a.run()
		return &r
	}
	if errors.Is(cause, pipeline.ErrCallerGone) {
		return &refusal.Error{
			Reason: refusal.CallerGone, Run: a.run(), Status: statusCallerGone,
			Message: "the caller closed the connection", Remedy: "none",
		}
	}
	return &refusal.Error{
		Reason: refusal.TargetTimeout, Run: a.run(), Status: fasthttp.StatusGatewayTimeout,
		Message: "no complete answer before the deadline", Remedy: "retry if the request is idempotent, with a longer deadline",
	}
}
