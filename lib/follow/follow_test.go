package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
)

// textCodec reads configurations that are a version and targets that are a state.
type textCodec struct{}

func (textCodec) ConfigKey() string    { return "op/config" }
func (textCodec) TargetPrefix() string { return "targets/" }

func (textCodec) Config(value []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.New(catalog.Content{Version: version}), err
}

func (textCodec) Target(id string, value []byte) (*registry.Target, error) {
	if string(value) != "ready" && string(value) != "draining" {
		return nil, errors.New("foreign entry")
	}
	t := &registry.Target{ID: id, Beat: 1}
	if string(value) == "draining" {
		t.State = registry.Draining
	}
	return t, nil
}

// fakeFeed is a store whose watches can be cut, and which can forget its history without saying so.
type fakeFeed struct {
	mu        sync.Mutex
	entries   map[string]kv.Entry
	changes   []kv.Change
	forgotten bool // changes so far are delivered to nobody
	down      bool
	silent    bool // calls get no answer, also after the silence
	cut       chan struct{}
	changed   chan struct{}
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{entries: map[string]kv.Entry{}, cut: make(chan struct{}), changed: make(chan struct{})}
}

func (f *fakeFeed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := kv.Entry{Key: key, Value: []byte(value), Version: kv.Version(len(f.changes) + 1)}
	f.entries[key] = e
	f.record(kv.Change{Entry: e})
}

func (f *fakeFeed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, key)
	f.record(kv.Change{Entry: kv.Entry{Key: key, Version: kv.Version(len(f.changes) + 1)}, Deleted: true})
}

func (f *fakeFeed) record(c kv.Change) {
	f.changes = append(f.changes, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) cutWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.cut)
	f.cut = make(chan struct{})
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFeed) Snapshot(_ context.Context, prefix string) (kv.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kv.Snapshot{}, kv.ErrUnavailable
	}
	out := kv.Snapshot{Revision: kv.Version(len(f.changes))}
	for key, e := range f.entries {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after kv.Version, wait time.Duration) ([]kv.Change, kv.Version, error) {
	end := time.After(wait)
	for {
		f.mu.Lock()
		at, cut, changed := kv.Version(len(f.changes)), f.cut, f.changed
		news := f.changes[after:]
		if f.forgotten {
			news = nil
		}
		down, silent := f.down, f.silent
		f.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, after, ctx.Err()
		}
		if down {
			return nil, after, kv.ErrUnavailable
		}
		if len(news) > 0 {
			return news, at, nil
		}
		select {
		case <-changed:
		case <-cut:
			return nil, after, fmt.Errorf("%w: cut", kv.ErrUnavailable)
		case <-end:
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// seen is what a follower told its handlers last.
type seen struct {
	mu      sync.Mutex
	version int64
	targets map[string]registry.State
}

// startMany returns followers that tell each other of departures, as hosts do in every period.
func startMany(t *testing.T, feed kv.Feed, n int, period time.Duration) []*seen {
	var followers []*Follower
	var all []*seen
	phases := rand.New(rand.NewPCG(uint64(n), 1))
	for range n {
		f, s := startWith(t, feed, func(f *Follower) {
			f.SetHosts(n)
			f.phase = phases.Float64()
		})
		followers, all = append(followers, f), append(all, s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause.For(ctx, period) {
			for _, from := range followers {
				news := from.News(false)
				for _, to := range followers {
					to.Hear(news)
				}
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return all
}

func start(t *testing.T, feed kv.Feed) (*Follower, *seen) {
	return startWith(t, feed, func(*Follower) {})
}

// startWith lets prepare change the follower before it runs.
func startWith(t *testing.T, feed kv.Feed, prepare func(*Follower)) (*Follower, *seen) {
	s := &seen{}
	f := New(feed, textCodec{}, Handlers{
		Catalog: func(c *catalog.Catalog) { s.mu.Lock(); s.version = c.Version; s.mu.Unlock() },
		Targets: func(list []*registry.Target) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.targets = map[string]registry.State{}
			for _, target := range list {
				s.targets[target.ID] = target.State
			}
		},
		Hosts: func(map[string][]byte) {},
	}, slog.New(slog.DiscardHandler))
	prepare(f)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, s
}

func (s *seen) configVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *seen) state(id string) (registry.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.targets[id]
	return state, ok
}

// configBound is the time within which a configuration has to be in force.
const configBound = 2 * time.Second

// Guards against a configuration that is missed for good when the store forgets it between a watch that was cut and
// the next one, which then waits without it.
func TestChangeForgottenBetweenWatchesIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		_, s := start(t, feed)
		time.Sleep(time.Second)
		feed.set(func() { feed.forgotten = true })
		feed.put("op/config", "2")
		time.Sleep(time.Second)
		feed.cutWatches()
		time.Sleep(configBound)
		if got := s.configVersion(); got != 2 {
			t.Errorf("version %d in force, want 2", got)
		}
	})
}

// stableTime is how long after an outage of the store bounds hold again.
const stableTime = 3 * time.Second

// Guards against a watch that the store took in an outage and never answers: nothing shows it but the time that passes.
func TestUnansweredWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		_, s := start(t, feed)
		time.Sleep(time.Second)
		feed.set(func() { feed.silent = true })
		feed.put("targets/a", "ready") // ends the present watch; the next one falls into the silence
		time.Sleep(time.Second)
		feed.set(func() { feed.silent = false })
		time.Sleep(stableTime)
		feed.put("op/config", "2")
		time.Sleep(configBound)
		if got := s.configVersion(); got != 2 {
			t.Errorf("version %d in force, want 2", got)
		}
	})
}

