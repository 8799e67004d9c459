package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRequestChance is the probability from which on a request is refused: that of so many crashes if it were sound. It is reached by
	// three crashes with minRunChance each.
	maxRequestChance = 1.0001e-6
	// minRunChance is the least chance assumed for a run of a sound request to end in a crash.
	minRunChance = 0.01
	// minParallelChance is that chance for a run that was sent before the last crash, or ended within crashesTogether of it: targets may
	// crash one shortly after the other. Three such runs after one crash reach maxRequestChance.
	minParallelChance = 0.04
	crashesTogether   = 50 * time.Millisecond
	// minSharedCrashes is the number of crashes from which on a request is refused although another one was at all of them: a caller
	// sends the two together. One that merely waited there has no tries left by then.
	minSharedCrashes = 5
	// crashesNearby and crashesRecent are the times in which crashes without a request tell how often targets crash: around a crash, and
	// before it.
	crashesNearby = time.Second
	crashesRecent = 30 * time.Second
	// crashesAtOnce is the time in which several crashes count as one event: a rack or a zone is lost.
	crashesAtOnce = 20 * time.Millisecond
	// maxOtherCauses is the number of other requests that may explain crashes while they are only suspected.
	maxOtherCauses = 3
	// priorCrashes is the number of crashes that count before any was seen: little is known of targets that have just started.
	priorCrashes = 0.3
	// minLiveSeconds is the least time, summed over targets, for which targets of a service are taken to have been live.
	minLiveSeconds = 0.1
	// A run that a crash ended would have gone on: its time at risk is at least that of usual runs of the service.
	// runTimeDivisor weighs a run in the mean time of runs. runTimeFactor times the mean is the time that a run is taken to last.
	runTimeDivisor = 32
	runTimeFactor  = 2
	// clockSlack allows for the way of a report between two hosts when the times of two crashes are compared.
	clockSlack = 10 * time.Millisecond
)

// liveTargets is the number of targets of a service that were not known to have crashed, from a time on.
type liveTargets struct {
	from time.Time
	n    int
}

// SetTargets sets the incarnations of the targets of each service.
func (d *Requests) SetTargets(byService map[string][]string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = byService
	d.countLive(now)
}

// countLive records the numbers of live targets. The caller holds mu.
func (d *Requests) countLive(now time.Time) {
	for service, targets := range d.targets {
		n := 0
		for _, id := range targets {
			if d.crashes[id] == nil {
				n++
			}
		}
		samples := d.live[service]
		if len(samples) == 0 || samples[len(samples)-1].n != n {
			samples = append(samples, liveTargets{now, n})
		}
		for len(samples) > 1 && (now.Sub(samples[1].from) > crashesRecent || len(samples) > maxLiveSamples) {
			samples = samples[1:]
		}
		d.live[service] = samples
	}
}

// liveSeconds returns for how long targets of the service were live in a span of time, summed over the targets. The caller holds mu.
func (d *Requests) liveSeconds(service string, from, to time.Time) (sum float64) {
	samples := d.live[service]
	for i, s := range samples {
		begin, end := s.from, to
		if i+1 < len(samples) {
			end = samples[i+1].from
		}
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		if end.After(begin) {
			sum += float64(s.n) * end.Sub(begin).Seconds()
		}
	}
	return sum
}

// RequestVerdict is a request that is refused from now on.
type RequestVerdict struct {
	Key     RequestKey
	Crashes int
}

// Judge convicts the requests against which there is enough evidence, and returns them. settle is the time in which hosts report what
// they know: of a survival, and of what else was lost in the same crashes.
func (d *Requests) Judge(now time.Time, settle time.Duration) (out []RequestVerdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.countLive(now)
	d.settle = settle
	d.expireTrials(now)
	for again := true; again; {
		again = false
		for k, s := range d.suspects {
			if k.isSegment() || d.total(s) < minCrashes || !d.provesCrash(k, s, now.Add(-settle)) || d.rivalled(k, s) {
				continue
			}
			out = append(out, RequestVerdict{k, d.total(s)})
			d.convict(k, now, d.firstCrash(s))
			again = true
			break
		}
	}
	return out
}

// total returns the number of crashes known of a suspect. The caller holds mu.
func (d *Requests) total(s *lostRequest) int {
	before := 0
	for id := range s.crashes {
		if !d.crashes[id].at.After(s.earlierAt) {
			before++
		}
	}
	return max(before, s.earlier) + len(s.crashes) - before
}

