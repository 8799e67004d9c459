package aggregate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/targetrate"
)

const (
	coldTime      = 3 * time.Second
	coldPerSecond = 6.5
	// coldBound is the bound of the deployment with 78 hosts: no more requests reach a cold target in any second.
	coldBound = 6.5*1.5 + 5
	// maxTransit is the longest time from the send of a request to its arrival.
	maxTransit = 200 * time.Millisecond
)

// coldFleet is a fleet whose hosts send requests to a target that may be cold.
type coldFleet struct {
	*pacedFleet
	hosts    []*targetrate.Limits
	apart    map[*targetrate.Limits]bool // hosts that are cut off
	arrivals []time.Duration             // of requests at the target, since the start
	down     bool                        // the target refuses connections
}

func newColdFleet(groups, size int, perSecond float64, seed uint64) *coldFleet {
	f := &coldFleet{pacedFleet: newPacedFleet(groups, size, seed), apart: map[*targetrate.Limits]bool{}}
	var names []string
	for g, group := range f.groups {
		for i := range group {
			names = append(names, fmt.Sprint(g, "-", i))
		}
	}
	config := catalog.New(catalog.Content{Services: []*catalog.Service{{Name: "s", ColdStart: coldTime, ColdPerSecond: perSecond}}})
	for g, group := range f.groups {
		for i, l := range group {
			self := fmt.Sprint(g, "-", i)
			l.SetColdBound(targetrate.ColdBound{Overshoot: 1.5, Slack: 5}, nil)
			l.SetZone(fmt.Sprint(g % 4))
			l.SetCatalog(config)
			l.SetMembers(self, slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self }), f.now)
			l.SetTargets(nil, f.now)
			l.Traffic()
			f.hosts = append(f.hosts, l)
		}
	}
	f.send(2*time.Second, 0) // the hosts know each other
	return f
}

// entry returns the entry of the target.
func entry(started, beat int64, cold time.Duration) []*registry.Target {
	return []*registry.Target{{ID: "t", Service: "s", Started: started, Beat: beat, Cold: cold, StatesCold: true}}
}

// send sends requests for d: each host wants to send perSecond, at random times, and uses other targets when this one takes none.
// It returns how many were sent by hosts that are cut off.
func (f *coldFleet) send(d time.Duration, perSecond float64) (apart int) {
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		f.exchange(at)
		for _, l := range f.hosts {
			if f.random.Float64() >= perSecond*step.Seconds() || !l.Available("t", f.now) {
				continue
			}
			l.Take("t", f.now)
			if f.down {
				l.Return("t")
				l.Down("t", f.now)
				continue
			}
			if f.apart[l] {
				apart++
			}
			transit := time.Duration(f.random.Float64() * float64(maxTransit))
			f.arrivals = append(f.arrivals, f.now.Add(transit).Sub(time.Unix(1000, 0)))
		}
	}
	return apart
}

