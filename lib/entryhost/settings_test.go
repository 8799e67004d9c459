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
		{"3000ms", "10ms", "lease"},
		{"3000ms", "soon", "[11:10] placement.lease"},
		{"retry_slack", "retry_slak", "retry_slak"},
		{"retry_slack: 54", "cold_overshoot: 0.5", "cold_overshoot"},
		{"retry_slack: 54", "cold_slack: -1", "cold_slack"},
		{"retry_slack: 54", "evacuate_within: 1s", "evacuate_within"},
		{"retry_slack: 54", "zones:\n  z1: \"\"", "zones"},
		{"loads_overshoot: 1.1", "loads_overshoot: 0.5", "loads_overshoot"},
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
