// Package streamversion knows which software version of a service began a stream, so that the stream goes on there only: what two
// versions write does not fit together, and targets do not check it.
//
// A host remembers the streams that it began, and tells others of them while a service has targets of several versions. A stream that
// nobody remembers goes on only if all targets that served lately were of one version. The package does no I/O, and takes the time as an
// argument.
package streamversion

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultTTL is how long a stream may be taken up after its start where no route states a timeout.
	defaultTTL = 30 * time.Second
	// ttlMargin is added to the longest timeout: callers begin to count before a host does.
	ttlMargin = 5 * time.Second
	// maxStreams bounds the streams that a host remembers.
	maxStreams = 1 << 14
	// newsTTL is how long a host repeats in its states what streams it began. Any of its states may be lost.
	newsTTL = time.Second
	// maxReported bounds the streams in one report, and maxStored those that a host keeps in the store; the newest count.
	maxReported = 128
	maxStored   = 256
)

// Key identifies a stream by the caller's organisation and the id of the request that began it.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(organisation, id string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return Key(d.Sum64())
}

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the target's software; empty if its entry states none
}

// Tracker holds what a host knows of versions and streams. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	ttl      time.Duration
	versions map[string]map[string]*presence // guarded by mu; by service and version
	streams  map[Key]*stream                 // guarded by mu
}

// presence tells when targets of a version served.
type presence struct {
	serves bool
	left   time.Time // when the last of them left
}

type stream struct {
	origin  Origin
	own     bool // this host began it
	shared  bool // its route leads to several services
	at      time.Time
	knownAt time.Time // when it became news: it began, or a second version came
}

// New returns a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{ttl: defaultTTL, versions: map[string]map[string]*presence{}, streams: map[Key]*stream{}}
}

// SetLongest sets the longest timeout of routes whose streams may be taken up; zero: there are none.
func (t *Tracker) SetLongest(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttl = defaultTTL
	if timeout > 0 {
		t.ttl = timeout + ttlMargin
	}
}

// TTL returns how long a stream may be taken up after its start.
func (t *Tracker) TTL() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ttl
}

// SetTargets sets the versions of the targets of each service.
func (t *Tracker) SetTargets(byService map[string][]string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, versions := range byService {
		for _, v := range versions {
			t.add(service, v, now).serves = true
		}
	}
	for service, known := range t.versions {
		for v, p := range known {
			if p.serves && !slices.Contains(byService[service], v) {
				p.serves, p.left = false, now
			}
		}
	}
}

// add returns the presence of a version, which may be new. Streams of the service become news with a second version. The caller holds mu.
func (t *Tracker) add(service, version string, now time.Time) *presence {
	known := t.versions[service]
	if known == nil {
		known = map[string]*presence{}
		t.versions[service] = known
	}
	p := known[version]
	if p == nil {
		p = &presence{left: now}
		known[version] = p
		for _, s := range t.streams {
			if s.origin.Service == service {
				s.knownAt = now
			}
		}
	}
	return p
}

// Versions returns the versions whose streams may be taken up, by service and in order.
func (t *Tracker) Versions(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := map[string][]string{}
	for service, known := range t.versions {
		out[service] = slices.Sorted(maps.Keys(known))
	}
	return out
}

// Restore adds versions that hosts knew before this one started: streams of them may be taken up yet.
func (t *Tracker) Restore(versions map[string][]string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, list := range versions {
		for _, v := range list {
			t.add(service, v, now)
		}
	}
}

// differ reports whether streams of several versions of the service may be taken up. The caller holds mu.
func (t *Tracker) differ(service string) bool { return len(t.versions[service]) > 1 }

// expire drops versions and streams that are outdated. The caller holds mu.
func (t *Tracker) expire(now time.Time) {
	for service, known := range t.versions {
		maps.DeleteFunc(known, func(_ string, p *presence) bool { return !p.serves && now.Sub(p.left) > t.ttl })
		if len(known) == 0 {
			delete(t.versions, service)
		}
	}
	maps.DeleteFunc(t.streams, func(_ Key, s *stream) bool { return now.Sub(s.at) > t.ttl })
}

// Began records that a target has sent the first event of a stream that this host has begun; shared states that its route leads to several
// services. It reports whether a record of the stream
// needs to be kept elsewhere too.
func (t *Tracker) Began(k Key, o Origin, shared bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.makeRoom(now)
	t.streams[k] = &stream{origin: o, own: true, shared: shared, at: now, knownAt: now}
	return shared || t.differ(o.Service)
}

