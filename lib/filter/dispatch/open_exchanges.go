package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/filter/auth"
)

// keyCheckInterval is the interval at which the keys of open exchanges are checked. Notifications of the view are not
// enough, because the status also changes with the passage of time, without a notification.
const keyCheckInterval = 250 * time.Millisecond

// errKeyInvalid is the cause of a context that ended because its key is no longer valid on this host.
var errKeyInvalid = errors.New("dispatch: the key is no longer valid on this host")

// openExchanges contains the exchanges for which requests at engines are in progress, by key hash.
type openExchanges struct {
	mu    sync.Mutex
	byKey map[[32]byte]map[*openExchange]struct{} // guarded by mu
}

type openExchange struct{ cancel context.CancelCauseFunc }

// add registers an exchange, which cancel ends. The caller must call remove when the exchange finishes.
func (r *openExchanges) add(key [32]byte, cancel context.CancelCauseFunc) (remove func()) {
	e := &openExchange{cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[[32]byte]map[*openExchange]struct{}{}
	}
	if r.byKey[key] == nil {
		r.byKey[key] = map[*openExchange]struct{}{}
	}
	r.byKey[key][e] = struct{}{}
	return func() { r.remove(key, e) }
}

func (r *openExchanges) remove(key [32]byte, e *openExchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byKey[key], e)
	if len(r.byKey[key]) == 0 {
		delete(r.byKey, key)
	}
}

// endInvalid ends the exchanges whose key is no longer valid on this host.
func (r *openExchanges) endInvalid(view confview.View) {
	snap, status := confview.SnapshotWithStatus(view)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, entries := range r.byKey {
		_, err := auth.Authenticate(snap, status, key)
		if err == nil {
			continue
		}
		for e := range entries {
			e.cancel(errors.Join(errKeyInvalid, err))
		}
	}
}

// run calls endInvalid after each change of the view and every keyCheckInterval, until ctx ends.
func (r *openExchanges) run(ctx context.Context, view confview.View) {
	changes, cancel := view.Subscribe()
	defer cancel()
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
		r.endInvalid(view)
	}
}
