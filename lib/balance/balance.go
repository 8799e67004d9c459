// Package balance chooses the target of each request. It answers uneven and bursty load: knowledge of other hosts'
// requests is late, so a host counts its own requests at once and adds what its peers last reported.
//
// It does no I/O, and takes the time as an argument.
package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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
	// paceLeast and paceMost bound a model's pace, and each observation of it.
	paceLeast = 0.1
	paceMost  = 4.0
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

// Book knows the targets and the work in flight. It is safe for concurrent use.
type Book struct {
	zone string

	mu      sync.Mutex
	targets map[string]*target          // guarded by mu; by id
	peers   map[string]map[string]Load  // guarded by mu; by host and target
	held    map[string]registry.Holding // guarded by mu; what the controller knows, in place of entries, by target
	pace    map[string]float64          // guarded by mu; by model: observed over expected time to the first event
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
func (b *Book) SetResidents(held map[string]registry.Holding) {
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
	if h, ok := b.held[id]; ok && h.Started == t.info.Started {
		h.Models = withAdapter(h.Models, model, adapter)
		b.held[id] = h
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
	list := t.info.Models
	if h, ok := b.held[t.info.ID]; ok && h.Started == t.info.Started {
		list = h.Models
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

func (b *Book) take(t *target, load Load, model string, now time.Time) *Choice {
	t.own.add(load, 1)
	if !t.health.usable(now) || t.health.backoff > 0 {
		t.health.trial = true
	}
	return &Choice{Target: t.info, book: b, entry: t, load: load, model: model, picked: now}
}
