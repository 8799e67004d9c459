// Package storewatch watches the store and keeps a host's view of it up to date: the configuration in force, the targets and
// the other hosts. A late answer of the store never replaces a newer version by an older one.
package storewatch

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// watchWait is how long the store holds a watch open for changes, and watchTimeout when the client gives it up. A store
	// may never answer a watch that it accepted in an outage. With this timeout hosts have polled again by the time from
	// which the time limits apply again, three seconds after the outage.
	watchWait    = 2 * time.Second
	watchTimeout = watchWait + 500*time.Millisecond
	// minPollInterval is the batching delay of a host without peers between changes and its next watch, and the shortest
	// poll interval of a host with peers. Targets write often, and each answered watch costs a call; changes within the
	// delay share one.
	minPollInterval = 600 * time.Millisecond
	// maxPollInterval is the longest poll interval of a host with peers, because their announcements may be lost. It is
	// below the time for which a host's entry outlives its process, so that no host misses the entry of a short-lived one.
	maxPollInterval = 6 * time.Second
	// detectionWindow is the time after a change within which at least one host should poll the store. Hosts announce
	// draining and removed targets and new configurations to each other; these have to reach all hosts within two seconds.
	detectionWindow = 1200 * time.Millisecond
	// missProbability is the accepted probability that no host polls within detectionWindow.
	missProbability = 1e-4
	// changeTTL is how long the states of a host repeat a change of a target. It covers several states, as any may be lost.
	changeTTL = 3 * time.Second
	// snapshotTimeout bounds a full read of the store.
	snapshotTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls. They keep the calls of all hosts together far
	// below the store's rate limit.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// minRefreshInterval is the shortest time between two full reads that Refresh starts.
	minRefreshInterval = time.Second
	// outageGracePeriod is the time after the last failed call within which entries may be missing only because they
	// expired while the store was unavailable.
	outageGracePeriod = 3 * time.Second
	// expireInterval is the time between two checks for targets whose missing entries did not return.
	expireInterval = 200 * time.Millisecond
)

// Codec decodes the values in the store and knows their keys.
type Codec interface {
	// ConfigKey returns the key of the configuration.
	ConfigKey() string
	// TargetPrefix returns the key prefix of the targets' entries.
	TargetPrefix() string
	// Config decodes the configuration.
	Config(value []byte) (*catalog.Catalog, error)
	// Target decodes the entry of a target. The id is its key without TargetPrefix.
	Target(id string, value []byte) (*registry.Target, error)
}

// allKeys is the empty prefix, which matches every key: one watch covers configuration, targets and hosts.
const allKeys = ""

// HostPrefix is the key prefix of the entries that hosts write about themselves.
const HostPrefix = "cuminhook/hosts/"

// Handlers are called when the view of the store changes. Several goroutines may call them at the same
// time.
type Handlers struct {
	OnCatalog func(*catalog.Catalog)   // a newer configuration was installed
	OnTargets func([]*registry.Target) // the list of targets after a change
	OnHosts   func(map[string][]byte)  // values of the hosts' entries, by host
	Announce  func()                   // there are changes to announce to other hosts at once; may be nil
}

// Watcher watches the store and passes changes to its handlers.
type Watcher struct {
	feed     kv.Feed
	codec    Codec
	handlers Handlers
	log      *slog.Logger

	pollNow   chan struct{}
	started   time.Time
	pollPhase float64 // offset of this host's polls, as a fraction of the poll interval

	mu             sync.Mutex
	hostCount      int                         // guarded by mu; hosts that announce changes to each other, this one included
	changes        map[changeKey]*recentChange // guarded by mu; recent changes of targets
	snapshotRead   bool                        // guarded by mu; a full read has succeeded
	configValue    []byte                      // guarded by mu; configuration in force as it was read
	configVersion  int64                       // guarded by mu; version of the configuration in force, -1 before the first
	targets        *registry.Table             // guarded by mu
	hosts          map[string][]byte           // guarded by mu; values of the hosts' entries, by host
	lastAnswer     time.Time                   // guarded by mu; when the store answered last
	lastFailure    time.Time                   // guarded by mu; when a call failed last
	storeLost      bool                        // guarded by mu; no call has succeeded since the last failure
	lastRefresh    time.Time                   // guarded by mu; when Refresh last ended a watch
	cancelWatch    context.CancelCauseFunc     // guarded by mu; ends the current watch
	invalidEntries map[string]kv.Version       // guarded by mu; versions of undecodable entries that were logged, by target
	loggedStates   map[string]registry.State   // guarded by mu; states of targets as last logged
}

