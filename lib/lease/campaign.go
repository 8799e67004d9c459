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
	// waitTime is how long one call waits for the end of another holder's lease.
	waitTime = 500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 100 * time.Millisecond
	// renewals is the number of renewals sent in one time to live.
	renewals = 3
	// unknownVersion differs from every version of a key.
	unknownVersion kv.Version = -1
	// margin is the share of the time to live that is not used, as allowance for clocks that run at different
	// speeds here and in the key-value service.
	margin = 10
)

// ErrHeld is returned by Campaign while the lease is held or another Campaign runs.
var ErrHeld = errors.New("lease: already held or being campaigned for; resign first")

// errExpired: the granted lease ran out before the term began.
var errExpired = errors.New("lease: expired before the epoch was raised; campaigning again")

// Lease is a lease on the key <prefix>/lease with its epoch in <prefix>/epoch. Each term has a higher epoch than
// all terms before.
type Lease struct {
	store  kv.Store
	prefix string
	holder string // written into the key, for operators
	ttl    time.Duration
	opts   Options

	mu          sync.Mutex
	campaigning bool  // guarded by mu
	term        *term // guarded by mu; nil if not held

	// countFromAnswer is a fault that tests inject: validity counts from the answer of a grant or renewal.
	countFromAnswer bool
}

// term is one time of holding the lease.
type term struct {
	epoch int64
	id    kv.LeaseID
	until time.Duration // by Options.Clock
	done  chan struct{} // closed at the end
	stop  context.CancelFunc
}

var _ Checker = (*Lease)(nil)

// Options change how a lease is kept.
type Options struct {
	// Wait is how long one call waits for the end of another holder's lease; zero: waitTime. The platform counts each
	// call.
	Wait time.Duration
	// Clock is the steady clock by which validity is measured; nil: the process's monotonic clock, which stands still
	// while a machine is suspended.
	Clock func() time.Duration
}

// New returns a lease that is not held. The time to live should be several seconds: the lease is lost when the
// key-value service does not answer for 0.9 of it.
func New(store kv.Store, prefix, holder string, ttl time.Duration) *Lease {
	return NewWith(store, prefix, holder, ttl, Options{})
}

// NewWith is New with options.
func NewWith(store kv.Store, prefix, holder string, ttl time.Duration, opts Options) *Lease {
	if opts.Wait == 0 {
		opts.Wait = waitTime
	}
	if opts.Clock == nil {
		start := time.Now()
		opts.Clock = func() time.Duration { return time.Since(start) }
	}
	return &Lease{store: store, prefix: prefix, holder: holder, ttl: ttl, opts: opts}
}

// Held returns the epoch of the term and whether the lease is certainly still valid at this instant. A lease that
// ran out stays lost until the next Campaign, also if a renewal that was under way succeeds.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return 0, false
	}
	if l.opts.Clock() >= l.term.until {
		l.end(l.term)
		return 0, false
	}
	return l.term.epoch, true
}

// Campaign waits until the lease is acquired, and renews it in the background until it is lost or resigned. The
// returned channel is closed at the end of the term.
func (l *Lease) Campaign(ctx context.Context) (ended <-chan struct{}, err error) {
	l.mu.Lock()
	busy := l.campaigning || l.term != nil && l.opts.Clock() < l.term.until
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
		if err := pause(ctx, retryDelay); err != nil {
			return nil, err
		}
	}
}

// Resign ends the term. Held is false from the start of the call. An error means that others have to wait for the
// lease to expire.
func (l *Lease) Resign(ctx context.Context) error {
	l.mu.Lock()
	t := l.term
	if t != nil {
		l.end(t)
	}
	l.mu.Unlock()
	if t == nil {
		return nil
	}
	return l.revoke(ctx, t.id)
}

// end ends a term; mu is held.
func (l *Lease) end(t *term) {
	if l.term == t {
		l.term = nil
		t.stop()
		close(t.done)
	}
}

