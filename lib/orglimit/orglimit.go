// Package orglimit limits each organisation to its rate over all hosts. It handles organisations that send several times
// their rate, and rates so small that one request takes a large part of them.
//
// The hosts report to each other what they have charged. Each host estimates the token bucket that all hosts share, and
// admits requests as long as the estimate exceeds what its peers have probably charged since their last reports. When the
// shared bucket is nearly empty, each host spends a fraction of the rate that depends on its fraction of the demand. Where one charge
// is more than such a fraction, hosts draw which of them may make it; see Coarse.
//
// The package does no I/O, and takes the time as an argument.
package orglimit

import (
	"maps"
	"math"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
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
	// maxLocalSavings bounds what a host saves up of its share of the rate, expressed as time at that share.
	maxLocalSavings = 250 * time.Millisecond
	// maxSharedDebt is the debt of the shared bucket, expressed as time at the rate, from which on no host admits a request.
	maxSharedDebt = 500 * time.Millisecond
)

// Usage is what a host has charged an organisation, and the organisation's demand at the host.
type Usage struct {
	Charged      float64 `json:"c"` // tokens since the start of the host
	Demand       float64 `json:"d"` // average of the requested tokens a second, whether admitted or not
	SharedTokens float64 `json:"p"` // the host's estimate of the shared bucket, in tokens
}

// Report is a host's usage by organisation.
type Report map[string]Usage

// peer is the last report of another host, or of one that stands for several.
type peer struct {
	hosts    int // that the report covers
	boot     uint64
	report   Report
	received time.Time
}

// bucket is the state of one organisation at this host.
type bucket struct {
	limit         *catalog.Organisation // as last charged
	sharedTokens  float64               // estimate of the bucket that all hosts share
	localTokens   float64               // saved up of this host's share of the rate
	updated       time.Time             // when the tokens were last refilled
	usage         Usage
	demandUpdated time.Time // when usage.Demand was last decayed
	coarse        coarseState
}

// Limiter enforces the limits at one host. It is safe for concurrent use.
type Limiter struct {
	started time.Time
	coarse  *Coarse // nil: a charge is little beside what a host may spend

	mu      sync.Mutex
	hosts   int                // guarded by mu
	period  time.Duration      // guarded by mu; time between two reports of a host
	peers   map[string]peer    // guarded by mu; by host
	buckets map[string]*bucket // guarded by mu; by organisation
}

// New returns the limiter of a host that starts now, without peers.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, hosts: 1, peers: map[string]peer{}, buckets: map[string]*bucket{}}
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

// Report returns this host's usage of all organisations that it has charged.
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

// Decision states whether a charge is admitted, with the values that it depends on.
type Decision struct {
	Admitted          bool
	RetryAfter        time.Duration // time until the charge is admitted if the demand does not change; zero if admitted
	SharedTokens      float64       // estimate of the bucket that all hosts share, in tokens
	LocalTokens       float64       // tokens saved up of this host's share of the rate
	RateFraction      float64       // fraction of the rate that this host may spend when the shared bucket is empty
	ReachableFraction float64       // fraction of the hosts that are reachable, including this one
}

// Charge charges the organisation the tokens unless it is above its rate, and returns the decision. An organisation without
// a rate is not limited.
func (l *Limiter) Charge(o *catalog.Organisation, tokens int64, now time.Time) Decision {
	if o == nil || o.Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, est := l.refill(o, now)
	if l.coarse == nil {
		b.usage.Demand += float64(tokens) / demandTimeConstant.Seconds()
	}
	// A charge may exceed what is available, because requests larger than the burst would never be admitted otherwise.
	available := b.sharedTokens - est.unreportedTokens
	decision := Decision{
		Admitted: true, SharedTokens: b.sharedTokens, LocalTokens: b.localTokens,
		RateFraction: est.rateFraction, ReachableFraction: est.reachableFraction,
	}
	switch {
	case available > 0:
		b.localTokens = max(0, b.localTokens-float64(tokens))
	case l.mayUseShare(b, est, now):
		b.localTokens -= float64(tokens)
	default:
		decision.Admitted, decision.RetryAfter = false, l.retryAfter(o, b, est, available)
		return decision
	}
	b.coarse.drawn = false
	b.sharedTokens -= float64(tokens)
	b.usage.Charged += float64(tokens)
	return decision
}

