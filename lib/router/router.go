// Package router chooses the target of each request by estimated time to the first token. It does no I/O; time and
// randomness are passed in, and one Router may be used by many goroutines at once.
package router

import (
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/placement"
)

const (
	// sampledCandidates is the number of random candidates compared. Comparing a few instead of all keeps
	// gateways that work from the same delayed load reports from choosing the same target.
	sampledCandidates = 2
	// maxScannedCandidates is the largest number of candidates that are all compared, starting at a random one.
	maxScannedCandidates = 4
	// maxExcluded is the number of targets that a request can exclude; a further one replaces the oldest.
	maxExcluded = 4

	defaultServiceTime = 2 * time.Second // initial value of the moving average of a target
	// prefillTokensPerSecond is the prefill rate assumed for all targets, because engines do not report theirs to
	// gateways. It converts prompt tokens to time, so that they can be added to waits.
	prefillTokensPerSecond = 8000
	reportHalfLife         = 2 * time.Second // age at which a load report has half its weight
)

// Config configures a Router.
type Config struct {
	Zone        string                          // availability zone of this gateway
	ZoneDelay   func(a, b string) time.Duration // one-way delay between zones; nil: 1 ms between different zones
	PrefixSlots int                             // entries of the prefix table, a power of two; 0: 32768
	Rand        func() uint64
}

// Router chooses targets for the requests of one gateway.
type Router struct {
	cfg      Config
	topo     atomic.Pointer[topology]
	prefix   *prefixTable
	gateways atomic.Int64 // gateways that share the targets
}

// topology indexes the targets of one placement. It is immutable; a Target that is in two successive placements is
// the same object in both.
type topology struct {
	targets     map[string]*Target
	byName      map[string][]*Target   // by name of a resident model or adapter
	residencies map[residency]struct{} // the pairs of byName
	byHash      map[uint32]*Target
}

// residency is a model or adapter that is resident on a target.
type residency struct {
	name   string
	target *Target
}

// Request describes a request to be routed and records the targets excluded for it.
type Request struct {
	Model            string
	Adapter          string
	Prefix           uint64 // hash of the prompt prefix; zero if none
	PromptTokens     int64
	PrefixTokens     int64 // prompt tokens that the prefix covers
	LimitOutstanding bool  // skip targets at which this gateway has reached its limit of outstanding requests
	prefillTokens    int64 // prompt tokens that the chosen target has to prefill; zero after the first token
	exclude          [maxExcluded]*Target
	excluded         int
}