// acquire makes one attempt.
func (l *Lease) acquire(ctx context.Context) (*term, error) {
	if err := l.waitFree(ctx); err != nil {
		return nil, err
	}
	var id kv.LeaseID
	sent := l.opts.Clock()
	err := l.call(ctx, func(ctx context.Context) (err error) {
		id, err = l.store.Grant(ctx, l.ttl)
		return err
	})
	if err != nil {
		return nil, err
	}
	until := l.validUntil(sent)
	epoch, err := l.take(ctx, id, until)
	if err != nil {
		// A write whose answer was lost is undone by the end of its lease.
		_ = l.revoke(context.WithoutCancel(ctx), id)
		return nil, err
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	t := &term{epoch: epoch, id: id, until: until, done: make(chan struct{}), stop: stop}
	l.mu.Lock()
	if l.term != nil { // ran out, and Held was not called since
		l.end(l.term)
	}
	l.term = t
	l.mu.Unlock()
	go l.renew(renewing, t)
	return t, nil
}

// take writes the lease key and raises the epoch.
func (l *Lease) take(ctx context.Context, id kv.LeaseID, until time.Duration) (int64, error) {
	value := []byte(l.holder + " " + uuid.NewString())
	err := l.call(ctx, func(ctx context.Context) error {
		_, err := l.store.Put(ctx, l.prefix+"/lease", value, 0, id)
		return err
	})
	if err != nil {
		return 0, err
	}
	for l.opts.Clock() < until {
		epoch, err := l.raise(ctx)
		if err == nil && l.opts.Clock() < until {
			return epoch, nil
		}
		if err := pause(ctx, retryDelay); err != nil {
			return 0, err
		}
	}
	return 0, errExpired
}

// raise raises the epoch by one. After an unknown outcome it is called again, and the epoch is skipped. The CAS of
// a candidate that was paused meanwhile fails, because the next holder has raised the epoch.
func (l *Lease) raise(ctx context.Context) (int64, error) {
	key := l.prefix + "/epoch"
	var old kv.Entry
	err := l.call(ctx, func(ctx context.Context) (err error) {
		old, err = l.store.Get(ctx, key)
		return err
	})
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return 0, err
	}
	var epoch int64
	if old.Version != 0 {
		if epoch, err = strconv.ParseInt(string(old.Value), 10, 64); err != nil {
			return 0, eris.Wrapf(err, "lease: %s is damaged; write a number above all epochs used", key)
		}
	}
	epoch++
	return epoch, l.call(ctx, func(ctx context.Context) error {
		_, err := l.store.Put(ctx, key, strconv.AppendInt(nil, epoch, 10), old.Version, 0)
		return err
	})
}

// waitFree waits until nobody holds the lease.
func (l *Lease) waitFree(ctx context.Context) error {
	after := unknownVersion // the first call returns at once
	for {
		var e kv.Entry
		err := l.callWithin(ctx, l.opts.Wait+callTimeout, func(ctx context.Context) (err error) {
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

// renew renews the lease until the term ends.
func (l *Lease) renew(ctx context.Context, t *term) {
	delay := l.ttl / renewals
	for pause(ctx, delay) == nil {
		sent := l.opts.Clock()
		err := l.call(ctx, func(ctx context.Context) error { return l.store.KeepAlive(ctx, t.id) })
		l.mu.Lock()
		switch {
		case errors.Is(err, kv.ErrLeaseLost) || l.opts.Clock() >= t.until:
			l.end(t)
		case err == nil:
			t.until, delay = l.validUntil(sent), l.ttl/renewals
		default:
			delay = retryDelay
		}
		l.mu.Unlock()
	}
}

// validUntil is the end of validity of a lease granted or renewed by a call sent at the instant sent.
func (l *Lease) validUntil(sent time.Duration) time.Duration {
	if l.countFromAnswer {
		sent = l.opts.Clock()
	}
	return sent + l.ttl - l.ttl/margin
}

func (l *Lease) revoke(ctx context.Context, id kv.LeaseID) error {
	return l.call(ctx, func(ctx context.Context) error {
		if err := l.store.Revoke(ctx, id); !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		return nil
	})
}

func (l *Lease) call(ctx context.Context, fn func(ctx context.Context) error) error {
	return l.callWithin(ctx, callTimeout, fn)
}

func (l *Lease) callWithin(ctx context.Context, limit time.Duration, fn func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return fn(ctx)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
