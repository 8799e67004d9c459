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

// fetch runs fn in the background unless the same is being fetched from addr.
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

// fetchManifest installs the configuration of the peer at addr if it is newer.
func (n *Node) fetchManifest(ctx context.Context, addr string) error {
	held := n.reader.Newest()
	args := &FetchArgs{Revision: -1}
	n.mu.Lock()
	if n.recency.revision >= 0 {
		args.Revision = n.recency.revision
	}
	n.mu.Unlock()
	if held != nil {
		args.Seq = held.Manifest.Seq
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
		n.install(initial(), 0, at)
		return nil
	}
	raw := reply.Manifest
	if reply.Delta != nil {
		var ok bool
		if held != nil {
			raw, ok = patch(held.Manifest, reply.Delta)
		}
		if !ok {
			n.metrics.failure("delta").Inc()
			if err := n.pool.call(ctx, addr, "Mesh.Fetch", &FetchArgs{Revision: -1, Seq: args.Seq}, &reply); err != nil {
				return err
			}
			raw = reply.Manifest // a newer manifest was the newest no earlier
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

// install puts a configuration in force that was certainly the newest at the instant at. A lower revision than
// the present one is ignored.
func (n *Node) install(l *manifest.Loaded, version kv.Version, at instant) {
	m := l.Manifest
	n.mu.Lock()
	newer := n.recency.install(m.Revision, m.Witnesses)
	if newer {
		n.version = version
		n.metrics.installs.Inc()
		n.history[m.Revision] = m
		for r := range n.history {
			if r <= m.Revision-historySize {
				delete(n.history, r)
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
		n.notify(m.Revision)
	}
}

// content answers a fetch of the configuration.
func (n *Node) content(args *FetchArgs, reply *FetchReply) {
	loaded := n.reader.Newest()
	n.mu.Lock()
	now := n.clock()
	reply.Revision, reply.Version = n.recency.revision, int64(n.version)
	if n.recency.confirmed != never {
		reply.Confirmed, reply.AgeMS = true, ceilMS(now-n.recency.confirmed)
	}
	base := n.history[args.Revision]
	n.mu.Unlock()
	if reply.Revision <= args.Revision || loaded == nil {
		return
	}
	if loaded.Manifest.Revision != reply.Revision {
		// The reader is ahead of what is in force for a moment; the age does not belong to its manifest, but a
		// newer manifest was the newest no earlier.
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
	reply.Objects = n.objects(keys)
}

// objects returns the values of keys that this node has, up to maxBatchBytes and at least one.
func (n *Node) objects(keys []string) map[string][]byte {
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

// encodedState returns the encoded state and its sequence number.
func (n *Node) encodedState() (int64, []byte, error) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	loaded := n.reader.Newest()
	if loaded == nil {
		return 0, nil, manifest.ErrNoManifest
	}
	if n.stateOf != loaded {
		seq, data, err := n.reader.State(context.Background())
		if err != nil {
			return 0, nil, err
		}
		n.stateOf, n.stateSeq, n.state = loaded, seq, data
	}
	return n.stateSeq, n.state, nil
}

// peerSource reads from another member. It implements manifest.StateSource.
type peerSource struct {
	n       *Node
	addr    string
	raw     []byte
	objects map[string][]byte // came with the manifest
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

// installView puts an encoded placement view in force if it is newer than the present one.
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
	args := &FetchHostsArgs{Hash: n.hostsHash}
	n.mu.Unlock()
	sent := n.clock()
	var reply FetchHostsReply
	if err := n.pool.call(ctx, addr, "Mesh.FetchHosts", args, &reply); err != nil {
		return err
	}
	if !reply.Same {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.hostsChanged(reply.Hosts, hashHosts(reply.Hosts), sent-ms(reply.AgeMS))
	}
	return nil
}
