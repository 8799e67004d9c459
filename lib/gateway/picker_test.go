package gateway

import (
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/confview/viewtest"
	"cuminhook.org/cuminhook/lib/filter/dispatch"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/router"
)

// Guards against finished requests whose prompts still count as waiting for prefill, which would keep further requests
// away from the target, and against failed targets that are not reported as suspects.
func TestRouterPickerReleasesPrefillAndReportsSuspects(t *testing.T) {
	view := viewtest.New(&confview.Snapshot{Placement: &placement.View{Version: 1, Targets: []placement.TargetView{
		{ID: "t0", Addr: "127.0.0.1:1", Slots: 8, Models: []string{"m"}},
	}}})
	var suspects []string
	p := NewRouterPicker(view, "z", func(id string) { suspects = append(suspects, id) })
	p.updateTopology()
	req := dispatch.PickRequest{Model: "m", PromptTokens: 8000}
	idleWait := p.estimateWait(req)
	for _, verdict := range []dispatch.AttemptOutcome{dispatch.Answered, dispatch.Cancelled, dispatch.Failed} {
		for _, started := range []bool{true, false} {
			target, release, err := p.Pick(req)
			if err != nil {
				t.Fatal(err)
			}
			if p.estimateWait(req) < idleWait+500*time.Millisecond {
				t.Error("a prompt that waits for prefill does not add to the estimated wait")
			}
			if started {
				target.OnFirstEvent()
			}
			release(dispatch.Result{Outcome: verdict})
			if got := p.estimateWait(req); got != idleWait {
				t.Errorf("estimated wait %v after the request ended, %v before it", got, idleWait)
			}
		}
	}
	if len(suspects) != 2 || suspects[0] != "t0" {
		t.Errorf("suspects %v, want t0 for each failure", suspects)
	}
}

// estimateWait returns the router's estimate of the time to first token of a request sent now.
func (p *RouterPicker) estimateWait(req dispatch.PickRequest) time.Duration {
	wait, _ := p.router.EstimateWait(time.Now(), &router.Request{Model: req.Model, PromptTokens: req.PromptTokens})
	return wait
}
