// Package ledger accounts for the memory of engine targets: the models and adapters that are loaded, and those
// that may become loaded by orders that can still take effect.
package ledger

import (
	"errors"
	"fmt"
	"slices"

	"cuminhook.org/cuminhook/lib/engine"
)

// Errors of the methods of Ledger.
var (
	ErrInsufficientMemory = errors.New("ledger: not enough free memory on the target; unload something first")
	ErrBusy               = errors.New("ledger: an order for the target is in progress; wait until it ends")
	ErrUnresolvedUnload   = errors.New("ledger: the outcome of an earlier unload of the entry is unknown; resolve it first")
	ErrNoEntry            = errors.New("ledger: the target has no such entry; plan again")
	ErrSuperseded         = errors.New("ledger: a newer controller has written the ledger; stop")
	ErrNotReconciled      = errors.New("ledger: not reconciled with the target in this term; fetch its report first")
)

// State is the state of an entry.
type State string

// States. An entry reserves memory in all of them except Gone.
const (
	Intended   State = "intended" // order stored, not yet sent
	Loading    State = "loading"
	Resident   State = "resident"
	Unloading  State = "unloading"
	Unresolved State = "doubt" // outcome of an order unknown
	// Gone: the entry is confirmed as not loaded, but an earlier unload may still arrive. The memory is free,
	// but the entry must not be loaded again before that unload is resolved.
	Gone State = "gone"
)

// Phase is the progress of an unresolved order.
type Phase string

// Phases.
const (
	PhaseIntended Phase = "intended"
	PhaseSent     Phase = "sent"
	PhaseUnknown  Phase = "doubt" // outcome unknown
)

// Order is an unresolved order: one that may still take effect.
type Order struct {
	ID    string           `json:"i"`
	Kind  engine.OrderKind `json:"k"`
	Boot  string           `json:"b"`
	Epoch int64            `json:"e"`
	Seq   int64            `json:"q"`
	Phase Phase            `json:"p"`
}

// isLoad reports whether the order loads a model or adapter.
func (o Order) isLoad() bool {
	return o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter
}

// Presence tells whether an entry is loaded, leaving unresolved orders out of account.
type Presence string

// Values of Presence.
const (
	Unknown Presence = ""
	Present Presence = "yes"
	Absent  Presence = "no"
)

// Entry is a model or adapter that occupies memory on the target, or may come to occupy it.
type Entry struct {
	Kind     string   `json:"k"` // model or adapter
	Name     string   `json:"n"`
	Model    string   `json:"m,omitempty"` // base model of an adapter
	Bytes    int64    `json:"b"`
	Presence Presence `json:"s,omitempty"`
	Orders   []Order  `json:"o,omitempty"` // unresolved, oldest first
}

// unresolved reports whether the entry has unresolved loads, and whether it has unresolved unloads.
func (e *Entry) unresolved() (loads, unloads bool) {
	for _, o := range e.Orders {
		if o.isLoad() {
			loads = true
		} else {
			unloads = true
		}
	}
	return loads, unloads
}

// Unloading reports whether an unload of the entry may still take effect.
func (e *Entry) Unloading() bool {
	_, unloads := e.unresolved()
	return unloads
}

// State returns the state of the entry, derived from its presence and its unresolved orders.
func (e *Entry) State() State {
	loads, unloads := e.unresolved()
	if e.Presence == Present && !unloads {
		return Resident // loading a resident entry again has no effect
	}
	if n := len(e.Orders); n > 0 {
		switch last := e.Orders[n-1]; {
		case last.Phase == PhaseIntended:
			return Intended
		case last.Phase == PhaseSent && last.isLoad():
			return Loading
		case last.Phase == PhaseSent:
			return Unloading
		}
	}
	if e.Presence == Absent && !loads {
		return Gone
	}
	return Unresolved
}

// ReservedBytes returns the number of bytes that the entry occupies or may come to occupy.
func (e *Entry) ReservedBytes() int64 {
	if loads, _ := e.unresolved(); e.Presence == Absent && !loads {
		return 0
	}
	return e.Bytes
}

