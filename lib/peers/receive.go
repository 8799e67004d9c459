package peers

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/aggregate"
)

// handleState passes a received state on, unless it is this host's own, or a newer one of its sender or one of a later start
// came first. It adds a
// sender that is not known yet. A state that does not count here, as its hosts are in the sums of others, is passed on as a
// partial one.
func (x *Exchanger) handleState(s *State) {
	if s.Host == x.host {
		return
	}
	now := time.Now()
	x.mu.Lock()
	p := x.peers[s.Host]
	if p == nil { // its entry has not been read yet
		addr, err := netip.ParseAddrPort(s.Addr)
		if err != nil {
			x.mu.Unlock()
			x.log.Warn("state has no valid address", "peer", s.Host, "error", err.Error())
			return
		}
		p = &peer{addr: net.UDPAddrFromAddrPort(addr), unlistedSince: now}
		x.peers[s.Host] = p
	}
	if s.Boot == p.formerBoot && s.Boot != 0 || p.boot == s.Boot && s.Number <= p.number {
		x.mu.Unlock()
		return
	}
	if p.boot != s.Boot {
		p.formerBoot = p.boot
	}
	p.boot, p.number, p.receivedAt, p.configVersion = s.Boot, s.Number, now, s.ConfigVersion
	if s.Kind != Partial {
		p.placement, p.storeLost = s.PlacementVersion, s.StoreLost
		x.countState(p, s)
	}
	x.mu.Unlock()
	x.handlers.OnState(s)
}

// countState links the sender of a full state to this host and adds the state to the sum, or makes it a partial one if it
// does not count here. The caller holds mu.
func (x *Exchanger) countState(p *peer, s *State) {
	kind := noLink
	switch inMesh := x.topology.inMesh[x.host]; {
	case s.Kind == Mesh && inMesh:
		kind = meshLink
	case s.Kind == Up && inMesh:
		kind = leafLink
	case s.Kind == Down && !inMesh && s.Host == x.aggregator:
		kind = aggregatorLink
	}
	if kind == noLink {
		s.Kind, s.Contribution = Partial, aggregate.Contribution{}
		return
	}
	if p.link != noLink && p.link != kind {
		x.sum.Remove(memberName(s.Host, p.link))
	}
	if p.link != kind {
		x.log.Debug("host linked", "peer", s.Host, "link", kind.String())
	}
	p.link, p.hosts = kind, max(1, s.Hosts)
	x.sum.Set(memberName(s.Host, kind), s.Boot, s.Contribution)
}

// selfMember is the name of this host in the sum.
const selfMember = "self"

// memberName returns the name of a linked host in the sum. A host that changes its link covers other hosts than before.
func memberName(host string, kind link) string { return kind.String() + "/" + host }

// isLeafMember reports whether memberName returned the name for a leaf.
func isLeafMember(name string) bool { return strings.HasPrefix(name, leafLink.String()+"/") }

// String returns the name used in logs.
func (k link) String() string { return [...]string{"none", "mesh", "leaf", "aggregator"}[k] }

// update works out the topology, and reports hosts that are no longer reachable and a changed fleet.
func (x *Exchanger) update(now time.Time) {
	x.updateMu.Lock() // keeps the reports in order
	defer x.updateMu.Unlock()
	x.mu.Lock()
	lost := x.expireLinks(now)
	lost = append(lost, x.removeUnlisted(now)...)
	mesh := x.topology.mesh
	if x.topologyOutdated {
		lost = append(lost, x.updateTopology()...)
	}
	newMesh := !slices.Equal(mesh, x.topology.mesh)
	former, silent := x.chooseAggregator(now)
	lost = append(lost, former...)
	fleet, changed := x.currentFleet()
	x.mu.Unlock()
	for _, host := range lost {
		x.handlers.OnUnreachable(host)
	}
	if newMesh && x.handlers.OnMesh != nil {
		x.handlers.OnMesh()
	}
	if silent {
		x.handlers.OnAggregatorSilent()
	}
	if changed {
		x.log.Info("hosts", "count", len(fleet.Known)+1, "reachable", fleet.Reachable, "mesh", fleet.Mesh, "leaf", fleet.Leaf)
		x.handlers.OnFleet(fleet)
	}
}

// removeUnlisted removes hosts without an entry in the store whose states do not arrive either, and returns those that had
// a link. The caller holds mu.
func (x *Exchanger) removeUnlisted(now time.Time) (lost []string) {
	for host, p := range x.peers {
		if p.listed || now.Sub(later(p.receivedAt, p.unlistedSince)) <= removeTimeout {
			continue
		}
		if p.link != noLink {
			lost = append(lost, x.dropLink(host, p))
		}
		delete(x.peers, host)
		x.topologyOutdated = true
	}
	return lost
}

