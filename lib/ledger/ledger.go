// Package ledger accounts for the memory of engine targets: what they hold, and what orders that may still
// take effect could make them hold.
package ledger

import (
	"errors"
	"fmt"
	"slices"

	"cuminhook.org/cuminhook/lib/engine"
)

// Errors.
var (
	ErrNoRoom     = errors.New("ledger: not enough free memory on the target; unload something first")
	ErrBusy       = errors.New("ledger: an order for the target is in progress; wait for its end")
	ErrDoubt      = errors.New("ledger: an unload of the entry is in doubt; resolve it first")
	ErrNotHeld    = errors.New("ledger: the target does not hold the entry; plan again")
	ErrSuperseded = errors.New("ledger: written by a newer controller; stop")
	ErrNotSettled = errors.New("ledger: target not taken over in this term; fetch its report first")
)

// State is the state of an entry.
type State string

// States. All of them count as held, except Gone.
const (
	Intended  State = "intended" // order written, not yet sent
	Loading   State = "loading"
	Resident  State = "resident"
	Unloading State = "unloading"
	Doubt     State = "doubt" // outcome of an order unknown
	// Gone: confirmed as not in memory, while an earlier unload may still arrive. The memory is free, but
	// the entry must not be loaded again before that unload is settled.
	Gone State = "gone"
)

// Phase is how far an unsettled order has come.
type Phase string

// Phases.
const (
	PhaseIntended Phase = "intended"
	PhaseSent     Phase = "sent"
	PhaseDoubt    Phase = "doubt"
)

// Order is an order that may still take effect.
type Order struct {
	ID    string           `json:"i"`
	Kind  engine.OrderKind `json:"k"`
	Boot  string           `json:"b"`
	Epoch int64            `json:"e"`
	Seq   int64            `json:"q"`
	Phase Phase            `json:"p"`
}

func (o Order) loads() bool {
	return o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter
}

// Presence is what is known of an entry, unsettled orders aside.
type Presence string

// Presences.
const (
	Unknown Presence = ""
	Present Presence = "yes"
	Absent  Presence = "no"
)

// Entry is a model or adapter that occupies, or may come to occupy, memory.
type Entry struct {
	Kind     string   `json:"k"` // model or adapter
	Name     string   `json:"n"`
	Model    string   `json:"m,omitempty"` // base model of an adapter
	Bytes    int64    `json:"b"`
	Presence Presence `json:"s,omitempty"`
	Orders   []Order  `json:"o,omitempty"` // unsettled, oldest first
}

// pending reports whether unsettled loads or unloads exist.
func (e *Entry) pending() (loads, unloads bool) {
	for _, o := range e.Orders {
		if o.loads() {
			loads = true
		} else {
			unloads = true
		}
	}
	return loads, unloads
}

// Unloading reports whether an unload of the entry may still take effect.
func (e *Entry) Unloading() bool {
	_, unloads := e.pending()
	return unloads
}

// State returns the state of the entry.
func (e *Entry) State() State {
	loads, unloads := e.pending()
	if e.Presence == Present && !unloads {
		return Resident // a load of what is resident has no effect
	}
	if n := len(e.Orders); n > 0 {
		switch last := e.Orders[n-1]; {
		case last.Phase == PhaseIntended:
			return Intended
		case last.Phase == PhaseSent && last.loads():
			return Loading
		case last.Phase == PhaseSent:
			return Unloading
		}
	}
	if e.Presence == Absent && !loads {
		return Gone
	}
	return Doubt
}

// Held returns the bytes that the entry occupies or may occupy.
func (e *Entry) Held() int64 {
	if loads, _ := e.pending(); e.Presence == Absent && !loads {
		return 0
	}
	return e.Bytes
}

// Ledger is the account of one target. It is not safe for concurrent use.
type Ledger struct {
	Target   string  `json:"t"`
	Epoch    int64   `json:"e"` // of the controller that wrote it last
	Seq      int64   `json:"q"` // last target sequence number used in this epoch
	Boot     string  `json:"b"` // boot id of the engine's last report
	Capacity int64   `json:"c"` // bytes
	Fences   bool    `json:"f"`
	Entries  []Entry `json:"n"`

	// settled: a report was reconciled in this term, after a fence if the target fences.
	settled bool
}

