package balance

import (
	"cmp"
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
	homeLoad = 0.5
	// homeHysteresis is the fraction of homeLoad by which the load has to fall further before a target holds a prefix no longer.
	homeHysteresis = 0.5
	// cachedAtHome is the fraction of a shared prompt prefix that counts as cached at a target that holds it.
	cachedAtHome = 0.8
	// repeatWeight times the time of a repeated prefill is what it costs the other requests at the target.
	repeatWeight = 0.5
	// spillTargets is how many further targets, in the order of the hash, requests go to when those that hold their prefix are loaded.
	spillTargets = 2
	// prefixTimeConstant is the time constant of the measured load of a prefix. A host of 80 gets a request for a popular one in
	// about a second.
	prefixTimeConstant = 20 * time.Second
	// maxPrefixLoads bounds the prefixes whose load is measured.
	maxPrefixLoads = 4096
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
	prefill  float64 // engine time in milliseconds a second that comes to the target from all hosts
	weight   float64 // zero: not used
	order    float64 // by the rendezvous hash of the prefix
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
	p := prompt{model: call.Model, tokens: call.PromptTokens, cacheTokens: requiredCacheTokens(call), latencyRatio: b.latencyRatio(call.Model)}
	p.segmentKeys, p.segmentTokens = promptSegments(call)
	options := b.newOptions(candidates, now)
	work, backlog := 0.0, 0.0
	for i := range options {
		o := &options[i]
		backlog += float64(o.target.local.PrefillTokens+o.target.peers.PrefillTokens) / prefillTokensPerMS
		o.prefill = float64(o.target.peers.PrefillMSPerSecond)
		if o.target.prefillMS > 0 {
			o.prefill += o.target.localPrefillLoad(now)
		}
		work += o.prefill
	}
	b.learnSpeeds(options, now)
	// Engine time that comes to a target in the window. Where much more waits, differences take longer to make up.
	work = max(work*b.windowMS()/1000, backlog) / float64(len(options))
	shared := p.sharedSegments()
	p.sharedTokens = sum(p.segmentTokens[:shared])
	homes := 0
	if shared > 0 {
		homes = b.sortByPrefix(options, &p, shared, now)
	}
	for i := range options {
		b.estimateEven(&options[i], engine, &p, i < homes)
	}
	used := options
	if homes > 0 {
		b.prefixRequests++
		used = b.homesOrSpill(options, homes, work, float64(p.sharedTokens)/prefillTokensPerMS*p.latencyRatio)
	}
	setWeights(used, work*float64(len(used)))
	chosen := b.draw(used)
	t, e := chosen.target, chosen.estimate
	t.addPrefill(float64(e.prefillTokens)/prefillTokensPerMS, now)
	t.prefixCache.limitTokens = int64(prefixCacheFraction * float64(engine.CacheTokens))
	t.prefixCache.add(p.segmentKeys, p.segmentTokens, now)
	c := b.assign(t, Load{Running: 1, PrefillTokens: e.prefillTokens, CacheTokens: p.cacheTokens}, call.Model, now)
	c.ExpectedFirstEvent = time.Duration(e.firstEventMS * float64(time.Millisecond))
	return c
}

// newOptions returns the candidates as options with their capacities as weights.
func (b *Balancer) newOptions(candidates []*target, now time.Time) []option {
	options := slices.Grow(b.options[:0], len(candidates))
	minFailure := 1.0
	for _, t := range candidates {
		failure := t.health.recentFailureFraction(now)
		minFailure = min(minFailure, failure)
		options = append(options, option{target: t, weight: failure})
	}
	for i := range options {
		options[i].weight = max(0, 1-(options[i].weight-minFailure)/failureExclusion) * options[i].target.speed
	}
	b.options = options
	return options
}

const (
	// speedInterval is the time between two steps of the learned speed of a target.
	speedInterval = 250 * time.Millisecond
	// backlogTimeConstant is the time constant of the averages of which the learned speed follows.
	backlogTimeConstant = 3 * time.Second
	// speedRate is the change of the logarithm of a target's learned speed in a second while its requests wait twice, or half, as long
	// as at others.
	speedRate = 0.04
	// maxLogSpeed bounds the logarithm of the learned speed: 2.5 times slower or faster than usual.
	maxLogSpeed = 0.9
)

// learnSpeeds learns how fast the targets are. The time that a prompt waits at a target until its first event is, on average, the
// prompt tokens that wait there divided by those that come in a second; this needs nothing but the reported sums, and all hosts come to
// about the same. A target at which prompts wait longer than at others gets less.
func (b *Balancer) learnSpeeds(options []option, now time.Time) {
	backlog, prefill := 0.0, 0.0
	for i := range options {
		o := &options[i]
		t := o.target
		dt := now.Sub(t.averagedAt)
		if dt >= speedInterval {
			w := 1 - math.Exp(-float64(dt)/float64(backlogTimeConstant))
			if t.averagedAt.IsZero() {
				w = 1
			}
			t.meanBacklog += w * (float64(t.local.PrefillTokens+t.peers.PrefillTokens)/prefillTokensPerMS - t.meanBacklog)
			t.meanPrefill += w * (o.prefill - t.meanPrefill)
			t.averagedAt = now
			t.speedDue = min(t.speedDue+dt, time.Second)
		}
		backlog += t.meanBacklog
		prefill += t.meanPrefill
	}
	if prefill < minLearningLoad*float64(len(options)) {
		return
	}
	mean := backlog / prefill
	for i := range options {
		t := options[i].target
		if t.speedDue == 0 {
			continue
		}
		if t.meanPrefill > minLearningLoad && mean > 0 {
			d := max(-1, min(1, math.Log2((t.meanBacklog/t.meanPrefill+mean/8)/(mean*9/8))))
			t.logSpeed = max(-maxLogSpeed, min(maxLogSpeed, t.logSpeed-speedRate*d*t.speedDue.Seconds()))
			t.speed = math.Exp(t.logSpeed)
		}
		t.speedDue = 0
	}
}

