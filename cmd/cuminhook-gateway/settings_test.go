package main

import (
	"strings"
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
)

const minimalSettings = `host: h1
zone: Catania
mesh: 127.0.0.1:7001
metrics: 127.0.0.1:7002
kv: http://127.0.0.1:7003
hosts: http://127.0.0.1:7003
listen: 127.0.0.1:7004
`

// Guards against --print-config output that --config rejects or reads differently, and against settings that would
// disable a limit.
func TestSettingsReloadAndInvalidLimits(t *testing.T) {
	cfg := defaults()
	if err := settings.Parse("a.yaml", []byte(minimalSettings), &cfg); err != nil {
		t.Fatal(err)
	}
	text, err := settings.Format(cfg)
	if err != nil {
		t.Fatal(err)
	}
	var reloaded config
	if err := settings.Parse("b.yaml", []byte(text), &reloaded); err != nil || reloaded.Limits != cfg.Limits || reloaded.Listen != cfg.Listen {
		t.Errorf("printed settings: %v\n%s", err, text)
	}
	for _, invalid := range []string{
		"limits: {max_body: 0}", "limits: {max_buffered: 1}", "limits: {read_timeout: 0s}", "limits: {max_conns_per_ip: -1}", "stop_delay: -1s", "listen: here", "lisen: 127.0.0.1:1",
	} {
		cfg := defaults()
		body := minimalSettings
		if strings.HasPrefix(invalid, "listen") {
			body = strings.Replace(minimalSettings, "listen: 127.0.0.1:7004", "", 1)
		}
		if settings.Parse("a.yaml", []byte(body+invalid+"\n"), &cfg) == nil {
			t.Errorf("%s was accepted", invalid)
		}
	}
}
