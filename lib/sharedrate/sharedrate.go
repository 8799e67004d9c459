// Package sharedrate keeps all hosts together within rates that are so low that one charge is much of what a host may spend, such as the requests
// a second that a target in trouble takes.
//
// The hosts report to each other what they have charged. Each host estimates the token bucket that all hosts share, and admits charges as long as
// the estimate exceeds what its peers have probably charged since their last reports. Beyond that, each time that a host wants to charge it draws
// whether it may, with the chance that the rate leaves to what all hosts want: hosts that each spent their own part, or the same charge that was
// saved up, would exceed such a rate together. So the rate is kept on average, not in each span; package ratekeeper keeps it in each.
//
// The package does no I/O, and takes the time as an argument.
package sharedrate

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = time.Second
	// minReportTTL is the minimum time for which a peer counts as reachable after its report.
	minReportTTL = 1500 * time.Millisecond
	// reportTTLPeriods is that time in report periods, which applies if it is longer than minReportTTL.
	reportTTLPeriods = 4
	// reportDelay is the time that a report takes to reach the other hosts.
	reportDelay = 100 * time.Millisecond
	// equalShareFraction is the fraction of the rate that is divided equally among the hosts, regardless of their demand,
	// so that a host with new demand can spend at once.
	equalShareFraction = 0.25
	// initialBurstFraction is the fraction of the burst that a host assumes to be in the shared bucket when it starts. It
	// does not know what was charged before.
	initialBurstFraction = 0.5
	// convergenceTime is the time constant with which the estimates of all hosts converge. They drift apart when hosts start
	// and when they lose each other. It is long beside the time that a report takes, because an estimate that moves towards
	// an older one loses a part of what was charged since.
	convergenceTime = 10 * time.Second
	// maxSharedDebt is the debt of the shared bucket, expressed as time at the rate, from which on no host admits a charge.
	maxSharedDebt = 500 * time.Millisecond
)

// Limit is a rate that all hosts share.
type Limit struct {
	Name  string
	Rate  float64 // tokens a second
	Burst float64 // capacity of the token bucket, in tokens
}

// Usage is what a host has charged a limit, and the demand for it at the host.
type Usage struct {
	Charged      float64 `json:"c"`           // tokens since the start of the host
	Demand       float64 `json:"d,omitempty"` // average of the requested tokens a second, whether admitted or not
	SharedTokens float64 `json:"p,omitempty"` // the host's estimate of the shared bucket, in tokens
}

// Report is a host's usage by the name of the limit.
type Report map[string]Usage

// peer is the last report of another host, or of one that stands for several.
type peer struct {
	hosts    int // that the report covers
	boot     uint64
	report   Report
	received time.Time
}

// bucket is the state of one limit at this host.
type bucket struct {
	limit         *Limit    // as last charged
	sharedTokens  float64   // estimate of the bucket that all hosts share
	updated       time.Time // when the tokens were last refilled
	usage         Usage
	demandUpdated time.Time // when usage.Demand was last decayed
	drawn         bool      // a number was drawn and no charge made since
	draw          float64
	usual         float64   // tokens a second that this host usually wants, of the latest Want
	knownSince    time.Time // since when demand is known; zero: none is
}

// Limiter enforces limits at one host. It is safe for concurrent use.
type Limiter struct {
	started      time.Time
	chargeTokens float64
	random       func() float64

	mu      sync.Mutex
	hosts   int                // guarded by mu
	period  time.Duration      // guarded by mu; time between two reports of a host
	peers   map[string]peer    // guarded by mu; by host
	buckets map[string]*bucket // guarded by mu; by name of the limit
}

// New returns the limiter of a host that starts now, without peers. Each charge takes chargeTokens; random is uniform in [0, 1) and is called
// while no other call is.
func New(now time.Time, chargeTokens float64, random func() float64) *Limiter {
	return &Limiter{
		started: now, chargeTokens: chargeTokens, random: random, hosts: 1, peers: map[string]peer{}, buckets: map[string]*bucket{},
	}
}

// SetHosts sets the number of hosts, including this one, and the time between two reports of a host.
func (l *Limiter) SetHosts(n int, period time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.period = max(1, n), period
}

// ApplyReport applies a peer's report, which covers a number of hosts: it charges the shared buckets with what the peer has charged since its last
// report. The boot id distinguishes the peer's starts, as Usage.Charged begins at zero with each.
func (l *Limiter) ApplyReport(host string, boot uint64, hosts int, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.peers[host]
	if known {
		fraction := float64(hosts) / float64(max(l.hosts, hosts))
		convergence := fraction * (1 - math.Exp(-max(0, now.Sub(old.received).Seconds())/convergenceTime.Seconds()))
		for name, u := range r {
			charged := u.Charged
			if old.boot == boot {
				charged -= old.report[name].Charged
			}
			if b := l.buckets[name]; b != nil {
				l.refill(b.limit, now)
				b.sharedTokens -= charged
				b.sharedTokens += convergence * (u.SharedTokens - b.sharedTokens)
			}
		}
	}
	l.peers[host] = peer{hosts, boot, r, now}
}

// RemovePeer records that a peer's reports no longer arrive, or no longer count because others cover its hosts. What it has
// charged stays charged.
func (l *Limiter) RemovePeer(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[host]; ok {
		p.received = time.Time{}
		l.peers[host] = p
	}
}

