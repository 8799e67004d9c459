// Package orglimit keeps each organisation to its rate over all hosts. It answers organisations that send several times
// their rate, and small rates of which one request takes a large part.
//
// Hosts tell each other what they have charged. Each keeps its own estimate of the one bucket that all share, and charges
// it freely while enough is left for what its peers may have charged since they last reported. When the bucket is
// nearly empty, each host spends a share of the rate that follows its part of the demand.
//
// The package does no I/O, and takes the time as an argument.
package orglimit

import (
	"math"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
)

const (
	// demandTime is the time constant with which demand is averaged.
	demandTime = time.Second
	// reportAge is the least age up to which a peer's report counts.
	reportAge = 1500 * time.Millisecond
	// reportPeriods is the number of periods for which it counts otherwise.
	reportPeriods = 4
	// reportWay is how long a report is on its way.
	reportWay = 100 * time.Millisecond
	// evenShare is the part of the rate that is split evenly among the hosts whatever their demand, so that a host with
	// new demand has some at once.
	evenShare = 0.25
	// startShare is the part of the burst that a host assumes at its start: it does not know what was spent before.
	startShare = 0.5
	// agreeShare is the part by which an estimate moves towards that of a peer with each of its reports. Estimates drift
	// apart when reports are lost and when hosts start.
	agreeShare = 0.05
	// ownTime bounds what a host saves up of its share, in time at its rate.
	ownTime = 250 * time.Millisecond
	// debtTime is the debt of the shared bucket, in time at the rate, from which on hosts spend nothing.
	debtTime = 500 * time.Millisecond
)

// Usage is what a host has charged an organisation, and is asked to.
type Usage struct {
	Charged float64 `json:"c"` // tokens since the start of the host
	Demand  float64 `json:"d"` // tokens a second, whether admitted or not
	Pool    float64 `json:"p"` // the host's estimate of the shared bucket, in tokens
}

// Report is a host's usage by organisation.
type Report map[string]Usage

type peer struct {
	boot   uint64
	report Report
	at     time.Time
}

// bucket is the state of one organisation.
type bucket struct {
	limit   *catalog.Organisation // as last charged
	pool    float64               // estimate of the bucket that all hosts share, in tokens
	own     float64               // saved up of this host's share, in tokens
	updated time.Time
	usage   Usage
	rated   time.Time // when usage.Demand was brought up to date
}

// Limiter is one host's part of the limits. It is safe for concurrent use.
type Limiter struct {
	started time.Time

	mu      sync.Mutex
	hosts   int                // guarded by mu
	period  time.Duration      // guarded by mu; between two reports of a host
	peers   map[string]peer    // guarded by mu; by host
	buckets map[string]*bucket // guarded by mu; by organisation
}

// New returns a limiter of a host that starts now.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, hosts: 1, peers: map[string]peer{}, buckets: map[string]*bucket{}}
}

// SetHosts states how many hosts exist, this one included, and the time between two reports of a host.
func (l *Limiter) SetHosts(n int, period time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.period = max(1, n), period
}

// SetPeer takes the report of a peer over. The boot id tells its starts apart: each counts from zero.
func (l *Limiter) SetPeer(host string, boot uint64, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.peers[host]
	if known {
		for name, u := range r {
			charged := u.Charged
			if old.boot == boot {
				charged -= old.report[name].Charged
			}
			if b := l.buckets[name]; b != nil {
				l.refill(b.limit, now)
				b.pool -= charged
				b.pool += agreeShare * (u.Pool - b.pool)
			}
		}
	}
	l.peers[host] = peer{boot, r, now}
}

// Report returns what this host has charged.
func (l *Limiter) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Report{}
	for name, b := range l.buckets {
		l.refill(b.limit, now)
		out[name] = Usage{Charged: b.usage.Charged, Demand: math.Round(b.usage.Demand), Pool: math.Round(b.pool)}
	}
	return out
}

func (b *bucket) decay(now time.Time) {
	if dt := now.Sub(b.rated); dt > 0 {
		b.usage.Demand *= math.Exp(-float64(dt) / float64(demandTime))
		b.rated = now
	}
}

