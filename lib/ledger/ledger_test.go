package ledger

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "7", "")) }

// machine is a ledger with an engine that obeys every order it receives. Orders on the wire may arrive at
// any time, twice or never.
type machine struct {
	l, stored *Ledger
	fences    bool
	boot      int
	epoch     int64 // highest fencing number seen by the engine
	seq       int64
	memory    map[string]int64
	answered  map[string]bool
	wire      []engine.Order
	term      int64
}

func (m *machine) report() engine.Report {
	r := engine.Report{Boot: fmt.Sprint(m.boot), Capacity: 100, Fences: m.fences, Epoch: m.epoch, Seq: m.seq}
	for name, b := range m.memory {
		r.Residents = append(r.Residents, engine.Resident{Kind: "model", Name: name, Bytes: b})
	}
	for id := range m.answered {
		r.Done = append(r.Done, id)
	}
	return r
}

func (m *machine) deliver(t *rapid.T, o engine.Order) error {
	if o.Boot != fmt.Sprint(m.boot) {
		return engine.ErrNotRun
	}
	if m.answered[o.ID] {
		return nil
	}
	if m.fences {
		if o.Epoch < m.epoch || o.Epoch == m.epoch && o.Seq <= m.seq {
			return engine.ErrFenced
		}
		m.epoch, m.seq = o.Epoch, o.Seq
	}
	m.answered[o.ID] = true
	switch o.Kind {
	case engine.OrderLoadModel:
		m.memory[o.Name] = o.Bytes
	case engine.OrderUnloadModel:
		delete(m.memory, o.Name)
	}
	var sum int64
	for _, b := range m.memory {
		sum += b
	}
	if sum > 100 {
		t.Fatalf("engine holds %d of 100 bytes after %+v", sum, o)
	}
	return nil
}

// refresh reconciles as the controller does.
func (m *machine) refresh(t *rapid.T) {
	m.l.Reconcile(m.report(), engine.Order{})
	if m.fences && (!m.l.Settled() || m.l.InDoubt()) {
		f := m.l.Fence()
		if m.deliver(t, f) == nil && rapid.Bool().Draw(t, "fence answered") {
			m.l.Reconcile(m.report(), f)
		}
	}
	m.stored = m.l.Clone()
}

// send stores the intent and hands the order to the wire; what happens to it is drawn.
func (m *machine) send(t *rapid.T, o engine.Order, err error) {
	if err != nil {
		return
	}
	m.stored = m.l.Clone()
	m.l.Sent(o.ID)
	switch rapid.SampledFrom([]string{"answered", "unanswered", "late", "duplicated", "lost", "crash"}).Draw(t, "fate") {
	case "answered":
		m.answer(t, o)
	case "duplicated":
		m.wire = append(m.wire, o)
		m.answer(t, o)
	case "unanswered":
		_ = m.deliver(t, o)
		m.l.Lost(o.ID)
	case "late":
		m.wire = append(m.wire, o)
		m.l.Lost(o.ID)
	case "lost":
		m.l.Lost(o.ID)
	case "crash": // the controller ends before it records an outcome
		m.wire = append(m.wire, o)
		m.takeOver(t)
	}
	m.stored = m.l.Clone()
}

func (m *machine) answer(t *rapid.T, o engine.Order) {
	if m.deliver(t, o) == nil {
		m.l.Done(o.ID)
	} else {
		m.l.NoEffect(o.ID)
	}
}

// takeOver begins a new term from what is stored.
func (m *machine) takeOver(t *rapid.T) {
	m.term++
	m.reread(t)
}

// reread continues from what is stored.
func (m *machine) reread(t *rapid.T) {
	data, err := Encode(m.stored)
	if err != nil {
		t.Fatal(err)
	}
	if m.l, err = Decode(data); err != nil {
		t.Fatal(err)
	}
	if err := m.l.TakeOver(m.term); err != nil {
		t.Fatal(err)
	}
	m.stored = m.l.Clone()
}

// Guards against memory that is given away while an order that could still take it is under way, and
// against an entry that is taken for resident while it can still be removed.
func TestLedgerCoversEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{l: New("t"), stored: New("t"), fences: rapid.Bool().Draw(t, "fences")}
		m.memory, m.answered = map[string]int64{}, map[string]bool{}
		m.takeOver(t)
		name := func(t *rapid.T) string { return fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "model")) }
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				n := name(t)
				o, err := m.l.IntendLoad("model", n, "", 25+int64(n[1]-'0'))
				m.send(t, o, err)
			},
			"unload": func(t *rapid.T) { o, err := m.l.IntendUnload("model", name(t)); m.send(t, o, err) },
			"late": func(t *rapid.T) {
				if len(m.wire) > 0 {
					i := rapid.IntRange(0, len(m.wire)-1).Draw(t, "order")
					o := m.wire[i]
					if rapid.Bool().Draw(t, "once") {
						m.wire = slices.Delete(m.wire, i, i+1)
					}
					_ = m.deliver(t, o)
				}
			},
			"refresh":  m.refresh,
			"takeover": m.takeOver,
			"reread":   m.reread,
			"reboot": func(*rapid.T) {
				m.boot++
				m.epoch, m.seq, m.memory, m.answered = 0, 0, map[string]int64{}, map[string]bool{}
			},
			"": func(t *rapid.T) {
				if m.l.Settled() && m.l.Boot == fmt.Sprint(m.boot) {
					m.covered(t)
				}
			},
		})
	})
}

func (m *machine) covered(t *rapid.T) {
	for name, b := range m.memory {
		if e := m.l.Entry("model", name); e == nil || e.Held() < b {
			t.Fatalf("engine holds %s, ledger %+v", name, e)
		}
	}
	for i := range m.l.Entries {
		e := &m.l.Entries[i]
		if _, ok := m.memory[e.Name]; e.State() == Resident && !ok {
			t.Fatalf("ledger shows %s as resident, the engine does not hold it: %+v", e.Name, e)
		}
	}
}

// Guards against a paused predecessor that takes the ledger back.
func TestTakeOverRefusesOlderEpoch(t *testing.T) {
	l := New("t")
	if err := l.TakeOver(5); err != nil {
		t.Fatal(err)
	}
	if err := l.TakeOver(4); !errors.Is(err, ErrSuperseded) {
		t.Fatalf("got %v", err)
	}
}
