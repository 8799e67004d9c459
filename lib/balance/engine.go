package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
)

// prompt describes a request for the comparison of targets.
type prompt struct {
	model         string   // set by pickEven only, like sharedTokens
	tokens        int64    // of the whole prompt
	segmentKeys   []string // see promptSegments
	segmentTokens []int64  // by segment
	sharedTokens  int64    // of the shared segments
	preferred     *target  // preferred target of the shared segments; nil if there are none
	cacheTokens   int64    // KV cache in tokens that the request takes when it is complete
	latencyRatio  float64  // of the model
}

// estimate is the expected cost of a request at a target.
type estimate struct {
	prefillTokens int64   // prompt tokens that the target has to prefill
	firstEventMS  float64 // time until the first event
	costMS        float64 // firstEventMS plus interference, another zone, recent failures and a random tie-breaker
}

// pickEngine chooses the target of least estimated cost for a request to an engine.
func (b *Balancer) pickEngine(candidates []*target, engine *catalog.Engine, call *passthrough.Call, now time.Time) *Choice {
	if b.even {
		return b.pickEven(candidates, engine, call, now)
	}
	p := prompt{tokens: call.PromptTokens, cacheTokens: requiredCacheTokens(call), latencyRatio: b.latencyRatio(call.Model)}
	p.segmentKeys, p.segmentTokens = promptSegments(call)
	p.preferred = preferredTarget(candidates, p.segmentKeys[:p.sharedSegments()])
	var best *target
	var chosen estimate
	for _, t := range candidates {
		e := b.estimate(t, engine, &p, now)
		if best == nil || e.costMS < chosen.costMS {
			best, chosen = t, e
		}
	}
	best.addPrefill(float64(chosen.prefillTokens)/prefillTokensPerMS*p.latencyRatio, now)
	best.prefixCache.limitTokens = int64(prefixCacheFraction * float64(engine.CacheTokens))
	best.prefixCache.add(p.segmentKeys, p.segmentTokens, now)
	c := b.assign(best, Load{Running: 1, PrefillTokens: chosen.prefillTokens, CacheTokens: p.cacheTokens}, call.Model, now)
	c.ExpectedFirstEvent = time.Duration(chosen.firstEventMS * float64(time.Millisecond))
	return c
}

// sharedSegments returns the number of segments that requests share; the last one belongs to the request or its session.
func (p *prompt) sharedSegments() int { return max(0, len(p.segmentKeys)-1) }

// cachedTokens returns how many tokens of the prompt are probably in the KV cache of the target.
func (p *prompt) cachedTokens(t *target) int64 {
	cachedTokens := t.prefixCache.prefixTokens(p.segmentKeys, p.segmentTokens)
	if t == p.preferred {
		cachedTokens = max(cachedTokens, int64(preferredCachedFraction*float64(sum(p.segmentTokens[:p.sharedSegments()]))))
	}
	return cachedTokens
}

// estimate returns the expected cost of the request at t.
func (b *Balancer) estimate(t *target, engine *catalog.Engine, p *prompt, now time.Time) estimate {
	overflow := overflowFraction(t, engine, p.cacheTokens)
	cachedTokens, repeatedTokens, waitMS := p.cachedTokens(t), int64(0), 0.0
	if overflow > 0 {
		cachedTokens = 0          // running requests evict the cached segments
		repeatedTokens = p.tokens // another request is preempted, and its prompt is prefilled again
		waitMS = overflowBaseMS + overflow*overflowCostMS
	}
	e := estimate{prefillTokens: max(1, p.tokens-cachedTokens)}
	running := float64(t.local.Running + t.peers.Running)
	e.firstEventMS = float64(t.local.PrefillTokens+t.peers.PrefillTokens+e.prefillTokens)/prefillTokensPerMS*p.latencyRatio +
		runningRequestCostMS*running + waitMS
	e.costMS = e.firstEventMS +
		t.interferenceCost(e.prefillTokens+repeatedTokens, p.cacheTokens-p.tokens, p.latencyRatio, now) + b.pathCost(t) +
		failureCostMS*t.health.recentFailureFraction(now) + b.random.Float64()
	return e
}

