package targetrate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sharedrate"
)

const (
	// boundWindow is the span over which the requests to a cold target are bounded, and arrivalSpread the largest difference between
	// the times that two requests take to reach a target.
	boundWindow   = time.Second
	arrivalSpread = 250 * time.Millisecond
	// usableFraction is the fraction of the bound that hosts use. The rest covers requests of hosts that have not heard of a restart under
	// the same id yet, and hosts that differ in the members that they know.
	usableFraction = 0.75
	// memberTTL is how long a host that is no longer known counts as a member. It may be cut off and use its part still.
	memberTTL = 10 * time.Minute
	// reportedTTL is how long after the end of a cold time what was sent to the target is reported. It covers several states.
	reportedTTL = 5 * time.Second
	// absentTTL is how long a target without an entry is remembered, so that its entry is known to have come back.
	absentTTL = time.Hour
	// sameEnd is the difference up to which two ends are taken for that of one statement. The time of transit adds to the end at each
	// host that passes a statement on, and must not put it off when the statement comes back.
	sameEnd = 300 * time.Millisecond
	// endMargin is added to the end of a cold time, so that requests of the last moments do not reach the target in the second of those
	// that all hosts send when it has ended.
	endMargin = 250 * time.Millisecond
	// refusalTTL is how long hosts report that a target refused a connection, and minRefusalZones the number of zones whose hosts have to
	// find that before the others assume that its process has ended: a zone may be cut off from targets that are well.
	refusalTTL      = 2 * time.Second
	minRefusalZones = 2
	// maxColdTime bounds the time that a target states.
	maxColdTime = 10 * time.Minute
	// maxSilence is the time without a call of Contact after which the process was suspended.
	maxSilence = 3 * time.Second
)

// ColdBound is the bound on the requests that reach a cold target in any second: the service's rate times Overshoot, plus Slack. An
// Overshoot of zero stands for 1.
type ColdBound struct{ Overshoot, Slack float64 }

// cold is what is known of a target that may be cold.
type cold struct {
	service, zone  string
	started, beat  int64 // of the latest entry
	absentSince    time.Time
	until          time.Time            // end of the cold time that was stated
	assumedUntil   time.Time            // end of the cold time that is assumed without news
	assumedAtBeat  int64                // a later entry that states no cold time ends the assumption
	refused        map[string]time.Time // when the target last refused a connection to a host, by the zone of the host
	limit          *sharedrate.Limit    // of the service, as last used; nil: none yet
	sent           []sentRequest        // of the last boundWindow+arrivalSpread
	part           int                  // requests that this host may send in that time
	partOf         int                  // by how many requests of all hosts part was worked out
	partGeneration int                  // by which members
}

// sentRequest is a request to a target that may be cold.
type sentRequest struct {
	at      time.Time
	counted bool // it was charged as a request to a cold target
}

// coldTargets are the targets that may be cold, and the hosts among which their rates are divided.
type coldTargets struct {
	bound      ColdBound
	onChange   func(ColdChange)
	catalog    *catalog.Catalog
	targets    map[string]*cold
	listed     bool // a list of targets was installed
	traffic    bool // requests have been sent, here or at another host
	self, zone string
	members    map[string]time.Time // when last known; the zero time: known now
	generation int                  // of members
	contact    bool                 // with the store or a peer, at the latest call of Contact
	contactAt  time.Time
}

// ColdChange reports that a target has become cold for this host.
type ColdChange struct {
	Target string
	Source string // who said so
	Left   time.Duration
}

// ColdStatement is the cold time that a target stated, as hosts report it to each other.
type ColdStatement struct {
	Started int64 `json:"s,omitempty"` // of the incarnation
	LeftMS  int64 `json:"l,omitempty"` // zero: it stated none
	// RefusedMS is the time since the target refused a connection to a host, by the host's zone.
	RefusedMS map[string]int64 `json:"r,omitempty"`
}

// SetColdBound sets the bound for cold targets, and a function that is called when a target becomes cold for this host; it may be nil.
func (l *Limits) SetColdBound(bound ColdBound, onChange func(ColdChange)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.bound, l.cold.onChange = bound, onChange
}

// SetZone sets the zone of this host.
func (l *Limits) SetZone(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.zone = zone
}

// SetCatalog installs a new configuration.
func (l *Limits) SetCatalog(c *catalog.Catalog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.catalog = c
}

// SetMembers sets the hosts among which the rates of cold targets are divided: this one and the others that are known.
func (l *Limits) SetMembers(self string, others []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.cold
	c.generation++
	c.self = self
	for host, at := range c.members {
		if at.IsZero() {
			c.members[host] = now
		} else if now.Sub(at) > memberTTL {
			delete(c.members, host)
		}
	}
	for _, host := range others {
		c.members[host] = time.Time{}
	}
}

