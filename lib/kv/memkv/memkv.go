// Package memkv implements kv.Store in memory with injectable faults, for tests and the stand-in service. Its only
// clock is the time package, so that it runs on virtual time inside testing/synctest.
package memkv

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
)

// Op is the kind of a call, as passed to an Injector.
type Op string

// Kinds of calls, one for each method of kv.Store.
const (
	OpGet       Op = "get"
	OpWait      Op = "wait"
	OpList      Op = "list"
	OpPut       Op = "put"
	OpDelete    Op = "delete"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keepalive"
	OpRevoke    Op = "revoke"
)

// Fault describes what goes wrong with one call.
type Fault struct {
	Unavailable bool          // the call fails without effect
	LoseAnswer  bool          // the call takes effect, but the caller gets an error
	Delay       time.Duration // time before the call takes effect, which it does even if the caller gives up meanwhile
}

// Injector returns the fault of a call. It is called once for each call, before the call takes effect and without
// locks held. The key is empty for calls on leases.
type Injector func(op Op, key string) Fault

// Store implements kv.Store for one client. Client returns stores for further clients with the same content.
type Store struct {
	d *data

	mu       sync.Mutex
	injector Injector   // guarded by mu
	calls    map[Op]int // guarded by mu
	history  kv.History // guarded by mu; by the time since started
	answered bool       // guarded by mu
	started  time.Time
}

// data is what the service stores. All clients share it.
type data struct {
	mu        sync.Mutex
	era       kv.Era                   // guarded by mu
	version   kv.Version               // guarded by mu; newest version of any key
	entries   map[string]entry         // guarded by mu
	leases    map[kv.LeaseID]*lease    // guarded by mu
	lastLease kv.LeaseID               // guarded by mu
	changed   map[string]chan struct{} // guarded by mu; closed when the key changes
}

type entry struct {
	value   []byte
	version kv.Version
	lease   kv.LeaseID
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New returns an empty store without faults.
func New() *Store {
	return newClient(&data{
		entries: map[string]entry{}, leases: map[kv.LeaseID]*lease{}, changed: map[string]chan struct{}{},
	})
}

func newClient(d *data) *Store { return &Store{d: d, calls: map[Op]int{}, started: time.Now()} }

// Client returns another store with the same content and with faults and call counts of its own. It can stand for a
// host that is cut off while others are not.
func (s *Store) Client() *Store { return newClient(s.d) }

// SetInjector replaces the fault injector; nil removes it.
func (s *Store) SetInjector(f Injector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injector = f
}

// SetFault applies f to every later call. It replaces the injector.
func (s *Store) SetFault(f Fault) { s.SetInjector(func(Op, string) Fault { return f }) }

// Calls returns the number of calls of the given kind so far, including failed ones.
func (s *Store) Calls(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// History returns what this client knows of the eras. Its clock is the time since the client was made.
func (s *Store) History() kv.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

// Clock returns the time since the client was made.
func (s *Store) Clock() time.Duration { return time.Since(s.started) }

// recordEra records that an answer stated an era.
func (s *Store) recordEra(era kv.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answered || era > s.history.Era {
		s.history = kv.History{Era: era, Since: s.Clock(), Restored: s.answered}
	}
	s.answered = true
}

// Backup is a copy of what a service stores.
type Backup struct{ d *data }

// Backup returns a copy of what the service stores now.
func (s *Store) Backup() Backup {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &data{version: d.version, entries: maps.Clone(d.entries), leases: map[kv.LeaseID]*lease{}, lastLease: d.lastLease}
	for id, l := range d.leases {
		c.leases[id] = &lease{ttl: l.ttl}
	}
	return Backup{c}
}

// Restore replaces what the service stores by a copy and begins a new era, which its answers state unless silent is set. The
// service gives out again the revisions and lease ids that it has given out since the copy. Leases of the copy run for their
// whole time to live.
func (s *Store) Restore(b Backup, silent bool) {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.leases {
		l.timer.Stop()
	}
	if !silent {
		d.era++
	}
	revision := b.d.version.Revision()
	d.version, d.lastLease = kv.NewVersion(d.era, revision), leaseIn(d.era, b.d.lastLease)
	d.leases, d.entries = map[kv.LeaseID]*lease{}, map[string]entry{}
	for id, l := range b.d.leases {
		id = leaseIn(d.era, id)
		d.leases[id] = &lease{ttl: l.ttl, timer: time.AfterFunc(l.ttl, func() { d.expire(id) })}
	}
	for key, e := range b.d.entries {
		e.version = kv.NewVersion(d.era, e.version.Revision())
		if e.lease != 0 {
			e.lease = leaseIn(d.era, e.lease)
		}
		d.entries[key] = e
	}
	for key := range d.changed {
		d.notify(key)
	}
}

// leaseIn returns the id that a lease of a copy has in an era.
func leaseIn(e kv.Era, id kv.LeaseID) kv.LeaseID { return kv.NewLeaseID(e, kv.Version(id).Revision()) }

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	d := s.d
	return call(ctx, s, OpGet, key, kv.ErrUnavailable, func() (kv.Entry, error) {
		e, ok := d.entries[key]
		if !ok {
			return kv.Entry{}, kv.ErrNotFound
		}
		return e.export(key), nil
	})
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	d := s.d
	return call(ctx, s, OpList, prefix, kv.ErrUnavailable, func() ([]kv.Entry, error) {
		var out []kv.Entry
		for _, key := range slices.Sorted(maps.Keys(d.entries)) {
			if strings.HasPrefix(key, prefix) {
				out = append(out, d.entries[key].export(key))
			}
		}
		return out, nil
	})
}

// Wait implements kv.Store.
func (s *Store) Wait(ctx context.Context, key string, after kv.Version, wait time.Duration) (kv.Entry, error) {
	d := s.d
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var changed chan struct{}
	read := func() (kv.Entry, error) {
		if d.changed[key] == nil {
			d.changed[key] = make(chan struct{})
		}
		changed = d.changed[key]
		e, ok := d.entries[key]
		if !ok {
			return kv.Entry{Key: key}, nil
		}
		return e.export(key), nil
	}
	e, err := call(ctx, s, OpWait, key, kv.ErrUnavailable, read)
	for err == nil && e.Version == after {
		select {
		case <-ctx.Done():
			return kv.Entry{}, kv.ErrUnavailable
		case <-timer.C:
			return e, nil
		case <-changed:
			d.mu.Lock()
			e, err = read()
			d.mu.Unlock()
		}
	}
	return e, err
}

// Put implements kv.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect kv.Version, id kv.LeaseID) (kv.Version, error) {
	d := s.d
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	value = bytes.Clone(value)
	return call(ctx, s, OpPut, key, kv.ErrUnknown, func() (kv.Version, error) {
		if d.entries[key].version != expect {
			return 0, kv.ErrConflict
		}
		if id != 0 && d.leases[id] == nil {
			return 0, kv.ErrLeaseLost
		}
		d.version++
		d.entries[key] = entry{value: value, version: d.version, lease: id}
		d.notify(key)
		return d.version, nil
	})
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Version) error {
	d := s.d
	_, err := call(ctx, s, OpDelete, key, kv.ErrUnknown, func() (struct{}, error) {
		e, ok := d.entries[key]
		if !ok || e.version != expect {
			return struct{}{}, kv.ErrConflict
		}
		d.version++
		delete(d.entries, key)
		d.notify(key)
		return struct{}{}, nil
	})
	return err
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	d := s.d
	return call(ctx, s, OpGrant, "", kv.ErrUnknown, func() (kv.LeaseID, error) {
		d.lastLease++
		id := d.lastLease
		d.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { d.expire(id) })}
		return id, nil
	})
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	d := s.d
	_, err := call(ctx, s, OpKeepAlive, "", kv.ErrUnavailable, func() (struct{}, error) {
		l := d.leases[id]
		if l == nil || !l.timer.Stop() {
			return struct{}{}, kv.ErrLeaseLost
		}
		l.timer.Reset(l.ttl)
		return struct{}{}, nil
	})
	return err
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	d := s.d
	_, err := call(ctx, s, OpRevoke, "", kv.ErrUnknown, func() (struct{}, error) {
		if d.leases[id] == nil {
			return struct{}{}, kv.ErrLeaseLost
		}
		d.endLease(id)
		return struct{}{}, nil
	})
	return err
}

