package passon

import (
	"context"
	"crypto/subtle"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// ReceiverConfig are the settings of the filter that takes requests of other hosts.
type ReceiverConfig struct {
	Key     string      // that other hosts have to state
	MaxOpen int64       // most requests of other hosts at the same time
	NoPath  func() bool // reports whether this host reaches no target
	Metrics *metrics.Set
}

type receiver struct {
	next  pipeline.Handler
	cfg   ReceiverConfig
	open  atomic.Int64
	taken *metrics.Counter
}

// NewReceiver returns the first filter for requests that other hosts pass on to this one. They have been charged there, and are not passed on
// again.
func NewReceiver(next pipeline.Handler, cfg ReceiverConfig) pipeline.Handler {
	return &receiver{next: next, cfg: cfg, taken: cfg.Metrics.GetOrCreateCounter("cuminhook_passed_requests_taken_total")}
}

// Serve implements pipeline.Handler.
func (f *receiver) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	h := &ex.HTTP.Request.Header
	id, elsewhere := string(h.Peek(fieldID)), true
	ex.Passed, ex.Counted = true, len(h.Peek(fieldCounted)) > 0
	known := subtle.ConstantTimeCompare(h.Peek(fieldKey), []byte(f.cfg.Key)) == 1 && f.cfg.Key != ""
	dropFields(h)
	ex.OnHeader = func(err error) {
		if !known {
			return
		}
		result := resultAnswered
		if r, refused := refusal.As(err); refused && r.Run == refusal.NotRun {
			result = resultRefused
			if elsewhere || r.Reason == refusal.NoPath || r.Reason == refusal.Stopping {
				result = resultElsewhere
			}
		}
		ex.HTTP.Response.Header.Set(fieldResult, result)
		ex.HTTP.Response.Header.Set(fieldID, id)
	}
	if !known {
		return &refusal.Error{
			Reason: refusal.NotAllowed, Run: refusal.NotRun, Status: fasthttp.StatusForbidden,
			Message: "only hosts may use this address", Remedy: "send requests to the address for callers",
		}
	}
	if f.cfg.NoPath() {
		return noPath()
	}
	if f.open.Add(1) > f.cfg.MaxOpen {
		f.open.Add(-1)
		return &refusal.Error{
			Reason: refusal.QueueFull, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: retryAfter,
			Message: "this host has taken as many requests of others as it may", Remedy: "send it to another host",
		}
	}
	ex.OnFinish(func(pipeline.Outcome) { f.open.Add(-1) })
	elsewhere = false
	f.taken.Inc()
	return f.next.Serve(ctx, ex)
}

// noPath returns the refusal of a host that is cut off from the targets.
func noPath() *refusal.Error {
	return &refusal.Error{
		Reason: refusal.NoPath, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: "this host reaches no target", Remedy: "send it again after the time stated",
	}
}
