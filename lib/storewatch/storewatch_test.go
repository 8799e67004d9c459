package storewatch

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
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sleep"
)

// heartbeat is the interval at which targets write their entries.
const heartbeat = 1200 * time.Millisecond

// textCodec decodes a configuration that is just its version and a target that is just its state.
type textCodec struct{}

func (textCodec) ConfigKey() string    { return "op/config" }
func (textCodec) TargetPrefix() string { return "targets/" }

func (textCodec) EvacuationPrefix() string { return "op/evacuate/" }

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

// fakeFeed is a store that can fail, leave calls unanswered, break watches and lose its history without an error.
type fakeFeed struct {
	mu           sync.Mutex
	era          kv.Era
	entries      map[string]kv.Entry
	changes      []kv.Change
	failing      []error // of the next reads of all entries
	historyLost  bool    // watches return no changes
	down         bool
	unresponsive bool // watches begun meanwhile get no answer, not even afterwards
	cut          chan struct{}
	changed      chan struct{}
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{entries: map[string]kv.Entry{}, cut: make(chan struct{}), changed: make(chan struct{})}
}

func (f *fakeFeed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := kv.Entry{Key: key, Value: []byte(value), Version: f.next(), Created: f.next()}
	if old, ok := f.entries[key]; ok {
		e.Created = old.Created
	}
	f.entries[key] = e
	f.record(kv.Change{Entry: e})
}

func (f *fakeFeed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, key)
	f.record(kv.Change{Entry: kv.Entry{Key: key, Version: f.next()}, Deleted: true})
}

// next returns the version of the next change; the caller holds mu.
func (f *fakeFeed) next() kv.Version { return kv.NewVersion(f.era, int64(len(f.changes)+1)) }

