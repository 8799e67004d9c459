package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// RequestReport is what a host knows of lost requests, as it is sent to other hosts. Times are ages in milliseconds.
type RequestReport struct {
	Crashes   map[string]ReportedCrash      `json:"c,omitempty"` // by incarnation of the target
	Convicted map[string]ReportedConviction `json:"q,omitempty"` // by request
	Survived  map[string]int64              `json:"s,omitempty"` // by request or segment: since a target has run it to the end
	Trials    map[string]ReportedTrial      `json:"t,omitempty"` // by request: claims of the host
}

// ReportedCrash is a report about one crash.
type ReportedCrash struct {
	Service string           `json:"v"`
	Addr    string           `json:"a"`
	AgeMS   int64            `json:"t"`
	Lost    map[string]int64 `json:"l,omitempty"` // by request or segment: since its run was sent
}

// ReportedConviction is a report about one request that is refused.
type ReportedConviction struct {
	AgeMS        int64 `json:"t"` // for how long it is refused
	FirstCrashMS int64 `json:"f"` // since its first crash
}

// IsZero reports whether the report says nothing.
func (r RequestReport) IsZero() bool {
	return len(r.Crashes)+len(r.Convicted)+len(r.Survived)+len(r.Trials) == 0
}

// Report returns what other hosts need to know.
func (d *Requests) Report(now time.Time) RequestReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	r := RequestReport{Crashes: d.reportedCrashes(now), Survived: map[string]int64{}}
	for k := range d.convicted {
		d.reportConviction(&r, k, now)
	}
	for k := range d.survived {
		if slot := d.slot(k); slot.key == k && len(r.Survived) < maxReportedSurvivals {
			r.Survived[k.String()] = now.Sub(slot.at).Milliseconds()
		}
	}
	d.reportTrials(&r)
	return r
}

// ReportNews returns a report of the claims of this host, of those of the requests that are refused or were released, and of nothing
// else.
func (d *Requests) ReportNews(keys map[RequestKey]bool, now time.Time) RequestReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := RequestReport{Survived: map[string]int64{}}
	for k := range keys {
		if d.convicted[k] != nil {
			d.reportConviction(&r, k, now)
		} else if slot := d.slot(k); slot.key == k {
			r.Survived[k.String()] = now.Sub(slot.at).Milliseconds()
		}
	}
	d.reportTrials(&r)
	return r
}

func (d *Requests) reportConviction(r *RequestReport, k RequestKey, now time.Time) {
	if r.Convicted == nil {
		r.Convicted = map[string]ReportedConviction{}
	}
	c := d.convicted[k]
	r.Convicted[k.String()] = ReportedConviction{now.Sub(c.since).Milliseconds(), now.Sub(c.firstCrash).Milliseconds()}
}

// reportedCrashes returns the crashes that are news, and those at which suspects of several crashes were. The caller holds mu.
func (d *Requests) reportedCrashes(now time.Time) map[string]ReportedCrash {
	type item struct {
		id     string
		lost   []RequestKey
		weight int // most crashes of one of the lost
	}
	var items []item
	for id, c := range d.crashes {
		news := now.Sub(c.knownAt) <= newsTTL
		it := item{id: id}
		for k := range c.lost {
			n := 0
			if s := d.suspects[k]; s != nil && s.crashes[id] {
				n = len(s.crashes)
			}
			if d.convicted[k] != nil && news {
				n = minCrashes
			}
			if n >= minStoredCrashes || n > 0 && news {
				it.lost = append(it.lost, k)
				it.weight = max(it.weight, n)
			}
		}
		if news || it.weight >= minStoredCrashes {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), d.crashes[b.id].at.Compare(d.crashes[a.id].at), cmp.Compare(a.id, b.id))
	})
	turn := byte(now.UnixMilli() >> 6) // so that successive reports name others of equal weight
	out := map[string]ReportedCrash{}
	for _, it := range items[:min(len(items), maxReportedFleetCrashes)] {
		c := d.crashes[it.id]
		weight := func(k RequestKey) int {
			if s := d.suspects[k]; s != nil {
				return len(s.crashes)
			}
			return maxCrashes // convicted
		}
		slices.SortFunc(it.lost, func(a, b RequestKey) int {
			return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a[15]^turn, b[15]^turn))
		})
		lost := map[string]int64{}
		for _, k := range it.lost[:min(len(it.lost), maxReportedLost)] {
			lost[k.String()] = now.Sub(c.lost[k]).Milliseconds()
		}
		out[it.id] = ReportedCrash{c.service, c.addr, now.Sub(c.at).Milliseconds(), lost}
	}
	return out
}

// Merge adds the report of another host. It returns the requests that are newly refused by it.
func (d *Requests) Merge(r RequestReport, now time.Time) (convicted []RequestKey) {
	if r.IsZero() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for text, age := range r.Survived {
		if k, ok := ParseRequestKey(text); ok {
			d.survive(k, now.Add(-milliseconds(age)), now)
		}
	}
	for text, v := range r.Convicted {
		k, ok := ParseRequestKey(text)
		since, first := now.Add(-milliseconds(v.AgeMS)), now.Add(-milliseconds(v.FirstCrashMS))
		if slot := d.slot(k); !ok || now.Sub(since) >= Period || slot.key == k && slot.at.After(first) {
			continue
		}
		if d.convicted[k] == nil {
			convicted = append(convicted, k)
		}
		d.convict(k, since, first)
	}
	for id, reported := range r.Crashes {
		d.addCrash(id, reported.Service, reported.Addr, now.Add(-milliseconds(reported.AgeMS)), now)
		for text, age := range reported.Lost {
			if k, ok := ParseRequestKey(text); ok {
				d.lose(id, k, now.Add(-milliseconds(age)))
			}
		}
	}
	d.mergeTrials(r.Trials, now)
	return convicted
}
