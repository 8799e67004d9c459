// Package quarantine finds queries of death: prompt segments that crash each target that begins to answer on them, whatever
// else the prompt holds. It answers a load in which a small part of the requests, spread over all hosts, takes down target
// after target, and sound requests with them.
//
// A segment is suspected while requests with it waited at targets that crashed and no answer on it has begun since, on any
// host. Hosts report their suspicions to each other and judge them alike. A request with a segment in quarantine is refused.
//
// The package does no I/O, and takes the time as an argument.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxChance is the probability from which on a segment is put into quarantine: that of so many crashes if the segment were
	// sound. It allows for many segments that are judged several times a second, and is reached by three crashes with
	// minLossChance each.
	maxChance = 1.0001e-6
	// maxChanceAtOnce is the probability from which on it is done before other hosts could report that an answer has begun.
	maxChanceAtOnce = 1e-12
	// minCrashesOfOne is the least number of crashes if all were at the same address, which may be a target in trouble.
	minCrashesOfOne = 5
	// Period is how long a segment stays in quarantine, also across restarts of all hosts. It is the longest time to live
	// that the store grants.
	Period = 10 * time.Minute
	// formerTTL is how long a segment whose quarantine has ended goes back there at its first crash, unless an answer has begun.
	formerTTL = 6 * Period
	// suspicionTTL is how long a crash counts against a segment on which no answer begins.
	suspicionTTL = 2 * time.Minute
	// beganTTL is how long a host remembers that an answer on a segment began.
	beganTTL = time.Minute
	// maxBegan bounds the segments that are remembered so.
	maxBegan = 8192
	// maxSuspects bounds the suspected segments, and maxKeptCrashes the crashes kept of each.
	maxSuspects    = 512
	maxKeptCrashes = 32
	// maxExplained bounds the crashes that a segment in quarantine is known to explain.
	maxExplained = 1024
	// maxReported bounds the suspicions in a report, those for which most speaks, and as many that were cleared. Reports go to
	// several hosts three times a second. maxReportedCrashes bounds the crashes of each.
	maxReported        = 8
	maxReportedCrashes = 12
	// minSuspicion is the age from which a suspicion is reported. Answers on most segments begin again before.
	minSuspicion = 150 * time.Millisecond
	// minCrashes is the least number of crashes for which maxChance can be reached.
	minCrashes = 3
	// clearedTTL is how long a host reports that a suspicion is cleared. Any of its reports may be lost.
	clearedTTL = 3 * time.Second
	// sameRequest is the difference up to which times at which requests to one target were sent are taken for those of one
	// request. Reports of one crash reach a host at different times.
	sameRequest = 5 * time.Millisecond
	// maxIDBytes is the longest id of a segment that is used as it is; of a longer one a hash stands for it.
	maxIDBytes = 64
)

// Detector holds what a host knows of suspected segments and of those in quarantine. It is safe for concurrent use.
type Detector struct {
	mu          sync.Mutex
	began       map[string]time.Time // guarded by mu; by segment: when an answer on it last began at this host
	suspects    map[string]*suspect  // guarded by mu; by segment
	quarantined map[string]*entry    // guarded by mu; by segment
	former      map[string]time.Time // guarded by mu; by segment: when its quarantine ended
	released    []string             // guarded by mu; see Released
	own         Outcomes             // guarded by mu; at this host, as of ownUpdated
	ownUpdated  time.Time            // guarded by mu
	peers       map[string]Outcomes  // guarded by mu; at other hosts
}

// suspect is a segment under suspicion.
type suspect struct {
	position  int // in the prompt; the highest that was seen
	beganAt   time.Time
	crashes   map[string]crash // by incarnation of the target; only those after beganAt
	changedAt time.Time        // when a crash was last reported, or the suspicion cleared
	since     time.Time        // when the first of the crashes was known
	shared    bool             // other hosts may know of the suspicion
	released  bool             // the segment was in quarantine although an answer on it had begun
}

// crash is a crash of a target at which a request with the segment waited for its answer to begin.
type crash struct {
	addr      string
	sentAt    time.Time // of the request
	at        time.Time
	knownAt   time.Time
	answering bool // the target had sent the header of the answer
}

