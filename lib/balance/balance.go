// Package balance chooses the target of each request on an entry host, under uneven and bursty load. A host learns of
// other hosts' requests with a delay, so it counts its own requests at once and adds the load that its peers last
// reported.
//
// The package does no I/O, and takes the time as an argument.
package balance

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/registry"
)

// Errors of Balancer.Pick.
var (
	ErrNoTarget  = errors.New("balance: no ready target of the service; retry when one is ready")
	ErrNoModel   = errors.New("balance: no target has the model loaded; retry when it is loaded")
	ErrNoAdapter = errors.New("balance: no target has the adapter loaded; have it loaded")
	ErrPaced     = errors.New("balance: the targets have stated limits of requests a second that are used up; retry soon")
	ErrBusy      = errors.New("balance: this host may open no further connection to the targets; retry when one is free")
)

// PacedError is an ErrPaced.
type PacedError struct {
	PerSecond float64 // requests a second that this host may send to the targets in question
}

// Error implements error.
func (e *PacedError) Error() string { return fmt.Sprintf("%s (%.2f/s)", ErrPaced, e.PerSecond) }

// Is reports whether target is ErrPaced.
func (e *PacedError) Is(target error) bool { return target == ErrPaced }

const (
	// prefillTokensPerMS is the initial estimate of the prefill speed of an engine, in prompt tokens per millisecond. The
	// latency ratio of each model corrects it from the first events that are observed.
	prefillTokensPerMS = 30.0
	// latencyRatioWeight is the weight of the newest observation in a model's latency ratio.
	latencyRatioWeight = 0.05
	// minLatencyRatio and maxLatencyRatio bound a model's latency ratio and each observation of it.
	minLatencyRatio = 0.1
	maxLatencyRatio = 4.0
	// runningRequestCostMS is the time in milliseconds that one more running request adds to a batch step, times the
	// number of steps until a first event.
	runningRequestCostMS = 0.5
	// zoneCostMS is the time in milliseconds that a target in another availability zone adds; it also stands for the
	// price of the traffic between zones.
	zoneCostMS = 5.0
	// newConnCostMS is the time in milliseconds that a target to which no connection is idle adds: the round trip and the
	// target's own work for a new one.
	newConnCostMS = 3.0
	// interferenceWeight weighs time that requests lose after their first event against time until a first event. Such
	// time is lost by requests that run while the target prefills a new prompt, and by a request with a long output while
	// the target prefills the prompts of others.
	interferenceWeight = 0.25
	// prefillStepDelayMS is the time in milliseconds by which a batch step grows while the target prefills.
	prefillStepDelayMS = 26.0
	// prefillTimeConstant is the time constant over which the prefill time of a target is averaged.
	prefillTimeConstant = 2 * time.Second
	// failureCostMS is the time in milliseconds that a failed request costs its caller.
	failureCostMS = 3000.0
	// overflowBaseMS is the time in milliseconds until a full target has capacity for another request.
	overflowBaseMS = 150.0
	// overflowCostMS, times the overflow fraction, is the time in milliseconds until the requests beyond the capacity of
	// a full target have run.
	overflowCostMS = 400.0
	// preferredCachedFraction is the fraction of a shared prompt prefix that counts as cached at its preferred target.
	preferredCachedFraction = 0.8
	// prefixCacheFraction is the fraction of a target's KV cache that holds segments of past prompts.
	prefixCacheFraction = 0.5
	// missingModelTTL is how long a target counts as lacking a model or adapter after it reported so. By then its entry
	// in the store is newer than that report.
	missingModelTTL = 2500 * time.Millisecond
	// plainRequestCostMS is the time in milliseconds that each request in flight at a plain service adds, divided by the
	// slots of the target.
	plainRequestCostMS = 30.0
)