// New returns a follower that calls the handlers. Run starts it.
func New(feed kv.Feed, codec Codec, handlers Handlers, log *slog.Logger) *Watcher {
	return &Watcher{
		feed: feed, codec: codec, handlers: handlers, log: log, configVersion: -1, targets: registry.NewTable(),
		hosts: map[string][]byte{}, pollNow: make(chan struct{}, 1), started: time.Now(), pollPhase: rand.Float64(), hostCount: 1,
		changes: map[changeKey]*recentChange{}, invalidEntries: map[string]kv.Version{},
		loggedStates: map[string]registry.State{},
	}
}

// ConfigValue returns the encoded configuration in force, or nil before one is installed.
func (f *Watcher) ConfigValue() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configValue
}

// Run watches the store until ctx ends. After a watch that failed or returned no changes it does a full read.
func (f *Watcher) Run(ctx context.Context) {
	go f.expireTargets(ctx)
	delay := minRetryDelay
	for ctx.Err() == nil {
		revision, err := f.readSnapshot(ctx)
		if err == nil {
			delay = minRetryDelay
			err = f.watch(ctx, revision)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, errRefresh), errors.Is(err, errIdle):
		case errors.Is(err, kv.ErrCompacted):
			f.log.Info("store history compacted; reading all keys again")
		default:
			f.recordFailure(err)
			pause.For(ctx, delay+rand.N(delay)) // jitter: hosts that lost the store together retry at different times
			delay = min(2*delay, maxRetryDelay/2)
		}
	}
}

// errIdle ends a watch that returned no changes. A store that has lost part of its history may hold the watch open and
// never deliver the changes of that part, so a full read follows.
var errIdle = errors.New("storewatch: watch returned no changes")

// errRefresh ends a watch because Refresh asked for a full read.
var errRefresh = errors.New("storewatch: another host has a newer configuration")

// Refresh ends the current watch and starts a full read. Call it when another host has a newer configuration. Calls within
// minRefreshInterval of the last effective one do nothing.
func (f *Watcher) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastRefresh) < minRefreshInterval || f.cancelWatch == nil {
		return
	}
	f.lastRefresh = time.Now()
	f.cancelWatch(errRefresh)
}

// readSnapshot does a full read and installs its result. One call suffices while all entries fit into a page.
func (f *Watcher) readSnapshot(ctx context.Context) (kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snap, err := f.feed.Snapshot(ctx, allKeys)
	if err != nil {
		return 0, err
	}
	f.recordAnswer()
	var targets, hosts []kv.Entry
	for _, e := range snap.Entries {
		switch {
		case e.Key == f.codec.ConfigKey():
			f.installConfig(e)
		case strings.HasPrefix(e.Key, f.codec.TargetPrefix()):
			targets = append(targets, e)
		case strings.HasPrefix(e.Key, HostPrefix):
			hosts = append(hosts, e)
		}
	}
	f.replaceTargets(targets, snap.Revision)
	f.replaceHosts(hosts)
	return snap.Revision, nil
}

// watch applies changes after the version until a call fails, a poll returns no changes or Refresh ends the watch.
func (f *Watcher) watch(ctx context.Context, after kv.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.cancelWatch = cancel
	f.mu.Unlock()
	for {
		changes, at, err := f.poll(ctx, after)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return err
		}
		f.recordAnswer()
		if len(changes) == 0 {
			return errIdle
		}
		f.applyChanges(changes)
		after = at
		f.waitBetweenPolls(ctx)
	}
}

// poll waits up to watchWait for changes after the version and returns them with the version to go on from.
func (f *Watcher) poll(ctx context.Context, after kv.Version) ([]kv.Change, kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return f.feed.Changes(ctx, allKeys, after, watchWait)
}

// SetHostCount sets how many hosts announce changes to each other, this one included.
func (f *Watcher) SetHostCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostCount = max(1, n)
}

