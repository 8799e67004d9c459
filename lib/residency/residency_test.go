package residency

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "24", "60")) }

const (
	tick           = 100 * time.Millisecond
	storeLoadTime  = 12 * tick
	diskLoadTime   = 5 * tick
	unloadTime     = 10 * tick // the model's running requests have to finish first
	loadsPerSecond = 2.1
	loadBurst      = 2.0
	targetMB       = 200_000.0
)

var start = time.Unix(1000, 0)

// order is an order that a target executes.
type order struct {
	Action
	done time.Time
}

// fleet simulates targets that execute the orders of a planner, and fails the test on orders that break an invariant.
type fleet struct {
	t          testing.TB
	targets    []*Target
	inProgress map[string]order
	now        time.Time
	loads      []time.Time // starts of loads from the weight store
	fullSpeed  float64     // loads that the weight store runs at full speed; zero: all
	planner    *Planner
}

func newFleet(t testing.TB, n int) *fleet { return newFleetWithRate(t, n, loadsPerSecond) }

func newFleetWithRate(t testing.TB, n int, rate float64) *fleet {
	f := &fleet{
		t: t, inProgress: map[string]order{}, now: start, planner: NewPlanner(rate, loadBurst, true, start),
	}
	for i := range n {
		f.targets = append(f.targets, &Target{
			ID: fmt.Sprintf("t%02d", i), Zone: string(rune('a' + i%4)),
			MemoryMB: targetMB,
		})
	}
	return f
}

func (f *fleet) target(id string) *Target {
	return f.targets[slices.IndexFunc(f.targets, func(t *Target) bool { return t.ID == id })]
}

// step advances the time by a tick, finishes orders that are done, plans once and starts the planned orders.
func (f *fleet) step(models []Model) {
	f.now = f.now.Add(tick)
	for id, o := range f.inProgress {
		if !f.now.Before(o.done) {
			delete(f.inProgress, id)
			f.finish(o)
		}
	}
	ready := f.ready()
	view := make([]*Target, len(f.targets))
	for i, t := range f.targets {
		c := *t
		c.Models = slices.Clone(t.Models)
		_, c.Busy = f.inProgress[t.ID]
		view[i] = &c
	}
	for _, a := range f.planner.Plan(models, view, f.now) {
		if _, busy := f.inProgress[a.Target]; busy {
			f.t.Fatalf("order for busy target: %+v", a)
		}
		f.begin(a, models, ready)
	}
}

func (f *fleet) begin(a Action, models []Model, ready map[string]int) {
	t := f.target(a.Target)
	switch a.Op {
	case orders.Load:
		m := models[slices.IndexFunc(models, func(m Model) bool { return m.Name == a.Model })]
		if t.freeMB() < m.MB || t.hasModel(a.Model) {
			f.t.Fatalf("%s loaded on %s with %.0f MB free", a.Model, t.ID, t.freeMB())
		}
		took := diskLoadTime
		if a.FromStore {
			took = time.Duration(float64(storeLoadTime) * f.slowdown())
			f.loads = append(f.loads, f.now)
			f.planner.Began(a.Target, a.Model, true, f.now)
		}
		t.Models = append(t.Models, LoadedModel{Model: a.Model, MB: m.MB})
		f.inProgress[t.ID] = order{a, f.now.Add(took)}
	case orders.Unload:
		ready[a.Model]--
		if ready[a.Model] < 1 && (f.demand(models, a.Model).used() || !f.lacksSurplus(models, ready)) {
			f.t.Fatalf("last ready copy of %s unloaded", a.Model)
		}
		for i := range t.Models {
			if t.Models[i].Model == a.Model {
				t.Models[i].Ready, t.Models[i].Unloading = false, true
			}
		}
		f.inProgress[t.ID] = order{a, f.now.Add(unloadTime)}
	}
}

// slowdown returns the factor on the duration of a load from the weight store that begins now.
func (f *fleet) slowdown() float64 {
	running := 1.0
	for _, o := range f.inProgress {
		if o.FromStore {
			running++
		}
	}
	if f.fullSpeed == 0 {
		return 1
	}
	return max(1, running/f.fullSpeed)
}