// Query is one request that needs a target.
type Query struct {
	Service string
	Call    *passthrough.Call
	Tried   []string // ids of targets that must not be chosen again
	// Wanted holds the targets with a limited rate that the request was counted at as wanted. Pick adds to it, so that a request
	// which waits is counted once at each.
	Wanted map[string]bool
	// UsualRate is the requests a second for the model at this host, averaged over a longer time.
	UsualRate float64
	// StartWithin is the time within which a target has to be expected to begin the request; zero: no limit.
	StartWithin time.Duration
	Priority    int // 0 is the most urgent; targets serve requests in this order
	// Rank is the place of the request in the demand, from 0 to 1, in the order in which it is sent while targets are full.
	Rank    float64
	Regions []string // in which a target must be; nil: any
	Version *string  // of its software, which a target must have; nil: any
}

// Connections states how many connections a host may have to a target.
type Connections interface {
	// Limit returns the most connections to the target's address, and false if they are not limited.
	Limit(addr string, now time.Time) (int, bool)
	// Member reports whether the host should prefer the target to others to which it keeps no connections.
	Member(addr string) bool
	// HasIdle reports whether the host has an idle connection to the target.
	HasIdle(addr string) bool
}

// Rates keep the requests of all hosts to a target within the rate that it states.
type Rates interface {
	// Want records that a request could be sent to the target, whether that is available now or not, and reports whether the target
	// states a rate. usualRate is what this host usually wants of such requests a second, wherever it sends them.
	Want(target string, usualRate float64, now time.Time) bool
	// Available reports whether this host may send the target a request now.
	Available(target string, now time.Time) bool
	// HostRate returns the requests a second that this host may send to a target with a limit.
	HostRate(target string, now time.Time) float64
	// Take counts a request to the target.
	Take(target string, now time.Time)
	// Return takes back a request that did not reach the target.
	Return(target string)
}

// Balancer is the load balancer of one entry host: it knows the targets and the load at each. It is safe for concurrent use.
type Balancer struct {
	zone        string
	connections Connections // nil: not limited
	rates       Rates       // nil: not limited

	mu             sync.Mutex
	targets        map[string]*target            // guarded by mu; by id
	list           []*target                     // guarded by mu; the targets by id
	peers          map[string]map[string]Load    // guarded by mu; by host and target
	residency      map[string]registry.Residency // guarded by mu; by target, from the controller; precedes store entries
	latencyRatios  map[string]float64            // guarded by mu; by model: observed over expected time to the first event
	catalog        *catalog.Catalog
	random         *rand.Rand
	hosts          int                       // guarded by mu; including this one
	absent         map[string]absentPause    // guarded by mu; pauses of targets that are not in the list, by target
	room           roomModel                 // guarded by mu
	onRoom         func(service string)      // guarded by mu
	peerSuspects   map[string]map[string]int // guarded by mu; hosts that find a target unresponsive, by host that reports them and target
	even           bool                      // guarded by mu; choose by pickEven
	newsDelay      time.Duration             // guarded by mu; in which a report reaches all hosts
	prefixLoads    map[uint64]*prefixLoad    // guarded by mu; by hash of the prefix
	options        []option                  // guarded by mu; scratch space of pickEven
	outliers       outliers                  // guarded by mu
	prefixRequests uint64                    // guarded by mu; requests with a shared prefix
	prefixSpills   uint64                    // guarded by mu; those of them that were sent to other targets than hold the prefix
	eligibility    eligibility               // guarded by mu
}

// target is a target with its load, what its KV cache probably holds, and its health.
type target struct {
	prefillMS      float64   // prefill time in ms of this host's requests: an exponentially decaying sum as of prefillUpdated
	prefillUpdated time.Time // last change of prefillMS
	info           *registry.Target
	hash           uint64  // of the id
	speed          float64 // learned, relative to other targets; see learnSpeeds
	logSpeed       float64 // its logarithm
	meanBacklog    float64 // averaged backlog of prompts in milliseconds, as of averagedAt
	meanPrefill    float64 // averaged prefill load in milliseconds a second
	averagedAt     time.Time
	speedDue       time.Duration        // since the last step of logSpeed
	local          Load                 // of this host's requests, without PrefillMSPerSecond
	peers          Load                 // of all other hosts' requests
	missing        map[string]time.Time // by model or model/adapter: until when it counts as not loaded
	prefixCache    segmentCache
	health         health
	pause          pause
	liveness       liveness
}

