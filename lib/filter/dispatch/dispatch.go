// Package dispatch implements the last filter of the pipeline. It chooses targets, sends requests to them with
// retries, and relays complete responses and streams to callers.
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
	// cancelTimeout bounds the call that cancels a request at an engine.
	cancelTimeout = time.Second
	// statusCallerGone is the status that logs conventionally show for a caller that left before the response.
	statusCallerGone = 499
)

// targetPollInterval is the time between two attempts to pick a target that has loaded the model.
const targetPollInterval = 50 * time.Millisecond

// errDeadline is the cause of a context that ended at the time by which the exchange must be answered.
var errDeadline = errors.New("dispatch: deadline passed")

// RetryBudget bounds the retries of each organisation.
type RetryBudget interface {
	// Allow reports whether one more retry is permitted now, and counts it. The organisation is empty on
	// open routes.
	Allow(organisation string) bool
}

// Config contains the dependencies and settings of the filter.
type Config struct {
	View     confview.View
	Picker   Picker
	Engine   engine.Inference
	Services service.Client
	Budget   RetryBudget  // nil: retries are bounded by maxAttempts alone
	Metrics  *metrics.Set // nil: New creates a set
	// NoResume turns off the resumption of broken streams.
	NoResume bool
}

// Filter sends exchanges to targets. It implements pipeline.Handler. Run must be active while it serves.
type Filter struct {
	cfg      Config
	streams  openExchanges
	services roundRobin
	idPrefix string // random for each process, so that attempt ids are unique
	idCount  atomic.Uint64
}

// New returns a filter with the settings cfg.
func New(cfg Config) *Filter {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	return &Filter{cfg: cfg, idPrefix: hex.EncodeToString(random[:])}
}

// Run ends open exchanges with engines whose key becomes invalid. It returns when ctx ends.
func (f *Filter) Run(ctx context.Context) { f.streams.run(ctx, f.cfg.View) }

// Serve implements pipeline.Handler.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if r := secretsOf(ex).checkRequest(ex); r != nil {
		return r
	}
	if err := f.recheckKey(ex); err != nil {
		return err
	}
	if ex.Kind == pipeline.KindService {
		return f.serveService(ctx, ex)
	}
	return f.serveModel(ctx, ex)
}

// recheckKey refuses a request whose key became invalid while it waited for admission.
func (f *Filter) recheckKey(ex *pipeline.Exchange) error {
	if ex.Organisation == "" {
		return nil
	}
	snap, status := confview.SnapshotWithStatus(f.cfg.View)
	_, err := auth.Authenticate(snap, status, ex.KeyHash)
	return err
}

// attemptID returns an id that no other attempt has. Request ids are not enough: callers may reuse theirs, and
// targets look requests up by id.
func (f *Filter) attemptID(ex *pipeline.Exchange) string {
	return ex.ID + "-" + f.idPrefix + strconv.FormatUint(f.idCount.Add(1), 36)
}

// attempts records the attempts of one exchange.
type attempts struct {
	made         int
	triedTargets []string // ids
	mayHaveRun   bool     // a target ran the request, or may have
	lastErr      error
}

// provablyNotRun reports whether err proves that the target did not run the request.
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

// retryReason returns the metric label for the cause of a retry.
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

// attemptOutcome returns what the error of an attempt, nil after success, says about its target.
func attemptOutcome(ctx context.Context, err error) AttemptOutcome {
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

// retryOrRefuse records a failed attempt. It returns nil if the request may be retried and the refusal otherwise.
func (f *Filter) retryOrRefuse(
	ctx context.Context, ex *pipeline.Exchange, a *attempts, target string, err error,
) *refusal.Error {
	a.made++
	a.triedTargets = append(a.triedTargets, target)
	a.lastErr = err
	a.mayHaveRun = a.mayHaveRun || !provablyNotRun(err)
	if ctx.Err() != nil {
		return endedRefusal(ctx, a)
	}
	if a.made >= maxAttempts || a.mayHaveRun && !ex.Idempotent || !time.Now().Before(ex.AnswerBy) {
		return failedRefusal(a)
	}
	if invalid, ok := refusal.As(f.recheckKey(ex)); ok {
		r := *invalid
		r.Run = a.runState()
		return &r
	}
	reason := retryReason(err)
	// Targets drain and unload models in planned changes, which must not use up the budget for failures.
	planned := reason == "draining" || reason == "not_resident"
	if !planned && f.cfg.Budget != nil && !f.cfg.Budget.Allow(ex.Organisation) {
		f.count(`cuminhook_retries_denied_total{reason=%q}`, reason)
		return failedRefusal(a)
	}
	f.count(`cuminhook_retries_total{reason=%q}`, reason)
	return nil
}

func (f *Filter) count(format, label string) {
	f.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(format, label)).Inc()
}

func (a *attempts) runState() refusal.RunState {
	if a.mayHaveRun {
		return refusal.RunUnknown
	}
	return refusal.NotRun
}

// failedRefusal returns the refusal of a request that is not retried.
func failedRefusal(a *attempts) *refusal.Error {
	r := &refusal.Error{
		Reason: refusal.TargetFailed, Run: a.runState(), Status: fasthttp.StatusBadGateway,
		Message: "no target gave a complete answer", Remedy: "retry if the request is idempotent",
	}
	switch {
	case !a.mayHaveRun && errors.Is(a.lastErr, ErrNoTarget):
		r.Reason, r.Status, r.RetryAfter = refusal.NoTarget, fasthttp.StatusServiceUnavailable, time.Second
		r.Message, r.Remedy = "no target can serve the request at present", "retry after a short delay"
	case !a.mayHaveRun:
		r.Status, r.RetryAfter = fasthttp.StatusServiceUnavailable, time.Second
		r.Message, r.Remedy = "no target accepted the request", "retry after a short delay"
	}
	return r
}

// endedRefusal returns the refusal of an exchange whose context ended: its key became invalid, its caller left
// or its deadline passed.
func endedRefusal(ctx context.Context, a *attempts) *refusal.Error {
	cause := context.Cause(ctx)
	if invalid, ok := refusal.As(cause); ok {
		r := *invalid
		r.Run = a.runState()
		return &r
	}
	if errors.Is(cause, pipeline.ErrCallerGone) {
		return &refusal.Error{
			Reason: refusal.CallerGone, Run: a.runState(), Status: statusCallerGone,
			Message: "the caller closed the connection", Remedy: "none",
		}
	}
	return &refusal.Error{
		Reason: refusal.TargetTimeout, Run: a.runState(), Status: fasthttp.StatusGatewayTimeout,
		Message: "no complete answer before the deadline", Remedy: "retry if the request is idempotent, with a longer deadline",
	}
}
