package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/aggregate"
	"cuminhook.org/cuminhook/lib/sleep"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// sendStates sends the states of this host in each interval until ctx ends.
func (x *Exchanger) sendStates(ctx context.Context, conn *net.UDPConn) {
	for ctx.Err() == nil {
		started := time.Now()
		x.update(started)
		x.send(ctx, conn, x.fullStates())
		sleep.For(ctx, max(minPause, x.Fleet().Interval-time.Since(started)))
	}
}

// message is a state with the addresses of its receivers.
type message struct {
	state     *State
	receivers []*net.UDPAddr
}

func newMessage(s *State, receivers []*peer) message {
	m := message{state: s}
	for _, p := range receivers {
		m.receivers = append(m.receivers, p.addr)
	}
	return m
}

// fullStates returns the states of one interval: of a host of the mesh to the others and to its leaves, or of a leaf to its
// aggregator.
func (x *Exchanger) fullStates() []message {
	own := x.newState()
	x.handlers.FillState(own)
	placement := x.handlers.Placement()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.storeLost = own.StoreLost
	if !x.topology.inMesh[x.host] {
		own.Kind = Up
		return x.withPlacement(own, x.receivers(storewatch.ToMesh), placement, storewatch.ToMesh)
	}
	x.sum.Set(selfMember, x.boot, own.Contribution)
	mesh := *own
	mesh.Contribution = x.sum.Total(func(name string) bool { return name == selfMember || isLeafMember(name) })
	mesh.Contribution.Round()
	out := x.withPlacement(&mesh, x.meshReceivers(), placement, storewatch.ToMesh)
	var total aggregate.Contribution
	for host, p := range x.peers {
		if p.link != leafLink {
			continue
		}
		if total.Demand == nil {
			total = x.sum.Total(nil)
		}
		down := *own
		down.Kind = Down
		down.Contribution = x.sum.Without(total, memberName(host, leafLink))
		down.Contribution.Round()
		if own.Holder.Host != host { // only the controller needs these
			down.EngineLoad, down.AdapterRates, down.Suspects = nil, nil, nil
		}
		out = append(out, x.withPlacement(&down, []*peer{p}, placement, storewatch.ToLeaves)...)
	}
	return out
}

// meshReceivers returns the hosts of the mesh that get the next full state. Hosts of other zones get one in farInterval only:
// sums for them are a large part of the bytes between zones. Changes are announced to them at once all the same. The caller holds mu.
func (x *Exchanger) meshReceivers() []*peer {
	receivers := x.receivers(storewatch.ToMesh)
	x.rounds++
	if x.rounds%x.farInterval() == 0 {
		return receivers
	}
	return slices.DeleteFunc(receivers, func(p *peer) bool { return p.zone != x.zone })
}

// receivers returns the hosts of an audience. The caller holds mu.
func (x *Exchanger) receivers(to storewatch.Audience) (out []*peer) {
	if to == storewatch.ToMesh && !x.topology.inMesh[x.host] {
		if p := x.peers[x.aggregator]; p != nil {
			out = append(out, p)
		}
		return out
	}
	for host, p := range x.peers {
		if to == storewatch.ToLeaves && p.link == leafLink || to == storewatch.ToMesh && (p.link == meshLink || x.topology.inMesh[host] && p.link == noLink) {
			out = append(out, p)
		}
	}
	return out
}

// withPlacement returns the messages that carry a state to receivers, with the placement to those that lack it. In the mesh
// only the controller, or its aggregator, sends the placement. The caller holds mu.
func (x *Exchanger) withPlacement(s *State, receivers []*peer, placement *Placement, to storewatch.Audience) []message {
	if placement == nil || to == storewatch.ToMesh && !x.isSource(placement) {
		return []message{newMessage(s, receivers)}
	}
	now := time.Now()
	var have, lack []*peer
	for _, p := range receivers {
		resend := p.sent != placement.Version || p.receivedAt.Sub(p.sentAt) > placementDelay
		if p.placement.Before(placement.Version) && resend {
			p.sent, p.sentAt = placement.Version, now
			lack = append(lack, p)
		} else {
			have = append(have, p)
		}
	}
	with := *s
	with.Placement = placement
	return []message{newMessage(s, have), newMessage(&with, lack)}
}

