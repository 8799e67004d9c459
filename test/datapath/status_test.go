package datapath

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/host"
	"cuminhook.org/cuminhook/lib/manifest"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

// Guards the rules of each configuration status: keyed requests run in fresh and outage only, announced
// withdrawals apply in outage only, open routes go on while isolated.
func TestStatusRules(t *testing.T) {
	for status, want := range map[confview.Status]struct{ mine, other, open, ready string }{
		confview.Starting: {"starting", "starting", "starting", "starting"},
		confview.Fresh:    {"", "", "", "serving"},
		confview.Outage:   {"key_unknown", "", "", "serving on old configuration"},
		confview.Isolated: {"config_stale", "config_stale", "", "isolated"},
	} {
		bubble(t, engines.Config{}, nil, func(r *rig) {
			snap := snapshot(state())
			for index, k := range snap.State.Keys {
				if k.Organisation == "etna" {
					snap.Restrictions = []manifest.Restriction{{Keys: []string{index}}}
				}
			}
			r.view.Set(snap)
			r.view.SetStatus(status, true)
			for name, got := range map[string][2]string{
				"own key":   {r.call("GET", "/siren/state", "", bearer).refusal().Error.Reason, want.mine},
				"other key": {r.call("GET", "/siren/state", "", "Authorization: Bearer "+otherKey).refusal().Error.Reason, want.other},
				"open":      {r.call("GET", "/open/a", "").refusal().Error.Reason, want.open},
			} {
				if got[0] != got[1] {
					t.Errorf("%s, %s: reason %q, want %q", status, name, got[0], got[1])
				}
			}
			s := host.NewStatusServer(r.view, metrics.NewSet())
			if ready, ok := s.Ready(); ready != want.ready || ok != status.Serving() {
				t.Errorf("%s: ready %q %t", status, ready, ok)
			}
			if s.SetStopping(); status == confview.Fresh {
				if ready, ok := s.Ready(); ready != "stopping" || ok {
					t.Errorf("stopping: ready %q %t", ready, ok)
				}
			}
		})
	}
}

// Guards against work for a target that leaves, by the host list or by its own answer.
func TestLeavingTargetsGetNoWork(t *testing.T) {
	bubble(t, engines.Config{}, nil, func(r *rig) {
		snap := snapshot(state())
		snap.Hosts[0].Leaving = true
		snap.Placement.Targets[0].Leaving = true
		r.view.Set(snap)
		for range 8 {
			r.call("GET", "/siren/state", "", bearer)
			r.call("POST", "/v1/chat/completions", chat("a", false), bearer)
		}
		if len(r.services[0].Seen()) != 0 || len(r.services[1].Seen()) != 8 {
			t.Errorf("service calls: %d to the leaving one, %d to the other", len(r.services[0].Seen()), len(r.services[1].Seen()))
		}
		if len(r.engines[0].Runs("")) != 0 || len(r.engines[1].Runs("")) != 8 {
			t.Errorf("requests: %d to the leaving engine, %d to the other", len(r.engines[0].Runs("")), len(r.engines[1].Runs("")))
		}
	})
}
