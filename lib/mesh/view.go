package mesh

import (
	"context"

	"cuminhook.org/cuminhook/lib/confview"
)

// Snapshot returns the newest snapshot. A caller that needs both reads Status first: a status counts only on
// evidence whose restrictions are already in the snapshot at that moment.
func (n *Node) Snapshot() *confview.Snapshot { return n.snapshot.Load() }

// Status is computed from the monotonic clock at the call.
func (n *Node) Status() confview.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recency.status(n.clock())
}

// Members returns the other members in the order of their ids.
func (n *Node) Members() []confview.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.view(n.clock())
}

// Self is the member id of this node.
func (n *Node) Self() string { return MemberID(n.cfg.Host, n.cfg.Role) }

// Subscribe returns a channel that receives after each change of snapshot or status. Changes that come while one
// is waiting in the channel are merged with it.
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

// publish changes the snapshot and tells subscribers. n.mu is held.
func (n *Node) publish(change func(s *confview.Snapshot)) {
	s := *n.snapshot.Load()
	change(&s)
	s.Restrictions = n.recency.restrictions()
	n.snapshot.Store(&s)
	n.wake()
}

// publishRestrictions publishes if restrictions were added or resolved. n.mu is held.
func (n *Node) publishRestrictions(before int, added bool) {
	if added || len(n.recency.pending) != before {
		n.publish(func(*confview.Snapshot) {})
	}
}

// wake tells subscribers. n.mu is held.
func (n *Node) wake() {
	for ch := range n.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// statusLoop tells subscribers of status changes that come from the passing of time, and drops what is old.
func (n *Node) statusLoop(ctx context.Context) error {
	last, swept := n.Status(), n.clock()
	for {
		if err := sleep(ctx, statusPeriod); err != nil {
			return err
		}
		n.mu.Lock()
		now := n.clock()
		if s := n.recency.status(now); s != last {
			n.log.Info("mesh: configuration status", "from", last.String(), "to", s.String(), "revision", n.recency.revision)
			last = s
			n.wake()
		}
		sweep := now-swept > hostsPeriod
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

func (n *Node) configAge() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recency.confirmed == never {
		return -1
	}
	return (n.clock() - n.recency.confirmed).Seconds()
}