// Exclude makes later choices for the request skip t.
func (q *Request) Exclude(t *Target) {
	q.exclude[q.excluded%maxExcluded] = t
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
	if cfg.ZoneDelay == nil {
		cfg.ZoneDelay = func(a, b string) time.Duration {
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

// SetPlacement replaces the topology. A target that was known before under the same address keeps its load and
// failure state. Leaving targets and those that excluded reports get no new requests; excluded may be nil.
func (r *Router) SetPlacement(view *placement.View, excluded func(id string) bool) {
	old := r.topo.Load()
	next := &topology{
		targets:     make(map[string]*Target, len(view.Targets)),
		byName:      make(map[string][]*Target),
		residencies: make(map[residency]struct{}),
		byHash:      make(map[uint32]*Target, len(view.Targets)),
	}
	for i := range view.Targets {
		v := &view.Targets[i]
		if v.Leaving || (excluded != nil && excluded(v.ID)) {
			continue
		}
		t := old.targets[v.ID]
		if t == nil || t.Addr != v.Addr {
			t = newTarget(v, r.cfg.ZoneDelay(r.cfg.Zone, v.Zone))
		}
		t.slots.Store(int64(max(v.Slots, 1)))
		next.targets[v.ID] = t
		next.byHash[t.hash] = t
		next.add(t, v.Models)
		next.add(t, v.Adapters)
	}
	r.topo.Store(next)
}

// add indexes the resident models or adapters of t.
func (topo *topology) add(t *Target, names []string) {
	for _, name := range names {
		topo.byName[name] = append(topo.byName[name], t)
		topo.residencies[residency{name, t}] = struct{}{}
	}
}

// SetGateways sets the number of gateways that share the targets, which divides the limit of outstanding requests.
func (r *Router) SetGateways(n int) { r.gateways.Store(int64(max(n, 1))) }

// Pick chooses a target for the request and counts the request as outstanding there until Target.Done.
// It returns false if no target can take the request now.
func (r *Router) Pick(now time.Time, q *Request) (*Target, bool) {
	best, _ := r.cheapestTarget(now, q)
	if best == nil {
		return nil, false
	}
	q.prefillTokens = q.PromptTokens
	if q.Prefix != 0 && r.prefix.get(q.Prefix) == best.hash {
		q.prefillTokens -= q.PrefixTokens
	}
	best.addOutstanding(q.prefillTokens)
	if q.Prefix != 0 {
		r.prefix.put(q.Prefix, best.hash)
	}
	return best, true
}

// EstimateWait estimates the time to the first token of the request if it were sent now. It returns false if no
// target can take the request.
func (r *Router) EstimateWait(now time.Time, q *Request) (time.Duration, bool) {
	best, cost := r.cheapestTarget(now, q)
	return cost, best != nil
}

// Target returns the target with the id, or nil.
func (r *Router) Target(id string) *Target { return r.topo.Load().targets[id] }

// RecordLoad records a load report of the target; sent is the time at which the engine made it. Reports of unknown
// targets are ignored.
func (r *Router) RecordLoad(id string, load engine.Load, sent time.Time) {
	if t := r.Target(id); t != nil {
		t.applyReport(load, sent)
	}
}

// cheapestTarget returns the target with the least estimated time to the first token among the compared candidates,
// and that time. The target is nil if there is none.
func (r *Router) cheapestTarget(now time.Time, q *Request) (*Target, time.Duration) {
	topo := r.topo.Load()
	name := q.Model
	if q.Adapter != "" {
		// An adapter is resident only beside its model, and engines refuse one that is not resident.
		name = q.Adapter
	}
	candidates := topo.byName[name]
	n := len(candidates)
	if n == 0 {
		return nil, 0
	}
	prefixTarget := uint32(0)
	if q.Prefix != 0 {
		prefixTarget = r.prefix.get(q.Prefix)
	}
	s := selection{topo: topo, name: name, q: q, now: now, prefixTarget: prefixTarget, gateways: r.gateways.Load()}
	start := int(r.cfg.Rand() % uint64(n))
	if n <= maxScannedCandidates {
		for i := range n {
			s.consider(candidates[(start+i)%n])
		}
		return s.best, s.cost
	}
	s.consider(candidates[start])
	for range sampledCandidates - 1 {
		s.consider(candidates[int(r.cfg.Rand()%uint64(n))])
	}
	if prefixTarget != 0 {
		s.considerPrefixTarget()
	}
	// If none of the samples can take the request, the whole list is tried.
	for i := 0; s.best == nil && i < n; i++ {
		s.consider(candidates[(start+i)%n])
	}
	return s.best, s.cost
}

// selection is the state of one choice: the cheapest candidate so far.
type selection struct {
	topo         *topology
	name         string // model or adapter
	q            *Request
	gateways     int64
	now          time.Time
	prefixTarget uint32 // hash of the target that probably caches the prefix; zero if unknown
	best         *Target
	cost         time.Duration // estimated time to the first token at best
}

// consider makes t the best candidate if it can take the request and costs less than the best so far.
func (s *selection) consider(t *Target) {
	if s.q.excludes(t) || !t.usable(s.now) || (s.q.LimitOutstanding && t.atLimit(s.now, s.gateways)) {
		return
	}
	cost := t.estimateWait(s.now) + t.zoneDelay
	tokens := s.q.PromptTokens
	if t.hash == s.prefixTarget {
		tokens -= s.q.PrefixTokens
	}
	cost += prefillTime(tokens)
	if s.best == nil || cost < s.cost {
		s.best, s.cost = t, cost
	}
}

// considerPrefixTarget considers the target that probably caches the prefix, if the model or adapter is resident there.
func (s *selection) considerPrefixTarget() {
	t := s.topo.byHash[s.prefixTarget]
	if t == nil {
		return
	}
	if _, ok := s.topo.residencies[residency{s.name, t}]; ok {
		s.consider(t)
	}
}
