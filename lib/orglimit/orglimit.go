// Package orglimit keeps each organisation to its rate over all hosts. It answers organisations that send several times
// their rate, and demand that is spread unevenly over the hosts: each host spends a share of the rate that follows its
// part of the demand, as the hosts report it to each other.
//
// It does no I/O, and takes the time as an argument.
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
	// reportAge is the age up to which a peer's report counts; several reports are sent in it.
	reportAge = 1500 * time.Millisecond
	// evenShare is the part of the rate that is split evenly among the hosts whatever their demand, so that a host with
	// new demand has some at once.
	evenShare = 0.25
	// startShare is the part of a host's burst with which it starts: one that was restarted may have spent its burst
	// right before.
	startShare = 0.3
	// aloneShare is the share of the hosts' even split that a host uses that hears no peer.
	aloneShare = 1.0
)

// Report is a peer's demand, by organisation, in tokens a second.
type Report map[string]float64

type peer struct {
	report Report
	at     time.Time
}

type bucket struct {
	tokens  float64
	updated time.Time
	share   float64
	demand  float64 // tokens a second
	rated   time.Time
}

// Limiter spends this host's shares. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	hosts   int
	peers   map[string]peer    // guarded by mu; by host
	buckets map[string]*bucket // guarded by mu; by organisation
}

// New returns a limiter.
func New() *Limiter {
	return &Limiter{hosts: 1, peers: map[string]peer{}, buckets: map[string]*bucket{}}
}

// SetHosts states how many hosts exist, this one included.
func (l *Limiter) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(1, n)
}

// SetPeer takes a peer's report over; nil forgets the peer.
func (l *Limiter) SetPeer(host string, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r == nil {
		delete(l.peers, host)
		return
	}
	l.peers[host] = peer{r, now}
}

// Report returns this host's demand.
func (l *Limiter) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Report{}
	for name, b := range l.buckets {
		b.decay(now)
		if b.demand >= 1 {
			out[name] = math.Round(b.demand)
		}
	}
	return out
}

func (b *bucket) decay(now time.Time) {
	if dt := now.Sub(b.rated); dt > 0 {
		b.demand *= math.Exp(-float64(dt) / float64(demandTime))
		b.rated = now
	}
}

// Take charges the organisation. If it is above its rate, it returns false and the time after which the charge would be
// accepted at the present demand.
func (l *Limiter) Take(o *catalog.Organisation, tokens int64, now time.Time) (ok bool, retryAfter time.Duration) {
	if o == nil || o.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refill(o, now)
	b.demand += float64(tokens) / demandTime.Seconds()
	// A charge larger than what is left goes into debt: otherwise large requests would never pass a small share.
	if b.tokens <= 0 {
		missing := -b.tokens + 1
		return false, time.Duration(missing / (o.Rate * b.share) * float64(time.Second))
	}
	b.tokens -= float64(tokens)
	return true, 0
}

// Refund gives back the charge of a request that was not run.
func (l *Limiter) Refund(o *catalog.Organisation, tokens int64) {
	if o == nil || o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[o.Name]; b != nil {
		b.tokens = min(b.tokens+float64(tokens), o.Burst*b.share)
	}
}

// refill brings the organisation's bucket up to now.
func (l *Limiter) refill(o *catalog.Organisation, now time.Time) *bucket {
	b := l.buckets[o.Name]
	if b == nil {
		b = &bucket{updated: now, rated: now}
		b.share = l.share(o, b, now)
		b.tokens = startShare * o.Burst * b.share
		l.buckets[o.Name] = b
	}
	b.decay(now)
	b.share = l.share(o, b, now)
	if dt := now.Sub(b.updated); dt > 0 {
		b.tokens += dt.Seconds() * o.Rate * b.share
		b.updated = now
	}
	b.tokens = min(b.tokens, o.Burst*b.share)
	return b
}

// share is the part of the organisation's rate that this host may spend. Hosts that are not heard of keep the part that
// they use when they hear of nobody.
func (l *Limiter) share(o *catalog.Organisation, b *bucket, now time.Time) float64 {
	reachable, total := 1, min(b.demand, o.Rate)
	own := total
	for _, p := range l.peers {
		if now.Sub(p.at) <= reportAge {
			reachable++
			total += min(p.report[o.Name], o.Rate)
		}
	}
	hosts := max(l.hosts, reachable)
	if reachable == 1 {
		return aloneShare / float64(hosts)
	}
	even := 1 / float64(reachable)
	part := even
	if total > 0 {
		part = evenShare*even + (1-evenShare)*own/total
	}
	return part * float64(reachable) / float64(hosts)
}
