package balance

import (
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

// Choice is the target that Pick chose for a request. The request counts in the target's load until it ends. Exactly one
// of the methods that end the request must be called: Answered, Rejected, Refused, ModelMissing, ConnectionBroken,
// Unresponsive or Abandoned.
type Choice struct {
	Target             *registry.Target
	ExpectedFirstEvent time.Duration // time until the first event; zero for plain services
	balancer           *Balancer
	picked             *target
	load               Load
	model              string
	pickedAt           time.Time
	prefillReleased    bool          // the prefill tokens of the load are released
	progress           uint64        // of the target's liveness at progressAt
	progressAt         time.Time     // when progress at the requests of other hosts was last seen
	overdue            bool          // Overdue was called
	key                string        // of what is learned of the time at targets; see roomKey
	startIn            time.Duration // expected wait at the target
	beganAt            time.Time     // when the first event arrived
	returnStep         int           // step of the return from a pause to which the request counts until the target serves it; zero: none
}

// FirstEvent records the first event of the answer: the prompt is prefilled, and the observed time corrects the model's
// latency ratio. Later calls do nothing.
func (c *Choice) FirstEvent(now time.Time) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.endReturn(true)
	c.picked.recordResponse(now)
	c.began(now)
	if c.prefillReleased {
		return
	}
	c.prefillReleased = true
	c.picked.local.PrefillTokens -= c.load.PrefillTokens
	c.balancer.roomAt(c.picked)
	if c.ExpectedFirstEvent > 0 && c.load.PrefillTokens > 0 {
		ratio := min(maxLatencyRatio, max(minLatencyRatio, float64(now.Sub(c.pickedAt))/float64(c.ExpectedFirstEvent)))
		current := b.latencyRatio(c.model)
		b.latencyRatios[c.model] = min(maxLatencyRatio,
			max(minLatencyRatio, current+latencyRatioWeight*(ratio*current-current)))
	}
}

// Unsent records that the request did not reach the target, so that it does not count in the target's rate. It does not end the
// request.
func (c *Choice) Unsent() {
	if c.balancer.rates != nil {
		c.balancer.rates.Return(c.Target.ID)
	}
}

// releaseLoad removes the request from the load of its target; the caller holds the mutex of the balancer.
func (c *Choice) releaseLoad() {
	c.endReturn(false)
	if !c.prefillReleased {
		c.prefillReleased = true
		c.picked.local.PrefillTokens -= c.load.PrefillTokens
	}
	c.picked.local.Running -= c.load.Running
	c.picked.local.CacheTokens -= c.load.CacheTokens
	c.balancer.roomAt(c.picked)
}

// Answered ends the request with an answer; failed states that the answer was a failure of the target.
func (c *Choice) Answered(failed bool, now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.endReturn(true)
	c.releaseLoad()
	c.picked.recordResponse(now)
	if !failed {
		c.served(now)
	}
	c.picked.health.answered(failed, now)
}

// Rejected ends a request that the target reports not to have run.
func (c *Choice) Rejected(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.releaseLoad()
	c.picked.recordResponse(now)
	c.picked.health.rejected(now)
}

// Refused ends a request that was not sent because the target closed a new connection at once.
func (c *Choice) Refused(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.releaseLoad()
	c.picked.health.refused(now)
}

// ModelMissing ends the request because the target reports that the model, or the adapter if one is named, is not loaded.
func (c *Choice) ModelMissing(model, adapter string, now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.releaseLoad()
	name := model
	if adapter != "" {
		name += "/" + adapter
	}
	c.picked.recordResponse(now)
	c.picked.missing[name] = now.Add(missingModelTTL)
}

// ConnectionBroken ends the request because its connection broke before the answer was complete.
func (c *Choice) ConnectionBroken(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.releaseLoad()
	c.picked.health.broken(now)
}

// Unresponsive ends the request without an answer: the target was unreachable, or its response timed out. What the
// target may have cached is forgotten.
func (c *Choice) Unresponsive(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.releaseLoad()
	c.picked.prefixCache.clear()
	c.picked.health.unresponsive(now)
}

// Abandoned ends the request because its caller disconnected or its deadline passed. It doesn't change the health of the
// target.
func (c *Choice) Abandoned() {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.releaseLoad()
	c.picked.health.probing = false
}
