package entryhost

import (
	"sync"

	"cuminhook.org/cuminhook/lib/storewatch"
)

// unannounced holds what audiences may not know yet, for the next partial states.
type unannounced[K comparable] struct {
	mu   sync.Mutex
	keys map[storewatch.Audience]map[K]bool // guarded by mu
}

// add adds keys for the audiences.
func (u *unannounced[K]) add(keys []K, audiences ...storewatch.Audience) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keys == nil {
		u.keys = map[storewatch.Audience]map[K]bool{}
	}
	for _, to := range audiences {
		if u.keys[to] == nil {
			u.keys[to] = map[K]bool{}
		}
		for _, k := range keys {
			u.keys[to][k] = true
		}
	}
}

// take returns what to announce to an audience, which is taken for announced then.
func (u *unannounced[K]) take(to storewatch.Audience) map[K]bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.keys[to]
	delete(u.keys, to)
	return out
}
