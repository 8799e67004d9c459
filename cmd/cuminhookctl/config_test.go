package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against pipelines that take a configuration with mistakes for a sound one, and against keys in the output of a check.
func TestConfigCheckTellsFindingsByItsExitCode(t *testing.T) {
	file := func(text string) string {
		name := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	run := func(want int, args ...string) string {
		var out, errs bytes.Buffer
		if code := (&app{out: &out, errOut: &errs}).run(append([]string{"config", "check"}, args...)); code != want {
			t.Errorf("%v: exit code %d, want %d: %s%s", args, code, want, out.String(), errs.String())
		}
		return out.String()
	}
	config := func(version, timeout, service, key string) string {
		return file(`{"version":` + version + `,"routes":[{"name":"r","host":"h","prefix":"/","kind":"stream","timeout_ms":` + timeout +
			`,"target_latency_ms":800,"service":"` + service + `"}],"services":[{"name":"s"}],"tenants":[{"name":"o","api_keys":["` + key + `"]}]}`)
	}
	sound := config("1", "900", "s", "secret-1")
	run(0, sound)
	run(1, config("2", "900", "none", "k"))
	run(2, config("2", "500", "s", "k"))
	run(3)
	run(3, filepath.Join(t.TempDir(), "missing"))
	run(3, "--unknown", sound)
	run(3, sound, "--against", file("{"))
	out := run(0, config("2", "1900", "s", "secret-2"), "--against", sound)
	if !strings.Contains(out, "route r: timeout from 900ms to 1.9s") || !strings.Contains(out, "organisation o: keys") || strings.Contains(out, "secret") {
		t.Errorf("differences: %s", out)
	}
	run(1, config("1", "950", "s", "secret-1"), "--against", sound) // hosts never install it, as its version is not above
	run(0, sound, "--against", sound)
	var report checkReport
	if err := json.Unmarshal([]byte(run(2, config("2", "500", "s", "k"), "--against", sound, "-o", "json")), &report); err != nil ||
		len(report.Findings) != 1 || report.Findings[0].Line != 1 || len(report.Changes) != 3 {
		t.Errorf("%+v %v", report, err)
	}
}
