package placer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sleep"
)

const (
	leaseTTL       = 3 * time.Second
	engineMB       = 200_000.0
	adapterSlots   = 4
	modelMB        = 65_000.0
	loadTime       = 1200 * time.Millisecond
	reportInterval = 100 * time.Millisecond
)

// fakeEngine is the state of one simulated target.
type fakeEngine struct {
	accepted int64
	models   map[string]map[string]bool // adapters by model
	inUse    bool                       // requests use all adapters; those to unload are unloaded when that ends
	leaving  []adapterName
	loading  map[string]time.Time
	report   orders.Report // up to reportInterval old
	fences   []int64
	holders  []string
}

// fakeClient is an orders.Client of simulated targets. It can leave orders unanswered and execute them late.
type fakeClient struct {
	t *testing.T

	mu             sync.Mutex
	random         *rand.Rand
	ignoreExpected bool    // execute orders whatever number they state, as a negative control
	lateFraction   float64 // fraction of orders that get no answer and are executed seconds later
	byID           map[string]*fakeEngine
	history        []fakePlacement // what hosts know of loaded models, if it is kept
	early          []int           // loads in the first seconds of each term
	overcommits    []string        // models and adapters that would have crashed an engine
	loads          []time.Time
}

// fakePlacement is what hosts knew of loaded models at a time.
type fakePlacement struct {
	at       time.Time
	byTarget map[string]registry.Residency
}

// keepHistory records what is loaded each reportInterval until ctx ends.
func (e *fakeClient) keepHistory(ctx context.Context) {
	for {
		e.mu.Lock()
		p := fakePlacement{time.Now(), map[string]registry.Residency{}}
		for id, g := range e.byID {
			var r registry.Residency
			for model := range g.models {
				if g.loading[model].IsZero() {
					r.Models = append(r.Models, registry.ResidentModel{Model: model})
				}
			}
			p.byTarget[id] = r
		}
		e.history = append(e.history, p)
		e.mu.Unlock()
		if !sleep.For(ctx, reportInterval) {
			return
		}
	}
}

func (e *fakeClient) loadedBefore(at time.Time) (out map[string]registry.Residency) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.history {
		if !p.at.After(at) {
			out = p.byTarget
		}
	}
	return out
}

func newFakeClient(t *testing.T, ids ...string) *fakeClient {
	e := &fakeClient{t: t, random: rand.New(rand.NewPCG(5, 5)), byID: map[string]*fakeEngine{}}
	for _, id := range ids {
		e.byID[id] = &fakeEngine{models: map[string]map[string]bool{}, loading: map[string]time.Time{}}
	}
	return e
}

func (e *fakeClient) Send(_ context.Context, t *registry.Target, o orders.Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() >= e.lateFraction {
		return e.execute(t.ID, o)
	}
	delay := 2*time.Second + time.Duration(e.random.Int64N(int64(10*time.Second)))
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_, _ = e.execute(t.ID, o)
	})
	return false, errors.New("no answer")
}

// execute executes an order as the platform specifies it. The caller holds mu.
func (e *fakeClient) execute(id string, o orders.Order) (bool, error) {
	g := e.byID[id]
	e.finishLoads(g)
	g.fences, g.holders = append(g.fences, o.Fence), append(g.holders, o.Holder)
	if !e.ignoreExpected && o.ExpectedAccepted != g.accepted || o.Adapter == "" && len(g.loading) > 0 {
		return false, orders.ErrConflict
	}
	if o.Adapter != "" {
		return e.executeAdapterOrder(id, g, o)
	}
	switch o.Op {
	case orders.Load:
		if g.models[o.Model] != nil {
			return true, nil
		}
		if float64(len(g.models)+1)*modelMB > engineMB {
			e.overcommits = append(e.overcommits, fmt.Sprintf("%s: %s beside %v", id, o.Model, g.models))
		}
		g.models[o.Model] = map[string]bool{}
		g.loading[o.Model] = time.Now().Add(loadTime)
		e.loads = append(e.loads, time.Now())
	case orders.Unload:
		if g.models[o.Model] == nil {
			return true, nil
		}
		delete(g.models, o.Model)
	}
	g.accepted++
	return false, nil
}

// executeAdapterOrder executes an order for an adapter. The caller holds mu.
func (e *fakeClient) executeAdapterOrder(id string, g *fakeEngine, o orders.Order) (bool, error) {
	loaded := g.models[o.Model]
	if loaded == nil {
		return false, orders.ErrInvalid
	}
	name := adapterName{o.Model, o.Adapter}
	if loaded[o.Adapter] == (o.Op == orders.Load) || slices.Contains(g.leaving, name) {
		return true, nil // an order that holds already is not counted
	}
	g.accepted++
	if o.Op == orders.Unload && g.inUse {
		g.leaving = append(g.leaving, name)
		return false, nil
	}
	if o.Op == orders.Unload {
		delete(loaded, o.Adapter)
		return true, nil
	}
	n := 0
	for _, adapters := range g.models {
		n += len(adapters)
	}
	if n >= adapterSlots {
		e.overcommits = append(e.overcommits, fmt.Sprintf("%s: adapter %s beyond the slots", id, o.Adapter))
	}
	loaded[o.Adapter] = true
	return false, nil
}

