package mesh

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

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
	m, err := n.decode(entry)
	if err != nil {
		return fmt.Errorf("decode manifest: %w", err)
	}
	n.mu.Lock()
	n.recency.hear(m.Revision)
	revision := n.recency.revision
	n.mu.Unlock()
	switch {
	case m.Revision < revision:
		return fmt.Errorf("the key-value service holds revision %d, lower than %d in force; restore the manifest key", m.Revision, revision)
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
	}
	state, err := n.codec.Load(ctx, n.store, n.snapshot.Load(), m)
	if err != nil {
		return fmt.Errorf("load state of revision %d: %w", m.Revision, err)
	}
	n.install(m, state, entry.Version, sent)
	return nil
}

func (n *Node) decode(entry kv.Entry) (*manifest.Manifest, error) {
	if entry.Version == 0 {
		return emptyManifest(), nil
	}
	return n.codec.DecodeManifest(entry.Value)
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