// entry is a segment in quarantine.
type entry struct {
	since      time.Time
	firstCrash time.Time        // of those that convicted it, or since if that is not known
	crashes    map[string]crash // that it explains
}

// New returns a detector that suspects nothing.
func New() *Detector {
	return &Detector{
		began: map[string]time.Time{}, suspects: map[string]*suspect{}, quarantined: map[string]*entry{},
		former: map[string]time.Time{}, peers: map[string]Outcomes{},
	}
}

// Waiting is a request that waited for its answer to begin when its target crashed.
type Waiting struct {
	Segments []string // ids of the segments that its prompt shares with others, in order
	Target   string   // id of the target
	Started  int64    // identifies the target's incarnation, as registry.Target.Started does
	Addr     string   // IP:port of the target
	SentAt   time.Time
	// Answering states that the header of the answer had arrived: the target was about to write, and few requests are in that
	// state at a time.
	Answering bool
}

// incarnation returns the name under which a crash is kept. A target may start again under the id that it had.
func (w *Waiting) incarnation() string {
	if w.Started == 0 {
		return w.Target
	}
	return w.Target + "@" + strconv.FormatInt(w.Started, 36)
}

// Began records that the answer to a request has begun: none of its segments crashes targets. The request was sent waited before,
// and the header of the answer arrived answering before.
func (d *Detector) Began(segments []string, waited, answering time.Duration, now time.Time) {
	if len(segments) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(Outcomes{Began: 1, WaitSeconds: waited.Seconds(), AnsweringSeconds: answering.Seconds()}, now)
	for _, id := range segments {
		id = key(id)
		d.began[id] = now
		delete(d.former, id)
		d.release(id, now, now)
		if s := d.suspects[id]; s != nil {
			s.clear(now, now)
		}
	}
	if len(d.began) > maxBegan {
		d.forgetBegan(now)
	}
}

// forgetBegan drops the older half of what is remembered of begun answers, or more if it is outdated. The caller holds mu.
func (d *Detector) forgetBegan(now time.Time) {
	times := slices.SortedFunc(maps.Values(d.began), time.Time.Compare)
	limit := times[len(times)/2]
	if outdated := now.Add(-beganTTL); outdated.After(limit) {
		limit = outdated
	}
	maps.DeleteFunc(d.began, func(_ string, at time.Time) bool { return !at.After(limit) })
}

// Crashed records that a target crashed while a request waited there. A crash that a segment in quarantine explains counts
// against no other one.
func (d *Detector) Crashed(w Waiting, at, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := crash{addr: w.Addr, sentAt: w.SentAt, at: at, knownAt: now, answering: w.Answering}
	blocked := false
	for _, id := range w.Segments {
		if e := d.quarantined[key(id)]; e != nil {
			e.explain(w.incarnation(), c)
			blocked = true
		}
	}
	if blocked {
		return
	}
	d.observe(outcomeOf(w.Answering), now)
	for i, id := range w.Segments {
		d.suspect(key(id), i, w.incarnation(), c)
	}
}

// suspect records a crash against a segment. The caller holds mu.
func (d *Detector) suspect(id string, position int, target string, c crash) {
	if d.explained(target, c) || d.quarantined[id] != nil {
		return
	}
	s := d.suspects[id]
	if s == nil {
		if len(d.suspects) >= maxSuspects {
			return
		}
		s = &suspect{beganAt: d.began[id], crashes: map[string]crash{}}
		d.suspects[id] = s
	}
	s.position, s.changedAt = max(s.position, position), c.knownAt
	old, known := s.crashes[target]
	switch {
	case known && c.answering && !old.answering:
		c.knownAt = old.knownAt
		s.crashes[target] = c
	case !known && c.at.After(s.beganAt) && len(s.crashes) < maxKeptCrashes:
		if len(s.crashes) == 0 {
			s.since = c.knownAt
		}
		s.crashes[target] = c
	}
}

// explained reports whether a segment in quarantine explains the crash of the target. The caller holds mu.
func (d *Detector) explained(target string, c crash) bool {
	for _, e := range d.quarantined {
		if by, ok := e.crashes[target]; ok && by.explains(c) {
			return true
		}
	}
	return false
}

