// Package peers exchanges states between hosts in datagrams, several times a second with few hosts. The next state makes up
// for a lost one. Up to minMeshHosts hosts send their states to each other; in larger fleets the hosts of a mesh do so with
// the sums over themselves and their leaves (see topology). Hosts also call each other by net/rpc.
package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/aggregate"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/sleep"
	"cuminhook.org/cuminhook/lib/storewatch"
)

const (
	// meshInterval is the time between two states of a host while all hosts belong to the mesh.
	meshInterval = 200 * time.Millisecond
	// leafInterval is that time in fleets with leaves. A change passes up to three states on its way.
	leafInterval = 300 * time.Millisecond
	// unreachableIntervals is the number of intervals without a state after which a host counts as unreachable.
	unreachableIntervals = 4
	// minUnreachableTimeout is the shortest time without a state after which a host counts as unreachable.
	minUnreachableTimeout = 1500 * time.Millisecond
	// aggregatorTimeout is the time without a state of its aggregator after which a leaf tries another one, and
	// aggregatorRetryDelay the time for which it then leaves that one out.
	aggregatorTimeout    = 1500 * time.Millisecond
	aggregatorRetryDelay = 5 * time.Second
	// aggregatorForgetTimeout is the time after which a leaf that finds no other aggregator no longer uses what its former
	// one reported. It covers two tries.
	aggregatorForgetTimeout = 4 * time.Second
	// placementDelay is the time that a placement takes to reach a host and to be installed. A host whose later state still
	// lacks it has not received it.
	placementDelay = 100 * time.Millisecond
	// socketRetryDelay is the delay after a failed socket operation.
	socketRetryDelay = 20 * time.Millisecond
	// linkFraction is the fraction of the link's rate at which states are sent: a link drops datagrams of larger bursts.
	linkFraction = 0.4
	// minPause is the shortest pause between datagrams; shorter ones are saved up.
	minPause = 2 * time.Millisecond
	// maxAnnounceDelay bounds the random delay before a host announces a change that it has read from the store. Datagrams
	// arrive within a few milliseconds, so most hosts that saw the change at the same time receive an announcement before
	// their delay ends.
	maxAnnounceDelay = 100 * time.Millisecond
	// maxPollers is the number of hosts that poll the store for the fleet, so that some are left when several are killed at
	// once; allPollHosts is the number of hosts up to which all of them do.
	maxPollers   = 5
	allPollHosts = 8
	// removeTimeout is the time without a state and without an entry in the store after which a host is removed.
	removeTimeout = 5 * time.Second
	// maxDatagramBytes bounds an encoded state.
	maxDatagramBytes = 60 << 10
)

// Entry is what a host writes about itself into the store.
type Entry struct {
	Addr string `json:"addr"` // IP:port of datagrams and calls
	Zone string `json:"zone"`
	Pass string `json:"pass,omitempty"` // IP:port of requests that other hosts pass on; empty: none are taken
	Key  string `json:"key,omitempty"`  // that the sender of such a request has to know; new for each start
}

// Fleet is what a host knows of the fleet.
type Fleet struct {
	Known     []string      // the other hosts that are known, reachable or not
	Reachable int           // hosts whose states arrive, summed or not, this one included
	Mesh      int           // reachable hosts of the mesh, this one included if it belongs to it
	Leaf      bool          // this host is a leaf
	Poller    bool          // this host polls the store for the fleet
	Pollers   int           // hosts that do so
	Interval  time.Duration // between two states of a host
	// Spread is the time in which a state reaches all hosts unless datagrams are lost.
	Spread time.Duration
}

