package entryhost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/storewatch"
	"cuminhook.org/cuminhook/lib/streamversion"
)

const (
	// versionsName is the name under which the store has the versions whose streams may be taken up. Names of hosts contain no slash.
	versionsName = "/versions"
	// streamWrites bounds the writes of streams by all hosts, a second. A host writes what it began since its last write.
	streamWrites = 100
	// minStreamWait is the least time between two writes or announcements of a host.
	minStreamWait = 50 * time.Millisecond
	// askedHosts is the number of other hosts that are asked for a stream that this host does not remember, and askTimeout bounds that. It
	// leaves most of the time in which a client waits for the first event.
	askedHosts = 12
	askTimeout = 200 * time.Millisecond
	// streamLeaseFactor times the time for which a stream may be taken up is the time to live of what a host stored of streams, which it
	// renews with half of that left.
	streamLeaseFactor = 2
	// freshTimeout bounds the read of the store that shows whether this host knows all versions.
	freshTimeout = 500 * time.Millisecond
)

// streamRole is this host's part in having streams go on at the version that began them.
type streamRole struct {
	tracker *streamversion.Tracker
	store   streamStore
	codec   storewatch.Codec
	fresh   freshReads // of all versions
	log     *slog.Logger
	name    string      // under which this start of the host stores the streams that it began
	relay   func()      // has partial states sent at once
	inTouch func() bool // this host hears of new versions
	peers   streamPeers
	now     chan struct{} // there is something to store
	hosts   atomic.Int64
	leaf    atomic.Bool

	unannounced unannounced[streamversion.Key] // streams begun here or heard of

	mu         sync.Mutex
	storedSet  string // guarded by mu; versions as the store has them, as far as this host knows
	setVersion kv.Version
	announcing bool      // guarded by mu; an announcement is due
	announced  time.Time // guarded by mu; when the last announcement was sent

	// Of what this start has stored of its own streams; used by persist only.
	streamsKey   kv.Version
	streamsText  string
	lease        kv.LeaseID
	leaseRenewed time.Time
}

// streamPeers are the other hosts.
type streamPeers interface {
	Fleet() peers.Fleet
	Call(ctx context.Context, host, method string, args, reply any) error
}

// streamStore is the store as streams need it.
type streamStore interface {
	kv.Store
	Snapshot(ctx context.Context, prefix string) (kv.Snapshot, error)
}

func newStreamRole(host string, store streamStore, codec storewatch.Codec, relay func(), inTouch func() bool, log *slog.Logger) *streamRole {
	s := &streamRole{
		tracker: streamversion.New(), store: store, codec: codec, log: log, relay: relay, inTouch: inTouch, now: make(chan struct{}, 1),
		name: fmt.Sprintf("%s.%x", host, rand.Uint64()),
	}
	s.fresh = freshReads{read: s.readVersions, timeout: freshTimeout}
	return s
}

func (s *streamRole) setFleet(f peers.Fleet) {
	s.hosts.Store(int64(len(f.Known) + 1))
	s.leaf.Store(f.Leaf)
}

