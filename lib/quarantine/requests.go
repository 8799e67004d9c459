package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRequestChance is the probability from which on a request is refused: that of so many crashes if it were sound. It is reached by
	// three crashes with minRunChance each.
	maxRequestChance = 1.0001e-6
	// minRunChance is the least chance assumed for a run of a sound request to end in a crash.
	minRunChance = 0.01
	// minParallelChance is that chance for a run that was sent before the last crash, or ended in crashesTogether of it, as targets may
	// crash together.
	minParallelChance = 0.04
	crashesTogether   = 50 * time.Millisecond
	// minSharedCrashes is the number of crashes from which on a request is refused although another one was at all of them: the two
	// come together.
	minSharedCrashes = 5
	// crashesNearby and crashesRecent are the times in which crashes without a request tell how often targets crash: around a crash, and
	// before it.
	crashesNearby = time.Second
	crashesRecent = 30 * time.Second
	// crashesAtOnce is the time in which several crashes count as one event: a rack or a zone is lost.
	crashesAtOnce = 20 * time.Millisecond
	// maxOtherCauses is the number of other requests that may explain crashes while they are only suspected.
	maxOtherCauses = 3
	// minLiveSeconds is the least time assumed in which targets of a service were live.
	minLiveSeconds = 0.1
	// runTimeDivisor weighs a run in the mean time of runs. runTimeFactor times the mean is the time that a run is taken to last.
	runTimeDivisor = 32
	runTimeFactor  = 2
	// clockSlack allows for the way of a report between two hosts when the times of two crashes are compared.
	clockSlack = 10 * time.Millisecond
	// newsTTL is how long a host reports a crash or a survival that it has learned of. Any of its reports may be lost.
	newsTTL = 1500 * time.Millisecond
	// minStoredCrashes is the number of crashes from which on a suspicion is reported and stored for as long as it lasts, and the
	// request is sent one at a time.
	minStoredCrashes = 2
	// Bounds of what is kept and reported. Reports go to several hosts three times a second.
	maxCrashes         = 256
	maxLostInCrash     = 128
	maxConvicted       = 1024
	maxReportedOfAll   = 24 // crashes
	maxReportedLost    = 16 // runs in one crash
	maxReportedSurvivs = 32
	maxStored          = 64 // suspicions
	maxLiveSamples     = 256
	// survivorSlots bounds the requests whose survival is remembered. It is a power of two.
	survivorSlots = 1 << 12
)

// Requests finds requests that crash each target that runs them, and come again. A request is suspected while each of its runs ended in a
// crash, on whatever host; hosts report crashes with what was lost in them, and judge them alike. It answers what a Detector cannot see:
// a request whose prompt shares nothing with others, or that has no prompt. It is safe for concurrent use.
//
// Crashes for other reasons make a sound request suspect too. It is refused only if so many losses in a row were improbable by how often
// targets crash without it, and if no other request and no segment of a prompt was at the same crashes.
type Requests struct {
	convictions atomic.Int64 // len(convicted)
	guarded     atomic.Bool  // see Guarded
	rank        uint64       // random; orders the claims of hosts

	mu        sync.Mutex
	targets   map[string][]string         // guarded by mu; incarnations, by service
	runTime   map[string]time.Duration    // guarded by mu; moving mean of runs to the end, by service
	live      map[string][]liveTargets    // guarded by mu; by service, oldest first, of the last crashesRecent
	crashes   map[string]*fleetCrash      // guarded by mu; by incarnation of the target
	suspects  map[RequestKey]*lostRequest // guarded by mu
	convicted map[RequestKey]*conviction  // guarded by mu
	survivors [survivorSlots]survivor     // guarded by mu; by the low bits of the key
	survived  map[RequestKey]time.Time    // guarded by mu; suspects that survived, to be reported: when that was known
	trials    map[RequestKey]*trial       // guarded by mu
	settle    time.Duration               // guarded by mu; as Judge got it last
	released  []RequestKey                // guarded by mu; see Released
}

// fleetCrash is a crash of a target that some host has seen.
type fleetCrash struct {
	service, addr string
	at, knownAt   time.Time
	lost          map[RequestKey]time.Time // when the run that was lost was sent
}

// lostRequest is a request all of whose runs since the last survival ended in crashes, or a segment of such requests.
type lostRequest struct {
	crashes    map[string]bool // by incarnation of the target
	segments   []RequestKey    // of the request's prompt; known to the hosts at which it was lost
	survivedAt time.Time
	// earlier is the number of crashes that an earlier start of a host has stored, of those before earlierAt.
	earlier   int
	earlierAt time.Time
}

type conviction struct {
	since      time.Time
	firstCrash time.Time
}

type survivor struct {
	key RequestKey
	at  time.Time
}

// NewRequests returns a detector that suspects nothing.
func NewRequests() *Requests {
	return &Requests{
		targets: map[string][]string{}, live: map[string][]liveTargets{}, runTime: map[string]time.Duration{}, crashes: map[string]*fleetCrash{}, suspects: map[RequestKey]*lostRequest{},
		convicted: map[RequestKey]*conviction{}, survived: map[RequestKey]time.Time{},
		trials: map[RequestKey]*trial{}, rank: rand.Uint64(),
	}
}

