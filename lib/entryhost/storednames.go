package entryhost

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/quarantine"
)

const (
	// quarantineKeyTTL is how long the store keeps a name. It ends before the hosts' own period, so that a full read does not
	// extend that.
	quarantineKeyTTL = quarantine.Period - 10*time.Second
	// persistInterval is the mean time between two looks for names that the store lacks. It is random, so that one of the
	// hosts writes a name and the others see that.
	persistInterval = time.Second
	// maxPersistInterval is that time after a failed call.
	maxPersistInterval = 5 * time.Second
	// persistTimeout bounds the calls of the store for one name.
	persistTimeout = time.Second
)

// storedNames keeps a set of names in the store, so that it outlives a restart of all hosts. Each name is a key of its own.
type storedNames struct {
	host   string
	prefix string // of the keys
	store  kv.Store
	log    *slog.Logger
	wanted func() []string // the names that the store is to have
	// removesUnwanted has names removed that are no longer wanted. Otherwise they expire, unless remove is called.
	removesUnwanted bool
	now             chan struct{} // ends the wait of persist

	mu      sync.Mutex
	stored  map[string]bool // guarded by mu; names that the store has
	removed map[string]bool // guarded by mu; names to delete from the store
}

func newStoredNames(host, prefix string, store kv.Store, log *slog.Logger, wanted func() []string) *storedNames {
	return &storedNames{
		host: host, prefix: prefix, store: store, log: log, wanted: wanted, now: make(chan struct{}, 1),
		stored: map[string]bool{}, removed: map[string]bool{},
	}
}

// writeNow has missing names written at once.
func (s *storedNames) writeNow() {
	select {
	case s.now <- struct{}{}:
	default:
	}
}

// setStored records names that were read from the store and returns those that are new.
func (s *storedNames) setStored(names []string) (added []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if !s.stored[name] {
			added = append(added, name)
		}
		s.stored[name] = true
	}
	return added
}

// remove has a name deleted from the store.
func (s *storedNames) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed[name] = true
	delete(s.stored, name)
}

// forgetAllStored has all names written again, for a store that may have lost them.
func (s *storedNames) forgetAllStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.stored)
}

// persist writes wanted names into the store until ctx ends. A host for which writeNow was called does it at once, and those that poll
// the store do it for the fleet.
func (s *storedNames) persist(ctx context.Context, poller func() bool) {
	for wait := persistInterval; ; {
		found := s.waitFound(ctx, wait/2+rand.N(wait))
		if ctx.Err() != nil {
			return
		}
		names := s.wanted()
		s.forgetUnwanted(names)
		removed := s.takeRemoved()
		if !found && !poller() {
			continue
		}
		wait = persistInterval
		for _, name := range removed {
			if err := s.delete(ctx, name); err != nil {
				s.log.Warn("name not removed from the store; it will expire", "key", s.prefix+name, "error", err.Error())
			}
		}
		for _, name := range names {
			if s.isStored(name) {
				continue
			}
			if err := s.write(ctx, name); err != nil {
				s.log.Warn("name not stored", "key", s.prefix+name, "error", err.Error())
				wait = maxPersistInterval
				break
			}
			s.setStored([]string{name})
		}
	}
}

// waitFound waits until writeNow is called, which it reports, the time is over or ctx ends.
func (s *storedNames) waitFound(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.now:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (s *storedNames) isStored(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored[name]
}

// forgetUnwanted forgets names that are no longer wanted.
func (s *storedNames) forgetUnwanted(wanted []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.stored {
		if !slices.Contains(wanted, name) {
			delete(s.stored, name)
			if s.removesUnwanted {
				s.removed[name] = true
			}
		}
	}
}

// takeRemoved returns the names that are to be deleted since the last call.
func (s *storedNames) takeRemoved() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Collect(maps.Keys(s.removed))
	clear(s.removed)
	return out
}

// delete deletes one name from the store.
func (s *storedNames) delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	e, err := s.store.Get(ctx, s.prefix+name)
	if err == nil {
		err = s.store.Delete(ctx, e.Key, e.Version)
	}
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
		err = nil
	}
	return err
}

// write writes one name, with that of this host, unless another host has.
func (s *storedNames) write(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	key := s.prefix + name
	if _, err := s.store.Get(ctx, key); !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	lease, err := s.store.Grant(ctx, quarantineKeyTTL)
	if err != nil {
		return err
	}
	if _, err = s.store.Put(ctx, key, []byte(s.host), 0, lease); errors.Is(err, kv.ErrConflict) {
		return s.store.Revoke(ctx, lease)
	}
	return err
}
