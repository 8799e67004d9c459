package quarantine

import (
	"maps"
	"time"
)

const (
	// claimShare of the time in which a state reaches all hosts is how long a host waits for the claims of others before it sends a
	// suspect.
	claimShare = 4
	// minTrialTTL is the least time for which the claim of another host counts that it does not repeat.
	minTrialTTL = 600 * time.Millisecond
)

// trial is a host's claim to send a suspect. Hosts send a suspect that was lost in minStoredCrashes crashes one at a time, so that it takes
// down one target until it is judged, however often it comes.
type trial struct {
	rank uint64 // of the host that claims it; the highest goes first
	own  bool
	sent bool      // at this host: the run may have begun
	at   time.Time // when this host claimed it, or heard of the claim last
}

// ReportedTrial is a report about the claim of a host.
type ReportedTrial struct {
	Rank uint64 `json:"r"`
}

// Guarded reports whether any suspect is sent one at a time, so that keys need to be worked out.
func (d *Requests) Guarded() bool { return d.guarded.Load() }

// Turn tells whether a run of a request may begin.
type Turn uint8

// Turns.
const (
	Free    Turn = iota // it may: the request is no suspect
	Own                 // it may, as the only one; EndRun must be called when it has ended
	Wait                // not now; ask again soon
	Claimed             // as Wait; other hosts should be told that this host is about to send it
)

// Turn returns whether a run of the request may begin now. Only a caller that has a target for it should claim; otherwise Free may also mean
// that the claim is to be had.
func (d *Requests) Turn(k RequestKey, claim bool, now time.Time) Turn {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.suspects[k]
	if s == nil || d.total(s) < minStoredCrashes {
		return Free
	}
	if d.total(s) >= minCrashes {
		for id := range s.crashes {
			if now.Sub(d.crashes[id].knownAt) <= 2*d.settle { // it may be convicted yet
				return Wait
			}
		}
	}
	t := d.trials[k]
	if t != nil && !t.sent && now.Sub(t.at) > max(minTrialTTL, d.settle) {
		t = nil // no longer reported, or claimed by a request that has ended
	}
	switch {
	case t == nil && !claim:
		return Free
	case t == nil:
		d.trials[k] = &trial{rank: d.rank, own: true, at: now}
		return Claimed
	case !t.own || t.sent || !claim || now.Sub(t.at) < d.settle/2/claimShare:
		return Wait
	}
	t.sent = true
	return Own
}

// Claims reports whether this host has the claim to send the request next.
func (d *Requests) Claims(k RequestKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trials[k]
	return t != nil && t.own && !t.sent
}

// EndRun records that a run has ended for which Turn returned Own.
func (d *Requests) EndRun(k RequestKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.trials[k]; t != nil && t.own && t.sent {
		delete(d.trials, k)
	}
}

// reportTrials adds the claims of this host. The caller holds mu.
func (d *Requests) reportTrials(r *RequestReport) {
	for k, t := range d.trials {
		if !t.own {
			continue
		}
		if r.Trials == nil {
			r.Trials = map[string]ReportedTrial{}
		}
		r.Trials[k.String()] = ReportedTrial{t.rank}
	}
}

// mergeTrials adds the claims of another host. The caller holds mu.
func (d *Requests) mergeTrials(reported map[string]ReportedTrial, now time.Time) {
	for text, claim := range reported {
		k, ok := ParseRequestKey(text)
		t := d.trials[k]
		if !ok || t != nil && t.own && (t.sent || t.rank >= claim.Rank) || t == nil && len(d.trials) >= maxStored {
			continue
		}
		d.trials[k] = &trial{rank: claim.Rank, at: now}
	}
}

// expireTrials drops claims that are outdated, and works out whether any suspect is sent one at a time. The caller holds mu.
func (d *Requests) expireTrials(now time.Time) {
	maps.DeleteFunc(d.trials, func(k RequestKey, t *trial) bool {
		return !t.sent && (d.suspects[k] == nil || now.Sub(t.at) > max(2*minTrialTTL, 2*d.settle))
	})
	guarded := false
	for k, s := range d.suspects {
		guarded = guarded || !k.isSegment() && d.total(s) >= minStoredCrashes
	}
	d.guarded.Store(guarded)
}
