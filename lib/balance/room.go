package balance

import (
	"errors"
	"fmt"
	"math"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
)

// ErrFull means that every target that could take the request is expected to begin it too late.
var ErrFull = errors.New("balance: the targets are full; retry when they have room")

// FullError is an ErrFull.
type FullError struct {
	StartIn time.Duration // until the best target is expected to begin the request
	// PerSecond is the part of this host in the requests a second that the targets in question begin.
	PerSecond float64
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
	// pacedFraction is the fraction of the slots of all targets in question from which on hosts send no more than their parts. Below it
	// there is room for what other hosts send before it is known.
	pacedFraction = 0.8
	// newsAge is the time after which what a host sends shows in the loads that others know. It is the time in which a
	// difference between the expected and the wanted wait at the targets is made up for.
	newsAge = time.Second
	// savedUp is the time in which a host saves up its part, and minSavedUp the least number of requests that it saves up: requests
	// at one host are rare in large fleets.
	savedUp    = 500 * time.Millisecond
	minSavedUp = 2.0
	// urgentOverdraft is the number of requests that a host may send beyond its part for each priority more urgent than the least urgent
	// that it sees. Less urgent ones wait for so much longer.
	urgentOverdraft = 1.0
	// minAheadFraction is the least part of a target's queue that an urgent request is expected to wait for.
	minAheadFraction = 0.1
	// aheadWeight is the weight of the newest request in the parts of the priorities.
	aheadWeight = 0.02
	// cacheFactorStep is the relative change of the KV cache that a target is taken to have, with each request that shows that it has more
	// or less. The cache that requests are counted with is an upper bound, as few use all of their output.
	cacheFactorStep = 0.02
	// maxCacheFactor bounds that factor.
	maxCacheFactor = 8.0
	// noWait is the longest wait at a target that counts as none.
	noWait = 50 * time.Millisecond
)

// roomModel is what a host has learned of the time that requests spend at targets, by model, or by service for plain ones.
type roomModel struct {
	busy        map[string]time.Duration // mean time that a request keeps a slot
	cacheFactor map[string]float64       // KV cache that targets have, as requests are counted, over what is stated
	byPriority  map[string][]float64     // parts of the requests, by priority
	parts       map[string]*part         // of this host
}

