// Package entryhost assembles the process of an entry host: the filters that requests pass, the views of store, targets and
// peers that the filters use, and this host's part in placement.
package entryhost

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
	"cuminhook.org/cuminhook/lib/filter/classify"
	"cuminhook.org/cuminhook/lib/filter/orgrate"
	"cuminhook.org/cuminhook/lib/filter/relay"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/orglimit"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/placer"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/storewatch"
	"cuminhook.org/cuminhook/lib/workload"
)

const (
	// leasePrefix is the key prefix of the placement lease.
	leasePrefix = "cuminhook/placement"
	// leaseWait is how long a candidate's call waits for the end of another holder's lease. It is bounded because the
	// store may never answer a call that it accepted in an outage.
	leaseWait = 2 * time.Second
	// rpcConfig is the name of the net/rpc service from which hosts read a newer configuration of a peer.
	rpcConfig = "Config"
	// catchUpDelay is the delay before reading a configuration from a peer, so that the host's own watch can deliver it
	// first.
	catchUpDelay = 700 * time.Millisecond
	// catchUpTimeout bounds the call that reads a configuration from a peer.
	catchUpTimeout = time.Second
	// maxHeaderBytes bounds the request line and header of a request.
	maxHeaderBytes = 20 << 10
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 5 << 20
	// maxBufferedBytes bounds the bodies of all requests in memory.
	maxBufferedBytes = 64 << 20
	// backgroundStopTimeout bounds the wait for background work to end after the last request.
	backgroundStopTimeout = 300 * time.Millisecond
	// readTimeout bounds the arrival of a request. It is the write timeout too.
	readTimeout = 10 * time.Second
	// idleTimeout is above every idle timeout that operators set for callers, since callers reuse connections up to theirs.
	idleTimeout = 2 * time.Minute
	// maxConns bounds the callers' connections. It leaves file descriptors for connections to targets.
	maxConns = 2500
)

// Store is the platform's store: reads, writes and leases, and the feed of changes.
type Store interface {
	kv.Store
	kv.Feed
}

// Config holds the settings and dependencies of a node.
type Config struct {
	Settings   Settings
	Store      Store
	Codec      storewatch.Codec
	Protocol   passthrough.Protocol
	Engines    orders.Client
	Log        *slog.Logger
	RequestLog *slog.Logger // log of requests; nil: Log
	Metrics    *metrics.Set
}

// Host is the process of one entry host.
type Host struct {
	cfg          Config
	log          *slog.Logger
	balancer     *balance.Balancer
	limiter      *orglimit.Limiter
	retries      *retry.Budget
	peers        *peers.Exchanger
	storeWatcher *storewatch.Watcher
	meter        *workload.Meter
	placer       *placer.Placer
	role         *placementRole
	server       *pipeline.Server
	catalog      atomic.Pointer[catalog.Catalog]
	catchingUp   atomic.Bool // a configuration is being read from a peer
	targetsRead  atomic.Bool // a list of targets has been read
	stopping     atomic.Bool
}

