package datapath

import (
	"strings"
	"testing"

	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

// Guards the whole path: a streamed and a whole model request, a service call and the model list.
func TestWholePath(t *testing.T) {
	bubble(t, engines.Config{Prefill: 1000, Decode: 50}, nil, func(r *rig) {
		whole := r.call("POST", "/v1/chat/completions", chat("ciao", false), bearer)
		if whole.status != 200 || strings.Count(whole.body, " ") != 12 {
			t.Errorf("whole: %+v", whole)
		}
		stream := r.call("POST", "/v1/chat/completions", chat("ciao", true), bearer)
		events, failed := data(stream.body)
		if stream.status != 200 || failed || len(events) != 14 || events[13] != "[DONE]" {
			t.Errorf("stream: %+v", stream)
		}
		call := r.call("GET", "/siren/state?zone=1", "", bearer)
		if call.status != 200 || !strings.Contains(call.body, "zone=1") {
			t.Errorf("service: %+v", call)
		}
		list := r.call("GET", "/v1/models", "", bearer)
		if list.status != 200 || !strings.Contains(list.body, "bolt-nord") || strings.Contains(list.body, "spare") {
			t.Errorf("models: %+v", list)
		}
	})
}

// Guards against a refusal that lacks its parts, or that lets an unknown key in.
func TestRefusalsNameReasonRunStateAndRemedy(t *testing.T) {
	bubble(t, engines.Config{}, nil, func(r *rig) {
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
			a := r.call(c.method, c.path, c.body, c.header)
			e := a.refusal().Error
			if a.status != c.status || e.Reason != c.reason || e.Run != "not_run" || e.Remedy == "" || e.RequestID == "" {
				t.Errorf("%s: %+v", c.reason, a)
			}
		}
	})
}
