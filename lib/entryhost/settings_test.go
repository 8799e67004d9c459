package entryhost

import (
	"maps"
	"strings"
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
)

const valid = `host: h
zone: z
listen: 10.0.0.1:1
ready: 10.0.0.1:2
peers: 10.0.0.1:3
metrics: 10.0.0.1:4
store: 10.0.0.2:5
retry_ratio: 0.2
retry_slack: 54
placement:
  lease: 3000ms
  loads_overshoot: 1.1
`

// Guards against invalid settings that are accepted, or refused without naming the setting.
func TestInvalidSettingsAreNamed(t *testing.T) {
	s := DefaultSettings()
	if err := settings.Parse("entry.yaml", []byte(valid), &s); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, names string }{
		{"host: h\n", "", "host"},
		{"10.0.0.1:2", "here", "ready"},
		{"retry_ratio: 0.2", "retry_ratio: -1", "retry_ratio"},
		{"retry_slack: 54", "link_mbps: 0", "link_mbps"},
		{"retry_slack: 54", "drain_within: 0s", "drain_within"},
		{"retry_slack: 54", "target_heartbeat: 0s", "target_heartbeat"},
		{"3000ms", "10ms", "lease"},
		{"3000ms", "soon", "[11:10] placement.lease"},
		{"retry_slack", "retry_slak", "retry_slak"},
		{"retry_slack: 54", "cold_overshoot: 0", "cold_overshoot"},
		{"retry_slack: 54", "cold_slack: -1", "cold_slack"},
		{"retry_slack: 54", "evacuate_within: 0s", "evacuate_within"},
		{"retry_slack: 54", "zones:\n  z1: \"\"", "zones"},
		{"loads_overshoot: 1.1", "loads_overshoot: 0.5", "loads_overshoot"},
		{"retry_slack: 54", "memory_mb: 1", "memory_mb"},
		{"retry_slack: 54", "max_fds: 100", "max_fds"},
		{"retry_slack: 54", "callers: {body_timeout: 0s}", "body_timeout"},
		{"retry_slack: 54", "callers: {max_conns: -1}", "max_conns"},
	} {
		s := DefaultSettings()
		err := settings.Parse("entry.yaml", []byte(strings.Replace(valid, c.from, c.to, 1)), &s)
		if err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%q for %q: %v, which does not name %q", c.to, c.from, err, c.names)
		}
	}
}

// Guards against a settings file that is refused because the platform states no zones, or whose zones are not read.
func TestZonesOfTheSettings(t *testing.T) {
	for text, want := range map[string]map[string]string{
		"zones:\n\n": nil, "zones:\n  a: north\n  b: south\n\n": {"a": "north", "b": "south"},
	} {
		s := DefaultSettings()
		if err := settings.Parse("entry.yaml", []byte(valid+text), &s); err != nil || !maps.Equal(s.Zones, want) {
			t.Errorf("%q: %v, %v", text, s.Zones, err)
		}
	}
}

// Guards against more connections or memory for callers than the machine has, and against a host that does not start where they are not
// stated.
func TestLimitsOfTheMachineAreKept(t *testing.T) {
	for text, want := range map[string][2]int{ // connections, MB for callers
		"memory_mb: 144\nmax_fds: 1024\n": {494, 36}, "memory_mb: 536.5\nmax_fds: 700\n": {300, 134}, "memory_mb:\nmax_fds:\n": {2500, 128},
		"max_fds: 1024\ncallers: {max_conns: 100}\n": {100, 128}, "": {2500, 128},
	} {
		s := DefaultSettings()
		if err := settings.Parse("entry.yaml", []byte(valid+text), &s); err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if got := [2]int{s.maxConns(), int(s.callerBytes() / 1e6)}; got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// Guards against settings that are accepted and then break a host.
func FuzzSettings(f *testing.F) {
	f.Add(valid)
	f.Add("host: [1]\n")
	f.Add("placement: {lease: -1s}")
	f.Fuzz(func(t *testing.T, text string) {
		s := DefaultSettings()
		if settings.Parse("entry.yaml", []byte(text), &s) != nil {
			return
		}
		if s.Host == "" || s.Grace <= s.StopDelay || s.Placement.Lease <= 0 || s.RetryRatio < 0 || s.Listen == "" {
			t.Errorf("accepted %+v", s)
		}
	})
}
