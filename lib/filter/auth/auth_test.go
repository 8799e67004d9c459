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

// resuming is the view of a gateway that goes on after a pause: its configuration is isolated and old until the new
// one is installed, which happens between the first and the second look at the view.
type resuming struct {
	confview.View
	old, fresh *confview.Snapshot
	looks      int
}

func (v *resuming) Snapshot() *confview.Snapshot {
	if v.looks++; v.looks > 1 {
		return v.fresh
	}
	return v.old
}

func (v *resuming) Status() confview.Status {
	if v.looks++; v.looks > 1 {
		return confview.Fresh
	}
	return confview.Isolated
}

// Guards against an old snapshot being used with the status of the newer one: a gateway resumed after SIGSTOP
// answered a withdrawn key while the withdrawal was installed.
func TestStatusBelongsToSnapshot(t *testing.T) {
	hash := sha256.Sum256([]byte("withdrawn"))
	with := &confview.Snapshot{Placement: &placement.View{}, State: ticket.Empty()}
	with.State.Organisations["o"] = ticket.Organisation{Name: "o"}
	with.State.Keys[hex.EncodeToString(hash[:])] = ticket.Key{Name: "k", Organisation: "o"}
	without := &confview.Snapshot{Placement: &placement.View{}, State: ticket.Empty()}
	f := New(pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil }),
		Config{View: &resuming{old: with, fresh: without}})
	var h fasthttp.RequestCtx
	h.Request.Header.Set("Authorization", "Bearer withdrawn")
	err := f.Serve(t.Context(), &pipeline.Exchange{HTTP: &h, Kind: pipeline.KindModels})
	if r, ok := refusal.As(err); !ok || r.Run != refusal.NotRun {
		t.Fatalf("withdrawn key: %v", err)
	}
}
