package auth

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

// resumedView is the view of a gateway process that was resumed after a pause. The first read returns the old, isolated
// configuration; the new one is installed before the second read.
type resumedView struct {
	confview.View
	old, fresh *confview.Snapshot
	reads      int
}

func (v *resumedView) Snapshot() *confview.Snapshot {
	if v.reads++; v.reads > 1 {
		return v.fresh
	}
	return v.old
}

func (v *resumedView) Status() confview.Status {
	if v.reads++; v.reads > 1 {
		return confview.Fresh
	}
	return confview.Isolated
}

// Guards against use of an old snapshot with the status of a newer one. A gateway that was resumed after SIGSTOP accepted
// a revoked key because the revocation was installed between its reads of the snapshot and of the status.
func TestRevokedKeyIsRefusedAfterResume(t *testing.T) {
	hash := sha256.Sum256([]byte("withdrawn"))
	withKey := &confview.Snapshot{Placement: &placement.View{}, State: ticket.EmptyState()}
	withKey.State.Organisations["o"] = ticket.Organisation{Name: "o"}
	withKey.State.Keys[hex.EncodeToString(hash[:])] = ticket.Key{Name: "k", Organisation: "o"}
	withoutKey := &confview.Snapshot{Placement: &placement.View{}, State: ticket.EmptyState()}
	f := New(pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil }),
		Config{View: &resumedView{old: withKey, fresh: withoutKey}})
	var h fasthttp.RequestCtx
	h.Request.Header.Set("Authorization", "Bearer withdrawn")
	err := f.Serve(t.Context(), &pipeline.Exchange{HTTP: &h, Kind: pipeline.KindModels})
	if r, ok := refusal.As(err); !ok || r.Run != refusal.NotRun {
		t.Fatalf("revoked key: %v, want a refusal", err)
	}
}
