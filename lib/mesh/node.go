package mesh

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/peer"
)

// Node is the member of the mesh that this program runs.
type Node struct {
	cfg       Config
	store     kv.Store
	hostList  hostlist.List
	reader    *manifest.Reader
	log       *slog.Logger
	clock     func() instant
	metrics   *nodeMetrics
	pool      *pool
	server    *rpc.Server
	transport Transport

	snapshot atomic.Pointer[confview.Snapshot] // mu is held for writes

	stateMu     sync.Mutex
	stateSource *manifest.Loaded // configuration whose state stateBytes encodes; guarded by stateMu
	stateSeq    int64            // sequence number of stateBytes; guarded by stateMu
	stateBytes  []byte           // guarded by stateMu

	mu      sync.Mutex
	recency recency           // guarded by mu
	members members           // guarded by mu
	seeds   map[string]string // member id by seed address, guarded by mu
	// manifestVersion is the version of the manifest key at the installed revision; zero if unknown; guarded by mu.
	manifestVersion    kv.Version
	recentManifests    map[int64]*manifest.Manifest // newest manifests by revision, guarded by mu
	hostListHash       uint64                       // guarded by mu
	hostListReadAt     instant                      // when the host list was read; guarded by mu
	fetching           map[string]bool              // fetches in progress by kind and address, guarded by mu
	exchanging         map[string]bool              // addresses with an exchange in progress, guarded by mu
	subscribers        map[chan struct{}]struct{}   // guarded by mu
	conns              map[net.Conn]struct{}        // accepted connections, guarded by mu
	announceCount      int64                        // number of announcements made by this node, guarded by mu
	lastExchangeFailed bool                         // the last exchange failed, guarded by mu
	watcherIndex       int                          // rotates through the watchers of the zone, guarded by mu
	runCtx             context.Context              // context of Run, nil before; guarded by mu
	runGroup           *errgroup.Group              // goroutines of Run, guarded by mu
}

var (
	_ confview.View      = (*Node)(nil)
	_ peer.Caller        = (*Node)(nil)
	_ peer.Registrar     = (*Node)(nil)
	_ manifest.Announcer = (*Node)(nil)
)

// New returns a node that takes no part in the mesh until Run is called.
func New(cfg Config, deps Deps) (*Node, error) {
	switch {
	case cfg.Host == "" || cfg.Zone == "" || cfg.Listen == "":
		return nil, eris.New("mesh: Host, Zone and Listen are required; set them from the settings")
	case cfg.Role != RoleGateway && cfg.Role != RoleController && cfg.Role != RoleAdmin:
		return nil, eris.Errorf("mesh: unknown role %q; use gateway, controller or admin", cfg.Role)
	case deps.Store == nil || deps.HostList == nil:
		return nil, eris.New("mesh: Store and HostList are required")
	}
	deps = withDefaults(deps)
	n := &Node{
		cfg: cfg, store: deps.Store, hostList: deps.HostList, reader: manifest.NewReader(), log: deps.Log, clock: deps.Clock,
		transport: deps.Transport, server: rpc.NewServer(), seeds: map[string]string{}, hostListReadAt: never,
		recentManifests: map[int64]*manifest.Manifest{}, fetching: map[string]bool{}, exchanging: map[string]bool{},
		subscribers: map[chan struct{}]struct{}{}, conns: map[net.Conn]struct{}{},
	}
	self := record{ID: MemberID(cfg.Host, cfg.Role), Role: cfg.Role, Zone: cfg.Zone, Addr: cfg.Listen, Boot: deps.NewBootID()}
	n.recency = newRecency(self.ID, n.clock())
	n.members = newMembers(self, deps.Rand)
	n.snapshot.Store(emptySnapshot())
	n.metrics = newMetrics(deps.Metrics, n)
	n.pool = newPool(deps.Transport, n.metrics, n.clock)
	if err := n.server.RegisterName("Mesh", &service{n}); err != nil {
		return nil, eris.Wrap(err, "mesh: register")
	}
	return n, nil
}

// withDefaults returns d with defaults for the optional dependencies that are not set.
func withDefaults(d Deps) Deps {
	if d.Transport == nil {
		d.Transport = TCP{}
	}
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if d.Log == nil {
		d.Log = slog.Default()
	}
	if d.NewBootID == nil {
		d.NewBootID = uuid.NewString
	}
	if d.Clock == nil {
		start := time.Now()
		d.Clock = func() instant { return time.Since(start) }
	}
	return d
}

