package balance

import (
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

// Guards against a busy target that counts as silent, and against a silent one that does not.
func TestSilenceIsToldFromLoad(t *testing.T) {
	const after = time.Second
	for name, c := range map[string]struct {
		full, progress, responds, suspected, gone bool
		wait                                      time.Duration
		silent                                    bool
	}{
		"no time has passed":                {wait: after - 1},
		"idle, no answer":                   {wait: after, silent: true},
		"idle, answers others":              {wait: after, responds: true},
		"idle, answers others but not this": {wait: 3 * after / 2, responds: true, silent: true},
		"full, peers see progress":          {wait: 3 * after, full: true, progress: true},
		"full, answers others":              {wait: 3 * after, full: true, responds: true},
		"full, nobody sees progress":        {wait: after, full: true, silent: true},
		"full, a peer suspects it":          {wait: after, full: true, progress: true, suspected: true, silent: true},
		"full, left the list":               {wait: after, full: true, progress: true, gone: true, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer("a")
			b.SetTargets(engines(1, registry.ResidentModel{Model: "m"}))
			choice := pick(t, b, Query{Service: "llm", Call: sharedPrefixCall("s")})
			load := Load{}
			if c.full {
				load.Running = 70
			}
			b.SetPeerLoads("peer", map[string]Load{"t00": load})
			if c.suspected {
				b.SetSuspects("peer", map[string]int{"t00": 1})
			}
			if c.gone {
				b.SetTargets(nil)
			}
			silent := false
			for d := time.Duration(0); d <= c.wait; d += c.wait / 20 {
				if c.progress {
					load.Running ^= 1
					b.SetPeerLoads("peer", map[string]Load{"t00": load})
				}
				if c.responds {
					b.targets["t00"].recordResponse(now.Add(d))
				}
				silent = choice.Silent(now, after, now.Add(d))
			}
			if silent != c.silent {
				t.Errorf("silent %v, want %v", silent, c.silent)
			}
		})
	}
}
