package lease

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/kv"
)

const (
	// callTimeout bounds a call of the key-value service.
	callTimeout = time.Second
	// defaultWait is the default of Options.Wait.
	defaultWait = 500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 100 * time.Millisecond
	// renewalsPerTTL is the number of renewals sent in one time to live.
	renewalsPerTTL = 3
	// unknownVersion differs from every version of a key.
	unknownVersion kv.Version = -1
	// epochsPerEra is the number of epochs that each era of the service has for itself.
	epochsPerEra = 1 << 20
	// safetyMarginDivisor sets the safety margin, the last part of the time to live in which the holder no longer relies on
	// the lease: a tenth. It allows for clocks that run at different speeds here and in the key-value service.
	safetyMarginDivisor = 10
)

// ErrHeld is returned by Campaign while the lease is held or another Campaign runs.
var ErrHeld = errors.New("lease: already held or being campaigned for; resign first")

// errExpired is the error of an attempt whose granted lease expired before the term began.
var errExpired = errors.New("lease: expired before the epoch was incremented; campaigning again")

// errRestored is the error of an attempt during which the service was restored from an older copy.
var errRestored = errors.New("lease: the service was restored meanwhile; campaigning again")

// Lease is a lease on the key <prefix>/lease, with its epoch in <prefix>/epoch. Each term has a higher epoch than all
// earlier terms, also of those that a restored service has lost. It is safe for concurrent use.
type Lease struct {
	store  kv.Store
	prefix string
	holder string // written into the key, for operators
	ttl    time.Duration
	opts   Options

	mu          sync.Mutex
	campaigning bool  // guarded by mu
	term        *term // guarded by mu; nil if not held

	// countFromAnswer is a fault that tests inject: validity is counted from the answer to a grant or renewal instead of
	// from the call.
	countFromAnswer bool
}

// term is an uninterrupted period in which this process holds the lease.
type term struct {
	epoch       int64
	id          kv.LeaseID
	validUntil  time.Duration // by Options.Clock
	done        chan struct{} // closed at the end of the term
	stopRenewal context.CancelFunc
}

var _ Checker = (*Lease)(nil)

// Options are the options of a lease.
type Options struct {
	// Wait is how long one call of the store waits for the end of another holder's lease; zero: 500 ms. Longer waits need
	// fewer calls, each of which the platform counts.
	Wait time.Duration
	// Clock is the monotonic clock that measures validity; nil: the monotonic clock of the process, which stops while the
	// machine is suspended.
	Clock func() time.Duration
	// History returns what this process knows of the service's eras, by Clock; nil: the service is never restored.
	History func() kv.History
}

// New returns a lease that is not held, with the default options. holder is written into the lease key for operators. The
// time to live should be several seconds: the lease is lost when the key-value service does not answer for 0.9 of it.
func New(store kv.Store, prefix, holder string, ttl time.Duration) *Lease {
	return NewWithOptions(store, prefix, holder, ttl, Options{})
}

// NewWithOptions is New with options.
func NewWithOptions(store kv.Store, prefix, holder string, ttl time.Duration, opts Options) *Lease {
	if opts.Wait == 0 {
		opts.Wait = defaultWait
	}
	if opts.Clock == nil {
		start := time.Now()
		opts.Clock = func() time.Duration { return time.Since(start) }
	}
	if opts.History == nil {
		opts.History = func() kv.History { return kv.History{} }
	}
	return &Lease{store: store, prefix: prefix, holder: holder, ttl: ttl, opts: opts}
}

// Held returns the epoch of the term and whether the lease is certainly still valid at this instant. An expired lease stays
// lost until the next Campaign, even if a renewal that was in progress succeeds.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return 0, false
	}
	if l.opts.Clock() >= l.term.validUntil {
		l.endTerm(l.term)
		return 0, false
	}
	return l.term.epoch, true
}