func (d *data) expire(id kv.LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endLease(id)
}

// endLease removes a lease and deletes its keys; the caller holds mu.
func (d *data) endLease(id kv.LeaseID) {
	l := d.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(d.leases, id)
	for key, e := range d.entries {
		if e.lease == id {
			d.version++
			delete(d.entries, key)
			d.notify(key)
		}
	}
}

// notify wakes the calls of Wait for key; the caller holds mu.
func (d *data) notify(key string) {
	if c := d.changed[key]; c != nil {
		close(c)
		delete(d.changed, key)
	}
}

// nextFault counts a call and returns its fault.
func (s *Store) nextFault(op Op, key string) Fault {
	s.mu.Lock()
	s.calls[op]++
	injector := s.injector
	s.mu.Unlock()
	if injector == nil {
		return Fault{}
	}
	return injector(op, key)
}

type result[T any] struct {
	value T
	err   error
}

// call runs effect with the lock of the data held, after applying the fault injected for the call. lost is the error
// to return when the response is lost.
func call[T any](ctx context.Context, s *Store, op Op, key string, lost error, effect func() (T, error)) (T, error) {
	var zero T
	f := s.nextFault(op, key)
	if f.Unavailable || ctx.Err() != nil {
		return zero, kv.ErrUnavailable
	}
	run := func() result[T] {
		s.d.mu.Lock()
		defer s.d.mu.Unlock()
		v, err := effect()
		if !f.LoseAnswer {
			s.recordEra(s.d.era)
		}
		return result[T]{v, err}
	}
	var r result[T]
	if f.Delay == 0 {
		r = run()
	} else {
		done := make(chan result[T], 1)
		time.AfterFunc(f.Delay, func() { done <- run() })
		select {
		case <-ctx.Done():
			return zero, lost
		case r = <-done:
		}
	}
	if f.LoseAnswer {
		return zero, lost
	}
	return r.value, r.err
}

func (e entry) export(key string) kv.Entry {
	return kv.Entry{Key: key, Value: bytes.Clone(e.value), Version: e.version}
}