// isSource reports whether this host or one of its leaves is the controller that made the placement. The caller holds mu.
func (x *Exchanger) isSource(placement *Placement) bool {
	p := x.peers[placement.Controller]
	return placement.Controller == x.host || p != nil && p.link == leafLink
}

// newState returns an empty state with the next number.
func (x *Exchanger) newState() *State {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastNumber++
	return &State{Host: x.host, Boot: x.boot, Number: x.lastNumber, Addr: x.addr}
}

// Announce has changes sent that this host has read from the store. Other hosts have probably read them at the same time.
func (x *Exchanger) Announce() { x.announceWithin(maxAnnounceDelay) }

// Relay has changes sent at once that this host has received from another one for its leaves or for the mesh.
func (x *Exchanger) Relay() { x.announceWithin(0) }

func (x *Exchanger) announceWithin(delay time.Duration) {
	select {
	case x.announceRequested <- delay:
	default:
	}
}

// sendAnnouncements sends partial states when Announce or Relay asks for them. One change answers the store's watches of
// many hosts at once: each waits for a random delay, so that the announcements of the first hosts make those of the others
// needless.
func (x *Exchanger) sendAnnouncements(ctx context.Context, conn *net.UDPConn) {
	for {
		var delay time.Duration
		select {
		case delay = <-x.announceRequested:
		case <-ctx.Done():
			return
		}
		if delay > 0 && !sleep.For(ctx, rand.N(delay)) {
			return
		}
		x.send(ctx, conn, x.partialStates())
	}
}

// partialStates returns the announcements of what the audiences may not know.
func (x *Exchanger) partialStates() (out []message) {
	placement := x.handlers.Placement()
	for _, to := range []storewatch.Audience{storewatch.ToMesh, storewatch.ToLeaves} {
		s := x.newState()
		s.Kind = Partial
		changes := x.handlers.FillPartialState(s, to)
		x.mu.Lock()
		receivers := x.receivers(to)
		messages := x.withPlacement(s, receivers, placement, to)
		if !changes { // for those without a placement, the configuration is the only news
			messages[0] = newMessage(s, x.behind(receivers, s.ConfigVersion, to))
		}
		out = append(out, messages...)
		x.mu.Unlock()
	}
	return out
}

// behind returns the receivers whose configuration is older than the version, as far as this host knows. Where another host
// of the mesh has the version, that one has announced it to the mesh. The caller holds mu.
func (x *Exchanger) behind(receivers []*peer, version int64, to storewatch.Audience) (out []*peer) {
	for _, p := range receivers {
		switch {
		case p.configVersion < version:
			out = append(out, p)
		case to == storewatch.ToMesh && p.link == meshLink:
			return nil
		}
	}
	return out
}

// send sends messages, no faster than the host's link takes beside its requests.
func (x *Exchanger) send(ctx context.Context, conn *net.UDPConn, messages []message) {
	pending := 0.0 // bytes sent since the last pause
	for _, m := range messages {
		if len(m.receivers) == 0 {
			continue
		}
		data, err := encode(m.state)
		if err != nil {
			x.log.Error("state not sent", "error", err.Error())
			continue
		}
		for _, addr := range m.receivers {
			if pause := time.Duration(pending / x.bytesPerSecond * float64(time.Second)); pause >= minPause {
				if !sleep.For(ctx, pause) {
					return
				}
				pending = 0
			}
			if _, err := conn.WriteToUDP(data, addr); err != nil {
				x.log.Debug("state not sent", "addr", addr.String(), "error", err.Error())
			}
			pending += float64(len(data))
		}
	}
}