// localPrefillLoad returns the time in milliseconds per second that the target spends on prefill for this host's requests.
func (t *target) localPrefillLoad(now time.Time) float64 {
	return t.prefillMS / prefillTimeConstant.Seconds() *
		math.Exp(-float64(now.Sub(t.prefillUpdated))/float64(prefillTimeConstant))
}

// prefillFraction returns the fraction of its time that the target spends on prefill, for the requests of all hosts.
func (t *target) prefillFraction(now time.Time) float64 {
	return min(1, (t.localPrefillLoad(now)+float64(t.peers.PrefillMSPerSecond))/1000)
}

// addPrefill records the prefill time of a new request.
func (t *target) addPrefill(ms float64, now time.Time) {
	t.prefillMS = t.prefillMS*math.Exp(-float64(now.Sub(t.prefillUpdated))/float64(prefillTimeConstant)) + ms
	t.prefillUpdated = now
}

// interferenceCost returns the weighted time in milliseconds that a request takes from the requests that run at the target
// while its prompt is prefilled, and loses to the prefill of other prompts while its output is decoded.
func (t *target) interferenceCost(prefillTokens, outputTokens int64, latencyRatio float64, now time.Time) float64 {
	delayedMS := float64(t.local.Running+t.peers.Running) * float64(prefillTokens) / prefillTokensPerMS * latencyRatio
	lostMS := float64(outputTokens) * t.prefillFraction(now) * prefillStepDelayMS
	return interferenceWeight * (delayedMS + lostMS)
}

// requiredCacheTokens returns the KV cache in tokens that a request takes when it is complete.
func requiredCacheTokens(call *passthrough.Call) int64 {
	outputTokens := call.MaxOutput
	if call.OutputHint > 0 {
		outputTokens = min(outputTokens, call.OutputHint)
	}
	return call.PromptTokens + outputTokens
}

// overflowFraction returns the fraction by which one more request would exceed the slots or the KV cache of t, whichever is
// larger; zero if it fits.
func overflowFraction(t *target, engine *catalog.Engine, cacheTokens int64) float64 {
	slots := float64(t.local.Running+t.peers.Running+1)/float64(max(1, t.info.Slots)) - 1
	cache := float64(t.local.CacheTokens+t.peers.CacheTokens+cacheTokens)/float64(max(1, engine.CacheTokens)) - 1
	return max(0, slots, cache)
}

// latencyRatio returns the averaged ratio of observed to expected time until the first event of the model's requests, or 1
// if none was observed. The caller holds mu.
func (b *Balancer) latencyRatio(model string) float64 {
	if ratio, ok := b.latencyRatios[model]; ok {
		return ratio
	}
	return 1
}

// promptSegments returns a key and the tokens of each segment of the prompt. Engines cache segments by model and adapter.
func promptSegments(call *passthrough.Call) (keys []string, tokens []int64) {
	for _, p := range call.Prefix {
		keys = append(keys, call.Model+"/"+call.Adapter+"/"+p.ID)
		tokens = append(tokens, p.Tokens)
	}
	return keys, tokens
}

func sum(tokens []int64) (n int64) {
	for _, t := range tokens {
		n += t
	}
	return n
}

// preferredTarget returns the target that all hosts prefer for the shared segments of a prompt, by rendezvous hashing. It
// returns nil if there are none.
func preferredTarget(candidates []*target, shared []string) *target {
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1]
	var preferred *target
	var highest uint64
	for _, t := range candidates {
		if h := xxhash.Sum64String(key + "@" + t.info.ID); preferred == nil || h > highest {
			preferred, highest = t, h
		}
	}
	return preferred
}