// Ledger is the memory account of one target. It is not safe for concurrent use.
type Ledger struct {
	Target   string  `json:"t"`
	Epoch    int64   `json:"e"` // epoch of the controller that wrote the ledger last
	Seq      int64   `json:"q"` // last target sequence number used in this epoch
	Boot     string  `json:"b"` // boot id in the last report of the engine
	Capacity int64   `json:"c"` // bytes
	Fences   bool    `json:"f"` // the target refuses orders with older fencing numbers
	Entries  []Entry `json:"n"`

	// reconciled is set once a report was reconciled in this term, after a fence if the target supports fencing.
	reconciled bool
}

// New returns the empty ledger of a target that has no stored one.
func New(target string) *Ledger { return &Ledger{Target: target} }

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Entries = slices.Clone(l.Entries)
	for i := range c.Entries {
		c.Entries[i].Orders = slices.Clone(c.Entries[i].Orders)
	}
	return &c
}

// BeginTerm begins the term of the given epoch. The outcome of every stored order counts as unknown from then on,
// whatever its phase. It returns ErrSuperseded if a newer controller has written the ledger.
func (l *Ledger) BeginTerm(epoch int64) error {
	if l.Epoch > epoch {
		return fmt.Errorf("%w (stored epoch %d, epoch of this controller %d)", ErrSuperseded, l.Epoch, epoch)
	}
	if l.Epoch < epoch {
		l.Epoch, l.Seq = epoch, 0
	}
	for i := range l.Entries {
		e := &l.Entries[i]
		for j := range e.Orders {
			e.Orders[j].Phase = PhaseUnknown
		}
	}
	l.reconciled = false
	return nil
}

// Reconciled reports whether the ledger was reconciled with a report of the target in this term.
func (l *Ledger) Reconciled() bool { return l.reconciled }

// ReservedBytes returns the number of bytes that all entries together occupy or may come to occupy.
func (l *Ledger) ReservedBytes() int64 {
	var sum int64
	for i := range l.Entries {
		sum += l.Entries[i].ReservedBytes()
	}
	return sum
}

// FreeBytes returns the number of bytes that are available for loads.
func (l *Ledger) FreeBytes() int64 { return l.Capacity - l.ReservedBytes() }

// Entry returns the entry with the kind and name, or nil. The pointer is valid until the ledger changes.
func (l *Ledger) Entry(kind, name string) *Entry {
	for i := range l.Entries {
		if l.Entries[i].Kind == kind && l.Entries[i].Name == name {
			return &l.Entries[i]
		}
	}
	return nil
}

// HasUnresolved reports whether the ledger has unresolved orders.
func (l *Ledger) HasUnresolved() bool {
	return slices.ContainsFunc(l.Entries, func(e Entry) bool { return len(e.Orders) > 0 })
}

// UnresolvedIDs returns the ids of the unresolved orders of the term with the epoch.
func (l *Ledger) UnresolvedIDs(epoch int64) []string {
	var ids []string
	for i := range l.Entries {
		for _, o := range l.Entries[i].Orders {
			if o.Epoch == epoch {
				ids = append(ids, o.ID)
			}
		}
	}
	return ids
}

// NewFence returns an order that raises the target's fencing number. Fences are not stored, so a later order can get
// the same sequence number after the ledger was read again. The id of a fence therefore has a prefix of its own:
// an engine does not execute an order whose id it has already answered.
func (l *Ledger) NewFence() engine.Order {
	o := l.newOrder(engine.OrderFence, Entry{})
	o.ID = "fence-" + o.ID
	return o
}

