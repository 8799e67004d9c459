// Package peers lets hosts tell each other what they do: each sends a datagram with its state to all others several
// times a second. A lost datagram is replaced by the next one.
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
	"cuminhook.org/cuminhook/lib/follow"
	"cuminhook.org/cuminhook/lib/orglimit"
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// period is the time between two states of a host while there are few hosts.
	period = 200 * time.Millisecond
	// fewHosts is the number of hosts up to which period holds. Beyond it the time grows, so that what a host receives
	// in a second stays the same.
	fewHosts = 16
	// maxPeriod bounds it.
	maxPeriod = time.Second
	// silentPeriods is the number of states in a row that may be missed before a host counts as unreachable.
	silentPeriods = 4
	// silentTime bounds the time without a state from below.
	silentTime = 1500 * time.Millisecond
	// placementTime is the time after which a placement that has not changed is sent again.
	placementTime = 800 * time.Millisecond
	// socketRetry is the pause after a failure of a socket.
	socketRetry = 20 * time.Millisecond
	// together is how many hosts are sent a state at the same time. Links of hosts are narrow, and drop what comes at once.
	together = 8
	// newsSpread bounds the time that a host waits before it tells others of a change. Datagrams arrive within a few
	// milliseconds, so that most hosts that see it at once hear of it before their wait ends.
	newsSpread = 100 * time.Millisecond
	// newsPause is the time between brief states to hosts that are told together.
	newsPause = 2 * time.Millisecond
	// forgetTime is the time without a state after which a host without an entry in the store counts as gone.
	forgetTime = 5 * time.Second
	// maxDatagram bounds a state in bytes.
	maxDatagram = 60 << 10
)

// Placement is what the controller tells the hosts.
type Placement struct {
	Epoch     int64                       `json:"e"`           // of its lease
	Residents map[string]registry.Holding `json:"r,omitempty"` // by target
}

// State is what a host tells the others.
type State struct {
	Host      string                  `json:"h"`
	Boot      uint64                  `json:"b"` // new for each start
	Number    uint64                  `json:"n"` // rises with each state of a start
	Config    int64                   `json:"c"` // version of the configuration in force
	Demand    orglimit.Report         `json:"d,omitempty"`
	Loads     map[string]balance.Load `json:"l,omitempty"` // in flight, by target
	Work      map[string]float64      `json:"w,omitempty"` // milliseconds of engine time a second, by model
	Wanted    map[string]float64      `json:"a,omitempty"` // requests a second, by model/adapter
	Suspects  []string                `json:"u,omitempty"` // targets that do not answer this host
	News      follow.News             `json:"v,omitzero"`  // targets that were seen coming or leaving
	Term      int64                   `json:"t,omitempty"` // epoch of the placement lease that this host holds
	Placement *Placement              `json:"p,omitempty"` // set by the controller
	Addr      string                  `json:"x"`           // IP:port of datagrams and calls
	// Brief states hold Config and News only. They are sent as soon as there is something to tell.
	Brief bool `json:"f,omitempty"`
}

// Entry is what a host writes about itself into the store.
type Entry struct {
	Addr string `json:"addr"` // IP:port of datagrams and calls
	Zone string `json:"zone"`
}

// Handlers connect the states with what they are made of.
type Handlers struct {
	Fill   func(*State)      // completes the state of this host
	Brief  func(*State) bool // completes a brief state; false: there is nothing that the others have not heard
	Heard  func(*State)      // a state of another host
	Silent func(host string) // a host has become unreachable
	// Hosts is told how many hosts exist and how many of them are heard, this one included, and the time between two
	// states of a host.
	Hosts func(n, heard int, period time.Duration)
	RPC   map[string]any // services for calls of other hosts, by name
}

// Node is this host among the others.
type Node struct {
	host string
	addr string
	on   Handlers
	log  *slog.Logger
	boot uint64

	mu     sync.Mutex
	peers  map[string]*peer // guarded by mu; by host
	count  int              // guarded by mu; hosts as last reported
	alive  int              // guarded by mu; reachable hosts as last reported
	number uint64           // guarded by mu; of the latest state

	news   chan struct{}
	sent   *Placement // as last sent
	sentAt time.Time
}

type peer struct {
	addr   *net.UDPAddr
	listed bool // has an entry in the store
	boot   uint64
	number uint64
	heard  time.Time
	alive  bool
	config int64 // version of its configuration
}