// explains reports whether c accounts for another crash at the same target. A request that only waited there does not, if the
// other one was being answered.
func (c crash) explains(other crash) bool { return c.answering || !other.answering }

// clear drops the crashes up to the time at which an answer on the segment began.
func (s *suspect) clear(beganAt, now time.Time) {
	if !beganAt.After(s.beganAt) {
		return
	}
	s.beganAt, s.changedAt = beganAt, now
	maps.DeleteFunc(s.crashes, func(_ string, c crash) bool { return !c.at.After(beganAt) })
}

func (e *entry) explain(target string, c crash) {
	old, known := e.crashes[target]
	if known && !old.answering || !known && len(e.crashes) < maxExplained {
		e.crashes[target] = c
	}
}

// Blocked returns the first segment that is in quarantine and how long it stays there, or "".
func (d *Detector) Blocked(segments []string, now time.Time) (id string, left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.quarantined) == 0 {
		return "", 0
	}
	for _, id := range segments {
		if e := d.quarantined[key(id)]; e != nil && now.Sub(e.since) < Period {
			return key(id), Period - now.Sub(e.since)
		}
	}
	return "", 0
}

// Quarantined returns the segments in quarantine, in no particular order.
func (d *Detector) Quarantined(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	return slices.Collect(maps.Keys(d.quarantined))
}

// Restore puts segments into quarantine that another host, or an earlier start of this one, found.
func (d *Detector) Restore(ids []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		if id = key(id); !d.witnessed(id, now.Add(-beganTTL), now) {
			d.quarantine(id, now, now)
		}
	}
}

// witnessed reports whether an answer on the segment has begun since a time, as this host knows, so that a verdict which says that
// none has is wrong. The caller holds mu.
func (d *Detector) witnessed(id string, since, now time.Time) bool {
	began, ok := d.began[id]
	if !ok || !began.After(since) {
		return false
	}
	d.markReleased(id, began, now)
	return true
}

// release ends the quarantine of a segment on which an answer began after the crashes that convicted it. The caller holds mu.
func (d *Detector) release(id string, began, now time.Time) {
	if e := d.quarantined[id]; e != nil && began.After(e.firstCrash) {
		delete(d.quarantined, id)
		d.markReleased(id, began, now)
	}
}

// markReleased has other hosts told that an answer on the segment began. The caller holds mu.
func (d *Detector) markReleased(id string, began, now time.Time) {
	s := d.suspects[id]
	if s == nil {
		s = &suspect{crashes: map[string]crash{}}
		d.suspects[id] = s
	}
	s.clear(began, now)
	s.changedAt, s.shared = now, true
	if !s.released {
		s.released = true
		d.released = append(d.released, id)
	}
}

// Released returns the segments whose quarantine was found wrong since the last call.
func (d *Detector) Released() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.released
	d.released = nil
	return out
}

// quarantine puts a segment into quarantine, unless it is there since an earlier time. The caller holds mu.
func (d *Detector) quarantine(id string, since, firstCrash time.Time) {
	if e := d.quarantined[id]; e != nil {
		if since.Before(e.since) {
			e.since = since
		}
		return
	}
	e := &entry{since: since, firstCrash: firstCrash, crashes: map[string]crash{}}
	if s := d.suspects[id]; s != nil {
		e.crashes = s.crashes
		delete(d.suspects, id)
	}
	d.quarantined[id] = e
	for _, s := range d.suspects {
		s.acquit(e)
	}
}

// acquit drops the crashes that a segment in quarantine explains: all if the two come in the same requests, as a host does not
// know each crash of a segment.
func (s *suspect) acquit(e *entry) {
	for target, by := range e.crashes {
		c, ok := s.crashes[target]
		switch {
		case !ok:
		case by.sentAt.Sub(c.sentAt).Abs() <= sameRequest:
			clear(s.crashes)
			return
		case by.explains(c):
			delete(s.crashes, target)
		}
	}
}

// Verdict is a segment that was put into quarantine.
type Verdict struct {
	Segment string
	Crashes int // of targets at which requests with it waited
}

