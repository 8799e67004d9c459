// Package auth is the filter that authenticates a request by its key and sets the key's organisation. A configuration
// that is missing or may be out of date leads to a refusal; the rules depend on the configuration status.
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

// Config holds the settings of the filter.
type Config struct {
	View confview.View
}

type filter struct {
	next    pipeline.Handler
	cfg     Config
	matcher routing.Matcher
}

// New returns the filter; it passes authenticated exchanges and those of open routes on to next.
func New(next pipeline.Handler, cfg Config) pipeline.Handler { return &filter{next: next, cfg: cfg} }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	snap, status := confview.SnapshotWithStatus(f.cfg.View)
	if status == confview.Starting {
		return startingRefusal()
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
	organisation, err := Authenticate(snap, status, hash)
	if err != nil {
		return err
	}
	ex.KeyHash, ex.Organisation = hash, organisation
	return f.next.Serve(ctx, ex)
}

func startingRefusal() *refusal.Error {
	return &refusal.Error{
		Reason: refusal.Starting, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second,
		Message: "this host has no configuration yet", Remedy: "retry, preferably through the load balancer",
	}
}

// Authenticate returns the organisation of the key with the given SHA-256 hash. It returns a *refusal.Error if the key
// is not valid in snap or if the configuration status does not permit a decision.
func Authenticate(snap *confview.Snapshot, status confview.Status, hash [32]byte) (string, error) {
	switch status {
	case confview.Fresh, confview.Outage:
	case confview.Starting:
		return "", startingRefusal()
	default:
		return "", &refusal.Error{
			Reason: refusal.ConfigStale, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second,
			Message: "this host cannot confirm that its configuration is in force", Remedy: "retry, preferably on another host",
		}
	}
	hexHash := hex.EncodeToString(hash[:])
	key, ok := snap.State.Keys[hexHash]
	if ok {
		_, ok = snap.State.Organisations[key.Organisation]
	}
	if ok && status == confview.Outage {
		ok = !revokedByRestriction(snap, hexHash)
	}
	if !ok {
		return "", &refusal.Error{
			Reason: refusal.KeyUnknown, Run: refusal.NotRun, Status: fasthttp.StatusUnauthorized,
			Message: "the key is not valid", Remedy: "use a valid key; ask the operators for one",
		}
	}
	return key.Organisation, nil
}

// revokedByRestriction reports whether an unresolved announcement of a configuration change revokes the key. It is
// unknown whether the change was written, so the key counts as revoked.
func revokedByRestriction(snap *confview.Snapshot, hexHash string) bool {
	for _, r := range snap.Restrictions {
		if slices.Contains(r.Keys, hexHash) {
			return true
		}
	}
	return false
}
