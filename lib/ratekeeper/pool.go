package ratekeeper

import (
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/sharedrate"
)

// maxStall is the longest time between two signs that this process runs. After a longer one it has stood still, and another host may have
// kept its organisations meanwhile.
const maxStall = time.Second

const (
	// maxDebt bounds the debt that reports of others leave in a pool, as time at the rate.
	maxDebt = 500 * time.Millisecond
	// initialBurstFraction is the part of the burst that a host assumes to be there when its process starts: it does not know what was granted
	// before.
	initialBurstFraction = 0.5
	// formingTime is the time from the start of the process in which it learns of the other hosts.
	formingTime = 2 * time.Second
	// maxReportGap is the longest time between two reports of which the later one counts. Hosts that do not reach each other for longer have
	// parts of the rate of their own.
	maxReportGap = 1500 * time.Millisecond
)

// minBurst is the least capacity in tokens of a pool: a request is admitted while there is any token.
const minBurst = 1

// pool is the token bucket of an organisation that this host keeps.
type pool struct {
	bucket      *quota.Bucket
	rate, burst float64 // in tokens a second and tokens: the part of the hosts that reach the keeper
	standsIn    bool    // for the first candidate
}

// clock returns the time as buckets count it.
func (k *Keepers) clock(t time.Time) int64 { return int64(t.Sub(k.started)) }

// poolOf returns the pool of an organisation that this host keeps. A host that becomes the keeper while it runs starts with an empty bucket, as it
// does not know what the former one has granted. The caller holds mu.
func (k *Keepers) poolOf(o *catalog.Organisation, now time.Time) *pool {
	fraction := float64(k.reachable) / float64(k.hosts)
	if now.Sub(k.started) < formingTime { // the states of hosts that are there may not have arrived yet
		fraction = 1
	}
	rate, burst := o.Rate*fraction, max(minBurst, o.Burst*fraction)
	p := k.pools[o.Name]
	if p == nil {
		since := k.clock(k.keptSince)
		p = &pool{bucket: quota.NewBucket(since), rate: rate, burst: burst}
		p.bucket.Configure(since, since, rate, burst)
		if k.keptSince.Equal(k.started) {
			p.bucket.Fill(since, initialBurstFraction*burst)
		}
		k.pools[o.Name] = p
	}
	if p.rate != rate || p.burst != burst {
		p.rate, p.burst = rate, burst
		p.bucket.Configure(k.clock(now), k.clock(now), rate, burst)
	}
	return p
}

// grant takes the tokens from the pool if it is not empty. A request may take more than there is: one larger than the burst would never be
// admitted otherwise. A host that stands in for the first candidate reports what it grants, as the other one may be alive and grant too. The
// caller holds mu.
func (k *Keepers) grant(o *catalog.Organisation, tokens int64, standsIn bool, now time.Time) Decision {
	p := k.poolOf(o, now)
	p.standsIn = standsIn
	d := Decision{Keeper: k.host}
	if level := p.bucket.Available(k.clock(now)); level > 0 {
		p.bucket.Debit(k.clock(now), float64(tokens))
		d.Admitted = true
		if standsIn {
			k.shareOf(o.Name).charged += float64(tokens)
		}
	} else {
		d.RetryAfter = time.Duration((1 - level) / p.rate * float64(time.Second))
	}
	d.Level = p.bucket.Available(k.clock(now))
	return d
}

// noteRunning records that this process runs. Pools gain nothing for the time in which it stood still. The caller holds mu.
func (k *Keepers) noteRunning(now time.Time) {
	if now.Sub(k.ranAt) > maxStall {
		k.keptSince = now
		for _, p := range k.pools {
			p.bucket.Configure(k.clock(k.ranAt), k.clock(now), p.rate, p.burst)
		}
	}
	k.ranAt = now
}

// Report returns the tokens that this host has spent of its own shares or granted in place of others, for other hosts.
func (k *Keepers) Report(now time.Time) sharedrate.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteRunning(now)
	out := sharedrate.Report{}
	for name, s := range k.shares {
		out[name] = sharedrate.Usage{Charged: s.charged}
	}
	return out
}

// reported is the last report of another host, or of one that stands for several.
type reported struct {
	boot    uint64
	charged sharedrate.Report
	at      time.Time
}

// ApplyReport takes what other hosts report from the pools of this host. The boot id distinguishes the starts of the host,
// each of which counts from zero.
func (k *Keepers) ApplyReport(host string, boot uint64, r sharedrate.Report, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteRunning(now)
	old, known := k.reports[host]
	k.reports[host] = reported{boot, r, now}
	if !known || now.Sub(old.at) > maxReportGap {
		return
	}
	for name, u := range r {
		charged := u.Charged
		if old.boot == boot {
			charged -= old.charged[name].Charged
		}
		if p := k.pools[name]; p != nil {
			left := p.bucket.Available(k.clock(now)) + p.rate*maxDebt.Seconds()
			p.bucket.Debit(k.clock(now), min(charged, max(0, left)))
		}
	}
}
