package mesh

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
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

func (n *Node) fetchManifest(ctx context.Context, addr string) error {
	have := n.snapshot.Load()
	n.mu.Lock()
	args := &FetchArgs{Revision: n.recency.revision, Seq: have.Manifest.Seq, Slots: have.Manifest.Slots.Version}
	n.mu.Unlock()
	sent := n.clock()
	var reply FetchReply
	if err := n.pool.call(ctx, addr, "Mesh.Fetch", args, &reply); err != nil {
		return err
	}
	if reply.Revision <= args.Revision {
		return nil
	}
	m, err := n.codec.DecodeManifest(reply.Manifest)
	if err != nil {
		return eris.Wrap(err, "decode manifest")
	}
	state, err := n.codec.DecodeState(reply.State)
	if err != nil {
		return eris.Wrap(err, "decode state")
	}
	at := never
	if reply.Confirmed {
		at = sent - ms(reply.AgeMS)
	}
	n.install(m, state, kv.Version(reply.Version), at)
	return nil
}

// install puts a configuration in force that was certainly the newest at the instant at. A lower revision than
// the present one is ignored.
func (n *Node) install(m *manifest.Manifest, state *ticket.State, version kv.Version, at instant) {
	n.mu.Lock()
	newer := n.recency.install(m.Revision, m.Witnesses)
	if newer {
		n.version = version
		n.metrics.installs.Inc()
	}
	before := len(n.recency.pending)
	n.recency.confirm(m.Revision, at)
	if newer {
		n.publish(func(s *confview.Snapshot) { s.Manifest, s.State = m, state })
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
func (n *Node) content(args *FetchArgs, reply *FetchReply) error {
	n.mu.Lock()
	now := n.clock()
	s := n.snapshot.Load()
	reply.Revision, reply.Version = n.recency.revision, int64(n.version)
	if n.recency.confirmed != never {
		reply.Confirmed, reply.AgeMS = true, ceilMS(now-n.recency.confirmed)
	}
	n.mu.Unlock()
	if reply.Revision <= args.Revision {
		return nil
	}
	var err error
	if reply.Manifest, err = n.codec.EncodeManifest(s.Manifest); err != nil {
		return err
	}
	reply.State, err = n.codec.EncodeState(s.State)
	return err
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
