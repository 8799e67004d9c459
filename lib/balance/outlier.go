package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// recentTimeConstant is the time constant with which counted requests decay.
	recentTimeConstant = 2 * time.Second
	// outlierCheckInterval is the time between two comparisons of the targets.
	outlierCheckInterval = 100 * time.Millisecond
	// minOutlierFailures is how many recent failures of all hosts together set a target aside. Single lost answers occur at sound
	// targets; going by them cost more than it saved (docs/worth.md). Where 54 of 64 targets lose 3 % of 30 recent answers each, three
	// failures come together by chance at several of them within seconds, and four at hardly any.
	minOutlierFailures = 4.0
	// minReturnFailures is the same for a target that has just been let back.
	minReturnFailures = 1.5
	// minOutlierFraction is the fraction of failed requests below which a target is not set aside. The cost of a failure alone
	// turns requests away from it.
	minOutlierFraction = 0.1
	// outlierRatio is the ratio to the usual fraction of failed requests of the service below which a target is not set aside:
	// what all targets have in common does not become better elsewhere.
	outlierRatio = 3.0
	// minAside is how long a target is set aside first; most faults of a part of the requests last some seconds. The time doubles
	// with each further one up to maxAside.
	minAside = time.Second
	maxAside = 8 * time.Second
	// minProbeFailures is how many recent failures keep a target aside whose time is over.
	minProbeFailures = 0.5
	// probeInterval is the time between two requests, of all hosts together, that probe a target which is set aside.
	probeInterval = 500 * time.Millisecond
	// returnTime is the time over which a target is let back: the part of the requests that may choose it grows from
	// minReturnShare to all.
	returnTime     = 3 * time.Second
	minReturnShare = 0.1
	// minReported is the count below which failures and requests are not reported, so that states stay short.
	minReported = 0.25
	// maxReported is the most targets of which a host reports failures.
	maxReported = 32
)

// Failures counts recent requests at a target, as sums that decay with recentTimeConstant.
type Failures struct {
	Failed float64 `json:"f,omitempty"` // answered with a failure, broken off or not answered
	Total  float64 `json:"n,omitempty"`
}

// Plus returns the sum of the counts and o times sign.
func (f Failures) Plus(o Failures, sign float64) Failures {
	return Failures{max(0, f.Failed+sign*o.Failed), max(0, f.Total+sign*o.Total)}
}

// Rounded returns the counts in tenths, which keeps states short.
func (f Failures) Rounded() Failures {
	return Failures{math.Round(10*f.Failed) / 10, math.Round(10*f.Total) / 10}
}

// decayed returns the counts after the time has passed.
func (f Failures) decayed(by time.Duration) Failures {
	kept := math.Exp(-float64(by) / float64(recentTimeConstant))
	return Failures{f.Failed * kept, f.Total * kept}
}

// fraction returns the fraction of the requests that failed.
func (f Failures) fraction() float64 { return f.Failed / max(f.Total, f.Failed, 1) }

// outliers is what a host knows of targets that fail a part of their requests. It is guarded by the balancer's mutex.
type outliers struct {
	maxFraction float64                        // of the targets of a service that may be set aside; zero: none
	peers       map[string]map[string]Failures // by host and target
	checkedAt   time.Time
}

// aside states until when a target is set aside, and how it is let back.
type aside struct {
	until   time.Time     // zero if the target was never set aside
	length  time.Duration // of the last time
	probeAt time.Time     // when this host may send the next request to the target while it is set aside
	// evidence is the recent requests of all hosts for which it was set aside.
	evidence Failures
}

// active reports whether the target is set aside.
func (a *aside) active(now time.Time) bool { return now.Before(a.until) }

// returning reports whether the target is being let back.
func (a *aside) returning(now time.Time) bool {
	return !a.until.IsZero() && !a.active(now) && now.Before(a.until.Add(returnTime))
}

// SetAside sets the largest fraction of a service's targets that may be set aside because they fail a part of their requests; zero
// turns that off.
func (b *Balancer) SetAside(maxFraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outliers.maxFraction = maxFraction
}

// SetPeerFailures stores the failures of another host by target, as the host last reported them; nil removes the host.
func (b *Balancer) SetPeerFailures(host string, failures map[string]Failures) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(failures) == 0 {
		delete(b.outliers.peers, host)
		return
	}
	if b.outliers.peers == nil {
		b.outliers.peers = map[string]map[string]Failures{}
	}
	b.outliers.peers[host] = failures
}

// LocalFailures returns the failures of this host by target, with the requests of this host to targets of which peers report
// failures. It is empty as long as no targets are set aside by the setting.
func (b *Balancer) LocalFailures(now time.Time) map[string]Failures {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outliers.maxFraction <= 0 {
		return nil
	}
	var ids []string
	for id, t := range b.targets {
		own := t.health.recentNow(now)
		if own.Failed >= minReported || own.Total >= minReported && b.outliers.ofPeers(id).Failed >= 2*minReported {
			ids = append(ids, id)
		}
	}
	failures := func(id string) float64 { return b.targets[id].health.recentNow(now).Failed }
	slices.SortFunc(ids, func(x, y string) int { return cmp.Or(cmp.Compare(failures(y), failures(x)), cmp.Compare(x, y)) })
	out := map[string]Failures{}
	for _, id := range ids[:min(len(ids), maxReported)] {
		out[id] = b.targets[id].health.recentNow(now).Rounded()
	}
	return out
}