// New returns a node. It opens no connections before Run.
func New(cfg Config) *Host {
	s := cfg.Settings
	if cfg.RequestLog == nil {
		cfg.RequestLog = cfg.Log
	}
	n := &Host{
		cfg: cfg, log: cfg.Log, balancer: balance.New(s.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		limiter: orglimit.New(time.Now()), meter: workload.New(), retries: retry.NewBudget(s.RetryRatio, s.RetrySlack),
	}
	n.role = newPlacementRole(n)
	n.placer = placer.New(placer.Config{
		Host: s.Host, Client: cfg.Engines, ShouldCampaign: n.role.shouldCampaign, LoadRateFactor: s.Placement.LoadsOvershoot,
		Demand: n.role.totalDemand, Suspects: n.role.agreedSuspects,
		StateInterval: func() time.Duration { return n.peers.Interval() }, Publish: n.role.applyLocalResidency,
		Lease: lease.NewWithOptions(cfg.Store, leasePrefix, s.Host, s.Placement.Lease,
			lease.Options{Wait: leaseWait, Clock: bootclock.Now}),
		Log: cfg.Log, Metrics: cfg.Metrics,
	})
	n.peers = peers.New(s.Host, s.Peers, peers.Handlers{
		FillState: n.fillState, FillPartialState: n.fillPartialState, OnState: n.handleState, OnUnreachable: n.removeHost, OnHostCount: n.setHosts,
		RPC: map[string]any{rpcPlacement: &placementService{n}, rpcConfig: &configService{n}},
	}, cfg.Log)
	n.storeWatcher = storewatch.New(cfg.Store, cfg.Codec, storewatch.Handlers{
		OnCatalog: n.setCatalog, OnTargets: n.setTargets, OnHosts: n.peers.SetEntries, Announce: n.peers.Announce,
	}, cfg.Log)
	n.server = pipeline.NewServer(pipeline.ServerConfig{
		First: n.filters(), MaxBody: maxBodyBytes, MaxBuffered: maxBufferedBytes, MaxHeader: maxHeaderBytes,
		ReadTimeout: readTimeout, WriteTimeout: readTimeout, IdleTimeout: idleTimeout, MaxConns: maxConns, FineRetryAfter: true,
		Log: cfg.Log, Set: cfg.Metrics,
	})
	return n
}

// filters returns the filters in the order in which requests pass them.
func (n *Host) filters() pipeline.Handler {
	h := relay.New(relay.Config{
		Protocol: n.cfg.Protocol, Client: forward.NewClient(n.cfg.Protocol, nil), Balancer: n.balancer, Retries: n.retries,
		Adapters: n.role, Demand: n.meter, Log: n.cfg.RequestLog, Metrics: n.cfg.Metrics,
	})
	h = orgrate.New(h, orgrate.Config{Limiter: n.limiter, Log: n.cfg.RequestLog})
	h = classify.New(h, classify.Config{Protocol: n.cfg.Protocol, Catalog: n.catalog.Load})
	return accesslog.New(h, accesslog.Config{Log: n.cfg.RequestLog, Set: n.cfg.Metrics})
}

// setCatalog applies a new configuration.
func (n *Host) setCatalog(c *catalog.Catalog) {
	n.balancer.SetCatalog(c)
	n.placer.SetCatalog(c)
	n.catalog.Store(c)
}

// setTargets applies a new list of targets.
func (n *Host) setTargets(list []*registry.Target) {
	n.balancer.SetTargets(list)
	n.placer.SetTargets(list)
	n.targetsRead.Store(true)
}

// setHosts applies new numbers of known and reachable hosts, and the time between two states of a host.
func (n *Host) setHosts(count, reachable int, interval time.Duration) {
	n.limiter.SetHosts(count, interval)
	n.retries.SetHosts(count)
	n.storeWatcher.SetHostCount(reachable)
}

// fillState fills in a full state of this host.
func (n *Host) fillState(s *peers.State) {
	now := time.Now()
	s.Changes = n.storeWatcher.TargetChanges(false)
	if c := n.catalog.Load(); c != nil {
		s.ConfigVersion = c.Version
	}
	s.Demand = n.limiter.Report(now)
	s.Loads = n.balancer.LocalLoads(now)
	s.EngineLoad, s.AdapterRates = n.meter.EngineLoad(now), n.meter.Adapters(now)
	s.Suspects = n.balancer.Suspects()
	s.Placement = n.role.currentPlacement()
	s.Term = n.placer.Epoch()
}

// fillPartialState fills in a partial state and reports whether it carries changes that no host has announced yet.
func (n *Host) fillPartialState(s *peers.State) bool {
	s.Changes = n.storeWatcher.TargetChanges(true)
	if c := n.catalog.Load(); c != nil {
		s.ConfigVersion = c.Version
	}
	return !s.Changes.Empty() || s.ConfigVersion > n.peers.NewestConfigVersion()
}

// handleState applies a state received from another host.
func (n *Host) handleState(s *peers.State) {
	if !s.Partial {
		n.limiter.ApplyReport(s.Host, s.Boot, s.Demand, time.Now())
		n.balancer.SetPeerLoads(s.Host, s.Loads)
		n.role.handleState(s)
	}
	n.storeWatcher.ApplyChanges(s.Changes)
	if c := n.catalog.Load(); s.ConfigVersion > 0 && (c == nil || s.ConfigVersion > c.Version) {
		n.catchUp(s.Host)
	}
}

// catchUp installs the configuration of a host that has a newer one. It also has the store polled at once, and read in
// full if the configuration is still missing after catchUpDelay: this host may have missed changes of targets too.
func (n *Host) catchUp(host string) {
	if !n.catchingUp.CompareAndSwap(false, true) {
		return
	}
	n.storeWatcher.PollNow()
	go func() {
		defer n.catchingUp.Store(false)
		time.Sleep(catchUpDelay)
		if c, s := n.catalog.Load(), n.peers.ConfigVersion(host); c != nil && s <= c.Version {
			return
		}
		n.storeWatcher.Refresh()
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
		defer cancel()
		var value []byte
		if err := n.peers.Call(ctx, host, rpcConfig+".Value", struct{}{}, &value); err != nil {
			n.log.Warn("configuration of a peer not read", "peer", host, "error", err.Error())
			return
		}
		n.storeWatcher.InstallConfig(value, host)
	}()
}

// configService serves the net/rpc calls of other hosts that read the configuration.
type configService struct{ n *Host }

// Value returns the configuration in force as the operator wrote it, or nil if there is none.
func (s *configService) Value(_ struct{}, reply *[]byte) error {
	*reply = s.n.storeWatcher.ConfigValue()
	return nil
}

// removeHost drops the loads, demand and suspects of an unreachable host.
func (n *Host) removeHost(host string) {
	n.balancer.SetPeerLoads(host, nil)
	n.role.removeHost(host)
}

// Ready reports whether the host can serve requests: it has a configuration and a list of targets, and is not stopping.
func (n *Host) Ready() bool {
	return n.catalog.Load() != nil && n.targetsRead.Load() && !n.stopping.Load()
}

// Run serves until ctx ends, and then lets open requests finish within Settings.StopLimit.
func (n *Host) Run(ctx context.Context) error {
	s := n.cfg.Settings
	callers, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose an address of this host that is free", err)
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return n.peers.Run(groupCtx) })
	group.Go(func() error { n.storeWatcher.Run(groupCtx); return nil })
	group.Go(func() error { n.role.run(groupCtx); return nil })
	registration, unregister := context.WithCancel(groupCtx)
	defer unregister()
	group.Go(func() error {
		peers.Register(registration, n.cfg.Store, storewatch.HostPrefix+s.Host, peers.Entry{Addr: s.Peers, Zone: s.Zone}, n.log)
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
	err = errors.Join(err, n.waitFor(group, backgroundStopTimeout))
	n.log.Info("stopped", "error", fmt.Sprint(err))
	return err
}

// waitFor waits for the background work to end, up to the limit. What still runs then can be abandoned safely.
func (n *Host) waitFor(group *errgroup.Group, limit time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(limit):
		n.log.Warn("background work did not end in time", "waited", limit.String())
		return nil
	}
}

// stop reports the host as not ready, waits StopDelay until load balancers send no new connections, and lets open
// requests finish.
func (n *Host) stop(ctx context.Context) error {
	n.log.Info("stopping", "signal", "term")
	n.stopping.Store(true)
	n.server.BeginStop()
	time.Sleep(n.cfg.Settings.StopDelay)
	limit, cancel := context.WithTimeout(ctx, n.cfg.Settings.StopLimit-n.cfg.Settings.StopDelay)
	defer cancel()
	return n.server.Stop(limit)
}