// Lost is a run that was at a target when that crashed.
type Lost struct {
	Key      RequestKey
	Segments []string // as in Waiting
	Service  string
	Target   string // id
	Started  int64  // identifies the target's incarnation, as registry.Target.Started does
	Addr     string // IP:port
	SentAt   time.Time
}

// segmentKey returns the key under which a segment is a rival of requests.
func segmentKey(id string) (k RequestKey) {
	copy(k[:8], "\xffsegment")
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	d.Sum(k[:8])
	return k
}

func (k RequestKey) isSegment() bool { return string(k[:8]) == "\xffsegment" }

// liveTargets is the number of targets of a service that were not known to have crashed, from a time on.
type liveTargets struct {
	from time.Time
	n    int
}

// Incarnation returns the name of one start of a target.
func Incarnation(target string, started int64) string {
	w := Waiting{Target: target, Started: started}
	return w.incarnation()
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

// Survived records that a target of the service has run the request, with the segments of its prompt, to the end, and how long it took.
func (d *Requests) Survived(k RequestKey, segments []string, service string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mean, ok := d.runTime[service]; ok {
		took = mean + (took-mean)/runTimeDivisor
	}
	d.runTime[service] = took
	d.survive(k, now, now)
	for _, id := range segments {
		d.survive(segmentKey(id), now, now)
	}
}

// survive records a survival. The caller holds mu.
func (d *Requests) survive(k RequestKey, at, now time.Time) {
	if slot := d.slot(k); slot.key != k || at.After(slot.at) {
		*slot = survivor{k, at}
	}
	if s := d.suspects[k]; s != nil {
		d.clear(k, s, at)
		d.survived[k] = now
	}
	if c := d.convicted[k]; c != nil && at.After(c.firstCrash) {
		delete(d.convicted, k)
		d.convictions.Store(int64(len(d.convicted)))
		d.released = append(d.released, k)
		d.survived[k] = now
	}
}

func (d *Requests) slot(k RequestKey) *survivor {
	return &d.survivors[(uint(k[14])<<8|uint(k[15]))%survivorSlots]
}

// clear drops the crashes before a survival. The caller holds mu.
func (d *Requests) clear(k RequestKey, s *lostRequest, survivedAt time.Time) {
	if !survivedAt.After(s.survivedAt) {
		return
	}
	s.survivedAt = survivedAt
	if survivedAt.After(s.earlierAt) {
		s.earlier = 0
	}
	for id := range s.crashes {
		if c := d.crashes[id]; c == nil || !c.at.After(survivedAt) {
			delete(s.crashes, id)
		}
	}
	if len(s.crashes) == 0 && s.earlier == 0 {
		delete(d.suspects, k)
	}
}

// Crashed records that a target crashed at a time with a run of a request.
func (d *Requests) Crashed(l Lost, at, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := Waiting{Target: l.Target, Started: l.Started}
	id := w.incarnation()
	d.addCrash(id, l.Service, l.Addr, at, now)
	d.lose(id, l.Key, l.SentAt)
	for _, segment := range l.Segments {
		d.lose(id, segmentKey(segment), l.SentAt)
	}
	if s := d.suspects[l.Key]; s != nil && s.segments == nil {
		for _, segment := range l.Segments {
			s.segments = append(s.segments, segmentKey(segment))
		}
	}
}

// addCrash records the crash of an incarnation. Of several reports the earliest time counts, as reports travel for a while. The caller
// holds mu.
func (d *Requests) addCrash(id, service, addr string, at, now time.Time) {
	c := d.crashes[id]
	if c == nil {
		d.makeRoom()
		c = &fleetCrash{service: service, addr: addr, at: at, knownAt: now, lost: map[RequestKey]time.Time{}}
		d.crashes[id] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
}

// makeRoom drops the oldest crash if there are too many. The caller holds mu.
func (d *Requests) makeRoom() {
	if len(d.crashes) < maxCrashes {
		return
	}
	oldest := ""
	for id, c := range d.crashes {
		if oldest == "" || c.at.Before(d.crashes[oldest].at) {
			oldest = id
		}
	}
	d.drop(oldest)
}

// drop forgets a crash. The caller holds mu.
func (d *Requests) drop(id string) {
	d.acquitLost(id)
	delete(d.crashes, id)
}

// lose records that a run was lost in a crash. The caller holds mu.
func (d *Requests) lose(id string, k RequestKey, sentAt time.Time) {
	c := d.crashes[id]
	old, known := c.lost[k]
	switch {
	case known:
		if sentAt.Before(old) {
			c.lost[k] = sentAt
		}
		return
	case len(c.lost) >= maxLostInCrash:
		return
	}
	c.lost[k] = sentAt
	if d.convicted[k] != nil {
		d.acquitLost(id)
	}
	if d.explained(c) {
		return
	}
	survivedAt := time.Time{}
	if slot := d.slot(k); slot.key == k {
		survivedAt = slot.at
		d.survived[k] = c.knownAt // other hosts may not know
	}
	s := d.suspects[k]
	if !c.at.After(survivedAt) || s != nil && !c.at.After(s.survivedAt) {
		return
	}
	if s == nil {
		s = &lostRequest{crashes: map[string]bool{}, survivedAt: survivedAt}
		d.suspects[k] = s
	}
	s.crashes[id] = true
	if len(s.crashes) >= minStoredCrashes && !k.isSegment() {
		d.guarded.Store(true)
	}
}

// Convicted reports whether any request is refused, so that keys need to be worked out.
func (d *Requests) Convicted() bool { return d.convictions.Load() > 0 }

// Blocked returns for how long the request is refused; zero: it is not.
func (d *Requests) Blocked(k RequestKey, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.convicted[k]
	if c == nil {
		return 0
	}
	return max(0, Period-now.Sub(c.since))
}

// Suspected reports whether the request is sent one at a time. It should not be tried again at once: it may be convicted as soon as other
// hosts have reported.
func (d *Requests) Suspected(k RequestKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.suspects[k]
	return s != nil && d.total(s) >= minStoredCrashes
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
	rate := func(crashes int, from, to time.Time) float64 {
		return float64(crashes) / max(d.liveSeconds(service, from, to), minLiveSeconds)
	}
	hazard := max(rate(nearby, at.Add(-crashesNearby), at.Add(crashesNearby)), rate(recent, at.Add(-crashesRecent), at))
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

// convict has the request refused, and drops what its crashes say against others. The caller holds mu.
func (d *Requests) convict(k RequestKey, since, firstCrash time.Time) {
	if c := d.convicted[k]; c != nil {
		if since.Before(c.since) {
			c.since = since
		}
		return
	}
	if len(d.convicted) >= maxConvicted {
		return
	}
	d.convicted[k] = &conviction{since, firstCrash}
	d.convictions.Store(int64(len(d.convicted)))
	delete(d.suspects, k)
	for id, c := range d.crashes {
		if _, ok := c.lost[k]; ok {
			d.acquitLost(id)
		}
	}
}

// acquitLost drops what a crash says against suspects. The caller holds mu.
func (d *Requests) acquitLost(id string) {
	for k := range d.crashes[id].lost {
		if s := d.suspects[k]; s != nil {
			if delete(s.crashes, id); len(s.crashes) == 0 && s.earlier == 0 {
				delete(d.suspects, k)
			}
		}
	}
}

// Released returns the requests whose conviction was found wrong since the last call.
func (d *Requests) Released() []RequestKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.released
	d.released = nil
	return out
}

// Refused returns the requests that are refused, in no particular order.
func (d *Requests) Refused(now time.Time) []RequestKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	return slices.Collect(maps.Keys(d.convicted))
}

// Suspicions returns the number of crashes of each request that is worth storing in case all hosts restart, most first.
func (d *Requests) Suspicions() []RequestVerdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []RequestVerdict
	for k, s := range d.suspects {
		if n := d.total(s); n >= minStoredCrashes && !k.isSegment() {
			out = append(out, RequestVerdict{k, n})
		}
	}
	slices.SortFunc(out, func(a, b RequestVerdict) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), slices.Compare(a.Key[:], b.Key[:]))
	})
	return out[:min(len(out), maxStored)]
}

