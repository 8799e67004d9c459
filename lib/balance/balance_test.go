package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/registry"
)

var now = time.Unix(1000, 0)

const cacheTokens = 232_000

func newBalancer(zone string) *Balancer {
	b := New(zone, nil, nil, rand.New(rand.NewPCG(1, 1)))
	b.SetCatalog(catalog.New(catalog.Content{Services: []*catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 64, CacheTokens: cacheTokens}}, {Name: "plain"},
	}}))
	return b
}

func engines(n int, models ...registry.ResidentModel) []*registry.Target {
	var out []*registry.Target
	for i := range n {
		out = append(out, &registry.Target{
			ID: fmt.Sprintf("t%02d", i), Service: "llm", Zone: string(rune('a' + i%4)), Slots: 64, Models: models, Beat: 1,
		})
	}
	return out
}

// sharedPrefixCall returns a call whose prompt shares two segments with other calls: one with all, one by name.
func sharedPrefixCall(segment string) *passthrough.Call {
	return &passthrough.Call{Model: "m", PromptTokens: 9190, MaxOutput: 52, Prefix: []passthrough.Segment{
		{ID: "common", Tokens: 2520}, {ID: segment, Tokens: 3780}, {ID: "own", Tokens: 2890},
	}}
}

func pick(t *testing.T, b *Balancer, q Query) *Choice {
	t.Helper()
	c, err := b.Pick(q, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against hosts that send requests with the same prompt prefix to many targets, each of which then prefills it, and
// against targets that get several times the mean load. The hosts don't exchange their loads here.
func TestSharedPromptsStayOnFewTargets(t *testing.T) {
	const hosts, prompts, rounds = 7, 40, 12
	var balancers []*Balancer
	for range hosts {
		b := newBalancer("a")
		b.SetTargets(engines(12, registry.ResidentModel{Model: "m"}))
		balancers = append(balancers, b)
	}
	now := now
	targetsOf, requestsAt := map[string]map[string]bool{}, map[string]int{}
	for round := range rounds {
		for p := range prompts {
			segment := fmt.Sprint("p", p)
			now = now.Add(40 * time.Millisecond)
			c, err := balancers[(round*prompts+p)%hosts].Pick(Query{Service: "llm", Call: sharedPrefixCall(segment)}, now)
			if err != nil {
				t.Fatal(err)
			}
			if targetsOf[segment] == nil {
				targetsOf[segment] = map[string]bool{}
			}
			targetsOf[segment][c.Target.ID] = true
			requestsAt[c.Target.ID]++
			c.FirstEvent(now)
			c.Answered(false, now)
		}
	}
	most, sum := 0, 0
	for _, r := range targetsOf {
		sum += len(r)
	}
	for _, n := range requestsAt {
		most = max(most, n)
	}
	if mean := float64(sum) / prompts; mean > 2 {
		t.Errorf("a prompt prefix went to %.1f targets on average", mean)
	}
	if mean := float64(rounds*prompts) / 12; float64(most) > 3*mean {
		t.Errorf("one target got %d requests, the mean is %.0f", most, mean)
	}
}

// Guards against hosts that all choose the target without local load: the load that peers report must count at once.
func TestPeerLoadIsCounted(t *testing.T) {
	for _, even := range []bool{false, true} {
		t.Run(fmt.Sprint("even=", even), func(t *testing.T) {
			b := newBalancer("a")
			b.SetEvenLoad(even)
			b.SetTargets(engines(4, registry.ResidentModel{Model: "m"}))
			b.SetPeerLoads("other", map[string]Load{
				"t00": {Running: 30, PrefillTokens: 90_000},
				"t01": {Running: 30, PrefillTokens: 90_000},
			})
			for range 20 {
				c := pick(t, b, Query{Service: "llm", Call: &passthrough.Call{Model: "m", PromptTokens: 600, MaxOutput: 200}})
				if id := c.Target.ID; id == "t00" || id == "t01" {
					t.Fatalf("%s was chosen, which has 90,000 tokens to prefill", id)
				}
				c.Answered(false, now)
			}
			b.SetPeerLoads("other", nil)
			if got := b.targets["t00"].peers; got != (Load{}) {
				t.Errorf("the load of a removed host still counts: %+v", got)
			}
		})
	}
}

// Guards against filling a target beyond its KV cache while another has free cache.
func TestFullCacheIsAvoided(t *testing.T) {
	for _, even := range []bool{false, true} {
		t.Run(fmt.Sprint("even=", even), func(t *testing.T) {
			b := newBalancer("a")
			b.SetEvenLoad(even)
			b.SetTargets(engines(2, registry.ResidentModel{Model: "m"}))
			b.SetPeerLoads("other", map[string]Load{
				"t00": {Running: 24, CacheTokens: cacheTokens},
				"t01": {Running: 30, CacheTokens: 100_000, PrefillTokens: 5000},
			})
			if c := pick(t, b, Query{Service: "llm", Call: sharedPrefixCall("x")}); c.Target.ID != "t01" {
				t.Errorf("%s was chosen, whose cache is full", c.Target.ID)
			}
		})
	}
}

// Guards against an error that doesn't tell whether the target, the model or the adapter is missing.
func TestPickErrorTellsWhatIsMissing(t *testing.T) {
	b := newBalancer("a")
	q := Query{Service: "llm", Call: &passthrough.Call{Model: "m", Adapter: "a1"}}
	try := func(want error) {
		t.Helper()
		if _, err := b.Pick(q, now); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	try(ErrNoTarget)
	b.SetTargets(engines(2))
	try(ErrNoModel)
	b.SetTargets(engines(2, registry.ResidentModel{Model: "m", Adapters: []string{"a2"}}))
	try(ErrNoAdapter)
	b.AddAdapter("t01", "m", "a1")
	if c := pick(t, b, q); c.Target.ID != "t01" {
		t.Errorf("%s was chosen", c.Target.ID)
	}
	b.SetResidency(map[string]registry.Residency{"t00": {}, "t01": {}})
	try(ErrNoModel)
	b.SetResidency(nil)
	draining := engines(2, registry.ResidentModel{Model: "m", Adapters: []string{"a1"}})
	for _, target := range draining {
		target.State = registry.Draining
	}
	b.SetTargets(draining)
	try(ErrNoTarget)
}

// Guards against sending requests for models that a target lost in a restart: until the controller has asked the new
// incarnation, its knowledge is of the previous one.
func TestRestartedTargetLosesOldResidency(t *testing.T) {
	b := newBalancer("a")
	list := engines(2, registry.ResidentModel{Model: "m"})
	b.SetTargets(list)
	residency := map[string]registry.Residency{"t00": {Models: list[0].Models}, "t01": {Models: list[1].Models}}
	b.SetResidency(residency)
	restarted := *list[0]
	restarted.Started, restarted.Models = 1, nil
	b.SetTargets([]*registry.Target{&restarted, list[1]})
	for range 20 {
		if c := pick(t, b, Query{Service: "llm", Call: sharedPrefixCall("x")}); c.Target.ID != "t01" {
			t.Fatal("a restarted target was chosen for a model that it lost")
		}
	}
	residency["t00"] = registry.Residency{Started: 1, Models: list[0].Models}
	b.SetResidency(residency)
	if _, err := b.Pick(Query{Service: "llm", Call: sharedPrefixCall("x"), Tried: []string{"t01"}}, now); err != nil {
		t.Errorf("the controller's newer knowledge does not count: %v", err)
	}
}

// Guards against sending requests to an unresponsive target, and against avoiding it for ever: after its suspension, one
// request at a time probes it.
func TestUnresponsiveTargetIsSuspendedThenProbed(t *testing.T) {
	for _, even := range []bool{false, true} {
		t.Run(fmt.Sprint("even=", even), func(t *testing.T) {
			b := newBalancer("a")
			b.SetEvenLoad(even)
			plain := []*registry.Target{{ID: "x", Service: "plain", Zone: "a", Slots: 6}, {ID: "y", Service: "plain", Zone: "b", Slots: 6}}
			b.SetTargets(plain)
			q := Query{Service: "plain", Call: &passthrough.Call{}}
			for range 2 {
				c := pick(t, b, Query{Service: "plain", Call: &passthrough.Call{}, Tried: []string{"y"}})
				c.Unresponsive(now)
			}
			if s := b.Suspects(now.Add(minSuspectTime - 1)); len(s) != 0 {
				t.Errorf("suspects %v of targets that have been silent for a second", s)
			}
			if s := b.Suspects(now.Add(minSuspectTime)); len(s) != 1 || s[0] != "x" {
				t.Errorf("suspects %v", s)
			}
			for range 10 {
				if c := pick(t, b, q); c.Target.ID != "y" {
					t.Fatal("a suspended target was chosen")
				}
			}
			later := now.Add(5 * maxSuspension)
			tries := 0
			for range 30 {
				c, err := b.Pick(q, later)
				if err != nil {
					t.Fatal(err)
				}
				if c.Target.ID == "x" {
					tries++
				}
			}
			if tries != 1 {
				t.Errorf("%d requests at once probed an unresponsive target, want 1", tries)
			}
		})
	}
}

// Guards against suspending a healthy target because some of its connections broke.
func TestBrokenConnectionsDoNotSuspend(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets([]*registry.Target{{ID: "x", Service: "plain", Zone: "a", Slots: 6}})
	for range 5 {
		pick(t, b, Query{Service: "plain", Call: &passthrough.Call{}}).ConnectionBroken(now)
	}
	if s := b.Suspects(now.Add(minSuspectTime)); len(s) != 0 || !b.targets["x"].health.usable(now) {
		t.Errorf("suspects %v", s)
	}
}

// Guards against outcomes that leave a request in the load of its target, or remove it twice.
func TestEveryOutcomeReleasesLoad(t *testing.T) {
	for _, even := range []bool{false, true} {
		t.Run(fmt.Sprint("even=", even), func(t *testing.T) {
			b := newBalancer("a")
			b.SetEvenLoad(even)
			b.SetTargets(engines(1, registry.ResidentModel{Model: "m"}))
			ends := []func(*Choice){
				func(c *Choice) { c.Answered(false, now) }, func(c *Choice) { c.FirstEvent(now); c.Answered(true, now) },
				func(c *Choice) { c.Rejected(now) },
				func(c *Choice) { c.ModelMissing("other", "", now) }, func(c *Choice) { c.Unresponsive(now) },
				func(c *Choice) { c.ConnectionBroken(now) },
				func(c *Choice) { c.FirstEvent(now); c.Abandoned() },
			}
			for _, end := range ends {
				end(pick(t, b, Query{Service: "llm", Call: sharedPrefixCall("p")}))
			}
			if got := b.targets["t00"].local; got != (Load{}) {
				t.Errorf("load after all requests ended: %+v", got)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) { benchmarkPick(b, false) }

func BenchmarkPickEven(b *testing.B) { benchmarkPick(b, true) }

func benchmarkPick(b *testing.B, even bool) {
	for _, n := range []int{18, 60, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := newBalancer("a")
			balancer.SetEvenLoad(even)
			balancer.SetTargets(engines(n, registry.ResidentModel{Model: "m"}))
			now := now
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				c, err := balancer.Pick(Query{Service: "llm", Call: sharedPrefixCall("p")}, now)
				if err != nil {
					b.Fatal(err)
				}
				c.Answered(false, now)
			}
		})
	}
}

// plainTargets returns n targets of a plain service in the zone of the host.
func plainTargets(n int) []*registry.Target {
	var out []*registry.Target
	for i := range n {
		id := fmt.Sprintf("t%02d", i)
		out = append(out, &registry.Target{ID: id, Addr: id, Service: "plain", Zone: "a", Slots: 6, Beat: 1})
	}
	return out
}

// callPlain sends n requests, 20 ms apart, of which those to a target in broken end with a broken connection. It returns the
// number of requests at each target.
func callPlain(t *testing.T, b *Balancer, from time.Time, n int, broken map[string]bool) map[string]int {
	t.Helper()
	out := map[string]int{}
	for i := range n {
		now := from.Add(time.Duration(i) * 20 * time.Millisecond)
		c, err := b.Pick(Query{Service: "plain", Call: &passthrough.Call{}}, now)
		if err != nil {
			t.Fatal(err)
		}
		out[c.Target.ID]++
		if broken[c.Target.ID] {
			c.ConnectionBroken(now)
		} else {
			c.Answered(i%10 == 0, now) // a tenth of all answers are failures, at every target
		}
	}
	return out
}

// Guards against a target that breaks every connection and keeps getting requests because the others fail some of theirs,
// and against one that does not get requests again after its recovery.
func TestTargetThatBreaksConnectionsGetsFewRequests(t *testing.T) {
	for _, even := range []bool{false, true} {
		t.Run(fmt.Sprint("even=", even), func(t *testing.T) {
			b := newBalancer("a")
			b.SetEvenLoad(even)
			b.SetTargets(plainTargets(3))
			counts := callPlain(t, b, now, 500, map[string]bool{"t01": true})
			if n := counts["t01"]; n > 500/20 {
				t.Errorf("the broken target got %d of 500 requests", n)
			}
			counts = callPlain(t, b, now.Add(20*time.Second), 500, nil)
			if n := counts["t01"]; n < 100 {
				t.Errorf("the target got %d of 500 requests after its recovery", n)
			}
		})
	}
}

// Guards against setting a sound target aside because of trouble that all of them share.
func TestSharedTroubleSetsNoTargetAside(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(plainTargets(3))
	all := map[string]bool{"t00": true, "t01": true, "t02": true}
	for id, n := range callPlain(t, b, now, 300, all) {
		if n < 50 {
			t.Errorf("%s got %d of 300 requests while all targets broke connections", id, n)
		}
	}
}

// fixedConnections permits limit connections to each target; members are the targets to which the host keeps some.
type fixedConnections struct {
	limit   int
	members map[string]bool
}

func (f fixedConnections) Limit(string, time.Time) (int, bool) { return f.limit, true }
func (f fixedConnections) Member(addr string) bool             { return f.members == nil || f.members[addr] }
func (f fixedConnections) HasIdle(string) bool                 { return true }

// Guards against more requests in flight at a target than connections that the host may have to it.
func TestFullTargetIsNotPicked(t *testing.T) {
	b := newBalancer("a")
	b.connections = fixedConnections{limit: 2}
	b.SetTargets(plainTargets(3))
	q := Query{Service: "plain", Call: &passthrough.Call{}}
	counts := map[string]int{}
	var last *Choice
	for range 6 {
		last = pick(t, b, q)
		counts[last.Target.ID]++
	}
	if len(counts) != 3 || counts["t00"] != 2 || counts["t01"] != 2 {
		t.Errorf("requests by target: %v, want 2 each", counts)
	}
	if _, err := b.Pick(q, now); !errors.Is(err, ErrBusy) {
		t.Errorf("seventh request of six: %v", err)
	}
	last.Answered(false, now)
	if c := pick(t, b, q); c.Target.ID != last.Target.ID {
		t.Errorf("picked %s, the connection to %s is free", c.Target.ID, last.Target.ID)
	}
}

// Guards against hosts that all connect to the same targets where there are more hosts than connections, and against a
// request without a target because the only one that serves it belongs to other hosts.
func TestTargetsOfThisHostAreAskedFirst(t *testing.T) {
	b := newBalancer("a")
	b.connections = fixedConnections{limit: 1, members: map[string]bool{"t01": true}}
	b.SetTargets(plainTargets(3))
	q := Query{Service: "plain", Call: &passthrough.Call{}}
	if c := pick(t, b, q); c.Target.ID != "t01" {
		t.Errorf("picked %s, the host keeps connections to t01", c.Target.ID)
	}
	if c := pick(t, b, q); c.Target.ID == "t01" {
		t.Error("picked t01, whose only connection is in use")
	}
}

// wantedRates are rates of targets that take no request.
type wantedRates map[string]int

func (w wantedRates) Want(target string, _ float64, _ time.Time) bool { w[target]++; return true }
func (w wantedRates) Available(string, time.Time) bool                { return false }
func (w wantedRates) HostRate(string, time.Time) float64              { return 0 }
func (w wantedRates) Take(string, time.Time)                          {}
func (w wantedRates) Return(string)                                   {}

// Guards against hosts that all send to a limited target at once when a model is loaded there that their requests wait for: none of
// them has stated that it wants the target.
func TestWaitingRequestIsCountedOnceAtEachLimitedTarget(t *testing.T) {
	wanted := wantedRates{}
	b := New("z", nil, wanted, rand.New(rand.NewPCG(1, 1)))
	q := Query{Service: "llm", Call: &passthrough.Call{Model: "m"}, Wanted: map[string]bool{}}
	now := time.Unix(1000, 0)
	for i := range 6 {
		target := &registry.Target{ID: "t", Service: "llm", State: registry.Ready, Slots: 4, Revision: int64(i)}
		if i > 2 {
			target.Models = []registry.ResidentModel{{Model: "m"}}
		}
		b.SetTargets([]*registry.Target{target})
		if _, err := b.Pick(q, now); i > 2 && wanted["t"] != 1 || i <= 2 && wanted["t"] != 0 || err == nil {
			t.Fatalf("look %d: counted %d times, %v", i, wanted["t"], err)
		}
	}
}
