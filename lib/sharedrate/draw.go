package sharedrate

import "time"

// knownDemandFraction is the fraction of a rate from which on the known demand is taken for all that there is. Less may be
// the rest of a demand that has ended.
const knownDemandFraction = 0.1

// Want records that this host would make a charge, whether it makes one later or not, and draws for it. usual is what the host usually
// wants of such charges, in tokens a second, from whatever limits they are taken.
func (l *Limiter) Want(o *Limit, usual float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.refill(o, now)
	b.usage.Demand += l.chargeTokens / demandTimeConstant.Seconds()
	b.draw, b.drawn, b.usual = l.random(), true, usual
}

// wins reports whether the number that was drawn for the latest charge that this host wants is within the chance that it has. Until
// the demand has been known for the time that reports take, the other hosts may want as much as this one. They may always want what is
// usual here, as a model that has just been loaded brings its whole demand along. The caller holds mu.
func (l *Limiter) wins(b *bucket, est peerEstimate, now time.Time) bool {
	if !b.drawn {
		return false
	}
	demand := est.demand - min(b.usage.Demand, l.chargeTokens/demandTimeConstant.Seconds()) // beside this charge
	demand = max(demand, float64(est.reachable)*b.usual)
	if !l.isDemandKnown(b, now) {
		demand = max(demand, float64(est.reachable)*b.usage.Demand)
	}
	supply := b.limit.Rate*est.reachableFraction + max(0, b.sharedTokens)/l.unreportedSeconds()
	return b.draw*demand < supply
}

// noteDemand notes since when demand is known. The caller holds mu.
func (l *Limiter) noteDemand(b *bucket, est peerEstimate, now time.Time) {
	switch {
	case est.demand < knownDemandFraction*b.limit.Rate:
		b.knownSince = time.Time{}
	case b.knownSince.IsZero():
		b.knownSince = now
	}
}

// isDemandKnown reports whether reports of the demand of all hosts have arrived. The caller holds mu.
func (l *Limiter) isDemandKnown(b *bucket, now time.Time) bool {
	return !b.knownSince.IsZero() && now.Sub(b.knownSince) >= l.period+reportDelay
}

// unreportedTokens returns what the other hosts have probably charged since their last reports. Each of them may
// want as much as this host. The caller holds mu.
func (l *Limiter) unreportedTokens(localDemand, peerDemand float64, reachable int) float64 {
	return max(peerDemand, float64(reachable-1)*localDemand) * l.unreportedSeconds()
}

// unreportedSeconds returns the mean time from a charge of a peer until its report arrives. The caller holds mu.
func (l *Limiter) unreportedSeconds() float64 { return (l.period/2 + reportDelay).Seconds() }
