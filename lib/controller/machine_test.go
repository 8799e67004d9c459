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

// randomPlanner adds random actions to those of another planner, without regard to memory and reachability, so that the
// rules of the controller itself are tested and not those of the planner.
type randomPlanner struct {
	rng   *rand.Rand
	inner Planner
}

func (p *randomPlanner) Plan(in *placement.Input) []placement.Action {
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

// mixedFaults are the faults of orders and writes in the tests of the state machine.
var mixedFaults = faults{lost: 0.05, unanswered: 0.08, late: 0.08, duplicated: 0.1, refused: 0.03, kvUnknown: 0.05}

// machine drives controllers, engines and the key-value service through random events.
type machine struct {
	env     *testEnv
	planner func() Planner
	active  []*process
	seq     int64
}

func newMachine(t *rapid.T, f faults) *machine {
	seed := rapid.Uint64().Draw(t, "seed")
	env := newTestEnv(seed)
	env.faults = f
	for i := range 6 {
		env.addEngine(fmt.Sprintf("e%d", i), string(rune('a'+i%3)), 100, i%2 == 0 && !f.noFencing)
	}
	env.addModels("m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7")
	m := &machine{env: env}
	m.planner = func() Planner {
		inner := placement.New(placement.DefaultConfig())
		return &randomPlanner{rand.New(rand.NewPCG(seed, 2)), inner}
	}
	m.active = []*process{env.start(m.planner), env.start(m.planner)}
	time.Sleep(12 * time.Second)
	return m
}

// actions returns the random events by name. The one without a name is the check after every event.
func (m *machine) actions() map[string]func(*rapid.T) {
	env := m.env
	proc := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "process") }
	eng := func(t *rapid.T) *fakeEngine {
		return env.engines[fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "engine"))]
	}
	locked := func(fn func()) { env.mu.Lock(); defer env.mu.Unlock(); fn() }
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
			m.active[i] = env.start(m.planner)
		},
		"outage": func(t *rapid.T) {
			locked(func() { env.kvDown = true })
			time.Sleep(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
			locked(func() { env.kvDown = false })
		},
		"crash": func(t *rapid.T) { e := eng(t); locked(func() { env.recordLoaded(); e.alive = false }) },
		"leave": func(t *rapid.T) {
			i := rapid.IntRange(0, 5).Draw(t, "engine")
			locked(func() { env.hosts[i].Leaving = !env.hosts[i].Leaving })
		},
		"unlist": func(t *rapid.T) {
			i := rapid.IntRange(0, 5).Draw(t, "engine")
			all := env.hosts
			locked(func() { env.hosts = slices.Delete(slices.Clone(all), i, i+1) })
			time.Sleep(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			locked(func() { env.hosts = all })
		},
		"reboot": func(t *rapid.T) { e := eng(t); locked(func() { env.recordLoaded(); env.boot(e) }) },
		"demand": func(t *rapid.T) {
			m.demand(rapid.IntRange(0, 7).Draw(t, "model"), rapid.Int64Range(0, 60).Draw(t, "requests"))
		},
		"": func(t *rapid.T) {
			locked(func() {
				if len(env.violations) > 0 {
					t.Fatalf("%s", strings.Join(env.violations, "\n"))
				}
			})
		},
	}
}

// demand sends a gateway's report of requests for a model to all processes.
func (m *machine) demand(model int, requests int64) {
	m.seq++
	r := &demand.Report{Gateway: "g", Boot: "b", Seq: m.seq, Models: []demand.Model{
		{Name: fmt.Sprintf("m%d", model), Requests: requests, Prompt: requests * 500, Output: requests * 200},
	}}
	for _, p := range m.active {
		m.env.wg.Go(func() { _ = p.c.Service().Demand(r, &demand.Reply{}) }) // blocks while p is paused
	}
}

// endFaults ends all faults and waits long enough for the controllers to load the missing models again.
func (m *machine) endFaults() {
	env := m.env
	env.mu.Lock()
	env.faults, env.kvDown = faults{}, false
	for i := range env.hosts {
		env.hosts[i].Leaving = false
	}
	for _, e := range env.engines {
		if !e.alive {
			env.boot(e)
		}
	}
	env.mu.Unlock()
	for _, p := range m.active {
		p.unpause()
	}
	time.Sleep(90 * time.Second)
}

