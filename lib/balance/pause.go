package balance

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// ErrPaused means that every target that could take the request has asked for a pause.
var ErrPaused = errors.New("balance: the targets have asked for a pause; retry when it has ended")

// PausedError is an ErrPaused.
type PausedError struct {
	Until time.Time // when the first of the pauses ends
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("%s (%d ms)", ErrPaused, time.Until(e.Until).Milliseconds())
}

// Is reports whether target is ErrPaused.
func (e *PausedError) Is(target error) bool { return target == ErrPaused }

const (
	// maxPause bounds a pause. A target that wants a longer one says so again when it is asked once a minute.
	maxPause = time.Minute
	// returnWindow is the time in which the first requests of all hosts after a pause may take returnFraction of the target's
	// slots: all hosts may have been asked for the same pause, and what they send next is not known yet.
	returnWindow   = 100 * time.Millisecond
	returnFraction = 0.5
	// maxReturnDelay bounds the delay of a host, as a target that nobody returns to is idle.
	maxReturnDelay = 2 * time.Second
)

// pause is a pause that a target has asked this host for, and the return from it in steps: one request first, and twice as many in
// each step that follows one in which the target served a request.
type pause struct {
	until   time.Time // zero: none
	allowed int       // requests in the step; zero: any number
	sent    int       // requests in the step, without those that ended unserved
	step    int       // number of the step; never reset
	began   time.Time // when the first request of the step was sent; zero: none was
	served  bool      // the target has begun to serve a request of a return since then
}

// absentPause is the pause of an incarnation that is not in the list of targets. Its entry may come back before the pause ends.
type absentPause struct {
	started int64
	pause   pause
}

// keepPause keeps the pause of a target that leaves the list; the caller holds the mutex.
func (b *Balancer) keepPause(t *target) {
	if t.pause.until.IsZero() {
		return
	}
	if b.absent == nil {
		b.absent = map[string]absentPause{}
	}
	p := t.pause
	if p.allowed > 0 {
		p.beginStep(1) // requests under way are forgotten with the target
	}
	b.absent[t.info.ID] = absentPause{t.info.Started, p}
}

// active reports whether the target must not get requests.
func (p *pause) active(now time.Time) bool { return !p.until.IsZero() && now.Before(p.until) }

// holdsBack reports whether the step allows no further request.
func (p *pause) holdsBack(slots int, now time.Time) bool {
	if p.allowed == 0 {
		return false
	}
	if p.served && now.Sub(p.began) >= returnWindow {
		if p.allowed >= slots {
			p.allowed = 0
			return false
		}
		p.beginStep(2 * p.allowed)
	}
	return p.sent >= p.allowed
}

func (p *pause) beginStep(allowed int) {
	p.allowed, p.sent, p.step, p.began, p.served = allowed, 0, p.step+1, time.Time{}, false
}

// begin starts a pause, or extends one.
func (p *pause) begin(until time.Time) {
	p.until = until
	p.beginStep(1)
}

// send counts a request, and returns the number of its step, or zero outside of a return.
func (p *pause) send(now time.Time) int {
	if p.allowed == 0 {
		return 0
	}
	if p.began.IsZero() {
		p.began = now
	}
	p.sent++
	return p.step
}

// end records whether the target has begun to serve a request of a step.
func (p *pause) end(step int, served bool) {
	switch {
	case step != p.step:
	case served:
		p.served = true
	default:
		p.sent--
	}
}

// SetHosts sets the number of hosts, including this one.
func (b *Balancer) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = n
}

// Pause records that an incarnation of a target wants no request from this host for a time. It returns the end of the pause, and
// whether that is news.
func (b *Balancer) Pause(id string, started int64, d time.Duration, now time.Time) (until time.Time, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.absent, func(_ string, a absentPause) bool { return !a.pause.active(now) })
	t := b.targets[id]
	if t == nil || t.info.Started != started || d <= 0 {
		return time.Time{}, false
	}
	if end := now.Add(min(d, maxPause)); end.After(t.pause.until) {
		t.pause.begin(end.Add(b.returnDelay(t)))
		changed = true
	}
	return t.pause.until, changed
}

// returnDelay returns a random delay that spreads the first requests of all hosts after a pause.
func (b *Balancer) returnDelay(t *target) time.Duration {
	spread := float64(returnWindow) * float64(b.hosts) / (returnFraction * float64(max(1, t.info.Slots)))
	return time.Duration(b.random.Float64() * min(spread, float64(maxReturnDelay)))
}

// Paused reports whether a target has asked this host for a pause that has not ended.
func (b *Balancer) Paused(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	return t != nil && t.pause.active(now)
}

// endReturn records, of a request that was sent after a pause, whether the target has begun to serve it; the caller holds the mutex
// of the balancer.
func (c *Choice) endReturn(served bool) {
	if c.returnStep > 0 {
		c.picked.pause.end(c.returnStep, served)
		c.returnStep = 0
	}
}
