// Package orgrate is the filter that enforces the token rates of organisations: it refuses requests above them.
package orgrate

import (
	"context"
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/ratekeeper"
	"cuminhook.org/cuminhook/lib/refusal"
)

// minRetryAfter is the shortest Retry-After. A shorter one would be unreliable, since callers of other hosts spend the tokens that come.
const minRetryAfter = 250 * time.Millisecond

// Config are the settings of the filter.
type Config struct {
	Keepers *ratekeeper.Keepers
	Log     *slog.Logger
}

type filter struct {
	next pipeline.Handler
	cfg  Config
}

// New returns the filter.
func New(next pipeline.Handler, cfg Config) pipeline.Handler { return &filter{next, cfg} }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	o := ex.Customer
	if o == nil || ex.Passed { // charged at the host that has passed it on
		return f.next.Serve(ctx, ex)
	}
	ex.Charge = o.PlainTokens
	if ex.Call.HasTokens {
		ex.Charge = ex.Call.Tokens()
	}
	chargedAt := time.Now()
	decision := f.cfg.Keepers.Charge(ctx, o, ex.Charge)
	if !decision.Admitted {
		f.cfg.Log.Info("above the rate", "request_id", ex.ID, "organisation", o.Name, "charge", ex.Charge, "rate", o.Rate,
			"burst", o.Burst, "keeper", decision.Keeper, "level", int64(decision.Level), "waited_ms", time.Since(chargedAt).Milliseconds())
		return &refusal.Error{
			Reason: refusal.RateExceeded, Run: refusal.NotRun, Status: fasthttp.StatusTooManyRequests,
			Message: "the organisation is above its rate", Remedy: "send it again after the time stated, or raise the rate",
			RetryAfter: max(decision.RetryAfter, minRetryAfter),
		}
	}
	err := f.next.Serve(ctx, ex)
	if r, refused := refusal.As(err); refused && r.Run == refusal.NotRun {
		f.cfg.Keepers.Withdraw(o, ex.Charge, decision, chargedAt)
	}
	return err
}
