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
}

// Suspicion is a report about one suspected segment.
type Suspicion struct {
	Position int              `json:"p,omitempty"`
	BeganMS  *int64           `json:"b,omitempty"` // since an answer on the segment began; nil: none is known
	Crashes  map[string]Crash `json:"c,omitempty"` // by target
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
	if len(d.quarantined) > 0 {
		r.Quarantined = map[string]int64{}
		for id, e := range d.quarantined {
			r.Quarantined[id] = now.Sub(e.since).Milliseconds()
		}
	}
	ids := slices.SortedFunc(maps.Keys(d.suspects), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(d.suspects[b].crashes), len(d.suspects[a].crashes)),
			d.suspects[b].changedAt.Compare(d.suspects[a].changedAt), cmp.Compare(a, b))
	})
	if len(ids) == 0 {
		return r
	}
	r.Suspects = map[string]Suspicion{}
	suspected, cleared := 0, 0
	for _, id := range ids {
		s := d.suspects[id]
		if len(s.crashes) > 0 && suspected < maxReported {
			suspected++
			r.Suspects[id] = s.report(now)
		} else if len(s.crashes) == 0 && cleared < maxReportedCleared {
			cleared++
			r.Suspects[id] = s.report(now)
		}
	}
	return r
}

func (s *suspect) report(now time.Time) Suspicion {
	out := Suspicion{Position: s.position}
	if !s.beganAt.IsZero() {
		age := now.Sub(s.beganAt).Milliseconds()
		out.BeganMS = &age
	}
	chain := s.successive()
	for _, c := range chain[:min(len(chain), maxReportedCrashes)] {
		for target, kept := range s.crashes {
			if kept == c {
				if out.Crashes == nil {
					out.Crashes = map[string]Crash{}
				}
				out.Crashes[target] = Crash{c.addr, now.Sub(c.sentAt).Milliseconds(), now.Sub(c.at).Milliseconds(), c.answering}
			}
		}
	}
	return out
}

// Merge adds the report of another host. It returns the segments that are newly in quarantine by it.
func (d *Detector) Merge(r Report, now time.Time) (quarantined []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, age := range r.Quarantined {
		if since := now.Add(-milliseconds(age)); now.Sub(since) < Period {
			if d.quarantined[id] == nil {
				quarantined = append(quarantined, id)
			}
			d.quarantine(id, since)
		}
	}
	for id, s := range r.Suspects {
		for target, c := range s.Crashes {
			d.suspect(id, s.Position, target, crash{
				addr: c.Addr, sentAt: now.Add(-milliseconds(c.SentMS)), at: now.Add(-milliseconds(c.AgeMS)), knownAt: now,
				answering: c.Answering,
			})
		}
		if own := d.suspects[id]; own != nil && s.BeganMS != nil {
			own.clear(now.Add(-milliseconds(*s.BeganMS)), now)
		}
	}
	return quarantined
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