// Handlers provide the content of this host's states and receive those of other hosts.
type Handlers struct {
	FillState func(*State) // fills in a full state of this host
	// FillPartialState fills in changes that the audience may not know; false: there are none.
	FillPartialState func(*State, storewatch.Audience) bool
	Placement        func() *Placement // the newest placement that this host knows, or nil
	OnState          func(*State)      // called with each state received from another host
	OnUnreachable    func(host string) // called when the states of a host no longer arrive here
	OnFleet          func(Fleet)       // called when the fleet, as this host knows it, has changed
	// OnAggregatorSilent is called when this host, a leaf, leaves a silent aggregator: it may have missed what others announced.
	OnAggregatorSilent func()
	OnMesh             func()         // called when other hosts than before belong to the mesh; may be nil
	OnMessage          func([]byte)   // called with each message that another host has sent by SendMessage; it must not block
	RPC                map[string]any // services for calls of other hosts, by name
}

// Exchanger exchanges states between this host and the others.
type Exchanger struct {
	host     string
	zone     string
	addr     string
	handlers Handlers
	log      *slog.Logger
	boot     uint64 // random number of this start
	updateMu sync.Mutex

	bytesPerSecond float64 // at which states are sent
	farIntervals   int     // Config.FarInterval, at least one

	mu               sync.Mutex
	peers            map[string]*peer     // guarded by mu; by host
	topology         *topology            // guarded by mu
	topologyOutdated bool                 // guarded by mu; hosts came or went since the topology was worked out
	sum              *aggregate.Sum       // guarded by mu; of the states that count, under the names of memberName
	aggregator       string               // guarded by mu; of this host while it is a leaf
	chosenAt         time.Time            // guarded by mu; when the aggregator was chosen
	avoid            map[string]time.Time // guarded by mu; aggregators that were silent: until when they are left out
	fleet            Fleet                // guarded by mu; as last reported
	lastNumber       uint64               // guarded by mu; number of the latest state
	rounds           int                  // guarded by mu; rounds of full states sent
	storeLost        bool                 // guarded by mu; this host cannot read the store
	conn             *net.UDPConn         // guarded by mu; nil before Run

	announceRequested chan time.Duration // the longest delay before the announcement
}

// link is how the states of a peer count at this host.
type link uint8

const (
	noLink         link = iota // they don't: they reach this host in the sums of others
	meshLink                   // both hosts belong to the mesh
	leafLink                   // the peer is a leaf of this host
	aggregatorLink             // this host is a leaf of the peer
)

// peer is another host.
type peer struct {
	addr          *net.UDPAddr
	zone          string
	pass, key     string    // of its entry
	listed        bool      // has an entry in the store
	unlistedSince time.Time // when its entry was first missing
	boot          uint64
	formerBoot    uint64 // of the start before; its states may arrive late
	number        uint64
	receivedAt    time.Time
	link          link
	hosts         int   // hosts that its states cover
	storeLost     bool  // it cannot read the store
	configVersion int64 // version of the configuration in force at the peer
	placement     PlacementVersion
	sent          PlacementVersion // placement that was last sent to it
	sentAt        time.Time
}

// Config are the settings of an Exchanger.
type Config struct {
	Host     string
	Zone     string
	Addr     string  // IP:port at which Run listens, in UDP and TCP
	LinkMbps float64 // rate of the host's link in Mbit/s
	// FarInterval is the number of intervals between two states to a host of the mesh in another zone, in a fleet with leaves. Zero
	// counts as one.
	FarInterval int
}

// New returns an exchanger that knows no other host.
func New(cfg Config, handlers Handlers, log *slog.Logger) *Exchanger {
	host, zone, addr := cfg.Host, cfg.Zone, cfg.Addr
	return &Exchanger{
		bytesPerSecond: linkFraction * cfg.LinkMbps * 1e6 / 8, farIntervals: max(1, cfg.FarInterval),
		host: host, zone: zone, addr: addr, handlers: handlers, log: log, boot: rand.Uint64(), peers: map[string]*peer{},
		topology: newTopology(map[string]string{host: zone}), sum: aggregate.New(), avoid: map[string]time.Time{},
		announceRequested: make(chan time.Duration, 1),
	}
}