// restore undoes the last n changes and begins a new era.
func (f *fakeFeed) restore(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.changes = f.changes[:len(f.changes)-n]
	clear(f.entries)
	for i, c := range f.changes {
		if c.Version = kv.NewVersion(f.era, int64(i+1)); c.Deleted {
			delete(f.entries, c.Key)
		} else {
			f.entries[c.Key] = c.Entry
		}
	}
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

func (f *fakeFeed) update(change func()) {
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
	if len(f.failing) > 0 {
		err := f.failing[0]
		f.failing = f.failing[1:]
		return kv.Snapshot{}, fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	out := kv.Snapshot{Revision: f.next() - 1}
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
		at, cut, changed := f.next()-1, f.cut, f.changed
		if after.Era() != f.era {
			f.mu.Unlock()
			return nil, after, kv.ErrCompacted
		}
		pending := f.changes[after.Revision():]
		if f.historyLost {
			pending = nil
		}
		down, unresponsive := f.down, f.unresponsive
		f.mu.Unlock()
		if unresponsive {
			<-ctx.Done()
			return nil, after, ctx.Err()
		}
		if down {
			return nil, after, kv.ErrUnavailable
		}
		if len(pending) > 0 {
			return pending, at, nil
		}
		select {
		case <-changed:
		case <-cut:
			return nil, after, fmt.Errorf("%w: %w", kv.ErrUnavailable, kv.ErrWatchEnded)
		case <-end:
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// recorder keeps what a watcher last passed to its handlers.
type recorder struct {
	mu      sync.Mutex
	version int64
	targets map[string]registry.State

	zones    map[string]bool
	returned []string
}

// startPeers starts n watchers that exchange their changes in every period, as hosts do with their states, and returns
// their recorders.
func startPeers(t *testing.T, feed kv.Feed, n int, period time.Duration) []*recorder {
	var watchers []*Watcher
	var all []*recorder
	phases := rand.New(rand.NewPCG(uint64(n), 1))
	for range n {
		w, s := startWatcherWith(t, feed, func(w *Watcher) {
			w.SetPolling(Polling{Poller: true, Pollers: n, Window: DefaultWindow})
			w.pollPhase = phases.Float64()
		})
		watchers, all = append(watchers, w), append(all, s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sleep.For(ctx, period) {
			for _, from := range watchers {
				changes := from.TargetChanges()
				for _, to := range watchers {
					to.ApplyChanges(changes, false)
				}
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return all
}

func startWatcher(t *testing.T, feed kv.Feed) (*Watcher, *recorder) {
	return startWatcherWith(t, feed, func(*Watcher) {})
}

// startWatcherWith starts a watcher after prepare has changed it.
func startWatcherWith(t *testing.T, feed kv.Feed, prepare func(*Watcher)) (*Watcher, *recorder) {
	s := &recorder{}
	w := New(feed, textCodec{}, heartbeat, Handlers{
		OnCatalog: func(c *catalog.Catalog) { s.mu.Lock(); s.version = c.Version; s.mu.Unlock() },
		OnTargets: func(list []*registry.Target) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.targets = map[string]registry.State{}
			for _, target := range list {
				s.targets[target.ID] = target.State
			}
		},
		OnHosts: func(map[string][]byte) {},
	}, slog.New(slog.DiscardHandler))
	prepare(w)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return w, s
}

func (s *recorder) installedVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *recorder) targetState(id string) (registry.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.targets[id]
	return state, ok
}

// configDeadline is the time within which a new configuration has to be in force.
const configDeadline = 2 * time.Second

// Guards against a configuration that is never installed because the store loses the change between a watch that broke
// and the next one, which then waits in vain.
func TestChangeLostBetweenWatchesIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		_, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.historyLost = true })
		feed.put("op/config", "2")
		time.Sleep(time.Second)
		feed.cutWatches()
		time.Sleep(configDeadline)
		if got := s.installedVersion(); got != 2 {
			t.Errorf("version %d in force, want 2", got)
		}
	})
}

// recoveryPeriod is the time after an outage of the store from which the time limits apply again.
const recoveryPeriod = 3 * time.Second

// Guards against waiting for ever on a watch that the store accepted in an outage and never answers: there is no error, so
// only a timeout can end it.
func TestUnansweredWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		_, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.unresponsive = true })
		feed.put("targets/a", "ready") // ends the current watch; the next one is not answered
		time.Sleep(time.Second)
		feed.update(func() { feed.unresponsive = false })
		time.Sleep(recoveryPeriod)
		feed.put("op/config", "2")
		time.Sleep(configDeadline)
		if got := s.installedVersion(); got != 2 {
			t.Errorf("version %d in force, want 2", got)
		}
	})
}

// Guards against a host that stays on an old configuration although a peer has a newer one, because its watch neither
// returns the change nor fails.
func TestRefreshReadsChangesTheWatchMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "1")
		w, s := startWatcher(t, feed)
		time.Sleep(2 * time.Second)
		feed.update(func() { feed.historyLost = true })
		feed.put("op/config", "2")
		time.Sleep(time.Second)
		w.Refresh()
		time.Sleep(100 * time.Millisecond)
		if got := s.installedVersion(); got != 2 {
			t.Errorf("version %d in force, want 2", got)
		}
	})
}

// Guards against a newer configuration being replaced by an older one from a peer that is behind.
func TestOlderConfigurationIsNotInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("op/config", "7")
		w, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		w.InstallConfig([]byte("5"), "peer")
		w.InstallConfig([]byte("damaged"), "peer")
		if got := s.installedVersion(); got != 7 {
			t.Errorf("version %d in force, want 7", got)
		}
		w.InstallConfig([]byte("9"), "peer")
		if got := s.installedVersion(); got != 9 {
			t.Errorf("version %d in force, want 9", got)
		}
	})
}

