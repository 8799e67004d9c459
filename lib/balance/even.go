package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
)

const (
	// defaultNewsDelay is the age of peers' loads where SetNewsDelay was not called.
	defaultNewsDelay = 500 * time.Millisecond
	// windowFactor times the news delay is the time in which hosts make up a difference between targets. Below 1 they correct more
	// than there is before they see the effect, and targets fill up in turns.
	windowFactor = 2.0
	// homeLoad is the engine time, as a fraction, that one copy of a shared prefix takes before another target holds it too.
	homeLoad = 0.3
	// homeHysteresis is the fraction of homeLoad by which the load has to fall further before a target holds a prefix no longer.
	homeHysteresis = 0.5
	// spillTargets is how many further targets, in the order of the hash, requests go to when those that hold their prefix are loaded.
	spillTargets = 2
	// prefixTimeConstant is the time constant of the measured load of a prefix. A host of 80 gets a request for a popular one in
	// about a second.
	prefixTimeConstant = 20 * time.Second
	// maxPrefixLoads bounds the prefixes whose load is measured.
	maxPrefixLoads = 4096
	// warmUpTime is the time in which a target that has just come back, and has cached nothing, becomes a home of its prefixes one
	// after the other.
	warmUpTime = 6 * time.Second
	// failureExclusion is the failure fraction above that of the best target at which a target gets no requests.
	failureExclusion = 0.1
)

// SetEvenLoad has Pick spread requests over targets by estimates of what other hosts have sent since their reports.
func (b *Balancer) SetEvenLoad(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.even = on
}

// SetNewsDelay sets the time in which a report of a host reaches all others.
func (b *Balancer) SetNewsDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newsDelay = d
}

// windowMS returns the time in milliseconds in which hosts make up a difference between targets.
func (b *Balancer) windowMS() float64 {
	d := b.newsDelay
	if d <= 0 {
		d = defaultNewsDelay
	}
	return windowFactor * float64(d) / float64(time.Millisecond)
}

// option is a candidate in a choice for even load.
type option struct {
	target   *target
	estimate estimate
	weight   float64 // zero: not used
	order    uint64  // in the rendezvous hash of the prefix
}

// prefixLoad is the load of the requests with a shared prefix, as measured at this host.
type prefixLoad struct {
	ms      float64 // engine time of this host's requests in milliseconds: an exponentially decaying sum as of updated
	updated time.Time
	homes   int // targets that hold the prefix
}

// pickEven chooses a target for a request to an engine such that the targets end up with even loads although all hosts choose by the
// same old reports.
func (b *Balancer) pickEven(candidates []*target, engine *catalog.Engine, call *passthrough.Call, now time.Time) *Choice {
	p := prompt{tokens: call.PromptTokens, cacheTokens: requiredCacheTokens(call), latencyRatio: b.latencyRatio(call.Model)}
	p.segmentKeys, p.segmentTokens = promptSegments(call)
	options := slices.Grow(b.options[:0], len(candidates))
	b.options = options
	work, minFailure := 0.0, 1.0
	for _, t := range candidates {
		minFailure = min(minFailure, t.health.recentFailureFraction(now))
		work += t.localPrefillLoad(now) + float64(t.peers.PrefillMSPerSecond)
		options = append(options, option{target: t})
	}
	work *= b.windowMS() / 1000 / float64(len(candidates)) // engine time that comes to each target in the window
	shared := p.sharedSegments()
	homes := 0
	if shared > 0 {
		homes = b.sortByPrefix(options, &p, shared, now)
	}
	for i := range options {
		p.preferred = nil
		if i < homes {
			p.preferred = options[i].target
		}
		o := &options[i]
		o.estimate = b.estimateEven(o.target, engine, &p, now)
		o.weight = 1 - (o.target.health.recentFailureFraction(now)-minFailure)/failureExclusion
	}
	used := options
	if homes > 0 {
		used = b.homesOrSpill(options, homes, work)
	}
	setWeights(used, work*float64(len(used)))
	chosen := b.draw(used)
	t, e := chosen.target, chosen.estimate
	t.addPrefill(float64(e.prefillTokens)/prefillTokensPerMS*p.latencyRatio, now)
	t.prefixCache.limitTokens = int64(prefixCacheFraction * float64(engine.CacheTokens))
	t.prefixCache.add(p.segmentKeys, p.segmentTokens, now)
	c := b.assign(t, Load{Running: 1, PrefillTokens: e.prefillTokens, CacheTokens: p.cacheTokens}, call.Model, now)
	c.ExpectedFirstEvent = time.Duration(e.firstEventMS * float64(time.Millisecond))
	return c
}