// Restore has requests refused that another host, or an earlier start of this one, has convicted.
func (d *Requests) Restore(keys []RequestKey, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range keys {
		if slot := d.slot(k); slot.key != k || now.Sub(slot.at) > beganTTL {
			d.convict(k, now, now)
		}
	}
}

// RestoreSuspicion records that the request was lost in crashes of which only the number is known.
func (d *Requests) RestoreSuspicion(k RequestKey, crashes int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slot := d.slot(k); d.convicted[k] != nil || slot.key == k && now.Sub(slot.at) <= beganTTL {
		return
	}
	s := d.suspects[k]
	switch {
	case s == nil:
		s = &lostRequest{crashes: map[string]bool{}}
		d.suspects[k] = s
	case len(s.crashes) > 0:
		return // what peers report is more exact
	}
	if crashes > s.earlier {
		s.earlier, s.earlierAt = crashes, now
	}
	d.guarded.Store(true)
}

// expire drops what is outdated. The caller holds mu.
func (d *Requests) expire(now time.Time) {
	for id, c := range d.crashes {
		if now.Sub(c.at) > Period {
			d.drop(id)
		}
	}
	for k, s := range d.suspects {
		if s.earlier > 0 && now.Sub(s.earlierAt) > formerTTL {
			if s.earlier = 0; len(s.crashes) == 0 {
				delete(d.suspects, k)
			}
		}
	}
	for k, c := range d.convicted {
		if now.Sub(c.since) >= Period { // its next crash convicts it again
			delete(d.convicted, k)
			d.convictions.Store(int64(len(d.convicted)))
			d.suspects[k] = &lostRequest{crashes: map[string]bool{}, earlier: minCrashes - 1, earlierAt: now}
		}
	}
	maps.DeleteFunc(d.survived, func(_ RequestKey, at time.Time) bool { return now.Sub(at) > newsTTL })
}
