package peers

import (
	"log/slog"
	"reflect"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/follow"
	"cuminhook.org/cuminhook/lib/orglimit"
	"cuminhook.org/cuminhook/lib/registry"
)

func TestStateSurvivesTheWay(t *testing.T) {
	s := &State{
		Host: "h", Boot: 7, Number: 9, Config: 3, Demand: orglimit.Report{"o": {Charged: 5, Demand: 6, Pool: -7}},
		Loads: map[string]balance.Load{"t": {Running: 1, Prefill: 2, Cache: 3, Reading: 4}}, Suspects: []string{"x"},
		News:      follow.News{Departures: []registry.Departure{{ID: "d", Started: 8, Gone: true}}},
		Placement: &Placement{Epoch: 2, Residents: map[string]registry.Holding{"t": {Started: 3, Models: []registry.Resident{{Model: "m", Adapters: []string{"a1"}}}}}},
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

func newNode(heard *[]uint64, hosts *int) *Node {
	n := New("self", "127.0.0.1:1", Handlers{
		Fill: func(*State) {}, Heard: func(s *State) { *heard = append(*heard, s.Number) }, Silent: func(string) {},
		Hosts: func(n, _ int, _ time.Duration) { *hosts = n },
	}, slog.New(slog.DiscardHandler))
	n.SetEntries(map[string][]byte{"self": nil, "other": []byte(`{"addr":"127.0.0.1:2"}`), "bad": []byte("x")})
	return n
}

// Guards against a host that hears nobody until it has read all entries in the store again: a state tells where its host
// is.
func TestHostsWithoutEntryAreHeard(t *testing.T) {
	var heard []uint64
	var hosts int
	n := newNode(&heard, &hosts)
	n.heard(&State{Host: "new", Boot: 1, Number: 1, Addr: "127.0.0.1:9"})
	n.recount()
	if addr, ok := n.Addr("new"); !ok || addr != "127.0.0.1:9" || len(heard) != 1 {
		t.Errorf("%q %v, heard %v", addr, ok, heard)
	}
	if hosts != 3 {
		t.Errorf("%d hosts, want 3", hosts)
	}
}

// Guards against a state that overtook a newer one, and against one of a host's earlier start.
func TestOlderStatesAreIgnored(t *testing.T) {
	var heard []uint64
	var hosts int
	n := newNode(&heard, &hosts)
	for _, s := range []State{
		{Host: "other", Boot: 1, Number: 5},
		{Host: "other", Boot: 1, Number: 4},
		{Host: "other", Boot: 1, Number: 6},
		{Host: "other", Boot: 2, Number: 1},
		{Host: "stranger", Boot: 1, Number: 1},
		{Host: "self", Boot: 1, Number: 1},
	} {
		n.heard(&s)
	}
	if !reflect.DeepEqual(heard, []uint64{5, 6, 1}) {
		t.Errorf("heard %v", heard)
	}
}

// Guards against hosts that drop out of the count, and with it out of the limits, while the store is down: their entries
// lapse, but they are heard.
func TestHostsAreCountedWhileTheyAreHeard(t *testing.T) {
	var heard []uint64
	var hosts int
	n := newNode(&heard, &hosts)
	if hosts != 2 {
		t.Fatalf("%d hosts", hosts)
	}
	n.heard(&State{Host: "other", Boot: 1, Number: 1})
	n.SetEntries(map[string][]byte{})
	n.forget(time.Now().Add(forgetTime / 2))
	if hosts != 2 {
		t.Errorf("%d hosts while the other is heard", hosts)
	}
	n.forget(time.Now().Add(2 * forgetTime))
	if hosts != 1 {
		t.Errorf("%d hosts after the other fell silent", hosts)
	}
}

// Guards against a controller that sends its placement with every state.
func TestPlacementIsSentWhenItChanges(t *testing.T) {
	var heard []uint64
	var hosts int
	n := newNode(&heard, &hosts)
	now := time.Now()
	p := func(model string) *Placement {
		return &Placement{Epoch: 1, Residents: map[string]registry.Holding{"t": {Models: []registry.Resident{{Model: model}}}}}
	}
	for i, c := range []struct {
		p    *Placement
		at   time.Duration
		sent bool
	}{{p("a"), 0, true}, {p("a"), time.Millisecond, false}, {p("b"), 2 * time.Millisecond, true}, {p("b"), time.Second, true}, {nil, time.Second, false}} {
		if got := n.thin(c.p, now.Add(c.at)) != nil; got != c.sent {
			t.Errorf("step %d: sent %v, want %v", i, got, c.sent)
		}
	}
}
