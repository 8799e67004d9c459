package orglimit

import (
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
)

// knownDemandFraction is the fraction of a coarse rate from which on the known demand is taken for all that there is. Less may be
// the rest of a demand that has ended.
const knownDemandFraction = 0.1

// Coarse describes rates that are so low that one charge is much of what a host may spend. Many hosts would exceed such a rate
// together if each spent what it takes for its own part, or the same charge that was saved up. So each time that a host wants to
// charge it draws whether it may, with the chance that the rate leaves to what all hosts want.
type Coarse struct {
	ChargeTokens float64        // of each charge
	Random       func() float64 // uniform in [0, 1)
}

// coarseState is the state of a bucket of a coarse rate.
type coarseState struct {
	drawn      bool // a number was drawn and no charge made since
	draw       float64
	usual      float64   // tokens a second that this host usually wants, of the latest Want
	knownSince time.Time // since when demand is known; zero: none is
}

// NewCoarse returns the limiter of a host that starts now, without peers, for coarse rates. The demand is what Want states.
func NewCoarse(now time.Time, coarse Coarse) *Limiter {
	l := New(now)
	l.coarse = &coarse
	return l
}

// Want records that this host would make a charge, whether it makes one later or not, and draws for it. usual is what the host usually
// wants of such charges, in tokens a second, from whatever rates they are taken.
func (l *Limiter) Want(o *catalog.Organisation, usual float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.refill(o, now)
	b.usage.Demand += l.coarse.ChargeTokens / demandTimeConstant.Seconds()
	b.coarse.draw, b.coarse.drawn, b.coarse.usual = l.coarse.Random(), true, usual
}

// wins reports whether the number that was drawn for the latest charge that this host wants is within the chance that it has. Until
// the demand has been known for the time that reports take, the other hosts may want as much as this one. They may always want what is
// usual here, as a model that has just been loaded brings its whole demand along. The caller holds mu.
func (l *Limiter) wins(b *bucket, est peerEstimate, now time.Time) bool {
	if !b.coarse.drawn {
		return false
	}
	demand := est.demand - min(b.usage.Demand, l.coarse.ChargeTokens/demandTimeConstant.Seconds()) // beside this charge
	demand = max(demand, float64(est.reachable)*b.coarse.usual)
	if !l.isDemandKnown(b, now) {
		demand = max(demand, float64(est.reachable)*b.usage.Demand)
	}
	supply := b.limit.Rate*est.reachableFraction + max(0, b.sharedTokens)/l.unreportedSeconds()
	return b.coarse.draw*demand < supply
}

// noteDemand notes since when demand is known. The caller holds mu.
func (l *Limiter) noteDemand(b *bucket, est peerEstimate, now time.Time) {
	if l.coarse == nil {
		return
	}
	switch {
	case est.demand < knownDemandFraction*b.limit.Rate:
		b.coarse.knownSince = time.Time{}
	case b.coarse.knownSince.IsZero():
		b.coarse.knownSince = now
	}
}

// isDemandKnown reports whether reports of the demand of all hosts have arrived. The caller holds mu.
func (l *Limiter) isDemandKnown(b *bucket, now time.Time) bool {
	return !b.coarse.knownSince.IsZero() && now.Sub(b.coarse.knownSince) >= l.period+reportDelay
}

// unreportedTokens returns what the other hosts have probably charged since their last reports. Of a coarse rate each of them may
// want as much as this host. The caller holds mu.
func (l *Limiter) unreportedTokens(localDemand, peerDemand float64, reachable int) float64 {
	if l.coarse != nil {
		peerDemand = max(peerDemand, float64(reachable-1)*localDemand)
	}
	return peerDemand * l.unreportedSeconds()
}

// unreportedSeconds returns the mean time from a charge of a peer until its report arrives. The caller holds mu.
func (l *Limiter) unreportedSeconds() float64 { return (l.period/2 + reportDelay).Seconds() }