// Campaign waits until the lease is acquired, and renews it in the background until it is lost or resigned. The returned
// channel is closed at the end of the term. Failed attempts are repeated; the error is ErrHeld or that of ctx.
func (l *Lease) Campaign(ctx context.Context) (ended <-chan struct{}, err error) {
	l.mu.Lock()
	busy := l.campaigning || l.term != nil && l.opts.Clock() < l.term.validUntil
	l.campaigning = l.campaigning || !busy
	l.mu.Unlock()
	if busy {
		return nil, ErrHeld
	}
	defer func() {
		l.mu.Lock()
		l.campaigning = false
		l.mu.Unlock()
	}()
	for {
		t, err := l.acquire(ctx)
		if err == nil {
			return t.done, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := sleep(ctx, retryDelay); err != nil {
			return nil, err
		}
	}
}

// Resign ends the term and revokes the lease. Held returns false from the start of the call. After an error, other
// candidates must wait until the lease expires. Resign does nothing if the lease is not held.
func (l *Lease) Resign(ctx context.Context) error {
	l.mu.Lock()
	t := l.term
	if t != nil {
		l.endTerm(t)
	}
	l.mu.Unlock()
	if t == nil {
		return nil
	}
	return l.revoke(ctx, t.id)
}

// endTerm ends a term unless it has ended already. The caller holds mu.
func (l *Lease) endTerm(t *term) {
	if l.term == t {
		l.term = nil
		t.stopRenewal()
		close(t.done)
	}
}

// acquire waits until the lease is free and makes one attempt to acquire it.
func (l *Lease) acquire(ctx context.Context) (*term, error) {
	if err := l.waitUntilFree(ctx); err != nil {
		return nil, err
	}
	era, err := l.waitOutEarlierEra(ctx)
	if err != nil {
		return nil, err
	}
	var id kv.LeaseID
	sent := l.opts.Clock()
	err = l.call(ctx, func(ctx context.Context) (err error) {
		if id, err = l.store.Grant(ctx, l.ttl); err == nil && id.Era() != era {
			err = errRestored
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	validUntil := l.validityEnd(sent)
	epoch, err := l.writeLease(ctx, id, validUntil)
	if err != nil {
		// Revoking the lease also removes a key whose write took effect but was not answered.
		_ = l.revoke(context.WithoutCancel(ctx), id)
		return nil, err
	}
	renewing, stopRenewal := context.WithCancel(context.WithoutCancel(ctx))
	t := &term{epoch: epoch, id: id, validUntil: validUntil, done: make(chan struct{}), stopRenewal: stopRenewal}
	l.mu.Lock()
	if l.term != nil { // the earlier term expired, and Held has not been called since
		l.endTerm(l.term)
	}
	l.term = t
	l.mu.Unlock()
	go l.renew(renewing, t)
	return t, nil
}

// writeLease writes the lease key and increments the epoch, and returns the new epoch. It fails if another candidate has
// written the key, or with errExpired if the lease would no longer be valid.
func (l *Lease) writeLease(ctx context.Context, id kv.LeaseID, validUntil time.Duration) (int64, error) {
	value := []byte(l.holder + " " + uuid.NewString())
	err := l.call(ctx, func(ctx context.Context) error {
		version, err := l.store.Put(ctx, l.prefix+"/lease", value, 0, id)
		if err == nil && version.Era() != id.Era() {
			err = errRestored
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	for l.opts.Clock() < validUntil {
		epoch, err := l.incrementEpoch(ctx, id.Era())
		if err == nil && l.opts.Clock() < validUntil {
			return epoch, nil
		}
		if errors.Is(err, errRestored) {
			return 0, err
		}
		if err := sleep(ctx, retryDelay); err != nil {
			return 0, err
		}
	}
	return 0, errExpired
}

// incrementEpoch increases the stored epoch in an era of the service and returns it. If the outcome is unknown, the caller
// calls it again, which may skip an epoch. The compare-and-swap of a candidate that was paused until after the next holder's
// term began fails, because that holder has increased the epoch.
func (l *Lease) incrementEpoch(ctx context.Context, era kv.Era) (int64, error) {
	old, version, err := l.readEpoch(ctx)
	if err != nil {
		return 0, err
	}
	epoch := l.nextEpoch(old, version, era)
	return epoch, l.call(ctx, func(ctx context.Context) error {
		written, err := l.store.Put(ctx, l.prefix+"/epoch", strconv.AppendInt(nil, epoch, 10), version, 0)
		if err == nil && written.Era() != era {
			err = errRestored
		}
		return err
	})
}

// readEpoch returns the stored epoch and its version; both are zero before the first term.
func (l *Lease) readEpoch(ctx context.Context) (epoch int64, version kv.Version, err error) {
	key := l.prefix + "/epoch"
	var e kv.Entry
	err = l.call(ctx, func(ctx context.Context) (err error) {
		e, err = l.store.Get(ctx, key)
		return err
	})
	if errors.Is(err, kv.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if epoch, err = strconv.ParseInt(string(e.Value), 10, 64); err != nil {
		err = eris.Wrapf(err, "lease: key %s does not hold an epoch; write a number above all epochs used", key)
	}
	return epoch, e.Version, err
}

// firstTermNumber is the number, within its era, of the epoch of the first term ever.
const firstTermNumber = 1

// nextEpoch returns the epoch of a term that begins in an era, after the stored one. The epochs of an era are above all that a
// restored service may have lost. firstTermNumber is left out if there may have been such epochs.
func (l *Lease) nextEpoch(stored int64, version kv.Version, era kv.Era) int64 {
	first := int64(era)*epochsPerEra + firstTermNumber
	if version != 0 || l.opts.History().Restored {
		first++
	}
	return max(stored+1, first)
}

// IsFirstTerm reports whether the epoch is that of the first term ever.
func IsFirstTerm(epoch int64) bool { return epoch%epochsPerEra == firstTermNumber }

// waitOutEarlierEra waits until the terms of earlier eras have ended, and returns the era. A restored service grants the lease
// again although a term that it has lost may last for up to a time to live.
func (l *Lease) waitOutEarlierEra(ctx context.Context) (kv.Era, error) {
	h := l.opts.History()
	if h.Era == 0 {
		return 0, nil
	}
	epoch, _, err := l.readEpoch(ctx)
	if err != nil || epoch >= int64(h.Era)*epochsPerEra {
		return h.Era, err
	}
	return h.Era, sleep(ctx, h.Since+l.ttl-l.opts.Clock())
}

// waitUntilFree waits until nobody holds the lease.
func (l *Lease) waitUntilFree(ctx context.Context) error {
	after := unknownVersion // the first call returns at once
	for {
		var e kv.Entry
		err := l.callWithTimeout(ctx, l.opts.Wait+callTimeout, func(ctx context.Context) (err error) {
			e, err = l.store.Wait(ctx, l.prefix+"/lease", after, l.opts.Wait)
			return err
		})
		if err != nil {
			return err
		}
		if e.Version == 0 {
			return nil
		}
		after = e.Version
	}
}

// renew renews the lease periodically until the term ends.
func (l *Lease) renew(ctx context.Context, t *term) {
	delay := l.ttl / renewalsPerTTL
	for sleep(ctx, delay) == nil {
		sent := l.opts.Clock()
		err := l.call(ctx, func(ctx context.Context) error { return l.store.KeepAlive(ctx, t.id) })
		l.mu.Lock()
		switch {
		case errors.Is(err, kv.ErrLeaseLost) || l.opts.Clock() >= t.validUntil:
			l.endTerm(t)
		case err == nil:
			t.validUntil, delay = l.validityEnd(sent), l.ttl/renewalsPerTTL
		default:
			delay = retryDelay
		}
		l.mu.Unlock()
	}
}

// validityEnd returns the end of validity, by Options.Clock, of a lease granted or renewed by a call sent at the time sent.
func (l *Lease) validityEnd(sent time.Duration) time.Duration {
	if l.countFromAnswer {
		sent = l.opts.Clock()
	}
	return sent + l.ttl - l.ttl/safetyMarginDivisor
}

// revoke revokes a lease of the store. A lease that is already lost is no error.
func (l *Lease) revoke(ctx context.Context, id kv.LeaseID) error {
	return l.call(ctx, func(ctx context.Context) error {
		if err := l.store.Revoke(ctx, id); !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		return nil
	})
}

// call runs fn, a call of the store, with callTimeout.
func (l *Lease) call(ctx context.Context, fn func(ctx context.Context) error) error {
	return l.callWithTimeout(ctx, callTimeout, fn)
}

func (l *Lease) callWithTimeout(ctx context.Context, timeout time.Duration, fn func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fn(ctx)
}

// sleep waits for d or until ctx ends, whose error it returns then.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