// New returns the empty ledger of a target that was never seen.
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

// TakeOver begins the term of epoch: every order of earlier terms is in doubt, whatever its phase.
func (l *Ledger) TakeOver(epoch int64) error {
	if l.Epoch > epoch {
		return fmt.Errorf("%w (epoch %d, own %d)", ErrSuperseded, l.Epoch, epoch)
	}
	if l.Epoch < epoch {
		l.Epoch, l.Seq = epoch, 0
	}
	for i := range l.Entries {
		e := &l.Entries[i]
		for j := range e.Orders {
			e.Orders[j].Phase = PhaseDoubt
		}
	}
	l.settled = false
	return nil
}

// Settled reports whether the ledger was reconciled with the target in this term.
func (l *Ledger) Settled() bool { return l.settled }

// Held returns the bytes that all entries occupy or may occupy.
func (l *Ledger) Held() int64 {
	var sum int64
	for i := range l.Entries {
		sum += l.Entries[i].Held()
	}
	return sum
}

// Free returns the bytes that a load may use.
func (l *Ledger) Free() int64 { return l.Capacity - l.Held() }

// Entry returns the entry of kind and name, or nil. The pointer is valid until the next change.
func (l *Ledger) Entry(kind, name string) *Entry {
	for i := range l.Entries {
		if l.Entries[i].Kind == kind && l.Entries[i].Name == name {
			return &l.Entries[i]
		}
	}
	return nil
}

// InDoubt reports whether any order is unsettled.
func (l *Ledger) InDoubt() bool {
	return slices.ContainsFunc(l.Entries, func(e Entry) bool { return len(e.Orders) > 0 })
}

