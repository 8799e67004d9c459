package balance

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/registry"
)

// ErrFull means that every target that could take the request is expected to begin it too late.
var ErrFull = errors.New("balance: the targets are full; retry when they have room")

// FullError is an ErrFull.
type FullError struct {
	StartIn time.Duration // until the best target is expected to begin the request if it is sent now
	// Sent is the fraction of the demand that is sent at present, the first of it by rank; zero if no target has room for more.
	Sent float64
	// RoomIn is the time until the targets have room for all of the demand, if it falls as it does now; an hour if it does not fall.
	RoomIn time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s (%d ms)", ErrFull, e.StartIn.Milliseconds())
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

const (
	// initialBusyTime is the time that a request is taken to keep a slot of a target before any was observed.
	initialBusyTime = 2 * time.Second
	// busyTimeWeight is the weight of the newest observation in a model's time in a slot.
	busyTimeWeight = 0.05
	// gateFraction is the fraction of the slots of all targets with a model from which on hosts may keep requests back.
	gateFraction = 0.8
	// gateTime is the time in which hosts make up for a difference between the wait at the targets and the one that is wanted. It is
	// several times the age of what they know of each other, so that they do not overshoot.
	gateTime = 2 * time.Second
	// fillTime is that time where the wait is shorter than it may be: targets that idle cost more than a longer wait.
	fillTime = 600 * time.Millisecond
	// chanceQueue is the factor by which the wait may be longer while the demand is not above what the targets can serve, and
	// chanceDemand the fraction of the demand above that from which on it may not.
	chanceQueue  = 2.0
	chanceDemand = 0.5
	// gateStep is the largest factor by which the fraction changes with a sample.
	gateStep = 2.0
	// minSent is the least fraction of the demand that is sent: what is sent shows whether targets begin it.
	minSent = 0.05
	// demandWeight is the weight of the newest sample in the estimated demand; there is one with each state that the host sends.
	demandWeight = 0.25
	// risingDemandWeight is that weight where demand is above what targets can serve and rises: what is sent meanwhile is late.
	risingDemandWeight = 0.5
	// maxDemand bounds the estimated demand, as a multiple of what the targets can serve.
	maxDemand = 10.0
	// gateHistory is the time for which samples are kept, and slopeTime that over which the change of the wait is taken.
	gateHistory = 3 * time.Second
	slopeTime   = 900 * time.Millisecond
	// sampleInterval is the least time between two samples. Hosts send their states each 0.2 s or more.
	sampleInterval = 150 * time.Millisecond
	// gateTTL is the time after the last request for a model for which its gate is kept.
	gateTTL = 30 * time.Second
	// crowdedTargets times the wait that is wanted is the longest one at a target that is chosen while others wait less.
	crowdedTargets = 2
	// minAheadFraction is the least part of a target's queue that an urgent request is expected to wait for.
	minAheadFraction = 0.1
	// aheadWeight is the weight of the newest request in the parts of the priorities.
	aheadWeight = 0.02
	// minTokenRate is the rate in prompt tokens a second at a target below which nothing follows from the tokens that wait there.
	minTokenRate = 100.0
)

// roomModel is what a host has learned of the time that requests spend at targets, by model, or by service for plain ones.
type roomModel struct {
	busy       map[string]time.Duration // mean time that a request keeps a slot
	byPriority map[string][]float64     // parts of the requests, by priority
	gates      map[string]*gate
}

// gate decides which fraction of the demand for a model is sent while its targets are full. All hosts see about the same load of all
// targets together, and so send about the same fraction without telling each other. How much demand there is follows from the load too:
// from its change, and the fraction that was sent.
type gate struct {
	service, model string
	usedAt         time.Time // last request
	wanted         time.Duration
	demand         float64 // requests that arrive over those that the targets can begin
	sent           float64 // fraction that is sent
	slope          float64 // change of the wait, in seconds a second
	firstEvent     float64 // mean time in seconds from a request to its first event at the targets; zero: not known
	meanBacklog    float64 // prompt tokens that wait at a target, on average
	samples        []gateSample
}

// gateSample is the load of the targets at a time, and the fraction that was sent from then on.
type gateSample struct {
	at   time.Time
	wait float64 // seconds; negative if slots are free
	fill float64 // fraction of the targets' work that is done
	sent float64
}

// OnRoom has fn called when load falls at a target of a service, or a target becomes available. fn is called under the lock of the
// balancer: it must return at once, and must not call the balancer.
func (b *Balancer) OnRoom(fn func(service string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onRoom = fn
}

// roomAt reports that load has fallen at a target; the caller holds mu.
func (b *Balancer) roomAt(t *target) {
	if b.onRoom != nil && t.info != nil {
		b.onRoom(t.info.Service)
	}
}

// roomKey returns the key of what is learned of a request's time at targets.
func roomKey(service, model string) string {
	if model == "" {
		return "/" + service
	}
	return model
}

// busyTime returns the mean time that a request keeps a slot of a target; the caller holds mu.
func (b *Balancer) busyTime(key string) time.Duration {
	if d, ok := b.room.busy[key]; ok {
		return d
	}
	return initialBusyTime
}

// observeBusy records how long a request has kept a slot; the caller holds mu.
func (b *Balancer) observeBusy(key string, d time.Duration) {
	if b.room.busy == nil {
		b.room.busy = map[string]time.Duration{}
	}
	old, known := b.room.busy[key]
	if !known {
		old = d
	}
	b.room.busy[key] = old + time.Duration(busyTimeWeight*float64(d-old))
}

// countPriority counts a request that is picked for; the caller holds mu.
func (b *Balancer) countPriority(key string, priority int) {
	if b.room.byPriority == nil {
		b.room.byPriority = map[string][]float64{}
	}
	parts := b.room.byPriority[key]
	for len(parts) <= priority {
		parts = append(parts, 0)
	}
	for i := range parts {
		parts[i] *= 1 - aheadWeight
	}
	parts[priority] += aheadWeight
	b.room.byPriority[key] = parts
}

// aheadFraction returns the part of a target's queue that is served before a request of the priority; the caller holds mu.
func (b *Balancer) aheadFraction(key string, priority int) float64 {
	total, ahead := 0.0, 0.0
	for i, part := range b.room.byPriority[key] {
		total += part
		if i <= priority {
			ahead += part
		}
	}
	if total == 0 {
		return 1
	}
	return max(minAheadFraction, ahead/total)
}

// withRoom returns the candidates that are expected to begin the request within a multiple of q.StartWithin, if the request belongs to
// the part of the demand that is sent. Otherwise it returns the FullError of the best one, or of earlier, that of candidates that come
// first. The caller holds mu.
func (b *Balancer) withRoom(candidates []*target, q *Query, earlier *FullError, now time.Time) ([]*target, *FullError) {
	engine, g := b.engineOf(q), b.gateOf(q, now)
	full := &FullError{StartIn: math.MaxInt64, Sent: g.sent, RoomIn: g.roomIn()}
	var out []*target
	for _, t := range candidates {
		startIn := b.startIn(t, t.local, engine, q)
		full.StartIn = min(full.StartIn, startIn)
		if startIn <= crowdedTargets*q.StartWithin {
			out = append(out, t)
		}
	}
	if len(out) > 0 && (q.Rank < g.sent || g.sent >= 1) {
		return out, nil
	}
	if len(out) == 0 {
		full.Sent = 0
		if g.sent >= 1 { // only these targets are full
			full.RoomIn = full.StartIn - crowdedTargets*q.StartWithin
		}
	}
	if earlier != nil {
		full.StartIn = min(full.StartIn, earlier.StartIn)
	}
	return nil, full
}

// gateOf returns the gate of a request. The caller holds mu.
func (b *Balancer) gateOf(q *Query, now time.Time) *gate {
	key := roomKey(q.Service, q.Call.Model)
	g := b.room.gates[key]
	if g == nil {
		if b.room.gates == nil {
			b.room.gates = map[string]*gate{}
		}
		g = &gate{service: q.Service, model: q.Call.Model, sent: 1}
		b.room.gates[key] = g
	}
	g.usedAt, g.wanted = now, q.StartWithin
	b.sampleGate(g, now)
	return g
}

// sampleGates updates the fractions that are sent from the present load. The caller holds mu.
func (b *Balancer) sampleGates(now time.Time) {
	for key, g := range b.room.gates {
		if now.Sub(g.usedAt) > gateTTL {
			delete(b.room.gates, key)
			continue
		}
		b.sampleGate(g, now)
	}
}

// sampleGate updates the fraction that is sent from the present load, unless that was done just before. The caller holds mu.
func (b *Balancer) sampleGate(g *gate, now time.Time) {
	if n := len(g.samples); n > 0 && now.Sub(g.samples[n-1].at) < sampleInterval {
		return
	}
	wait, fill, ok := b.loadOfAll(g, now)
	if !ok {
		g.sent = 1
		return
	}
	age := b.newsDelay
	if age <= 0 {
		age = defaultNewsDelay
	}
	before := g.sent
	g.update(wait, fill, age, now)
	if g.sent > before && b.onRoom != nil {
		b.onRoom(g.service)
	}
}

// loadOfAll returns the wait at all targets of a gate, and the fraction of their work that is done; ok is false if there are none. The
// caller holds mu.
func (b *Balancer) loadOfAll(g *gate, now time.Time) (wait, fill float64, ok bool) {
	q := &Query{Service: g.service, Call: &passthrough.Call{Model: g.model}}
	engine := b.engineOf(q)
	running, slots, tokens, perSecond, n := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, t := range b.targets {
		if t.info.Slots <= 0 || t.info.Service != g.service || t.info.State != registry.Ready || !b.couldServe(t, *q, now) ||
			!t.health.usable(now) || t.pause.active(now) || b.eligibility.evacuated[t.info.Zone] {
			continue
		}
		load := t.local.Plus(t.peers, 1)
		running, slots, n = running+float64(load.Running), slots+float64(t.info.Slots), n+1
		tokens += float64(load.PrefillTokens)
		perSecond += (t.localPrefillLoad(now) + float64(t.peers.PrefillMSPerSecond)) * prefillTokensPerMS
	}
	if slots == 0 {
		return 0, 0, false
	}
	wait = (running/slots - 1) * b.busyTime(roomKey(g.service, g.model)).Seconds()
	fill = min(1, running/slots)
	g.firstEvent, g.meanBacklog = 0, tokens/n
	if !b.even {
		perSecond /= b.latencyRatio(g.model) // the time of a prefill is counted with the ratio
	}
	if engine != nil && perSecond > minTokenRate*n {
		// By Little's law, whatever it is that requests wait for: slots, KV cache, or the prompts of others. A first event may take as long
		// as the wait that is wanted for the request's own prompt.
		g.firstEvent = tokens / perSecond
		if other := g.firstEvent - g.wanted.Seconds(); other > max(wait, g.wanted.Seconds()/2) {
			wait, fill = other, 1
		}
	}
	return wait, fill, true
}

// update adds a sample, and sets the fraction that is sent so that the wait becomes the one that is wanted. age is that of the load.
func (g *gate) update(wait, fill float64, age time.Duration, now time.Time) {
	g.samples = slices.DeleteFunc(g.samples, func(s gateSample) bool { return now.Sub(s.at) > gateHistory })
	// The load that is known now follows from what was sent until the age of the news ago.
	sentBefore, sentSince := g.meanSent(now.Add(-age-slopeTime), now.Add(-age)), g.meanSent(now.Add(-age), now)
	if old := g.sampleAt(now.Add(-slopeTime)); old != nil {
		g.slope = (wait - old.wait) / now.Sub(old.at).Seconds()
		demand := min(maxDemand, max(0, (g.slope+(fill+old.fill)/2)/sentBefore))
		weight := demandWeight
		if demand > g.demand && g.demand > 1 {
			weight = risingDemandWeight
		}
		g.demand += weight * (demand - g.demand)
	}
	// A queue that is due to chance becomes shorter by itself.
	wanted := g.wanted.Seconds() * min(chanceQueue, max(1, chanceQueue-(g.demand-1)/chanceDemand))
	if fill < gateFraction || g.demand <= 0 {
		g.sent = 1
	} else {
		expected := wait + age.Seconds()*(g.demand*sentSince-fill)
		within := gateTime
		if expected < wanted {
			within = fillTime
		}
		sent := (1 + (wanted-expected)/within.Seconds()) / g.demand
		g.sent = min(1, max(minSent, g.sent/gateStep, min(g.sent*gateStep, sent)))
	}
	g.samples = append(g.samples, gateSample{now, wait, fill, g.sent})
}

// sampleAt returns the latest sample that is not after the time, or else the first one before the newest; nil if there is none.
func (g *gate) sampleAt(at time.Time) (found *gateSample) {
	for i := range g.samples {
		if found == nil || !g.samples[i].at.After(at) {
			found = &g.samples[i]
		}
	}
	return found
}

// meanSent returns the mean of the fraction that was sent between two times.
func (g *gate) meanSent(from, to time.Time) float64 {
	sent, sum, total := 1.0, 0.0, 0.0
	for i, s := range g.samples {
		end := to
		if i+1 < len(g.samples) && g.samples[i+1].at.Before(to) {
			end = g.samples[i+1].at
		}
		begin := s.at
		if begin.Before(from) {
			begin = from
		}
		if d := end.Sub(begin).Seconds(); d > 0 {
			sum, total = sum+d*s.sent, total+d
		}
		sent = s.sent
	}
	if total <= 0 {
		return sent
	}
	return max(minSent, sum/total)
}

// roomIn returns the time until the wait is the one that is wanted, if it falls as it does now.
func (g *gate) roomIn() time.Duration {
	if len(g.samples) == 0 {
		return 0
	}
	above := g.samples[len(g.samples)-1].wait - g.wanted.Seconds()
	switch {
	case above <= 0 && g.sent >= 1:
		return 0
	case g.demand < 1:
		return time.Duration(min(time.Hour.Seconds(), max(0, above)/(1-g.demand)) * float64(time.Second))
	}
	return time.Hour
}

// engineOf returns the engine of the request's service, or nil for plain requests; the caller holds mu.
func (b *Balancer) engineOf(q *Query) *catalog.Engine {
	if b.catalog == nil || q.Call.Model == "" {
		return nil
	}
	if s := b.catalog.Service(q.Service); s != nil {
		return s.Engine
	}
	return nil
}

// startIn returns the time until the target is expected to begin a request: until a slot is free, and for as long as prompts wait there
// longer than is usual at the targets. local is the load of this host there, without the request. The caller holds mu.
func (b *Balancer) startIn(t *target, local Load, engine *catalog.Engine, q *Query) time.Duration {
	if t.info.Slots <= 0 {
		return 0 // it states no limit
	}
	key := roomKey(q.Service, q.Call.Model)
	load := local.Plus(t.peers, 1)
	slots := float64(t.info.Slots)
	wait := max(0, float64(load.Running+1)-slots) / slots * b.busyTime(key).Seconds()
	if engine == nil {
		return time.Duration(wait * float64(time.Second))
	}
	if g := b.room.gates[key]; g != nil && g.meanBacklog > 0 {
		wait = max(wait, g.firstEvent*(float64(load.PrefillTokens)/g.meanBacklog-1))
	}
	return time.Duration(wait * b.aheadFraction(key, q.Priority) * float64(time.Second))
}

// recordStart completes a choice with what is needed to learn from its course, if somebody asks for room; the caller holds mu.
func (b *Balancer) recordStart(c *Choice, q *Query) {
	if b.onRoom == nil {
		return
	}
	c.key, c.startIn = roomKey(q.Service, q.Call.Model), b.startIn(c.picked, c.picked.local.Plus(c.load, -1), b.engineOf(q), q)
	b.countPriority(c.key, max(0, q.Priority))
}

// began records the first event of the answer. The caller holds the mutex of the balancer.
func (c *Choice) began(now time.Time) {
	if c.beganAt.IsZero() && c.key != "" {
		c.beganAt = now
	}
}

// ownPrefill returns the expected time to prefill the request's own prompt; the caller holds the mutex of the balancer.
func (c *Choice) ownPrefill() time.Duration {
	return time.Duration(c.balancer.backlogMS(c.load.PrefillTokens, c.model) * float64(time.Millisecond))
}

// served records the end of the answer. The caller holds the mutex of the balancer.
func (c *Choice) served(now time.Time) {
	if c.key == "" {
		return
	}
	busy := now.Sub(c.pickedAt) - c.startIn
	if !c.beganAt.IsZero() {
		busy = now.Sub(c.beganAt) + min(c.ownPrefill(), c.beganAt.Sub(c.pickedAt))
	}
	c.balancer.observeBusy(c.key, max(0, busy))
}