// SetTargets installs the list of targets, and reports whether an entry states a cold time that is news for other hosts. Statements of
// targets that are not in the list are dropped.
func (l *Limits) SetTargets(list []*registry.Target, now time.Time) (changed bool) {
	known := make(map[string]bool, len(list))
	l.mu.Lock()
	for _, t := range list {
		known[t.ID] = true
		changed = l.setTarget(t, now) || changed
	}
	for id, s := range l.cold.targets {
		switch {
		case known[id]:
		case s.absentSince.IsZero():
			s.absentSince = now
		case now.Sub(s.absentSince) > absentTTL:
			delete(l.cold.targets, id)
		}
	}
	l.cold.listed = true
	if c := &l.cold; !c.contact && !c.contactAt.IsZero() || c.suspended(now) {
		l.assumeAll("contact regained", now) // what the list shows was written before
	}
	l.mu.Unlock()
	l.Retain(func(id string) bool { return known[id] })
	return changed
}

// setTarget applies the entry of a target, and reports whether it states a cold time that is news. The caller holds mu.
func (l *Limits) setTarget(t *registry.Target, now time.Time) (changed bool) {
	s := l.cold.targets[t.ID]
	isNew := s == nil || s.started == 0 && s.service == ""
	if s == nil {
		s = &cold{}
		l.cold.targets[t.ID] = s
	}
	restarted := !isNew && s.started != t.Started
	returned := !isNew && !restarted && !s.absentSince.IsZero()
	newer := isNew || restarted || t.Beat > s.beat
	s.service, s.zone, s.started, s.beat, s.absentSince = t.Service, t.Zone, t.Started, t.Beat, time.Time{}
	if !newer && !returned {
		return false
	}
	switch {
	case t.Cold > 0:
		return l.begin(t.ID, s, now.Add(min(t.Cold, maxColdTime)+endMargin), "entry", now)
	case returned:
		l.assume(t.ID, s, "entry came back", now)
	case (isNew && l.cold.listed || restarted) && !t.StatesCold:
		l.assume(t.ID, s, "new incarnation", now)
	case t.StatesCold && (restarted || t.Beat > s.assumedAtBeat):
		s.assumedUntil = time.Time{}
	}
	return false
}

// terms returns the time for which targets of the service are cold after their start, and the rate that a cold one takes; zero: none
// are cold. The caller holds mu.
func (l *Limits) terms(service string) (coldTime time.Duration, perSecond float64) {
	if l.cold.catalog == nil {
		return 0, 0
	}
	s := l.cold.catalog.Service(service)
	if s == nil || s.ColdStart <= 0 || s.ColdPerSecond <= 0 {
		return 0, 0
	}
	return s.ColdStart, s.ColdPerSecond
}

// begin records that a target stated to be cold until a time. It reports whether that is news. The caller holds mu.
func (l *Limits) begin(id string, s *cold, until time.Time, source string, now time.Time) (changed bool) {
	if !until.After(now) || until.Before(s.until.Add(sameEnd)) {
		return false
	}
	l.report(id, s, until, source, now)
	s.until = until
	l.countOthers(id, now)
	return true
}

// assume records that a target counts as cold without news. Before traffic starts none does. The caller holds mu.
func (l *Limits) assume(id string, s *cold, source string, now time.Time) {
	l.assumeSince(id, s, source, now, now)
}

// assumeSince is assume for news that are of an earlier time. It reports whether the target counts as cold for longer. The caller holds
// mu.
func (l *Limits) assumeSince(id string, s *cold, source string, at, now time.Time) (changed bool) {
	coldTime, _ := l.terms(s.service)
	until := at.Add(coldTime)
	if coldTime == 0 || !l.cold.traffic || !until.After(s.assumedUntil) || !until.After(now) {
		return false
	}
	l.report(id, s, until, source, now)
	s.assumedUntil, s.assumedAtBeat = until, s.beat
	l.countOthers(id, now)
	return true
}

// countOthers has what other hosts send to a cold target count from now on. The caller holds mu.
func (l *Limits) countOthers(id string, now time.Time) {
	if limit := l.coldLimit(id, now); limit != nil {
		l.limiter.HasCredit(limit, now)
	}
}

// report reports that a target turns cold, and who said so. The caller holds mu.
func (l *Limits) report(id string, s *cold, until time.Time, source string, now time.Time) {
	if s.active(now) {
		return
	}
	if coldTime, _ := l.terms(s.service); coldTime > 0 && l.cold.onChange != nil {
		l.cold.onChange(ColdChange{Target: id, Source: source, Left: until.Sub(now)})
	}
}

