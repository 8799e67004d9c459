// Package node puts together what runs on an entry host: the filters that requests pass, the views of store, targets
// and peers that they decide on, and the placement duty.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/filter/accesslog"
	"cuminhook.org/cuminhook/lib/filter/frontdoor"
	"cuminhook.org/cuminhook/lib/filter/orgrate"
	"cuminhook.org/cuminhook/lib/filter/relay"
	"cuminhook.org/cuminhook/lib/follow"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/orglimit"
	"cuminhook.org/cuminhook/lib/passage"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/placer"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/workload"
)

const (
	// leasePrefix is the key prefix of the placement lease.
	leasePrefix = "cuminhook/placement"
	// leaseWait is how long a candidate's call waits for the end of another holder's lease. A call that the store took in
	// an outage may never be answered.
	leaseWait = 2 * time.Second
	// rpcConfig is the name of the service that hosts without access to the store call at their peers.
	rpcConfig = "Config"
	// catchUpDelay lets a host's own watch deliver a configuration first.
	catchUpDelay = 700 * time.Millisecond
	// catchUpTime bounds the call.
	catchUpTime = time.Second
	// maxHeader bounds a request line and header in bytes.
	maxHeader = 20 << 10
	// maxBody bounds a body in bytes.
	maxBody = 5 << 20
	// maxBuffered bounds the bodies of all requests in memory in bytes.
	maxBuffered = 64 << 20
	// endTime bounds the end of background work after the last request.
	endTime = 300 * time.Millisecond
	// readTimeout bounds the arrival of a request.
	readTimeout = 10 * time.Second
	// idleTimeout is above every idle limit that operators set, since callers may use a connection up to that.
	idleTimeout = 2 * time.Minute
	// maxConns leaves descriptors for connections to targets.
	maxConns = 2500
)

// Store is the platform's store as a node uses it.
type Store interface {
	kv.Store
	kv.Feed
}

// Config is what a node is made of.
type Config struct {
	Settings Settings
	Store    Store
	Codec    follow.Codec
	Door     passage.Door
	Engines  orders.Client
	Log      *slog.Logger
	Requests *slog.Logger // lines of requests; nil: Log
	Set      *metrics.Set
}

// Node is one entry host.
type Node struct {
	cfg      Config
	log      *slog.Logger
	book     *balance.Book
	limiter  *orglimit.Limiter
	retries  *retry.Budget
	peers    *peers.Node
	follower *follow.Follower
	meter    *workload.Meter
	placer   *placer.Placer
	duty     *duty
	server   *pipeline.Server
	catalog  atomic.Pointer[catalog.Catalog]
	catching atomic.Bool // a configuration is being read from a peer
	targets  atomic.Bool // a list of targets has been read
	stopping atomic.Bool
}

