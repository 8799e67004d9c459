package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/passthrough"
)

const (
	outlierHosts     = 80
	outlierTargets   = 64
	outlierPerTarget = 15.0 // requests a second for each target, of all hosts together
	outlierNews      = 300 * time.Millisecond
	outlierAnswer    = 200 * time.Millisecond
)

// outlierFleet plays requests of several hosts to targets that fail a part of them, in virtual time.
type outlierFleet struct {
	hosts     []*Balancer
	random    *rand.Rand
	now       time.Time
	began     time.Time
	answers   []outlierAnswerOf
	reported  []map[string]Failures
	loads     []map[string]Load
	mostAside int
	requests  map[string]int
	failed    int
}

// outlierAnswerOf is a request in flight.
type outlierAnswerOf struct {
	at     time.Time
	choice *Choice
}

func newOutlierFleet(setAside float64) *outlierFleet {
	f := &outlierFleet{random: rand.New(rand.NewPCG(7, 7)), now: now, began: now, requests: map[string]int{}}
	for i := range outlierHosts {
		b := New("a", nil, nil, rand.New(rand.NewPCG(1, uint64(i))))
		b.SetTargets(plainTargets(outlierTargets))
		b.SetHosts(outlierHosts)
		b.SetAside(setAside)
		f.hosts = append(f.hosts, b)
	}
	return f
}

// run plays requests for the time; failing returns the fraction of the requests to a target that fail.
func (f *outlierFleet) run(t *testing.T, length time.Duration, failing func(id string) float64) {
	const step = 10 * time.Millisecond
	f.requests, f.failed = map[string]int{}, 0
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for len(f.answers) > 0 && !f.now.Before(f.answers[0].at) {
			c := f.answers[0].choice
			f.answers = f.answers[1:]
			if f.random.Float64() < failing(c.Target.ID) {
				f.failed++
				c.ConnectionBroken(f.now)
			} else {
				c.Answered(false, f.now)
			}
		}
		if f.now.Sub(f.began)%outlierNews == 0 {
			f.exchange()
		}
		for rate := outlierPerTarget * outlierTargets * step.Seconds(); rate > f.random.Float64(); rate-- {
			c, err := f.hosts[f.random.IntN(outlierHosts)].Pick(Query{Service: "plain", Call: &passthrough.Call{}}, f.now)
			if err != nil {
				t.Fatal(err)
			}
			f.requests[c.Target.ID]++
			f.answers = append(f.answers, outlierAnswerOf{f.now.Add(outlierAnswer), c})
		}
		if f.now.Sub(f.began)%(100*time.Millisecond) == 0 {
			for _, b := range f.hosts {
				f.mostAside = max(f.mostAside, len(f.aside(b)))
			}
		}
	}
}

// exchange delivers what the hosts reported the last time: to each the sum over the others.
func (f *outlierFleet) exchange() {
	failures, loads := map[string]Failures{}, map[string]Load{}
	for i := range f.reported {
		for id, n := range f.reported[i] {
			failures[id] = failures[id].Plus(n, 1)
		}
		for id, load := range f.loads[i] {
			loads[id] = loads[id].Plus(load, 1)
		}
	}
	for i := range f.reported {
		others, otherLoads := map[string]Failures{}, map[string]Load{}
		for id, n := range failures {
			others[id] = n.Plus(f.reported[i][id], -1)
		}
		for id, load := range loads {
			otherLoads[id] = load.Plus(f.loads[i][id], -1)
		}
		f.hosts[i].SetPeerFailures("others", others)
		f.hosts[i].SetPeerLoads("others", otherLoads)
	}
	f.reported, f.loads = nil, nil
	for _, b := range f.hosts {
		f.reported, f.loads = append(f.reported, b.LocalFailures(f.now)), append(f.loads, b.LocalLoads(f.now))
	}
}

