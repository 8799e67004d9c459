// Package peers exchanges states between hosts: each host broadcasts its state to all others in datagrams, several times
// a second with few hosts. The next state makes up for a lost one. Hosts also call each other by net/rpc.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/orglimit"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sleep"
	"cuminhook.org/cuminhook/lib/storewatch"
)

const (
	// baseInterval is the time between two states of a host while there are few hosts.
	baseInterval = 200 * time.Millisecond
	// baseIntervalHosts sets how the interval grows with the number of hosts, to limit the rate at which a host receives
	// states: with n hosts it is n/baseIntervalHosts times baseInterval, rounded down and at least one.
	baseIntervalHosts = 16
	// maxInterval bounds the interval from above.
	maxInterval = time.Second
	// unreachableIntervals is the number of intervals without a state after which a host counts as unreachable.
	unreachableIntervals = 4
	// minUnreachableTimeout is the shortest time without a state after which a host counts as unreachable.
	minUnreachableTimeout = 1500 * time.Millisecond
	// placementResendInterval is the time after which an unchanged placement is sent again.
	placementResendInterval = 800 * time.Millisecond
	// socketRetryDelay is the delay after a failed socket operation.
	socketRetryDelay = 20 * time.Millisecond
	// sendBatchSize is the number of hosts to which a state is sent at once. The hosts' links are narrow and drop datagrams
	// of larger bursts.
	sendBatchSize = 8
	// maxAnnounceDelay bounds the random delay before a host announces a change. Datagrams arrive within a few
	// milliseconds, so most hosts that saw the change at the same time receive an announcement before their delay ends.
	maxAnnounceDelay = 100 * time.Millisecond
	// announceBatchDelay is the delay between two batches of a partial state.
	announceBatchDelay = 2 * time.Millisecond
	// removeTimeout is the time without a state after which a host without an entry in the store is removed.
	removeTimeout = 5 * time.Second
	// maxDatagramBytes bounds an encoded state.
	maxDatagramBytes = 60 << 10
)

// Placement is the controller's knowledge of the models that are loaded at each target.
type Placement struct {
	Epoch       int64                         `json:"e"`           // of the controller's lease
	Residencies map[string]registry.Residency `json:"r,omitempty"` // by target
}

// State is what a host broadcasts about itself.
type State struct {
	Host          string                   `json:"h"`
	Boot          uint64                   `json:"b"` // new for each start
	Number        uint64                   `json:"n"` // increases with each state since the start
	ConfigVersion int64                    `json:"c"` // version of the configuration in force
	Demand        orglimit.Report          `json:"d,omitempty"`
	Loads         map[string]balance.Load  `json:"l,omitempty"` // requests in flight from this host, by target
	EngineLoad    map[string]float64       `json:"w,omitempty"` // milliseconds of engine time a second, by model
	AdapterRates  map[string]float64       `json:"a,omitempty"` // requested rate: requests a second, by model/adapter
	Suspects      []string                 `json:"u,omitempty"` // targets that this host finds unresponsive
	Changes       storewatch.TargetChanges `json:"v,omitzero"`  // recent changes of targets
	Term          int64                    `json:"t,omitempty"` // epoch of the placement lease that this host holds
	Placement     *Placement               `json:"p,omitempty"` // set by the controller only
	Addr          string                   `json:"x"`           // IP:port of datagrams and calls
	// Partial marks a partial state, which carries changes only: ConfigVersion and Changes. It is sent soon after a change.
	Partial bool `json:"f,omitempty"`
}

// Entry is what a host writes about itself into the store.
type Entry struct {
	Addr string `json:"addr"` // IP:port of datagrams and calls
	Zone string `json:"zone"`
}

// Handlers provide the content of this host's states and receive those of other hosts.
type Handlers struct {
	FillState        func(*State)      // fills in a full state of this host
	FillPartialState func(*State) bool // fills in a partial state; false: the others know it all, don't send it
	OnState          func(*State)      // called with each state received from another host
	OnUnreachable    func(host string) // called when a host has become unreachable
	// OnHostCount is called when a number of hosts changes: n known hosts, of which some are reachable, this one
	// included in both. The interval is the time between two states of a host.
	OnHostCount func(n, reachable int, interval time.Duration)
	RPC         map[string]any // services for calls of other hosts, by name
}

