package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/demand"
	"cuminhook.org/cuminhook/lib/ledger"
	"cuminhook.org/cuminhook/lib/placement"
)

// wildPlanner plans at random, memory and reachability aside, so that the controller's own rules are tested
// and not those of the planner.
type wildPlanner struct {
	rng   *rand.Rand
	inner Planner
}

func (p *wildPlanner) Plan(in *placement.Input) []placement.Action {
	actions := p.inner.Plan(in)
	for _, t := range in.Targets {
		m := in.Models[p.rng.IntN(len(in.Models))]
		a := placement.Action{Op: placement.Load, Kind: placement.KindModel, Name: m.Name, Target: t.ID, Bytes: m.Bytes, Reason: "wild"}
		switch p.rng.IntN(24) {
		case 0:
			actions = append(actions, a)
		case 1, 2, 3:
			a.Op = placement.Unload
			actions = append(actions, a)
		}
	}
	return actions
}

// rough are the faults of orders and writes in the state machine.
var rough = faults{lost: 0.05, unanswered: 0.08, late: 0.08, duplicated: 0.1, refused: 0.03, kvUnknown: 0.05}

// machine drives controllers, engines and the key-value service through random events.
type machine struct {
	w       *world
	planner func() Planner
	active  []*process
	seq     int64
}

func newMachine(t *rapid.T, f faults) *machine {
	seed := rapid.Uint64().Draw(t, "seed")
	w := newWorld(seed)
	w.faults = f
	for i := range 6 {
		w.addEngine(fmt.Sprintf("e%d", i), string(rune('a'+i%3)), 100, i%2 == 0 && !f.noFencing)
	}
	w.addModels("m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7")
	m := &machine{w: w}
	m.planner = func() Planner {
		inner := placement.New(placement.DefaultConfig())
		return &wildPlanner{rand.New(rand.NewPCG(seed, 2)), inner}
	}
	m.active = []*process{w.start(m.planner), w.start(m.planner)}
	time.Sleep(12 * time.Second)
	return m
}

func (m *machine) actions() map[string]func(*rapid.T) {
	w := m.w
	proc := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "process") }
	eng := func(t *rapid.T) *fakeEngine {
		return w.engines[fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "engine"))]
	}
	locked := func(fn func()) { w.mu.Lock(); defer w.mu.Unlock(); fn() }
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
		"pause": func(t *rapid.T) {
			m.active[proc(t)].pause()
			time.Sleep(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
		},
		"resume": func(t *rapid.T) { m.active[proc(t)].unpause() },
		"kill": func(t *rapid.T) {
			i := proc(t)
			m.active[i].kill()
			m.active[i] = w.start(m.planner)
		},
		"outage": func(t *rapid.T) {
			locked(func() { w.kvDown = true })
			time.Sleep(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
			locked(func() { w.kvDown = false })
		},
		"crash": func(t *rapid.T) { e := eng(t); locked(func() { w.noteHeld(); e.alive = false }) },
		"leave": func(t *rapid.T) {
			i := rapid.IntRange(0, 5).Draw(t, "engine")
			locked(func() { w.hosts[i].Leaving = !w.hosts[i].Leaving })
		},
		"unlist": func(t *rapid.T) {
			i := rapid.IntRange(0, 5).Draw(t, "engine")
			all := w.hosts
			locked(func() { w.hosts = slices.Delete(slices.Clone(all), i, i+1) })
			time.Sleep(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			locked(func() { w.hosts = all })
		},
		"reboot": func(t *rapid.T) { e := eng(t); locked(func() { w.noteHeld(); w.boot(e) }) },
		"demand": func(t *rapid.T) {
			m.demand(rapid.IntRange(0, 7).Draw(t, "model"), rapid.Int64Range(0, 60).Draw(t, "requests"))
		},
		"": func(t *rapid.T) {
			locked(func() {
				if len(w.violations) > 0 {
					t.Fatalf("%s", strings.Join(w.violations, "\n"))
				}
			})
		},
	}
}

func (m *machine) demand(model int, requests int64) {
	m.seq++
	r := &demand.Report{Gateway: "g", Boot: "b", Seq: m.seq, Models: []demand.Model{
		{Name: fmt.Sprintf("m%d", model), Requests: requests, Prompt: requests * 500, Output: requests * 200},
	}}
	for _, p := range m.active {
		m.w.wg.Go(func() { _ = p.c.Service().Demand(r, &demand.Reply{}) }) // blocks while p is paused
	}
}

// settle ends all faults and waits until the controllers had time to repair.
func (m *machine) settle() {
	w := m.w
	w.mu.Lock()
	w.faults, w.kvDown = faults{}, false
	for i := range w.hosts {
		w.hosts[i].Leaving = false
	}
	for _, e := range w.engines {
		if !e.alive {
			w.boot(e)
		}
	}
	w.mu.Unlock()
	for _, p := range m.active {
		p.unpause()
	}
	time.Sleep(90 * time.Second)
}

// roomFor reports whether some ledger has room for a model that is not held there in any state.
func (m *machine) roomFor(name string) bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for id := range m.w.engines {
		l, err := ledger.Decode(m.w.kv[ledger.Key(testCell, id)].Value)
		if err == nil && l.Entry(placement.KindModel, name) == nil && l.Free() >= m.w.state.Models[name].Bytes {
			return true
		}
	}
	return false
}