// Guards against dropping all targets because their entries expired while the store was unavailable, and against keeping
// those whose entries do not return.
func TestEntriesExpiredInOutageAreKeptForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		_, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.down = true })
		feed.cutWatches()
		time.Sleep(10 * time.Second)
		feed.remove("targets/a")
		feed.remove("targets/b")
		feed.update(func() { feed.down = false })
		time.Sleep(time.Second)
		if _, ok := s.targetState("a"); !ok {
			t.Error("a was dropped before it could write its entry again")
		}
		feed.put("targets/a", "ready")
		time.Sleep(4 * time.Second)
		if _, ok := s.targetState("a"); !ok {
			t.Error("a was dropped although its entry is back")
		}
		if _, ok := s.targetState("b"); ok {
			t.Error("b is still used although its entry did not come back")
		}
	})
}

// Guards against a host that goes on with what a restored store has lost: it misses changes whose revisions it has seen before,
// ignores removals with lower revisions than the entries it knows, and uses targets whose removal was lost.
func TestRestoredStoreIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		for _, id := range []string{"stays", "left", "leaves"} {
			feed.put("targets/"+id, "ready")
		}
		_, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		for range 3 {
			feed.put("targets/leaves", "ready") // its last entry has a higher revision than its removal
		}
		feed.put("op/config", "2")
		feed.put("targets/lost", "ready")
		feed.remove("targets/left")
		time.Sleep(4 * time.Second)
		feed.restore(6)
		feed.cutWatches()
		feed.remove("targets/leaves")
		feed.put("op/config", "3")
		beat := func(d time.Duration) { // the watch is never idle, so that no full read follows
			for range d / (300 * time.Millisecond) {
				feed.put("targets/stays", "ready")
				time.Sleep(300 * time.Millisecond)
			}
		}
		beat(time.Second)
		if _, ok := s.targetState("left"); ok {
			t.Error("a target that left is used again because the store lost its removal")
		}
		if _, ok := s.targetState("lost"); !ok {
			t.Error("a target was dropped before it could write its entry again")
		}
		beat(drainDeadline + returnTime)
		for id, want := range map[string]bool{"stays": true, "left": false, "leaves": false, "lost": false} {
			if _, ok := s.targetState(id); ok != want {
				t.Errorf("%s: in use %v, want %v", id, ok, want)
			}
		}
		if got := s.installedVersion(); got != 3 {
			t.Errorf("version %d in force, want 3", got)
		}
	})
}

// Guards against a target that stays in use for ever because a host announces an entry that the restored store has lost.
func TestArrivalThatARestoredStoreHasLostIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/stays", "ready")
		lost := &registry.Target{ID: "lost", Beat: 1, Revision: int64(kv.NewVersion(0, 2))}
		feed.restore(0)
		w, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		w.ApplyChanges(TargetChanges{Arrivals: []*registry.Target{lost}}, false)
		for range 20 { // the watch is never idle, so that no full read follows
			feed.put("targets/stays", "ready")
			time.Sleep(300 * time.Millisecond)
		}
		if _, ok := s.targetState("lost"); ok {
			t.Error("the target is in use")
		}
	})
}

// Guards against dropping a target that a restored store has lost before it could write its entry again: another full read follows.
func TestSecondReadOfARestoredStoreLeavesTargetsTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/stays", "ready")
		w, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.put("targets/lost", "ready")
		time.Sleep(time.Second)
		feed.restore(1)
		feed.put("targets/stays", "ready")
		time.Sleep(returnTime / 2)
		w.Refresh()
		time.Sleep(returnTime / 4)
		if _, ok := s.targetState("lost"); !ok {
			t.Error("the target was dropped")
		}
	})
}

// Guards against sending work too long to a target that was removed when the time limits applied again after a restoration.
func TestRemovalLongAfterARestorationIsDetectedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		for _, id := range []string{"stays", "leaves"} {
			feed.put("targets/"+id, "ready")
		}
		_, s := startWatcher(t, feed)
		time.Sleep(4 * time.Second)
		feed.put("targets/stays", "ready") // the host reads the store again after minPollInterval
		time.Sleep(10 * time.Millisecond)
		feed.restore(0)
		time.Sleep(recoveryPeriod)
		feed.remove("targets/leaves")
		time.Sleep(drainDeadline)
		if _, ok := s.targetState("leaves"); ok {
			t.Error("the target is in use")
		}
	})
}

