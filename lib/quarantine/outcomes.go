package quarantine

import (
	"math"
	"time"
)

const (
	// outcomesTimeConstant is the time constant over which outcomes of requests are counted.
	outcomesTimeConstant = 10 * time.Second
	// priorLosses of priorRequests requests count as lost in crashes before any was observed.
	priorLosses   = 0.1
	priorRequests = 10
	// minLossChance is the least chance assumed for a sound request to be lost in a crash.
	minLossChance = 0.01
)

// Outcomes counts how requests ended until their answers began: sums that decay with outcomesTimeConstant. They tell how likely
// a sound request is to be lost in a crash: hardly, unless targets crash all the time.
type Outcomes struct {
	Began     float64 `json:"b,omitempty"`
	Waiting   float64 `json:"w,omitempty"` // lost in crashes before the header of the answer
	Answering float64 `json:"a,omitempty"` // lost after the header
}

// Plus returns the sum of the outcomes and b times sign.
func (a Outcomes) Plus(b Outcomes, sign float64) Outcomes {
	return Outcomes{max(0, a.Began+sign*b.Began), max(0, a.Waiting+sign*b.Waiting), max(0, a.Answering+sign*b.Answering)}
}

// decayed returns the outcomes after the time has passed.
func (a Outcomes) decayed(by time.Duration) Outcomes {
	return Outcomes{}.Plus(a, math.Exp(-float64(by)/float64(outcomesTimeConstant)))
}

// observe adds an outcome at this host. The caller holds mu.
func (d *Detector) observe(o Outcomes, now time.Time) {
	d.own = d.own.decayed(now.Sub(d.ownUpdated)).Plus(o, 1)
	d.ownUpdated = now
}

// Outcomes returns the outcomes at this host, rounded to tenths to keep reports short.
func (d *Detector) Outcomes(now time.Time) Outcomes {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.own.decayed(now.Sub(d.ownUpdated))
	tenths := func(x float64) float64 { return math.Round(10*x) / 10 }
	return Outcomes{tenths(o.Began), tenths(o.Waiting), tenths(o.Answering)}
}

// SetPeerOutcomes stores the outcomes of another host, or of several that it stands for, as it last reported them; nil removes
// the host.
func (d *Detector) SetPeerOutcomes(host string, o *Outcomes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o == nil {
		delete(d.peers, host)
	} else {
		d.peers[host] = *o
	}
}

// chances returns the chances that a sound request is lost in a crash: at all, which counts for one that is lost before the
// header of its answer, and after it. The latter is doubled, as each crash of a chain may be of either kind. Losses of requests
// with the suspected segment itself do not count. The caller holds mu.
func (d *Detector) chances(s *suspect, now time.Time) (lost, answering float64) {
	o := d.own.decayed(now.Sub(d.ownUpdated))
	for _, peer := range d.peers {
		o = o.Plus(peer, 1)
	}
	for _, c := range s.crashes {
		o = o.Plus(outcomeOf(c.answering).decayed(now.Sub(c.at)), -1)
	}
	total := o.Began + o.Waiting + o.Answering + priorRequests
	chance := func(losses float64) float64 { return (losses + priorLosses + math.Sqrt(losses)) / total }
	lost = min(1, max(minLossChance, chance(o.Waiting+o.Answering)))
	return lost, min(lost, max(minLossChance, 2*chance(o.Answering)))
}

// outcomeOf returns the outcome of a request that is lost in a crash.
func outcomeOf(answering bool) Outcomes {
	if answering {
		return Outcomes{Answering: 1}
	}
	return Outcomes{Waiting: 1}
}