// New returns the node of the host, which listens at addr (IP:port).
func New(host, addr string, on Handlers, log *slog.Logger) *Node {
	return &Node{host: host, addr: addr, on: on, log: log, boot: rand.Uint64(), peers: map[string]*peer{}, count: 1, news: make(chan struct{}, 1)}
}

// SetEntries takes over the entries of the hosts in the store.
func (n *Node) SetEntries(entries map[string][]byte) {
	n.mu.Lock()
	for host, p := range n.peers {
		_, p.listed = entries[host]
	}
	for host, value := range entries {
		if host == n.host {
			continue
		}
		var e Entry
		err := json.Unmarshal(value, &e)
		var addr *net.UDPAddr
		if err == nil {
			addr, err = net.ResolveUDPAddr("udp", e.Addr)
		}
		if err != nil {
			n.log.Warn("entry names no host", "host", host, "error", err.Error())
			continue
		}
		p := n.peers[host]
		if p == nil {
			p = &peer{}
			n.peers[host] = p
		}
		p.addr, p.listed = addr, true
	}
	n.mu.Unlock()
	n.recount()
}

// recount reports the number of hosts if it changed.
func (n *Node) recount() {
	n.mu.Lock()
	count, alive := len(n.peers)+1, 1
	for _, p := range n.peers {
		if p.alive {
			alive++
		}
	}
	changed := count != n.count || alive != n.alive
	n.count, n.alive = count, alive
	n.mu.Unlock()
	if changed {
		n.log.Info("hosts", "count", count, "reachable", alive)
		n.on.Hosts(count, alive, n.Interval())
	}
}

// Addr returns the address for calls of a host.
func (n *Node) Addr(host string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host == n.host {
		return n.addr, true
	}
	p := n.peers[host]
	if p == nil {
		return "", false
	}
	return p.addr.String(), true
}

// Config returns the version of the configuration that a host last said to have.
func (n *Node) Config(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[host]; p != nil {
		return p.config
	}
	return 0
}

// Run exchanges states until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	udp, err := net.ResolveUDPAddr("udp", n.addr)
	if err != nil {
		return fmt.Errorf("peers: %q: %w; set peers to an IP:port of this host", n.addr, err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return fmt.Errorf("peers: %w; choose an address of this host that is free", err)
	}
	ln, err := net.Listen("tcp", n.addr)
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("peers: %w; choose an address of this host that is free", err)
	}
	server := rpc.NewServer()
	for name, service := range n.on.RPC {
		if err := server.RegisterName(name, service); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(conn.Close(), ln.Close())
	})
	group.Go(func() error { n.receive(ctx, conn); return nil })
	group.Go(func() error { n.send(ctx, conn); return nil })
	group.Go(func() error { n.sendNews(ctx, conn); return nil })
	group.Go(func() error { n.accept(ctx, ln, server); return nil })
	return group.Wait()
}

func (n *Node) accept(ctx context.Context, ln net.Listener, server *rpc.Server) {
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			n.retry(ctx, "call not accepted", err)
			continue
		}
		go server.ServeConn(conn)
	}
}

// retry logs a failure of a socket and waits a little, unless the node ends.
func (n *Node) retry(ctx context.Context, msg string, err error) {
	if ctx.Err() == nil {
		n.log.Warn(msg, "error", err.Error())
		pause.For(ctx, socketRetry)
	}
}

func (n *Node) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := conn.ReadFromUDP(buf)
		if err != nil {
			n.retry(ctx, "datagram not received", err)
			continue
		}
		s, err := decode(buf[:size])
		if err != nil {
			n.log.Warn("datagram not read", "bytes", size, "error", err.Error())
			continue
		}
		n.heard(s)
	}
}

// heard takes a state over unless a newer one came first.
func (n *Node) heard(s *State) {
	if s.Host == n.host {
		return
	}
	n.mu.Lock()
	p := n.peers[s.Host]
	if p == nil { // its entry has not been read yet
		addr, err := netip.ParseAddrPort(s.Addr)
		if err != nil {
			n.mu.Unlock()
			n.log.Warn("state names no address", "peer", s.Host, "error", err.Error())
			return
		}
		p = &peer{addr: net.UDPAddrFromAddrPort(addr)}
		n.peers[s.Host] = p
	}
	if p.boot == s.Boot && s.Number <= p.number {
		n.mu.Unlock()
		return
	}
	back := !p.alive
	p.boot, p.number, p.heard, p.alive, p.config = s.Boot, s.Number, time.Now(), true, s.Config
	n.mu.Unlock()
	if back {
		n.log.Info("host reachable", "peer", s.Host)
	}
	n.on.Heard(s)
}