// pickPlainEven chooses a target of a service without engines.
func (b *Balancer) pickPlainEven(candidates []*target, now time.Time) *Choice {
	options := slices.Grow(b.options[:0], len(candidates))
	b.options = options
	running, minFailure := 0.0, 1.0
	for _, t := range candidates {
		minFailure = min(minFailure, t.health.recentFailureFraction(now))
		running += float64(t.local.Running + t.peers.Running)
		options = append(options, option{target: t})
	}
	work := 0.0
	for i := range options {
		o := &options[i]
		slots := float64(max(1, o.target.info.Slots))
		o.estimate.costMS = plainRequestCostMS*float64(o.target.local.Running+o.target.peers.Running)/slots + b.pathCost(o.target)
		o.weight = 1 - (o.target.health.recentFailureFraction(now)-minFailure)/failureExclusion
		// Requests come at the rate of those in flight divided by the time that one takes.
		work += b.windowMS() * running / float64(len(options)) / slots
	}
	setWeights(options, work)
	return b.assign(b.draw(options).target, Load{Running: 1}, "", now)
}

// estimateEven returns the expected cost of the request at t, without its failures and a tie-breaker.
func (b *Balancer) estimateEven(t *target, engine *catalog.Engine, p *prompt, now time.Time) estimate {
	overflow := overflowFraction(t, engine, p.cacheTokens)
	cachedTokens, repeatedTokens, waitMS := p.cachedTokens(t), int64(0), 0.0
	if overflow > 0 {
		cachedTokens, repeatedTokens, waitMS = 0, p.tokens, overflowBaseMS+overflow*overflowCostMS
	}
	e := estimate{prefillTokens: max(1, p.tokens-cachedTokens)}
	e.firstEventMS = float64(t.local.PrefillTokens+t.peers.PrefillTokens+e.prefillTokens)/prefillTokensPerMS*p.latencyRatio +
		runningRequestCostMS*float64(t.local.Running+t.peers.Running) + waitMS
	e.costMS = e.firstEventMS + b.pathCost(t) +
		t.interferenceCost(e.prefillTokens+repeatedTokens, p.cacheTokens-p.tokens, p.latencyRatio, now)
	return e
}

// sortByPrefix moves the targets that hold the shared prefix to the front of the options, followed by those for its overflow, and
// returns the number of the former. All hosts put the targets in the same order.
func (b *Balancer) sortByPrefix(options []option, p *prompt, shared int, now time.Time) int {
	key := xxhash.Sum64String(p.segmentKeys[shared-1])
	for i := range options {
		t := options[i].target
		options[i].order = mix(key ^ t.hash)
		if age := now.Sub(t.seen); !t.seen.IsZero() && age < warmUpTime &&
			float64(mix(options[i].order)>>11)/(1<<53) > float64(age)/float64(warmUpTime) {
			options[i].order = 0 // last
		}
	}
	cachedMS := float64(max(1, p.tokens-int64(preferredCachedFraction*float64(sum(p.segmentTokens[:shared]))))) /
		prefillTokensPerMS * p.latencyRatio
	homes := min(len(options), b.addPrefixLoad(key, cachedMS, now))
	for i := range min(len(options), homes+spillTargets) {
		best := i
		for j := i + 1; j < len(options); j++ {
			if options[j].order > options[best].order {
				best = j
			}
		}
		options[i], options[best] = options[best], options[i]
	}
	return homes
}