func (d *Requests) firstCrash(s *lostRequest) (first time.Time) {
	for id := range s.crashes {
		if at := d.crashes[id].at; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// provesCrash reports whether the crashes known by a time are too many for a sound request. The caller holds mu.
func (d *Requests) provesCrash(k RequestKey, s *lostRequest, knownBy time.Time) bool {
	type run struct {
		*fleetCrash
		sentAt time.Time
	}
	var runs []run
	service := ""
	addrs := map[string]bool{}
	for id := range s.crashes {
		if c := d.crashes[id]; !c.knownAt.After(knownBy) {
			runs = append(runs, run{c, c.lost[k]})
			addrs[c.addr] = true
			service = c.service
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	if _, ok := d.runTime[service]; !ok {
		return false // nothing shows that the targets run anything to the end
	}
	others := d.otherCrashes(s, service)
	chance := 1.0
	var last time.Time
	for _, r := range runs {
		least := minParallelChance
		switch {
		case last.IsZero() || r.sentAt.Add(clockSlack).After(last) && r.at.Sub(last) >= crashesTogether:
			least, last = minRunChance, r.at
		case !s.survivedAt.IsZero():
			continue // a request that comes often is at several targets when they crash together
		}
		atRisk := max(r.at.Sub(r.sentAt), runTimeFactor*d.runTime[service]) // it would have run on without the crash
		chance *= max(least, d.chanceOfCrash(others, service, r.at, atRisk))
	}
	known := len(runs)
	for range d.total(s) - len(s.crashes) { // of which only the number is known
		chance *= minRunChance
		known++
	}
	if len(addrs) < 2 && d.addresses(service) > 1 && s.earlier == 0 && known < minCrashesOfOne {
		return false
	}
	return chance <= maxRequestChance
}

// addresses returns a number of targets of the service, of those that are known and those that have crashed. The caller holds mu.
func (d *Requests) addresses(service string) int {
	addrs := map[string]bool{}
	for _, c := range d.crashes {
		if c.service == service {
			addrs[c.addr] = true
		}
	}
	return max(len(addrs), len(d.targets[service]))
}

// otherCrashes returns the crashes of the service that neither the suspect nor a convicted request explains, and without those at which
// one of a few other suspects was that was at several of them. The caller holds mu.
func (d *Requests) otherCrashes(s *lostRequest, service string) (out []*fleetCrash) {
	for id, c := range d.crashes {
		if c.service == service && !s.crashes[id] && !d.explained(c) {
			out = append(out, c)
		}
	}
	for range maxOtherCauses {
		count, most := map[RequestKey]int{}, RequestKey{}
		for _, c := range out {
			for k := range c.lost {
				if d.suspects[k] == nil || k.isSegment() {
					continue
				}
				if count[k]++; count[k] > count[most] || count[k] == count[most] && slices.Compare(k[:], most[:]) < 0 {
					most = k
				}
			}
		}
		if count[most] < minCrashes {
			break
		}
		out = slices.DeleteFunc(out, func(c *fleetCrash) bool { _, ok := c.lost[most]; return ok })
	}
	slices.SortFunc(out, func(a, b *fleetCrash) int { return a.at.Compare(b.at) })
	return out
}

// chanceOfCrash returns the chance that a run which was at risk for a time ended in a crash at the given time, if the crashes that nothing
// explains tell how often targets of the service crash. Those that crash at once count once. The caller holds mu.
func (d *Requests) chanceOfCrash(others []*fleetCrash, service string, at time.Time, atRisk time.Duration) float64 {
	nearby, recent, together := 0, 0, 0
	var last time.Time
	for _, c := range others {
		age := at.Sub(c.at)
		if age.Abs() <= crashesAtOnce {
			together++
		}
		if c.at.Sub(last) <= crashesAtOnce {
			continue
		}
		last = c.at
		if age.Abs() <= crashesNearby {
			nearby++
			recent++
		} else if age > 0 && age <= crashesRecent {
			recent++
		}
	}
	rate := func(crashes float64, from, to time.Time) float64 {
		return crashes / max(d.liveSeconds(service, from, to), minLiveSeconds)
	}
	hazard := max(
		rate(float64(nearby), at.Add(-crashesNearby), at.Add(crashesNearby)),
		rate(float64(recent)+priorCrashes, at.Add(-crashesRecent), at))
	chance := hazard * atRisk.Seconds()
	if together > 0 {
		chance = max(chance, float64(together+1)/float64(d.addresses(service)))
	}
	return min(1, chance)
}

// explained reports whether a convicted request was lost in the crash. The caller holds mu.
func (d *Requests) explained(c *fleetCrash) bool {
	if len(d.convicted) == 0 {
		return false
	}
	for k := range c.lost {
		if d.convicted[k] != nil {
			return true
		}
	}
	return false
}

// rivalled reports whether another request, or a segment of others, was at all crashes of the suspect, so that nothing tells which of the
// two crashes targets. The caller holds mu.
func (d *Requests) rivalled(k RequestKey, s *lostRequest) bool {
	if len(s.crashes) >= minSharedCrashes {
		return false
	}
	for rival, r := range d.suspects {
		if rival == k || slices.Contains(s.segments, rival) || len(r.crashes) < len(s.crashes) || d.total(r) < d.total(s) {
			continue
		}
		all := true
		for id := range s.crashes {
			if !r.crashes[id] {
				all = false
				break
			}
		}
		if all {
			return true
		}
	}
	return false
}
