// Package idempotency is the filter that runs a non-idempotent request with an idempotency key at most
// once. It claims the key before the request and reports the outcome after it.
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

// defaultRun bounds an attempt without deadline.
const defaultRun = 5 * time.Minute

// runMargin is added to the deadline: a request may still run at its target when the deadline ends the
// wait for it.
const runMargin = 30 * time.Second

// Config is what the filter needs.
type Config struct {
	Claims *idem.Manager
}

// Filter implements pipeline.Handler.
type Filter struct {
	next   pipeline.Handler
	claims *idem.Manager
}

// New returns the filter.
func New(next pipeline.Handler, cfg Config) *Filter {
	return &Filter{next: next, claims: cfg.Claims}
}

// Serve passes exchanges on that are idempotent or carry no idempotency key. For others it answers with
// the stored response of an earlier attempt, refuses, or runs the request.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if ex.Idempotent || ex.IdempotencyKey == "" {
		return f.next.Serve(ctx, ex)
	}
	runs := defaultRun
	if !ex.Deadline.IsZero() {
		runs = time.Until(ex.Deadline) + runMargin
	}
	key := idem.MakeKey(ex.Organisation, ex.IdempotencyKey)
	claim, stored, err := f.claims.Claim(ctx, key, digest(ex), runs)
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
	ex.OnFinish(func(out pipeline.Outcome) { report(claim, ex, out) })
	return f.next.Serve(ctx, ex)
}

func report(claim *idem.Claim, ex *pipeline.Exchange, out pipeline.Outcome) {
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

// digest covers what makes two requests the same: method, path with query, and body.
func digest(ex *pipeline.Exchange) (sum [32]byte) {
	h := sha256.New()
	h.Write(ex.HTTP.Method())
	h.Write([]byte{0})
	h.Write(ex.HTTP.RequestURI())
	h.Write([]byte{0})
	h.Write(ex.HTTP.Request.Body())
	h.Sum(sum[:0])
	return sum
}
