// Package memkv is an in-memory kv.Store with injectable faults, for tests and the stand-in. It uses the
// time package only, so that it runs on virtual time inside testing/synctest.
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

// Op is a kind of call, as seen by a fault injector.
type Op string

// Ops.
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

// Fault is what happens to one call.
type Fault struct {
	Unavailable bool          // fails without effect
	LoseAnswer  bool          // takes effect; the caller gets an error
	Delay       time.Duration // passes before the effect, which happens even if the caller gave up meanwhile
}

// Injector returns the fault of a call. It is called once for each call, before its effect and without
// locks held. The key is empty for calls on leases.
type Injector func(op Op, key string) Fault

// Store implements kv.Store.
type Store struct {
	mu       sync.Mutex
	injector Injector                 // guarded by mu
	version  kv.Version               // guarded by mu; newest version of any key
	entries  map[string]entry         // guarded by mu
	leases   map[kv.LeaseID]*lease    // guarded by mu
	lastID   kv.LeaseID               // guarded by mu
	changed  map[string]chan struct{} // guarded by mu; closed when the key changes
	calls    map[Op]int               // guarded by mu
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
	return &Store{
		entries: map[string]entry{}, leases: map[kv.LeaseID]*lease{},
		changed: map[string]chan struct{}{}, calls: map[Op]int{},
	}
}

// SetInjector replaces the fault injector; nil removes it.
func (s *Store) SetInjector(f Injector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injector = f
}

// SetFault applies f to every call from now on.
func (s *Store) SetFault(f Fault) { s.SetInjector(func(Op, string) Fault { return f }) }

// Calls returns the number of calls of an op so far, failed ones included.
func (s *Store) Calls(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	return call(ctx, s, OpGet, key, kv.ErrUnavailable, func() (kv.Entry, error) {
		e, ok := s.entries[key]
		if !ok {
			return kv.Entry{}, kv.ErrNotFound
		}
		return e.export(key), nil
	})
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	return call(ctx, s, OpList, prefix, kv.ErrUnavailable, func() ([]kv.Entry, error) {
		var out []kv.Entry
		for _, key := range slices.Sorted(maps.Keys(s.entries)) {
			if strings.HasPrefix(key, prefix) {
				out = append(out, s.entries[key].export(key))
			}
		}
		return out, nil
	})
}

// Wait implements kv.Store.
func (s *Store) Wait(ctx context.Context, key string, after kv.Version, wait time.Duration) (kv.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var changed chan struct{}
	read := func() (kv.Entry, error) {
		if s.changed[key] == nil {
			s.changed[key] = make(chan struct{})
		}
		changed = s.changed[key]
		e, ok := s.entries[key]
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
			s.mu.Lock()
			e, err = read()
			s.mu.Unlock()
		}
	}
	return e, err
}

// Put implements kv.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect kv.Version, id kv.LeaseID) (kv.Version, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	value = bytes.Clone(value)
	return call(ctx, s, OpPut, key, kv.ErrUnknown, func() (kv.Version, error) {
		if s.entries[key].version != expect {
			return 0, kv.ErrConflict
		}
		if id != 0 && s.leases[id] == nil {
			return 0, kv.ErrLeaseLost
		}
		s.version++
		s.entries[key] = entry{value: value, version: s.version, lease: id}
		s.notify(key)
		return s.version, nil
	})
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Version) error {
	_, err := call(ctx, s, OpDelete, key, kv.ErrUnknown, func() (struct{}, error) {
		e, ok := s.entries[key]
		if !ok || e.version != expect {
			return struct{}{}, kv.ErrConflict
		}
		s.version++
		delete(s.entries, key)
		s.notify(key)
		return struct{}{}, nil
	})
	return err
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	return call(ctx, s, OpGrant, "", kv.ErrUnknown, func() (kv.LeaseID, error) {
		s.lastID++
		id := s.lastID
		s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
		return id, nil
	})
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := call(ctx, s, OpKeepAlive, "", kv.ErrUnavailable, func() (struct{}, error) {
		l := s.leases[id]
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
	_, err := call(ctx, s, OpRevoke, "", kv.ErrUnknown, func() (struct{}, error) {
		if s.leases[id] == nil {
			return struct{}{}, kv.ErrLeaseLost
		}
		s.end(id)
		return struct{}{}, nil
	})
	return err
}

func (s *Store) expire(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// end removes a lease and its keys; mu is held.
func (s *Store) end(id kv.LeaseID) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.version++
			delete(s.entries, key)
			s.notify(key)
		}
	}
}

// notify wakes the waiters of key; mu is held.
func (s *Store) notify(key string) {
	if c := s.changed[key]; c != nil {
		close(c)
		delete(s.changed, key)
	}
}

func (s *Store) fault(op Op, key string) Fault {
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

// call runs effect with mu held, under the fault that is injected for the call. lost is the error for an
// answer that does not arrive.
func call[T any](ctx context.Context, s *Store, op Op, key string, lost error, effect func() (T, error)) (T, error) {
	var zero T
	f := s.fault(op, key)
	if f.Unavailable || ctx.Err() != nil {
		return zero, kv.ErrUnavailable
	}
	run := func() result[T] {
		s.mu.Lock()
		defer s.mu.Unlock()
		v, err := effect()
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