// Pending returns the ids of the unsettled orders of a term.
func (l *Ledger) Pending(epoch int64) []string {
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

// Fence returns an order that raises the target's fencing number. Its id differs from those of other orders:
// fences are not stored, so a later order may get the same number after the ledger was read again, and an
// engine that has answered an id does not carry it out.
func (l *Ledger) Fence() engine.Order {
	o := l.next(engine.OrderFence, Entry{})
	o.ID = "fence-" + o.ID
	return o
}

// IntendLoad reserves the memory of a load and returns its order. The ledger must be stored before the
// order is sent.
func (l *Ledger) IntendLoad(kind, name, model string, bytes int64) (engine.Order, error) {
	if err := l.ready(); err != nil {
		return engine.Order{}, err
	}
	e := l.Entry(kind, name)
	need := bytes
	if e != nil {
		if _, unloads := e.pending(); unloads {
			return engine.Order{}, ErrDoubt
		}
		need = max(bytes, e.Bytes) - e.Held()
	}
	if l.Free() < need {
		return engine.Order{}, fmt.Errorf("%w (%s on %s: %d bytes free, %d needed)", ErrNoRoom, name, l.Target, l.Free(), need)
	}
	if e == nil {
		l.Entries = append(l.Entries, Entry{Kind: kind, Name: name, Model: model, Bytes: bytes, Presence: Absent})
		e = &l.Entries[len(l.Entries)-1]
	}
	e.Bytes = max(bytes, e.Bytes)
	ord := engine.OrderLoadModel
	if kind == "adapter" {
		ord = engine.OrderLoadAdapter
	}
	return l.intend(e, ord), nil
}

// IntendUnload records an unload and returns its order. The memory counts until the unload is confirmed.
func (l *Ledger) IntendUnload(kind, name string) (engine.Order, error) {
	if err := l.ready(); err != nil {
		return engine.Order{}, err
	}
	e := l.Entry(kind, name)
	if e == nil {
		return engine.Order{}, ErrNotHeld
	}
	ord := engine.OrderUnloadModel
	if kind == "adapter" {
		ord = engine.OrderUnloadAdapter
	}
	return l.intend(e, ord), nil
}

func (l *Ledger) ready() error {
	if !l.settled {
		return ErrNotSettled
	}
	for i := range l.Entries {
		for _, o := range l.Entries[i].Orders {
			if o.Phase != PhaseDoubt {
				return ErrBusy
			}
		}
	}
	return nil
}

func (l *Ledger) intend(e *Entry, kind engine.OrderKind) engine.Order {
	o := l.next(kind, *e)
	e.Orders = append(e.Orders, Order{ID: o.ID, Kind: o.Kind, Boot: o.Boot, Epoch: o.Epoch, Seq: o.Seq, Phase: PhaseIntended})
	return o
}

func (l *Ledger) next(kind engine.OrderKind, e Entry) engine.Order {
	l.Seq++
	return engine.Order{
		ID: fmt.Sprintf("%s-%d-%d", l.Target, l.Epoch, l.Seq), Kind: kind, Name: e.Name, Model: e.Model, Bytes: e.Bytes,
		Boot: l.Boot, Epoch: l.Epoch, Seq: l.Seq,
	}
}

// Sent records that the order is about to be sent. The stored ledger need not show it: a successor
// treats an intended order as possibly sent.
func (l *Ledger) Sent(id string) { l.setPhase(id, PhaseSent) }

// Lost records that the outcome of the order is unknown.
func (l *Ledger) Lost(id string) { l.setPhase(id, PhaseDoubt) }

func (l *Ledger) setPhase(id string, p Phase) {
	if _, o := l.order(id); o != nil {
		o.Phase = p
	}
}

func (l *Ledger) order(id string) (*Entry, *Order) {
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

// Done records that the target confirmed the order.
func (l *Ledger) Done(id string) {
	e, o := l.order(id)
	if e == nil {
		return
	}
	e.Presence = Absent
	if o.loads() {
		e.Presence = Present
	}
	l.drop(e, id)
	l.prune()
}

// NoEffect records that the order certainly had and will have no effect.
func (l *Ledger) NoEffect(id string) {
	if e, _ := l.order(id); e != nil {
		l.drop(e, id)
		l.prune()
	}
}

func (l *Ledger) drop(e *Entry, id string) {
	e.Orders = slices.DeleteFunc(e.Orders, func(o Order) bool { return o.ID == id })
}

// prune forgets entries that are absent without any unsettled order.
func (l *Ledger) prune() {
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool { return e.Presence == Absent && len(e.Orders) == 0 })
}

// Reconcile brings the ledger in line with a report that was requested while no order of this term was
// under way. fencedBy is the fence that the target acknowledged before the report was requested; a zero
// fence settles nothing. It reports whether the ledger changed.
func (l *Ledger) Reconcile(r engine.Report, fencedBy engine.Order) bool {
	before := l.Clone()
	newBoot := r.Boot != l.Boot
	if r.Fences && r.Epoch == l.Epoch {
		l.Seq = max(l.Seq, r.Seq) // fences are not stored, so the stored number may be too low
	}
	l.Boot, l.Capacity, l.Fences = r.Boot, r.Capacity, r.Fences
	for i := range l.Entries {
		e := &l.Entries[i]
		e.Orders = slices.DeleteFunc(e.Orders, func(o Order) bool {
			return settledBy(o, r, fencedBy)
		})
		l.observe(e, r)
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
	l.settled = l.settled && !newBoot || !r.Fences || fencedBy.Boot == r.Boot && fencedBy.Epoch == l.Epoch
	return !l.equal(before)
}

// settledBy reports whether the effect of o, if any, is contained in r and cannot come later.
func settledBy(o Order, r engine.Report, fence engine.Order) bool {
	if o.Boot != r.Boot || slices.Contains(r.Done, o.ID) {
		return true
	}
	if !r.Fences || fence.ID == "" || fence.Boot != r.Boot {
		return false
	}
	return o.Epoch < fence.Epoch || o.Epoch == fence.Epoch && o.Seq < fence.Seq
}

// observe sets the presence of e from r as far as its unsettled orders cannot have changed it since.
func (l *Ledger) observe(e *Entry, r engine.Report) {
	loads, unloads := e.pending()
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
		e.Presence = Absent // a late load still counts through its order
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