// updateTopology works out the topology. If this host comes into the mesh or leaves it, it drops its links and returns their
// hosts. The caller holds mu.
func (x *Exchanger) updateTopology() (lost []string) {
	x.topologyOutdated = false
	zones := map[string]string{x.host: x.zone}
	for host, p := range x.peers {
		if p.zone != "" {
			zones[host] = p.zone
		}
	}
	wasInMesh := x.topology.inMesh[x.host]
	x.topology = newTopology(zones)
	if inMesh := x.topology.inMesh[x.host]; inMesh != wasInMesh {
		x.log.Info("place in the fleet", "mesh", inMesh, "hosts", len(zones), "mesh_hosts", len(x.topology.mesh))
		lost = x.dropLinks()
	}
	return lost
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expireLinks drops the links of hosts whose states no longer arrive, and returns these hosts. The caller holds mu.
func (x *Exchanger) expireLinks(now time.Time) (lost []string) {
	timeout := max(minUnreachableTimeout, unreachableIntervals*x.interval())
	for host, p := range x.peers {
		limit := timeout
		switch {
		case p.link == aggregatorLink:
			limit = aggregatorForgetTimeout
		case p.link == meshLink && p.zone != x.zone:
			limit = max(timeout, unreachableIntervals*x.interval()*time.Duration(x.farInterval()))
		}
		if p.link != noLink && now.Sub(p.receivedAt) > limit {
			x.log.Warn("host unreachable", "peer", host, "link", p.link.String())
			lost = append(lost, x.dropLink(host, p))
		}
	}
	return lost
}

// dropLinks drops all links and returns their hosts. The caller holds mu.
func (x *Exchanger) dropLinks() (lost []string) {
	for host, p := range x.peers {
		if p.link != noLink {
			lost = append(lost, x.dropLink(host, p))
		}
	}
	x.aggregator = ""
	return lost
}

// dropLink removes a host's states from the sum. The caller holds mu.
func (x *Exchanger) dropLink(host string, p *peer) string {
	x.sum.Remove(memberName(host, p.link))
	p.link, p.hosts = noLink, 0
	return host
}

// chooseAggregator chooses the aggregator of a leaf: the first in the order of the topology that is not silent. What the
// former one reported counts until the next one reports. It returns the hosts whose states no longer count, and whether the former
// one is silent. The caller holds mu.
func (x *Exchanger) chooseAggregator(now time.Time) (lost []string, silent bool) {
	if x.topology.inMesh[x.host] {
		return nil, false
	}
	if p := x.peers[x.aggregator]; p != nil && x.topology.inMesh[x.aggregator] {
		if now.Sub(later(p.receivedAt, x.chosenAt)) <= aggregatorTimeout {
			if p.link == aggregatorLink {
				lost = x.dropFormerAggregators()
			}
			return lost, false
		}
		silent = true
		x.log.Warn("aggregator silent", "peer", x.aggregator)
		x.avoid[x.aggregator] = now.Add(aggregatorRetryDelay)
	}
	x.aggregator = ""
	for _, host := range x.topology.aggregators(x.host) {
		if x.peers[host] != nil && !now.Before(x.avoid[host]) {
			x.aggregator, x.chosenAt = host, now
			x.log.Info("aggregator chosen", "peer", host)
			break
		}
	}
	return nil, silent
}

// dropFormerAggregators drops the links to aggregators other than the present one, and returns these hosts. The caller
// holds mu.
func (x *Exchanger) dropFormerAggregators() (lost []string) {
	for host, p := range x.peers {
		if p.link == aggregatorLink && host != x.aggregator {
			lost = append(lost, x.dropLink(host, p))
		}
	}
	return lost
}

// currentFleet returns the fleet, and whether it has changed since the last call. The caller holds mu.
func (x *Exchanger) currentFleet() (Fleet, bool) {
	f := Fleet{
		Reachable: 1, Leaf: !x.topology.inMesh[x.host], Interval: x.interval(), Known: make([]string, 0, len(x.peers)),
	}
	if !f.Leaf {
		f.Mesh = 1
	}
	for host, p := range x.peers {
		f.Known = append(f.Known, host)
		f.Reachable += p.hosts
		switch p.link {
		case meshLink:
			f.Mesh++
		case aggregatorLink:
			f.Mesh = len(x.topology.mesh)
		}
	}
	f.Poller, f.Pollers = x.pollers()
	f.Reachable = min(f.Reachable, len(f.Known)+1)
	f.Spread = f.Interval
	if x.hasLeaves() {
		f.Spread *= time.Duration(2 + x.farInterval())
	}
	old := x.fleet
	changed := len(f.Known) != len(old.Known) || f.Reachable != old.Reachable || f.Mesh != old.Mesh || f.Leaf != old.Leaf ||
		f.Interval != old.Interval || f.Poller != old.Poller || f.Pollers != old.Pollers
	x.fleet = f
	return f, changed
}

// pollers returns whether this host is one of the pollers and how many there are: the first reachable hosts of the mesh, in an
// order by hash, that can read the store. A leaf without an aggregator polls for itself. The caller holds mu.
func (x *Exchanger) pollers() (poller bool, count int) {
	var able []string
	linked := false
	for host, p := range x.peers {
		linked = linked || p.link != noLink
		if p.link == meshLink && !p.storeLost {
			able = append(able, host)
		}
	}
	inMesh := x.topology.inMesh[x.host]
	if !inMesh {
		return !linked, 1
	}
	able = append(able, x.host)
	if len(able) <= allPollHosts {
		return true, len(able)
	}
	sortByHash(able, "poll")
	return x.storeLost || slices.Index(able, x.host) < maxPollers, maxPollers
}

// hasLeaves reports whether the fleet has leaves. The caller holds mu.
func (x *Exchanger) hasLeaves() bool { return len(x.topology.mesh) < len(x.topology.zones) }

// farInterval returns the number of intervals between two states to a host of the mesh in another zone. The caller holds mu.
func (x *Exchanger) farInterval() int {
	if x.hasLeaves() {
		return x.farIntervals
	}
	return 1
}

// interval returns the time between two states of a host. The caller holds mu.
func (x *Exchanger) interval() time.Duration {
	if x.hasLeaves() {
		return leafInterval
	}
	return meshInterval
}

// Fleet returns what this host knows of the fleet.
func (x *Exchanger) Fleet() Fleet {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fleet
}

// MeshPeers returns the reachable hosts of the mesh, without this one, in no particular order.
func (x *Exchanger) MeshPeers() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for host, p := range x.peers {
		if p.link == meshLink {
			out = append(out, host)
		}
	}
	return out
}