// waitBetweenPolls waits so that changes gather. Hosts with peers share the polling: each polls at times of its own,
// so that with a probability of missProbability none polls within detectionWindow. Delays counted from the changes would
// not do: one change answers the watches of all hosts at once, and all of them would wait at the same time.
func (f *Watcher) waitBetweenPolls(ctx context.Context) {
	f.mu.Lock()
	n := f.hostCount
	f.mu.Unlock()
	d := minPollInterval
	if n > 1 {
		period := pollInterval(n)
		d = period - (time.Since(f.started)+time.Duration(f.pollPhase*float64(period)))%period
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.pollNow:
	case <-ctx.Done():
	}
}

// pollInterval returns the time between two polls of each host if n hosts share the polling.
func pollInterval(n int) time.Duration {
	period := time.Duration(float64(detectionWindow) / (1 - math.Pow(missProbability, 1/float64(n))))
	return min(maxPollInterval, max(minPollInterval, period))
}

// PollNow ends the delay before the next poll. Call it when another host has seen a newer configuration.
func (f *Watcher) PollNow() {
	select {
	case f.pollNow <- struct{}{}:
	default:
	}
}

// recordAnswer notes that the store has answered.
func (f *Watcher) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLost {
		f.storeLost = false
		f.log.Info("store regained", "silent_ms", time.Since(f.lastAnswer).Milliseconds())
	}
	f.lastAnswer = time.Now()
}

// recordFailure notes that a call of the store has failed.
func (f *Watcher) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.storeLost {
		f.storeLost = true
		f.log.Warn("store lost", "error", err.Error())
	}
	f.lastFailure = time.Now()
}

// afterOutage reports whether entries may be missing because of an outage. The caller holds mu.
func (f *Watcher) afterOutage(now time.Time) bool {
	return !f.lastFailure.IsZero() && now.Sub(f.lastFailure) < outageGracePeriod
}

// applyChanges applies changes read from the store and calls the handlers.
func (f *Watcher) applyChanges(changes []kv.Change) {
	var targets, hosts bool
	for _, c := range changes {
		switch {
		case c.Key == f.codec.ConfigKey():
			if !c.Deleted {
				f.installConfig(c.Entry)
			}
		case strings.HasPrefix(c.Key, f.codec.TargetPrefix()):
			targets = f.applyTargetChange(c) || targets
		case strings.HasPrefix(c.Key, HostPrefix):
			f.applyHostChange(c)
			hosts = true
		}
	}
	if targets {
		f.publishTargets()
		f.announceChanges()
	}
	if hosts {
		f.publishHosts()
	}
}

// installConfig installs a configuration read from the store if it is newer than the one in force.
func (f *Watcher) installConfig(e kv.Entry) {
	f.InstallConfig(e.Value, "store")
}

// InstallConfig installs an encoded configuration if it is newer than the one in force. The source, "store" or the name of a
// host, is logged. A configuration that cannot be decoded is logged and ignored.
func (f *Watcher) InstallConfig(value []byte, source string) {
	c, err := f.codec.Config(value)
	if err != nil {
		f.log.Error("configuration not installed", "source", source, "error", err.Error())
		return
	}
	f.mu.Lock()
	old := f.configVersion
	if c.Version <= old {
		f.mu.Unlock()
		return
	}
	f.configVersion, f.configValue = c.Version, value
	f.mu.Unlock()
	f.log.Info("configuration installed", "version", c.Version, "before", old, "source", source, "routes", len(c.Routes))
	f.handlers.OnCatalog(c)
	f.announceChanges()
}

// applyHostChange applies one change of a host's entry.
func (f *Watcher) applyHostChange(c kv.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := strings.TrimPrefix(c.Key, HostPrefix)
	if c.Deleted {
		delete(f.hosts, name)
		return
	}
	f.hosts[name] = c.Value
}

// replaceHosts installs the hosts' entries of a full read.
func (f *Watcher) replaceHosts(entries []kv.Entry) {
	f.mu.Lock()
	clear(f.hosts)
	for _, e := range entries {
		f.hosts[strings.TrimPrefix(e.Key, HostPrefix)] = e.Value
	}
	f.mu.Unlock()
	f.publishHosts()
}

// publishHosts passes a copy of the hosts' entries to the handler.
func (f *Watcher) publishHosts() {
	f.mu.Lock()
	out := make(map[string][]byte, len(f.hosts))
	for name, value := range f.hosts {
		out[name] = value
	}
	f.mu.Unlock()
	f.handlers.OnHosts(out)
}