// IntendLoad reserves the memory of a load, in bytes, and returns its order. The ledger must be stored before the
// order is sent. Errors are ErrNotReconciled, ErrBusy, ErrUnresolvedUnload and ErrInsufficientMemory.
func (l *Ledger) IntendLoad(kind, name, model string, bytes int64) (engine.Order, error) {
	if err := l.checkReady(); err != nil {
		return engine.Order{}, err
	}
	e := l.Entry(kind, name)
	need := bytes
	if e != nil {
		if _, unloads := e.unresolved(); unloads {
			return engine.Order{}, ErrUnresolvedUnload
		}
		need = max(bytes, e.Bytes) - e.ReservedBytes()
	}
	if l.FreeBytes() < need {
		return engine.Order{}, fmt.Errorf("%w (%s on %s: %d bytes free, %d needed)",
			ErrInsufficientMemory, name, l.Target, l.FreeBytes(), need)
	}
	if e == nil {
		l.Entries = append(l.Entries, Entry{Kind: kind, Name: name, Model: model, Bytes: bytes, Presence: Absent})
		e = &l.Entries[len(l.Entries)-1]
	}
	e.Bytes = max(bytes, e.Bytes)
	orderKind := engine.OrderLoadModel
	if kind == "adapter" {
		orderKind = engine.OrderLoadAdapter
	}
	return l.addOrder(e, orderKind), nil
}

// IntendUnload records an unload and returns its order. The memory stays reserved until the unload is confirmed.
// Errors are ErrNotReconciled, ErrBusy and ErrNoEntry.
func (l *Ledger) IntendUnload(kind, name string) (engine.Order, error) {
	if err := l.checkReady(); err != nil {
		return engine.Order{}, err
	}
	e := l.Entry(kind, name)
	if e == nil {
		return engine.Order{}, ErrNoEntry
	}
	orderKind := engine.OrderUnloadModel
	if kind == "adapter" {
		orderKind = engine.OrderUnloadAdapter
	}
	return l.addOrder(e, orderKind), nil
}

// checkReady returns an error if no new order may be issued: before the first reconciliation of the term, and while
// an order is in progress.
func (l *Ledger) checkReady() error {
	if !l.reconciled {
		return ErrNotReconciled
	}
	for i := range l.Entries {
		for _, o := range l.Entries[i].Orders {
			if o.Phase != PhaseUnknown {
				return ErrBusy
			}
		}
	}
	return nil
}

// addOrder makes the next order for e and records it as intended.
func (l *Ledger) addOrder(e *Entry, kind engine.OrderKind) engine.Order {
	o := l.newOrder(kind, *e)
	e.Orders = append(e.Orders, Order{ID: o.ID, Kind: o.Kind, Boot: o.Boot, Epoch: o.Epoch, Seq: o.Seq, Phase: PhaseIntended})
	return o
}

// newOrder returns an order with the next sequence number.
func (l *Ledger) newOrder(kind engine.OrderKind, e Entry) engine.Order {
	l.Seq++
	return engine.Order{
		ID: fmt.Sprintf("%s-%d-%d", l.Target, l.Epoch, l.Seq), Kind: kind, Name: e.Name, Model: e.Model, Bytes: e.Bytes,
		Boot: l.Boot, Epoch: l.Epoch, Seq: l.Seq,
	}
}

// MarkSent records that the order is about to be sent. This need not be stored: a successor treats an intended order as
// possibly sent.
func (l *Ledger) MarkSent(id string) { l.setPhase(id, PhaseSent) }

// MarkUnknown records that the outcome of the order is unknown.
func (l *Ledger) MarkUnknown(id string) { l.setPhase(id, PhaseUnknown) }

func (l *Ledger) setPhase(id string, p Phase) {
	if _, o := l.findOrder(id); o != nil {
		o.Phase = p
	}
}

// findOrder returns the unresolved order with the id and its entry, or nil.
func (l *Ledger) findOrder(id string) (*Entry, *Order) {
	for i := range l.Entries {
		e := &l.Entries[i]
		for j := range e.Orders {
			if e.Orders[j].ID == id {
				return e, &e.Orders[j]
			}
		}
	}
	return nil, nil
}

// MarkDone records that the target confirmed the order.
func (l *Ledger) MarkDone(id string) {
	e, o := l.findOrder(id)
	if e == nil {
		return
	}
	e.Presence = Absent
	if o.isLoad() {
		e.Presence = Present
	}
	l.removeOrder(e, id)
	l.prune()
}

