// Package idempotency is the filter that runs a non-idempotent request with an idempotency key at most once. It claims
// the key before the request runs and records the outcome afterwards.
package idempotency

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/idem"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// defaultMaxRunTime is the longest run time assumed for a request without a deadline.
const defaultMaxRunTime = 5 * time.Minute

// runTimeMargin is added to the deadline, because a request may still run at its target after the gateway has stopped
// waiting for the answer.
const runTimeMargin = 30 * time.Second

// Config holds the dependencies of the filter.
type Config struct {
	Claims *idem.Manager
}

// Filter implements pipeline.Handler.
type Filter struct {
	next   pipeline.Handler
	claims *idem.Manager
}

// New returns the filter; it passes requests that are to run on to next.
func New(next pipeline.Handler, cfg Config) *Filter {
	return &Filter{next: next, claims: cfg.Claims}
}

// Serve implements pipeline.Handler. It passes on exchanges that are idempotent or carry no idempotency key. Any other
// exchange claims its key and is answered with the stored response of an earlier request, refused, or run.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if ex.Idempotent || ex.IdempotencyKey == "" {
		return f.next.Serve(ctx, ex)
	}
	maxRunTime := defaultMaxRunTime
	if !ex.Deadline.IsZero() {
		maxRunTime = time.Until(ex.Deadline) + runTimeMargin
	}
	key := idem.MakeKey(ex.Organisation, ex.IdempotencyKey)
	claim, stored, err := f.claims.Claim(ctx, key, requestDigest(ex), maxRunTime)
	if err != nil {
		if r, ok := refusal.As(err); ok {
			metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_idempotency_refusals_total{reason=%q,organisation=%q}`,
				string(r.Reason), ex.Organisation)).Inc()
		}
		return err
	}
	if stored != nil {
		ex.HTTP.Response.Header.SetContentType(stored.ContentType)
		ex.HTTP.Response.Header.Set("Idempotency-Replayed", "true")
		ex.HTTP.Response.SetStatusCode(stored.Status)
		ex.HTTP.Response.SetBody(stored.Body)
		return nil
	}
	ex.OnFinish(func(out pipeline.Outcome) { reportOutcome(claim, ex, out) })
	return f.next.Serve(ctx, ex)
}

func reportOutcome(claim *idem.Claim, ex *pipeline.Exchange, out pipeline.Outcome) {
	switch {
	case !out.Ran:
		claim.Release()
	case out.Complete && out.Body != nil:
		r := idem.Response{Status: out.Status, Body: append([]byte(nil), out.Body...)}
		if ex.HTTP != nil {
			r.ContentType = string(ex.HTTP.Response.Header.ContentType())
		}
		claim.Done(r)
	default:
		claim.Unknown()
	}
}

// requestDigest hashes method, path with query, and body. Two requests with the same key must have the same digest.
func requestDigest(ex *pipeline.Exchange) (sum [32]byte) {
	h := sha256.New()
	h.Write(ex.HTTP.Method())
	h.Write([]byte{0})
	h.Write(ex.HTTP.RequestURI())
	h.Write([]byte{0})
	h.Write(ex.HTTP.Request.Body())
	h.Sum(sum[:0])
	return sum
}
