// Package auth is the filter that finds the organisation of a caller's key. It enforces the rules of each
// configuration status.
package auth

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/filter/routing"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Config are the settings of the filter.
type Config struct {
	View confview.View
}

type filter struct {
	next    pipeline.Handler
	cfg     Config
	matcher routing.Matcher
}

// New returns the filter.
func New(next pipeline.Handler, cfg Config) pipeline.Handler { return &filter{next: next, cfg: cfg} }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	snap, status := confview.SnapshotWithStatus(f.cfg.View)
	if status == confview.Starting {
		return starting()
	}
	if ex.Kind == pipeline.KindService {
		if route, ok := f.matcher.Match(snap.State, string(ex.HTTP.Path())); ok && route.Open {
			return f.next.Serve(ctx, ex)
		}
	}
	key := pipeline.BearerKey(&ex.HTTP.Request.Header)
	if len(key) == 0 {
		return &refusal.Error{
			Reason: refusal.KeyMissing, Run: refusal.NotRun, Status: fasthttp.StatusUnauthorized,
			Message: "the request carries no key", Remedy: "send Authorization: Bearer followed by the key",
		}
	}
	hash := sha256.Sum256(key)
	organisation, err := Check(snap, status, hash)
	if err != nil {
		return err
	}
	ex.KeyHash, ex.Organisation = hash, organisation
	return f.next.Serve(ctx, ex)
}

func starting() *refusal.Error {
	return &refusal.Error{
		Reason: refusal.Starting, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second,
		Message: "this host has no configuration yet", Remedy: "retry, preferably through the load balancer",
	}
}

// Check returns the organisation of a key hash, or the refusal that the status demands.
func Check(snap *confview.Snapshot, status confview.Status, hash [32]byte) (string, error) {
	switch status {
	case confview.Fresh, confview.Outage:
	case confview.Starting:
		return "", starting()
	default:
		return "", &refusal.Error{
			Reason: refusal.ConfigStale, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second,
			Message: "this host cannot confirm that its configuration is in force", Remedy: "retry, preferably on another host",
		}
	}
	index := hex.EncodeToString(hash[:])
	key, ok := snap.State.Keys[index]
	if ok {
		_, ok = snap.State.Organisations[key.Organisation]
	}
	if ok && status == confview.Outage {
		ok = !withdrawn(snap, index)
	}
	if !ok {
		return "", &refusal.Error{
			Reason: refusal.KeyUnknown, Run: refusal.NotRun, Status: fasthttp.StatusUnauthorized,
			Message: "the key is not valid", Remedy: "use a valid key; ask the operators for one",
		}
	}
	return key.Organisation, nil
}

// withdrawn reports whether an unresolved announcement withdraws the key. The write may or may not have
// taken effect; the restrictive reading applies.
func withdrawn(snap *confview.Snapshot, index string) bool {
	for _, r := range snap.Restrictions {
		if slices.Contains(r.Keys, index) {
			return true
		}
	}
	return false
}
