package balance

import (
	"errors"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/registry"
)

// Guards against targets that are chosen although their zone is evacuated or their region is not allowed, and against a reason that
// sends callers away although waiting helps.
func TestIneligibleTargetsAreNotChosen(t *testing.T) {
	for name, c := range map[string]struct {
		evacuated []string
		regions   []string
		want      string // zones that are chosen
		err       error
	}{
		"any":                          {nil, nil, "abcd", nil},
		"one zone evacuated":           {[]string{"a"}, nil, "bcd", nil},
		"all zones evacuated":          {[]string{"a", "b", "c", "d"}, nil, "", ErrEvacuated},
		"one region":                   {nil, []string{"north"}, "ab", nil},
		"zone without a region":        {nil, []string{"c"}, "c", nil},
		"no target in the region":      {nil, []string{"west"}, "", ErrRegion},
		"evacuated part of a region":   {[]string{"a"}, []string{"north"}, "b", nil},
		"evacuated region":             {[]string{"a", "b"}, []string{"north"}, "", ErrEvacuated},
		"name of a zone with a region": {nil, []string{"a"}, "", ErrRegion},
	} {
		b := newBalancer("a")
		b.SetTargets(engines(8, registry.ResidentModel{Model: "m"}))
		b.SetRegions(map[string]string{"a": "north", "b": "north"})
		zones := map[string]bool{}
		for _, zone := range c.evacuated {
			zones[zone] = true
		}
		b.SetEvacuated(zones)
		chosen := map[string]bool{}
		for range 300 {
			choice, err := b.Pick(Query{Service: "llm", Call: &passthrough.Call{Model: "m", PromptTokens: 3000}, Regions: c.regions}, now)
			if !errors.Is(err, c.err) {
				t.Fatalf("%s: %v", name, err)
			}
			if err == nil {
				chosen[choice.Target.Zone] = true
			}
		}
		got := ""
		for _, zone := range "abcd" {
			if chosen[string(zone)] {
				got += string(zone)
			}
		}
		if got != c.want {
			t.Errorf("%s: zones %q, want %q", name, got, c.want)
		}
	}
}

// Guards against requests that wait for room at an evacuated zone, and against a host that sends all of its demand because the idle
// targets of such a zone look like room.
func TestEvacuatedZoneIsNoRoom(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(engines(8, registry.ResidentModel{Model: "m"}))
	woken := 0
	b.OnRoom(func(service string) { woken++ })
	b.SetEvacuated(map[string]bool{"b": true, "c": true, "d": true})
	if woken != 1 {
		t.Errorf("waiting requests were woken %d times", woken)
	}
	for range 2 * 64 {
		pick(t, b, Query{Service: "llm", Call: &passthrough.Call{Model: "m", PromptTokens: 10}})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, fill, ok := b.loadOfAll(&gate{service: "llm", model: "m", wanted: time.Minute}, now); !ok || fill < 1 {
		t.Errorf("all slots outside of the evacuated zones are taken, but %.2f of them count as taken", fill)
	}
}