// Aside returns the targets that are set aside, with the recent requests of all hosts for which they were.
func (b *Balancer) Aside(now time.Time) map[string]Failures {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Failures{}
	for id, t := range b.targets {
		if t.health.aside.active(now) {
			out[id] = t.health.aside.evidence
		}
	}
	return out
}

// ofPeers returns what the other hosts report of a target.
func (o *outliers) ofPeers(id string) (sum Failures) {
	for _, failures := range o.peers {
		sum = sum.Plus(failures[id], 1)
	}
	return sum
}

// updateOutliers compares the targets of each service, and sets those aside that fail more of their requests than the others. The
// caller holds mu.
func (b *Balancer) updateOutliers(now time.Time) {
	if b.outliers.maxFraction <= 0 || now.Sub(b.outliers.checkedAt) < outlierCheckInterval {
		return
	}
	b.outliers.checkedAt = now
	byService := map[string][]*target{}
	for id, t := range b.targets {
		if t.info.State == registry.Ready {
			t.health.pooled = t.health.recentNow(now).Plus(b.outliers.ofPeers(id), 1)
			byService[t.info.Service] = append(byService[t.info.Service], t)
		}
	}
	for _, list := range byService {
		b.judge(list, now)
	}
}

// judge compares the targets of one service. The caller holds mu.
func (b *Balancer) judge(list []*target, now time.Time) {
	fractions, active := make([]float64, len(list)), 0
	for i, t := range list {
		fractions[i] = t.health.pooled.fraction()
		if t.health.aside.active(now) {
			active++
		}
	}
	slices.Sort(fractions)
	usual := fractions[len(fractions)/2]
	slices.SortFunc(list, func(x, y *target) int {
		return cmp.Or(cmp.Compare(y.health.pooled.Failed, x.health.pooled.Failed), cmp.Compare(x.info.ID, y.info.ID))
	})
	for _, t := range list {
		h := &t.health
		h.excess = 0
		if h.pooled.Failed >= minReturnFailures {
			h.excess = max(0, h.pooled.fraction()-usual)
		}
		if h.aside.active(now) || !h.isOutlier(usual, now) || active >= int(b.outliers.maxFraction*float64(len(list))) {
			continue
		}
		active++
		h.setAside(now, b.random.Float64(), b.hosts)
	}
}

// isOutlier reports whether a target that is not set aside fails more of its requests than usual.
func (h *health) isOutlier(usual float64, now time.Time) bool {
	least := minOutlierFailures
	switch {
	case !h.aside.until.IsZero() && now.Sub(h.aside.until) < outlierCheckInterval: // its time has just ended
		least = minProbeFailures
	case h.aside.returning(now):
		least = minReturnFailures
	}
	return h.pooled.Failed >= least && h.pooled.fraction() >= max(minOutlierFraction, outlierRatio*usual)
}

// setAside sets the target aside. What was counted until now is forgotten, so that only requests from now on count for its return.
// random, between 0 and 1, spreads the probes of the hosts.
func (h *health) setAside(now time.Time, random float64, hosts int) {
	length := minAside
	if !h.aside.until.IsZero() && now.Before(h.aside.until.Add(returnTime+h.aside.length)) {
		length = min(2*h.aside.length, maxAside)
	}
	h.recent = Failures{}
	h.aside = aside{
		until: now.Add(length), length: length, probeAt: now.Add(time.Duration(random * float64(hostProbeInterval(hosts)))), evidence: h.pooled.Rounded(),
	}
}

// hostProbeInterval returns the time between two probes of one host.
func hostProbeInterval(hosts int) time.Duration { return time.Duration(max(1, hosts)) * probeInterval }

// leftOut reports whether a request should choose another target than t, which is set aside or being let back. The caller holds
// mu.
func (b *Balancer) leftOut(t *target, now time.Time) bool {
	if b.outliers.maxFraction <= 0 {
		return false
	}
	switch a := &t.health.aside; {
	case a.active(now):
		return now.Before(a.probeAt)
	case a.returning(now):
		return b.random.Float64() >= max(minReturnShare, float64(now.Sub(a.until))/float64(returnTime))
	default:
		return false
	}
}

// keepHalf lets targets that are set aside be chosen for a request if they are more than half of those that could serve it: a few
// copies would not stand the load of many. Their cost still turns requests away from them.
func keepHalf(byRank *[ranks][]*target) {
	others := len(byRank[rankUsable]) + len(byRank[rankNonMember])
	if others > 0 && len(byRank[rankSetAside]) > others {
		byRank[rankUsable] = append(byRank[rankUsable], byRank[rankSetAside]...)
		byRank[rankSetAside] = nil
	}
}

// count counts a request that has ended.
func (h *health) count(failed bool, now time.Time) {
	h.recent, h.recentAt = h.recentNow(now), now
	h.recent.Total++
	if failed {
		h.recent.Failed++
	}
}

// recentNow returns the requests counted at this host, decayed until now.
func (h *health) recentNow(now time.Time) Failures { return h.recent.decayed(now.Sub(h.recentAt)) }

// sentTo records that a request was sent to the target.
func (h *health) sentTo(now time.Time, hosts int) {
	if h.aside.active(now) {
		h.aside.probeAt = now.Add(hostProbeInterval(hosts))
	}
}
