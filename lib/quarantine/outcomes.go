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
	// priorAnswering of priorWait is the time that counts as spent after the header before any answer was observed.
	priorAnswering = 100 * time.Millisecond
	priorWait      = time.Second
)

// Outcomes counts how requests ended until their answers began: sums that decay with outcomesTimeConstant. They tell how likely
// a sound request is to be lost in a crash: hardly, unless targets crash all the time.
type Outcomes struct {
	Began     float64 `json:"b,omitempty"`
	Waiting   float64 `json:"w,omitempty"` // lost in crashes before the header of the answer
	Answering float64 `json:"a,omitempty"` // lost after the header
	// WaitSeconds is how long requests took until their answers began, and AnsweringSeconds the part of it after the header.
	WaitSeconds      float64 `json:"t,omitempty"`
	AnsweringSeconds float64 `json:"h,omitempty"`
}

// Plus returns the sum of the outcomes and b times sign.
func (a Outcomes) Plus(b Outcomes, sign float64) Outcomes {
	sum := func(a, b float64) float64 { return max(0, a+sign*b) }
	return Outcomes{
		Began: sum(a.Began, b.Began), Waiting: sum(a.Waiting, b.Waiting), Answering: sum(a.Answering, b.Answering),
		WaitSeconds: sum(a.WaitSeconds, b.WaitSeconds), AnsweringSeconds: sum(a.AnsweringSeconds, b.AnsweringSeconds),
	}
}

// decayed returns the outcomes after the time has passed.
func (a Outcomes) decayed(by time.Duration) Outcomes {
	return Outcomes{}.Plus(a, math.Exp(-float64(by)/float64(outcomesTimeConstant)))
}

// without returns the outcomes without the losses in the crashes.
func (a Outcomes) without(crashes map[string]crash, now time.Time) Outcomes {
	for _, c := range crashes {
		a = a.Plus(outcomeOf(c.answering).decayed(now.Sub(c.at)), -1)
	}
	return a
}

// observe adds an outcome at this host. The caller holds mu.
func (d *Detector) observe(o Outcomes, now time.Time) {
	d.own = d.own.decayed(now.Sub(d.ownUpdated)).Plus(o, 1)
	d.ownUpdated = now
}

// Outcomes returns the outcomes at this host, rounded to keep reports short.
func (d *Detector) Outcomes(now time.Time) Outcomes {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.own.decayed(now.Sub(d.ownUpdated))
	round := func(x, per float64) float64 { return math.Round(per*x) / per }
	return Outcomes{
		Began: round(o.Began, 10), Waiting: round(o.Waiting, 10), Answering: round(o.Answering, 10),
		WaitSeconds: round(o.WaitSeconds, 10), AnsweringSeconds: round(o.AnsweringSeconds, 100),
	}
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

// chances are those of a sound request.
type chances struct {
	lost      float64 // lost in a crash at all; counts for one that is lost before the header of its answer
	answering float64 // lost in a crash after the header; doubled, as each crash of a chain may be of either kind
	// inAnswer is the chance that a request which is lost in a crash is lost after the header; doubled, as several requests
	// may wait at one target.
	inAnswer float64
}

// chances estimates the chances while a segment is suspected. Losses of requests with that segment, or with one in quarantine, do
// not count. The caller holds mu.
func (d *Detector) chances(s *suspect, now time.Time) chances {
	o := d.own.decayed(now.Sub(d.ownUpdated))
	for _, peer := range d.peers {
		o = o.Plus(peer, 1)
	}
	o = o.without(s.crashes, now)
	for _, e := range d.quarantined {
		o = o.without(e.crashes, now)
	}
	total := o.Began + o.Waiting + o.Answering + priorRequests
	chance := func(losses float64) float64 { return (losses + priorLosses + math.Sqrt(losses)) / total }
	lost := min(1, max(minLossChance, chance(o.Waiting+o.Answering)))
	inAnswer := (o.AnsweringSeconds + priorAnswering.Seconds()) / (o.WaitSeconds + priorWait.Seconds())
	return chances{
		lost: lost, answering: min(lost, max(minLossChance, 2*chance(o.Answering))), inAnswer: min(1, max(minLossChance, 2*inAnswer)),
	}
}

// outcomeOf returns the outcome of a request that is lost in a crash.
func outcomeOf(answering bool) Outcomes {
	if answering {
		return Outcomes{Answering: 1}
	}
	return Outcomes{Waiting: 1}
}