// hasFreeMemoryFor reports whether the ledger of any target has free memory for the model and no entry of it.
func (m *machine) hasFreeMemoryFor(name string) bool {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	for id := range m.env.engines {
		l, err := ledger.Decode(m.env.kv[ledger.Key(testCell, id)].Value)
		if err == nil && l.Entry(placement.KindModel, name) == nil && l.FreeBytes() >= m.env.state.Models[name].Bytes {
			return true
		}
	}
	return false
}

// checkInvariants returns the property that is tested: under any events, no engine uses more memory than it has, orders
// are sent only under the lease, and every unload leaves another copy. Once the faults end, every model is reachable for
// which a target has free memory.
func checkInvariants(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(t, f)
		defer m.env.stop()
		t.Repeat(m.actions())
		m.endFaults()
		for _, name := range m.env.unreachable() {
			if m.hasFreeMemoryFor(name) {
				t.Fatalf("model %s is unreachable although a target has free memory for it", name)
			}
		}
		m.actions()[""](t)
	}
}

// Guards against overcommitted memory of engines and lost models under random interleavings of faults.
func TestNoOvercommitOrLostModelUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ rapid.TB }{t}, checkInvariants(mixedFaults)) })
}

// Guards against a model that is missing from the view for long although an engine has it loaded. Orders, writes and
// targets fail here, but no controller is paused or killed, and the key-value service has no outage.
func TestLoadedModelsStayReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := newMachine(t, mixedFaults)
			defer m.env.stop()
			actions := m.actions()
			for _, name := range []string{"pause", "resume", "kill", "outage"} {
				delete(actions, name)
			}
			violations := actions[""]
			actions[""] = func(t *rapid.T) {
				violations(t)
				before := m.env.unreachable()
				if len(before) == 0 {
					return
				}
				// It takes some seconds to detect that a target has failed, and another copy may be retiring.
				time.Sleep(2*unreachableTimeout + viewPropagationDelay)
				for _, name := range m.env.unreachable() {
					if e := m.env.loadedFor20s(name); e != "" && slices.Contains(before, name) {
						t.Fatalf("%s is not reachable although %s has had it loaded for 20 s", name, e)
					}
				}
			}
			t.Repeat(actions)
		})
	})
}

// loadedFor20s returns the id of a live, listed engine that has had the model loaded for more than 20 s, or "".
func (env *testEnv) loadedFor20s(name string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, h := range env.hosts {
		e := env.engines[h.ID]
		if key := "model/" + name; e.alive && e.loaded[key] && time.Since(e.loadedAt[key]) > 20*time.Second {
			return e.id
		}
	}
	return ""
}

// Guards against a property that misses faults: checkInvariants must fail for each rule that is broken on purpose.
func TestInvariantsDetectBrokenRules(t *testing.T) {
	broken := map[string]faults{
		"intended order not stored before it is sent":      {late: 0.2, lost: 0.1, unanswered: 0.2, skipIntent: true},
		"unresolved orders dropped at the start of a term": {late: 0.5, noFencing: true, dropUnresolved: true},
		"load confirmed before it is complete":             {earlyConfirm: true},
		"lease not checked before order":                   {skipLease: true},
	}
	for name, f := range broken {
		t.Run(name, func(t *testing.T) {
			found := ""
			defer func(old string) { _ = flag.Set("rapid.checks", old) }(flag.Lookup("rapid.checks").Value.String())
			_ = flag.Set("rapid.checks", "300") // the first failure ends the run
			synctest.Test(t, func(t *testing.T) {
				rec := &recorder{TB: t}
				func() {
					defer func() { _ = recover() }()
					rapid.Check(rec, checkInvariants(f))
				}()
				found = rec.failure
			})
			if found == "" {
				t.Fatal("checkInvariants did not detect the broken rule")
			}
			t.Log(found)
		})
	}
}

// recorder records the failure of a property instead of failing the test.
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