// Verdict is the answer to a charge, with what decided it.
type Verdict struct {
	Admitted   bool
	RetryAfter time.Duration // after which the charge is accepted if the demand stays as it is; zero if admitted
	Pool       float64       // estimate of the bucket that all hosts share, in tokens
	Own        float64       // saved up of this host's share, in tokens
	Share      float64       // of the rate that is this host's when the bucket is empty
	Reach      float64       // part of the hosts that report
}

// Take charges the organisation unless it is above its rate.
func (l *Limiter) Take(o *catalog.Organisation, tokens int64, now time.Time) Verdict {
	if o == nil || o.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, v := l.refill(o, now)
	b.usage.Demand += float64(tokens) / demandTime.Seconds()
	// A charge may exceed what is left: otherwise requests larger than the burst would never pass.
	left := b.pool - v.unseen
	verdict := Verdict{Admitted: true, Pool: b.pool, Own: b.own, Share: v.share, Reach: v.reach}
	switch {
	case left > 0:
		b.own = max(0, b.own-float64(tokens))
	case b.own > 0 && b.pool > -o.Rate*debtTime.Seconds():
		b.own -= float64(tokens)
	default:
		verdict.Admitted, verdict.RetryAfter = false, l.wait(o, b, v, left)
		return verdict
	}
	b.pool -= float64(tokens)
	b.usage.Charged += float64(tokens)
	return verdict
}

// wait is the time until the shared bucket or the host's share has something left.
func (l *Limiter) wait(o *catalog.Organisation, b *bucket, v view, left float64) time.Duration {
	pool := (1 - left) / (o.Rate * v.reach)
	own := (1 - b.own) / (o.Rate * v.share)
	return time.Duration(min(pool, own) * float64(time.Second))
}

// Refund gives back the charge of a request that was not run.
func (l *Limiter) Refund(o *catalog.Organisation, tokens int64) {
	if o == nil || o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[o.Name]; b != nil {
		b.pool += float64(tokens)
		b.usage.Charged -= float64(tokens)
	}
}

// refill brings the organisation's bucket up to now.
func (l *Limiter) refill(o *catalog.Organisation, now time.Time) (*bucket, view) {
	v := l.view(o.Name, now)
	b := l.buckets[o.Name]
	if b == nil {
		b = &bucket{pool: startShare * o.Burst * v.reach, updated: l.started, rated: now}
		l.buckets[o.Name] = b
	}
	b.limit = o
	b.decay(now)
	if dt := now.Sub(b.updated).Seconds(); dt > 0 {
		b.pool += dt * o.Rate * v.reach
		b.own += dt * o.Rate * v.share
		b.updated = now
	}
	// Charges that are not known yet would have made room under the limit.
	b.pool = min(b.pool, o.Burst*v.reach+min(v.unseen, o.Burst))
	b.own = min(b.own, o.Rate*v.share*ownTime.Seconds())
	return b, v
}

// view is what a host knows of the others.
type view struct {
	reach  float64 // part of the hosts that report, this one included
	share  float64 // of the rate that this host may spend when the bucket is empty
	unseen float64 // tokens that peers have probably charged since their last reports
}

// view returns what is known of the demand. Hosts that are not heard of may spend an even part each; it is left to them.
func (l *Limiter) view(name string, now time.Time) view {
	own := 0.0
	if b := l.buckets[name]; b != nil {
		b.decay(now)
		own = b.usage.Demand
	}
	reachable, demand := 1, 0.0
	for _, p := range l.peers {
		if now.Sub(p.at) <= max(reportAge, reportPeriods*l.period) {
			reachable++
			demand += p.report[name].Demand
		}
	}
	v := view{
		reach:  float64(reachable) / float64(max(l.hosts, reachable)),
		unseen: demand * (l.period/2 + reportWay).Seconds(),
	}
	part := 1 / float64(reachable)
	if own+demand > 0 {
		part = evenShare*part + (1-evenShare)*own/(own+demand)
	}
	v.share = part * v.reach
	return v
}
