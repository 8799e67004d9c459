package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what a host knows, as it is sent to other hosts. Times are ages in milliseconds, as clocks of hosts differ.
type Report struct {
	Suspects    map[string]Suspicion `json:"s,omitempty"` // by segment
	Quarantined map[string]int64     `json:"q,omitempty"` // by segment: for how long
	FirstCrash  map[string]int64     `json:"f,omitempty"` // by segment in quarantine: since the first crash that convicted it
}

// Suspicion is a report about one suspected segment.
type Suspicion struct {
	Position int              `json:"p,omitempty"`
	BeganMS  *int64           `json:"b,omitempty"` // since an answer on the segment began; nil: none is known
	Crashes  map[string]Crash `json:"c,omitempty"` // by incarnation of the target
}

// Crash is a report about one crash.
type Crash struct {
	Addr   string `json:"a"`
	SentMS int64  `json:"s"` // since the request was sent
	AgeMS  int64  `json:"t"` // since the crash
	// Answering states that the target had sent the header of the answer.
	Answering bool `json:"h,omitempty"`
}

// Report returns what other hosts need to know.
func (d *Detector) Report(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	r := Report{}
	for id, e := range d.quarantined {
		r.addQuarantined(id, e, now)
	}
	var suspected, cleared []string
	for id, s := range d.suspects {
		switch {
		case len(s.crashes) == 0 && s.shared:
			cleared = append(cleared, id)
		case len(s.crashes) > 0 && now.Sub(s.since) >= minSuspicion:
			suspected = append(suspected, id)
		}
	}
	slices.SortFunc(suspected, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.suspects[b].weight(), d.suspects[a].weight()), cmp.Compare(a, b))
	})
	slices.SortFunc(cleared, func(a, b string) int {
		x, y := d.suspects[a], d.suspects[b]
		if x.released != y.released {
			return map[bool]int{true: -1, false: 1}[x.released]
		}
		return y.changedAt.Compare(x.changedAt)
	})
	suspected, cleared = suspected[:min(len(suspected), maxReported)], cleared[:min(len(cleared), maxReported)]
	for _, id := range append(suspected, cleared...) {
		if r.Suspects == nil {
			r.Suspects = map[string]Suspicion{}
		}
		d.suspects[id].shared = true
		r.Suspects[id] = d.suspects[id].report(now)
	}
	return r
}

func (r *Report) addQuarantined(id string, e *entry, now time.Time) {
	if r.Quarantined == nil {
		r.Quarantined, r.FirstCrash = map[string]int64{}, map[string]int64{}
	}
	r.Quarantined[id], r.FirstCrash[id] = now.Sub(e.since).Milliseconds(), now.Sub(e.firstCrash).Milliseconds()
}

// ReportQuarantined returns a report of those of the segments that are in quarantine or were released, and of nothing else.
func (d *Detector) ReportQuarantined(segments map[string]bool, now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	r := Report{}
	for id := range segments {
		switch e, s := d.quarantined[id], d.suspects[id]; {
		case e != nil:
			r.addQuarantined(id, e, now)
		case s != nil && s.released:
			if r.Suspects == nil {
				r.Suspects = map[string]Suspicion{}
			}
			r.Suspects[id] = s.report(now)
		}
	}
	return r
}

// weight orders suspicions by how much speaks for them. A crash after the header of the answer counts for more.
func (s *suspect) weight() (n int) {
	for _, c := range s.crashes {
		if n++; c.answering {
			n++
		}
	}
	return n
}

func (s *suspect) report(now time.Time) Suspicion {
	out := Suspicion{Position: s.position}
	if !s.beganAt.IsZero() {
		age := now.Sub(s.beganAt).Milliseconds()
		out.BeganMS = &age
	}
	for _, target := range s.reportedCrashes() {
		if out.Crashes == nil {
			out.Crashes = map[string]Crash{}
		}
		c := s.crashes[target]
		out.Crashes[target] = Crash{c.addr, now.Sub(c.sentAt).Milliseconds(), now.Sub(c.at).Milliseconds(), c.answering}
	}
	return out
}

// reportedCrashes returns the targets of the crashes to report: those that convict, and others, so that hosts do not take these
// for losses of other requests.
func (s *suspect) reportedCrashes() []string {
	rank := map[string]int{}
	inChain := map[crash]bool{}
	for _, c := range s.successive() {
		inChain[c] = true
	}
	for target, c := range s.crashes {
		switch {
		case inChain[c]:
		case c.answering:
			rank[target] = 1
		default:
			rank[target] = 2
		}
	}
	targets := slices.SortedFunc(maps.Keys(s.crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), s.crashes[a].at.Compare(s.crashes[b].at))
	})
	return targets[:min(len(targets), maxReportedCrashes)]
}

// known returns the crash as this host keeps it from now on.
func (c *Crash) known(now time.Time) crash {
	return crash{
		addr: c.Addr, sentAt: now.Add(-milliseconds(c.SentMS)), at: now.Add(-milliseconds(c.AgeMS)), knownAt: now, answering: c.Answering,
	}
}

// Merge adds the report of another host. It returns the segments that are newly in quarantine by it.
func (d *Detector) Merge(r Report, now time.Time) (quarantined []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, age := range r.Quarantined {
		since, firstCrash := now.Add(-milliseconds(age)), now.Add(-milliseconds(max(age, r.FirstCrash[id])))
		if now.Sub(since) >= Period || d.witnessed(id, firstCrash, now) {
			continue
		}
		if d.quarantined[id] == nil {
			quarantined = append(quarantined, id)
		}
		d.quarantine(id, since, firstCrash)
	}
	for id, s := range r.Suspects {
		if s.BeganMS != nil && d.quarantined[id] != nil {
			began := now.Add(-milliseconds(*s.BeganMS))
			if d.release(id, began, now); d.quarantined[id] == nil {
				d.began[id] = began
			}
		}
		if e := d.quarantined[id]; e != nil { // the other host does not know yet, and suspects what comes in the same requests too
			for target, c := range s.Crashes {
				e.explain(target, c.known(now))
			}
		}
	}
	for id, s := range r.Suspects {
		for target, c := range s.Crashes {
			d.suspect(id, s.Position, target, c.known(now))
		}
		if own := d.suspects[id]; own != nil {
			own.shared = true
			if s.BeganMS != nil {
				own.clear(now.Add(-milliseconds(*s.BeganMS)), now)
			}
		}
	}
	return quarantined
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