// minLearningLoad is the engine time in milliseconds a second below which nothing is learned from a target.
const minLearningLoad = 50

// pickPlainEven chooses a target of a service without engines.
func (b *Balancer) pickPlainEven(candidates []*target, now time.Time) *Choice {
	options := b.newOptions(candidates, now)
	running, slots := 0.0, 0.0
	for i := range options {
		o := &options[i]
		n, of := float64(o.target.local.Running+o.target.peers.Running), float64(max(1, o.target.info.Slots))
		running += n
		slots += of
		o.weight *= of
		o.estimate.costMS = plainRequestCostMS*n/of + b.pathCost(o.target)
	}
	// Requests come at the rate of those in flight divided by the time that one takes.
	setWeights(options, b.windowMS()*running)
	return b.assign(b.draw(options).target, Load{Running: 1}, "", now)
}

// estimateEven sets the expected cost of the request at a target, without its failures and a tie-breaker.
func (b *Balancer) estimateEven(o *option, engine *catalog.Engine, p *prompt, home bool) {
	t := o.target
	overflow := overflowFraction(t, engine, p.cacheTokens)
	cachedTokens, repeatedTokens, waitMS := t.prefixCache.prefixTokens(p.segmentKeys, p.segmentTokens), int64(0), 0.0
	if home {
		cachedTokens = max(cachedTokens, int64(cachedAtHome*float64(p.sharedTokens)))
	}
	if overflow > 0 {
		cachedTokens, repeatedTokens, waitMS = 0, p.tokens, overflowBaseMS+overflow*overflowCostMS
	}
	e := &o.estimate
	e.prefillTokens = max(1, int64(float64(p.tokens-cachedTokens)*p.latencyRatio))
	running := float64(t.local.Running + t.peers.Running)
	e.firstEventMS = b.backlogMS(t.local.PrefillTokens+t.peers.PrefillTokens+e.prefillTokens, p.model)/t.speed +
		runningRequestCostMS*running + waitMS
	delayedMS := running * (float64(e.prefillTokens) + float64(repeatedTokens)*p.latencyRatio) / prefillTokensPerMS
	lostMS := float64(p.cacheTokens-p.tokens) * min(1, o.prefill/1000) * prefillStepDelayMS
	e.costMS = e.firstEventMS + b.pathCost(t) + interferenceWeight*(delayedMS+lostMS)
}

// backlogMS returns the engine time in milliseconds of the prompt tokens in loads, for a request for the model. With even load, tokens
// count in proportion to the speed of their own model.
func (b *Balancer) backlogMS(tokens int64, model string) float64 {
	if b.even {
		return float64(tokens) / prefillTokensPerMS
	}
	return float64(tokens) / prefillTokensPerMS * b.latencyRatio(model)
}

// sortByPrefix moves the targets that hold the shared prefix to the front of the options, followed by those for its overflow, and
// returns the number of the former. All hosts put the targets in the same order.
func (b *Balancer) sortByPrefix(options []option, p *prompt, shared int, now time.Time) int {
	key := xxhash.Sum64String(p.segmentKeys[shared-1])
	for i := range options {
		t := options[i].target
		// Weighted rendezvous hashing: a target comes first in proportion to its speed.
		h := mix(key ^ t.hash)
		options[i].order = math.Log(uniform(h)) / t.speed
	}
	cachedMS := float64(max(1, p.tokens-int64(cachedAtHome*float64(p.sharedTokens)))) /
		prefillTokensPerMS * p.latencyRatio
	homes := min(len(options), b.addPrefixLoad(key, cachedMS, now))
	first := homes + spillTargets
	if homes == len(options) {
		return homes
	}
	if first > maxSelected {
		slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.order, x.order) })
		return homes
	}
	for i := range min(len(options), first) {
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

// maxSelected is the number of targets up to which the first ones are selected one after the other, instead of sorting all.
const maxSelected = 8

// uniform returns a number above 0 and up to 1 from a hash.
func uniform(hash uint64) float64 { return float64(hash>>11+1) / (1 << 53) }

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
func (b *Balancer) homesOrSpill(options []option, homes int, work, repeatedMS float64) []option {
	spill := min(len(options), homes+spillTargets)
	home, next, rest := options[:homes], options[homes:spill], options[spill:]
	homeMS, nextMS, restMS := lowestCost(home), lowestCost(next), meanCost(rest)
	other, otherMS := next, nextMS
	if restMS < nextMS {
		other, otherMS = rest, restMS
	}
	otherMS += repeatWeight * repeatedMS
	if len(other) == 0 || homeMS <= otherMS || b.random.Float64()*work > homeMS-otherMS {
		return home
	}
	b.prefixSpills++
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
