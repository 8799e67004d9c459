package mesh

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
)

// manifestLoop polls the manifest key while this node is a watcher or a witness, and once at the start if the peers
// give no configuration.
func (n *Node) manifestLoop(ctx context.Context) error {
	n.mu.Lock()
	delay := time.Duration(n.members.rand.Int64N(int64(freshLimit)))
	n.mu.Unlock()
	began := n.clock()
	for {
		n.mu.Lock()
		now := n.clock()
		poll := n.polls(now) || n.recency.revision < 0 && now-began > delay
		if !poll {
			n.recency.pollEnded(true)
		}
		n.mu.Unlock()
		pause := pollRetry
		if poll {
			if err := n.pollManifest(ctx); err == nil {
				pause = 0
			} else if ctx.Err() == nil {
				n.metrics.pollFails.Inc()
				n.log.Debug("mesh: poll failed", "error", err)
			}
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// pollManifest polls the manifest key once and installs what it finds.
func (n *Node) pollManifest(ctx context.Context) error {
	n.metrics.polls.Inc()
	n.mu.Lock()
	sent := n.clock()
	n.recency.pollStarted(sent)
	after := n.version
	n.mu.Unlock()

	entry, err := n.wait(ctx, manifest.Key, after)

	n.mu.Lock()
	n.recency.pollEnded(err == nil)
	revision := n.recency.revision
	same := err == nil && entry.Version == after && after != 0 && n.version == after
	if same {
		before := len(n.recency.pending)
		n.recency.confirm(revision, sent)
		n.publishRestrictions(before, false)
	}
	n.mu.Unlock()
	if err != nil || same {
		return err
	}
	return n.take(ctx, entry, sent)
}

// take installs the manifest of an entry read by a poll sent at the instant sent.
func (n *Node) take(ctx context.Context, entry kv.Entry, sent instant) error {
	m := manifest.Initial()
	if entry.Version != 0 {
		var err error
		if m, err = manifest.Decode(entry.Value); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.recency.hear(m.Revision)
	revision := n.recency.revision
	n.mu.Unlock()
	switch {
	case m.Revision < revision:
		return eris.Errorf("mesh: the key-value service holds revision %d, lower than %d in force; restore the manifest key",
			m.Revision, revision)
	case m.Revision == revision:
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.recency.revision == revision {
			n.version = entry.Version
			before := len(n.recency.pending)
			n.recency.confirm(revision, sent)
			n.publishRestrictions(before, false)
		}
		return nil
	case m.Revision == 0:
		n.install(initial(), 0, sent)
		return nil
	}
	loaded, err := n.reader.LoadRaw(ctx, entry.Value, storeSource{n.store})
	if err != nil {
		return eris.Wrapf(err, "load revision %d", m.Revision)
	}
	version := entry.Version
	if loaded.Manifest.Revision != m.Revision {
		version = 0 // another source was faster with a newer one
	}
	n.install(loaded, version, sent)
	return nil
}

// storeSource reads objects from the key-value service with one deadline for each.
type storeSource struct{ store kv.Store }

// Manifest implements manifest.Source.
func (s storeSource) Manifest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return manifest.StoreSource{Store: s.store}.Manifest(ctx)
}

// Objects implements manifest.Source.
func (s storeSource) Objects(ctx context.Context, keys []string) (map[string][]byte, error) {
	out := make(map[string][]byte, len(keys))
	for _, key := range keys {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		got, err := manifest.StoreSource{Store: s.store}.Objects(ctx, []string{key})
		cancel()
		if err != nil {
			return nil, err
		}
		maps.Copy(out, got)
	}
	return out, nil
}

// wait polls a key with the deadline of a poll.
func (n *Node) wait(ctx context.Context, key string, after kv.Version) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return n.store.Wait(ctx, key, after, pollWait)
}

// viewLoop polls the placement view while this node is a watcher.
func (n *Node) viewLoop(ctx context.Context) error {
	var version kv.Version
	for {
		n.mu.Lock()
		watcher := slices.Contains(n.members.watchers(n.cfg.Zone, n.clock()), n.members.self.ID)
		n.mu.Unlock()
		pause := pollRetry
		if watcher && n.cfg.Cell != "" {
			entry, err := n.wait(ctx, "cell/"+n.cfg.Cell+"/view", version)
			if err == nil && entry.Version != 0 {
				pause = 0
				if entry.Version != version {
					err = n.installView(entry.Value)
					version = entry.Version
				}
			}
			if err != nil && ctx.Err() == nil {
				n.log.Debug("mesh: poll of the placement view failed", "error", err)
			}
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// hostsLoop reads the platform's host list while this node is a watcher, and at the start.
func (n *Node) hostsLoop(ctx context.Context) error {
	for {
		n.mu.Lock()
		sent := n.clock()
		read := n.hostsAt == never || slices.Contains(n.members.watchers(n.cfg.Zone, sent), n.members.self.ID)
		n.mu.Unlock()
		if read {
			n.readHosts(ctx, sent)
		}
		if err := sleep(ctx, hostsPeriod); err != nil {
			return err
		}
	}
}

func (n *Node) readHosts(ctx context.Context, sent instant) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := n.hosts.Hosts(ctx)
	if err != nil {
		n.log.Debug("mesh: host list not read", "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hostsChanged(hosts, hashHosts(hosts), sent)
}

// hashHosts hashes a host list independent of its order. Zero stands for no list.
func hashHosts(hosts []hostlist.Host) uint64 {
	lines := make([]string, len(hosts))
	for i, h := range hosts {
		lines[i] = fmt.Sprintf("%q\n", []string{h.ID, string(h.Role), h.Zone, h.Addr, h.Service, fmt.Sprint(h.Leaving)})
	}
	slices.Sort(lines)
	return max(1, xxhash.Sum64String(strings.Join(lines, "")))
}