// MarkNoEffect records that the order has certainly had no effect and will have none.
func (l *Ledger) MarkNoEffect(id string) {
	if e, _ := l.findOrder(id); e != nil {
		l.removeOrder(e, id)
		l.prune()
	}
}

func (l *Ledger) removeOrder(e *Entry, id string) {
	e.Orders = slices.DeleteFunc(e.Orders, func(o Order) bool { return o.ID == id })
}

// prune removes the entries that are absent and have no unresolved orders.
func (l *Ledger) prune() {
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool { return e.Presence == Absent && len(e.Orders) == 0 })
}

// Reconcile updates the ledger from a report that was requested while no order of this term was in progress.
// fencedBy is the fence that the target acknowledged before the report was requested; a zero order stands for no
// fence. Reconcile reports whether the ledger changed.
func (l *Ledger) Reconcile(r engine.Report, fencedBy engine.Order) bool {
	before := l.Clone()
	rebooted := r.Boot != l.Boot
	if r.ChecksFence && r.Epoch == l.Epoch {
		l.Seq = max(l.Seq, r.Seq) // fences are not stored, so the stored number may be too low
	}
	l.Boot, l.Capacity, l.Fences = r.Boot, r.Capacity, r.ChecksFence
	for i := range l.Entries {
		e := &l.Entries[i]
		e.Orders = slices.DeleteFunc(e.Orders, func(o Order) bool {
			return resolvedBy(o, r, fencedBy)
		})
		l.updatePresence(e, r)
	}
	for _, res := range r.Residents {
		if l.Entry(res.Kind, res.Name) == nil {
			e := Entry{Kind: res.Kind, Name: res.Name, Bytes: res.Bytes, Presence: Present}
			if res.Loading {
				e.Presence = Unknown
			}
			l.Entries = append(l.Entries, e)
		}
	}
	l.prune()
	l.reconciled = l.reconciled && !rebooted || !r.ChecksFence || fencedBy.Boot == r.Boot && fencedBy.Epoch == l.Epoch
	return !l.equal(before)
}

// resolvedBy reports whether r already shows the effect of o, if it had any, and o cannot take effect later.
func resolvedBy(o Order, r engine.Report, fence engine.Order) bool {
	if o.Boot != r.Boot || slices.Contains(r.ExecutedOrders, o.ID) {
		return true
	}
	if !r.ChecksFence || fence.ID == "" || fence.Boot != r.Boot {
		return false
	}
	return o.Epoch < fence.Epoch || o.Epoch == fence.Epoch && o.Seq < fence.Seq
}

// updatePresence sets the presence of e from r. It becomes Unknown where the report shows a load in progress, and where
// an unresolved unload leaves it open whether the entry is loaded.
func (l *Ledger) updatePresence(e *Entry, r engine.Report) {
	loads, unloads := e.unresolved()
	i := slices.IndexFunc(r.Residents, func(x engine.Resident) bool { return x.Kind == e.Kind && x.Name == e.Name })
	switch {
	case i >= 0 && !unloads:
		e.Presence = Present
		if r.Residents[i].Loading {
			e.Presence = Unknown
		}
		if !loads {
			e.Bytes = r.Residents[i].Bytes
		}
		e.Bytes = max(e.Bytes, r.Residents[i].Bytes)
	case i < 0 && (!loads || !unloads):
		e.Presence = Absent // an unresolved load still reserves the memory
	default:
		e.Presence = Unknown
	}
}

func (l *Ledger) equal(o *Ledger) bool {
	return l.Epoch == o.Epoch && l.Seq == o.Seq && l.Boot == o.Boot && l.Capacity == o.Capacity && l.Fences == o.Fences &&
		slices.EqualFunc(l.Entries, o.Entries, func(a, b Entry) bool {
			return a.Kind == b.Kind && a.Name == b.Name && a.Model == b.Model && a.Bytes == b.Bytes &&
				a.Presence == b.Presence && slices.Equal(a.Orders, b.Orders)
		})
}