// Judge puts the segments into quarantine against which there are enough crashes, and returns them. settle is the time in
// which hosts report that an answer on a suspected segment has begun. Where the same crashes stand against several segments of
// a prompt, the one on which no answer has begun for longest is taken, and else the last, which the fewest requests share.
func (d *Detector) Judge(now time.Time, settle time.Duration) (out []Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	for {
		id := d.worst(now, settle)
		if id == "" {
			return out
		}
		s := d.suspects[id]
		out = append(out, Verdict{id, len(s.crashes)})
		d.quarantine(id, now, s.firstCrash())
	}
}

// worst returns the segment to put into quarantine next, or "". The caller holds mu.
func (d *Detector) worst(now time.Time, settle time.Duration) (worst string) {
	for id, s := range d.suspects {
		if !d.relapsed(id, s) && (len(s.crashes) < minCrashes || !d.convicted(s, now, settle)) {
			continue
		}
		if w := d.suspects[worst]; w == nil ||
			cmp.Or(s.beganAt.Compare(w.beganAt), cmp.Compare(w.position, s.position), cmp.Compare(id, worst)) < 0 {
			worst = id
		}
	}
	return worst
}

// relapsed reports whether a target has crashed as it began an answer on a segment whose quarantine has ended. The caller holds mu.
func (d *Detector) relapsed(id string, s *suspect) bool {
	if _, ok := d.former[id]; !ok {
		return false
	}
	for _, c := range s.crashes {
		if c.answering {
			return true
		}
	}
	return false
}

// firstCrash returns the time of the first crash that is known.
func (s *suspect) firstCrash() (first time.Time) {
	for _, c := range s.crashes {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
	}
	return first
}

// successive returns the longest chain of crashes each of whose requests was sent after the crash before.
func (s *suspect) successive() (chain []crash) {
	all := slices.SortedFunc(maps.Values(s.crashes), func(a, b crash) int { return a.at.Compare(b.at) })
	for _, c := range all {
		if n := len(chain); n == 0 || c.sentAt.After(chain[n-1].at) {
			chain = append(chain, c)
		}
	}
	return chain
}

// convicted reports whether the crashes are too many for a sound segment: those that are known for the settling time, or
// overwhelmingly all. The caller holds mu.
func (d *Detector) convicted(s *suspect, now time.Time, settle time.Duration) bool {
	c := d.chances(s, now)
	return s.chance(c, now) <= maxChanceAtOnce || s.chance(c, now.Add(-settle)) <= maxChance
}

// chance returns the probability of the crashes that were known at the time if the segment were sound. Those of a chain count as
// independent of each other. Targets may also crash together, and take with them what waits there, but hardly at the moment at
// which each of them begins an answer on the segment.
func (s *suspect) chance(each chances, knownBy time.Time) float64 {
	chance, known := 1.0, 0
	addrs, inChain := map[string]bool{}, map[crash]bool{}
	add := func(c crash, chanceOfOne float64) {
		chance *= chanceOfOne
		known++
		addrs[c.addr] = true
	}
	for _, c := range s.successive() {
		if c.knownAt.After(knownBy) {
			break
		}
		if inChain[c] = true; c.answering {
			add(c, each.answering)
		} else {
			add(c, each.lost)
		}
	}
	for _, c := range s.crashes {
		if c.answering && !inChain[c] && !c.knownAt.After(knownBy) {
			add(c, each.inAnswer)
		}
	}
	if len(addrs) < 2 && known < minCrashesOfOne {
		return 1
	}
	return chance
}

// expire drops what is outdated. The caller holds mu.
func (d *Detector) expire(now time.Time) {
	maps.DeleteFunc(d.quarantined, func(id string, e *entry) bool {
		ended := now.Sub(e.since) >= Period
		if ended {
			d.former[id] = now
		}
		return ended
	})
	maps.DeleteFunc(d.former, func(_ string, at time.Time) bool { return now.Sub(at) > formerTTL })
	maps.DeleteFunc(d.suspects, func(_ string, s *suspect) bool {
		maps.DeleteFunc(s.crashes, func(_ string, c crash) bool { return now.Sub(c.at) > suspicionTTL })
		return len(s.crashes) == 0 && now.Sub(s.changedAt) > clearedTTL
	})
}

// key returns the name under which a segment is kept.
func key(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	return strconv.FormatUint(xxhash.Sum64String(id), 16)
}
