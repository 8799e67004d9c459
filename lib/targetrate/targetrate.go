// Package targetrate keeps the requests to targets in trouble within the rates that they state. Such a rate holds for all hosts
// together and may be below one request a second for each host, so that equal parts would not do: the hosts share it as they
// share the rates of organisations, by what they report to each other.
//
// A cold target, one that has started recently, has such a rate too, for a time: it is stated in its entry and its answers, or assumed.
// A span of a second is shorter than the time that reports take, so each host has a part of the bound that it keeps by itself; see
// coldPart.
//
// It answers targets that are overloaded or restart slowly while the service as a whole has capacity: what a target does not take
// goes to the others. The package does no I/O, and takes the time as an argument.
package targetrate

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/sharedrate"
)

const (
	// tokensPerRequest is the charge of a request. Reports are rounded to whole tokens.
	tokensPerRequest = 1000
	// burstTime is the time at its rate for which requests to a target may be saved up; one request may always be.
	burstTime = 500 * time.Millisecond
	// minRate is the least rate, in requests a second, at which a target is asked, so that it can state another one.
	minRate = 0.2
	// reportTTL is how long a statement is reported to other hosts. A target that gets requests states its limit again.
	reportTTL = 3 * time.Second
)

// Limits are the rates that targets have stated. They are safe for concurrent use.
type Limits struct {
	limiter *sharedrate.Limiter

	mu     sync.Mutex
	stated map[string]statement // guarded by mu; by target
	cold   coldTargets          // guarded by mu
}

// statement is the latest that a target stated.
type statement struct {
	rate  float64           // requests a second; zero: no limit
	limit *sharedrate.Limit // nil: no limit
	at    time.Time
}

// Statement is a statement as hosts report it to each other.
type Statement struct {
	Rate  float64 `json:"r,omitempty"` // requests a second; zero: no limit
	AgeMS int64   `json:"t"`
}

// New returns limits of a host that starts now and knows of none. random need not be safe for concurrent use.
func New(now time.Time, random *rand.Rand) *Limits {
	return &Limits{
		limiter: sharedrate.New(now, tokensPerRequest, random.Float64), stated: map[string]statement{},
		cold: coldTargets{targets: map[string]*cold{}, members: map[string]time.Time{}},
	}
}

// SetHosts sets the number of hosts, including this one, and the time between two reports of a host.
func (l *Limits) SetHosts(n int, period time.Duration) { l.limiter.SetHosts(n, period) }

// Stated records what an answer of a target states: a rate in requests a second, or zero for no limit. It reports whether that
// differs from what the target stated before.
func (l *Limits) Stated(target string, rate float64, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(target, rate, now)
}

// set records a statement unless a later one is known. The caller holds mu.
func (l *Limits) set(target string, rate float64, at time.Time) (changed bool) {
	old, known := l.stated[target]
	if !known && rate == 0 || at.Before(old.at) {
		return false
	}
	s := statement{rate: rate, at: at}
	if rate > 0 {
		s.limit = newLimit(target, max(rate, minRate))
	}
	l.stated[target] = s
	if s.limit != nil {
		l.limiter.Admits(s.limit, at) // from now on, what other hosts send counts
	}
	return rate != old.rate
}

// newLimit returns the limit of a target that takes a number of requests a second.
func newLimit(target string, rate float64) *sharedrate.Limit {
	return &sharedrate.Limit{Name: target, Rate: rate * tokensPerRequest, Burst: max(1, rate*burstTime.Seconds()) * tokensPerRequest}
}

// limits returns the limit that a target states and that of a cold target; either may be nil.
func (l *Limits) limits(target string, now time.Time) (stated, cold *sharedrate.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stated[target].limit, l.coldLimit(target, now)
}

// Want records that a request of this host could be sent to the target, whether that is available now or not, and reports whether
// the target states a rate. usualRate is what this host usually wants of such requests a second, wherever it sends them.
func (l *Limits) Want(target string, usualRate float64, now time.Time) bool {
	limit, _ := l.limits(target, now)
	if limit != nil {
		l.limiter.Want(limit, usualRate*tokensPerRequest, now)
	}
	return limit != nil
}

