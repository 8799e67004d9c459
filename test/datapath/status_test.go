package datapath

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/host"
	"cuminhook.org/cuminhook/lib/manifest"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

// Guards against a configuration status that refuses too many requests or too few: requests with a key run only when the
// configuration is fresh or in an outage, announced withdrawals apply only in an outage, and open routes are served while
// isolated.
func TestStatusRules(t *testing.T) {
	for status, want := range map[confview.Status]struct{ mine, other, open, ready string }{
		confview.Starting: {"starting", "starting", "starting", "starting"},
		confview.Fresh:    {"", "", "", "serving"},
		confview.Outage:   {"key_unknown", "", "", "serving on old configuration"},
		confview.Isolated: {"config_stale", "config_stale", "", "isolated"},
	} {
		runInBubble(t, engines.Config{}, nil, func(env *testEnv) {
			snap := testSnapshot(testState())
			for index, k := range snap.State.Keys {
				if k.Organisation == "etna" {
					snap.Restrictions = []manifest.Restriction{{Keys: []string{index}}}
				}
			}
			env.view.Set(snap)
			env.view.SetStatus(status, true)
			for name, got := range map[string][2]string{
				"own key":   {env.call("GET", "/siren/state", "", bearer).refusal().Error.Reason, want.mine},
				"other key": {env.call("GET", "/siren/state", "", "Authorization: Bearer "+otherKey).refusal().Error.Reason, want.other},
				"open":      {env.call("GET", "/open/a", "").refusal().Error.Reason, want.open},
			} {
				if got[0] != got[1] {
					t.Errorf("%s, %s: reason %q, want %q", status, name, got[0], got[1])
				}
			}
			s := host.NewStatusServer(env.view, metrics.NewSet())
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

// Guards against work for a target that is leaving according to the host list and the placement.
func TestLeavingTargetsGetNoWork(t *testing.T) {
	runInBubble(t, engines.Config{}, nil, func(env *testEnv) {
		snap := testSnapshot(testState())
		snap.Hosts[0].Leaving = true
		snap.Placement.Targets[0].Leaving = true
		env.view.Set(snap)
		for range 8 {
			env.call("GET", "/siren/state", "", bearer)
			env.call("POST", "/v1/chat/completions", chat("a", false), bearer)
		}
		if len(env.services[0].ReceivedCalls()) != 0 || len(env.services[1].ReceivedCalls()) != 8 {
			t.Errorf("service calls: %d to the leaving one, %d to the other",
				len(env.services[0].ReceivedCalls()), len(env.services[1].ReceivedCalls()))
		}
		if len(env.engines[0].Runs("")) != 0 || len(env.engines[1].Runs("")) != 8 {
			t.Errorf("requests: %d to the leaving engine, %d to the other",
				len(env.engines[0].Runs("")), len(env.engines[1].Runs("")))
		}
	})
}
