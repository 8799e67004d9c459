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

// manifestLoop polls the manifest key while this node is a watcher or a witness. Any other node polls too if it has
// received no configuration from its peers after a random delay of up to maxFreshAge.
func (n *Node) manifestLoop(ctx context.Context) error {
	n.mu.Lock()
	initialPollDelay := time.Duration(n.members.rand.Int64N(int64(maxFreshAge)))
	n.mu.Unlock()
	startedAt := n.clock()
	for {
		n.mu.Lock()
		now := n.clock()
		poll := n.isPoller(now) || n.recency.revision < 0 && now-startedAt > initialPollDelay
		if !poll {
			n.recency.pollEnded(true)
		}
		n.mu.Unlock()
		delay := pollRetryDelay
		if poll {
			if err := n.pollManifest(ctx); err == nil {
				delay = 0
			} else if ctx.Err() == nil {
				n.metrics.pollFailures.Inc()
				n.log.Debug("mesh: poll failed", "error", err)
			}
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// pollManifest polls the manifest key once and confirms the installed configuration or installs a newer one.
func (n *Node) pollManifest(ctx context.Context) error {
	n.metrics.polls.Inc()
	n.mu.Lock()
	sent := n.clock()
	n.recency.pollStarted(sent)
	after := n.manifestVersion
	n.mu.Unlock()

	entry, err := n.waitForChange(ctx, manifest.Key, after)

	n.mu.Lock()
	n.recency.pollEnded(err == nil)
	revision := n.recency.revision
	unchanged := err == nil && entry.Version == after && after != 0 && n.manifestVersion == after
	if unchanged {
		before := len(n.recency.pending)
		n.recency.confirm(revision, sent)
		n.publishRestrictions(before, false)
	}
	n.mu.Unlock()
	if err != nil || unchanged {
		return err
	}
	return n.installEntry(ctx, entry, sent)
}

// installEntry installs the manifest in entry, the result of a poll sent at the instant sent. If the manifest is
// installed already, installEntry confirms it. A revision lower than the installed one is an error.
func (n *Node) installEntry(ctx context.Context, entry kv.Entry, sent instant) error {
	m := manifest.Initial()
	if entry.Version != 0 {
		var err error
		if m, err = manifest.Decode(entry.Value); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.recency.observeRevision(m.Revision)
	revision := n.recency.revision
	n.mu.Unlock()
	switch {
	case m.Revision < revision:
		return eris.Errorf("mesh: the manifest key has revision %d, lower than the installed %d; restore the manifest key",
			m.Revision, revision)
	case m.Revision == revision:
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.recency.revision == revision {
			n.manifestVersion = entry.Version
			before := len(n.recency.pending)
			n.recency.confirm(revision, sent)
			n.publishRestrictions(before, false)
		}
		return nil
	case m.Revision == 0:
		n.install(initialConfig(), 0, sent)
		return nil
	}
	loaded, err := n.reader.LoadRaw(ctx, entry.Value, storeSource{n.store})
	if err != nil {
		return eris.Wrapf(err, "load revision %d", m.Revision)
	}
	version := entry.Version
	if loaded.Manifest.Revision != m.Revision {
		version = 0 // another source has loaded a newer one meanwhile
	}
	n.install(loaded, version, sent)
	return nil
}

// storeSource reads the manifest and objects from the key-value service, with a deadline of pollTimeout for each read.
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

// waitForChange returns the entry of key as soon as its version differs from after, or the unchanged entry after pollWait.
func (n *Node) waitForChange(ctx context.Context, key string, after kv.Version) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return n.store.Wait(ctx, key, after, pollWait)
}

// viewLoop polls the placement view of the cell while this node is a watcher.
func (n *Node) viewLoop(ctx context.Context) error {
	var version kv.Version
	for {
		n.mu.Lock()
		watcher := slices.Contains(n.members.watchers(n.cfg.Zone, n.clock()), n.members.self.ID)
		n.mu.Unlock()
		delay := pollRetryDelay
		if watcher && n.cfg.Cell != "" {
			entry, err := n.waitForChange(ctx, "cell/"+n.cfg.Cell+"/view", version)
			if err == nil && entry.Version != 0 {
				delay = 0
				if entry.Version != version {
					err = n.installView(entry.Value)
					version = entry.Version
				}
			}
			if err != nil && ctx.Err() == nil {
				n.log.Debug("mesh: poll of the placement view failed", "error", err)
			}
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// hostsLoop reads the platform's host list every hostListPeriod while this node is a watcher or has no list yet.
func (n *Node) hostsLoop(ctx context.Context) error {
	for {
		n.mu.Lock()
		sent := n.clock()
		read := n.hostListReadAt == never || slices.Contains(n.members.watchers(n.cfg.Zone, sent), n.members.self.ID)
		n.mu.Unlock()
		if read {
			n.readHostList(ctx, sent)
		}
		if err := sleep(ctx, hostListPeriod); err != nil {
			return err
		}
	}
}

// readHostList reads the platform's host list and publishes it. The read was started at the instant sent.
func (n *Node) readHostList(ctx context.Context, sent instant) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := n.hostList.Hosts(ctx)
	if err != nil {
		n.log.Debug("mesh: reading the host list failed", "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyHostList(hosts, hashHostList(hosts), sent)
}

// hashHostList returns a hash of a host list that does not depend on its order. It is never zero, which stands for no
// list.
func hashHostList(hosts []hostlist.Host) uint64 {
	lines := make([]string, len(hosts))
	for i, h := range hosts {
		lines[i] = fmt.Sprintf("%q\n", []string{h.ID, string(h.Role), h.Zone, h.Addr, h.Service, fmt.Sprint(h.Leaving)})
	}
	slices.Sort(lines)
	return max(1, xxhash.Sum64String(strings.Join(lines, "")))
}