// mix is a bijection that spreads its argument over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// addPrefixLoad counts a request with the prefix and returns on how many targets the prefix is kept for the load that all hosts
// together have of it.
func (b *Balancer) addPrefixLoad(key uint64, ms float64, now time.Time) int {
	l := b.prefixLoads[key]
	if l == nil {
		if len(b.prefixLoads) >= maxPrefixLoads {
			b.evictPrefixLoads(now)
		}
		l = &prefixLoad{homes: 1}
		b.prefixLoads[key] = l
	}
	before := l.decayed(now)
	l.ms, l.updated = before+ms, now
	load := before / prefixTimeConstant.Seconds() / 1000 * float64(max(1, b.hosts)) / homeLoad
	l.homes = max(min(l.homes, 1+int(load+homeHysteresis)), 1+int(load))
	return l.homes
}

func (l *prefixLoad) decayed(now time.Time) float64 {
	return l.ms * math.Exp(-float64(now.Sub(l.updated))/float64(prefixTimeConstant))
}

// evictPrefixLoads drops the prefixes that had no request for some time constants, or all.
func (b *Balancer) evictPrefixLoads(now time.Time) {
	for key, l := range b.prefixLoads {
		if now.Sub(l.updated) > 3*prefixTimeConstant {
			delete(b.prefixLoads, key)
		}
	}
	if len(b.prefixLoads) >= maxPrefixLoads {
		clear(b.prefixLoads)
	}
}

// homesOrSpill returns the options that a request with a shared prefix is spread over: the targets that hold the prefix or, as far
// as the wait there is above the wait and the longer prefill at others, these.
func (b *Balancer) homesOrSpill(options []option, homes int, work float64) []option {
	spill := min(len(options), homes+spillTargets)
	home, next, rest := options[:homes], options[homes:spill], options[spill:]
	homeMS, nextMS, restMS := lowestCost(home), lowestCost(next), meanCost(rest)
	other, otherMS := next, nextMS
	if restMS < nextMS {
		other, otherMS = rest, restMS
	}
	if len(other) == 0 || homeMS <= otherMS || b.random.Float64()*work > homeMS-otherMS {
		return home
	}
	return other
}

func meanCost(options []option) float64 {
	total, weights := 0.0, 0.0
	for i := range options {
		if w := options[i].weight; w > 0 {
			total += options[i].estimate.costMS
			weights++
		}
	}
	if weights == 0 {
		return math.Inf(1)
	}
	return total / weights
}

func lowestCost(options []option) float64 {
	lowest := math.Inf(1)
	for i := range options {
		if options[i].weight > 0 {
			lowest = min(lowest, options[i].estimate.costMS)
		}
	}
	return lowest
}

// setWeights sets the weights by which requests are divided over the options: work milliseconds of engine time raise the costs of
// those that get any to the same level.
func setWeights(options []option, work float64) {
	for i := range options {
		options[i].weight = max(0, options[i].weight)
	}
	lowest, used, costs := math.Inf(1), 0.0, 0.0
	for i := range options {
		if o := &options[i]; o.weight > 0 {
			lowest = min(lowest, o.estimate.costMS)
			used += o.weight
			costs += o.weight * o.estimate.costMS
		}
	}
	if used == 0 {
		return
	}
	// Options above the level drop out, which lowers it for the rest; it settles after as many rounds as there are distinct ones to drop.
	level := (work + costs) / used
	for range len(options) {
		dropped := false
		used, costs = 0, 0
		for i := range options {
			o := &options[i]
			switch {
			case o.weight <= 0:
			case o.estimate.costMS >= level && o.estimate.costMS > lowest:
				o.weight, dropped = 0, true
			default:
				used += o.weight
				costs += o.weight * o.estimate.costMS
			}
		}
		if !dropped {
			break
		}
		level = (work + costs) / used
	}
	level = max(level, lowest+1)
	for i := range options {
		options[i].weight *= max(0, level-options[i].estimate.costMS)
	}
}

// draw returns one of the options at random by weight or, if none has a weight, the one of least cost.
func (b *Balancer) draw(options []option) *option {
	total, chosen := 0.0, 0
	for i := range options {
		total += max(0, options[i].weight)
		if options[i].estimate.costMS < options[chosen].estimate.costMS {
			chosen = i
		}
	}
	at := b.random.Float64() * total
	for i := range options {
		if w := options[i].weight; w > 0 {
			chosen = i
			if at -= w; at < 0 {
				break
			}
		}
	}
	return &options[chosen]
}
