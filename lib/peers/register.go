package peers

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/sleep"
)

const (
	// entryTTL is how long a host's entry outlives its process. It covers a restart, so that hosts that restart together
	// find each other's entries.
	entryTTL = 8 * time.Second
	// renewInterval is the time between two renewals of the entry's lease, and renewRetryDelay that after a failed one. Two in
	// a row may fail.
	renewInterval   = entryTTL / 2
	renewRetryDelay = entryTTL / 16
	// storeTimeout bounds the calls of the store for one operation.
	storeTimeout = time.Second
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 200 * time.Millisecond
)

// Register keeps the entry of a host in the store until ctx ends, and then removes it.
func Register(ctx context.Context, store kv.Store, key string, e Entry, log *slog.Logger) {
	value, err := json.Marshal(e)
	if err != nil {
		log.Error("host not registered", "error", err.Error())
		return
	}
	r := registration{store: store, key: key, value: value, log: log}
	for ctx.Err() == nil {
		lease, err := r.writeEntry(ctx)
		if err != nil {
			log.Warn("host not registered", "error", err.Error())
			sleep.For(ctx, registerRetryDelay)
			continue
		}
		log.Info("host registered", "key", key)
		r.renew(ctx, lease)
	}
}

// registration is the entry of this host in the store.
type registration struct {
	store kv.Store
	key   string
	value []byte
	log   *slog.Logger
}

// writeEntry writes the entry under a new lease. It replaces an entry of an earlier start.
func (r *registration) writeEntry(ctx context.Context) (kv.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := r.store.Grant(ctx, entryTTL)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Put(ctx, r.key, r.value, 0, lease)
	if errors.Is(err, kv.ErrConflict) {
		var old kv.Entry
		if old, err = r.store.Get(ctx, r.key); err == nil {
			_, err = r.store.Put(ctx, r.key, r.value, old.Version, lease)
		}
	}
	return lease, err
}

// renew renews the lease until it is lost or ctx ends. When ctx ends, it revokes the lease, which removes the entry.
func (r *registration) renew(ctx context.Context, lease kv.LeaseID) {
	for wait := renewInterval; sleep.For(ctx, wait); {
		wait = renewInterval
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := r.store.KeepAlive(call, lease)
		cancel()
		if errors.Is(err, kv.ErrLeaseLost) {
			r.log.Warn("registration expired", "key", r.key)
			return
		}
		if err != nil {
			wait = renewRetryDelay
			r.log.Debug("registration not renewed", "error", err.Error())
		}
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := r.store.Revoke(end, lease); err != nil {
		r.log.Warn("registration not removed; it will expire", "error", err.Error())
	}
}