func (n *Node) send(ctx context.Context, conn *net.UDPConn) {
	for ctx.Err() == nil {
		n.forget(time.Now())
		n.broadcast(ctx, conn, n.Interval())
	}
}

// Interval returns the time between two states of a host.
func (n *Node) Interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(maxPeriod, period*time.Duration(max(1, (len(n.peers)+1)/fewHosts)))
}

// broadcast sends a state to every host in the course of the interval.
func (n *Node) broadcast(ctx context.Context, conn *net.UDPConn, interval time.Duration) {
	addrs := n.addrs()
	chunks := (len(addrs) + together - 1) / together
	var placement *Placement
	for i := range max(1, chunks) {
		s := n.state()
		if i == 0 {
			placement = n.thin(s.Placement, time.Now())
		}
		s.Placement = placement
		n.sendTo(conn, s, addrs[min(len(addrs), i*together):min(len(addrs), (i+1)*together)])
		select {
		case <-time.After(interval / time.Duration(max(1, chunks))):
		case <-ctx.Done():
			return
		}
	}
}

// addrs returns the addresses of all other hosts.
func (n *Node) addrs() []*net.UDPAddr {
	n.mu.Lock()
	defer n.mu.Unlock()
	addrs := make([]*net.UDPAddr, 0, len(n.peers))
	for _, p := range n.peers {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// state returns the present state of this host.
func (n *Node) state() *State {
	s := n.numbered()
	n.on.Fill(s)
	return s
}

// numbered returns a state that follows all earlier ones.
func (n *Node) numbered() *State {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.number++
	return &State{Host: n.host, Boot: n.boot, Number: n.number, Addr: n.addr}
}

// Tell sends a brief state soon.
func (n *Node) Tell() {
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// sendNews sends brief states. One change answers the store's watches of many hosts at once: each waits for a time of its
// own, and the first ones spare the others the telling.
func (n *Node) sendNews(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-n.news:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, rand.N(newsSpread)) {
			return
		}
		s := n.numbered()
		if s.Brief = true; !n.on.Brief(s) {
			continue
		}
		addrs := n.addrs()
		for len(addrs) > 0 && ctx.Err() == nil {
			some := min(len(addrs), together)
			n.sendTo(conn, s, addrs[:some])
			addrs = addrs[some:]
			pause.For(ctx, newsPause)
		}
	}
}

// Reachable returns the hosts that are heard of.
func (n *Node) Reachable() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for host, p := range n.peers {
		if p.alive {
			out = append(out, host)
		}
	}
	return out
}

// Newest returns the newest version of a configuration that another host has.
func (n *Node) Newest() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var newest int64
	for _, p := range n.peers {
		newest = max(newest, p.config)
	}
	return newest
}

func (n *Node) sendTo(conn *net.UDPConn, s *State, addrs []*net.UDPAddr) {
	if len(addrs) == 0 {
		return
	}
	data, err := encode(s)
	if err != nil {
		n.log.Error("state not sent", "error", err.Error())
		return
	}
	for _, addr := range addrs {
		if _, err := conn.WriteToUDP(data, addr); err != nil {
			n.log.Debug("state not sent", "addr", addr.String(), "error", err.Error())
		}
	}
}

// thin returns the placement if the others need to hear it, or nil.
func (n *Node) thin(p *Placement, now time.Time) *Placement {
	if p == nil {
		n.sent = nil
		return nil
	}
	same := n.sent != nil && n.sent.Epoch == p.Epoch && reflect.DeepEqual(n.sent.Residents, p.Residents)
	if same && now.Sub(n.sentAt) < placementTime {
		return nil
	}
	n.sent, n.sentAt = p, now
	return p
}

// forget notices hosts that are unreachable or gone.
func (n *Node) forget(now time.Time) {
	var silent []string
	interval := n.Interval()
	n.mu.Lock()
	for host, p := range n.peers {
		if p.alive && now.Sub(p.heard) > max(silentTime, silentPeriods*interval) {
			p.alive = false
			silent = append(silent, host)
		}
		if !p.listed && now.Sub(p.heard) > forgetTime {
			delete(n.peers, host)
		}
	}
	n.mu.Unlock()
	for _, host := range silent {
		n.log.Warn("host unreachable", "peer", host)
		n.on.Silent(host)
	}
	n.recount()
}

// Call calls a method of the host on a connection of its own. A call that is not answered in time is given up with its
// connection, which may be silent for good.
func (n *Node) Call(ctx context.Context, host, method string, args, reply any) error {
	addr, ok := n.Addr(host)
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