// finishLoads ends the loads whose time has passed. The caller holds mu.
func (e *fakeClient) finishLoads(g *fakeEngine) {
	for model, at := range g.loading {
		if !time.Now().Before(at) {
			delete(g.loading, model)
		}
	}
}

// result returns the overcommits and the number of loads.
func (e *fakeClient) result() (overcommits []string, loads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.overcommits), len(e.loads)
}

func (e *fakeClient) Report(_ context.Context, t *registry.Target) (orders.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[t.ID].report, nil
}

// refreshReports updates the reports every reportInterval until ctx ends.
func (e *fakeClient) refreshReports(ctx context.Context) {
	for sleep.For(ctx, reportInterval) {
		e.mu.Lock()
		for _, g := range e.byID {
			e.finishLoads(g)
			g.report = orders.Report{Busy: len(g.loading) > 0, Accepted: g.accepted}
			for model, adapters := range g.models {
				r := registry.ResidentModel{Model: model}
				for a := range adapters {
					r.Adapters = append(r.Adapters, a)
				}
				g.report.Models = append(g.report.Models, r)
			}
		}
		e.mu.Unlock()
	}
}

// newCatalog returns a configuration with n models, the first of which has adapters.
func newCatalog(n int) *catalog.Catalog {
	e := &catalog.Engine{
		Slots: 64, MemoryMB: engineMB, AdapterSlots: adapterSlots, LoadsPerSecond: 2.1,
		Models: map[string]*catalog.Model{},
	}
	for i := range n {
		m := &catalog.Model{Name: fmt.Sprintf("m%d", i), WeightsMB: modelMB, StoreLoadTime: loadTime, DiskLoadTime: loadTime}
		if i == 0 {
			for a := range 12 {
				m.Adapters = append(m.Adapters, fmt.Sprintf("a%d", a+1))
			}
		}
		e.Models[m.Name] = m
	}
	return catalog.New(catalog.Content{Version: 1, Services: []*catalog.Service{{Name: "s", Engine: e}}})
}

func newTargets(ids ...string) []*registry.Target {
	var out []*registry.Target
	for _, id := range ids {
		out = append(out, &registry.Target{ID: id, Service: "s", Zone: id, Slots: 64})
	}
	return out
}

// candidate is a host that campaigns for the placement lease.
type candidate struct {
	*Placer
	mu        sync.Mutex
	demand    Demand
	demands   int          // calls of Demand
	published atomic.Int64 // calls of Publish
	paused    atomic.Value // id of the target that has asked for a pause
	cancel    context.CancelFunc
	done      chan struct{}
}

func (h *candidate) setDemand(engineLoad map[string]float64, adapters map[string]float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand = Demand{EngineLoad: engineLoad, Adapters: adapters}
}

func startCandidate(t *testing.T, name string, store *memkv.Store, client orders.Client, models int, ids ...string) *candidate {
	return startCandidateWith(t, name, store, client, newCatalog(models), false, ids...)
}

