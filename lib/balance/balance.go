// Package balance chooses the target of each request. It answers uneven and bursty load: knowledge of other hosts'
// requests is late, so a host counts its own requests at once and adds what its peers last reported.
//
// It does no I/O, and takes the time as an argument.
package balance

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passage"
	"cuminhook.org/cuminhook/lib/registry"
)

// Errors of Pick.
var (
	ErrNoTarget  = errors.New("balance: no target serves this; retry when one is ready")
	ErrNoModel   = errors.New("balance: no target holds the model; retry when it is loaded")
	ErrNoAdapter = errors.New("balance: no target holds the adapter; have it loaded")
)

const (
	// prefillRate is the initial estimate of prompt tokens read in a millisecond. It is corrected by the first events
	// that are observed for each model.
	prefillRate = 30.0
	// paceWeight is the weight of the newest observation of a model's pace.
	paceWeight = 0.05
	// slotCost is the time in milliseconds that one more running request adds to a step of a batch, times the steps
	// until a first event.
	slotCost = 0.5
	// zoneCost is the time in milliseconds that another availability zone adds; it also stands for the price of the
	// bytes.
	zoneCost = 5.0
	// disturbance is the weight of the time that requests lose later, against the time until a first event: of the
	// requests that run beside a prompt while it is read, and of a long output beside the prompts of others.
	disturbance = 0.25
	// stepDelay is the time in milliseconds by which a step of a batch grows while prompts are read.
	stepDelay = 26.0
	// readingTime is the time constant with which the reading of prompts at a target is averaged.
	readingTime = 2 * time.Second
	// failureCost is the time in milliseconds that a failed request costs its caller.
	failureCost = 3000.0
	// overflowBase is the time in milliseconds until a full target has room for another request.
	overflowBase = 150.0
	// overflowCost is the time in milliseconds until all requests beyond a full target's room have run.
	overflowCost = 400.0
	// homeShare is the part of a shared prompt that counts as kept by the target to which all hosts prefer to send it.
	homeShare = 0.8
	// cacheShare is the part of a target's KV cache that holds parts of past prompts.
	cacheShare = 0.5
	// absentTime is how long a target counts as without a model or adapter after it said so. Its entry is then newer.
	absentTime = 2500 * time.Millisecond
	// plainSlotCost is the time in milliseconds that each request in flight at a plain service adds, per slot.
	plainSlotCost = 30.0
)

// Query is one request that needs a target.
type Query struct {
	Service string
	Call    *passage.Call
	Tried   []string // targets not to use again
}

// Choice is the target chosen. Exactly one of its methods that end the request must be called.
type Choice struct {
	Target       *registry.Target
	PrefixSource string        // address of a target that probably keeps more of the prompt; empty if none
	Expected     time.Duration // until the first event
	book         *Book
	entry        *target
	load         Load
	model        string
	picked       time.Time
	first        bool
}

// Book knows the targets and the work in flight. It is safe for concurrent use.
type Book struct {
	zone string

	mu      sync.Mutex
	targets map[string]*target             // guarded by mu; by id
	peers   map[string]map[string]Load     // guarded by mu; by host and target
	held    map[string][]registry.Resident // guarded by mu; what the controller knows, in place of entries, by target
	pace    map[string]float64             // guarded by mu; by model: observed over expected time to the first event
	catalog *catalog.Catalog
	random  *rand.Rand
}

type target struct {
	read   float64 // milliseconds of reading prompts of this host's requests, averaged over readingTime
	readAt time.Time
	info   *registry.Target
	own    Load
	peers  Load
	absent map[string]time.Time // model or model/adapter: until when it counts as not held
	parts  cachedParts
	health health
}

// New returns a book for a host in the zone.
func New(zone string, random *rand.Rand) *Book {
	return &Book{
		zone: zone, targets: map[string]*target{}, peers: map[string]map[string]Load{}, pace: map[string]float64{},
		random: random,
	}
}

// SetCatalog takes a new configuration over.
func (b *Book) SetCatalog(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.catalog = c
}

// SetTargets takes over the targets that exist now. A target that started anew keeps nothing.
func (b *Book) SetTargets(all []*registry.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := make(map[string]bool, len(all))
	for _, info := range all {
		seen[info.ID] = true
		t := b.targets[info.ID]
		if t == nil || t.info.Started != info.Started {
			t = &target{absent: map[string]time.Time{}}
			b.targets[info.ID] = t
		}
		if t.info != nil && info.Beat > t.info.Beat {
			t.health.trial = false
		}
		t.info = info
	}
	for id := range b.targets {
		if !seen[id] {
			delete(b.targets, id)
		}
	}
	b.sumPeers()
}

