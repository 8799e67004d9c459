package mesh

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
)

// fetch runs fn in the background unless a fetch of the same kind, named by what, from addr is in progress.
func (n *Node) fetch(what, addr string, fn func(ctx context.Context, addr string) error) {
	key := what + " " + addr
	n.mu.Lock()
	busy := n.fetching[key]
	n.fetching[key] = true
	n.mu.Unlock()
	if busy {
		return
	}
	n.spawn(func(ctx context.Context) {
		n.metrics.fetches.Inc()
		if err := fn(ctx, addr); err != nil {
			n.log.Warn("mesh: fetch failed", "what", what, "addr", addr, "error", err)
		}
		n.mu.Lock()
		delete(n.fetching, key)
		n.mu.Unlock()
	})
}

// fetchManifest fetches and installs the configuration of the peer at addr if it is newer than the installed one.
func (n *Node) fetchManifest(ctx context.Context, addr string) error {
	newest := n.reader.Newest()
	args := &FetchArgs{Revision: -1}
	n.mu.Lock()
	if n.recency.revision >= 0 {
		args.Revision = n.recency.revision
	}
	n.mu.Unlock()
	if newest != nil {
		args.Seq = newest.Manifest.Seq
	}
	sent := n.clock()
	var reply FetchReply
	if err := n.pool.call(ctx, addr, "Mesh.Fetch", args, &reply); err != nil {
		return err
	}
	if reply.Revision <= args.Revision {
		return nil
	}
	at := never
	if reply.Confirmed {
		at = sent - ms(reply.AgeMS)
	}
	if reply.Revision == 0 {
		n.install(initialConfig(), 0, at)
		return nil
	}
	raw := reply.Manifest
	if reply.Delta != nil {
		var ok bool
		if newest != nil {
			raw, ok = patch(newest.Manifest, reply.Delta)
		}
		if !ok {
			n.metrics.callFailures("delta").Inc()
			if err := n.pool.call(ctx, addr, "Mesh.Fetch", &FetchArgs{Revision: -1, Seq: args.Seq}, &reply); err != nil {
				return err
			}
			// If the peer has a newer revision by now, the instant at is still valid for it: no revision newer than
			// the earlier reply's existed then.
			raw = reply.Manifest
		}
	}
	loaded, err := n.reader.LoadRaw(ctx, raw, &peerSource{n: n, addr: addr, raw: raw, objects: reply.Objects})
	if err != nil {
		return eris.Wrapf(err, "load revision %d", reply.Revision)
	}
	version := kv.Version(0)
	if loaded.Manifest.Revision == reply.Revision {
		version = kv.Version(reply.Version)
	}
	n.install(loaded, version, at)
	return nil
}

// install installs a configuration that was certainly the newest at the instant at, publishes it and notifies peers. A
// revision lower than the installed one is ignored.
func (n *Node) install(l *manifest.Loaded, version kv.Version, at instant) {
	m := l.Manifest
	n.mu.Lock()
	newer := n.recency.install(m.Revision, m.Witnesses)
	if newer {
		n.manifestVersion = version
		n.metrics.installs.Inc()
		n.recentManifests[m.Revision] = m
		for r := range n.recentManifests {
			if r <= m.Revision-manifestHistorySize {
				delete(n.recentManifests, r)
			}
		}
	}
	before := len(n.recency.pending)
	n.recency.confirm(m.Revision, at)
	if newer {
		n.publish(func(s *confview.Snapshot) { s.Manifest, s.State = m, l.State })
	} else {
		n.publishRestrictions(before, false)
	}
	n.mu.Unlock()
	if newer {
		n.log.Info("mesh: configuration installed", "revision", m.Revision, "seq", m.Seq)
		n.notifyPeers(m.Revision)
	}
}

// handleFetch fills in the reply to a fetch of the configuration, as a delta if the base is known.
func (n *Node) handleFetch(args *FetchArgs, reply *FetchReply) {
	loaded := n.reader.Newest()
	n.mu.Lock()
	now := n.clock()
	reply.Revision, reply.Version = n.recency.revision, int64(n.manifestVersion)
	if n.recency.confirmedAt != never {
		reply.Confirmed, reply.AgeMS = true, ceilMS(now-n.recency.confirmedAt)
	}
	base := n.recentManifests[args.Revision]
	n.mu.Unlock()
	if reply.Revision <= args.Revision || loaded == nil {
		return
	}
	if loaded.Manifest.Revision != reply.Revision {
		// The reader has already loaded a newer manifest than the installed one. The age was determined for the
		// installed revision and is not too small for the newer one: when the installed revision was the newest, no
		// revision newer than either existed.
		reply.Revision, reply.Version = loaded.Manifest.Revision, 0
	}
	if base != nil {
		reply.Delta, _ = diff(base, loaded.Manifest, loaded.Raw)
	}
	if reply.Delta == nil {
		reply.Manifest = loaded.Raw
	}
	var keys []string
	for _, t := range loaded.Manifest.Tickets {
		if t.Seq > args.Seq {
			keys = append(keys, manifest.BodyKey(t.Number, t.SHA256))
		}
	}
	reply.Objects = n.cachedObjects(keys)
}

