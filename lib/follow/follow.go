// Package follow keeps a host's view of the store up to date: the configuration in force, the targets and the other
// hosts. Versions never go back, whatever the store answers late.
package follow

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
	// watchTime is how long one watch waits, and watchLimit when it is given up. A store that took a watch in an outage may
	// never answer it; by the limit hosts look again before bounds hold again, three seconds after the outage.
	watchTime  = 2 * time.Second
	watchLimit = watchTime + 500*time.Millisecond
	// settleTime is the pause of a lone host after changes before its next watch. Targets write often, and each watch that
	// is answered costs a call; changes that come meanwhile share one.
	settleTime = 600 * time.Millisecond
	// settleMost bounds the pause of a host among many: what its peers tell may not reach it. It is below the time for
	// which an entry of a host outlives it, so that no host misses another's whole life.
	settleMost = 6 * time.Second
	// seeTime is the time within which some host is to look after a change. The hosts tell each other of targets that
	// leave and of new configurations, which have to reach all within two seconds.
	seeTime = 1200 * time.Millisecond
	// missChance is the probability that no host does.
	missChance = 1e-4
	// newsTime is how long a host tells others of a target that comes or leaves; several of its states are sent meanwhile.
	newsTime = 3 * time.Second
	// callTime bounds a read of a whole prefix.
	callTime = 1500 * time.Millisecond
	// retryFirst and retryMost are the pauses after failed calls. All hosts together stay far below the store's rate.
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
	// refreshTime is the shortest time between two refreshes.
	refreshTime = time.Second
	// unsettledTime is the time after the last failed call in which missing entries may have lapsed only because the
	// store was away.
	unsettledTime = 3 * time.Second
	// expireTime is how often missing entries are looked at.
	expireTime = 200 * time.Millisecond
)

// Codec reads the values that the store holds.
type Codec interface {
	// ConfigKey is the key of the configuration.
	ConfigKey() string
	// TargetPrefix is the prefix of the targets' entries.
	TargetPrefix() string
	// Config reads the configuration.
	Config(value []byte) (*catalog.Catalog, error)
	// Target reads the entry of the target with the id, which follows the prefix.
	Target(id string, value []byte) (*registry.Target, error)
}

// everything is the prefix of all keys: one watch serves configuration, targets and hosts.
const everything = ""

// HostPrefix is the prefix of the entries that hosts write about themselves.
const HostPrefix = "cuminhook/hosts/"

// Handlers are told of changes. They are called one at a time.
type Handlers struct {
	Catalog func(*catalog.Catalog)
	Targets func([]*registry.Target)
	Hosts   func(map[string][]byte) // values by host
	News    func()                  // something that other hosts should hear of at once; nil: nobody is told
}

// Follower follows the store.
type Follower struct {
	feed  kv.Feed
	codec Codec
	on    Handlers
	log   *slog.Logger

	nudged  chan struct{}
	started time.Time
	phase   float64 // of this host's looks, a part of their period

	mu          sync.Mutex
	together    int                       // guarded by mu; hosts that hear of each other
	news        map[newsKey]*newsItem     // guarded by mu
	listed      bool                      // guarded by mu; a whole listing has been read
	value       []byte                    // guarded by mu; of the configuration in force
	version     int64                     // guarded by mu; of the configuration in force
	table       *registry.Table           // guarded by mu
	hosts       map[string][]byte         // guarded by mu
	reached     time.Time                 // guarded by mu; latest answer of the store
	failed      time.Time                 // guarded by mu; latest failed call
	lost        bool                      // guarded by mu
	refreshed   time.Time                 // guarded by mu; latest refresh
	cancelWatch context.CancelCauseFunc   // guarded by mu; ends the present watch
	bad         map[string]kv.Version     // guarded by mu; foreign entries that were logged
	noted       map[string]registry.State // guarded by mu; states of targets that were logged
}

// New returns a follower.
func New(feed kv.Feed, codec Codec, on Handlers, log *slog.Logger) *Follower {
	return &Follower{
		feed: feed, codec: codec, on: on, log: log, version: -1, table: registry.NewTable(), hosts: map[string][]byte{},
		nudged: make(chan struct{}, 1), started: time.Now(), phase: rand.Float64(), together: 1, news: map[newsKey]*newsItem{},
		bad: map[string]kv.Version{}, noted: map[string]registry.State{},
	}
}

// Value returns the configuration in force as it was read, or nil.
func (f *Follower) Value() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Run follows the store until ctx ends. After a watch that failed or heard nothing everything is read anew.
func (f *Follower) Run(ctx context.Context) {
	go f.expire(ctx)
	delay := retryFirst
	for ctx.Err() == nil {
		revision, err := f.snapshot(ctx)
		if err == nil {
			delay = retryFirst
			err = f.watch(ctx, revision)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, errRefresh), errors.Is(err, errIdle):
		case errors.Is(err, kv.ErrCompacted):
			f.log.Info("history of the store lost")
		default:
			f.fail(err)
			pause.For(ctx, delay+rand.N(delay)) // hosts that lost the store together come back one after the other
			delay = min(2*delay, retryMost/2)
		}
	}
}

// errIdle ends a watch that heard nothing: a store that has forgotten its history may let it wait without the changes
// that it has forgotten.
var errIdle = errors.New("follow: the watch heard nothing")

