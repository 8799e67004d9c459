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
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sleep"
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
	// maxPollInterval is the longest poll interval of a poller. It is below the time for which a host's entry outlives its
	// process, so that no poller misses the entry of a short-lived one.
	maxPollInterval = 6 * time.Second
	// settlingDelay, up to twice of it, is the delay before a host's first watch. The time limits apply to a host later.
	settlingDelay = 700 * time.Millisecond
	// DefaultWindow is the time after a change within which a poller should see it, of a fleet whose hosts have to know it
	// within two seconds.
	DefaultWindow = 1200 * time.Millisecond
	// missProbability is the accepted probability that no poller polls within the window.
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
	// expireInterval is the time between two checks for targets whose missing entries did not return.
	expireInterval = 200 * time.Millisecond
)

// Codec decodes the values in the store and knows their keys.
type Codec interface {
	// ConfigKey returns the key of the configuration.
	ConfigKey() string
	// TargetPrefix returns the key prefix of the targets' entries.
	TargetPrefix() string
	// EvacuationPrefix returns the key prefix of the operator's requests to evacuate a zone. The rest of the key is the zone.
	EvacuationPrefix() string
	// Config decodes the configuration.
	Config(value []byte) (*catalog.Catalog, error)
	// Target decodes the entry of a target. The id is its key without TargetPrefix.
	Target(id string, value []byte) (*registry.Target, error)
}

// allKeys is the empty prefix, which matches every key: one watch covers configuration, targets and hosts.
const allKeys = ""

// HostPrefix is the key prefix of the entries that hosts write about themselves.
const HostPrefix = "cuminhook/hosts/"

// QuarantinePrefix is the key prefix of the prompt segments that hosts have put into quarantine.
const QuarantinePrefix = "cuminhook/quarantine/"

// RequestsPrefix is the key prefix of what hosts have found out about requests that crash targets.
const RequestsPrefix = "cuminhook/requests/"

// StreamsPrefix is the key prefix of what hosts remember of streams that may be taken up.
const StreamsPrefix = "cuminhook/streams/"

// Handlers are called when the view of the store changes. Several goroutines may call them at the same time.
type Handlers struct {
	OnCatalog func(*catalog.Catalog)   // a newer configuration was installed
	OnTargets func([]*registry.Target) // the list of targets after a change
	OnHosts   func(map[string][]byte)  // values of the hosts' entries, by host
	// OnZones is called with the evacuated zones after a change, and before the first list of targets if there are any; may be nil.
	OnZones func(Evacuations)
	// OnQuarantine is called with segments that are in quarantine, those of a full read or one that was added; may be nil.
	OnQuarantine func(segments []string)
	// OnRequests is called in the same way with the names of keys under RequestsPrefix; may be nil.
	OnRequests func(names []string)
	// OnStreams is called with the entries under StreamsPrefix of a full read; may be nil.
	OnStreams func([]kv.Entry)
	// OnRestored is called when the store was restored from an older copy, before its entries are passed on; may be nil.
	OnRestored func()
	Announce   func() // there are changes to announce to other hosts at once; may be nil
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

	publishing sync.Mutex // held while a list of targets is published

	mu             sync.Mutex
	polling        Polling                     // guarded by mu
	changes        map[changeKey]*recentChange // guarded by mu; recent changes of targets
	seen           map[changeKey]time.Duration // guarded by mu; changes of the last seenTTL: when recorded, by the boot clock
	settled        bool                        // guarded by mu; settle has run
	snapshotRead   bool                        // guarded by mu; a full read has succeeded
	era            kv.Era                      // guarded by mu; era of the store at the last full read
	configValue    []byte                      // guarded by mu; configuration in force as it was read
	configVersion  int64                       // guarded by mu; version of the configuration in force, -1 before the first
	targets        *registry.Table             // guarded by mu
	zones          map[string]*zone            // guarded by mu; whose evacuation was asked for or has ended
	returnedZones  []string                    // guarded by mu; zones whose evacuation has ended since they were last published
	publishedZones map[string]bool             // guarded by mu; evacuated zones as last published
	hosts          map[string][]byte           // guarded by mu; values of the hosts' entries, by host
	lastAnswer     time.Time                   // guarded by mu; when the store answered last
	storeLost      bool                        // guarded by mu; no call has succeeded since the last failure
	outages        outages                     // guarded by mu
	regained       time.Time                   // guarded by mu; end of the last outage after which the store was read in full
	regainedFrom   int64                       // guarded by mu; revision of the store at that read
	watchingSince  time.Time                   // guarded by mu; since when the current watch waits; zero: there is none
	lastRefresh    time.Time                   // guarded by mu; when Refresh last ended a watch
	cancelWatch    context.CancelCauseFunc     // guarded by mu; ends the current watch
	invalidEntries map[string]kv.Version       // guarded by mu; versions of undecodable entries that were logged, by target
	loggedStates   map[string]registry.State   // guarded by mu; states of targets as last logged
}

