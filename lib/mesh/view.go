package mesh

import (
	"context"

	"cuminhook.org/cuminhook/lib/confview"
)

// Snapshot returns the newest snapshot. A caller that needs both snapshot and status reads the status first: the
// restrictions that came with the evidence behind a status are in the snapshot by the time the status is returned.
func (n *Node) Snapshot() *confview.Snapshot { return n.snapshot.Load() }

// Status returns the status computed from the monotonic clock at the time of the call.
func (n *Node) Status() confview.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recency.status(n.clock())
}

// Members returns the other members in the order of their ids.
func (n *Node) Members() []confview.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.list(n.clock())
}

// Self returns the member id of this node.
func (n *Node) Self() string { return MemberID(n.cfg.Host, n.cfg.Role) }

// Subscribe returns a channel that receives a value after each change of snapshot or status, and a function that ends the
// subscription. Changes are coalesced while a value waits in the channel.
func (n *Node) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers[ch] = struct{}{}
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers, ch)
	}
}

// publish installs a changed copy of the snapshot and notifies subscribers. The caller holds n.mu.
func (n *Node) publish(change func(s *confview.Snapshot)) {
	s := *n.snapshot.Load()
	change(&s)
	s.Restrictions = n.recency.restrictions()
	n.snapshot.Store(&s)
	n.notifySubscribers()
}

// publishRestrictions publishes the snapshot if announcements were added, or if their number differs from before, the
// number before the change. The caller holds n.mu.
func (n *Node) publishRestrictions(before int, added bool) {
	if added || len(n.recency.pending) != before {
		n.publish(func(*confview.Snapshot) {})
	}
}

// notifySubscribers sends a value to each subscriber that has none waiting. The caller holds n.mu.
func (n *Node) notifySubscribers() {
	for ch := range n.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// statusLoop notifies subscribers of status changes, which also occur with the passing of time alone. Every
// hostListPeriod it also removes expired members and connections.
func (n *Node) statusLoop(ctx context.Context) error {
	last, swept := n.Status(), n.clock()
	for {
		if err := sleep(ctx, statusCheckPeriod); err != nil {
			return err
		}
		n.mu.Lock()
		now := n.clock()
		if s := n.recency.status(now); s != last {
			n.log.Info("mesh: configuration status", "from", last.String(), "to", s.String(), "revision", n.recency.revision)
			last = s
			n.notifySubscribers()
		}
		sweep := now-swept > hostListPeriod
		if sweep {
			swept = now
			n.members.expire(now)
		}
		n.mu.Unlock()
		if sweep {
			n.pool.expire(now)
		}
	}
}

// configAge returns the time since the configuration was last confirmed in seconds, or -1 if it never was.
func (n *Node) configAge() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recency.confirmedAt == never {
		return -1
	}
	return (n.clock() - n.recency.confirmedAt).Seconds()
}