// New returns a balancer for a host in the zone. random breaks ties between targets of about the same cost. Without
// connections or rates, nil, these are not limited.
func New(zone string, connections Connections, rates Rates, random *rand.Rand) *Balancer {
	return &Balancer{
		zone: zone, connections: connections, rates: rates, targets: map[string]*target{}, peers: map[string]map[string]Load{}, latencyRatios: map[string]float64{},
		random: random, prefixLoads: map[uint64]*prefixLoad{},
	}
}

// SetCatalog installs a new configuration.
func (b *Balancer) SetCatalog(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.catalog = c
}

// SetTargets replaces the list of targets. A target that has restarted loses its load, cached segments and health, but
// not its learned speed.
func (b *Balancer) SetTargets(all []*registry.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := make(map[string]bool, len(all))
	for _, info := range all {
		seen[info.ID] = true
		t := b.targets[info.ID]
		if t == nil || t.info.Started != info.Started {
			old := t
			t = &target{missing: map[string]time.Time{}, hash: xxhash.Sum64String(info.ID), speed: 1}
			if old != nil {
				t.speed, t.logSpeed = old.speed, old.logSpeed
			}
			b.targets[info.ID] = t
			if a, ok := b.absent[info.ID]; ok && a.started == info.Started {
				t.pause = a.pause
			}
			delete(b.absent, info.ID)
		}
		if t.info != nil && info.Beat > t.info.Beat {
			t.health.probing = false // a new heartbeat allows another probe
		}
		t.info = info
	}
	for id := range b.targets {
		if !seen[id] {
			b.keepPause(b.targets[id])
			delete(b.targets, id)
		}
	}
	b.list = slices.SortedFunc(maps.Values(b.targets), func(x, y *target) int { return cmp.Compare(x.info.ID, y.info.ID) })
	b.sumPeerLoads()
}

// SetResidency installs the controller's knowledge of the models and adapters that are loaded, by target. It is newer
// than the targets' own entries in the store and replaces them; nil makes the entries count again.
// The balancer keeps the map, and AddAdapter changes it.
func (b *Balancer) SetResidency(residency map[string]registry.Residency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.residency = residency
}

// AddAdapter records that a target has an adapter loaded. The record lasts until the next call of SetResidency or, if
// the controller's knowledge lacks the target, of SetTargets.
func (b *Balancer) AddAdapter(id, model, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	if t == nil {
		return
	}
	if h, ok := b.residency[id]; ok && h.Started == t.info.Started {
		h.Models = withAdapter(h.Models, model, adapter)
		b.residency[id] = h
	} else {
		info := *t.info
		info.Models = withAdapter(info.Models, model, adapter)
		t.info = &info
	}
	delete(t.missing, model+"/"+adapter)
}

// withAdapter returns a copy of the list with the adapter added to the model. The list itself stays unchanged.
func withAdapter(list []registry.ResidentModel, model, adapter string) []registry.ResidentModel {
	out := slices.Clone(list)
	for i := range out {
		if out[i].Model == model && !slices.Contains(out[i].Adapters, adapter) {
			out[i].Adapters = append(slices.Clone(out[i].Adapters), adapter)
		}
	}
	return out
}

// SetPeerLoads stores the load of another host by target, as the host last reported it; nil removes the host.
func (b *Balancer) SetPeerLoads(host string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if loads == nil {
		delete(b.peers, host)
	} else {
		b.peers[host] = loads
	}
	b.sumPeerLoads()
}

// sumPeerLoads recomputes the load of all other hosts at each target; the caller holds mu.
func (b *Balancer) sumPeerLoads() {
	for id, t := range b.targets {
		before := t.peers
		t.peers = Load{}
		for _, loads := range b.peers {
			t.peers.add(loads[id], 1)
		}
		t.liveness.recordPeers(before, t.peers)
		b.roomAt(t)
	}
}

// Demand returns the requests in flight at the targets of each service: of this host, and of all hosts.
func (b *Balancer) Demand() (local, total map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	local, total = map[string]float64{}, map[string]float64{}
	for _, t := range b.targets {
		local[t.info.Service] += float64(t.local.Running)
		total[t.info.Service] += float64(t.local.Running + t.peers.Running)
	}
	return local, total
}