// Guards against a host that stays on an old configuration although a peer has a newer one, when its watch hears
// nothing and is not cut.
func TestRefreshReadsWhatTheWatchDidNotDeliver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		f, s := start(t, feed)
		time.Sleep(2 * time.Second)
		feed.set(func() { feed.forgotten = true })
		feed.put("op/config", "2")
		time.Sleep(time.Second)
		f.Refresh()
		time.Sleep(100 * time.Millisecond)
		if got := s.configVersion(); got != 2 {
			t.Errorf("version %d in force, want 2", got)
		}
	})
}

// Guards against an older configuration, read from a peer that is behind, replacing a newer one.
func TestOlderConfigurationIsNotInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "7")
		f, s := start(t, feed)
		time.Sleep(time.Second)
		f.Install([]byte("5"), "peer")
		f.Install([]byte("damaged"), "peer")
		if got := s.configVersion(); got != 7 {
			t.Errorf("version %d in force, want 7", got)
		}
		f.Install([]byte("9"), "peer")
		if got := s.configVersion(); got != 9 {
			t.Errorf("version %d in force, want 9", got)
		}
	})
}

// Guards against dropping all targets because their entries lapsed while the store was away, and against keeping those
// that do not come back.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		_, s := start(t, feed)
		time.Sleep(time.Second)
		feed.set(func() { feed.down = true })
		feed.cutWatches()
		time.Sleep(10 * time.Second)
		feed.remove("targets/a")
		feed.remove("targets/b")
		feed.set(func() { feed.down = false })
		time.Sleep(time.Second)
		if _, ok := s.state("a"); !ok {
			t.Error("a was dropped before it could write its entry again")
		}
		feed.put("targets/a", "ready")
		time.Sleep(4 * time.Second)
		if _, ok := s.state("a"); !ok {
			t.Error("a was dropped although its entry is back")
		}
		if _, ok := s.state("b"); ok {
			t.Error("b is still used although its entry did not come back")
		}
	})
}