// active reports whether the target is cold, stated or assumed.
func (s *cold) active(now time.Time) bool { return now.Before(s.until) || now.Before(s.assumedUntil) }

// Cold records that an answer of a target states how much longer it is cold. It reports whether that is news for other hosts.
func (l *Limits) Cold(target string, left time.Duration, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.cold.targets[target]
	return s != nil && left > 0 && l.begin(target, s, now.Add(min(left, maxColdTime)+endMargin), "answer", now)
}

// ZonesReturned records that evacuations have ended. The targets of the zones count as cold, as they have had no requests.
func (l *Limits) ZonesReturned(zones []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.cold.targets {
		if slices.Contains(zones, s.zone) {
			l.assume(id, s, "zone returned", now)
		}
	}
}

// Down records that a target refused a connection: its process has ended, and it will be cold when it is back. It reports whether that is
// news for other hosts.
func (l *Limits) Down(target string, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.cold.targets[target]
	if s == nil {
		return false
	}
	if coldTime, _ := l.terms(s.service); coldTime == 0 {
		return false
	}
	l.assumeDown(target, s, "connection refused", now, now)
	return s.noteRefusal(l.cold.zone, now, now)
}

// assumeDown records that a target counts as cold because it refused a connection. The next entry may have been written before. The
// caller holds mu.
func (l *Limits) assumeDown(id string, s *cold, source string, at, now time.Time) {
	if l.assumeSince(id, s, source, at, now) {
		s.assumedAtBeat = s.beat + 1
	}
}

// noteRefusal notes a refused connection to a host in the zone, and reports whether none was known there within refusalTTL.
func (s *cold) noteRefusal(zone string, at, now time.Time) (changed bool) {
	if s.refused == nil {
		s.refused = map[string]time.Time{}
	}
	changed = now.Sub(s.refused[zone]) > refusalTTL
	if at.After(s.refused[zone]) {
		s.refused[zone] = at
	}
	return changed
}

// mergeRefusals applies what another host reports of refused connections, and reports whether there is news. The caller holds mu.
func (l *Limits) mergeRefusals(id string, s *cold, refusedMS map[string]int64, now time.Time) (changed bool) {
	for zone, ms := range refusedMS {
		if at := now.Add(-time.Duration(ms) * time.Millisecond); now.Sub(at) <= refusalTTL {
			changed = s.noteRefusal(zone, at, now) || changed
		}
	}
	fresh, latest := 0, time.Time{}
	for _, at := range s.refused {
		if now.Sub(at) > refusalTTL {
			continue
		}
		if fresh++; at.After(latest) {
			latest = at
		}
	}
	if fresh >= minRefusalZones {
		l.assumeDown(id, s, "connections refused in several zones", latest, now)
	}
	return changed
}

// Traffic records that requests are being sent, here or at another host: targets that start from now on may be cold.
func (l *Limits) Traffic() {
	l.mu.Lock()
	l.cold.traffic = true
	l.mu.Unlock()
}

// Contact records whether this host has contact with the store or with a peer. When a loss of both ends, or a suspension of the
// process, all targets count as cold, as what they stated meanwhile is not known.
func (l *Limits) Contact(has bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.cold
	regained := has && !c.contactAt.IsZero() && (!c.contact || c.suspended(now))
	c.contact, c.contactAt = has, now
	if regained {
		l.assumeAll("contact regained", now)
	}
}

// suspended reports whether Contact was not called for so long that the process must have been suspended.
func (c *coldTargets) suspended(now time.Time) bool {
	return !c.contactAt.IsZero() && now.Sub(c.contactAt) > maxSilence
}

// assumeAll has all targets count as cold without news. The caller holds mu.
func (l *Limits) assumeAll(source string, now time.Time) {
	for id, s := range l.cold.targets {
		l.assume(id, s, source, now)
	}
}

// ColdStatements returns the cold times that targets stated, and which targets refused connections, for other hosts.
func (l *Limits) ColdStatements(now time.Time) map[string]ColdStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out map[string]ColdStatement
	for id, s := range l.cold.targets {
		stated := ColdStatement{Started: s.started, LeftMS: max(0, s.until.Sub(now).Milliseconds())}
		for zone, at := range s.refused {
			if age := now.Sub(at); age <= refusalTTL {
				if stated.RefusedMS == nil {
					stated.RefusedMS = map[string]int64{}
				}
				stated.RefusedMS[zone] = age.Milliseconds()
			}
		}
		if stated.LeftMS == 0 && stated.RefusedMS == nil {
			continue
		}
		if out == nil {
			out = map[string]ColdStatement{}
		}
		out[id] = stated
	}
	return out
}

