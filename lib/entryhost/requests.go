package entryhost

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// Kinds of names under which requests are stored: refused, or lost in so many crashes.
const (
	namePrefixRefused = "refused."
	namePrefixLost    = "lost." // followed by the number, a dot and the key
)

// requestRole is this host's part in refusing requests that crash targets.
type requestRole struct {
	*storedNames
	detector *quarantine.Requests
	log      *slog.Logger
	announce func() // has partial states sent at once

	unannounced unannounced[quarantine.RequestKey] // requests refused, released or claimed

	mu      sync.Mutex
	storing int // guarded by mu; the most crashes of a suspicion that was written at once
}

func newRequestRole(host string, store kv.Store, announce func(), log *slog.Logger, set *metrics.Set) *requestRole {
	q := &requestRole{
		detector: quarantine.NewRequests(), log: log, announce: announce,
	}
	q.storedNames = newStoredNames(host, storewatch.RequestsPrefix, store, log, q.names)
	q.removesUnwanted = true
	set.NewGauge("cuminhook_quarantined_requests", func() float64 { return float64(len(q.detector.Refused(time.Now()))) })
	return q
}

// names returns what the store is to have.
func (q *requestRole) names() (out []string) {
	for _, k := range q.detector.Refused(time.Now()) {
		out = append(out, namePrefixRefused+k.String())
	}
	for _, v := range q.detector.Suspicions() {
		out = append(out, fmt.Sprint(namePrefixLost, v.Crashes, ".", v.Key))
	}
	return out
}

// report judges the suspected requests and returns what other hosts need to know; see quarantineRole.report.
func (q *requestRole) report(now time.Time, spread time.Duration) quarantine.RequestReport {
	for _, v := range q.detector.Judge(now, 2*spread) {
		q.log.Warn("request quarantined", "request_key", v.Key.String(), "crashes", v.Crashes, "source", "crashes")
		q.spread(v.Key)
		q.writeNow()
	}
	q.spreadReleased()
	q.storeSuspicions()
	return q.detector.Report(now)
}

// storeSuspicions has suspicions written as soon as one of them has more crashes than any before: all hosts may be killed before it is
// judged.
func (q *requestRole) storeSuspicions() {
	most := 0
	if s := q.detector.Suspicions(); len(s) > 0 {
		most = s[0].Crashes
	}
	q.mu.Lock()
	more := most > q.storing
	q.storing = most
	q.mu.Unlock()
	if more {
		q.writeNow()
	}
}

// spreadReleased has requests announced that the detector has released.
func (q *requestRole) spreadReleased() {
	for _, k := range q.detector.Released() {
		q.log.Warn("request released", "request_key", k.String(), "reason", "a target has run it to the end")
		q.spread(k)
		q.writeNow()
	}
}

// spread has a request announced that is newly refused, released or claimed by this host.
func (q *requestRole) spread(k quarantine.RequestKey) {
	q.unannounced.add([]quarantine.RequestKey{k}, storewatch.ToMesh, storewatch.ToLeaves)
	q.announce()
}

// news returns what to announce to an audience, which is taken for announced then.
func (q *requestRole) news(to storewatch.Audience, now time.Time) quarantine.RequestReport {
	keys := q.unannounced.take(to)
	if len(keys) == 0 {
		return quarantine.RequestReport{}
	}
	return q.detector.ReportNews(keys, now)
}

// merge applies the report in a state of another host.
func (q *requestRole) merge(s *peers.State, now time.Time) {
	for _, k := range q.detector.Merge(s.Requests, now) {
		q.log.Warn("request quarantined", "request_key", k.String(), "source", s.Host)
		q.spread(k)
	}
	q.spreadReleased()
}

// restore applies names that the store holds. Others than those that hosts write are ignored.
func (q *requestRole) restore(names []string) {
	now := time.Now()
	for _, name := range q.setStored(names) {
		if text, ok := strings.CutPrefix(name, namePrefixRefused); ok {
			if k, ok := quarantine.ParseRequestKey(text); ok {
				q.log.Info("request quarantined", "request_key", text, "source", "store")
				q.detector.Restore([]quarantine.RequestKey{k}, now)
			}
		} else if text, ok := strings.CutPrefix(name, namePrefixLost); ok {
			number, text, _ := strings.Cut(text, ".")
			n, err := strconv.Atoi(number)
			if k, ok := quarantine.ParseRequestKey(text); ok && err == nil {
				q.detector.RestoreSuspicion(k, n, now)
			}
		}
	}
	q.spreadReleased()
}