// cachedObjects returns the values of those keys that the reader has, up to maxBatchBytes in total but at least one if
// there is any.
func (n *Node) cachedObjects(keys []string) map[string][]byte {
	out, size := map[string][]byte{}, 0
	for _, key := range keys {
		got, err := n.reader.Objects(context.Background(), []string{key})
		value, ok := got[key]
		if err != nil || !ok {
			continue
		}
		if size += len(key) + len(value); size > maxBatchBytes && len(out) > 0 {
			break
		}
		out[key] = value
	}
	return out
}

// encodedState returns the sequence number and the encoding of the newest state. The encoding is cached.
func (n *Node) encodedState() (int64, []byte, error) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	loaded := n.reader.Newest()
	if loaded == nil {
		return 0, nil, manifest.ErrNoManifest
	}
	if n.stateSource != loaded {
		seq, data, err := n.reader.State(context.Background())
		if err != nil {
			return 0, nil, err
		}
		n.stateSource, n.stateSeq, n.stateBytes = loaded, seq, data
	}
	return n.stateSeq, n.stateBytes, nil
}

// peerSource reads a configuration from another member. It implements manifest.StateSource.
type peerSource struct {
	n       *Node
	addr    string
	raw     []byte
	objects map[string][]byte // objects of the last reply, at first those sent with the manifest
}

var _ manifest.StateSource = (*peerSource)(nil)

// Manifest implements manifest.Source.
func (s *peerSource) Manifest(context.Context) ([]byte, error) { return s.raw, nil }

// Objects implements manifest.Source.
func (s *peerSource) Objects(ctx context.Context, keys []string) (map[string][]byte, error) {
	out := map[string][]byte{}
	for {
		var lack []string
		for _, key := range keys {
			if value, ok := s.objects[key]; ok {
				out[key] = value
			} else if _, ok := out[key]; !ok {
				lack = append(lack, key)
			}
		}
		if len(lack) == 0 {
			return out, nil
		}
		var reply ObjectsReply
		if err := s.n.pool.call(ctx, s.addr, "Mesh.Objects", &ObjectsArgs{Keys: lack}, &reply); err != nil {
			return nil, err
		}
		if len(reply.Objects) == 0 {
			return out, nil
		}
		s.objects = reply.Objects
	}
}

// State implements manifest.StateSource.
func (s *peerSource) State(ctx context.Context) (int64, []byte, error) {
	var data []byte
	var first StateReply
	for {
		var reply StateReply
		if err := s.n.pool.call(ctx, s.addr, "Mesh.State", &StateArgs{Offset: len(data)}, &reply); err != nil {
			return 0, nil, err
		}
		if len(data) == 0 {
			first = reply
		}
		if reply.Seq != first.Seq || reply.Size != first.Size || len(reply.Part) == 0 {
			return 0, nil, eris.Wrap(manifest.ErrMissing, "state changed during the transfer")
		}
		if data = append(data, reply.Part...); len(data) >= reply.Size {
			return reply.Seq, data, nil
		}
	}
}

func (n *Node) fetchView(ctx context.Context, addr string) error {
	args := &FetchViewArgs{Have: n.viewID()}
	var reply FetchViewReply
	if err := n.pool.call(ctx, addr, "Mesh.FetchView", args, &reply); err != nil {
		return err
	}
	if len(reply.View) == 0 {
		return nil
	}
	return n.installView(reply.View)
}

// installView publishes an encoded placement view if it is newer than the present one.
func (n *Node) installView(value []byte) error {
	v := &placement.View{}
	if err := json.Unmarshal(value, v); err != nil {
		return eris.Wrap(err, "decode placement view")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.Newer(n.snapshot.Load().Placement) {
		n.publish(func(s *confview.Snapshot) { s.Placement = v })
	}
	return nil
}

func (n *Node) fetchHosts(ctx context.Context, addr string) error {
	n.mu.Lock()
	args := &FetchHostsArgs{Hash: n.hostListHash}
	n.mu.Unlock()
	sent := n.clock()
	var reply FetchHostsReply
	if err := n.pool.call(ctx, addr, "Mesh.FetchHosts", args, &reply); err != nil {
		return err
	}
	if !reply.Same {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.applyHostList(reply.Hosts, hashHostList(reply.Hosts), sent-ms(reply.AgeMS))
	}
	return nil
}
