package peers

import (
	"log/slog"
	"reflect"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/orglimit"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// Guards against fields that are lost or altered on the way between hosts.
func TestDecodedStateEqualsEncodedState(t *testing.T) {
	s := &State{
		Host: "h", Boot: 7, Number: 9, ConfigVersion: 3,
		Demand:   orglimit.Report{"o": {Charged: 5, Demand: 6, SharedTokens: -7}},
		Loads:    map[string]balance.Load{"t": {Running: 1, PrefillTokens: 2, CacheTokens: 3, PrefillMSPerSecond: 4}},
		Suspects: []string{"x"},
		Changes:  storewatch.TargetChanges{Departures: []registry.Departure{{ID: "d", Started: 8, Removed: true}}},
		Placement: &Placement{Epoch: 2, Residencies: map[string]registry.Residency{"t": {
			Started: 3,
			Models:  []registry.ResidentModel{{Model: "m", Adapters: []string{"a1"}}},
		}}},
	}
	data, err := encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decode(data); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("%+v %v", got, err)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := encode(&State{Host: "h"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := decode(data); err == nil && s == nil {
			t.Error("neither state nor error")
		}
	})
}

// newExchanger returns an exchanger that knows one other host, and records the numbers of received states and the
// number of hosts.
func newExchanger(received *[]uint64, hosts *int) *Exchanger {
	x := New("self", "127.0.0.1:1", Handlers{
		FillState: func(*State) {}, OnState: func(s *State) { *received = append(*received, s.Number) },
		OnUnreachable: func(string) {},
		OnHostCount:   func(n, _ int, _ time.Duration) { *hosts = n },
	}, slog.New(slog.DiscardHandler))
	x.SetEntries(map[string][]byte{"self": nil, "other": []byte(`{"addr":"127.0.0.1:2"}`), "bad": []byte("x")})
	return x
}

// Guards against a host that ignores all states until it has read the entries in the store again: a state carries the
// address of its host.
func TestStateOfHostWithoutEntryIsAccepted(t *testing.T) {
	var received []uint64
	var hosts int
	x := newExchanger(&received, &hosts)
	x.handleState(&State{Host: "new", Boot: 1, Number: 1, Addr: "127.0.0.1:9"})
	x.reportHostCount()
	if addr, ok := x.Addr("new"); !ok || addr != "127.0.0.1:9" || len(received) != 1 {
		t.Errorf("address %q %v, received %v", addr, ok, received)
	}
	if hosts != 3 {
		t.Errorf("%d hosts, want 3", hosts)
	}
}

// Guards against handling a state that a newer one has overtaken. The numbers start again when a host restarts.
func TestOlderStatesAreIgnored(t *testing.T) {
	var received []uint64
	var hosts int
	x := newExchanger(&received, &hosts)
	for _, s := range []State{
		{Host: "other", Boot: 1, Number: 5},
		{Host: "other", Boot: 1, Number: 4},
		{Host: "other", Boot: 1, Number: 6},
		{Host: "other", Boot: 2, Number: 1},
		{Host: "stranger", Boot: 1, Number: 1},
		{Host: "self", Boot: 1, Number: 1},
	} {
		x.handleState(&s)
	}
	if !reflect.DeepEqual(received, []uint64{5, 6, 1}) {
		t.Errorf("received %v, want 5, 6, 1", received)
	}
}

// Guards against hosts that drop out of the count, and thus out of the rate limits, while the store is down: their entries
// expire, but their states arrive.
func TestReachableHostsWithoutEntryAreCounted(t *testing.T) {
	var received []uint64
	var hosts int
	x := newExchanger(&received, &hosts)
	if hosts != 2 {
		t.Fatalf("%d hosts", hosts)
	}
	x.handleState(&State{Host: "other", Boot: 1, Number: 1})
	x.SetEntries(map[string][]byte{})
	x.expirePeers(time.Now().Add(removeTimeout / 2))
	if hosts != 2 {
		t.Errorf("%d hosts while the other is reachable", hosts)
	}
	x.expirePeers(time.Now().Add(2 * removeTimeout))
	if hosts != 1 {
		t.Errorf("%d hosts after the other became unreachable", hosts)
	}
}

// Guards against a controller that sends its placement with every state.
func TestPlacementIsSentWhenItChanges(t *testing.T) {
	var received []uint64
	var hosts int
	x := newExchanger(&received, &hosts)
	now := time.Now()
	p := func(model string) *Placement {
		return &Placement{
			Epoch: 1, Residencies: map[string]registry.Residency{"t": {Models: []registry.ResidentModel{{Model: model}}}},
		}
	}
	for i, c := range []struct {
		p    *Placement
		at   time.Duration
		sent bool
	}{{p("a"), 0, true}, {p("a"), time.Millisecond, false}, {p("b"), 2 * time.Millisecond, true}, {p("b"), time.Second, true}, {nil, time.Second, false}} {
		if got := x.placementToSend(c.p, now.Add(c.at)) != nil; got != c.sent {
			t.Errorf("step %d: sent %v, want %v", i, got, c.sent)
		}
	}
}
