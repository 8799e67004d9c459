package datapath

import (
	"strings"
	"testing"

	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

// Guards against a gateway that cannot serve one of its kinds of request without faults: a non-streamed and a streamed
// model request, a service call and the model list.
func TestModelRequestsServiceCallAndModelList(t *testing.T) {
	runInBubble(t, engines.Config{PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50}, nil, func(env *testEnv) {
		whole := env.call("POST", "/v1/chat/completions", chat("ciao", false), bearer)
		if whole.status != 200 || strings.Count(whole.body, " ") != 12 {
			t.Errorf("whole: %+v", whole)
		}
		stream := env.call("POST", "/v1/chat/completions", chat("ciao", true), bearer)
		events, failed := streamEvents(stream.body)
		if stream.status != 200 || failed || len(events) != 14 || events[13] != "[DONE]" {
			t.Errorf("stream: %+v", stream)
		}
		call := env.call("GET", "/siren/state?zone=1", "", bearer)
		if call.status != 200 || !strings.Contains(call.body, "zone=1") {
			t.Errorf("service: %+v", call)
		}
		list := env.call("GET", "/v1/models", "", bearer)
		if list.status != 200 || !strings.Contains(list.body, "bolt-nord") || strings.Contains(list.body, "spare") {
			t.Errorf("models: %+v", list)
		}
	})
}

// Guards against a refusal without reason, run state, remedy or request id, and against a request that should be refused
// and is not.
func TestRefusalsNameReasonRunStateAndRemedy(t *testing.T) {
	runInBubble(t, engines.Config{}, nil, func(env *testEnv) {
		for _, c := range []struct {
			reason, method, path, body, header string
			status                             int
		}{
			{"key_missing", "GET", "/v1/models", "", "X-A: b", 401},
			{"key_unknown", "GET", "/v1/models", "", "Authorization: Bearer nobody", 401},
			{"model_unknown", "POST", "/v1/completions", `{"model":"none","prompt":"a"}`, bearer, 404},
			{"not_allowed", "POST", "/v1/completions", `{"model":"spare","prompt":"a"}`, bearer, 403},
			{"not_found", "GET", "/sirens", "", bearer, 404},
			{"bad_request", "POST", "/v1/completions", `{"model":"bolt","model":"spare","prompt":"a"}`, bearer, 400},
			{"bad_request", "POST", "/v1/completions", `{"model":"bolt","prompt":"a","n":2}`, bearer, 400},
		} {
			a := env.call(c.method, c.path, c.body, c.header)
			e := a.refusal().Error
			if a.status != c.status || e.Reason != c.reason || e.Run != "not_run" || e.Remedy == "" || e.RequestID == "" {
				t.Errorf("%s: %+v", c.reason, a)
			}
		}
	})
}
