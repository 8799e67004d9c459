package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/filter/auth"
)

// checkPeriod is the period of the check of open exchanges. The status changes with time alone, of which a
// view sends no notice.
const checkPeriod = 250 * time.Millisecond

// errKeyInvalid is the cause of a context that ended because its key is no longer valid on this host.
var errKeyInvalid = errors.New("dispatch: the key is no longer valid on this host")

// registry holds the open exchanges with engines by key hash.
type registry struct {
	mu   sync.Mutex
	open map[[32]byte]map[*entry]struct{} // guarded by mu
}

type entry struct{ cancel context.CancelCauseFunc }

func (r *registry) add(key [32]byte, cancel context.CancelCauseFunc) (remove func()) {
	e := &entry{cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = map[[32]byte]map[*entry]struct{}{}
	}
	if r.open[key] == nil {
		r.open[key] = map[*entry]struct{}{}
	}
	r.open[key][e] = struct{}{}
	return func() { r.remove(key, e) }
}

func (r *registry) remove(key [32]byte, e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open[key], e)
	if len(r.open[key]) == 0 {
		delete(r.open, key)
	}
}

// check ends the exchanges whose key is no longer valid.
func (r *registry) check(view confview.View) {
	snap, status := confview.Read(view)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, entries := range r.open {
		_, err := auth.Check(snap, status, key)
		if err == nil {
			continue
		}
		for e := range entries {
			e.cancel(errors.Join(errKeyInvalid, err))
		}
	}
}

// run checks after each change and in each period until ctx ends.
func (r *registry) run(ctx context.Context, view confview.View) {
	changes, cancel := view.Subscribe()
	defer cancel()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
		r.check(view)
	}
}