// Exchanger exchanges states between this host and the others.
type Exchanger struct {
	host     string
	addr     string
	handlers Handlers
	log      *slog.Logger
	boot     uint64 // random number of this start

	mu             sync.Mutex
	peers          map[string]*peer // guarded by mu; by host
	hostCount      int              // guarded by mu; known hosts as last reported, this one included
	reachableCount int              // guarded by mu; reachable hosts as last reported, this one included
	lastNumber     uint64           // guarded by mu; number of the latest state

	announceRequested chan struct{}
	sentPlacement     *Placement // placement as last sent; used by broadcast only
	sentPlacementAt   time.Time
}

// peer is another host.
type peer struct {
	addr          *net.UDPAddr
	listed        bool // has an entry in the store
	boot          uint64
	number        uint64
	receivedAt    time.Time
	reachable     bool
	configVersion int64 // version of the configuration in force at the peer
}

// New returns the exchanger of the host. Run listens at addr (IP:port), in UDP and TCP.
func New(host, addr string, handlers Handlers, log *slog.Logger) *Exchanger {
	return &Exchanger{
		host: host, addr: addr, handlers: handlers, log: log, boot: rand.Uint64(), peers: map[string]*peer{}, hostCount: 1,
		announceRequested: make(chan struct{}, 1),
	}
}

// SetEntries installs the encoded entries of the hosts in the store, by host.
func (x *Exchanger) SetEntries(entries map[string][]byte) {
	x.mu.Lock()
	for host, p := range x.peers {
		_, p.listed = entries[host]
	}
	for host, value := range entries {
		if host == x.host {
			continue
		}
		var e Entry
		err := json.Unmarshal(value, &e)
		var addr *net.UDPAddr
		if err == nil {
			addr, err = net.ResolveUDPAddr("udp", e.Addr)
		}
		if err != nil {
			x.log.Warn("host entry not decoded", "host", host, "error", err.Error())
			continue
		}
		p := x.peers[host]
		if p == nil {
			p = &peer{}
			x.peers[host] = p
		}
		p.addr, p.listed = addr, true
	}
	x.mu.Unlock()
	x.reportHostCount()
}

// reportHostCount reports the numbers of known and of reachable hosts if one of them has changed.
func (x *Exchanger) reportHostCount() {
	x.mu.Lock()
	count, reachable := len(x.peers)+1, 1
	for _, p := range x.peers {
		if p.reachable {
			reachable++
		}
	}
	changed := count != x.hostCount || reachable != x.reachableCount
	x.hostCount, x.reachableCount = count, reachable
	x.mu.Unlock()
	if changed {
		x.log.Info("hosts", "count", count, "reachable", reachable)
		x.handlers.OnHostCount(count, reachable, x.Interval())
	}
}

// Addr returns the address (IP:port) for calls to a host, or false if the host is not known.
func (x *Exchanger) Addr(host string) (string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if host == x.host {
		return x.addr, true
	}
	p := x.peers[host]
	if p == nil {
		return "", false
	}
	return p.addr.String(), true
}

// ConfigVersion returns the configuration version in the latest state of a host, or 0 if the host is not known.
func (x *Exchanger) ConfigVersion(host string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[host]; p != nil {
		return p.configVersion
	}
	return 0
}

// Run exchanges states and answers calls until ctx ends or a socket cannot be opened.
func (x *Exchanger) Run(ctx context.Context) error {
	udp, err := net.ResolveUDPAddr("udp", x.addr)
	if err != nil {
		return fmt.Errorf("peers: %q: %w; set peers to an IP:port of this host", x.addr, err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return fmt.Errorf("peers: %w; choose an address of this host that is free", err)
	}
	ln, err := net.Listen("tcp", x.addr)
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("peers: %w; choose an address of this host that is free", err)
	}
	server := rpc.NewServer()
	for name, service := range x.handlers.RPC {
		if err := server.RegisterName(name, service); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(conn.Close(), ln.Close())
	})
	group.Go(func() error { x.receiveStates(ctx, conn); return nil })
	group.Go(func() error { x.sendStates(ctx, conn); return nil })
	group.Go(func() error { x.sendPartialStates(ctx, conn); return nil })
	group.Go(func() error { x.acceptCalls(ctx, ln, server); return nil })
	return group.Wait()
}

