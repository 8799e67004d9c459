// Package pathwatch tells whether this host has lost its path to the targets, so that it does not take them for dead. It answers partitions
// between hosts and targets, in which links hang, are reset, or live on while new ones fail.
//
// Failed connections and silence only raise a suspicion. The host then opens connections to some targets: if none is accepted while other hosts
// reach targets, the host is cut off.
package pathwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two looks at what arrived.
	checkInterval = 100 * time.Millisecond
	// maxQuiet is the time in which nothing arrives from any target, though requests wait, that raises a suspicion. Targets that work on many
	// requests send something all the time.
	maxQuiet = 500 * time.Millisecond
	// suspiciousTargets is the number of targets that failed to accept a connection in a row which raises a suspicion.
	suspiciousTargets = 3
	// probeTimeout bounds a probe. Targets are a few milliseconds away, and a lost packet is sent again after a second.
	probeTimeout = 250 * time.Millisecond
	// clearInterval is the time after a probe that succeeded in which nothing raises a suspicion.
	clearInterval = time.Second
	// firstProbes and moreProbes are the numbers of targets that are probed: first a few, and all that are asked if none of these accepts.
	// A service may have lost most of its targets.
	firstProbes = 2
	moreProbes  = 14
	// cutProbes is the number of targets that a host that is cut off probes each cutInterval.
	cutProbes   = 3
	cutInterval = 250 * time.Millisecond
	// returnTime is the mean time in which a host that is no longer cut off sends more and more requests itself: many hosts may return at once,
	// whose connections all have to be opened.
	returnTime = time.Second
)

// Config are the settings and dependencies of a Watch.
type Config struct {
	// Dial opens a connection to a target and closes it.
	Dial func(ctx context.Context, addr string) error
	// Addrs returns the addresses of the targets.
	Addrs func() []string
	// OthersReach reports whether other hosts reach targets, as far as this host knows.
	OthersReach func() bool
	// OnReturn is called when the host is no longer cut off.
	OnReturn func()
	Log      *slog.Logger
}

// Watch watches the path from this host to the targets. It is safe for concurrent use.
type Watch struct {
	cfg     Config
	waiting atomic.Int64 // requests that wait for bytes of a target
	quiet   atomic.Int64 // since when nothing arrived while requests wait, in nanoseconds since started
	started time.Time
	wake    chan struct{}

	mu         sync.Mutex
	failed     map[string]bool // guarded by mu; targets that accepted no connection since one did
	accepted   time.Time       // guarded by mu; when a target accepted a connection
	cut        bool            // guarded by mu; no target accepts a connection
	doubtUntil time.Time       // guarded by mu; until when failures may be this host's
	returned   time.Time       // guarded by mu; when the host was no longer cut off
	returnTime time.Duration   // guarded by mu
}

// New returns a watch of a host that has a path.
func New(cfg Config) *Watch {
	return &Watch{cfg: cfg, started: time.Now(), wake: make(chan struct{}, 1), failed: map[string]bool{}}
}

// Wait records that a request waits for bytes of a target. The caller calls the function that it returns when the wait ends.
func (w *Watch) Wait() (done func(arrived bool)) {
	if w.waiting.Add(1) == 1 {
		w.quiet.Store(int64(time.Since(w.started)))
	}
	return func(arrived bool) {
		if arrived {
			w.quiet.Store(int64(time.Since(w.started)))
		}
		w.waiting.Add(-1)
	}
}

