// Package router chooses the target of each request. It does no I/O; time and randomness are passed in,
// and one Router may be used by many goroutines at once.
package router

import (
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/placement"
)

const (
	// sampled is the number of random candidates compared. Comparing a few instead of all keeps
	// gateways with the same lagging load reports from choosing the same target.
	sampled = 2
	// scanAll is the number of candidates up to which all are compared, starting at a random one.
	scanAll = 4
	// excludeMax bounds the targets that a retry can exclude.
	excludeMax = 4

	defaultServiceTime = 2 * time.Second
	// prefillRate is in prompt tokens a second. Engines do not tell gateways theirs; it weighs prompts against waits.
	prefillRate    = 8000
	reportHalfLife = 2 * time.Second
)

// Config holds the costs that a Router weighs.
type Config struct {
	Zone        string                          // own availability zone
	Distance    func(a, b string) time.Duration // one-way delay between zones; nil: 1 ms between different zones
	PrefixSlots int                             // entries of the prefix table, a power of two
	Rand        func() uint64
}

// Router is the routing state of one gateway.
type Router struct {
	cfg      Config
	topo     atomic.Pointer[topology]
	prefix   *prefixTable
	gateways atomic.Int64
}

// topology is immutable; the Targets that it refers to carry over from one topology to the next.
type topology struct {
	targets map[string]*Target
	names   map[string][]*Target   // by model and adapter
	holds   map[residence]struct{} // the same pairs
	byHash  map[uint32]*Target
}

// residence is a model or adapter on a target.
type residence struct {
	name   string
	target *Target
}

// Request is what a choice depends on.
type Request struct {
	Model        string
	Adapter      string
	Prefix       uint64 // zero if none
	PromptTokens int64
	PrefixTokens int64 // part of the prompt that Prefix covers
	Bounded      bool  // pass over targets at which this gateway has its share of outstanding work
	filling      int64 // tokens that the chosen target has to fill
	exclude      [excludeMax]*Target
	excluded     int
}

// Exclude keeps t out of later choices for the request.
func (q *Request) Exclude(t *Target) {
	q.exclude[q.excluded%excludeMax] = t
	q.excluded++
}

func (q *Request) excludes(t *Target) bool {
	for _, e := range q.exclude {
		if e == t {
			return true
		}
	}
	return false
}

// New returns a Router without targets.
func New(cfg Config) *Router {
	if cfg.Distance == nil {
		cfg.Distance = func(a, b string) time.Duration {
			if a == b {
				return 0
			}
			return time.Millisecond
		}
	}
	if cfg.PrefixSlots == 0 {
		cfg.PrefixSlots = 1 << 15
	}
	r := &Router{cfg: cfg, prefix: newPrefixTable(cfg.PrefixSlots)}
	r.topo.Store(&topology{})
	r.gateways.Store(1)
	return r
}

// SetPlacement replaces the topology. Targets known before keep their load and failure state; leaving
// and excluded ones get no new work.
func (r *Router) SetPlacement(view *placement.View, excluded func(id string) bool) {
	old := r.topo.Load()
	next := &topology{
		targets: make(map[string]*Target, len(view.Targets)),
		names:   make(map[string][]*Target),
		holds:   make(map[residence]struct{}),
		byHash:  make(map[uint32]*Target, len(view.Targets)),
	}
	for i := range view.Targets {
		v := &view.Targets[i]
		if v.Leaving || (excluded != nil && excluded(v.ID)) {
			continue
		}
		t := old.targets[v.ID]
		if t == nil || t.Addr != v.Addr {
			t = newTarget(v, r.cfg.Distance(r.cfg.Zone, v.Zone))
		}
		t.slots.Store(int64(max(v.Slots, 1)))
		next.targets[v.ID] = t
		next.byHash[t.hash] = t
		next.add(t, v.Models)
		next.add(t, v.Adapters)
	}
	r.topo.Store(next)
}

func (topo *topology) add(t *Target, names []string) {
	for _, name := range names {
		topo.names[name] = append(topo.names[name], t)
		topo.holds[residence{name, t}] = struct{}{}
	}
}

// SetGateways tells how many gateways share the targets; it bounds this gateway's outstanding work.
func (r *Router) SetGateways(n int) { r.gateways.Store(int64(max(n, 1))) }

// Pick chooses a target for the request and counts the request as outstanding there until Done.
// It reports false if no target can take the model now.
func (r *Router) Pick(now time.Time, q *Request) (*Target, bool) {
	best, _ := r.cheapest(now, q)
	if best == nil {
		return nil, false
	}
	q.filling = q.PromptTokens
	if q.Prefix != 0 && r.prefix.get(q.Prefix) == best.hash {
		q.filling -= q.PrefixTokens
	}
	best.begin(q.filling)
	if q.Prefix != 0 {
		r.prefix.put(q.Prefix, best.hash)
	}
	return best, true
}

// Wait estimates the time to the first token of the request if it were sent now.
func (r *Router) Wait(now time.Time, q *Request) (time.Duration, bool) {
	best, cost := r.cheapest(now, q)
	return cost, best != nil
}

// Target returns the target with the id, or nil.
func (r *Router) Target(id string) *Target { return r.topo.Load().targets[id] }

// Report records a load report of the target; sent is the time at which the engine made it.
func (r *Router) Report(id string, load engine.Load, sent time.Time) {
	if t := r.Target(id); t != nil {
		t.report(load, sent)
	}
}

func (r *Router) cheapest(now time.Time, q *Request) (*Target, time.Duration) {
	topo := r.topo.Load()
	name := q.Model
	if q.Adapter != "" {
		// An adapter is resident only beside its model, and engines refuse one that is not resident.
		name = q.Adapter
	}
	candidates := topo.names[name]
	n := len(candidates)
	if n == 0 {
		return nil, 0
	}
	holder := uint32(0)
	if q.Prefix != 0 {
		holder = r.prefix.get(q.Prefix)
	}
	s := selection{topo: topo, name: name, q: q, now: now, holder: holder, gateways: r.gateways.Load()}
	start := int(r.cfg.Rand() % uint64(n))
	if n <= scanAll {
		for i := range n {
			s.consider(candidates[(start+i)%n])
		}
		return s.best, s.cost
	}
	s.consider(candidates[start])
	for range sampled - 1 {
		s.consider(candidates[int(r.cfg.Rand()%uint64(n))])
	}
	if holder != 0 {
		s.considerHolder()
	}
	// All samples may be ejected or excluded; then the whole list is tried.
	for i := 0; s.best == nil && i < n; i++ {
		s.consider(candidates[(start+i)%n])
	}
	return s.best, s.cost
}

// selection keeps the cheapest candidate seen so far.
type selection struct {
	topo     *topology
	name     string // model or adapter
	q        *Request
	gateways int64
	now      time.Time
	holder   uint32
	best     *Target
	cost     time.Duration
}

func (s *selection) consider(t *Target) {
	if s.q.excludes(t) || !t.usable(s.now) || (s.q.Bounded && t.full(s.now, s.gateways)) {
		return
	}
	cost := t.wait(s.now) + t.distance
	tokens := s.q.PromptTokens
	if t.hash == s.holder {
		tokens -= s.q.PrefixTokens
	}
	cost += prefill(tokens)
	if s.best == nil || cost < s.cost {
		s.best, s.cost = t, cost
	}
}

// considerHolder adds the target that is believed to cache the prefix, if it holds the model.
func (s *selection) considerHolder() {
	t := s.topo.byHash[s.holder]
	if t == nil {
		return
	}
	if _, ok := s.topo.holds[residence{s.name, t}]; ok {
		s.consider(t)
	}
}
