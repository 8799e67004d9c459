package main

import (
	"strings"
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
)

const minimal = `host: h1
zone: Catania
mesh: 127.0.0.1:7001
metrics: 127.0.0.1:7002
kv: http://127.0.0.1:7003
hosts: http://127.0.0.1:7003
listen: 127.0.0.1:7004
`

// Guards against --print-config output that --config refuses, and against values that would turn a limit off.
func TestSettings(t *testing.T) {
	cfg := defaults()
	if err := settings.Parse("a.yaml", []byte(minimal), &cfg); err != nil {
		t.Fatal(err)
	}
	text, err := settings.Print(cfg)
	if err != nil {
		t.Fatal(err)
	}
	var again config
	if err := settings.Parse("b.yaml", []byte(text), &again); err != nil || again.Limits != cfg.Limits || again.Listen != cfg.Listen {
		t.Errorf("printed settings: %v\n%s", err, text)
	}
	for _, wrong := range []string{
		"limits: {max_body: 0}", "limits: {max_buffered: 1}", "limits: {read_timeout: 0s}", "limits: {max_conns_per_ip: -1}", "stop_delay: -1s", "listen: here", "lisen: 127.0.0.1:1",
	} {
		cfg := defaults()
		body := minimal
		if strings.HasPrefix(wrong, "listen") {
			body = strings.Replace(minimal, "listen: 127.0.0.1:7004", "", 1)
		}
		if settings.Parse("a.yaml", []byte(body+wrong+"\n"), &cfg) == nil {
			t.Errorf("%s was accepted", wrong)
		}
	}
}
