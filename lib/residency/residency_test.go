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
	tick      = 100 * time.Millisecond
	loadTime  = 12 * tick
	diskTime  = 5 * tick
	leaveTime = 10 * tick // of a model whose runs have to finish
	rate      = 2.1       // loads a second
	burst     = 2.0
	memory    = 200_000.0
)

var start = time.Unix(1000, 0)

// order is an order that a target carries out.
type order struct {
	Action
	done time.Time
}

// fleet is targets that carry orders out.
type fleet struct {
	t       testing.TB
	targets []*Target
	under   map[string]order
	now     time.Time
	loads   []time.Time // starts of loads from the weight store
	planner *Planner
}

func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{t: t, under: map[string]order{}, now: start, planner: NewPlanner(rate, burst, true, start)}
	for i := range n {
		f.targets = append(f.targets, &Target{ID: fmt.Sprintf("t%02d", i), Zone: string(rune('a' + i%4)), MB: memory})
	}
	return f
}

func (f *fleet) target(id string) *Target {
	return f.targets[slices.IndexFunc(f.targets, func(t *Target) bool { return t.ID == id })]
}

// step plans once and carries out what is due.
func (f *fleet) step(models []Model) {
	f.now = f.now.Add(tick)
	for id, o := range f.under {
		if !f.now.Before(o.done) {
			delete(f.under, id)
			f.finish(o)
		}
	}
	ready := f.ready()
	view := make([]*Target, len(f.targets))
	for i, t := range f.targets {
		c := *t
		c.Held = slices.Clone(t.Held)
		_, c.Busy = f.under[t.ID]
		view[i] = &c
	}
	for _, a := range f.planner.Plan(models, view, f.now) {
		if _, busy := f.under[a.Target]; busy {
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
		if t.free() < m.MB || t.holds(a.Model) {
			f.t.Fatalf("%s loaded on %s with %.0f MB free", a.Model, t.ID, t.free())
		}
		took := diskTime
		if a.FromStore {
			took = loadTime
			f.loads = append(f.loads, f.now)
		}
		t.Held = append(t.Held, Held{Model: a.Model, MB: m.MB})
		f.under[t.ID] = order{a, f.now.Add(took)}
	case orders.Unload:
		ready[a.Model]--
		if ready[a.Model] < 1 {
			f.t.Fatalf("last ready copy of %s unloaded", a.Model)
		}
		for i := range t.Held {
			if t.Held[i].Model == a.Model {
				t.Held[i].Ready, t.Held[i].Going = false, true
			}
		}
		f.under[t.ID] = order{a, f.now.Add(leaveTime)}
	}
}

func (f *fleet) finish(o order) {
	t := f.target(o.Target)
	if o.Op == orders.Unload {
		t.Held = slices.DeleteFunc(t.Held, func(h Held) bool { return h.Model == o.Model })
		return
	}
	if !slices.Contains(t.AtHand, o.Model) {
		t.AtHand = append(t.AtHand, o.Model)
	}
	for i := range t.Held {
		if t.Held[i].Model == o.Model {
			t.Held[i].Ready = true
		}
	}
}

func (f *fleet) ready() map[string]int {
	out := map[string]int{}
	for _, t := range f.targets {
		for _, h := range t.Held {
			if h.Ready {
				out[h.Model]++
			}
		}
	}
	return out
}

// crash lets targets start anew without models.
func (f *fleet) crash(ids ...int) {
	for _, i := range ids {
		f.targets[i].Held = nil
		delete(f.under, f.targets[i].ID)
	}
}

func models(n int) []Model {
	out := make([]Model, n)
	for i := range out {
		out[i] = Model{Name: fmt.Sprintf("m%02d", i), MB: []float64{72_700, 65_100, 34_300}[i%3]}
	}
	return out
}

// settle lets the fleet load every model once.
func (f *fleet) settle(list []Model) {
	for range 400 {
		f.step(list)
	}
}

// Guards against memory that is overcommitted, a last copy that is unloaded, orders for busy targets and loads above the
// weight store's rate, while demand moves and targets crash at random. The fleet checks the first three.
func TestPlansAreSafe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		f := newFleet(t, rapid.IntRange(8, 18).Draw(rt, "targets"))
		list := models(rapid.IntRange(2, 24).Draw(rt, "models"))
		for range 600 {
			if r.IntN(30) == 0 {
				list[r.IntN(len(list))].Work = r.Float64() * 5000
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
			if limit := rate*1.1*window.Seconds() + 3; float64(n) > limit {
				rt.Fatalf("%d loads in a window, limit %.0f", n, limit)
			}
		}
	})
}

// Plays demand that moves to a model with one copy: it has to get enough copies within a few seconds.
func TestDemandThatMoves(t *testing.T) {
	f, list := newFleet(t, 18), models(21)
	f.settle(list)
	list[0].Work = 2500
	for range 150 {
		f.step(list)
	}
	list[0].Work, list[1].Work = 0, 2500
	const bound = 8 * time.Second
	for range int(bound / tick) {
		f.step(list)
	}
	if got, want := f.ready()[list[1].Name], list[1].needed(); got < want*3/4 {
		t.Errorf("%d copies after %v, %d needed", got, bound, want)
	}
	for _, m := range list {
		if f.ready()[m.Name] == 0 {
			t.Errorf("%s has no ready copy", m.Name)
		}
	}
}

// Plays the crash of a quarter of the targets: every model is back within a few seconds.
func TestModelsComeBackAfterCrash(t *testing.T) {
	f, list := newFleet(t, 18), models(21)
	f.settle(list)
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

// Guards against a successor that starts loads right after its predecessor did.
func TestSuccessorStartsWithoutLoads(t *testing.T) {
	now := start
	p := NewPlanner(rate, burst, false, now)
	list := models(6)
	targets := []*Target{{ID: "a", MB: memory}, {ID: "b", MB: memory}}
	if got := p.Plan(list, targets, now.Add(tick)); len(got) > 0 {
		t.Errorf("orders right after the start: %+v", got)
	}
	if got := p.Plan(list, targets, now.Add(time.Second)); len(got) != 2 {
		t.Errorf("%d orders after a second, 2 are possible", len(got))
	}
}