// mayUseShare reports whether the host may spend of its own share of the rate. The caller holds mu.
func (l *Limiter) mayUseShare(b *bucket, est peerEstimate, now time.Time) bool {
	if b.sharedTokens <= -b.limit.Rate*maxSharedDebt.Seconds() {
		return false
	}
	if l.coarse != nil {
		return l.wins(b, est, now)
	}
	return b.localTokens > 0
}

// Admits reports whether Charge would admit a charge, without charging.
func (l *Limiter) Admits(o *catalog.Organisation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, est := l.refill(o, now)
	return b.sharedTokens > est.unreportedTokens || l.mayUseShare(b, est, now)
}

// HasCredit reports whether there are tokens in the shared bucket, as far as this host knows what others have charged. A host without
// contact counts its equal share only.
func (l *Limiter) HasCredit(o *catalog.Organisation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.refill(o, now)
	return b.sharedTokens > 0
}

// Count charges the organisation the tokens, whether it is above its rate or not.
func (l *Limiter) Count(o *catalog.Organisation, tokens int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.refill(o, now)
	b.coarse.drawn = false
	b.sharedTokens -= float64(tokens)
	b.usage.Charged += float64(tokens)
}

// Share returns the tokens a second that this host may spend when the shared bucket is empty.
func (l *Limiter) Share(o *catalog.Organisation, now time.Time) float64 {
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

// retryAfter returns the time until the shared bucket or this host's share has a token available.
func (l *Limiter) retryAfter(o *catalog.Organisation, b *bucket, est peerEstimate, available float64) time.Duration {
	sharedSeconds := (1 - available) / (o.Rate * est.reachableFraction)
	localSeconds := (1 - b.localTokens) / (o.Rate * est.rateFraction)
	return time.Duration(min(sharedSeconds, localSeconds) * float64(time.Second))
}

// Refund returns the tokens charged for a request that was not run.
func (l *Limiter) Refund(o *catalog.Organisation, tokens int64) {
	if o == nil || o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[o.Name]; b != nil {
		b.sharedTokens += float64(tokens)
		b.usage.Charged -= float64(tokens)
	}
}

// Withdraw takes back a charge for a request that was not run, and its part in the demand. Peers take demand for charges that they have
// not heard of, and would refuse an organisation within its rate whose requests are refused for want of targets and sent again.
func (l *Limiter) Withdraw(o *catalog.Organisation, tokens int64, chargedAt, now time.Time) {
	l.Refund(o, tokens)
	if o == nil || o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[o.Name]; b != nil {
		b.decayDemand(now)
		counted := float64(tokens) / demandTimeConstant.Seconds() * math.Exp(-float64(max(0, now.Sub(chargedAt)))/float64(demandTimeConstant))
		b.usage.Demand = max(0, b.usage.Demand-counted)
	}
}

// refill refills the organisation's bucket up to now, and creates it if there is none. It returns the bucket and what is
// estimated of the peers.
func (l *Limiter) refill(o *catalog.Organisation, now time.Time) (*bucket, peerEstimate) {
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
		b.localTokens += dt * o.Rate * est.rateFraction
		b.updated = now
	}
	// Peers have probably charged tokens that they have not reported yet. The bucket may exceed the burst by these, as it
	// will be charged with them later.
	b.sharedTokens = min(b.sharedTokens, o.Burst*est.reachableFraction+min(est.unreportedTokens, o.Burst))
	b.localTokens = min(b.localTokens, o.Rate*est.rateFraction*maxLocalSavings.Seconds())
	return b, est
}

// peerEstimate is what a host estimates of the other hosts' charges of an organisation.
type peerEstimate struct {
	reachable         int     // hosts that are reachable, including this one
	demand            float64 // tokens a second, of all reachable hosts
	reachableFraction float64 // fraction of the hosts that are reachable, including this one
	rateFraction      float64 // fraction of the rate that this host may spend when the shared bucket is empty
	unreportedTokens  float64 // tokens that peers have probably charged since their last reports
}

// estimatePeers returns the estimate for an organisation. Each unreachable host may spend an equal share of the rate, which
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
