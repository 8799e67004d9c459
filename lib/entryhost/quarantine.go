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

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/storewatch"
)

const (
	// quarantineKeyTTL is how long the store keeps a segment in quarantine. It ends before the hosts' own period, so that a
	// full read does not extend that.
	quarantineKeyTTL = quarantine.Period - 10*time.Second
	// persistInterval is the mean time between two looks for segments that the store lacks. It is random, so that one of the
	// hosts writes a segment and the others see that.
	persistInterval = time.Second
	// maxPersistInterval is that time after a failed call.
	maxPersistInterval = 5 * time.Second
	// persistTimeout bounds the calls of the store for one segment.
	persistTimeout = time.Second
)

// quarantineRole is this host's part in the quarantine of prompt segments that crash targets.
type quarantineRole struct {
	host     string
	detector *quarantine.Detector
	store    kv.Store
	log      *slog.Logger

	announce   func()        // has partial states sent at once
	persistNow chan struct{} // ends the wait of persist

	mu          sync.Mutex
	stored      map[string]bool                         // guarded by mu; segments that the store has
	unannounced map[storewatch.Audience]map[string]bool // guarded by mu; segments put into quarantine or released, unknown to the audience
	released    map[string]bool                         // guarded by mu; segments to delete from the store
}

func newQuarantineRole(host string, store kv.Store, announce func(), log *slog.Logger, set *metrics.Set) *quarantineRole {
	q := &quarantineRole{
		host: host, detector: quarantine.New(), store: store, log: log, announce: announce, persistNow: make(chan struct{}, 1),
		stored: map[string]bool{}, released: map[string]bool{},
		unannounced: map[storewatch.Audience]map[string]bool{storewatch.ToMesh: {}, storewatch.ToLeaves: {}},
	}
	set.NewGauge("cuminhook_quarantined_segments", func() float64 { return float64(len(q.detector.Quarantined(time.Now()))) })
	return q
}

// report judges the suspected segments and returns what other hosts need to know. spread is the time in which a state reaches
// all hosts; that an answer has begun is known within twice that time, should one state be lost.
func (q *quarantineRole) report(now time.Time, spread time.Duration) quarantine.Report {
	for _, v := range q.detector.Judge(now, 2*spread) {
		q.log.Warn("segment quarantined", "segment", v.Segment, "crashes", v.Crashes, "source", "crashes")
		q.spread(v.Segment)
		select {
		case q.persistNow <- struct{}{}:
		default:
		}
	}
	q.spreadReleased()
	return q.detector.Report(now)
}

// spreadReleased has segments announced that the detector has released.
func (q *quarantineRole) spreadReleased() {
	for _, segment := range q.detector.Released() {
		q.log.Warn("segment released", "segment", segment, "reason", "an answer on it has begun")
		q.mu.Lock()
		q.released[segment] = true
		delete(q.stored, segment)
		q.mu.Unlock()
		q.spread(segment)
	}
}

// spread has a segment announced that is new in quarantine: each state on the way to a host would take an interval otherwise,
// while requests crash targets.
func (q *quarantineRole) spread(segment string) {
	q.mu.Lock()
	for _, segments := range q.unannounced {
		segments[segment] = true
	}
	q.mu.Unlock()
	q.announce()
}

// news returns what to announce to an audience, which is taken for announced then.
func (q *quarantineRole) news(to storewatch.Audience, now time.Time) quarantine.Report {
	q.mu.Lock()
	segments := q.unannounced[to]
	q.unannounced[to] = map[string]bool{}
	q.mu.Unlock()
	if len(segments) == 0 {
		return quarantine.Report{}
	}
	return q.detector.ReportQuarantined(segments, now)
}

// merge applies the report in a state of another host.
func (q *quarantineRole) merge(s *peers.State, now time.Time) {
	for _, segment := range q.detector.Merge(s.Quarantine, now) {
		q.log.Warn("segment quarantined", "segment", segment, "source", s.Host)
		q.spread(segment)
	}
	q.spreadReleased()
}

// restore applies segments that the store holds.
func (q *quarantineRole) restore(segments []string) {
	q.mu.Lock()
	for _, segment := range segments {
		if !q.stored[segment] {
			q.log.Info("segment quarantined", "segment", segment, "source", "store")
		}
		q.stored[segment] = true
	}
	q.mu.Unlock()
	q.detector.Restore(segments, time.Now())
	q.spreadReleased()
}

// persist writes segments in quarantine into the store until ctx ends, so that they stay there when all hosts restart. A host
// that has found one does it at once, and those that poll the store do it for the fleet.
func (q *quarantineRole) persist(ctx context.Context, poller func() bool) {
	for wait := persistInterval; ; {
		found := q.waitFound(ctx, wait/2+rand.N(wait))
		if ctx.Err() != nil {
			return
		}
		segments := q.detector.Quarantined(time.Now())
		q.forgetStored(segments)
		released := q.takeReleased()
		if !found && !poller() {
			continue
		}
		wait = persistInterval
		for _, segment := range released {
			if err := q.remove(ctx, segment); err != nil {
				q.log.Warn("released segment not removed from the store; it will expire", "segment", segment, "error", err.Error())
			}
		}
		for _, segment := range segments {
			if q.isStored(segment) {
				continue
			}
			if err := q.write(ctx, segment); err != nil {
				q.log.Warn("quarantine not stored", "segment", segment, "error", err.Error())
				wait = maxPersistInterval
				break
			}
			q.mu.Lock()
			q.stored[segment] = true
			q.mu.Unlock()
		}
	}
}

// waitFound waits until this host finds a segment, which it reports, the time is over or ctx ends.
func (q *quarantineRole) waitFound(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.persistNow:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (q *quarantineRole) isStored(segment string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stored[segment]
}

// forgetStored forgets segments that are no longer in quarantine.
func (q *quarantineRole) forgetStored(quarantined []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for segment := range q.stored {
		if !slices.Contains(quarantined, segment) {
			delete(q.stored, segment)
		}
	}
}

// takeReleased returns the segments that were released since the last call.
func (q *quarantineRole) takeReleased() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := slices.Collect(maps.Keys(q.released))
	clear(q.released)
	return out
}

// remove deletes one segment from the store.
func (q *quarantineRole) remove(ctx context.Context, segment string) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	e, err := q.store.Get(ctx, storewatch.QuarantinePrefix+segment)
	if err == nil {
		err = q.store.Delete(ctx, e.Key, e.Version)
	}
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
		err = nil
	}
	return err
}

// forgetAllStored has all segments in quarantine written again, for a store that may have lost them.
func (q *quarantineRole) forgetAllStored() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.stored)
}

// write writes one segment, with the name of this host, unless another host has.
func (q *quarantineRole) write(ctx context.Context, segment string) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	key := storewatch.QuarantinePrefix + segment
	if _, err := q.store.Get(ctx, key); !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	lease, err := q.store.Grant(ctx, quarantineKeyTTL)
	if err != nil {
		return err
	}
	if _, err = q.store.Put(ctx, key, []byte(q.host), 0, lease); errors.Is(err, kv.ErrConflict) {
		return q.store.Revoke(ctx, lease)
	}
	return err
}