// Dialled records whether a target accepted a connection.
func (w *Watch) Dialled(addr string, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if accepted {
		w.accepted = time.Now()
		clear(w.failed)
		return
	}
	w.failed[addr] = true
	if w.isSuspicious() {
		w.doubt(time.Now())
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// isSuspicious reports whether failed connections raise a suspicion. The caller holds mu.
func (w *Watch) isSuspicious() bool { return len(w.failed) >= suspiciousTargets }

// doubt has failures count for nothing for the time in which a suspicion is checked. The caller holds mu.
func (w *Watch) doubt(now time.Time) { w.doubtUntil = now.Add(2*probeTimeout + clearInterval) }

// Cut reports whether this host is cut off from the targets while others reach them.
func (w *Watch) Cut() bool { return w.NoPath() && w.cfg.OthersReach() }

// Pass reports whether a request is better sent by another host. After a cut that holds for fewer and fewer requests.
func (w *Watch) Pass() bool {
	w.mu.Lock()
	cut, returned, within := w.cut, w.returned, w.returnTime
	w.mu.Unlock()
	if cut {
		return w.cfg.OthersReach()
	}
	return !returned.IsZero() && time.Since(returned).Seconds() < rand.Float64()*within.Seconds()
}

// NoPath reports whether no target accepts a connection of this host.
func (w *Watch) NoPath() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// Doubtful reports whether failures that this host sees may be its own: it is cut off, has been until lately, or suspects it.
func (w *Watch) Doubtful() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut || time.Now().Before(w.doubtUntil)
}

// Reaches reports whether a target other than the one at the address accepts connections of this host. It probes some unless one has just
// accepted a connection.
func (w *Watch) Reaches(ctx context.Context, except string) bool {
	w.mu.Lock()
	recently := time.Since(w.accepted) < checkInterval && !w.cut
	w.mu.Unlock()
	return recently || w.probe(ctx, w.sample(firstProbes+moreProbes, except))
}

// Run checks the path until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var clearUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-ticker.C:
		}
		quiet := w.waiting.Load() > 0 && time.Since(w.started)-time.Duration(w.quiet.Load()) > maxQuiet
		w.mu.Lock()
		suspicious := w.isSuspicious()
		w.mu.Unlock()
		if !quiet && !suspicious || time.Now().Before(clearUntil) {
			continue
		}
		if w.isCut(ctx) {
			w.awaitPath(ctx)
		}
		clearUntil = time.Now().Add(clearInterval)
	}
}

// isCut reports whether no target accepts a connection.
func (w *Watch) isCut(ctx context.Context) bool {
	w.mu.Lock()
	w.doubt(time.Now())
	w.mu.Unlock()
	addrs := w.sample(firstProbes+moreProbes, "")
	if len(addrs) < 2 || w.probe(ctx, addrs[:firstProbes]) || w.probe(ctx, addrs[firstProbes:]) || ctx.Err() != nil {
		return false
	}
	w.mu.Lock()
	w.cut = true
	w.mu.Unlock()
	w.cfg.Log.Warn("no path to targets", "probed", len(addrs), "others_reach", w.cfg.OthersReach())
	return true
}

// awaitPath probes until a target accepts a connection.
func (w *Watch) awaitPath(ctx context.Context) {
	for {
		began := time.Now()
		if w.probe(ctx, w.sample(cutProbes, "")) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(cutInterval - min(cutInterval, time.Since(began))):
		}
	}
	now := time.Now()
	w.mu.Lock()
	w.cut, w.returned, w.returnTime = false, now, time.Duration((0.5+rand.Float64())*float64(returnTime))
	w.doubt(now)
	clear(w.failed)
	w.mu.Unlock()
	w.cfg.Log.Info("path to targets again")
	w.cfg.OnReturn()
}

// sample returns up to n random addresses of targets.
func (w *Watch) sample(n int, except string) []string {
	addrs := w.cfg.Addrs()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	var out []string
	for _, addr := range addrs {
		if addr != except && len(out) < n {
			out = append(out, addr)
		}
	}
	return out
}

// probe reports whether one of the targets accepts a connection.
func (w *Watch) probe(ctx context.Context, addrs []string) bool {
	if len(addrs) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() { results <- w.cfg.Dial(ctx, addr) == nil }()
	}
	for range addrs {
		if <-results {
			w.mu.Lock()
			w.accepted = time.Now()
			clear(w.failed)
			w.mu.Unlock()
			return true
		}
	}
	return false
}