// acceptCalls serves the connections of other hosts' calls until ctx ends.
func (x *Exchanger) acceptCalls(ctx context.Context, ln net.Listener, server *rpc.Server) {
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			x.logAndWait(ctx, "connection not accepted", err)
			continue
		}
		go server.ServeConn(conn)
	}
}

// logAndWait logs a failed socket operation and waits for socketRetryDelay, unless ctx has ended.
func (x *Exchanger) logAndWait(ctx context.Context, msg string, err error) {
	if ctx.Err() == nil {
		x.log.Warn(msg, "error", err.Error())
		sleep.For(ctx, socketRetryDelay)
	}
}

// receiveStates handles datagrams until ctx ends.
func (x *Exchanger) receiveStates(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := conn.ReadFromUDP(buf)
		if err != nil {
			x.logAndWait(ctx, "datagram not received", err)
			continue
		}
		s, err := decode(buf[:size])
		if err != nil {
			x.log.Warn("datagram not decoded", "bytes", size, "error", err.Error())
			continue
		}
		x.handleState(s)
	}
}

// handleState passes a received state on, unless it is this host's own or a newer one of its sender came first. It adds a
// sender that is not known yet.
func (x *Exchanger) handleState(s *State) {
	if s.Host == x.host {
		return
	}
	x.mu.Lock()
	p := x.peers[s.Host]
	if p == nil { // its entry has not been read yet
		addr, err := netip.ParseAddrPort(s.Addr)
		if err != nil {
			x.mu.Unlock()
			x.log.Warn("state has no valid address", "peer", s.Host, "error", err.Error())
			return
		}
		p = &peer{addr: net.UDPAddrFromAddrPort(addr)}
		x.peers[s.Host] = p
	}
	if p.boot == s.Boot && s.Number <= p.number {
		x.mu.Unlock()
		return
	}
	back := !p.reachable
	p.boot, p.number, p.receivedAt, p.reachable, p.configVersion = s.Boot, s.Number, time.Now(), true, s.ConfigVersion
	x.mu.Unlock()
	if back {
		x.log.Info("host reachable", "peer", s.Host)
	}
	x.handlers.OnState(s)
}

// sendStates broadcasts the state of this host in each interval until ctx ends.
func (x *Exchanger) sendStates(ctx context.Context, conn *net.UDPConn) {
	for ctx.Err() == nil {
		x.expirePeers(time.Now())
		x.broadcast(ctx, conn, x.Interval())
	}
}

// Interval returns the time between two states of a host.
func (x *Exchanger) Interval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return min(maxInterval, baseInterval*time.Duration(max(1, (len(x.peers)+1)/baseIntervalHosts)))
}

// broadcast sends the state to every host, in batches spread over the interval. Each batch gets a current state.
func (x *Exchanger) broadcast(ctx context.Context, conn *net.UDPConn, interval time.Duration) {
	addrs := x.addrs()
	batches := (len(addrs) + sendBatchSize - 1) / sendBatchSize
	var placement *Placement
	for i := range max(1, batches) {
		s := x.currentState()
		if i == 0 {
			placement = x.placementToSend(s.Placement, time.Now())
		}
		s.Placement = placement
		x.sendTo(conn, s, addrs[min(len(addrs), i*sendBatchSize):min(len(addrs), (i+1)*sendBatchSize)])
		select {
		case <-time.After(interval / time.Duration(max(1, batches))):
		case <-ctx.Done():
			return
		}
	}
}

