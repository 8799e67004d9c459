package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passage"
)

// prompt is a request as targets are compared for it.
type prompt struct {
	tokens int64    // of the whole prompt
	keys   []string // of its parts
	parts  []int64  // tokens of its parts
	home   *target  // preferred for the parts that requests share
	need   int64    // tokens of KV cache at its end
	pace   float64  // of its model
}

// estimate is what a request would cost at a target.
type estimate struct {
	read  int64   // prompt tokens that the target has to read
	first float64 // milliseconds until the first event
	cost  float64 // milliseconds, with what others lose and what speaks against the target
}

func (b *Book) pickEngine(candidates []*target, engine *catalog.Engine, call *passage.Call, now time.Time) *Choice {
	p := prompt{tokens: call.PromptTokens, need: need(call), pace: b.paceOf(call.Model)}
	p.keys, p.parts = partKeys(call)
	p.home = homeOf(candidates, p.keys[:p.shared()])
	var best *target
	var chosen estimate
	for _, t := range candidates {
		e := b.estimate(t, engine, &p, now)
		if best == nil || e.cost < chosen.cost {
			best, chosen = t, e
		}
	}
	best.note(float64(chosen.read)/prefillRate*p.pace, now)
	best.parts.limit = int64(cacheShare * float64(engine.CacheTokens))
	best.parts.add(p.keys, p.parts, now)
	c := b.take(best, Load{Running: 1, Prefill: chosen.read, Cache: p.need}, call.Model, now)
	c.Expected = time.Duration(chosen.first * float64(time.Millisecond))
	return c
}

// shared is the number of parts that requests share; the last part belongs to the request or its session.
func (p *prompt) shared() int { return max(0, len(p.keys)-1) }

// kept is how many tokens of the prompt the target probably keeps.
func (p *prompt) kept(t *target) int64 {
	kept := t.parts.cached(p.keys, p.parts)
	if t == p.home {
		kept = max(kept, int64(homeShare*float64(sum(p.parts[:p.shared()]))))
	}
	return kept
}

func (b *Book) estimate(t *target, engine *catalog.Engine, p *prompt, now time.Time) estimate {
	over := overflow(t, engine, p.need)
	kept, again, wait := p.kept(t), int64(0), 0.0
	if over > 0 {
		kept = 0         // running requests take the room of parts that were kept
		again = p.tokens // another request is preempted, and its prompt is read once more
		wait = overflowBase + over*overflowCost
	}
	e := estimate{read: max(1, p.tokens-kept)}
	running := float64(t.own.Running + t.peers.Running)
	e.first = float64(t.own.Prefill+t.peers.Prefill+e.read)/prefillRate*p.pace + slotCost*running + wait
	e.cost = e.first + t.disturbed(e.read+again, p.need-p.tokens, p.pace, now) + b.placeCost(t) +
		failureCost*t.health.failing(now) + b.random.Float64()
	return e
}

// ownReading is the milliseconds a second that the target reads prompts of this host's requests.
func (t *target) ownReading(now time.Time) float64 {
	return t.read / readingTime.Seconds() * math.Exp(-float64(now.Sub(t.readAt))/float64(readingTime))
}

// reading is the part of its time that the target reads prompts.
func (t *target) reading(now time.Time) float64 {
	return min(1, (t.ownReading(now)+float64(t.peers.Reading))/1000)
}

// note adds milliseconds of reading.
func (t *target) note(ms float64, now time.Time) {
	t.read = t.read*math.Exp(-float64(now.Sub(t.readAt))/float64(readingTime)) + ms
	t.readAt = now
}

// disturbed is the weighted time in milliseconds that a request with read prompt tokens and out output tokens takes from
// the requests that run at the target, and loses to the prompts of others there.
func (t *target) disturbed(read, out int64, pace float64, now time.Time) float64 {
	taken := float64(t.own.Running+t.peers.Running) * float64(read) / prefillRate * pace
	lost := float64(out) * t.reading(now) * stepDelay
	return disturbance * (taken + lost)
}

// need is the KV cache in tokens that a request takes at its end.
func need(call *passage.Call) int64 {
	out := call.MaxOutput
	if call.OutputHint > 0 {
		out = min(out, call.OutputHint)
	}
	return call.PromptTokens + out
}

// overflow is the share by which a target's slots or KV cache would be exceeded.
func overflow(t *target, engine *catalog.Engine, need int64) float64 {
	slots := float64(t.own.Running+t.peers.Running+1)/float64(max(1, t.info.Slots)) - 1
	cache := float64(t.own.Cache+t.peers.Cache+need)/float64(max(1, engine.CacheTokens)) - 1
	return max(0, slots, cache)
}

func (b *Book) paceOf(model string) float64 {
	if p, ok := b.pace[model]; ok {
		return p
	}
	return 1
}

// partKeys returns a key for each part of the prompt. Parts are kept for one model and adapter.
func partKeys(call *passage.Call) (keys []string, tokens []int64) {
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

// homeOf returns the target that all hosts prefer for a shared prompt (rendezvous hashing), or nil.
func homeOf(candidates []*target, shared []string) *target {
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1]
	var home *target
	var highest uint64
	for _, t := range candidates {
		if h := xxhash.Sum64String(key + "@" + t.info.ID); home == nil || h > highest {
			home, highest = t, h
		}
	}
	return home
}
