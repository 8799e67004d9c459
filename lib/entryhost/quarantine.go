package entryhost

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/sleep"
	"cuminhook.org/cuminhook/lib/storewatch"
)

const (
	// quarantineKeyTTL is how long the store keeps a segment in quarantine. It ends before the hosts' own period, so that a
	// full read does not extend that.
	quarantineKeyTTL = quarantine.Period - 10*time.Second
	// persistInterval is the mean time between two looks for segments that the store lacks. It is random, so that one of the
	// hosts that find a segment together writes it and the others see that.
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

	mu     sync.Mutex
	stored map[string]bool // guarded by mu; segments that the store has
}

func newQuarantineRole(host string, store kv.Store, log *slog.Logger, set *metrics.Set) *quarantineRole {
	q := &quarantineRole{host: host, detector: quarantine.New(), store: store, log: log, stored: map[string]bool{}}
	set.NewGauge("cuminhook_quarantined_segments", func() float64 { return float64(len(q.detector.Quarantined(time.Now()))) })
	return q
}

// report judges the suspected segments and returns what other hosts need to know. spread is the time in which a state reaches
// all hosts; that an answer has begun is known within twice that time, should one state be lost.
func (q *quarantineRole) report(now time.Time, spread time.Duration) quarantine.Report {
	for _, v := range q.detector.Judge(now, 2*spread) {
		q.log.Warn("segment quarantined", "segment", v.Segment, "crashes", v.Crashes, "source", "crashes")
	}
	return q.detector.Report(now)
}

// merge applies the report in a state of another host.
func (q *quarantineRole) merge(s *peers.State, now time.Time) {
	for _, segment := range q.detector.Merge(s.Quarantine, now) {
		q.log.Warn("segment quarantined", "segment", segment, "source", s.Host)
	}
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
}

// persist writes segments in quarantine into the store until ctx ends, so that they stay there when all hosts restart. Hosts
// that poll the store do it for the fleet.
func (q *quarantineRole) persist(ctx context.Context, poller func() bool) {
	for wait := persistInterval; sleep.For(ctx, wait/2+rand.N(wait)); {
		segments := q.detector.Quarantined(time.Now())
		q.forgetStored(segments)
		if !poller() {
			continue
		}
		wait = persistInterval
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
