package mesh

import (
	"context"
	"slices"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
)

// exchangeLoop exchanges with a watcher of the zone and another member every exchangePeriod.
func (n *Node) exchangeLoop(ctx context.Context) error {
	for {
		for _, addr := range n.nextExchangeAddrs() {
			n.spawn(func(ctx context.Context) { n.exchange(ctx, addr, false) })
		}
		if err := sleep(ctx, exchangePeriod); err != nil {
			return err
		}
	}
}

// extraExchangeLoop exchanges with additional peers every extraExchangePeriod while the configuration is old or the
// key-value service is unreachable; see extraExchangeAddrs.
func (n *Node) extraExchangeLoop(ctx context.Context) error {
	for {
		if err := sleep(ctx, extraExchangePeriod); err != nil {
			return err
		}
		for _, addr := range n.extraExchangeAddrs() {
			n.spawn(func(ctx context.Context) { n.exchange(ctx, addr, true) })
		}
	}
}

// nextExchangeAddrs returns the addresses of the next regular exchange: those of a watcher of the zone and of one stable
// partner, or of two stable partners, and at times a bootstrap address.
func (n *Node) nextExchangeAddrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	self := n.members.self.ID
	skip := []string{self}
	var ids []string
	watchers := slices.DeleteFunc(n.members.watchers(n.cfg.Zone, now), func(id string) bool { return id == self })
	if len(watchers) > 0 {
		n.watcherIndex++
		ids = append(ids, watchers[n.watcherIndex%len(watchers)])
		skip = append(skip, ids[0])
	}
	ids = append(ids, n.members.randomStable(2-len(ids), now, skip...)...)
	addrs := make([]string, 0, 3)
	for _, id := range ids {
		addrs = append(addrs, n.members.byID[id].Addr)
	}
	// Bootstrap addresses connect a new host to the mesh and rejoin parts of the mesh after a partition.
	if known := n.bootstrapAddrs(); len(known) > 0 && (len(addrs) < 2 || n.members.rand.IntN(16) == 0) {
		addrs = append(addrs, known[n.members.rand.IntN(len(known))])
	}
	return addrs
}