func (s *streamRole) setCatalog(c *catalog.Catalog) {
	longest := time.Duration(0)
	for _, r := range c.Routes {
		if r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	s.tracker.SetLongest(longest)
}

func (s *streamRole) setTargets(list []*registry.Target) {
	versions := map[string][]string{}
	for _, t := range list {
		if !slices.Contains(versions[t.Service], t.Version) {
			versions[t.Service] = append(versions[t.Service], t.Version)
		}
	}
	s.tracker.SetTargets(versions, time.Now())
	s.storeNow()
}

func (s *streamRole) storeNow() {
	select {
	case s.now <- struct{}{}:
	default:
	}
}

// Began implements relay.Streams.
func (s *streamRole) Began(k streamversion.Key, o streamversion.Origin, shared bool) {
	if s.tracker.Began(k, o, shared, time.Now()) {
		s.announce([]streamversion.Key{k}, storewatch.ToMesh, storewatch.ToLeaves)
		s.storeNow()
	}
}

// Find implements relay.Streams. It asks other hosts for a stream that this host does not remember. That all targets are of one version counts
// only if it was read from the store after the call, and so after the stream began: this host may have been cut off, or have stood still, while
// another version came and began it.
func (s *streamRole) Find(k streamversion.Key, services []string) (streamversion.Origin, bool) {
	o, ok := s.tracker.Find(k, services, s.inTouch(), time.Now())
	if _, remembered := s.tracker.Remembered(k); remembered {
		return o, ok
	}
	if ok {
		if err := s.fresh.after(context.Background()); err != nil {
			s.log.Warn("versions not read", "error", err.Error())
			if remembered, confirmed := s.ask(k, o); !remembered && !confirmed {
				return streamversion.Origin{}, false
			}
		}
		if o, ok = s.tracker.Find(k, services, s.inTouch(), time.Now()); ok {
			return o, ok
		}
	}
	if remembered, _ := s.ask(k, o); !remembered {
		return o, false
	}
	return s.tracker.Find(k, services, s.inTouch(), time.Now())
}

// readVersions reads the versions of all targets from the store, and what it holds of streams and versions that have left.
func (s *streamRole) readVersions(ctx context.Context) error {
	targets, err := s.store.Snapshot(ctx, s.codec.TargetPrefix())
	if err != nil {
		return err
	}
	streams, err := s.store.Snapshot(ctx, storewatch.StreamsPrefix)
	if err != nil {
		return err
	}
	versions := map[string][]string{}
	for _, e := range targets.Entries {
		t, err := s.codec.Target(e.Key[len(s.codec.TargetPrefix()):], e.Value)
		if err == nil && !slices.Contains(versions[t.Service], t.Version) { // others serve nothing
			versions[t.Service] = append(versions[t.Service], t.Version)
		}
	}
	s.tracker.Restore(versions, time.Now())
	s.restore(streams.Entries)
	return nil
}

// ask asks some of the other hosts for a stream, and reports whether one remembers it. Otherwise confirmed reports whether a host answered and all
// that did know no other version of its service than that of o.
func (s *streamRole) ask(k streamversion.Key, o streamversion.Origin) (remembered, confirmed bool) {
	hosts := slices.Clone(s.peers.Fleet().Known)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(len(hosts), askedHosts)]
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answers := make(chan StreamOrigin, len(hosts))
	for _, host := range hosts {
		go func() {
			var reply StreamOrigin
			if s.peers.Call(ctx, host, rpcStreams+".Find", k, &reply) != nil {
				reply.Remembered = false
			}
			answers <- reply
		}()
	}
	others := false
	for range hosts {
		a := <-answers
		if a.Remembered {
			s.tracker.Learn(k, a.Origin, time.Now())
			return true, false
		}
		if a.Versions != nil {
			confirmed = true
			for _, v := range a.Versions[o.Service] {
				others = others || v != o.Version
			}
		}
	}
	return false, confirmed && !others
}

// rpcStreams is the name of the net/rpc service that tells other hosts where streams began.
const rpcStreams = "Streams"

// StreamOrigin is the answer of streamService.
type StreamOrigin struct {
	Remembered bool
	Origin     streamversion.Origin
	Versions   map[string][]string // that the host knows, by service; nil: it did not answer
}

// streamService serves the net/rpc calls of other hosts.
type streamService struct{ tracker *streamversion.Tracker }

// Find returns where a stream began, if this host remembers that.
func (s *streamService) Find(k streamversion.Key, reply *StreamOrigin) error {
	reply.Origin, reply.Remembered = s.tracker.Remembered(k)
	if reply.Versions = s.tracker.Versions(time.Now()); reply.Versions == nil {
		reply.Versions = map[string][]string{}
	}
	return nil
}

// announce has streams announced: at once, or with others minStreamWait after the last announcement.
func (s *streamRole) announce(keys []streamversion.Key, audiences ...storewatch.Audience) {
	s.unannounced.add(keys, audiences...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.announcing {
		s.announcing = true
		wait := max(0, minStreamWait-time.Since(s.announced))
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			s.announcing, s.announced = false, time.Now()
			s.mu.Unlock()
			s.relay()
		})
	}
}

// fillNews fills in what to announce to an audience, which is taken for announced then, and reports whether there is anything.
func (s *streamRole) fillNews(state *peers.State, to storewatch.Audience, now time.Time) bool {
	keys := s.unannounced.take(to)
	if len(keys) == 0 {
		return false
	}
	s.set(state, s.tracker.ReportOf(keys, now))
	return true
}