// LocalLoads returns the load of this host, by target; targets without load are left out.
func (b *Balancer) LocalLoads(now time.Time) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sampleGates(now)
	out := map[string]Load{}
	for id, t := range b.targets {
		load := t.local
		load.PrefillMSPerSecond = int64(t.localPrefillLoad(now))
		if load != (Load{}) {
			out[id] = load
		}
	}
	return out
}

// Suspects returns the ids of targets that left several requests in a row unanswered, for a time, and have not answered since.
func (b *Balancer) Suspects(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, t := range b.targets {
		if t.health.suspect(now) {
			out = append(out, id)
		}
	}
	return out
}

// isLoaded reports whether t has the model loaded, and the adapter if one is named. Without an adapter, hasAdapter equals
// hasModel. The caller holds mu.
func (b *Balancer) isLoaded(t *target, model, adapter string, now time.Time) (hasModel, hasAdapter bool) {
	if now.Before(t.missing[model]) {
		return false, false
	}
	list := b.models(t)
	for i := range list {
		if list[i].Model == model {
			hasModel = true
			hasAdapter = slices.Contains(list[i].Adapters, adapter)
		}
	}
	if adapter == "" {
		return hasModel, hasModel
	}
	return hasModel, hasModel && hasAdapter && !now.Before(t.missing[model+"/"+adapter])
}

// models returns the models that t has loaded; the caller holds mu.
func (b *Balancer) models(t *target) []registry.ResidentModel {
	if h, ok := b.residency[t.info.ID]; ok && h.Started == t.info.Started {
		return h.Models
	}
	return t.info.Models
}

// Pick chooses the target of least cost and adds the request to its load. Errors: ErrNoTarget, ErrNoModel,
// ErrNoAdapter, ErrBusy, ErrPaced, ErrPaused, ErrEvacuated, ErrRegion, ErrVersion.
func (b *Balancer) Pick(q Query, now time.Time) (*Choice, error) {
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
	var c *Choice
	if engine == nil || q.Call.Model == "" {
		c = b.pickPlain(candidates, now)
	} else {
		c = b.pickEngine(candidates, engine, q.Call, now)
	}
	b.recordStart(c, &q)
	return c, nil
}

// rank orders the targets that can serve a request; a target of a later rank is chosen only if there is none of an
// earlier one.
type rank uint8

const (
	rankUsable    rank = iota
	rankNonMember      // this host keeps no connections to the target
	rankSetAside       // fails a part of its requests
	rankUnusable       // suspended, or being probed
	ranks
)

// candidates returns the targets of the first rank that is not empty. A target in a pause, or to which this host may open no
// further connection, or send no request within the target's rate, is left out. Errors: ErrNoTarget, ErrNoModel, ErrNoAdapter,
// ErrBusy, ErrPaced, ErrPaused, ErrEvacuated, ErrRegion, ErrVersion.
func (b *Balancer) candidates(q Query, now time.Time) ([]*target, error) {
	b.updateOutliers(now)
	var byRank [ranks][]*target
	var pausedUntil time.Time // the earliest
	var ineligible error
	err, pacedRate := ErrNoTarget, 0.0
	for _, t := range b.list {
		if t.info.Service != q.Service || t.info.State != registry.Ready {
			continue
		}
		if barred := b.eligibility.check(t, &q); barred != nil {
			ineligible = mergeIneligible(ineligible, barred)
			continue
		}
		if t.pause.active(now) {
			if !b.couldServe(t, q, now) {
				if err == ErrNoTarget {
					err = ErrNoModel
				}
			} else if pausedUntil.IsZero() || t.pause.until.Before(pausedUntil) {
				pausedUntil = t.pause.until
			}
			continue
		}
		if slices.Contains(q.Tried, t.info.ID) {
			continue
		}
		if q.Call.Model != "" {
			hasModel, hasAdapter := b.isLoaded(t, q.Call.Model, q.Call.Adapter, now)
			if !hasAdapter {
				if hasModel && err != ErrBusy && err != ErrPaced {
					err = ErrNoAdapter
				} else if err == ErrNoTarget {
					err = ErrNoModel
				}
				continue
			}
		}
		if t.pause.holdsBack(t.info.Slots, now) || b.isFull(t, now) {
			err = ErrBusy
			continue
		}
		if !b.mayTake(t, q, now) {
			err = ErrPaced
			pacedRate += b.rates.HostRate(t.info.ID, now)
			continue
		}
		r := b.rankOf(t, now)
		byRank[r] = append(byRank[r], t)
	}
	keepHalf(&byRank)
	var full *FullError
	for r, list := range byRank {
		if q.StartWithin > 0 && len(list) > 0 && rank(r) != rankUnusable {
			list, full = b.withRoom(list, &q, full, now)
		}
		if full != nil && rank(r) == rankUnusable {
			return nil, full
		}
		if len(list) > 0 {
			return list, nil
		}
	}
	switch {
	case err == ErrPaced:
		return nil, &PacedError{pacedRate}
	case (err == ErrNoTarget || err == ErrNoModel) && !pausedUntil.IsZero():
		return nil, &PausedError{pausedUntil}
	case err == ErrNoTarget && ineligible != nil:
		return nil, ineligible
	}
	return nil, err
}