// SetEntries installs the encoded entries of the hosts in the store, by host.
func (x *Exchanger) SetEntries(entries map[string][]byte) {
	now := time.Now()
	x.mu.Lock()
	for host, p := range x.peers {
		if _, listed := entries[host]; !listed && p.listed {
			p.listed, p.unlistedSince = false, now
		}
	}
	for host, value := range entries {
		if host == x.host {
			continue
		}
		e, addr, err := parseEntry(value)
		if err != nil {
			x.log.Warn("host entry not decoded", "host", host, "error", err.Error())
			continue
		}
		p := x.peers[host]
		if p == nil {
			p = &peer{}
			x.peers[host] = p
		}
		x.topologyOutdated = x.topologyOutdated || p.zone != e.Zone
		p.addr, p.zone, p.listed, p.pass, p.key = addr, e.Zone, true, e.Pass, e.Key
	}
	x.mu.Unlock()
	x.update(now)
}

// parseEntry decodes the entry of a host. Names are not resolved: that takes seconds where no name server answers.
func parseEntry(value []byte) (e Entry, addr *net.UDPAddr, err error) {
	if err := json.Unmarshal(value, &e); err != nil {
		return e, nil, err
	}
	ap, err := registry.ParseAddr(e.Addr)
	if err != nil {
		return e, nil, err
	}
	return e, net.UDPAddrFromAddrPort(ap), nil
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
	x.mu.Lock()
	x.conn = conn
	x.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(conn.Close(), ln.Close())
	})
	group.Go(func() error { x.receiveStates(ctx, conn); return nil })
	group.Go(func() error { x.sendStates(ctx, conn); return nil })
	group.Go(func() error { x.sendAnnouncements(ctx, conn); return nil })
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
		if size > 0 && buf[0] == messageMark {
			if x.handlers.OnMessage != nil {
				x.handlers.OnMessage(bytes.Clone(buf[1:size]))
			}
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

// messageMark is the first byte of a message. No state begins with it: in compressed data it stands for a block of a type that does not exist.
const messageMark = 0x07

// SendMessage sends a host a message of its own, which may be lost.
func (x *Exchanger) SendMessage(host string, data []byte) error {
	x.mu.Lock()
	conn, addr := x.conn, (*net.UDPAddr)(nil)
	if p := x.peers[host]; p != nil {
		addr = p.addr
	}
	x.mu.Unlock()
	if conn == nil || addr == nil {
		return fmt.Errorf("peers: host %q is not known", host)
	}
	_, err := conn.WriteToUDP(append([]byte{messageMark}, data...), addr)
	return err
}

// PassEntries returns the entries of the other hosts that take requests, by host.
func (x *Exchanger) PassEntries() map[string]Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]Entry{}
	for host, p := range x.peers {
		if p.listed && p.pass != "" && p.key != "" {
			out[host] = Entry{Zone: p.zone, Pass: p.pass, Key: p.key}
		}
	}
	return out
}

// OthersReach reports whether some other host is not known to reach no target.
func (x *Exchanger) OthersReach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	hosts, cut := x.sum.Counts(func(name string) bool { return name != selfMember })
	return hosts > cut
}

// Candidate is a host of the mesh in the order of a key.
type Candidate struct {
	Host      string
	Reachable bool      // as far as this host knows; leaves take all for reachable
	Heard     time.Time // when its latest state arrived
}

// Candidates returns the first n hosts of the mesh in an order that depends on the key and is the same at all hosts that know the same fleet.
func (x *Exchanger) Candidates(key string, n int) []Candidate {
	x.mu.Lock()
	defer x.mu.Unlock()
	mesh := slices.Clone(x.topology.mesh)
	sortByHash(mesh, key)
	inMesh := x.topology.inMesh[x.host]
	var out []Candidate
	for _, host := range mesh[:min(n, len(mesh))] {
		c := Candidate{Host: host, Reachable: host == x.host || !inMesh}
		if p := x.peers[host]; p != nil && inMesh {
			c.Reachable, c.Heard = p.link == meshLink, p.receivedAt
		}
		out = append(out, c)
	}
	return out
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
