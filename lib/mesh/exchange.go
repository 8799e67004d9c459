package mesh

import (
	"context"
	"slices"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
)

// exchangeLoop exchanges with a watcher of the zone and another peer each exchangePeriod.
func (n *Node) exchangeLoop(ctx context.Context) error {
	for {
		for _, addr := range n.exchangePeers() {
			n.spawn(func(ctx context.Context) { n.exchange(ctx, addr, false) })
		}
		if err := sleep(ctx, exchangePeriod); err != nil {
			return err
		}
	}
}

// hurryLoop asks more peers while the configuration is not confirmed, as long as the age is above hurryAge.
func (n *Node) hurryLoop(ctx context.Context) error {
	for {
		if err := sleep(ctx, hurryPeriod); err != nil {
			return err
		}
		for _, addr := range n.hurryPeers() {
			n.spawn(func(ctx context.Context) { n.exchange(ctx, addr, true) })
		}
	}
}

// exchangePeers returns the addresses of the next two partners.
func (n *Node) exchangePeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	self := n.members.self.ID
	skip := []string{self}
	var ids []string
	watchers := slices.DeleteFunc(n.members.watchers(n.cfg.Zone, now), func(id string) bool { return id == self })
	if len(watchers) > 0 {
		n.turn++
		ids = append(ids, watchers[n.turn%len(watchers)])
		skip = append(skip, ids[0])
	}
	ids = append(ids, n.members.regulars(2-len(ids), now, skip...)...)
	addrs := make([]string, 0, 3)
	for _, id := range ids {
		addrs = append(addrs, n.members.all[id].Addr)
	}
	// Seeds and listed hosts connect a new host, and join meshes that were separated.
	if known := n.bootstrap(); len(known) > 0 && (len(addrs) < 2 || n.members.rand.IntN(16) == 0) {
		addrs = append(addrs, known[n.members.rand.IntN(len(known))])
	}
	return addrs
}

// bootstrap returns the addresses known from settings and host list. n.mu is held.
func (n *Node) bootstrap() []string {
	var out []string
	for _, a := range n.cfg.Seeds {
		if a != n.cfg.Listen {
			out = append(out, a)
		}
	}
	for _, h := range n.snapshot.Load().Hosts {
		if h.Role == hostlist.RoleEntry && !h.Leaving && h.ID != n.cfg.Host && h.Addr != "" {
			out = append(out, h.Addr)
		}
	}
	return out
}

