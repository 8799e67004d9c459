package ratekeeper

import (
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
)

const (
	// maxShareSavings bounds what a host saves of its share, expressed as time at that share, unless one request takes more.
	maxShareSavings = 250 * time.Millisecond
	// shareIdle is the time without a use of the share after which earlier savings no longer count: a keeper has answered meanwhile.
	shareIdle = 2 * time.Second
)

// share is what a host may spend of an organisation's rate while no keeper answers: an equal part, whatever it knows of the others.
type share struct {
	saved   float64 // tokens
	updated time.Time
	charged float64 // tokens spent, or granted in place of another host, since the start of this one
}

// shareOf returns the share of an organisation. The caller holds mu.
func (k *Keepers) shareOf(organisation string) *share {
	s := k.shares[organisation]
	if s == nil {
		s = &share{}
		k.shares[organisation] = s
	}
	return s
}

// chargeShare charges this host's share. A share is often less than one request, and an overdraft at each of many hosts would exceed the rate:
// a request that takes more than the savings stakes them, and is admitted with the chance that they are worth.
func (k *Keepers) chargeShare(o *catalog.Organisation, tokens int64, now time.Time) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	rate, charge := o.Rate/float64(k.hosts), float64(tokens)
	s := k.shareOf(o.Name)
	most := max(charge, rate*maxShareSavings.Seconds())
	if idle := now.Sub(s.updated); idle > shareIdle {
		s.saved = rate * maxShareSavings.Seconds()
	} else {
		s.saved = min(most, s.saved+rate*max(0, idle.Seconds()))
	}
	s.updated = now
	stake := min(s.saved, charge)
	s.saved -= stake
	if k.cfg.Random()*charge < stake {
		s.charged += charge
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: time.Duration((charge - s.saved) / rate * float64(time.Second))}
}