// New returns a watcher that calls the handlers. Run starts it. Targets write their entries once in an interval heartbeat.
func New(feed kv.Feed, codec Codec, heartbeat time.Duration, handlers Handlers, log *slog.Logger) *Watcher {
	return &Watcher{
		feed: feed, codec: codec, handlers: handlers, log: log, configVersion: -1, targets: registry.NewTable(),
		hosts: map[string][]byte{}, pollNow: make(chan struct{}, 1), started: time.Now(), pollPhase: rand.Float64(),
		polling: Polling{Poller: true, Pollers: 1}, zones: map[string]*zone{},
		changes: map[changeKey]*recentChange{}, seen: map[changeKey]time.Duration{}, invalidEntries: map[string]kv.Version{},
		loggedStates: map[string]registry.State{}, outages: outages{heartbeat: heartbeat},
	}
}

// ConfigValue returns the encoded configuration in force, or nil before one is installed.
func (w *Watcher) ConfigValue() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configValue
}

// Run watches the store until ctx ends. After a watch that failed or returned no changes it does a full read.
func (w *Watcher) Run(ctx context.Context) {
	go w.expireTargets(ctx)
	delay := minRetryDelay
	for ctx.Err() == nil {
		revision, err := w.readSnapshot(ctx)
		if err == nil {
			delay = minRetryDelay
			w.settle(ctx)
			err = w.watch(ctx, revision)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, errRefresh), errors.Is(err, errIdle), errors.Is(err, kv.ErrMoved):
		case errors.Is(err, kv.ErrCompacted):
			w.log.Info("store history compacted or store restored; reading all keys again")
		default:
			w.recordFailure(err)
			sleep.For(ctx, delay+rand.N(delay)) // jitter: hosts that lost the store together retry at different times
			delay = min(2*delay, maxRetryDelay/2)
		}
	}
}

// settle waits before the first watch of a host that has a configuration. In a fleet that starts, the entries of the other
// hosts arrive one after the other, and each would answer the watches of all hosts.
func (w *Watcher) settle(ctx context.Context) {
	w.mu.Lock()
	first := w.configVersion >= 0 && !w.settled
	w.settled = true
	w.mu.Unlock()
	if first {
		sleep.For(ctx, settlingDelay+rand.N(settlingDelay))
	}
}

// errIdle ends a watch that returned no changes. A store that has lost part of its history may hold the watch open and
// never deliver the changes of that part, so a full read follows.
var errIdle = errors.New("storewatch: watch returned no changes")

// errRefresh ends a watch because Refresh asked for a full read.
var errRefresh = errors.New("storewatch: another host has a newer configuration")

// Refresh ends the current watch and starts a full read. Call it when another host has a newer configuration. Calls within
// minRefreshInterval of the last effective one do nothing.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.lastRefresh) < minRefreshInterval || w.cancelWatch == nil {
		return
	}
	w.lastRefresh = time.Now()
	w.cancelWatch(errRefresh)
}

// readSnapshot does a full read and installs its result. One call suffices while all entries fit into a page.
func (w *Watcher) readSnapshot(ctx context.Context) (kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snap, err := w.feed.Snapshot(ctx, allKeys)
	if err != nil {
		return 0, err
	}
	w.recordAnswer()
	w.noteRegained(snap.Revision)
	w.reportRestored(snap.Revision.Era())
	var targets, hosts, zones, streams []kv.Entry
	var segments, requests []string
	for _, e := range snap.Entries {
		switch {
		case e.Key == w.codec.ConfigKey():
			w.installStoreConfig(e)
		case strings.HasPrefix(e.Key, w.codec.TargetPrefix()):
			targets = append(targets, e)
		case strings.HasPrefix(e.Key, w.codec.EvacuationPrefix()):
			zones = append(zones, e)
		case strings.HasPrefix(e.Key, HostPrefix):
			hosts = append(hosts, e)
		case strings.HasPrefix(e.Key, QuarantinePrefix):
			segments = append(segments, strings.TrimPrefix(e.Key, QuarantinePrefix))
		case strings.HasPrefix(e.Key, RequestsPrefix):
			requests = append(requests, strings.TrimPrefix(e.Key, RequestsPrefix))
		case strings.HasPrefix(e.Key, StreamsPrefix):
			streams = append(streams, e)
		}
	}
	publishNames(w.handlers.OnQuarantine, segments)
	publishNames(w.handlers.OnRequests, requests)
	if w.handlers.OnStreams != nil {
		w.handlers.OnStreams(streams)
	}
	w.replaceZones(zones, snap.Revision)
	w.replaceTargets(targets, snap.Revision)
	w.dropMissing()
	w.replaceHosts(hosts)
	return snap.Revision, nil
}

