package entryhost

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// quarantineRole is this host's part in the quarantine of prompt segments that crash targets.
type quarantineRole struct {
	*storedNames
	detector *quarantine.Detector
	log      *slog.Logger

	announce func() // has partial states sent at once

	unannounced unannounced[string] // segments put into quarantine or released
}

func newQuarantineRole(host string, store kv.Store, announce func(), log *slog.Logger, set *metrics.Set) *quarantineRole {
	q := &quarantineRole{
		detector: quarantine.New(), log: log, announce: announce,
	}
	q.storedNames = newStoredNames(host, storewatch.QuarantinePrefix, store, log, func() []string { return q.detector.Quarantined(time.Now()) })
	set.NewGauge("cuminhook_quarantined_segments", func() float64 { return float64(len(q.detector.Quarantined(time.Now()))) })
	return q
}

// report judges the suspected segments and returns what other hosts need to know. spread is the time in which a state reaches
// all hosts; that an answer has begun is known within twice that time, should one state be lost.
func (q *quarantineRole) report(now time.Time, spread time.Duration) quarantine.Report {
	for _, v := range q.detector.Judge(now, 2*spread) {
		q.log.Warn("segment quarantined", "segment", v.Segment, "crashes", v.Crashes, "source", "crashes")
		q.spread(v.Segment)
		q.writeNow()
	}
	q.spreadReleased()
	return q.detector.Report(now)
}

// spreadReleased has segments announced that the detector has released.
func (q *quarantineRole) spreadReleased() {
	for _, segment := range q.detector.Released() {
		q.log.Warn("segment released", "segment", segment, "reason", "an answer on it has begun")
		q.remove(segment)
		q.spread(segment)
	}
}

// spread has a segment announced that is new in quarantine: each state on the way to a host would take an interval otherwise,
// while requests crash targets.
func (q *quarantineRole) spread(segment string) {
	q.unannounced.add([]string{segment}, storewatch.ToMesh, storewatch.ToLeaves)
	q.announce()
}

// news returns what to announce to an audience, which is taken for announced then.
func (q *quarantineRole) news(to storewatch.Audience, now time.Time) quarantine.Report {
	segments := q.unannounced.take(to)
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
	for _, segment := range q.setStored(segments) {
		q.log.Info("segment quarantined", "segment", segment, "source", "store")
	}
	q.detector.Restore(segments, time.Now())
	q.spreadReleased()
}
