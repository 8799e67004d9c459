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

// Guards against prompts that count as waiting for prefill for ever, which would keep requests away from a
// target, and against failed targets of which the controller hears nothing.
func TestRouterPickerEndsWhatItCounts(t *testing.T) {
	view := viewtest.New(&confview.Snapshot{Placement: &placement.View{Version: 1, Targets: []placement.TargetView{
		{ID: "t0", Addr: "127.0.0.1:1", Slots: 8, Models: []string{"m"}},
	}}})
	var suspects []string
	p := NewRouterPicker(view, "z", func(id string) { suspects = append(suspects, id) })
	p.refresh()
	req := dispatch.PickRequest{Model: "m", PromptTokens: 8000}
	idle := p.wait(req)
	for _, verdict := range []dispatch.AttemptOutcome{dispatch.Answered, dispatch.Cancelled, dispatch.Failed} {
		for _, started := range []bool{true, false} {
			target, release, err := p.Pick(req)
			if err != nil {
				t.Fatal(err)
			}
			if p.wait(req) < idle+500*time.Millisecond {
				t.Error("a prompt in front does not count")
			}
			if started {
				target.OnFirstEvent()
			}
			release(dispatch.Result{Outcome: verdict})
			if got := p.wait(req); got != idle {
				t.Errorf("wait %v after the end, %v before", got, idle)
			}
		}
	}
	if len(suspects) != 2 || suspects[0] != "t0" {
		t.Errorf("suspects %v, want t0 for each failure", suspects)
	}
}

// wait estimates the time to the first token of a request sent now.
func (p *RouterPicker) wait(req dispatch.PickRequest) time.Duration {
	wait, _ := p.router.EstimateWait(time.Now(), &router.Request{Model: req.Model, PromptTokens: req.PromptTokens})
	return wait
}