// returnTime is the time in which targets write entries again that a store has lost.
const returnTime = 2 * time.Second

// Guards against sending work to a draining or removed target. The limit is two seconds from the change of its entry; a
// host without peers needs at most one.
func TestDrainingOrRemovedTargetIsDetectedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		_, s := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.put("targets/a", "ready") // answers the watch just before the change
		time.Sleep(time.Millisecond)
		feed.put("targets/a", "draining")
		feed.remove("targets/b")
		time.Sleep(time.Second)
		if state, _ := s.targetState("a"); state != registry.Draining {
			t.Error("a is still ready a second after its entry said draining")
		}
		if _, ok := s.targetState("b"); ok {
			t.Error("b is still used a second after its entry was removed")
		}
	})
}

// Guards against hosts that all wait between polls at the same time: one change answers the watches of all of them at
// once, and the next change, right after it, has to reach all in time.
func TestAllHostsDetectRemovedTargetInTime(t *testing.T) {
	for n, period := range map[int]time.Duration{2: 200 * time.Millisecond, 7: 200 * time.Millisecond, 20: 200 * time.Millisecond, 59: 600 * time.Millisecond} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := newFakeFeed()
				feed.put("targets/a", "ready")
				all := startPeers(t, feed, n, period)
				time.Sleep(10 * time.Second)
				for round := range 20 {
					id := fmt.Sprint("t", round)
					feed.put("targets/"+id, "ready")
					time.Sleep(8 * time.Second)
					feed.put("targets/a", "ready")
					time.Sleep(time.Millisecond)
					feed.remove("targets/" + id)
					time.Sleep(drainDeadline)
					late := 0
					for _, s := range all {
						if _, ok := s.targetState(id); ok {
							late++
						}
					}
					if late > 0 {
						t.Errorf("round %d: %d of %d hosts still use a target that was removed %v ago", round, late, n, drainDeadline)
					}
				}
			})
		})
	}
}

// drainDeadline is the time within which hosts have to stop using a draining or removed target.
const drainDeadline = 2 * time.Second

// Guards against hosts that learn of a new target only from their own next poll, and against late changes that restore a
// target removed since.
func TestTargetChangesFromPeersAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, emptyFeed := newFakeFeed(), newFakeFeed()
		from, _ := startWatcher(t, feed)
		to, s := startWatcher(t, emptyFeed) // learns of targets from the peer only
		time.Sleep(time.Second)
		feed.put("targets/a", "ready")
		time.Sleep(time.Second)
		arrival := from.NewTargetChanges(ToMesh)
		if again := from.NewTargetChanges(ToMesh); !again.Empty() {
			t.Errorf("announced twice: %+v", again)
		}
		to.ApplyChanges(arrival, false)
		if _, ok := s.targetState("a"); !ok {
			t.Error("a new target is not used")
		}
		feed.remove("targets/a")
		time.Sleep(time.Second)
		to.ApplyChanges(from.NewTargetChanges(ToMesh), false)
		if _, ok := s.targetState("a"); ok {
			t.Error("a removed target is still used")
		}
		to.ApplyChanges(arrival, false)
		if _, ok := s.targetState("a"); ok {
			t.Error("a late change restored a removed target")
		}
	})
}