// reportRestored calls the handler if the era is later than that of the last full read.
func (w *Watcher) reportRestored(era kv.Era) {
	w.mu.Lock()
	restored, before := w.snapshotRead && era > w.era, w.era
	w.mu.Unlock()
	if !restored {
		return
	}
	w.log.Warn("store restored from an older copy", "era", int64(era), "era_before", int64(before))
	if w.handlers.OnRestored != nil {
		w.handlers.OnRestored()
	}
}

// watch applies changes after the version until a call fails, a poll returns no changes or Refresh ends the watch.
func (w *Watcher) watch(ctx context.Context, after kv.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.cancelWatch = cancel
	w.mu.Unlock()
	for {
		changes, at, err := w.poll(ctx, after)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return err
		}
		w.recordAnswer()
		if len(changes) == 0 {
			return errIdle
		}
		w.applyStoreChanges(changes)
		w.dropMissing()
		after = at
		w.waitBetweenPolls(ctx)
	}
}

// poll waits up to watchWait for changes after the version and returns them with the version to go on from.
func (w *Watcher) poll(ctx context.Context, after kv.Version) ([]kv.Change, kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	w.setWatchingSince(time.Now())
	defer w.setWatchingSince(time.Time{})
	return w.feed.Changes(ctx, allKeys, after, watchWait)
}

func (w *Watcher) setWatchingSince(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchingSince = at
}

// Polling is a host's part in polling the store. A few hosts poll it for the fleet and announce what changes; the calls of
// all hosts together then hardly grow with the fleet.
type Polling struct {
	Poller  bool          // this host is one of the pollers
	Pollers int           // number of pollers
	Window  time.Duration // time after a change within which one of the pollers should see it
	// Interval is the poll interval of a host that is not a poller. It learns of targets and configurations from others
	// between its polls, but not of entries of hosts.
	Interval time.Duration
}

// SetPolling sets this host's part in polling the store. At first it is the only poller.
func (w *Watcher) SetPolling(p Polling) {
	w.mu.Lock()
	promoted := p.Poller && !w.polling.Poller
	w.polling = p
	w.mu.Unlock()
	if promoted {
		w.PollNow()
	}
}

// StoreLost reports whether no call of the store has succeeded since the last failure.
func (w *Watcher) StoreLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeLost
}

// waitBetweenPolls waits so that changes gather. Several pollers poll at times of their own, so that with a probability of
// missProbability none polls within the window. Delays counted from the changes would not do: one change answers the watches
// of all hosts at once, and all of them would wait at the same time.
func (w *Watcher) waitBetweenPolls(ctx context.Context) {
	w.mu.Lock()
	period := w.polling.period()
	w.mu.Unlock()
	d := period
	if period > minPollInterval {
		d = period - (time.Since(w.started)+time.Duration(w.pollPhase*float64(period)))%period
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.pollNow:
	case <-ctx.Done():
	}
}

// period returns the time between two polls of the host.
func (p Polling) period() time.Duration {
	switch {
	case !p.Poller:
		return p.Interval
	case p.Pollers <= 1:
		return minPollInterval
	default:
		period := time.Duration(float64(p.Window) / (1 - math.Pow(missProbability, 1/float64(p.Pollers))))
		return min(maxPollInterval, max(minPollInterval, period))
	}
}

// PollNow ends the delay before the next poll. Call it when another host has seen a newer configuration.
func (w *Watcher) PollNow() {
	select {
	case w.pollNow <- struct{}{}:
	default:
	}
}

// recordAnswer notes that the store has answered.
func (w *Watcher) recordAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost {
		w.storeLost = false
		w.log.Info("store regained", "silent_ms", time.Since(w.lastAnswer).Milliseconds())
	}
	w.lastAnswer = time.Now()
	w.recordSign()
}

// recordFailure notes that a call of the store has failed.
func (w *Watcher) recordFailure(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(err, kv.ErrWatchEnded) {
		w.log.Info("watch ended by the store", "error", err.Error())
		w.recordSign()
		return
	}
	if !w.storeLost {
		w.storeLost = true
		w.log.Warn("store lost", "error", err.Error())
	}
	if errors.Is(err, kv.ErrRateLimited) {
		w.recordSign()
		return
	}
	w.outages.fail(time.Now())
}

