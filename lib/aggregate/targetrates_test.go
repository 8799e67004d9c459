package aggregate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/targetrate"
)

const (
	step     = 10 * time.Millisecond
	interval = 300 * time.Millisecond
)

func isGroup(name string) bool { return name[0] == 'g' }

// pacedFleet is a fleet of groups, each of an aggregator (host 0) and its leaves, whose hosts hear of each other through sums and send requests
// to a target that states a limit.
type pacedFleet struct {
	groups  [][]*targetrate.Limits
	sums    []*Sum
	phases  [][]time.Duration
	waiting map[*targetrate.Limits][]time.Time // by host: until when its requests wait
	now     time.Time
	random  *rand.Rand
	// usualRate is what each host usually wants a second, of this target and of others.
	usualRate float64
	cut       func(a, b *targetrate.Limits) bool // no report passes between these hosts; nil: none
}

func newPacedFleet(groups, size int, seed uint64) *pacedFleet {
	f := &pacedFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), waiting: map[*targetrate.Limits][]time.Time{}}
	for range groups {
		var group []*targetrate.Limits
		var phases []time.Duration
		for range size {
			l := targetrate.New(f.now, f.random)
			l.SetHosts(groups*size, 3*interval)
			group, phases = append(group, l), append(phases, time.Duration(f.random.Int64N(int64(interval/step)))*step)
		}
		f.groups, f.phases, f.sums = append(f.groups, group), append(f.phases, phases), append(f.sums, New())
	}
	return f
}

// report sends a host's state to another one, unless it is lost.
func (f *pacedFleet) report(to, from *targetrate.Limits, name string, c Contribution) {
	if f.random.Float64() < 0.03 || f.cut != nil && f.cut(to, from) {
		return
	}
	to.ApplyUsage(name, 1, c.Hosts, c.TargetDemand, f.now)
	to.Merge(from.Statements(f.now), f.now)
	to.MergeCold(from.ColdStatements(f.now), "peer", f.now)
}

// exchange sends the states that are due.
func (f *pacedFleet) exchange(at time.Duration) {
	for g, group := range f.groups {
		for i, l := range group {
			if at%interval != f.phases[g][i] {
				continue
			}
			own := Contribution{Hosts: 1, TargetDemand: l.Usage(f.now)}
			f.sums[g].Set(fmt.Sprint("h", i), 1, own)
			if i > 0 {
				f.report(group[0], l, fmt.Sprint("h", i), own)
				continue
			}
			mesh := f.sums[g].Total(func(name string) bool { return !isGroup(name) })
			for other := range f.groups {
				if other != g {
					f.sums[other].Set(fmt.Sprint("g", g), 1, mesh)
					f.report(f.groups[other][0], l, fmt.Sprint("g", g), mesh)
				}
			}
			total := f.sums[g].Total(nil)
			for leaf := 1; leaf < len(group); leaf++ {
				f.report(group[leaf], l, "aggregator", f.sums[g].Without(total, fmt.Sprint("h", leaf)))
			}
		}
	}
}

// run sends requests at random hosts for d and returns those that reach the target in each step. The target states its limit
// in every answer.
func (f *pacedFleet) run(d time.Duration, limit, perSecond float64) (reached []float64) {
	const patience = 400 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		f.exchange(at)
		if f.random.Float64() < perSecond*step.Seconds() {
			group := f.groups[f.random.IntN(len(f.groups))]
			l := group[f.random.IntN(len(group))]
			f.waiting[l] = append(f.waiting[l], f.now.Add(patience))
			l.Want("t", f.usualRate, f.now)
		}
		sum := 0.0
		for l, until := range f.waiting {
			for len(until) > 0 && l.Available("t", f.now) {
				l.Take("t", f.now)
				l.Stated("t", limit, f.now)
				until = until[1:]
				sum++
			}
			for len(until) > 0 && f.now.After(until[0]) {
				until = until[1:]
			}
			if f.waiting[l] = until; len(until) == 0 {
				delete(f.waiting, l)
			}
		}
		reached = append(reached, sum)
	}
	return reached
}

// Guards against a target in trouble that gets more requests from all hosts together than it states to take, and against one
// that gets much less although more are waiting.
func TestTargetsGetTheRateThatTheyState(t *testing.T) {
	const (
		window = 4 * time.Second
		stable = 3 * time.Second
	)
	for _, fleet := range []struct{ groups, size int }{{7, 1}, {8, 1}, {15, 13}} {
		for _, limit := range []float64{1, 2.3, 12} {
			for seed := range uint64(3) {
				f := newPacedFleet(fleet.groups, fleet.size, seed)
				reached := f.run(40*time.Second, limit, 3*limit)[int(stable/step):]
				n, sum, most, total := int(window/step), 0.0, 0.0, 0.0
				for i, x := range reached {
					total += x
					if sum += x; i >= n {
						sum -= reached[i-n]
					}
					most = max(most, sum)
				}
				rate := total / (float64(len(reached)) * step.Seconds())
				if most > 1.5*limit*window.Seconds()+5 || rate < 0.7*limit {
					t.Errorf("%+v, limit %.1f, seed %d: at most %.0f requests in a window, %.2f a second", fleet, limit, seed, most, rate)
				}
			}
		}
	}
}

// Guards against a target that gets a request of each host at once when many want it after a time without requests: it has saved
// up one, and no host knows of the others.
func TestIdleTargetGetsTheRateThatItStates(t *testing.T) {
	const limit = 1.4
	window := 4 * time.Second
	for seed := range uint64(3) {
		f := newPacedFleet(15, 4, seed)
		f.run(10*time.Second, limit, 3*limit)
		f.run(7*time.Second, limit, 0)
		sum := 0.0
		for _, x := range f.run(window, limit, 30) {
			sum += x
		}
		if sum > 1.5*limit*window.Seconds()+5 {
			t.Errorf("seed %d: %.0f requests in a window at a limit of %.1f a second", seed, sum, limit)
		}
	}
}

// Guards against a target that gets a request of each host at once when a model in demand is loaded there: what the hosts know of the
// demand there is that for other models.
func TestTargetWithANewModelGetsTheRateThatItStates(t *testing.T) {
	const limit, hosts, demand = 1.0, 60, 60.0
	window := 4 * time.Second
	for seed := range uint64(5) {
		f := newPacedFleet(15, 4, seed)
		f.run(20*time.Second, limit, 0.5)
		f.usualRate = demand / hosts
		sum := 0.0
		for _, x := range f.run(window, limit, demand) {
			sum += x
		}
		if sum > 1.5*limit*window.Seconds()+5 {
			t.Errorf("seed %d: %.0f requests in a window at a limit of %.1f a second", seed, sum, limit)
		}
	}
}