// makeRoom drops outdated streams if there are too many, or else the older half. The caller holds mu.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.streams) < maxStreams {
		return
	}
	if t.expire(now); len(t.streams) < maxStreams {
		return
	}
	byAge := slices.SortedFunc(maps.Values(t.streams), func(a, b *stream) int { return a.at.Compare(b.at) })
	limit := byAge[len(byAge)/2].at
	maps.DeleteFunc(t.streams, func(_ Key, s *stream) bool { return !s.at.After(limit) })
}

// Find returns where a stream began that is taken up. If that is not remembered, it is the only version of the only service of the route;
// ok is false if there are several, or if the host is not in touch and may have missed one. A stream of a version that its target does not
// state cannot be told from others once there is another version.
func (t *Tracker) Find(k Key, services []string, inTouch bool, now time.Time) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if s := t.streams[k]; s != nil {
		return s.origin, s.origin.Version != "" || !t.differ(s.origin.Service)
	}
	if len(services) != 1 || !inTouch || t.differ(services[0]) {
		return Origin{}, false
	}
	for v := range t.versions[services[0]] {
		return Origin{services[0], v}, true
	}
	return Origin{Service: services[0]}, true
}

// Remembered returns where a stream began, and whether this host remembers that.
func (t *Tracker) Remembered(k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.streams[k]; s != nil {
		return s.origin, true
	}
	return Origin{}, false
}

// Learn records where a stream began, as another host remembers it.
func (t *Tracker) Learn(k Key, o Origin, now time.Time) {
	t.Merge(Report{o.Service: {o.Version: encode([]Key{k})}}, now)
}

// Report is what a host tells others of streams, by service, version and in the form of Streams.
type Report map[string]map[string]string

// Report returns the streams that this host began lately, of services with several versions.
func (t *Tracker) Report(now time.Time) Report {
	return t.report(now, maxReported, func(_ Key, s *stream) bool { return s.own && now.Sub(s.knownAt) <= newsTTL })
}

// ReportOf returns those of the streams that are remembered, of services with several versions.
func (t *Tracker) ReportOf(keys map[Key]bool, now time.Time) Report {
	return t.report(now, maxReported, func(k Key, _ *stream) bool { return keys[k] })
}

// Own returns the streams that this host began and that may be taken up, of services with several versions, for the store.
func (t *Tracker) Own(now time.Time) Report {
	return t.report(now, maxStored, func(_ Key, s *stream) bool { return s.own })
}

func (t *Tracker) report(now time.Time, limit int, include func(Key, *stream) bool) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var keys []Key
	for k, s := range t.streams {
		if (s.shared || t.differ(s.origin.Service)) && include(k, s) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(t.streams[b].at.Compare(t.streams[a].at), cmp.Compare(a, b))
	})
	lists := map[Origin][]Key{}
	for _, k := range keys[:min(len(keys), limit)] {
		o := t.streams[k].origin
		lists[o] = append(lists[o], k)
	}
	out := Report{}
	for o, list := range lists {
		if out[o.Service] == nil {
			out[o.Service] = map[string]string{}
		}
		out[o.Service][o.Version] = encode(list)
	}
	return out
}

// Merge adds streams that other hosts have begun, and returns those that are new here. What is known of a stream stays.
func (t *Tracker) Merge(r Report, now time.Time) (added []Key) {
	if len(r) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, byVersion := range r {
		for version, text := range byVersion {
			t.add(service, version, now)
			for _, k := range decode(text) {
				if t.streams[k] == nil {
					t.makeRoom(now)
					t.streams[k] = &stream{origin: Origin{service, version}, shared: true, at: now, knownAt: now}
					added = append(added, k)
				}
			}
		}
	}
	return added
}

// encode returns keys as text, 8 bytes each in base64.
func encode(keys []Key) string {
	b := make([]byte, 0, 8*len(keys))
	for _, k := range keys {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decode returns the keys in a text, or none if it is not one that encode returns.
func decode(text string) (keys []Key) {
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(b)%8 != 0 {
		return nil
	}
	for ; len(b) > 0; b = b[8:] {
		keys = append(keys, Key(binary.BigEndian.Uint64(b)))
	}
	return keys
}