// New returns a node. Nothing is dialled before Run.
func New(cfg Config) *Node {
	s := cfg.Settings
	if cfg.Requests == nil {
		cfg.Requests = cfg.Log
	}
	n := &Node{
		cfg: cfg, log: cfg.Log, book: balance.New(s.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		limiter: orglimit.New(time.Now()), meter: workload.New(), retries: retry.NewBudget(s.RetryRatio, s.RetrySlack),
	}
	n.duty = newDuty(n)
	n.placer = placer.New(placer.Config{
		Host: s.Host, Client: cfg.Engines, Due: n.duty.due, Overshoot: s.Placement.LoadsOvershoot, Demand: n.duty.demand, Suspects: n.duty.suspects,
		Period: func() time.Duration { return n.peers.Interval() }, Publish: n.duty.publish,
		Lease: lease.NewWith(cfg.Store, leasePrefix, s.Host, s.Placement.Lease, lease.Options{Wait: leaseWait, Clock: bootclock.Now}),
		Log:   cfg.Log, Set: cfg.Set,
	})
	n.peers = peers.New(s.Host, s.Peers, peers.Handlers{
		Fill: n.fill, Brief: n.brief, Heard: n.heard, Silent: n.silent, Hosts: n.setHosts,
		RPC: map[string]any{rpcPlacement: &placementService{n}, rpcConfig: &configService{n}},
	}, cfg.Log)
	n.follower = follow.New(cfg.Store, cfg.Codec, follow.Handlers{
		Catalog: n.setCatalog, Targets: n.setTargets, Hosts: n.peers.SetEntries, News: n.peers.Tell,
	}, cfg.Log)
	n.server = pipeline.NewServer(pipeline.ServerConfig{
		First: n.filters(), MaxBody: maxBody, MaxBuffered: maxBuffered, MaxHeader: maxHeader, ReadTimeout: readTimeout,
		WriteTimeout: readTimeout, IdleTimeout: idleTimeout, MaxConns: maxConns, FineRetryAfter: true,
		Log: cfg.Log, Set: cfg.Set,
	})
	return n
}

// filters returns the filters in the order in which requests pass them.
func (n *Node) filters() pipeline.Handler {
	h := relay.New(relay.Config{
		Door: n.cfg.Door, Client: forward.NewClient(n.cfg.Door, nil), Book: n.book, Retries: n.retries,
		Adapters: n.duty, Demand: n.meter, Log: n.cfg.Requests, Set: n.cfg.Set,
	})
	h = orgrate.New(h, orgrate.Config{Limiter: n.limiter, Log: n.cfg.Requests})
	h = frontdoor.New(h, frontdoor.Config{Door: n.cfg.Door, Catalog: n.catalog.Load})
	return accesslog.New(h, accesslog.Config{Log: n.cfg.Requests, Set: n.cfg.Set})
}

func (n *Node) setCatalog(c *catalog.Catalog) {
	n.book.SetCatalog(c)
	n.placer.SetCatalog(c)
	n.catalog.Store(c)
}

func (n *Node) setTargets(list []*registry.Target) {
	n.book.SetTargets(list)
	n.placer.SetTargets(list)
	n.targets.Store(true)
}

func (n *Node) setHosts(count, heard int, period time.Duration) {
	n.limiter.SetHosts(count, period)
	n.retries.SetHosts(count)
	n.follower.SetHosts(heard)
}

func (n *Node) fill(s *peers.State) {
	now := time.Now()
	s.News = n.follower.News(false)
	if c := n.catalog.Load(); c != nil {
		s.Config = c.Version
	}
	s.Demand = n.limiter.Report(now)
	s.Loads = n.book.Own(now)
	s.Work, s.Wanted = n.meter.Work(now), n.meter.Adapters(now)
	s.Suspects = n.book.Suspects()
	s.Placement = n.duty.placement()
	s.Term = n.placer.Term()
}

// brief completes a brief state unless others have told the hosts the same.
func (n *Node) brief(s *peers.State) bool {
	s.News = n.follower.News(true)
	if c := n.catalog.Load(); c != nil {
		s.Config = c.Version
	}
	return !s.News.Empty() || s.Config > n.peers.Newest()
}

func (n *Node) heard(s *peers.State) {
	if !s.Brief {
		n.limiter.SetPeer(s.Host, s.Boot, s.Demand, time.Now())
		n.book.SetPeer(s.Host, s.Loads)
		n.duty.heard(s)
	}
	n.follower.Hear(s.News)
	if c := n.catalog.Load(); s.Config > 0 && (c == nil || s.Config > c.Version) {
		n.catchUp(s.Host)
	}
}

// catchUp takes over the configuration of a host that has a newer one. The store is asked as well: it may have changes
// of targets too that did not reach this host.
func (n *Node) catchUp(host string) {
	if !n.catching.CompareAndSwap(false, true) {
		return
	}
	n.follower.Nudge()
	go func() {
		defer n.catching.Store(false)
		time.Sleep(catchUpDelay)
		if c, s := n.catalog.Load(), n.peers.Config(host); c != nil && s <= c.Version {
			return
		}
		n.follower.Refresh()
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTime)
		defer cancel()
		var value []byte
		if err := n.peers.Call(ctx, host, rpcConfig+".Value", struct{}{}, &value); err != nil {
			n.log.Warn("configuration of a peer not read", "peer", host, "error", err.Error())
			return
		}
		n.follower.Install(value, host)
	}()
}

// configService answers calls of other hosts.
type configService struct{ n *Node }

// Value returns the configuration in force as the operator wrote it.
func (s *configService) Value(_ struct{}, reply *[]byte) error {
	*reply = s.n.follower.Value()
	return nil
}

func (n *Node) silent(host string) {
	n.book.SetPeer(host, nil)
	n.duty.silent(host)
}

// Ready reports whether the host can serve requests.
func (n *Node) Ready() bool { return n.catalog.Load() != nil && n.targets.Load() && !n.stopping.Load() }

// Run serves until ctx ends, and then stops without cutting requests.
func (n *Node) Run(ctx context.Context) error {
	s := n.cfg.Settings
	callers, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose an address of this host that is free", err)
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return n.peers.Run(groupCtx) })
	group.Go(func() error { n.follower.Run(groupCtx); return nil })
	group.Go(func() error { n.duty.run(groupCtx); return nil })
	registration, unregister := context.WithCancel(groupCtx)
	defer unregister()
	group.Go(func() error {
		peers.Register(registration, n.cfg.Store, follow.HostPrefix+s.Host, peers.Entry{Addr: s.Peers, Zone: s.Zone}, n.log)
		return nil
	})
	group.Go(func() error { n.placer.Run(registration); return nil })
	group.Go(func() error { return serveStatus(groupCtx, s.Ready, n.readyHandler()) })
	group.Go(func() error { return serveStatus(groupCtx, s.Metrics, n.metricsHandler()) })
	group.Go(func() error { return n.server.Serve(callers) })
	n.log.Info("started", "listen", s.Listen, "peers", s.Peers, "store", s.Store)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	unregister()
	err = n.stop(background)
	cancel()
	err = errors.Join(err, n.waitFor(group, endTime))
	n.log.Info("stopped", "error", fmt.Sprint(err))
	return err
}

// waitFor waits for the background work, but not longer than the limit: nothing that is left is worth the wait.
func (n *Node) waitFor(group *errgroup.Group, limit time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(limit):
		n.log.Warn("background work not ended", "waited", limit.String())
		return nil
	}
}

// stop takes the host out of rotation, waits until no new connections come, and finishes open requests.
func (n *Node) stop(ctx context.Context) error {
	n.log.Info("stopping", "signal", "term")
	n.stopping.Store(true)
	n.server.BeginStop()
	time.Sleep(n.cfg.Settings.StopDelay)
	limit, cancel := context.WithTimeout(ctx, n.cfg.Settings.StopLimit-n.cfg.Settings.StopDelay)
	defer cancel()
	return n.server.Stop(limit)
}
