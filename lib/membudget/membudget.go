// Package membudget divides the memory of a process among its callers' connections. Memory is reserved before it is allocated. If it
// runs short, connections that hold much and make no progress lose theirs, then those of callers that hold more than their share. The
// package does no I/O and takes the time as an argument.
package membudget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what memory is held for.
type Kind uint8

// Kinds of memory.
const (
	Connections Kind = iota // connections, and the heads that they send
	Bodies                  // request bodies
	Answers                 // answers that are read whole, until their callers have read them
	kinds
)

// String returns the name used in metrics and logs.
func (k Kind) String() string { return [...]string{"connections", "bodies", "answers"}[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connections, Bodies, Answers} }

// State is what the connection of an account is doing.
type State uint8

// States of a connection. One that serves is never shed: its request may be running.
const (
	Unused  State = iota // nothing has been received yet
	Idle                 // between two requests
	Reading              // a request is being received
	Serving              // a target has the request, or may have
	Writing              // the whole answer is being written
)

const (
	// SmallBytes is the size up to which a request is admitted also while large ones use all that they may.
	SmallBytes = 64 << 10
	// bodyShare and answerShare are the parts of the budget that bodies of requests above SmallBytes may use, and answers above it. The rest
	// is left for connections, heads and small requests. Answers have a part of their own, as the bodies of their requests are held until
	// they have come.
	bodyShare   = 0.5
	answerShare = 0.25
	// readStall and writeStall are how long a connection makes no progress before it may be shed. Callers pause in a body for less, and an
	// answer that is read at all makes progress within a round trip.
	readStall  = 300 * time.Millisecond
	writeStall = time.Second
	// minShed is the least that a connection holds for its shedding to be of use.
	minShed = 4 << 10
	// unusedAge is how old a connection must be without a byte to be closed for another one.
	unusedAge = 200 * time.Millisecond
)

// ErrFull means that the budget has no room.
var ErrFull = errors.New("membudget: the memory for requests is used up; retry on another host, or raise memory_mb")

// Config are the settings of a Budget.
type Config struct {
	Limit int64 // bytes; zero: unlimited
	// Shed permits the budget to take memory from connections. Without it, connections and answers are counted only, and bodies up to
	// SmallBytes are always admitted.
	Shed bool
}

// Budget is the memory of a process for callers. It is safe for concurrent use.
type Budget struct {
	cfg  Config
	mu   sync.Mutex
	used [kinds]int64          // guarded by mu
	open map[*Account]struct{} // guarded by mu
	// held holds what the accounts of each owner hold for bodies and answers.
	held    map[string]int64 // guarded by mu
	shed    int64            // guarded by mu; accounts shed
	refused int64            // guarded by mu; reservations refused
}

// Account is what one connection holds.
type Account struct {
	budget   *Budget
	onShed   func()
	state    atomic.Uint32
	progress atomic.Int64 // Unix time in ns
	owner    string       // guarded by budget.mu
	held     [kinds]int64 // guarded by budget.mu
	isShed   bool         // guarded by budget.mu
}

// New returns a budget of which nothing is used.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, open: map[*Account]struct{}{}, held: map[string]int64{}}
}

// Open returns an account of a connection of the owner. onShed is called if the connection is to be closed; it must not block.
func (b *Budget) Open(owner string, onShed func(), now time.Time) *Account {
	a := &Account{budget: b, onShed: onShed, owner: owner}
	a.progress.Store(now.UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[a] = struct{}{}
	return a
}

// Close returns all that the account holds.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release()
	delete(a.budget.open, a)
}

// release returns all that the account holds; the caller holds mu.
func (a *Account) release() {
	b := a.budget
	for k, n := range a.held {
		b.used[k] -= n
	}
	b.addHeld(a.owner, -a.large())
	a.held = [kinds]int64{}
}

// large returns what the account holds for bodies and answers.
func (a *Account) large() int64 { return a.held[Bodies] + a.held[Answers] }

// addHeld counts n bytes of an owner; the caller holds mu.
func (b *Budget) addHeld(owner string, n int64) {
	if n == 0 {
		return
	}
	if b.held[owner] += n; b.held[owner] == 0 {
		delete(b.held, owner)
	}
}

// SetState records what the connection does; that is progress too. The progress is stored first: a connection that has just left the
// state Idle must not be seen in the new state with the time of its last request, as it would be shed.
func (a *Account) SetState(s State, now time.Time) {
	a.progress.Store(now.UnixNano())
	a.state.Store(uint32(s))
}

// Begin records that the request goes to a target, from when on it is not shed. It returns false if it has been shed before.
func (a *Account) Begin(now time.Time) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isShed {
		return false
	}
	a.SetState(Serving, now)
	return true
}

// Progress records that bytes have been received or written.
func (a *Account) Progress(now time.Time) { a.progress.Store(now.UnixNano()) }

// SetOwner records whose request the connection carries, an organisation in place of an address.
func (a *Account) SetOwner(owner string) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	n := a.large()
	a.budget.addHeld(a.owner, -n)
	a.owner = owner
	a.budget.addHeld(owner, n)
}

// Shed reports whether the connection has lost its memory to others and is to be closed.
func (a *Account) Shed() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isShed
}

// Reserve reserves n more bytes, or returns ErrFull.
func (a *Account) Reserve(k Kind, n int64, now time.Time) error {
	b := a.budget
	b.mu.Lock()
	var victims []*Account
	err := a.reserve(k, n, now, &victims)
	b.mu.Unlock()
	for _, v := range victims {
		v.onShed()
	}
	return err
}