// Report returns this host's usage of all limits that it has charged.
func (l *Limiter) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Report{}
	for name, b := range l.buckets {
		l.refill(b.limit, now)
		out[name] = Usage{
			Charged: b.usage.Charged, Demand: math.Round(b.usage.Demand),
			SharedTokens: math.Round(b.sharedTokens),
		}
	}
	return out
}

// decayDemand lets the average demand decay until now.
func (b *bucket) decayDemand(now time.Time) {
	if dt := now.Sub(b.demandUpdated); dt > 0 {
		b.usage.Demand *= math.Exp(-float64(dt) / float64(demandTimeConstant))
		b.demandUpdated = now
	}
}

// Charge charges the limit once if that is admitted, and reports whether it is. Without a limit everything is.
func (l *Limiter) Charge(o *Limit, now time.Time) bool {
	if o == nil || o.Rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, est := l.refill(o, now)
	if !l.admits(b, est, now) {
		return false
	}
	l.charge(b)
	return true
}

// charge counts a charge. The caller holds mu.
func (l *Limiter) charge(b *bucket) {
	b.drawn = false
	b.sharedTokens -= l.chargeTokens
	b.usage.Charged += l.chargeTokens
}

// admits reports whether a charge is admitted: from the shared bucket, or by the number that was drawn. The caller holds mu.
func (l *Limiter) admits(b *bucket, est peerEstimate, now time.Time) bool {
	return b.sharedTokens > est.unreportedTokens ||
		b.sharedTokens > -b.limit.Rate*maxSharedDebt.Seconds() && l.wins(b, est, now)
}

// Admits reports whether Charge would admit a charge, without charging.
func (l *Limiter) Admits(o *Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, est := l.refill(o, now)
	return l.admits(b, est, now)
}

// HasCredit reports whether there are tokens in the shared bucket, as far as this host knows what others have charged. A host without
// contact counts its equal share only.
func (l *Limiter) HasCredit(o *Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.refill(o, now)
	return b.sharedTokens > 0
}

// Count charges the limit once, whether that is admitted or not.
func (l *Limiter) Count(o *Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.refill(o, now)
	l.charge(b)
}

// Share returns the tokens a second that this host may spend when the shared bucket is empty.
func (l *Limiter) Share(o *Limit, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, est := l.refill(o, now)
	return o.Rate * est.rateFraction
}

// Retain drops all buckets but those of the names for which keep returns true.
func (l *Limiter) Retain(keep func(name string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.buckets, func(name string, _ *bucket) bool { return !keep(name) })
}

// Refund takes back a charge that was not used.
func (l *Limiter) Refund(o *Limit) {
	if o == nil || o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[o.Name]; b != nil {
		b.sharedTokens += l.chargeTokens
		b.usage.Charged -= l.chargeTokens
	}
}

// refill refills the limit's bucket up to now, and creates it if there is none. It returns the bucket and what is
// estimated of the peers.
func (l *Limiter) refill(o *Limit, now time.Time) (*bucket, peerEstimate) {
	est := l.estimatePeers(o.Name, now)
	b := l.buckets[o.Name]
	if b == nil {
		b = &bucket{sharedTokens: initialBurstFraction * o.Burst * est.reachableFraction, updated: l.started, demandUpdated: now}
		l.buckets[o.Name] = b
	}
	b.limit = o
	b.decayDemand(now)
	l.noteDemand(b, est, now)
	if dt := now.Sub(b.updated).Seconds(); dt > 0 {
		b.sharedTokens += dt * o.Rate * est.reachableFraction
		b.updated = now
	}
	// Peers have probably charged tokens that they have not reported yet. The bucket may exceed the burst by these, as it
	// will be charged with them later.
	b.sharedTokens = min(b.sharedTokens, o.Burst*est.reachableFraction+min(est.unreportedTokens, o.Burst))
	return b, est
}

// peerEstimate is what a host estimates of the other hosts' charges of a limit.
type peerEstimate struct {
	reachable         int     // hosts that are reachable, including this one
	demand            float64 // tokens a second, of all reachable hosts
	reachableFraction float64 // fraction of the hosts that are reachable, including this one
	rateFraction      float64 // fraction of the rate that this host may spend when the shared bucket is empty
	unreportedTokens  float64 // tokens that peers have probably charged since their last reports
}

// estimatePeers returns the estimate for a limit. Each unreachable host may spend an equal share of the rate, which
// the reachable hosts leave to it.
func (l *Limiter) estimatePeers(name string, now time.Time) peerEstimate {
	localDemand := 0.0
	if b := l.buckets[name]; b != nil {
		b.decayDemand(now)
		localDemand = b.usage.Demand
	}
	reachable, peerDemand := 1, 0.0
	for _, p := range l.peers {
		if now.Sub(p.received) <= max(minReportTTL, reportTTLPeriods*l.period) {
			reachable += p.hosts
			peerDemand += p.report[name].Demand
		}
	}
	est := peerEstimate{
		reachable: reachable, demand: localDemand + peerDemand,
		reachableFraction: float64(reachable) / float64(max(l.hosts, reachable)),
		unreportedTokens:  l.unreportedTokens(localDemand, peerDemand, reachable),
	}
	fraction := 1 / float64(reachable)
	if localDemand+peerDemand > 0 {
		fraction = equalShareFraction*fraction + (1-equalShareFraction)*localDemand/(localDemand+peerDemand)
	}
	est.rateFraction = fraction * est.reachableFraction
	return est
}