func startCandidateWith(t *testing.T, name string, store *memkv.Store, client orders.Client, c *catalog.Catalog, waves bool, ids ...string) *candidate {
	h := &candidate{done: make(chan struct{})}
	h.paused.Store("")
	h.Placer = New(Config{
		Host: name, Lease: lease.New(store, "placement", name, leaseTTL), Client: client, LoadRateFactor: 1.1,
		Demand: func() Demand {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.demands++
			return h.demand
		},
		Suspects: func() map[string]bool { return nil }, Publish: func() { h.published.Add(1) },
		Paused:        func(id string) bool { return h.paused.Load() == id },
		StateInterval: func() time.Duration { return 200 * time.Millisecond },
		Waves:         waves, DemandTimeConstant: 1500 * time.Millisecond,
		LoadedBefore: func(at time.Time) map[string]registry.Residency {
			if f, ok := client.(*fakeClient); ok {
				return f.loadedBefore(at)
			}
			return nil
		},
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
	h.SetCatalog(c)
	h.SetTargets(newTargets(ids...))
	ctx, cancel := context.WithCancel(t.Context())
	h.cancel = cancel
	go func() { h.Run(ctx); close(h.done) }()
	return h
}

func (h *candidate) stop() { h.cancel(); <-h.done }

var ids = []string{"a", "b", "c", "d", "e", "f"}

// runWithLateOrders shifts demand between models and passes the lease from host to host, while half of the orders get no
// answer and are executed seconds later.
func runWithLateOrders(t *testing.T, seed uint64, ignoreExpected bool) *fakeClient {
	client := newFakeClient(t, ids...)
	client.random = rand.New(rand.NewPCG(5, seed))
	client.lateFraction, client.ignoreExpected = 0.5, ignoreExpected
	ctx, cancel := context.WithCancel(t.Context())
	go client.refreshReports(ctx)
	store := memkv.New()
	r := rand.New(rand.NewPCG(9, seed))
	for term := range 4 {
		h := startCandidate(t, fmt.Sprint("host", term), store, client, 8, ids...)
		for range 40 {
			h.setDemand(map[string]float64{fmt.Sprint("m", r.IntN(8)): 900, "m0": 300}, map[string]float64{fmt.Sprint("m0/a", 1+r.IntN(12)): 2})
			ensure, done := context.WithTimeout(ctx, 300*time.Millisecond)
			_, _ = h.Ensure(ensure, "s", "m0", fmt.Sprint("a", 1+r.IntN(12)))
			done()
			time.Sleep(300 * time.Millisecond)
		}
		h.stop()
	}
	time.Sleep(15 * time.Second)
	cancel()
	time.Sleep(time.Minute)
	return client
}

// Guards against overcommitted memory and adapter slots: a target executes an order late, after later orders were planned.
func TestLateOrdersOvercommitNothing(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			overcommits, loads := runWithLateOrders(t, seed, false).result()
			for _, o := range overcommits {
				t.Errorf("seed %d: %s", seed, o)
			}
			if loads < 8 {
				t.Errorf("seed %d: %d loads, want at least 8", seed, loads)
			}
		})
	}
}

// Negative control: engines that ignore the number of accepted orders must be overcommitted. Which orders of one instant
// are late depends on the order in which goroutines run, so a single run may show no overcommit.
func TestLateOrdersDetectsIgnoredOrderNumbers(t *testing.T) {
	for seed := range uint64(50) {
		caught := false
		synctest.Test(t, func(t *testing.T) {
			overcommits, _ := runWithLateOrders(t, seed, true).result()
			caught = len(overcommits) > 0
		})
		if caught {
			t.Logf("caught in run %d", seed+1)
			return
		}
	}
	t.Fatal("nothing was overcommitted although engines executed late orders in addition to later ones")
}

// Guards against two hosts that send orders in the same term, and against decreasing epochs (fencing numbers): the lease
// passes from a host to a waiting one.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFakeClient(t, ids...)
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		store := memkv.New()
		first := startCandidate(t, "first", store, client, 8, ids...)
		time.Sleep(time.Second)
		second := startCandidate(t, "second", store, client, 8, ids...)
		for _, h := range []*candidate{first, second} {
			h.setDemand(map[string]float64{"m1": 900}, nil)
		}
		time.Sleep(10 * time.Second)
		first.stop()
		second.setDemand(map[string]float64{"m2": 900}, nil)
		time.Sleep(10 * time.Second)
		second.stop()
		cancel()
		time.Sleep(time.Minute)
		holders := 0
		client.mu.Lock()
		defer client.mu.Unlock()
		for id, g := range client.byID {
			if !slices.IsSorted(g.fences) {
				t.Errorf("%s received decreasing fencing numbers: %v", id, g.fences)
			}
			if len(slices.Compact(slices.Clone(g.holders))) > 2 {
				t.Errorf("%s received orders of alternating holders: %v", id, g.holders)
			}
			holderOf := map[int64]string{}
			for i, fence := range g.fences {
				if other, seen := holderOf[fence]; seen && other != g.holders[i] {
					t.Errorf("%s received orders of %s and %s with the fencing number %d", id, other, g.holders[i], fence)
				}
				holderOf[fence] = g.holders[i]
			}
			holders += len(slices.Compact(slices.Clone(g.holders)))
		}
		if holders <= len(ids) {
			t.Error("the second holder sent no orders")
		}
	})
}

// Guards against requests whose adapter is not loaded, or not within 100 ms: requests ask for more adapters than the
// targets have slots for.
func TestAdaptersAreLoadedOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFakeClient(t, "a", "b")
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "host", memkv.New(), client, 2, "a", "b")
		h.setDemand(map[string]float64{"m0": 100}, nil)
		time.Sleep(10 * time.Second)
		for round := range 3 {
			for a := range 12 {
				began := time.Now()
				name := fmt.Sprint("a", a+1)
				id, err := h.Ensure(ctx, "s", "m0", name)
				if err != nil || time.Since(began) > 100*time.Millisecond {
					t.Errorf("round %d, %s: %v after %v", round, name, err, time.Since(began))
					continue
				}
				client.mu.Lock()
				if !client.byID[id].models["m0"][name] {
					t.Errorf("%s has not loaded %s", id, name)
				}
				client.mu.Unlock()
			}
		}
		h.stop()
		cancel()
		time.Sleep(time.Minute)
		overcommits, _ := client.result()
		for _, o := range overcommits {
			t.Error(o)
		}
	})
}