// addrs returns the addresses of all other hosts.
func (x *Exchanger) addrs() []*net.UDPAddr {
	x.mu.Lock()
	defer x.mu.Unlock()
	addrs := make([]*net.UDPAddr, 0, len(x.peers))
	for _, p := range x.peers {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// currentState returns a full state of this host.
func (x *Exchanger) currentState() *State {
	s := x.newState()
	x.handlers.FillState(s)
	return s
}

// newState returns an empty state with the next number.
func (x *Exchanger) newState() *State {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastNumber++
	return &State{Host: x.host, Boot: x.boot, Number: x.lastNumber, Addr: x.addr}
}

// Announce has a partial state sent within maxAnnounceDelay if there are changes to announce.
func (x *Exchanger) Announce() {
	select {
	case x.announceRequested <- struct{}{}:
	default:
	}
}

// sendPartialStates sends partial states when Announce asks for them. One change answers the store's watches of many
// hosts at once: each waits for a random delay, so that the announcements of the first hosts make those of the others
// needless.
func (x *Exchanger) sendPartialStates(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-x.announceRequested:
		case <-ctx.Done():
			return
		}
		if !sleep.For(ctx, rand.N(maxAnnounceDelay)) {
			return
		}
		s := x.newState()
		if s.Partial = true; !x.handlers.FillPartialState(s) {
			continue
		}
		addrs := x.addrs()
		for len(addrs) > 0 && ctx.Err() == nil {
			size := min(len(addrs), sendBatchSize)
			x.sendTo(conn, s, addrs[:size])
			addrs = addrs[size:]
			sleep.For(ctx, announceBatchDelay)
		}
	}
}

// Reachable returns the other hosts that are reachable, in no particular order.
func (x *Exchanger) Reachable() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for host, p := range x.peers {
		if p.reachable {
			out = append(out, host)
		}
	}
	return out
}

// Known returns the other hosts that are known, reachable or not, in no particular order.
func (x *Exchanger) Known() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]string, 0, len(x.peers))
	for host := range x.peers {
		out = append(out, host)
	}
	return out
}

// NewestConfigVersion returns the newest configuration version of the other hosts, or 0 without one.
func (x *Exchanger) NewestConfigVersion() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	var newest int64
	for _, p := range x.peers {
		newest = max(newest, p.configVersion)
	}
	return newest
}

// sendTo sends a state to the addresses. Failures are logged only.
func (x *Exchanger) sendTo(conn *net.UDPConn, s *State, addrs []*net.UDPAddr) {
	if len(addrs) == 0 {
		return
	}
	data, err := encode(s)
	if err != nil {
		x.log.Error("state not sent", "error", err.Error())
		return
	}
	for _, addr := range addrs {
		if _, err := conn.WriteToUDP(data, addr); err != nil {
			x.log.Debug("state not sent", "addr", addr.String(), "error", err.Error())
		}
	}
}

// placementToSend returns the placement if it has changed or is due to be sent again, or nil.
func (x *Exchanger) placementToSend(p *Placement, now time.Time) *Placement {
	if p == nil {
		x.sentPlacement = nil
		return nil
	}
	same := x.sentPlacement != nil && x.sentPlacement.Epoch == p.Epoch &&
		reflect.DeepEqual(x.sentPlacement.Residencies, p.Residencies)
	if same && now.Sub(x.sentPlacementAt) < placementResendInterval {
		return nil
	}
	x.sentPlacement, x.sentPlacementAt = p, now
	return p
}

// expirePeers marks hosts as unreachable, or removes them, if their last state is too old.
func (x *Exchanger) expirePeers(now time.Time) {
	var unreachable []string
	interval := x.Interval()
	x.mu.Lock()
	for host, p := range x.peers {
		if p.reachable && now.Sub(p.receivedAt) > max(minUnreachableTimeout, unreachableIntervals*interval) {
			p.reachable = false
			unreachable = append(unreachable, host)
		}
		if !p.listed && now.Sub(p.receivedAt) > removeTimeout {
			delete(x.peers, host)
		}
	}
	x.mu.Unlock()
	for _, host := range unreachable {
		x.log.Warn("host unreachable", "peer", host)
		x.handlers.OnUnreachable(host)
	}
	x.reportHostCount()
}

// Call calls a net/rpc method of the host on a new connection. When ctx ends, it gives up the call and closes the
// connection, which may never deliver an answer.
func (x *Exchanger) Call(ctx context.Context, host, method string, args, reply any) error {
	addr, ok := x.Addr(host)
	if !ok {
		return fmt.Errorf("peers: host %q is not known", host)
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	select {
	case call := <-client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