// hurryPeers returns the peers to ask while the configuration is old: the watchers of the zone, those of another zone
// and a witness; a host that polls asks all witnesses, so that it collects their evidence for its zone.
func (n *Node) hurryPeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	poller := n.polls(now)
	limit := hurryAge
	if n.troubled {
		limit = troubledAge
	}
	if !(n.recency.revision < 0 || now-n.recency.confirmed > limit || poller && n.recency.unreachable(now)) {
		return nil
	}
	ids := n.members.watchers(n.cfg.Zone, now)
	if poller {
		ids = append(ids, n.recency.witnesses...)
	} else if k := len(n.recency.witnesses); k > 0 {
		ids = append(ids, n.recency.witnesses[n.members.rand.IntN(k)])
	}
	for _, id := range n.members.partners(2, now, n.members.self.ID) {
		ids = append(ids, n.members.watchers(n.members.all[id].Zone, now)...)
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var addrs []string
	for _, id := range slices.Compact(ids) {
		if m, ok := n.members.all[id]; ok && id != n.members.self.ID && !n.asking[m.Addr] {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// exchange exchanges with the member at addr.
func (n *Node) exchange(ctx context.Context, addr string, brief bool) {
	if addr == "" {
		return
	}
	n.mu.Lock()
	if n.asking[addr] && brief {
		n.mu.Unlock()
		return
	}
	n.asking[addr] = true
	sent := n.clock()
	args := &ExchangeArgs{Self: n.selfRecord(sent), Has: n.recency.pendingIDs(), Brief: brief}
	if !brief {
		args.Members = n.members.records(recordsPerCall, n.recency.revision, sent)
	}
	n.mu.Unlock()

	n.metrics.exchanges.Inc()
	var reply ExchangeReply
	err := n.pool.call(ctx, addr, "Mesh.Exchange", args, &reply)

	n.mu.Lock()
	delete(n.asking, addr)
	n.troubled = err != nil
	var unknown []uint32
	if err == nil {
		unknown = n.merge(&reply, sent)
	}
	n.mu.Unlock()
	if len(unknown) > 0 {
		n.learnWhole(ctx, addr, unknown)
	}
	if err != nil {
		n.log.Debug("mesh: exchange failed", "addr", addr, "error", err)
		return
	}
	n.follow(addr, &reply)
}

// selfRecord describes this node. n.mu is held.
func (n *Node) selfRecord(now instant) record {
	rec := n.members.self
	rec.Revision = n.recency.revision
	rec.Status = uint8(n.recency.status(now))
	return rec
}

// learnWhole asks the peer at addr for the records of members that this node does not know.
func (n *Node) learnWhole(ctx context.Context, addr string, tags []uint32) {
	sent := n.clock()
	var reply RecordsReply
	if err := n.pool.call(ctx, addr, "Mesh.Records", &RecordsArgs{tags}, &reply); err != nil {
		n.log.Debug("mesh: records not read", "addr", addr, "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, rec := range reply.Members {
		n.members.learn(rec, sent)
	}
}

// merge takes in an answer to an exchange sent at the instant sent, and returns the tags of unknown members. n.mu is
// held.
func (n *Node) merge(reply *ExchangeReply, sent instant) (unknown []uint32) {
	now := n.clock()
	n.members.learn(reply.Self, sent)
	unknown = n.members.learnBrief(reply.Members, reply.Self.Revision, sent)
	// Announcements come before the evidence that depends on them. Their age counts from the receipt, so that
	// it is never too large.
	before, added := len(n.recency.pending), false
	for _, a := range reply.Announcements {
		added = n.recency.announce(a.ID, a.Restriction, now-ms(a.AgeMS)) || added
	}
	n.recency.hear(max(reply.Known, reply.Self.Revision))
	if reply.Confirmed {
		n.recency.confirm(reply.Self.Revision, sent-ms(reply.AgeMS))
	}
	for _, e := range reply.Evidence {
		n.recency.report(e.Witness, evidence{at: sent - ms(e.AgeMS), known: e.Known})
	}
	n.publishRestrictions(before, added)
	if reply.HostsHash == n.hostsHash && reply.HostsHash != 0 {
		n.hostsAt = max(n.hostsAt, sent-ms(reply.HostsAgeMS))
	}
	return unknown
}

// follow fetches what the answer showed to be newer.
func (n *Node) follow(addr string, reply *ExchangeReply) {
	n.mu.Lock()
	newer := reply.Self.Revision > n.recency.revision
	view := reply.View.newer(n.viewID())
	age := n.clock() - n.hostsAt
	hosts := reply.HostsHash != 0 && reply.HostsHash != n.hostsHash && ms(reply.HostsAgeMS) < age
	n.mu.Unlock()
	if newer {
		n.fetch("manifest", addr, n.fetchManifest)
	}
	if view {
		n.fetch("view", addr, n.fetchView)
	}
	if hosts {
		n.fetch("hosts", addr, n.fetchHosts)
	}
}

// viewID identifies the placement view in force. n.mu is held or the answer may be old.
func (n *Node) viewID() viewID {
	v := n.snapshot.Load().Placement
	return viewID{v.Epoch, v.Version}
}

// answer is the receiver's side of an exchange.
func (n *Node) answer(args *ExchangeArgs, reply *ExchangeReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	n.members.learn(args.Self, now)
	n.members.learnBrief(args.Members, args.Self.Revision, now) // unknown ones come with an answer
	reply.Self = n.selfRecord(now)
	if !args.Brief {
		reply.Members = n.members.records(recordsPerCall, n.recency.revision, now)
	}
	reply.Known = n.recency.known
	if n.recency.confirmed != never {
		reply.Confirmed, reply.AgeMS = true, ceilMS(now-n.recency.confirmed)
	}
	reply.Evidence = n.recency.reports(now)
	for _, id := range n.recency.pendingIDs() {
		if p := n.recency.pending[id]; !slices.Contains(args.Has, id) {
			reply.Announcements = append(reply.Announcements, announcement{id, p.restriction, int64((now - p.at).Milliseconds())})
		}
	}
	reply.View = n.viewID()
	if n.hostsAt != never {
		reply.HostsHash, reply.HostsAgeMS = n.hostsHash, ceilMS(now-n.hostsAt)
	}
}

// notify tells some peers of the installed revision.
func (n *Node) notify(revision int64) {
	n.mu.Lock()
	now := n.clock()
	args := &NotifyArgs{From: n.selfRecord(now), Revision: revision}
	var addrs []string
	for _, id := range n.members.partners(notifyFanout, now) {
		if m := n.members.all[id]; m != nil && m.Revision < revision {
			addrs = append(addrs, m.Addr)
		}
	}
	n.mu.Unlock()
	for _, addr := range addrs {
		n.metrics.notifies.Inc()
		n.spawn(func(ctx context.Context) {
			if err := n.pool.call(ctx, addr, "Mesh.Notify", args, &Empty{}); err != nil {
				n.log.Debug("mesh: notify failed", "addr", addr, "error", err)
			}
		})
	}
}

// polls reports whether this node polls the key-value service. n.mu is held.
func (n *Node) polls(now instant) bool {
	if n.cfg.Role != RoleGateway {
		return false
	}
	return slices.Contains(n.recency.witnesses, n.members.self.ID) ||
		slices.Contains(n.members.watchers(n.cfg.Zone, now), n.members.self.ID)
}

// hostsChanged publishes a host list read at the instant at. n.mu is held.
func (n *Node) hostsChanged(hosts []hostlist.Host, hash uint64, at instant) {
	if at <= n.hostsAt {
		return
	}
	n.hostsAt = at
	if hash != n.hostsHash {
		n.hostsHash = hash
		n.publish(func(s *confview.Snapshot) { s.Hosts = hosts })
	}
}