// Guards against work for a target that leaves: the bound is two seconds from the entry.
func TestLeavingTargetIsSeenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		_, s := start(t, feed)
		time.Sleep(time.Second)
		feed.put("targets/a", "ready") // the watch is answered right before
		time.Sleep(time.Millisecond)
		feed.put("targets/a", "draining")
		feed.remove("targets/b")
		time.Sleep(time.Second)
		if state, _ := s.state("a"); state != registry.Draining {
			t.Error("a is still ready a second after it said that it leaves")
		}
		if _, ok := s.state("b"); ok {
			t.Error("b is still used a second after its entry was removed")
		}
	})
}

// Guards against hosts that all look away at the same time: a change answers the watches of all of them at once, and
// the next one, right after it, has to reach all in time.
func TestManyHostsSeeLeavingTargetInTime(t *testing.T) {
	for n, period := range map[int]time.Duration{2: 200 * time.Millisecond, 7: 200 * time.Millisecond, 20: 200 * time.Millisecond, 59: 600 * time.Millisecond} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := newFakeFeed()
				feed.put("targets/a", "ready")
				all := startMany(t, feed, n, period)
				time.Sleep(10 * time.Second)
				for round := range 20 {
					id := fmt.Sprint("t", round)
					feed.put("targets/"+id, "ready")
					time.Sleep(8 * time.Second)
					feed.put("targets/a", "ready")
					time.Sleep(time.Millisecond)
					feed.remove("targets/" + id)
					time.Sleep(drainBound)
					late := 0
					for _, s := range all {
						if _, ok := s.state(id); ok {
							late++
						}
					}
					if late > 0 {
						t.Errorf("round %d: %d of %d hosts still use a target that left %v ago", round, late, n, drainBound)
					}
				}
			})
		})
	}
}

// drainBound is the time within which hosts have to stop using a target that leaves.
const drainBound = 2 * time.Second

// Guards against hosts that learn of a new target only with their own next look, and against news that bring back a
// target that has left since.
func TestNewsOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, away := newFakeFeed(), newFakeFeed()
		from, _ := start(t, feed)
		to, s := start(t, away) // sees nothing itself
		time.Sleep(time.Second)
		feed.put("targets/a", "ready")
		time.Sleep(time.Second)
		arrival := from.News(true)
		if again := from.News(true); !again.Empty() {
			t.Errorf("told twice: %+v", again)
		}
		to.Hear(arrival)
		if _, ok := s.state("a"); !ok {
			t.Error("a new target is not used")
		}
		feed.remove("targets/a")
		time.Sleep(time.Second)
		to.Hear(from.News(true))
		if _, ok := s.state("a"); ok {
			t.Error("a target that is gone is still used")
		}
		to.Hear(arrival)
		if _, ok := s.state("a"); ok {
			t.Error("late news brought a target back that is gone")
		}
	})
}

// Guards against a host that tells what all others have heard: 59 hosts see a change at the same moment.
func TestNewsHeardFromOthersAreNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		a, _ := start(t, feed)
		b, _ := start(t, feed)
		time.Sleep(time.Second)
		feed.put("targets/a", "ready")
		time.Sleep(time.Second)
		b.Hear(a.News(true))
		if n := b.News(true); !n.Empty() {
			t.Errorf("told again: %+v", n)
		}
		if n := b.News(false); len(n.Arrivals) != 1 {
			t.Errorf("left out of the regular state: %+v", n)
		}
	})
}

// Guards against a departure that nobody tells because the host that saw it first read a whole listing, not a change.
func TestListingIsNewsToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		f, _ := start(t, feed)
		time.Sleep(time.Second)
		if n := f.News(true); !n.Empty() {
			t.Errorf("the first listing is told: %+v", n)
		}
		feed.set(func() { feed.forgotten = true }) // the watch hears nothing and is followed by a whole read
		feed.remove("targets/a")
		time.Sleep(watchLimit)
		if n := f.News(true); len(n.Departures) != 1 || n.Departures[0].ID != "a" || len(n.Arrivals) != 0 {
			t.Errorf("told %+v, want the departure of a", n)
		}
	})
}