// SetResidents takes over what the controller knows targets to hold, by target. It takes the place of their entries,
// which are older; nil lets the entries count again.
func (b *Book) SetResidents(held map[string][]registry.Resident) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = held
}

// AddAdapter notes that a target holds an adapter, until the controller's next residents.
func (b *Book) AddAdapter(id, model, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	if t == nil {
		return
	}
	if list, ok := b.held[id]; ok {
		b.held[id] = withAdapter(list, model, adapter)
	} else {
		info := *t.info
		info.Models = withAdapter(info.Models, model, adapter)
		t.info = &info
	}
	delete(t.absent, model+"/"+adapter)
}

// withAdapter returns a copy of the list with the adapter added.
func withAdapter(list []registry.Resident, model, adapter string) []registry.Resident {
	out := slices.Clone(list)
	for i := range out {
		if out[i].Model == model && !slices.Contains(out[i].Adapters, adapter) {
			out[i].Adapters = append(slices.Clone(out[i].Adapters), adapter)
		}
	}
	return out
}

// SetPeer takes over the requests in flight of another host; nil forgets them.
func (b *Book) SetPeer(host string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if loads == nil {
		delete(b.peers, host)
	} else {
		b.peers[host] = loads
	}
	b.sumPeers()
}

func (b *Book) sumPeers() {
	for id, t := range b.targets {
		t.peers = Load{}
		for _, loads := range b.peers {
			t.peers.add(loads[id], 1)
		}
	}
}

// Own returns the requests in flight of this host, by target.
func (b *Book) Own(now time.Time) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, t := range b.targets {
		load := t.own
		load.Reading = int64(t.ownReading(now))
		if load != (Load{}) {
			out[id] = load
		}
	}
	return out
}

// Suspects returns the targets that did not answer lately and have not answered since.
func (b *Book) Suspects() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, t := range b.targets {
		if t.health.suspect() {
			out = append(out, id)
		}
	}
	return out
}

// holds reports whether t holds the model, and the adapter if one is named.
func (b *Book) holds(t *target, model, adapter string, now time.Time) (hasModel, hasAdapter bool) {
	if now.Before(t.absent[model]) {
		return false, false
	}
	list, ok := b.held[t.info.ID]
	if !ok {
		list = t.info.Models
	}
	for i := range list {
		if list[i].Model == model {
			hasModel = true
			hasAdapter = slices.Contains(list[i].Adapters, adapter)
		}
	}
	if adapter == "" {
		return hasModel, hasModel
	}
	return hasModel, hasModel && hasAdapter && !now.Before(t.absent[model+"/"+adapter])
}

// Pick chooses a target and counts the request there. Errors: ErrNoTarget, ErrNoModel, ErrNoAdapter.
func (b *Book) Pick(q Query, now time.Time) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates, err := b.candidates(q, now)
	if err != nil {
		return nil, err
	}
	var engine *catalog.Engine
	if b.catalog != nil {
		if s := b.catalog.Service(q.Service); s != nil {
			engine = s.Engine
		}
	}
	if engine == nil || q.Call.Model == "" {
		return b.pickPlain(candidates, now), nil
	}
	return b.pickEngine(candidates, engine, q.Call, now), nil
}

// candidates returns the targets that can serve the request. Suspended ones are left out unless there are no others.
func (b *Book) candidates(q Query, now time.Time) ([]*target, error) {
	var usable, suspended []*target
	err := ErrNoTarget
	for _, t := range b.targets {
		if t.info.Service != q.Service || t.info.State != registry.Ready || slices.Contains(q.Tried, t.info.ID) {
			continue
		}
		if q.Call.Model != "" {
			model, adapter := b.holds(t, q.Call.Model, q.Call.Adapter, now)
			if !adapter {
				if model {
					err = ErrNoAdapter
				} else if err == ErrNoTarget {
					err = ErrNoModel
				}
				continue
			}
		}
		if t.health.usable(now) {
			usable = append(usable, t)
		} else {
			suspended = append(suspended, t)
		}
	}
	if len(usable) > 0 {
		return usable, nil
	}
	if len(suspended) > 0 {
		return suspended, nil
	}
	return nil, err
}