// Guards against a host that announces again what others have announced: 59 hosts may read a change at the same moment.
func TestChangesAnnouncedByPeersAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		a, _ := startWatcher(t, feed)
		b, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.put("targets/a", "ready")
		time.Sleep(time.Second)
		if b.ApplyChanges(a.NewTargetChanges(ToMesh), false) {
			t.Error("a change that was read from the store is relayed")
		}
		if n := b.NewTargetChanges(ToMesh); !n.Empty() {
			t.Errorf("announced again: %+v", n)
		}
		if n := b.TargetChanges(); len(n.Arrivals) != 1 {
			t.Errorf("missing from the regular state: %+v", n)
		}
	})
}

// Guards against a departure that nobody announces because the first host to find it did so in a full read, not a watch.
func TestChangesFoundByFullReadAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("targets/a", "ready")
		feed.put("targets/b", "ready")
		w, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		if c := w.NewTargetChanges(ToMesh); !c.Empty() {
			t.Errorf("the first full read is announced: %+v", c)
		}
		feed.update(func() { feed.historyLost = true }) // the watch returns nothing and a full read follows
		feed.remove("targets/a")
		time.Sleep(watchTimeout)
		if c := w.NewTargetChanges(ToMesh); len(c.Departures) != 1 || c.Departures[0].ID != "a" || len(c.Arrivals) != 0 {
			t.Errorf("announced %+v, want the departure of a", c)
		}
	})
}

// Guards against leaves that never learn of a change, and against hosts that repeat it to each other for ever: a change from
// a leaf goes on to the mesh and to the leaves, one from the mesh to the leaves only, and each of them once.
func TestReceivedChangesAreRelayedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fromLeaf := range []bool{true, false} {
			w, _ := startWatcher(t, newFakeFeed())
			time.Sleep(time.Second)
			c := TargetChanges{Arrivals: []*registry.Target{{ID: "a", Started: 1, Revision: 1}}}
			if !w.ApplyChanges(c, fromLeaf) {
				t.Errorf("from a leaf %t: not relayed", fromLeaf)
			}
			if n := w.NewTargetChanges(ToMesh); n.Empty() == fromLeaf {
				t.Errorf("from a leaf %t: relayed to the mesh: %+v", fromLeaf, n)
			}
			if n := w.NewTargetChanges(ToLeaves); n.Empty() {
				t.Errorf("from a leaf %t: not relayed to the leaves", fromLeaf)
			}
			for _, pause := range []time.Duration{time.Second, changeTTL} {
				time.Sleep(pause)
				again := w.ApplyChanges(c, fromLeaf)
				if n := w.NewTargetChanges(ToLeaves); again || !n.Empty() {
					t.Errorf("from a leaf %t: relayed again after %v", fromLeaf, pause)
				}
			}
		}
	})
}

// Guards against leaves that miss a change because their aggregator was started again meanwhile: it had the change from another host
// before its first full read, or found it in that read before another host announced it.
func TestChangesAroundTheFirstReadReachLeaves(t *testing.T) {
	gone := TargetChanges{Departures: []registry.Departure{{ID: "gone", Removed: true, Revision: 9}}}
	draining := TargetChanges{Departures: []registry.Departure{{ID: "leaving"}}}
	for name, c := range map[string]struct{ before, after TargetChanges }{
		"removed, announced before":  {before: gone},
		"removed, announced after":   {after: gone},
		"draining, announced before": {before: draining},
		"draining, announced after":  {after: draining},
	} {
		synctest.Test(t, func(t *testing.T) {
			feed := newFakeFeed()
			feed.put("targets/leaving", "draining")
			w, _ := startWatcherWith(t, feed, func(w *Watcher) { w.ApplyChanges(c.before, false) })
			synctest.Wait() // for the first full read
			w.ApplyChanges(c.after, false)
			want := append(c.before.Departures, c.after.Departures...)[0].ID
			for _, changes := range []TargetChanges{w.NewTargetChanges(ToLeaves), w.TargetChanges()} {
				if n := len(changes.Departures); n != 1 || changes.Departures[0].ID != want {
					t.Errorf("%s: %d departures for the leaves, want that of %s", name, n, want)
				}
			}
		})
	}
}