// most returns the most requests that reached the target in any second.
func (f *coldFleet) most() (most int) {
	slices.Sort(f.arrivals)
	first := 0
	for i, at := range f.arrivals {
		for at-f.arrivals[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold target that gets more requests than it takes in any second, as each host that learns of it sends its first
// ones at the same moment, and against one that is hardly used. Without the limit the same check fails.
func TestColdTargetGetsTheRequestsThatItTakes(t *testing.T) {
	for _, fleet := range []struct{ groups, size int }{{1, 1}, {7, 1}, {16, 5}, {20, 10}} {
		for _, perHost := range []float64{0.5, 1, 5, 40} {
			sum := 0
			const seeds = 5
			for seed := range uint64(seeds) {
				f := newColdFleet(fleet.groups, fleet.size, coldPerSecond, seed)
				for _, l := range f.hosts {
					l.SetTargets(entry(1, 1, coldTime), f.now)
				}
				f.send(coldTime, perHost)
				if float64(f.most()) > coldBound {
					t.Errorf("%+v, %.1f/s a host, seed %d: %d requests in a second", fleet, perHost, seed, f.most())
				}
				sum += len(f.arrivals)
			}
			rate := float64(sum) / seeds / coldTime.Seconds()
			hosts := float64(fleet.groups * fleet.size)
			t.Logf("%4.0f hosts, %4.1f/s a host: %.2f/s", hosts, perHost, rate)
			if most := min(coldPerSecond, perHost*hosts); rate < 0.35*most || perHost >= 1 && rate < 0.55*most || rate > 1.7*coldPerSecond {
				t.Errorf("%+v, %.1f/s a host: the target gets %.2f/s", fleet, perHost, rate)
			}
		}
	}
	f := newColdFleet(20, 10, coldPerSecond, 1) // a bound far above the rate
	for _, l := range f.hosts {
		l.SetColdBound(targetrate.ColdBound{Slack: 50}, nil)
		l.SetTargets(entry(1, 1, 5*coldTime), f.now)
	}
	if f.send(5*coldTime, 5); float64(len(f.arrivals)) > 1.7*coldPerSecond*5*coldTime.Seconds() {
		t.Errorf("%d requests in %s", len(f.arrivals), 5*coldTime)
	}
	f = newColdFleet(20, 10, 0, 1) // no target of the service is cold
	for _, l := range f.hosts {
		l.SetTargets(entry(1, 1, coldTime), f.now)
	}
	if f.send(coldTime, 1); float64(f.most()) <= coldBound {
		t.Errorf("without the limit %d requests in a second; the check does not notice", f.most())
	}
}

// Guards against a target that starts under the same id and gets the requests of hosts that learn of it late, one after the other or by
// other hosts only, beyond what it takes.
func TestLateAndLostNewsOfAColdTarget(t *testing.T) {
	for seed := range uint64(5) {
		f := newColdFleet(20, 10, coldPerSecond, seed)
		for _, l := range f.hosts {
			l.SetTargets(entry(1, 9, 0), f.now)
		}
		// The target starts again. The hosts learn that in a random order within a second; the last hundredth never reads the entry.
		order := f.random.Perm(len(f.hosts))
		for i, host := range order {
			if i%20 == 0 {
				f.send(100*time.Millisecond, 0)
			}
			if i < len(order)*99/100 {
				f.hosts[host].SetTargets(entry(2, 1, coldTime), f.now)
			}
		}
		if f.send(coldTime, 1); float64(f.most()) > coldBound {
			t.Errorf("seed %d: %d requests in a second", seed, f.most())
		}

		f = newColdFleet(20, 10, coldPerSecond, seed)
		for _, l := range f.hosts {
			l.SetTargets(entry(1, 9, 0), f.now)
		}
		f.hosts[f.random.IntN(len(f.hosts))].Cold("t", coldTime, f.now) // one answer states that it has become cold
		f.send(1500*time.Millisecond, 0)
		if f.send(1500*time.Millisecond, 5); float64(f.most()) > coldBound {
			t.Errorf("seed %d: %d requests in a second, 1.5 s after an answer told one host", seed, f.most())
		}
	}
}

// Guards against hosts that are cut off and send a cold target more than their share, or that use what the others use too.
func TestHostsThatAreCutOffKeepToTheirShareOfAColdTarget(t *testing.T) {
	for seed := range uint64(5) {
		f := newColdFleet(20, 10, coldPerSecond, seed)
		for g := range 5 { // a quarter of the fleet
			for _, l := range f.groups[g] {
				f.apart[l] = true
			}
		}
		f.cut = func(a, b *targetrate.Limits) bool { return f.apart[a] || f.apart[b] }
		f.send(5*time.Second, 0)
		for _, l := range f.hosts {
			l.SetTargets(entry(1, 1, coldTime), f.now)
		}
		apart := f.send(coldTime, 5)
		if share := 0.25 * coldBound * coldTime.Seconds(); float64(f.most()) > coldBound || float64(apart) > share {
			t.Errorf("seed %d: %d requests in a second, %d of hosts that are cut off, whose share is %.0f", seed, f.most(), apart, share)
		}
	}
}

// Guards against a target that restarts under its id and gets the requests of hosts that have not heard of it yet, beside those of the
// hosts that have, and against hosts that limit a target because one zone cannot reach it.
func TestTargetThatRestartsUnderItsIDGetsTheRequestsThatItTakes(t *testing.T) {
	for _, fleet := range []struct{ groups, size int }{{7, 1}, {16, 5}, {20, 10}} {
		for seed := range uint64(5) {
			f := newColdFleet(fleet.groups, fleet.size, coldPerSecond, seed)
			perHost := 16 / float64(len(f.hosts))
			for _, l := range f.hosts {
				l.SetTargets(entry(1, 9, 0), f.now)
			}
			f.send(2*time.Second, perHost)
			f.arrivals, f.down = nil, true
			f.send(1500*time.Millisecond, perHost)
			f.down = false
			for _, host := range f.random.Perm(len(f.hosts)) { // they read the entry or are told within two seconds
				f.send(2*time.Second/time.Duration(len(f.hosts))/step*step, perHost)
				f.hosts[host].SetTargets(entry(2, 1, coldTime), f.now)
			}
			if f.send(coldTime-2*time.Second, perHost); float64(f.most()) > coldBound {
				t.Errorf("%+v, seed %d: %d requests in a second", fleet, seed, f.most())
			}
		}
	}
	f := newColdFleet(16, 5, coldPerSecond, 1)
	for i, l := range f.hosts {
		l.SetTargets(entry(1, 9, 0), f.now)
		if i < 5 { // the hosts of one group, and so of one zone
			l.Down("t", f.now)
		}
	}
	f.send(time.Second, 0)
	for i, l := range f.hosts {
		if i >= 5 && l.ColdTargets(f.now) > 0 {
			t.Fatalf("host %d limits a target that hosts of another zone cannot reach", i)
		}
	}
}