// recordSign notes a sign that the store is available. The caller holds mu.
func (w *Watcher) recordSign() {
	if w.outages.sign(time.Now()) {
		w.log.Info("outage of the store", "lasted_ms", w.outages.ended.Sub(w.outages.began).Milliseconds())
		w.targets.KeepMissing(w.outages.returnBy)
	}
}

// noteRegained notes the revision as of which the store is read again after an outage.
func (w *Watcher) noteRegained(revision kv.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outages.ended.After(w.regained) {
		w.regained, w.regainedFrom = w.outages.ended, int64(revision)
	}
}

// keepUntil returns until when a target is kept whose entry was removed, or the zero time. The entry may have expired in an outage of
// the store, unless the target has written it since. The caller holds mu.
func (w *Watcher) keepUntil(t *registry.Target) time.Time {
	if t == nil || t.Revision > w.regainedFrom {
		return time.Time{}
	}
	return w.outages.returnBy
}

// applyStoreChanges applies changes read from the store and calls the handlers.
func (w *Watcher) applyStoreChanges(changes []kv.Change) {
	var targets, hosts, zones bool
	for _, c := range changes {
		switch {
		case c.Key == w.codec.ConfigKey():
			if !c.Deleted {
				w.installStoreConfig(c.Entry)
			}
		case strings.HasPrefix(c.Key, w.codec.TargetPrefix()):
			targets = w.applyTargetChange(c) || targets
		case strings.HasPrefix(c.Key, w.codec.EvacuationPrefix()):
			zones = w.applyZoneEntry(c) || zones
		case strings.HasPrefix(c.Key, HostPrefix):
			w.applyHostChange(c)
			hosts = true
		case strings.HasPrefix(c.Key, QuarantinePrefix) && !c.Deleted:
			publishNames(w.handlers.OnQuarantine, []string{strings.TrimPrefix(c.Key, QuarantinePrefix)})
		case strings.HasPrefix(c.Key, RequestsPrefix) && !c.Deleted:
			publishNames(w.handlers.OnRequests, []string{strings.TrimPrefix(c.Key, RequestsPrefix)})
		}
	}
	if zones {
		w.publishZones()
	}
	if targets {
		w.publishTargets()
	}
	if zones || targets {
		w.announceChanges()
	}
	if hosts {
		w.publishHosts()
	}
}

// installStoreConfig installs a configuration read from the store if it is newer than the one in force.
func (w *Watcher) installStoreConfig(e kv.Entry) {
	w.InstallConfig(e.Value, "store")
}

// InstallConfig installs an encoded configuration if it is newer than the one in force. The source, "store" or the name of a
// host, is logged. A configuration that cannot be decoded is logged and ignored.
func (w *Watcher) InstallConfig(value []byte, source string) {
	c, err := w.codec.Config(value)
	if err != nil {
		w.log.Error("configuration not installed", "source", source, "error", err.Error())
		return
	}
	w.mu.Lock()
	old := w.configVersion
	if c.Version <= old {
		w.mu.Unlock()
		return
	}
	w.configVersion, w.configValue = c.Version, value
	w.mu.Unlock()
	w.log.Info("configuration installed", "version", c.Version, "before", old, "source", source, "routes", len(c.Routes))
	w.handlers.OnCatalog(c)
	w.announceChanges()
}

// publishNames passes names that are not empty to a handler, which may be nil.
func publishNames(handler func([]string), names []string) {
	if handler != nil && len(names) > 0 {
		handler(names)
	}
}

// applyHostChange applies one change of a host's entry.
func (w *Watcher) applyHostChange(c kv.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := strings.TrimPrefix(c.Key, HostPrefix)
	if c.Deleted {
		delete(w.hosts, name)
		return
	}
	w.hosts[name] = c.Value
}

// replaceHosts installs the hosts' entries of a full read.
func (w *Watcher) replaceHosts(entries []kv.Entry) {
	w.mu.Lock()
	clear(w.hosts)
	for _, e := range entries {
		w.hosts[strings.TrimPrefix(e.Key, HostPrefix)] = e.Value
	}
	w.mu.Unlock()
	w.publishHosts()
}

// publishHosts passes a copy of the hosts' entries to the handler.
func (w *Watcher) publishHosts() {
	w.mu.Lock()
	out := make(map[string][]byte, len(w.hosts))
	for name, value := range w.hosts {
		out[name] = value
	}
	w.mu.Unlock()
	w.handlers.OnHosts(out)
}
