package aggregate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/orglimit"
)

// Limits of the platform: within a window, an organisation may exceed its rate and burst by the fraction overshoot and by
// slackTokens.
const (
	window      = 8 * time.Second
	overshoot   = 0.1
	slackTokens = 110_000
	step        = 10 * time.Millisecond
	interval    = 300 * time.Millisecond
)

// limitedFleet is a fleet of groups, each of an aggregator (host 0) and its leaves, whose limiters hear of each other
// through sums.
type limitedFleet struct {
	groups [][]*orglimit.Limiter
	sums   []*Sum
	phases [][]time.Duration
	now    time.Time
	random *rand.Rand
}

func newLimitedFleet(groups, size int, seed uint64) *limitedFleet {
	f := &limitedFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	for range groups {
		var group []*orglimit.Limiter
		var phases []time.Duration
		for range size {
			l := orglimit.New(f.now)
			l.SetHosts(groups*size, 3*interval)
			group, phases = append(group, l), append(phases, time.Duration(f.random.Int64N(int64(interval/step)))*step)
		}
		f.groups, f.phases, f.sums = append(f.groups, group), append(f.phases, phases), append(f.sums, New())
	}
	return f
}

func isGroup(name string) bool { return name[0] == 'g' }

// exchange sends the states that are due.
func (f *limitedFleet) exchange(at time.Duration) {
	for g, group := range f.groups {
		for i, l := range group {
			if at%interval != f.phases[g][i] {
				continue
			}
			own := Contribution{Hosts: 1, Demand: l.Report(f.now)}
			f.sums[g].Set(fmt.Sprint("h", i), 1, own)
			if i > 0 {
				group[0].ApplyReport(fmt.Sprint("h", i), 1, 1, own.Demand, f.now)
				continue
			}
			mesh := f.sums[g].Total(func(name string) bool { return !isGroup(name) })
			for other := range f.groups {
				if other != g {
					f.sums[other].Set(fmt.Sprint("g", g), 1, mesh)
					f.groups[other][0].ApplyReport(fmt.Sprint("g", g), 1, mesh.Hosts, mesh.Demand, f.now)
				}
			}
			total := f.sums[g].Total(nil)
			for leaf := 1; leaf < len(group); leaf++ {
				down := f.sums[g].Without(total, fmt.Sprint("h", leaf))
				group[leaf].ApplyReport("aggregator", 1, down.Hosts, down.Demand, f.now)
			}
		}
	}
}

// run charges the hosts for d and returns the tokens that were admitted in each step, and all that were requested.
func (f *limitedFleet) run(o *catalog.Organisation, d time.Duration, perSecond float64, requestTokens int64) (admitted []float64, requested float64) {
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		f.exchange(at)
		sum := 0.0
		for want := perSecond * step.Seconds(); want > 0 && f.random.Float64() < want/float64(requestTokens); want -= float64(requestTokens) {
			tokens := 1 + f.random.Int64N(2*requestTokens)
			requested += float64(tokens)
			group := f.groups[f.random.IntN(len(f.groups))]
			if group[f.random.IntN(len(group))].Charge(o, tokens, f.now).Admitted {
				sum += float64(tokens)
			}
		}
		admitted = append(admitted, sum)
	}
	return admitted, requested
}

// Guards against an organisation that gets more than its rate in a fleet whose hosts learn of each other's charges through
// sums, with a delay of up to three states, while its demand moves about the rate.
func TestRateLimitHoldsThroughSums(t *testing.T) {
	for seed := range uint64(6) {
		o := &catalog.Organisation{Name: "o", Rate: 200_000, Burst: 200_000}
		f := newLimitedFleet(15, 13, seed)
		var all []float64
		for _, times := range []float64{0.8, 2.5, 1.2, 2, 0.9, 4, 1.5} {
			admitted, _ := f.run(o, 3*time.Second, times*o.Rate, 4000)
			all = append(all, admitted...)
		}
		n, sum, most := int(window/step), 0.0, 0.0
		for i, x := range all {
			if sum += x; i >= n {
				sum -= all[i-n]
			}
			most = max(most, sum)
		}
		if limit := (o.Rate*window.Seconds()+o.Burst)*(1+overshoot) + slackTokens; most > limit {
			t.Errorf("seed %d: %.0f tokens were admitted in a window, limit %.0f", seed, most, limit)
		}
	}
}

// Guards against refusals of an organisation that stays well below its rate in such a fleet.
func TestNoRefusalsBelowTheRateThroughSums(t *testing.T) {
	admitted, requested := 0.0, 0.0
	for seed := range uint64(6) {
		o := &catalog.Organisation{Name: "o", Rate: 200_000, Burst: 200_000}
		f := newLimitedFleet(15, 13, seed)
		steps, asked := f.run(o, 20*time.Second, 0.55*o.Rate, 4000) // the platform's rates are 1.8 times the demand
		requested += asked
		for _, x := range steps {
			admitted += x
		}
	}
	if fraction := admitted / requested; fraction < 0.99 {
		t.Errorf("%.3f of the requests were admitted", fraction)
	}
}

// Guards against refusals of an organisation that stays well below its rate, but whose requests targets turn away and callers send again:
// demand that does not run is no charge that peers have yet to hear of.
func TestNoRefusalsBelowTheRateWhileTargetsAreFull(t *testing.T) {
	const tokens, sends = 4000, 6 // each request is turned away five times out of six
	for seed := range uint64(4) {
		o := &catalog.Organisation{Name: "o", Rate: 200_000, Burst: 200_000}
		f := newLimitedFleet(15, 5, seed)
		refused, asked := 0, 0
		for at := time.Duration(0); at < 20*time.Second; at += step {
			f.now = f.now.Add(step)
			f.exchange(at)
			for range sends {
				if f.random.Float64() > 0.55*o.Rate*step.Seconds()/tokens {
					continue
				}
				group := f.groups[f.random.IntN(len(f.groups))]
				host := group[f.random.IntN(len(group))]
				asked++
				switch {
				case !host.Charge(o, tokens, f.now).Admitted:
					refused++
				case f.random.IntN(sends) > 0:
					host.Withdraw(o, tokens, f.now, f.now)
				}
			}
		}
		if refused*100 > asked {
			t.Errorf("seed %d: %d of %d requests refused", seed, refused, asked)
		}
	}
}