// part is the number of requests that a host may send to targets that are nearly full, a token bucket that is filled with its part of
// the requests that these begin.
type part struct {
	tokens  float64
	updated time.Time
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

// observeWait learns from the time that a request has waited at a target, where its KV cache was expected to be the reason for a wait.
// The caller holds mu.
func (b *Balancer) observeWait(key string, expected, observed time.Duration) {
	factor := b.cacheFactor(key)
	switch {
	case expected <= 0:
		return
	case observed < noWait:
		factor *= 1 + cacheFactorStep
	case observed > expected:
		factor *= 1 - cacheFactorStep
	}
	if b.room.cacheFactor == nil {
		b.room.cacheFactor = map[string]float64{}
	}
	b.room.cacheFactor[key] = min(maxCacheFactor, max(1, factor))
}

func (b *Balancer) cacheFactor(key string) float64 { return max(1, b.room.cacheFactor[key]) }

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

// withRoom returns the candidates that are expected to begin the request within q.StartWithin, as long as this host may send its part.
// If there are none, it returns the FullError of the best one, or of earlier, that of candidates that come first. The caller holds mu.
func (b *Balancer) withRoom(candidates []*target, q *Query, earlier *FullError, now time.Time) ([]*target, *FullError) {
	var out []*target
	key, engine := roomKey(q.Service, q.Call.Model), b.engineOf(q)
	best, total := time.Duration(math.MaxInt64), time.Duration(0)
	running, local, slots := 0.0, 0.0, 0.0
	for _, t := range candidates {
		startIn := b.startIn(t, t.local, engine, q)
		if startIn <= q.StartWithin {
			out = append(out, t)
		}
		best, total = min(best, startIn), total+startIn
		local += float64(t.local.Running)
		running += float64(t.local.Running + t.peers.Running)
		slots += float64(max(1, t.info.Slots))
	}
	mean := total / time.Duration(len(candidates))
	// One request more at each host: a host without a request at the targets has a part, too.
	share := (local + 1) / (running + float64(max(1, b.hosts)))
	perSecond := share * slots / b.busyTime(key).Seconds()
	full := &FullError{StartIn: best, PerSecond: perSecond}
	if mean > 0 || running >= pacedFraction*slots {
		p := b.refillPart(key, perSecond*max(0, 1+(q.StartWithin-mean).Seconds()/newsAge.Seconds()), now)
		if missing := 1 - p.tokens - b.overdraft(key, q.Priority); missing > 0 {
			out = nil
			full.StartIn = max(mean, q.StartWithin) + time.Duration(missing/perSecond*float64(time.Second))
		}
	}
	if len(out) > 0 {
		return out, nil
	}
	if earlier != nil {
		full.StartIn, full.PerSecond = min(full.StartIn, earlier.StartIn), full.PerSecond+earlier.PerSecond
	}
	return nil, full
}

// refillPart fills this host's part of a key at the rate. The caller holds mu.
func (b *Balancer) refillPart(key string, perSecond float64, now time.Time) *part {
	limit := max(minSavedUp, perSecond*savedUp.Seconds())
	p := b.room.parts[key]
	if p == nil {
		if b.room.parts == nil {
			b.room.parts = map[string]*part{}
		}
		p = &part{limit, now}
		b.room.parts[key] = p
	}
	p.tokens = min(limit, p.tokens+max(0, now.Sub(p.updated).Seconds())*perSecond)
	p.updated = now
	return p
}

// overdraft returns the requests that the host may send beyond its part for a request of the priority. The caller holds mu.
func (b *Balancer) overdraft(key string, priority int) float64 {
	return urgentOverdraft * float64(max(0, len(b.room.byPriority[key])-1-max(0, priority)))
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

// startIn returns the time until the target is expected to begin a request: until a slot and KV cache are free, and the prompts
// ahead of it are prefilled. local is the load of this host there, without the request. The caller holds mu.
func (b *Balancer) startIn(t *target, local Load, engine *catalog.Engine, q *Query) time.Duration {
	key := roomKey(q.Service, q.Call.Model)
	load, busy := local.Plus(t.peers, 1), float64(b.busyTime(key))
	slots := float64(max(1, t.info.Slots))
	wait := max(0, float64(load.Running+1)-slots) / slots * busy
	if engine != nil {
		size := float64(max(1, engine.CacheTokens))
		cache := max(0, float64(load.CacheTokens+requiredCacheTokens(q.Call))/(size*b.cacheFactor(key))-1) * busy
		prefill := float64(load.PrefillTokens) / prefillTokensPerMS * b.latencyRatio(q.Call.Model) * float64(time.Millisecond)
		wait = max(wait, cache, prefill) * b.aheadFraction(key, q.Priority)
	}
	return time.Duration(wait)
}

// recordStart completes a choice with what is needed to learn from its course; the caller holds mu.
func (b *Balancer) recordStart(c *Choice, q *Query) {
	c.key, c.startIn = roomKey(q.Service, q.Call.Model), b.startIn(c.picked, c.picked.local.Plus(c.load, -1), b.engineOf(q), q)
	b.countPriority(c.key, max(0, q.Priority))
	if p := b.room.parts[c.key]; p != nil {
		p.tokens--
	}
}

// began records the first event of the answer: the wait at the target was the time before it without the request's own prefill. The
// caller holds the mutex of the balancer.
func (c *Choice) began(now time.Time) {
	if c.beganAt.IsZero() && c.key != "" {
		c.beganAt = now
		c.balancer.observeWait(c.key, c.startIn, now.Sub(c.pickedAt)-c.ownPrefill())
	}
}

// ownPrefill returns the expected time to prefill the request's own prompt; the caller holds the mutex of the balancer.
func (c *Choice) ownPrefill() time.Duration {
	return time.Duration(float64(c.load.PrefillTokens) / prefillTokensPerMS * c.balancer.latencyRatio(c.model) * float64(time.Millisecond))
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

// returnPart takes back that the request was counted in this host's part.
func (c *Choice) returnPart() {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	if p := c.balancer.room.parts[c.key]; p != nil {
		p.tokens++
	}
}