func (b *Book) pickPlain(candidates []*target, now time.Time) *Choice {
	best, lowest := candidates[0], 0.0
	for i, t := range candidates {
		waiting := float64(t.own.Running + t.peers.Running)
		cost := plainSlotCost*waiting/float64(max(1, t.info.Slots)) + b.placeCost(t) + failureCost*t.health.failing(now) + b.random.Float64()
		if i == 0 || cost < lowest {
			best, lowest = t, cost
		}
	}
	return b.take(best, Load{Running: 1}, "", now)
}

func (b *Book) placeCost(t *target) float64 {
	if t.info.Zone != b.zone {
		return zoneCost
	}
	return 0
}

func (b *Book) pickEngine(candidates []*target, engine *catalog.Engine, call *passage.Call, now time.Time) *Choice {
	keys, tokens := partKeys(call)
	shared := max(0, len(keys)-1) // the last part belongs to the request or its session
	home := homeOf(candidates, keys[:shared])
	pace := b.paceOf(call.Model)
	need := b.need(call)
	out := need - call.PromptTokens
	var best *target
	var lowest, bestFirst float64
	var bestRead int64
	for _, t := range candidates {
		kept := t.parts.cached(keys, tokens)
		if t == home {
			kept = max(kept, int64(homeShare*float64(sum(tokens[:shared]))))
		}
		over := overflow(t, engine, need)
		if over > 0 {
			kept = 0 // running requests take the room of parts that were kept
		}
		read := max(1, call.PromptTokens-kept)
		first := float64(t.own.Prefill+t.peers.Prefill+read)/prefillRate*pace + slotCost*float64(t.own.Running+t.peers.Running)
		if over > 0 {
			first += overflowBase + over*overflowCost
		}
		cost := first + t.disturbed(read, out, pace, now) + b.placeCost(t) + failureCost*t.health.failing(now) + b.random.Float64()
		if best == nil || cost < lowest {
			best, lowest, bestFirst, bestRead = t, cost, first, read
		}
	}
	best.note(float64(bestRead)/prefillRate*pace, now)
	best.parts.limit = int64(cacheShare * float64(engine.CacheTokens))
	best.parts.add(keys, tokens, now)
	c := b.take(best, Load{Running: 1, Prefill: bestRead, Cache: need}, call.Model, now)
	c.Expected = time.Duration(bestFirst * float64(time.Millisecond))
	return c
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
func (b *Book) need(call *passage.Call) int64 {
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

func (b *Book) take(t *target, load Load, model string, now time.Time) *Choice {
	t.own.add(load, 1)
	if !t.health.usable(now) || t.health.backoff > 0 {
		t.health.trial = true
	}
	return &Choice{Target: t.info, book: b, entry: t, load: load, model: model, picked: now}
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

// First records the first event.
func (c *Choice) First(now time.Time) {
	b := c.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.first {
		return
	}
	c.first = true
	c.entry.own.Prefill -= c.load.Prefill
	if c.Expected > 0 && c.load.Prefill > 0 {
		ratio := min(4, max(0.1, float64(now.Sub(c.picked))/float64(c.Expected)))
		pace := b.paceOf(c.model)
		b.pace[c.model] = min(4, max(0.1, pace+paceWeight*(ratio*pace-pace)))
	}
}

func (c *Choice) done() {
	if !c.first {
		c.first = true
		c.entry.own.Prefill -= c.load.Prefill
	}
	c.entry.own.Running -= c.load.Running
	c.entry.own.Cache -= c.load.Cache
}

// Answered ends the request with an answer; failed states that it was a failure of the target.
func (c *Choice) Answered(failed bool, now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.answered(failed, now)
}

// Rejected ends the request with the target's statement that it did not run it.
func (c *Choice) Rejected(now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.rejected(now)
}

// Absent ends the request with the target's statement that it does not hold the model or adapter.
func (c *Choice) Absent(model, adapter string, now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	name := model
	if adapter != "" {
		name += "/" + adapter
	}
	c.entry.absent[name] = now.Add(absentTime)
}

// Broken ends the request with a connection that broke off before the answer was complete.
func (c *Choice) Broken(now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.broken(now)
}

// Silent ends the request without an answer: the target was not reached, or was silent for too long.
func (c *Choice) Silent(now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.parts.clear()
	c.entry.health.silent(now)
}

// Abandoned ends the request because its caller left or its time ran out; it says nothing about the target.
func (c *Choice) Abandoned() {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.trial = false
}