func (f *outlierFleet) aside(b *Balancer) (ids []string) {
	for id, t := range b.targets {
		if t.health.aside.active(f.now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// atBad returns the requests to the first n targets.
func (f *outlierFleet) atBad(n int) (sum int) {
	for _, target := range plainTargets(n) {
		sum += f.requests[target.ID]
	}
	return sum
}

// failFirst has the first n targets fail a fraction of their requests.
func failFirst(n int, fraction float64) func(string) float64 {
	bad := map[string]bool{}
	for _, target := range plainTargets(n) {
		bad[target.ID] = true
	}
	return func(id string) float64 {
		if bad[id] {
			return fraction
		}
		return 0
	}
}

// Guards against targets that go on to get requests while they fail nearly half of them, since no host alone has seen enough of it,
// and against more targets set aside than the setting allows.
func TestTargetsThatFailAPartOfTheirRequestsAreSetAside(t *testing.T) {
	const bad = 14
	failed := map[float64]int{}
	for _, setAside := range []float64{0, 0.25} {
		f := newOutlierFleet(setAside)
		f.run(t, 3*time.Second, failFirst(0, 0))
		f.run(t, 6*time.Second, failFirst(bad, 0.45))
		failed[setAside] = f.failed
		t.Logf("set aside up to %v: %d requests failed, %d of the targets aside at most", setAside, f.failed, f.mostAside)
		if f.mostAside > int(setAside*outlierTargets) {
			t.Errorf("%d targets set aside, more than %v of %d", f.mostAside, setAside, outlierTargets)
		}
		if setAside == 0 {
			continue
		}
		f.run(t, 9*time.Second, failFirst(0, 0))
		f.run(t, 3*time.Second, failFirst(0, 0))
		if fair := outlierPerTarget * bad * 3; float64(f.atBad(bad)) < 0.8*fair {
			t.Errorf("%d requests in 3 s to targets that are sound again, %.0f would be their share", f.atBad(bad), fair)
		}
	}
	if failed[0.25] > failed[0]/2 {
		t.Errorf("%d requests failed, %d without setting targets aside", failed[0.25], failed[0])
	}
}

// Guards against a few sound targets that get the requests of all others because most of the service loses a few answers.
func TestTroubleOfMostTargetsSetsNoneAside(t *testing.T) {
	const bad = 54
	f := newOutlierFleet(0.25)
	f.run(t, 6*time.Second, failFirst(bad, 0.03))
	if f.mostAside > 2 {
		t.Errorf("%d targets set aside although most have the same trouble", f.mostAside)
	}
	sound := 0
	for _, n := range f.requests {
		sound += n
	}
	sound -= f.atBad(bad)
	if share := outlierPerTarget * (outlierTargets - bad) * 6; float64(sound) > 1.5*share {
		t.Errorf("%d requests to the sound targets, %.0f would be their share", sound, share)
	}
}

// Guards against a target that gets a host's share of requests at once after it was set aside, and against one that none probes.
func TestTargetSetAsideIsProbedWithSingleRequests(t *testing.T) {
	f := newOutlierFleet(0.25)
	failing := failFirst(1, 1)
	f.run(t, 2*time.Second, failing)
	f.run(t, 4*time.Second, failing)
	probes := f.atBad(1)
	// All hosts together probe it 2 times a second, and 1 of 10 requests may choose it when it is let back.
	if limit := int(4*outlierPerTarget) / 3; probes < 2 || probes > limit {
		t.Errorf("%d requests in 4 s to a target that fails all, want 2 to %d", probes, limit)
	}
}

// Guards against a model that nobody serves because its only copies are set aside, and against a copy that gets the requests of all
// others.
func TestMostCopiesAreNotSetAside(t *testing.T) {
	b := New("a", nil, nil, rand.New(rand.NewPCG(1, 1)))
	b.SetTargets(plainTargets(8))
	b.SetAside(0.9)
	for _, target := range b.targets {
		target.health.aside = aside{until: now.Add(time.Minute), length: time.Minute, probeAt: now.Add(time.Hour)}
	}
	b.targets["t00"].health.aside = aside{}
	chosen := map[string]int{}
	for range 200 {
		c, err := b.Pick(Query{Service: "plain", Call: &passthrough.Call{}}, now)
		if err != nil {
			t.Fatal(err)
		}
		chosen[c.Target.ID]++
	}
	if chosen["t00"] > 100 {
		t.Errorf("%d of 200 requests to the only one of eight targets that is not set aside", chosen["t00"])
	}
}

// Guards against longer states where no targets are set aside by the setting.
func TestNoFailuresAreReportedWithoutTheSetting(t *testing.T) {
	f := newOutlierFleet(0)
	f.run(t, time.Second, failFirst(outlierTargets, 0.5))
	for _, b := range f.hosts {
		if r := b.LocalFailures(f.now); len(r) > 0 {
			t.Fatalf("%v reported", r)
		}
	}
}
