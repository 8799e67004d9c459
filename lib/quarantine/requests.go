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
	// newsTTL is how long a host reports a crash or a survival that it has learned of. Any of its reports may be lost.
	newsTTL = 1500 * time.Millisecond
	// minStoredCrashes is the number of crashes from which on a suspicion is reported and stored for as long as it lasts, and the
	// request is sent one at a time.
	minStoredCrashes = 2
	// maxLiveSamples bounds the changes of the number of live targets that are kept of a service.
	maxLiveSamples = 256
	// Bounds of what is kept: crashes, runs lost in each of them, requests refused, and suspicions in the store.
	maxCrashes     = 256
	maxLostInCrash = 128
	maxConvicted   = 1024
	maxStored      = 64
	// Bounds of what is reported: crashes, runs lost in each of them, and survivals. Reports go to several hosts three times a second.
	maxReportedFleetCrashes = 24 // crashes
	maxReportedLost         = 16 // runs in one crash
	maxReportedSurvivals    = 32
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

// Incarnation returns the name of one start of a target.
func Incarnation(target string, started int64) string {
	w := Waiting{Target: target, Started: started}
	return w.incarnation()
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
