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

// machine is a state machine of a ledger and an engine that executes every order without checking its memory. Orders
// in flight may arrive at any time, twice or never.
type machine struct {
	ledger, stored  *Ledger
	fences          bool
	bootID          int
	engineEpoch     int64 // epoch of the highest fencing number that the engine has received
	engineSeq       int64
	memory          map[string]int64
	answered        map[string]bool
	inFlight        []engine.Order
	controllerEpoch int64
}

func (m *machine) report() engine.Report {
	r := engine.Report{
		Boot: fmt.Sprint(m.bootID), Capacity: 100, ChecksFence: m.fences, Epoch: m.engineEpoch, Seq: m.engineSeq,
	}
	for name, b := range m.memory {
		r.Residents = append(r.Residents, engine.Resident{Kind: "model", Name: name, Bytes: b})
	}
	for id := range m.answered {
		r.ExecutedOrders = append(r.ExecutedOrders, id)
	}
	return r
}

// deliver executes an order at the engine and fails the test if the engine's memory is overcommitted.
func (m *machine) deliver(t *rapid.T, o engine.Order) error {
	if o.Boot != fmt.Sprint(m.bootID) {
		return engine.ErrNotRun
	}
	if m.answered[o.ID] {
		return nil
	}
	if m.fences {
		if o.Epoch < m.engineEpoch || o.Epoch == m.engineEpoch && o.Seq <= m.engineSeq {
			return engine.ErrFenced
		}
		m.engineEpoch, m.engineSeq = o.Epoch, o.Seq
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
		t.Fatalf("engine uses %d of 100 bytes after %+v", sum, o)
	}
	return nil
}

// reconcile updates the ledger from a report as the controller does, with a fence where one is needed.
func (m *machine) reconcile(t *rapid.T) {
	m.ledger.Reconcile(m.report(), engine.Order{})
	if m.fences && (!m.ledger.Reconciled() || m.ledger.HasUnresolved()) {
		f := m.ledger.NewFence()
		if m.deliver(t, f) == nil && rapid.Bool().Draw(t, "fence answered") {
			m.ledger.Reconcile(m.report(), f)
		}
	}
	m.stored = m.ledger.Clone()
}

// send stores the intended order and sends it. Whether it arrives and is answered is drawn at random.
func (m *machine) send(t *rapid.T, o engine.Order, err error) {
	if err != nil {
		return
	}
	m.stored = m.ledger.Clone()
	m.ledger.MarkSent(o.ID)
	switch rapid.SampledFrom([]string{"answered", "unanswered", "late", "duplicated", "lost", "crash"}).Draw(t, "fate") {
	case "answered":
		m.deliverAndRecord(t, o)
	case "duplicated":
		m.inFlight = append(m.inFlight, o)
		m.deliverAndRecord(t, o)
	case "unanswered":
		_ = m.deliver(t, o)
		m.ledger.MarkUnknown(o.ID)
	case "late":
		m.inFlight = append(m.inFlight, o)
		m.ledger.MarkUnknown(o.ID)
	case "lost":
		m.ledger.MarkUnknown(o.ID)
	case "crash": // the controller crashes before it records an outcome
		m.inFlight = append(m.inFlight, o)
		m.beginTerm(t)
	}
	m.stored = m.ledger.Clone()
}

// deliverAndRecord delivers the order and records its outcome.
func (m *machine) deliverAndRecord(t *rapid.T, o engine.Order) {
	if m.deliver(t, o) == nil {
		m.ledger.MarkDone(o.ID)
	} else {
		m.ledger.MarkNoEffect(o.ID)
	}
}

// beginTerm starts a new term from the stored ledger.
func (m *machine) beginTerm(t *rapid.T) {
	m.controllerEpoch++
	m.restore(t)
}

// restore goes on with the stored ledger in the present term.
func (m *machine) restore(t *rapid.T) {
	data, err := Encode(m.stored)
	if err != nil {
		t.Fatal(err)
	}
	if m.ledger, err = Decode(data); err != nil {
		t.Fatal(err)
	}
	if err := m.ledger.BeginTerm(m.controllerEpoch); err != nil {
		t.Fatal(err)
	}
	m.stored = m.ledger.Clone()
}

// Guards against memory being assigned twice because an order that can still use it is in flight, and against an
// entry shown as resident while an unload in flight can still remove it.
func TestLedgerCoversEngineMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{ledger: New("t"), stored: New("t"), fences: rapid.Bool().Draw(t, "fences")}
		m.memory, m.answered = map[string]int64{}, map[string]bool{}
		m.beginTerm(t)
		name := func(t *rapid.T) string { return fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "model")) }
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				n := name(t)
				o, err := m.ledger.IntendLoad("model", n, "", 25+int64(n[1]-'0'))
				m.send(t, o, err)
			},
			"unload": func(t *rapid.T) { o, err := m.ledger.IntendUnload("model", name(t)); m.send(t, o, err) },
			"late": func(t *rapid.T) {
				if len(m.inFlight) > 0 {
					i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "order")
					o := m.inFlight[i]
					if rapid.Bool().Draw(t, "once") {
						m.inFlight = slices.Delete(m.inFlight, i, i+1)
					}
					_ = m.deliver(t, o)
				}
			},
			"refresh":  m.reconcile,
			"takeover": m.beginTerm,
			"reread":   m.restore,
			"reboot": func(*rapid.T) {
				m.bootID++
				m.engineEpoch, m.engineSeq, m.memory, m.answered = 0, 0, map[string]int64{}, map[string]bool{}
			},
			"": func(t *rapid.T) {
				if m.ledger.Reconciled() && m.ledger.Boot == fmt.Sprint(m.bootID) {
					m.checkLedgerCoversMemory(t)
				}
			},
		})
	})
}

// checkLedgerCoversMemory checks that the ledger reserves at least the memory that the engine uses, and that the
// engine has every entry that the ledger shows as resident.
func (m *machine) checkLedgerCoversMemory(t *rapid.T) {
	for name, b := range m.memory {
		if e := m.ledger.Entry("model", name); e == nil || e.ReservedBytes() < b {
			t.Fatalf("engine has %s loaded, its ledger entry is %+v", name, e)
		}
	}
	for i := range m.ledger.Entries {
		e := &m.ledger.Entries[i]
		if _, ok := m.memory[e.Name]; e.State() == Resident && !ok {
			t.Fatalf("ledger shows %s as resident, but the engine does not have it loaded: %+v", e.Name, e)
		}
	}
}

// Guards against a controller of an earlier term that resumes after a pause and takes the ledger over again.
func TestOlderEpochCannotBeginTerm(t *testing.T) {
	l := New("t")
	if err := l.BeginTerm(5); err != nil {
		t.Fatal(err)
	}
	if err := l.BeginTerm(4); !errors.Is(err, ErrSuperseded) {
		t.Fatalf("BeginTerm(4) after BeginTerm(5) returned %v, want ErrSuperseded", err)
	}
}
