package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passage"
	"cuminhook.org/cuminhook/lib/registry"
)

var now = time.Unix(1000, 0)

const cacheTokens = 232_000

func newBook(zone string) *Book {
	b := New(zone, rand.New(rand.NewPCG(1, 1)))
	b.SetCatalog(catalog.New(catalog.Content{Services: []*catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 64, CacheTokens: cacheTokens}}, {Name: "plain"},
	}}))
	return b
}

func engines(n int, models ...registry.Resident) []*registry.Target {
	var out []*registry.Target
	for i := range n {
		out = append(out, &registry.Target{
			ID: fmt.Sprintf("t%02d", i), Service: "llm", Zone: string(rune('a' + i%4)), Slots: 64, Models: models, Beat: 1,
		})
	}
	return out
}

func brief(part string) *passage.Call {
	return &passage.Call{Model: "m", PromptTokens: 9190, MaxOutput: 52, Prefix: []passage.Part{
		{ID: "common", Tokens: 2520}, {ID: part, Tokens: 3780}, {ID: "own", Tokens: 2890},
	}}
}

func pick(t *testing.T, b *Book, q Query) *Choice {
	t.Helper()
	c, err := b.Pick(q, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Plays requests of several hosts that share prompts, with reports between the hosts: each prompt is to be read by few
// targets, and no target gets a multiple of the mean.
func TestSharedPromptsFindTheirTarget(t *testing.T) {
	const hosts, prompts, rounds = 7, 40, 12
	var books []*Book
	for range hosts {
		b := newBook("a")
		b.SetTargets(engines(12, registry.Resident{Model: "m"}))
		books = append(books, b)
	}
	now := now
	readers, load := map[string]map[string]bool{}, map[string]int{}
	for round := range rounds {
		for p := range prompts {
			part := fmt.Sprint("p", p)
			now = now.Add(40 * time.Millisecond)
			c, err := books[(round*prompts+p)%hosts].Pick(Query{Service: "llm", Call: brief(part)}, now)
			if err != nil {
				t.Fatal(err)
			}
			if readers[part] == nil {
				readers[part] = map[string]bool{}
			}
			readers[part][c.Target.ID] = true
			load[c.Target.ID]++
			c.First(now)
			c.Answered(false, now)
		}
	}
	most, sum := 0, 0
	for _, r := range readers {
		sum += len(r)
	}
	for _, n := range load {
		most = max(most, n)
	}
	if mean := float64(sum) / prompts; mean > 2 {
		t.Errorf("a prompt was read by %.1f targets on average", mean)
	}
	if mean := float64(rounds*prompts) / 12; float64(most) > 3*mean {
		t.Errorf("one target got %d requests, the mean is %.0f", most, mean)
	}
}

// Guards against hosts that all choose the target that looks idle: what peers report counts at once.
func TestLoadOfPeersCounts(t *testing.T) {
	b := newBook("a")
	b.SetTargets(engines(4, registry.Resident{Model: "m"}))
	b.SetPeer("other", map[string]Load{"t00": {Running: 30, Prefill: 90_000}, "t01": {Running: 30, Prefill: 90_000}})
	for range 20 {
		c := pick(t, b, Query{Service: "llm", Call: &passage.Call{Model: "m", PromptTokens: 600, MaxOutput: 200}})
		if id := c.Target.ID; id == "t00" || id == "t01" {
			t.Fatalf("%s was chosen, which has 90,000 tokens to read", id)
		}
		c.Answered(false, now)
	}
	b.SetPeer("other", nil)
	if got := b.targets["t00"].peers; got != (Load{}) {
		t.Errorf("a host that is gone still counts: %+v", got)
	}
}

// Guards against a target that is filled beyond its KV cache while others have room.
func TestFullCacheIsAvoided(t *testing.T) {
	b := newBook("a")
	b.SetTargets(engines(2, registry.Resident{Model: "m"}))
	b.SetPeer("other", map[string]Load{"t00": {Running: 24, Cache: cacheTokens}, "t01": {Running: 30, Cache: 100_000, Prefill: 5000}})
	if c := pick(t, b, Query{Service: "llm", Call: brief("x")}); c.Target.ID != "t01" {
		t.Errorf("%s was chosen, whose cache is full", c.Target.ID)
	}
}

func TestPickSaysWhatIsMissing(t *testing.T) {
	b := newBook("a")
	q := Query{Service: "llm", Call: &passage.Call{Model: "m", Adapter: "a1"}}
	try := func(want error) {
		t.Helper()
		if _, err := b.Pick(q, now); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	try(ErrNoTarget)
	b.SetTargets(engines(2))
	try(ErrNoModel)
	b.SetTargets(engines(2, registry.Resident{Model: "m", Adapters: []string{"a2"}}))
	try(ErrNoAdapter)
	b.AddAdapter("t01", "m", "a1")
	if c := pick(t, b, q); c.Target.ID != "t01" {
		t.Errorf("%s was chosen", c.Target.ID)
	}
	b.SetResidents(map[string]registry.Holding{"t00": {}, "t01": {}})
	try(ErrNoModel)
	b.SetResidents(nil)
	draining := engines(2, registry.Resident{Model: "m", Adapters: []string{"a1"}})
	for _, target := range draining {
		target.State = registry.Draining
	}
	b.SetTargets(draining)
	try(ErrNoTarget)
}

// Guards against requests for models that a target held before it started anew: the controller's knowledge is of the
// incarnation before until it has asked the new one.
func TestTargetThatStartedAnewHoldsItsEntry(t *testing.T) {
	b := newBook("a")
	list := engines(2, registry.Resident{Model: "m"})
	b.SetTargets(list)
	held := map[string]registry.Holding{"t00": {Models: list[0].Models}, "t01": {Models: list[1].Models}}
	b.SetResidents(held)
	anew := *list[0]
	anew.Started, anew.Models = 1, nil
	b.SetTargets([]*registry.Target{&anew, list[1]})
	for range 20 {
		if c := pick(t, b, Query{Service: "llm", Call: brief("x")}); c.Target.ID != "t01" {
			t.Fatal("a target that started anew was chosen for a model that it lost")
		}
	}
	held["t00"] = registry.Holding{Started: 1, Models: list[0].Models}
	b.SetResidents(held)
	if _, err := b.Pick(Query{Service: "llm", Call: brief("x"), Tried: []string{"t01"}}, now); err != nil {
		t.Errorf("the controller's newer knowledge does not count: %v", err)
	}
}

// Guards against work for a target that does not answer, and against leaving it for good: after a while one request
// tries it.
func TestUnreachableTargetIsLeftAndTriedAgain(t *testing.T) {
	b := newBook("a")
	plain := []*registry.Target{{ID: "x", Service: "plain", Zone: "a", Slots: 6}, {ID: "y", Service: "plain", Zone: "b", Slots: 6}}
	b.SetTargets(plain)
	q := Query{Service: "plain", Call: &passage.Call{}}
	for range 2 {
		c := pick(t, b, Query{Service: "plain", Call: &passage.Call{}, Tried: []string{"y"}})
		c.Silent(now)
	}
	if s := b.Suspects(); len(s) != 1 || s[0] != "x" {
		t.Errorf("suspects %v", s)
	}
	for range 10 {
		if c := pick(t, b, q); c.Target.ID != "y" {
			t.Fatal("a suspended target was chosen")
		}
	}
	later := now.Add(5 * suspendMost)
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
		t.Errorf("%d requests at once tried a target that did not answer, want 1", tries)
	}
}

// Guards against suspending a sound target because some of its answers are lost.
func TestBrokenConnectionsDoNotSuspend(t *testing.T) {
	b := newBook("a")
	b.SetTargets([]*registry.Target{{ID: "x", Service: "plain", Zone: "a", Slots: 6}})
	for range 5 {
		pick(t, b, Query{Service: "plain", Call: &passage.Call{}}).Broken(now)
	}
	if s := b.Suspects(); len(s) != 0 || !b.targets["x"].health.usable(now) {
		t.Errorf("suspects %v", s)
	}
}

// Guards against requests that are counted for ever or twice.
func TestLoadIsGivenBack(t *testing.T) {
	b := newBook("a")
	b.SetTargets(engines(1, registry.Resident{Model: "m"}))
	ends := []func(*Choice){
		func(c *Choice) { c.Answered(false, now) }, func(c *Choice) { c.First(now); c.Answered(true, now) }, func(c *Choice) { c.Rejected(now) },
		func(c *Choice) { c.Absent("other", "", now) }, func(c *Choice) { c.Silent(now) }, func(c *Choice) { c.Broken(now) },
		func(c *Choice) { c.First(now); c.Abandoned() },
	}
	for _, end := range ends {
		end(pick(t, b, Query{Service: "llm", Call: brief("p")}))
	}
	if got := b.targets["t00"].own; got != (Load{}) {
		t.Errorf("%+v left in flight", got)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 60, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := newBook("a")
			book.SetTargets(engines(n, registry.Resident{Model: "m"}))
			for b.Loop() {
				c, err := book.Pick(Query{Service: "llm", Call: brief("p")}, now)
				if err != nil {
					b.Fatal(err)
				}
				c.Answered(false, now)
			}
		})
	}
}