// errRefresh ends a watch because something newer is known to exist.
var errRefresh = errors.New("follow: another host has a newer configuration")

// Refresh has everything read anew, because another host has a newer configuration. It is cheap to call often.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.refreshed) < refreshTime || f.cancelWatch == nil {
		return
	}
	f.refreshed = time.Now()
	f.cancelWatch(errRefresh)
}

// snapshot reads everything, in one call while the store's entries fit into a page.
func (f *Follower) snapshot(ctx context.Context) (kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	snap, err := f.feed.Snapshot(ctx, everything)
	if err != nil {
		return 0, err
	}
	f.reach()
	var targets, hosts []kv.Entry
	for _, e := range snap.Entries {
		switch {
		case e.Key == f.codec.ConfigKey():
			f.config(e)
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

// watch follows changes until a call fails or Refresh ends it.
func (f *Follower) watch(ctx context.Context, after kv.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.cancelWatch = cancel
	f.mu.Unlock()
	for {
		changes, at, err := f.look(ctx, after)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return err
		}
		f.reach()
		if len(changes) == 0 {
			return errIdle
		}
		f.apply(changes)
		after = at
		f.settle(ctx)
	}
}

// look waits for changes.
func (f *Follower) look(ctx context.Context, after kv.Version) ([]kv.Change, kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	return f.feed.Changes(ctx, everything, after, watchTime)
}

// SetHosts states how many hosts tell each other of changes, this one included.
func (f *Follower) SetHosts(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.together = max(1, n)
}

// settle waits for changes to gather. Hosts that hear of each other share the looking: each looks at times of its own,
// so that the chance that none looks within seeTime is missChance. Pauses that count from the changes would not do: one
// change answers the watches of all hosts at once, and all would look away together.
func (f *Follower) settle(ctx context.Context) {
	f.mu.Lock()
	n := f.together
	f.mu.Unlock()
	d := settleTime
	if n > 1 {
		period := lookPeriod(n)
		d = period - (time.Since(f.started)+time.Duration(f.phase*float64(period)))%period
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.nudged:
	case <-ctx.Done():
	}
}

// lookPeriod is the time between two looks of each of n hosts.
func lookPeriod(n int) time.Duration {
	period := time.Duration(float64(seeTime) / (1 - math.Pow(missChance, 1/float64(n))))
	return min(settleMost, max(settleTime, period))
}

// Nudge ends the pause before the next watch, because another host has seen a newer configuration.
func (f *Follower) Nudge() {
	select {
	case f.nudged <- struct{}{}:
	default:
	}
}

func (f *Follower) reach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		f.lost = false
		f.log.Info("store regained", "silent_ms", time.Since(f.reached).Milliseconds())
	}
	f.reached = time.Now()
}

func (f *Follower) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.log.Warn("store lost", "error", err.Error())
	}
	f.failed = time.Now()
}

// unsettled reports whether entries may be missing because of an outage; mu is held.
func (f *Follower) unsettled(now time.Time) bool {
	return !f.failed.IsZero() && now.Sub(f.failed) < unsettledTime
}

func (f *Follower) apply(changes []kv.Change) {
	var targets, hosts bool
	for _, c := range changes {
		switch {
		case c.Key == f.codec.ConfigKey():
			if !c.Deleted {
				f.config(c.Entry)
			}
		case strings.HasPrefix(c.Key, f.codec.TargetPrefix()):
			targets = f.target(c) || targets
		case strings.HasPrefix(c.Key, HostPrefix):
			f.host(c)
			hosts = true
		}
	}
	if targets {
		f.publishTargets()
		f.tell()
	}
	if hosts {
		f.publishHosts()
	}
}

// config installs a configuration that is newer than the one in force.
func (f *Follower) config(e kv.Entry) {
	f.Install(e.Value, "store")
}

// Install takes a configuration over if it is newer than the one in force. The source is logged.
func (f *Follower) Install(value []byte, source string) {
	c, err := f.codec.Config(value)
	if err != nil {
		f.log.Error("configuration not installed", "source", source, "error", err.Error())
		return
	}
	f.mu.Lock()
	old := f.version
	if c.Version <= old {
		f.mu.Unlock()
		return
	}
	f.version, f.value = c.Version, value
	f.mu.Unlock()
	f.log.Info("configuration installed", "version", c.Version, "before", old, "source", source, "routes", len(c.Routes))
	f.on.Catalog(c)
	f.tell()
}

func (f *Follower) host(c kv.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := strings.TrimPrefix(c.Key, HostPrefix)
	if c.Deleted {
		delete(f.hosts, name)
		return
	}
	f.hosts[name] = c.Value
}

func (f *Follower) replaceHosts(entries []kv.Entry) {
	f.mu.Lock()
	clear(f.hosts)
	for _, e := range entries {
		f.hosts[strings.TrimPrefix(e.Key, HostPrefix)] = e.Value
	}
	f.mu.Unlock()
	f.publishHosts()
}

func (f *Follower) publishHosts() {
	f.mu.Lock()
	out := make(map[string][]byte, len(f.hosts))
	for name, value := range f.hosts {
		out[name] = value
	}
	f.mu.Unlock()
	f.on.Hosts(out)
}