func (a *Account) reserve(k Kind, n int64, now time.Time, victims *[]*Account) error {
	b := a.budget
	if a.isShed {
		return ErrFull
	}
	if need := b.missing(a, k, n); need > 0 {
		if b.cfg.Shed {
			b.shedFor(a, need, now, victims)
		}
		if b.missing(a, k, n) > 0 {
			b.refused++
			return ErrFull
		}
	}
	a.held[k] += n
	b.used[k] += n
	if k != Connections {
		b.addHeld(a.owner, n)
	}
	return nil
}

// missing returns how many bytes have to be returned before n more may be reserved; the caller holds mu.
func (b *Budget) missing(a *Account, k Kind, n int64) int64 {
	small := a.held[k]+n <= SmallBytes
	switch {
	case b.cfg.Limit <= 0:
		return 0
	case !b.cfg.Shed:
		if k != Bodies || small {
			return 0
		}
		return b.used[Bodies] + n - b.cfg.Limit
	}
	missing := b.total() + n - b.cfg.Limit
	if share := [...]float64{Bodies: bodyShare, Answers: answerShare}[k]; k != Connections && !small {
		missing = max(missing, b.used[k]+n-int64(share*float64(b.cfg.Limit)))
	}
	return missing
}

func (b *Budget) total() (sum int64) {
	for _, n := range b.used {
		sum += n
	}
	return sum
}

// shedFor sheds connections until need bytes are returned or none is left that may be shed; the caller holds mu. First come those that
// hold much for long without progress. Then come those of the owner that holds most, if it holds more than twice as much as the owner
// for whom memory is missing.
func (b *Budget) shedFor(a *Account, need int64, now time.Time, victims *[]*Account) {
	for need > 0 {
		v := b.stalled(a, now)
		if v == nil {
			v = b.overShare(a, need)
		}
		if v == nil {
			return
		}
		freed := v.large() + v.held[Connections]
		v.release()
		v.isShed = true
		b.shed++
		need -= freed
		*victims = append(*victims, v)
	}
}

// stalled returns the account that makes no progress and for which the product of bytes and time is largest, or nil.
func (b *Budget) stalled(except *Account, now time.Time) (worst *Account) {
	most := 0.0
	for v := range b.open {
		held := v.large() + v.held[Connections]
		if v == except || v.isShed || held < minShed {
			continue
		}
		still := now.Sub(time.Unix(0, v.progress.Load()))
		switch State(v.state.Load()) {
		case Reading:
			if still < readStall {
				continue
			}
		case Writing:
			if still < writeStall {
				continue
			}
		default:
			continue
		}
		if score := float64(held) * still.Seconds(); score > most {
			worst, most = v, score
		}
	}
	return worst
}

// overShare returns the account that holds most of the owner that holds most, if that is more than twice what the owner of a would hold.
func (b *Budget) overShare(a *Account, need int64) (worst *Account) {
	most, owner := int64(0), ""
	for o, n := range b.held {
		if n > most {
			most, owner = n, o
		}
	}
	if owner == a.owner || most <= 2*(b.held[a.owner]+need) {
		return nil
	}
	for v := range b.open {
		if v.owner == owner && !v.isShed && State(v.state.Load()) == Reading && v.large() > 0 && (worst == nil || v.large() > worst.large()) {
			worst = v
		}
	}
	return worst
}

// ShedIdle sheds the connection without progress for longest, if there is one, and reports whether it did: one without a byte, one in the
// middle of a request, or one that has been idle for idleAfter, after which callers don't reuse it.
func (b *Budget) ShedIdle(idleAfter time.Duration, now time.Time) bool {
	v := b.shedOldest(idleAfter, now)
	if v != nil {
		v.onShed()
	}
	return v != nil
}

func (b *Budget) shedOldest(idleAfter time.Duration, now time.Time) (oldest *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.cfg.Shed {
		return nil
	}
	after := map[State]time.Duration{Unused: unusedAge, Reading: readStall, Idle: idleAfter}
	var since int64
	for v := range b.open {
		limit, may := after[State(v.state.Load())]
		last := v.progress.Load()
		if may && !v.isShed && now.Sub(time.Unix(0, last)) > limit && (oldest == nil || last < since) {
			oldest, since = v, last
		}
	}
	if oldest != nil {
		oldest.release()
		oldest.isShed = true
		b.shed++
	}
	return oldest
}

// Release returns n bytes of a kind.
func (a *Account) Release(k Kind, n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.releaseSome(k, n)
}

// releaseSome returns n bytes of a kind; the caller holds mu.
func (a *Account) releaseSome(k Kind, n int64) {
	b := a.budget
	n = min(n, a.held[k]) // a shed account holds nothing
	a.held[k] -= n
	b.used[k] -= n
	if k != Connections {
		b.addHeld(a.owner, -n)
	}
}

// ReleaseAll returns all bytes of a kind.
func (a *Account) ReleaseAll(k Kind) { a.Release(k, 1<<62) }

// ReleaseDownTo returns what the account holds of a kind above n bytes.
func (a *Account) ReleaseDownTo(k Kind, n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if more := a.held[k] - n; more > 0 {
		a.releaseSome(k, more)
	}
}

// Usage is what is used of a budget.
type Usage struct {
	Limit   int64
	Held    map[string]int64 // bytes by kind
	Total   int64
	Shed    int64 // connections shed
	Refused int64 // reservations refused
}

// Usage returns what is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Limit: b.cfg.Limit, Held: map[string]int64{}, Total: b.total(), Shed: b.shed, Refused: b.refused}
	for k, n := range b.used {
		u.Held[Kind(k).String()] = n
	}
	return u
}

// LargestBody returns the size up to which a single body has room.
func (b *Budget) LargestBody() int64 { return int64(bodyShare * float64(b.cfg.Limit)) }

// Held returns the bytes held of a kind.
func (b *Budget) Held(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k]
}

type contextKey struct{}

// NewContext returns a context that carries the account.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the context's account, or nil.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