func (f *fleet) demand(models []Model, name string) *Model {
	return &models[slices.IndexFunc(models, func(m Model) bool { return m.Name == name })]
}

// lacksSurplus reports whether a model lacks a copy for which no unload of a surplus copy would free the memory.
func (f *fleet) lacksSurplus(models []Model, ready map[string]int) bool {
	for i := range models {
		m := &models[i]
		if m.used() && ready[m.Name] < m.neededCopies() && !slices.ContainsFunc(f.targets, func(t *Target) bool {
			return !t.hasModel(m.Name) && slices.ContainsFunc(t.Models, func(h LoadedModel) bool {
				v := f.demand(models, h.Model)
				return h.Ready && t.freeMB()+h.MB >= m.MB && ready[v.Name] > v.neededCopies()
			})
		}) {
			return true
		}
	}
	return false
}

func (f *fleet) finish(o order) {
	t := f.target(o.Target)
	if o.Op == orders.Unload {
		t.Models = slices.DeleteFunc(t.Models, func(h LoadedModel) bool { return h.Model == o.Model })
		return
	}
	if !slices.Contains(t.Cached, o.Model) {
		t.Cached = append(t.Cached, o.Model)
	}
	for i := range t.Models {
		if t.Models[i].Model == o.Model {
			t.Models[i].Ready = true
		}
	}
}

func (f *fleet) ready() map[string]int {
	out := map[string]int{}
	for _, t := range f.targets {
		for _, h := range t.Models {
			if h.Ready {
				out[h.Model]++
			}
		}
	}
	return out
}

// crash restarts targets: they lose their models and orders, and keep what is cached on disk.
func (f *fleet) crash(ids ...int) {
	for _, i := range ids {
		f.targets[i].Models = nil
		delete(f.inProgress, f.targets[i].ID)
	}
}

func newModels(n int) []Model {
	out := make([]Model, n)
	for i := range out {
		out[i] = Model{Name: fmt.Sprintf("m%02d", i), MB: []float64{72_700, 65_100, 34_300}[i%3]}
	}
	return out
}

// loadAll runs the fleet for long enough to load every model.
func (f *fleet) loadAll(list []Model) {
	for range 400 {
		f.step(list)
	}
}

// Guards against overcommitted memory, the unload of the last ready copy of a model that is in demand or that need not yield,
// orders for busy targets and loads above the rate of the weight store, while demand moves and targets crash at random. The
// fleet checks the first three.
func TestPlansKeepMemoryCopyAndLoadLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		f := newFleet(t, rapid.IntRange(8, 18).Draw(rt, "targets"))
		if rapid.Bool().Draw(rt, "waves") {
			f.planner.SetWaves(Waves{
				WindowLoads: loadsPerSecond*1.1*LoadWindow.Seconds() + 3, RatePerSecond: loadsPerSecond, DemandTimeConstant: time.Second,
			}, start)
		}
		list := newModels(rapid.IntRange(2, 24).Draw(rt, "models"))
		for range 600 {
			if r.IntN(30) == 0 {
				list[r.IntN(len(list))].EngineLoad = r.Float64() * 5000
			}
			if r.IntN(100) == 0 {
				f.crash(r.IntN(len(f.targets)))
			}
			f.step(list)
		}
		const window = 5 * time.Second
		for i, first := range f.loads {
			n := 0
			for _, at := range f.loads[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			if limit := loadsPerSecond*1.1*window.Seconds() + 3; float64(n) > limit {
				rt.Fatalf("%d loads from the weight store in a window, limit %.0f", n, limit)
			}
		}
	})
}