// Available reports whether this host may send the target a request now.
func (l *Limits) Available(target string, now time.Time) bool {
	stated, cold := l.limits(target, now)
	if cold != nil && !l.coldAvailable(target, lower(stated, cold), now) {
		return false
	}
	return stated == nil || l.limiter.Admits(stated, now)
}

// coldAvailable reports whether this host may send a cold target a request: within this host's part of the bound, and while all
// hosts together are within the rate as far as that is known.
func (l *Limits) coldAvailable(target string, limit *sharedrate.Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.withinPart(target, l.cold.targets[target], now) && l.limiter.HasCredit(limit, now)
}

// lower returns the lower one of two limits, of which the first may be nil.
func lower(a, b *sharedrate.Limit) *sharedrate.Limit {
	if a != nil && a.Rate < b.Rate {
		return a
	}
	return b
}

// HostRate returns the requests a second that this host may send to a target with a limit, or zero if it has none.
func (l *Limits) HostRate(target string, now time.Time) float64 {
	stated, cold := l.limits(target, now)
	rate := 0.0
	if stated != nil {
		rate = l.limiter.Share(stated, now) / tokensPerRequest
	}
	if cold != nil {
		l.mu.Lock()
		part := float64(l.coldPart(target, l.cold.targets[target])) / (boundWindow + arrivalSpread).Seconds()
		l.mu.Unlock()
		if part = min(part, cold.Rate/tokensPerRequest); stated == nil || part < rate {
			rate = part
		}
	}
	return rate
}

// Take counts a request that is sent to the target, and Return one that was not sent after all.
func (l *Limits) Take(target string, now time.Time) {
	stated, cold := l.limits(target, now)
	l.mu.Lock()
	l.noteSent(target, cold != nil, now)
	l.mu.Unlock()
	if cold != nil {
		l.limiter.Count(lower(stated, cold), now)
		return
	}
	l.limiter.Charge(stated, now)
}

// Return takes back a request that was counted by Take and did not reach the target.
func (l *Limits) Return(target string) {
	l.mu.Lock()
	limit := l.stated[target].limit
	if cold := l.noteUnsent(target); limit == nil {
		limit = cold
	}
	l.mu.Unlock()
	l.limiter.Refund(limit)
}

// Retain forgets all targets but those for which keep returns true.
func (l *Limits) Retain(keep func(target string) bool) {
	l.mu.Lock()
	maps.DeleteFunc(l.stated, func(target string, _ statement) bool { return !keep(target) })
	l.mu.Unlock()
	l.limiter.Retain(keep)
}

// Usage returns what this host has sent to targets with a limit, for other hosts.
func (l *Limits) Usage(now time.Time) sharedrate.Report {
	l.dropEnded(now)
	return l.limiter.Report(now)
}

// ApplyUsage applies the usage that a peer reports, which covers a number of hosts. The boot id distinguishes the peer's starts.
func (l *Limits) ApplyUsage(host string, boot uint64, hosts int, r sharedrate.Report, now time.Time) {
	l.limiter.ApplyReport(host, boot, hosts, r, now)
}

// RemovePeer records that a peer's reports no longer arrive.
func (l *Limits) RemovePeer(host string) { l.limiter.RemovePeer(host) }

// Statements returns the latest statements for other hosts, by target.
func (l *Limits) Statements(now time.Time) map[string]Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out map[string]Statement
	for target, s := range l.stated {
		if now.Sub(s.at) > reportTTL {
			continue
		}
		if out == nil {
			out = map[string]Statement{}
		}
		out[target] = Statement{s.rate, now.Sub(s.at).Milliseconds()}
	}
	return out
}

// Merge applies the statements that another host reports.
func (l *Limits) Merge(r map[string]Statement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, s := range r {
		l.set(target, s.Rate, now.Add(-time.Duration(s.AgeMS)*time.Millisecond))
	}
}