// Register registers the methods of rcvr as an RPC service. It must be called before Run.
func (n *Node) Register(service string, rcvr any) error {
	return eris.Wrapf(n.server.RegisterName(service, rcvr), "mesh: register %s", service)
}

// Run takes part in the mesh until ctx ends. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	ln, err := n.transport.Listen(ctx, n.cfg.Listen)
	if err != nil {
		return eris.Wrapf(err, "mesh: listen on %s; choose a free address", n.cfg.Listen)
	}
	g, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.runCtx, n.runGroup = ctx, g
	n.mu.Unlock()
	g.Go(func() error { return n.accept(ctx, ln) })
	g.Go(func() error { <-ctx.Done(); n.shutdown(ln); return nil })
	g.Go(func() error { return n.exchangeLoop(ctx) })
	g.Go(func() error { return n.extraExchangeLoop(ctx) })
	g.Go(func() error { return n.statusLoop(ctx) })
	g.Go(func() error { return n.manifestLoop(ctx) })
	g.Go(func() error { return n.viewLoop(ctx) })
	g.Go(func() error { return n.hostsLoop(ctx) })
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// NotifyLeaving informs the watchers of the zone and a few other members that this member is leaving. The node
// continues to run until the context of Run ends.
func (n *Node) NotifyLeaving(ctx context.Context) {
	n.mu.Lock()
	n.members.self.Leaving = true
	now := n.clock()
	peers := n.members.watchers(n.cfg.Zone, now)
	peers = append(peers, n.members.randomLive(notifyFanout, now, peers...)...)
	n.mu.Unlock()
	var g errgroup.Group
	for _, id := range peers {
		g.Go(func() error { n.exchange(ctx, n.addr(id), false); return nil })
	}
	_ = g.Wait() // exchange logs its errors
}

// spawn runs fn in the background with the context of Run. It does nothing before Run and after its end.
func (n *Node) spawn(fn func(ctx context.Context)) {
	n.mu.Lock()
	ctx, group := n.runCtx, n.runGroup
	n.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return
	}
	group.Go(func() error { fn(ctx); return nil })
}

// accept serves incoming connections until ctx ends.
func (n *Node) accept(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			n.log.Warn("mesh: accept failed", "error", err)
			if err := sleep(ctx, pollRetryDelay); err != nil {
				return err
			}
			continue
		}
		m := &meteredConn{Conn: conn, metrics: n.metrics}
		n.mu.Lock()
		n.conns[m] = struct{}{}
		n.mu.Unlock()
		n.spawn(func(context.Context) {
			n.server.ServeConn(m)
			n.mu.Lock()
			delete(n.conns, m)
			n.mu.Unlock()
		})
	}
}

// shutdown closes the listener and all connections.
func (n *Node) shutdown(ln net.Listener) {
	ln.Close()
	n.pool.close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

// Call calls a method of another member. It returns ErrUnknownMember joined with peer.ErrUnreachable if the member's
// address is unknown, peer.ErrUnreachable if the call was not sent, peer.ErrTimeout if its outcome is unknown, and an
// rpc.ServerError if the method itself failed.
func (n *Node) Call(ctx context.Context, member, method string, args, reply any) error {
	addr := n.addr(member)
	if addr == "" {
		return eris.Wrapf(errors.Join(peer.ErrUnreachable, ErrUnknownMember), "call %s", member)
	}
	return n.pool.call(ctx, addr, method, args, reply)
}

// addr returns the mesh address of a member, or "" if it is unknown.
func (n *Node) addr(member string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if member == n.members.self.ID {
		return n.cfg.Listen
	}
	if m, ok := n.members.byID[member]; ok {
		return m.Addr
	}
	for _, h := range n.snapshot.Load().Hosts {
		if h.ID == member && h.Role == hostlist.RoleEntry {
			return h.Addr
		}
	}
	return ""
}

// sleep waits for d or until ctx ends. It creates no timer of zero length: in a synctest bubble, several such timers
// that expire at once while they are selected crash the race detector of Go 1.26.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