// couldServe reports whether the target has the model of the request loaded, if it names one.
func (b *Balancer) couldServe(t *target, q Query, now time.Time) bool {
	if q.Call.Model == "" {
		return true
	}
	hasModel, _ := b.isLoaded(t, q.Call.Model, "", now)
	return hasModel
}

// mayTake reports whether this host may send the target a request within its rate.
func (b *Balancer) mayTake(t *target, q Query, now time.Time) bool {
	if b.rates == nil {
		return true
	}
	if q.Wanted != nil && !q.Wanted[t.info.ID] && b.rates.Want(t.info.ID, q.UsualRate, now) {
		q.Wanted[t.info.ID] = true
	}
	return b.rates.Available(t.info.ID, now)
}

// isFull reports whether all connections that this host may have to the target are in use.
func (b *Balancer) isFull(t *target, now time.Time) bool {
	if b.connections == nil {
		return false
	}
	limit, limited := b.connections.Limit(t.info.Addr, now)
	return limited && t.local.Running >= limit
}

func (b *Balancer) rankOf(t *target, now time.Time) rank {
	switch {
	case !t.health.usable(now):
		return rankUnusable
	case b.leftOut(t, now):
		return rankSetAside
	case b.connections != nil && !b.connections.Member(t.info.Addr):
		return rankNonMember
	default:
		return rankUsable
	}
}

// pickPlain chooses a target of a service without engines, by requests in flight for each slot.
func (b *Balancer) pickPlain(candidates []*target, now time.Time) *Choice {
	if b.even {
		return b.pickPlainEven(candidates, now)
	}
	best, lowest := candidates[0], 0.0
	for i, t := range candidates {
		running := float64(t.local.Running + t.peers.Running)
		cost := plainRequestCostMS*running/float64(max(1, t.info.Slots)) + b.pathCost(t) +
			failureCostMS*t.health.recentFailureFraction(now) + b.random.Float64()
		if i == 0 || cost < lowest {
			best, lowest = t, cost
		}
	}
	return b.assign(best, Load{Running: 1}, "", now)
}

// pathCost returns the cost in milliseconds of reaching a target: in another zone, and on a new connection.
func (b *Balancer) pathCost(t *target) float64 {
	cost := 0.0
	if t.info.Zone != b.zone {
		cost += zoneCostMS
	}
	if b.connections != nil && !b.connections.HasIdle(t.info.Addr) {
		cost += newConnCostMS
	}
	return cost
}

// assign adds the load of a request to t. If t is suspended, or has not answered since its last suspension, the request
// probes whether t answers again.
func (b *Balancer) assign(t *target, load Load, model string, now time.Time) *Choice {
	t.local.add(load, 1)
	t.health.sentTo(now, b.hosts)
	if b.rates != nil {
		b.rates.Take(t.info.ID, now)
	}
	if !t.health.usable(now) || t.health.backoff > 0 {
		t.health.probing = true
	}
	return &Choice{
		Target: t.info, balancer: b, picked: t, load: load, model: model, pickedAt: now, returnStep: t.pause.send(now),
		progress: t.liveness.progress, progressAt: now,
	}
}
