package peers

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/pause"
)

const (
	// entryTTL is how long a host's entry outlives it. It covers the restart of a process, so that hosts that come
	// back together find each other's entries.
	entryTTL = 8 * time.Second
	// renewTime is the time between two renewals; two of them may fail.
	renewTime = entryTTL / 4
	// storeCall bounds a call.
	storeCall = time.Second
	// registerRetry is the pause after a failed registration.
	registerRetry = 200 * time.Millisecond
)

// Register keeps the entry of a host in the store until ctx ends, and removes it then.
func Register(ctx context.Context, store kv.Store, key string, e Entry, log *slog.Logger) {
	value, err := json.Marshal(e)
	if err != nil {
		log.Error("host not registered", "error", err.Error())
		return
	}
	r := registration{store: store, key: key, value: value, log: log}
	for ctx.Err() == nil {
		lease, err := r.write(ctx)
		if err != nil {
			log.Warn("host not registered", "error", err.Error())
			pause.For(ctx, registerRetry)
			continue
		}
		log.Info("host registered", "key", key)
		r.renew(ctx, lease)
	}
}

type registration struct {
	store kv.Store
	key   string
	value []byte
	log   *slog.Logger
}

// write attaches the entry to a new lease. An entry of an earlier start is replaced.
func (r *registration) write(ctx context.Context) (kv.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
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

// renew returns when the lease is lost or ctx has ended.
func (r *registration) renew(ctx context.Context, lease kv.LeaseID) {
	for pause.For(ctx, renewTime) {
		call, cancel := context.WithTimeout(ctx, storeCall)
		err := r.store.KeepAlive(call, lease)
		cancel()
		if errors.Is(err, kv.ErrLeaseLost) {
			r.log.Warn("registration lapsed", "key", r.key)
			return
		}
		if err != nil {
			r.log.Debug("registration not renewed", "error", err.Error())
		}
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCall)
	defer cancel()
	if err := r.store.Revoke(end, lease); err != nil {
		r.log.Warn("registration not removed; it lapses", "error", err.Error())
	}
}