// Guards against models that stay short of copies after all demand has moved to them: a model with one copy has to get
// three quarters of its needed copies within seconds, and no model may lose its last copy.
func TestMovedDemandGetsCopies(t *testing.T) {
	f, list := newFleet(t, 18), newModels(21)
	f.loadAll(list)
	list[0].EngineLoad = 2500
	for range 150 {
		f.step(list)
	}
	list[0].EngineLoad, list[1].EngineLoad = 0, 2500
	const bound = 8 * time.Second
	for range int(bound / tick) {
		f.step(list)
	}
	if got, want := f.ready()[list[1].Name], list[1].neededCopies(); got < want*3/4 {
		t.Errorf("%d copies after %v, %d needed", got, bound, want)
	}
	for _, m := range list {
		if f.ready()[m.Name] == 0 {
			t.Errorf("%s has no ready copy", m.Name)
		}
	}
}

// Guards against models that stay without a copy after a crash of nearly a quarter of the targets.
func TestModelsAreReloadedAfterCrash(t *testing.T) {
	f, list := newFleet(t, 18), newModels(21)
	f.loadAll(list)
	f.crash(0, 4, 8, 12)
	const bound = 8 * time.Second
	for range int(bound / tick) {
		f.step(list)
	}
	for _, m := range list {
		if f.ready()[m.Name] == 0 {
			t.Errorf("%s has no ready copy %v after the crash", m.Name, bound)
		}
	}
}

// Guards against a successor whose first loads add to its predecessor's and exceed the rate of the weight store.
func TestSuccessorStartsWithoutLoadTokens(t *testing.T) {
	now := start
	p := NewPlanner(loadsPerSecond, loadBurst, false, now)
	list := newModels(6)
	for i := range list {
		list[i].EngineLoad = 10 // models without demand leave a token for those that will have some
	}
	targets := []*Target{{ID: "a", MemoryMB: targetMB}, {ID: "b", MemoryMB: targetMB}}
	if got := p.Plan(list, targets, now.Add(tick)); len(got) > 0 {
		t.Errorf("a successor starts loads at once: %+v", got)
	}
	if got := p.Plan(list, targets, now.Add(time.Second)); len(got) != 2 {
		t.Errorf("a successor starts %d loads after a second, want 2", len(got))
	}
}

// Guards against models in demand that stay without copies because models that nobody asks for hold all the memory and take
// all loads: there are three times as many models as the targets hold. Rare ones that are asked for get a copy too, and give
// it up again.
func TestModelsInDemandDisplaceUnusedOnes(t *testing.T) {
	f, list := newFleet(t, 24), newModels(216)
	f.loadAll(list)
	list[200].EngineLoad, list[201].EngineLoad, list[202].EngineLoad = 2700, 400, 60
	const bound = 10 * time.Second
	for range int(bound / tick) {
		f.step(list)
	}
	ready := f.ready()
	if got, want := ready[list[200].Name], list[200].neededCopies(); got < want*3/4 {
		t.Errorf("%d copies of the hot model after %v, %d needed", got, bound, want)
	}
	for _, i := range []int{201, 202} {
		if ready[list[i].Name] == 0 {
			t.Errorf("%s has no copy %v after it was asked for", list[i].Name, bound)
		}
	}
	for i := range 40 { // each is asked for a while
		list[i].EngineLoad = 80
		for range int(3 * time.Second / tick) {
			f.step(list)
		}
		if f.ready()[list[i].Name] == 0 {
			t.Errorf("%s has no copy 3 s after it was asked for", list[i].Name)
		}
		list[i].EngineLoad = 0
	}
}

// Guards against a hot model that gets its copies one after the other in a large fleet whose memory is full: each has to wait
// for an unload, and these can run side by side.
func TestHotModelGetsManyCopiesAtOnce(t *testing.T) {
	f, list := newFleetWithRate(t, 156, 22), newModels(216)
	for i := range list {
		list[i].EngineLoad = 500 // takes the whole memory
	}
	f.loadAll(list)
	for i := range list {
		list[i].EngineLoad = 100
	}
	list[7].EngineLoad = 6000
	const bound = 5 * time.Second // an unload, a load, and the time in which the weight store starts the loads, with reserve
	for range int(bound / tick) {
		f.step(list)
	}
	if got, want := f.ready()[list[7].Name], list[7].neededCopies(); got < want*3/4 {
		t.Errorf("%d copies after %v, %d needed", got, bound, want)
	}
}