// bootstrapAddrs returns the addresses of other hosts in the settings and in the host list. The caller holds n.mu.
func (n *Node) bootstrapAddrs() []string {
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

// extraExchangeAddrs returns the addresses for additional exchanges while the configuration is missing or old: the
// watchers of this zone, one witness, and two random members with the watchers of their zones. A polling host that
// cannot reach the key-value service needs them too. A polling host exchanges with all witnesses, so that it collects
// their evidence for its zone.
func (n *Node) extraExchangeAddrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	poller := n.isPoller(now)
	limit := extraExchangeAge
	if n.lastExchangeFailed {
		limit = failedExchangeAge
	}
	if !(n.recency.revision < 0 || now-n.recency.confirmedAt > limit || poller && n.recency.storeUnreachable(now)) {
		return nil
	}
	ids := n.members.watchers(n.cfg.Zone, now)
	if poller {
		ids = append(ids, n.recency.witnesses...)
	} else if k := len(n.recency.witnesses); k > 0 {
		ids = append(ids, n.recency.witnesses[n.members.rand.IntN(k)])
	}
	for _, id := range n.members.randomLive(2, now, n.members.self.ID) {
		ids = append(ids, n.members.watchers(n.members.byID[id].Zone, now)...)
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var addrs []string
	for _, id := range slices.Compact(ids) {
		if m, ok := n.members.byID[id]; ok && id != n.members.self.ID && !n.exchanging[m.Addr] {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// exchange sends a digest to the member at addr, merges the answer and fetches what is newer there. A brief exchange
// carries no member records and is skipped if an exchange with addr is in progress.
func (n *Node) exchange(ctx context.Context, addr string, brief bool) {
	if addr == "" {
		return
	}
	n.mu.Lock()
	if n.exchanging[addr] && brief {
		n.mu.Unlock()
		return
	}
	n.exchanging[addr] = true
	sent := n.clock()
	args := &ExchangeArgs{Self: n.selfRecord(sent), Has: n.recency.pendingIDs(), Brief: brief}
	if !brief {
		args.Members = n.members.nextRecords(maxRecordsPerExchange, n.recency.revision, sent)
	}
	n.mu.Unlock()

	n.metrics.exchanges.Inc()
	var reply ExchangeReply
	err := n.pool.call(ctx, addr, "Mesh.Exchange", args, &reply)

	n.mu.Lock()
	delete(n.exchanging, addr)
	n.lastExchangeFailed = err != nil
	var unknown []uint32
	if err == nil {
		unknown = n.mergeReply(&reply, sent)
	}
	n.mu.Unlock()
	if len(unknown) > 0 {
		n.fetchRecords(ctx, addr, unknown)
	}
	if err != nil {
		n.log.Debug("mesh: exchange failed", "addr", addr, "error", err)
		return
	}
	n.fetchNewer(addr, &reply)
}

// selfRecord returns the current record of this node. The caller holds n.mu.
func (n *Node) selfRecord(now instant) record {
	rec := n.members.self
	rec.Revision = n.recency.revision
	rec.Status = uint8(n.recency.status(now))
	return rec
}

// fetchRecords fetches the full records with the given tags from the peer at addr and merges them.
func (n *Node) fetchRecords(ctx context.Context, addr string, tags []uint32) {
	sent := n.clock()
	var reply RecordsReply
	if err := n.pool.call(ctx, addr, "Mesh.Records", &RecordsArgs{tags}, &reply); err != nil {
		n.log.Debug("mesh: fetch of member records failed", "addr", addr, "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, rec := range reply.Members {
		n.members.mergeRecord(rec, sent)
	}
}

// mergeReply merges the answer to an exchange whose request was sent at the instant sent, and returns the tags of
// unknown members. The caller holds n.mu.
func (n *Node) mergeReply(reply *ExchangeReply, sent instant) (unknown []uint32) {
	now := n.clock()
	n.members.mergeRecord(reply.Self, sent)
	unknown = n.members.mergeBrief(reply.Members, reply.Self.Revision, sent)
	// Announcements are stored before the evidence that depends on them. Their age is subtracted from the time of
	// receipt, so that an announcement never appears older than it is.
	before, added := len(n.recency.pending), false
	for _, a := range reply.Announcements {
		added = n.recency.addAnnouncement(a.ID, a.Restriction, now-ms(a.AgeMS)) || added
	}
	n.recency.observeRevision(max(reply.Known, reply.Self.Revision))
	if reply.Confirmed {
		n.recency.confirm(reply.Self.Revision, sent-ms(reply.AgeMS))
	}
	for _, e := range reply.Evidence {
		n.recency.addEvidence(e.Witness, evidence{reportedAt: sent - ms(e.AgeMS), knownRevision: e.Known})
	}
	n.publishRestrictions(before, added)
	if reply.HostsHash == n.hostListHash && reply.HostsHash != 0 {
		n.hostListReadAt = max(n.hostListReadAt, sent-ms(reply.HostsAgeMS))
	}
	return unknown
}

// fetchNewer fetches the manifest, placement view and host list from the peer at addr where reply shows that the peer
// has newer ones.
func (n *Node) fetchNewer(addr string, reply *ExchangeReply) {
	n.mu.Lock()
	newer := reply.Self.Revision > n.recency.revision
	view := reply.View.newer(n.viewID())
	age := n.clock() - n.hostListReadAt
	hostList := reply.HostsHash != 0 && reply.HostsHash != n.hostListHash && ms(reply.HostsAgeMS) < age
	n.mu.Unlock()
	if newer {
		n.fetch("manifest", addr, n.fetchManifest)
	}
	if view {
		n.fetch("view", addr, n.fetchView)
	}
	if hostList {
		n.fetch("hosts", addr, n.fetchHosts)
	}
}

// viewID returns the id of the installed placement view. Unless the caller holds n.mu, the result may be outdated.
func (n *Node) viewID() viewID {
	v := n.snapshot.Load().Placement
	return viewID{v.Epoch, v.Version}
}

// handleExchange merges the request of an exchange and fills in the reply.
func (n *Node) handleExchange(args *ExchangeArgs, reply *ExchangeReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	n.members.mergeRecord(args.Self, now)
	n.members.mergeBrief(args.Members, args.Self.Revision, now) // unknown members are learned from replies
	reply.Self = n.selfRecord(now)
	if !args.Brief {
		reply.Members = n.members.nextRecords(maxRecordsPerExchange, n.recency.revision, now)
	}
	reply.Known = n.recency.knownRevision
	if n.recency.confirmedAt != never {
		reply.Confirmed, reply.AgeMS = true, ceilMS(now-n.recency.confirmedAt)
	}
	reply.Evidence = n.recency.evidenceToSend(now)
	for _, id := range n.recency.pendingIDs() {
		if p := n.recency.pending[id]; !slices.Contains(args.Has, id) {
			reply.Announcements = append(reply.Announcements,
				announcement{id, p.restriction, int64((now - p.announcedAt).Milliseconds())})
		}
	}
	reply.View = n.viewID()
	if n.hostListReadAt != never {
		reply.HostsHash, reply.HostsAgeMS = n.hostListHash, ceilMS(now-n.hostListReadAt)
	}
}

// notifyPeers notifies up to notifyFanout random members that this node has installed a revision, unless they are known
// to have it.
func (n *Node) notifyPeers(revision int64) {
	n.mu.Lock()
	now := n.clock()
	args := &NotifyArgs{From: n.selfRecord(now), Revision: revision}
	var addrs []string
	for _, id := range n.members.randomLive(notifyFanout, now) {
		if m := n.members.byID[id]; m != nil && m.Revision < revision {
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

// isPoller reports whether this node polls the key-value service as a witness or as a watcher of its zone. The caller
// holds n.mu.
func (n *Node) isPoller(now instant) bool {
	if n.cfg.Role != RoleGateway {
		return false
	}
	return slices.Contains(n.recency.witnesses, n.members.self.ID) ||
		slices.Contains(n.members.watchers(n.cfg.Zone, now), n.members.self.ID)
}

// applyHostList publishes a host list read at the instant at, unless the present list was read later. The caller holds
// n.mu.
func (n *Node) applyHostList(hosts []hostlist.Host, hash uint64, at instant) {
	if at <= n.hostListReadAt {
		return
	}
	n.hostListReadAt = at
	if hash != n.hostListHash {
		n.hostListHash = hash
		n.publish(func(s *confview.Snapshot) { s.Hosts = hosts })
	}
}