// fill fills in the streams that this host began lately.
func (s *streamRole) fill(state *peers.State, now time.Time) { s.set(state, s.tracker.Report(now)) }

func (s *streamRole) set(state *peers.State, r streamversion.Report) {
	if s.leaf.Load() {
		state.LeafStreams = r
	} else {
		state.Streams = r
	}
}

// merge applies the streams in a state of another host. Those of a leaf are for the mesh too.
func (s *streamRole) merge(state *peers.State, now time.Time) {
	if added := s.tracker.Merge(state.LeafStreams, now); len(added) > 0 {
		s.announce(added, storewatch.ToMesh, storewatch.ToLeaves)
	}
	if added := s.tracker.Merge(state.Streams, now); len(added) > 0 && !s.leaf.Load() {
		s.announce(added, storewatch.ToLeaves)
	}
}

// restore applies what the store holds of streams and versions, by name. What cannot be read is left out.
func (s *streamRole) restore(entries []kv.Entry) {
	now := time.Now()
	for _, e := range entries {
		name := e.Key[len(storewatch.StreamsPrefix):]
		if name == versionsName {
			var set map[string][]string
			if json.Unmarshal(e.Value, &set) == nil {
				s.tracker.Restore(set, now)
				s.mu.Lock()
				s.storedSet, s.setVersion = string(e.Value), e.Version
				s.mu.Unlock()
			}
			continue
		}
		var r streamversion.Report
		if json.Unmarshal(e.Value, &r) == nil {
			s.tracker.Merge(r, now)
		}
	}
}

// persist stores the streams that this host began while versions differ and, where this host polls the store, the versions, until ctx
// ends.
func (s *streamRole) persist(ctx context.Context, poller func() bool) {
	for {
		wait := max(minStreamWait, time.Duration(s.hosts.Load())*time.Second/streamWrites)
		timer := time.NewTimer(persistInterval)
		select {
		case <-s.now:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		if err := errors.Join(s.storeStreams(ctx), s.storeVersions(ctx, poller())); err != nil {
			s.log.Warn("streams not stored", "error", err.Error())
			wait = maxPersistInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// storeStreams stores the streams that this host began, if they have changed.
func (s *streamRole) storeStreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	now := time.Now()
	own := s.tracker.Own(now)
	text, err := json.Marshal(own)
	if err != nil || len(own) == 0 || string(text) == s.streamsText {
		return err
	}
	ttl := streamLeaseFactor * s.tracker.TTL()
	if s.lease == 0 || now.Sub(s.leaseRenewed) > ttl {
		if s.lease, err = s.store.Grant(ctx, ttl); err != nil {
			s.lease = 0
			return err
		}
		s.leaseRenewed, s.streamsKey = now, 0
	} else if now.Sub(s.leaseRenewed) > ttl/streamLeaseFactor {
		if err := s.store.KeepAlive(ctx, s.lease); err != nil {
			s.lease = 0
			return err
		}
		s.leaseRenewed = now
	}
	version, err := s.store.Put(ctx, storewatch.StreamsPrefix+s.name, text, s.streamsKey, s.lease)
	if err != nil { // a write whose outcome is unknown may count; the next one is of another key
		s.name, s.lease = fmt.Sprintf("%s.%x", s.name, rand.Uint32()), 0
		return err
	}
	s.streamsKey, s.streamsText = version, string(text)
	return nil
}

// storeVersions has the store hold the versions whose streams may be taken up, if this host polls the store.
func (s *streamRole) storeVersions(ctx context.Context, poller bool) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	text, err := json.Marshal(s.tracker.Versions(time.Now()))
	s.mu.Lock()
	same, expect := string(text) == s.storedSet, s.setVersion
	s.mu.Unlock()
	if err != nil || same || !poller {
		return err
	}
	version, err := s.store.Put(ctx, storewatch.StreamsPrefix+versionsName, text, expect, 0)
	if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrUnknown) {
		e, getErr := s.store.Get(ctx, storewatch.StreamsPrefix+versionsName)
		if getErr != nil && !errors.Is(getErr, kv.ErrNotFound) {
			return getErr
		}
		s.mu.Lock()
		s.storedSet, s.setVersion = string(e.Value), e.Version
		s.mu.Unlock()
		s.storeNow()
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.storedSet, s.setVersion = string(text), version
	s.mu.Unlock()
	return nil
}