// Guards against a wrong number of accepted orders: a target does not count an order to load an adapter that it has, or to unload one that
// it is unloading. With a higher number the controller gives the target no further order, and a late order is not tied to the state that
// it was planned for.
func TestOrdersThatHoldAlreadyAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFakeClient(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "h", memkv.New(), client, 1, "a")
		time.Sleep(5 * time.Second)
		client.mu.Lock()
		client.byID["a"].models["m0"]["a1"] = true // the controller does not know
		client.mu.Unlock()
		check := func(name string) {
			t.Helper()
			if _, err := h.Ensure(ctx, "s", "m0", name); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			if counted, accepted := h.targets["a"].accepted, client.byID["a"].accepted; counted != accepted {
				t.Errorf("%s: %d orders counted, the target has accepted %d", name, counted, accepted)
			}
		}
		for _, name := range []string{"a1", "a2", "a3", "a4"} {
			check(name)
		}
		client.byID["a"].inUse = true
		for range 2 * adapterSlots { // each time an adapter is to be unloaded that is in use
			call, cancel := context.WithTimeout(ctx, time.Second)
			if _, err := h.Ensure(call, "s", "m0", "a5"); err == nil {
				t.Error("loaded although all slots are in use")
			}
			cancel()
			time.Sleep(time.Second)
		}
		client.mu.Lock()
		g := client.byID["a"]
		for _, n := range g.leaving {
			delete(g.models[n.model], n.adapter)
		}
		g.inUse, g.leaving = false, nil
		client.mu.Unlock()
		time.Sleep(time.Second)
		check("a5")
		h.cancel()
		<-h.done
		cancel()
	})
}

// Guards against an adapter that is loaded but not counted because the request that asked for it ended meanwhile: the next
// ones would overcommit the target's adapter slots, on which it crashes.
func TestAdapterOfAnEndedRequestIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFakeClient(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "h", memkv.New(), client, 1, "a")
		time.Sleep(5 * time.Second)
		for i := range 12 {
			call, cancel := context.WithTimeout(ctx, adapterLoadTime/2)
			_, _ = h.Ensure(call, "s", "m0", fmt.Sprintf("a%d", i+1))
			cancel()
			time.Sleep(20 * time.Millisecond)
		}
		if overcommits, _ := client.result(); len(overcommits) > 0 {
			t.Errorf("overcommitted: %v", overcommits)
		}
		h.cancel()
		<-h.done
		cancel()
	})
}

// Guards against a controller that spends its time on requests for adapters: for each of hundreds a second it summed the demand of all
// hosts and published its placement, so that it lost its lease and got configurations late.
func TestRequestsForAdaptersCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFakeClient(t, "a", "b")
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "h", memkv.New(), client, 2, "a", "b")
		h.setDemand(map[string]float64{"m0": 100}, nil)
		time.Sleep(10 * time.Second)
		h.mu.Lock()
		demands, published, began := h.demands, h.published.Load(), time.Now()
		h.mu.Unlock()
		for i := range 500 {
			_, _ = h.Ensure(ctx, "s", "m0", fmt.Sprintf("a%d", i%12+1))
			_, _ = h.Ensure(ctx, "s", "not loaded", "a1")
		}
		plans := int(time.Since(began)/planInterval) + 1
		if n := h.demands - demands; n > plans {
			t.Errorf("summed the demand %d times in %d plans", n, plans)
		}
		if n := h.published.Load() - published; n > int64(plans+int(time.Since(began)/publishDelay)) {
			t.Errorf("published %d times in %v", n, time.Since(began))
		}
		h.cancel()
		<-h.done
		cancel()
	})
}

// Guards against a controller that ends itself when a request asks for an adapter of a service without adapter slots.
func TestAdapterWithoutSlotsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFakeClient(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "h", memkv.New(), client, 1, "a")
		c := newCatalog(1)
		c.Service("s").Engine.AdapterSlots = 0
		h.SetCatalog(c)
		h.setDemand(map[string]float64{"m0": 10}, map[string]float64{"m0/a1": 5})
		time.Sleep(5 * time.Second)
		if id, err := h.Ensure(ctx, "s", "m0", "a1"); !errors.Is(err, ErrNoSlot) {
			t.Errorf("%q %v", id, err)
		}
		h.cancel()
		<-h.done
		cancel()
	})
}