// run is the property: whatever happens, no engine holds more than its capacity, every unload leaves a copy
// and is ordered under the lease, and every model with room is reachable once the faults end.
func run(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(t, f)
		defer m.w.stop()
		t.Repeat(m.actions())
		m.settle()
		for _, name := range m.w.unreachable() {
			if m.roomFor(name) {
				t.Fatalf("model %s is unreachable although there is room", name)
			}
		}
		m.actions()[""](t)
	}
}

// Guards against overcommitted memory and lost models under any interleaving of faults.
func TestControllerUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ rapid.TB }{t}, run(rough)) })
}

// Guards against a model that leaves the view although an engine has it: with order and write faults and
// failing targets, but with a controller that works.
func TestHeldModelsStayReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := newMachine(t, rough)
			defer m.w.stop()
			actions := m.actions()
			for _, name := range []string{"pause", "resume", "kill", "outage"} {
				delete(actions, name)
			}
			violations := actions[""]
			actions[""] = func(t *rapid.T) {
				violations(t)
				before := m.w.unreachable()
				if len(before) == 0 {
					return
				}
				// A target's failure takes some seconds to notice, and another copy may be on its way out.
				time.Sleep(2*unreachableAfter + viewDelay)
				for _, name := range m.w.unreachable() {
					if e := m.w.holder20(name); e != "" && slices.Contains(before, name) {
						t.Fatalf("%s is not reachable although %s has held it for 20 s", name, e)
					}
				}
			}
			t.Repeat(actions)
		})
	})
}

// holder20 returns a living, listed engine that has held the model for 20 s.
func (w *world) holder20(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		e := w.engines[h.ID]
		if key := "model/" + name; e.alive && e.loaded[key] && time.Since(e.since[key]) > 20*time.Second {
			return e.id
		}
	}
	return ""
}

// Guards the check itself: each rule that is broken on purpose must be found by the property above.
func TestBrokenRulesAreFound(t *testing.T) {
	broken := map[string]faults{
		"intent not written first":       {late: 0.2, lost: 0.1, unanswered: 0.2, skipIntent: true},
		"doubt dropped at take-over":     {late: 0.5, noFencing: true, dropDoubt: true},
		"unload before confirmation":     {earlyConfirm: true},
		"lease not checked before order": {skipLease: true},
	}
	for name, f := range broken {
		t.Run(name, func(t *testing.T) {
			found := ""
			defer func(old string) { _ = flag.Set("rapid.checks", old) }(flag.Lookup("rapid.checks").Value.String())
			_ = flag.Set("rapid.checks", "300") // the first failure ends it
			synctest.Test(t, func(t *testing.T) {
				rec := &recorder{TB: t}
				func() {
					defer func() { _ = recover() }()
					rapid.Check(rec, run(f))
				}()
				found = rec.failure
			})
			if found == "" {
				t.Fatal("the broken rule was not found")
			}
			t.Log(found)
		})
	}
}

// recorder keeps the failure of a property instead of failing the test.
type recorder struct {
	rapid.TB
	failure string
}

func (r *recorder) Errorf(format string, args ...any) { r.failure = fmt.Sprintf(format, args...) }
func (r *recorder) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	panic(r)
}
func (r *recorder) FailNow()            { panic(r) }
func (r *recorder) Logf(string, ...any) {}