// MergeCold applies what another host reports of cold targets, and reports whether there is news.
func (l *Limits) MergeCold(r map[string]ColdStatement, source string, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, stated := range r {
		s := l.cold.targets[id]
		if s == nil { // its entry has not been read yet
			s = &cold{}
			l.cold.targets[id] = s
		}
		if stated.Started < s.started {
			continue
		}
		changed = l.mergeRefusals(id, s, stated.RefusedMS, now) || changed
		if stated.LeftMS > 0 {
			left := min(time.Duration(stated.LeftMS)*time.Millisecond, maxColdTime+endMargin)
			changed = l.begin(id, s, now.Add(left), source, now) || changed
		}
	}
	return changed
}

// ColdTargets returns the number of targets that are cold, stated or assumed.
func (l *Limits) ColdTargets(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.cold.targets {
		if _, perSecond := l.terms(s.service); perSecond > 0 && s.active(now) && s.absentSince.IsZero() {
			n++
		}
	}
	return n
}

// coldLimit returns the limit of a target that is cold, or nil. The caller holds mu.
func (l *Limits) coldLimit(target string, now time.Time) *sharedrate.Limit {
	if c := &l.cold; c.contact && c.suspended(now) {
		c.contact = false // until the next call of Contact
		l.assumeAll("process was suspended", now)
	}
	s := l.cold.targets[target]
	if s == nil || !s.active(now) {
		return nil
	}
	_, perSecond := l.terms(s.service)
	if perSecond <= 0 {
		return nil
	}
	if rate := perSecond * tokensPerRequest; s.limit == nil || s.limit.Rate != rate {
		s.limit = newLimit(target, perSecond)
	}
	return s.limit
}

// dropEnded forgets what was sent to targets whose cold time has ended, so that hosts no longer report it.
func (l *Limits) dropEnded(now time.Time) {
	l.mu.Lock()
	ended := map[string]bool{}
	for id, s := range l.cold.targets {
		if s.limit != nil && !s.active(now.Add(-reportedTTL)) {
			s.limit = nil
			ended[id] = l.stated[id].limit == nil
		}
	}
	l.mu.Unlock()
	if len(ended) > 0 {
		l.limiter.Retain(func(id string) bool { return !ended[id] })
	}
}

// coldPart returns how many requests this host may send to a cold target in boundWindow+arrivalSpread. All hosts divide the bound in the
// same order, so that they need not hear of each other's requests; with more hosts than requests, most may send none. The caller
// holds mu.
func (l *Limits) coldPart(target string, s *cold) int {
	c := &l.cold
	_, perSecond := l.terms(s.service)
	bound := perSecond*cmp.Or(c.bound.Overshoot, 1) + c.bound.Slack
	usable := max(min(int(bound), 1), int(usableFraction*bound))
	if s.partGeneration != c.generation || s.partOf != usable {
		hosts, before, own := 1, 0, xxhash.Sum64String(target+"/"+c.self)
		for host := range c.members {
			if host == c.self {
				continue
			}
			hosts++
			if cmp.Or(cmp.Compare(xxhash.Sum64String(target+"/"+host), own), cmp.Compare(host, c.self)) < 0 {
				before++
			}
		}
		s.part = usable / hosts
		if before < usable%hosts {
			s.part++
		}
		s.partGeneration, s.partOf = c.generation, usable
	}
	return s.part
}

// withinPart reports whether this host's part of the bound of a cold target allows a request. The caller holds mu.
func (l *Limits) withinPart(target string, s *cold, now time.Time) bool {
	s.forget(now)
	return len(s.sent) < l.coldPart(target, s)
}

// forget drops the requests that cannot reach the target in the same second as one that is sent now.
func (s *cold) forget(now time.Time) {
	s.sent = slices.DeleteFunc(s.sent, func(r sentRequest) bool { return now.Sub(r.at) >= boundWindow+arrivalSpread })
}

// noteSent notes a request to a target of a service whose targets may be cold: it may become known a moment later that the target
// is. counted states that its cold limit was charged. The caller holds mu.
func (l *Limits) noteSent(target string, counted bool, now time.Time) {
	l.cold.traffic = true
	s := l.cold.targets[target]
	if s == nil {
		return
	}
	if coldTime, _ := l.terms(s.service); coldTime > 0 {
		s.forget(now)
		s.sent = append(s.sent, sentRequest{now, counted})
	}
}

// noteUnsent takes back the latest request that was noted, and returns the limit that it was charged to as to a cold target, or nil.
// The caller holds mu.
func (l *Limits) noteUnsent(target string) *sharedrate.Limit {
	s := l.cold.targets[target]
	if s == nil || len(s.sent) == 0 {
		return nil
	}
	last := s.sent[len(s.sent)-1]
	s.sent = s.sent[:len(s.sent)-1]
	if !last.counted {
		return nil
	}
	return s.limit
}