// Guards against a model in demand that never gets a copy because the only surplus copies are smaller than it.
func TestModelWithoutCopyIsLoadedBesideSmallSurplusCopies(t *testing.T) {
	f := newFleet(t, 2)
	list := []Model{{Name: "small", MB: 34_300, EngineLoad: 10}, {Name: "wanted", MB: 72_700, EngineLoad: 50}}
	for i, target := range f.targets {
		target.Models = []LoadedModel{{Model: "small", MB: 34_300, Ready: true}}
		for n := range 2 {
			name := fmt.Sprintf("idle%d", 2*i+n)
			list = append(list, Model{Name: name, MB: 72_700})
			target.Models = append(target.Models, LoadedModel{Model: name, MB: 72_700, Ready: true})
		}
	}
	for range int(5 * time.Second / tick) {
		f.step(list)
	}
	if f.ready()["wanted"] == 0 {
		t.Error("no copy of a model in demand after 5 s, though models that nobody asks for are loaded")
	}
}

// Guards against a model in demand that never gets a copy because further copies of models in higher demand take all memory.
func TestModelWithoutCopyTakesTheMemoryOfAFurtherCopy(t *testing.T) {
	f := newFleet(t, 6)
	list := []Model{{Name: "hot", MB: 72_700, EngineLoad: 5000}, {Name: "warm", MB: 72_700, EngineLoad: 1500}, {Name: "wanted", MB: 72_700, EngineLoad: 50}}
	for _, target := range f.targets {
		target.Models = []LoadedModel{{Model: "hot", MB: 72_700, Ready: true}, {Model: "warm", MB: 72_700, Ready: true}}
	}
	for range int(5 * time.Second / tick) {
		f.step(list)
	}
	if f.ready()["wanted"] == 0 {
		t.Error("no copy of a model in demand after 5 s, though others have six")
	}
}

// Guards against a model in demand that gets no copy while the only surplus copies are at targets that have asked for a pause.
func TestModelWithoutCopyDoesNotWaitForThePauseOfATarget(t *testing.T) {
	const mb = 72_700
	list := []Model{{Name: "rare", MB: mb}, {Name: "spare", MB: mb}, {Name: "wanted", MB: mb, EngineLoad: 50}}
	targets := []*Target{{ID: "a", MemoryMB: mb, Models: []LoadedModel{{Model: "rare", MB: mb, Ready: true}}}}
	for i := range 4 {
		targets = append(targets, &Target{
			ID: fmt.Sprintf("paused%d", i), MemoryMB: mb, Models: []LoadedModel{{Model: "spare", MB: mb, Ready: true}}, Paused: true,
		})
	}
	got := NewPlanner(loadsPerSecond, loadBurst, true, start).Plan(list, targets, start.Add(tick))
	if len(got) != 1 || got[0].Op != orders.Unload || got[0].Target != "a" {
		t.Errorf("%+v, want an unload at the target that takes orders", got)
	}
}

// Guards against callers of a rare model that wait in vain because loads for a model in high demand slow that of its first copy.
func TestFirstCopiesAreNotSlowedByCopiesForDemand(t *testing.T) {
	f, list := newFleetWithRate(t, 40, 3.8), newModels(30)
	f.fullSpeed = 2
	for i := range list {
		list[i].StoreLoadTime = storeLoadTime
	}
	f.loadAll(list[:10])
	list[0].EngineLoad = 6000
	for range int(8 * time.Second / tick) {
		f.step(list[:10])
	}
	for i := 10; i < 30; i += 4 {
		list[i].EngineLoad = 60
		const bound = 2*storeLoadTime + time.Second // a running load, its own, and the time until a plan
		for range int(bound / tick) {
			f.step(list[:i+1])
		}
		if f.ready()[list[i].Name] == 0 {
			t.Errorf("%s has no copy %v after it was asked for", list[i].Name, bound)
		}
	}
	if n := f.planner.FullSpeedLoads(); n < f.fullSpeed*0.75 || n > f.fullSpeed*2 {
		t.Errorf("the store is taken to run %.1f loads at full speed, it runs %.0f", n, f.fullSpeed)
	}
}
