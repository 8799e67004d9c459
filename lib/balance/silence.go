package balance

import (
	"time"
)

const (
	// crowdedFraction is the fraction of a target's slots, or of its KV cache, from which a request there may wait in the target's
	// queue. It is below one, as the load of other hosts is known with a delay of up to a second.
	crowdedFraction = 0.8
	// crowdedBacklogFactor times the time that a target needs to prefill what is queued there is a wait that its load explains. The
	// speed of a target is an estimate; targets of one model differ in it by a factor of about two.
	crowdedBacklogFactor = 2
	// lostFactor times the time after which a target counts as silent is the time after which a request counts as lost at a target
	// that answers others and has room.
	lostFactor = 1.25
)

// liveness is what shows that a target works: its answers to this host, and progress at its peers' requests.
type liveness struct {
	answeredAt time.Time // last header, event or end of an answer to this host
	progress   uint64    // times that the reported load of the peers has fallen
}

// recordPeers records a new sum of the peers' loads. Load that falls shows that the target has begun or ended a request.
func (h *liveness) recordPeers(before, after Load) {
	if after.Running < before.Running || after.PrefillTokens < before.PrefillTokens {
		h.progress++
	}
}

// SetSuspects stores the numbers of other hosts that find a target unresponsive, by target, as a host last reported them; nil removes
// the host.
func (b *Balancer) SetSuspects(host string, suspects map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(suspects) == 0 {
		delete(b.peerSuspects, host)
		return
	}
	if b.peerSuspects == nil {
		b.peerSuspects = map[string]map[string]int{}
	}
	b.peerSuspects[host] = suspects
}

// suspected reports whether another host finds the target unresponsive; the caller holds mu.
func (b *Balancer) suspected(id string) bool {
	for _, suspects := range b.peerSuspects {
		if suspects[id] > 0 {
			return true
		}
	}
	return false
}

// Responding records that a part of an answer has arrived.
func (c *Choice) Responding(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.picked.recordResponse(now)
}

// recordResponse records a sign of life of the target; the caller holds the mutex of the balancer.
func (t *target) recordResponse(now time.Time) {
	t.liveness.answeredAt = now
	t.health.misses = 0
}

// Silent reports whether the request, which has waited since the given time, is not worth a further wait: either the target has
// answered nobody for the time after, or it has lost the request, as its load does not explain the wait. A target that is full is
// silent towards this host for long, too: it counts as alive while the load of other hosts there falls.
func (c *Choice) Silent(since time.Time, after time.Duration, now time.Time) bool {
	b, t := c.balancer, c.picked
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.progress != t.liveness.progress {
		c.progress, c.progressAt = t.liveness.progress, now
	}
	crowded := c.crowded(after)
	respondedAt := since
	if t.liveness.answeredAt.After(respondedAt) {
		respondedAt = t.liveness.answeredAt
	}
	if now.Sub(respondedAt) < after {
		return !crowded && now.Sub(since) >= time.Duration(lostFactor*float64(after))
	}
	return b.targets[c.Target.ID] != t || t.health.misses > 0 || b.suspected(c.Target.ID) || !crowded || now.Sub(c.progressAt) >= after
}

// HasRoom reports whether the target is expected to begin the request without a wait in its queue.
func (c *Choice) HasRoom(within time.Duration) bool {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	// A request that probes whether its target answers again marks it as unusable.
	return !c.picked.health.probing && !c.crowded(within)
}

// crowded reports whether the other requests at the target explain a wait of the time within. The caller holds the mutex of the
// balancer.
func (c *Choice) crowded(within time.Duration) bool {
	b, t := c.balancer, c.picked
	load := t.local.Plus(t.peers, 1).Plus(c.load, -1)
	if c.prefillReleased {
		load.PrefillTokens += c.load.PrefillTokens
	}
	if float64(load.Running) >= crowdedFraction*float64(max(1, t.info.Slots)) {
		return true
	}
	if b.catalog == nil {
		return false
	}
	service := b.catalog.Service(t.info.Service)
	if service == nil || service.Engine == nil {
		return false
	}
	backlogMS := b.backlogMS(load.PrefillTokens, c.model)
	return float64(load.CacheTokens) >= crowdedFraction*float64(max(1, service.Engine.CacheTokens)) ||
		crowdedBacklogFactor*backlogMS > float64(within)/float64(time.Millisecond)
}

// Overdue records that the target has not answered in time, while the request goes on to wait for it.
func (c *Choice) Overdue(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	if !c.overdue {
		c.overdue = true
		c.picked.health.unresponsive(now)
	}
}
