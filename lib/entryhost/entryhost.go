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
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/aggregate"
	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/filter/accesslog"
	"cuminhook.org/cuminhook/lib/filter/classify"
	"cuminhook.org/cuminhook/lib/filter/orgrate"
	"cuminhook.org/cuminhook/lib/filter/relay"
	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/placer"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/ratekeeper"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/stopping"
	"cuminhook.org/cuminhook/lib/storewatch"
	"cuminhook.org/cuminhook/lib/targetrate"
	"cuminhook.org/cuminhook/lib/tcpopt"
	"cuminhook.org/cuminhook/lib/workload"
)

const (
	// leasePrefix is the key prefix of the placement lease.
	leasePrefix = "cuminhook/placement"
	// leaseWait is how long a candidate's call waits for the end of another holder's lease. It is bounded because the
	// store may never answer a call that it accepted in an outage.
	leaseWait = 2 * time.Second
	// catchUpDelay is the delay before reading a configuration from a peer, so that the host's own watch can deliver it
	// first.
	catchUpDelay = 700 * time.Millisecond
	// maxLeafCatchUpDelay bounds the random delay before a leaf does so; its aggregator serves one leaf after the other.
	maxLeafCatchUpDelay = 100 * time.Millisecond
	// catchUpTimeout bounds the call that reads a configuration from a peer.
	catchUpTimeout = time.Second
	// minBackgroundStop is the time that background work has to end, also if requests took all of the grace.
	minBackgroundStop = 50 * time.Millisecond
)

// Store is the platform's store: reads, writes and leases, and the feed of changes.
type Store interface {
	kv.Store
	kv.Feed
	// History returns what the store's answers have stated of its eras, by the boot clock.
	History() kv.History
}

// Config holds the settings and dependencies of a Host.
type Config struct {
	Settings   Settings
	Store      Store
	Codec      storewatch.Codec
	Protocol   passthrough.HostProtocol
	Dial       httpconn.Dialer // to targets; nil: TCP
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
	aside        *asideLog
	keepers      *ratekeeper.Keepers
	rates        *targetrate.Limits
	cold         *coldRole
	retries      *retry.Budget
	connections  *connections
	peers        *peers.Exchanger
	storeWatcher *storewatch.Watcher
	statements   *statements
	meter        *workload.Meter
	quarantine   *quarantineRole
	requests     *requestRole
	streams      *streamRole
	path         *pathRole
	brittle      *brittleRole
	placer       *placer.Placer
	role         *placementRole
	server       *pipeline.Server
	memory       *memory
	catalog      atomic.Pointer[catalog.Catalog]
	targets      atomic.Pointer[map[string]*registry.Target] // by address; never nil
	catchingUp   atomic.Bool                                 // a configuration is being read from a peer
	targetsRead  atomic.Bool                                 // a list of targets has been read
	stopping     atomic.Bool
	evacuated    atomic.Int64 // number of evacuated zones
	stop         *stopping.Stop
	settingsMu   sync.Mutex
	current      Settings // guarded by settingsMu; Config.Settings with what was reloaded since
}

// New returns a Host. It opens no connections before Run.
func New(cfg Config) *Host {
	s := cfg.Settings
	if cfg.RequestLog == nil {
		cfg.RequestLog = cfg.Log
	}
	rates := targetrate.New(time.Now(), newRandom())
	h := &Host{
		cfg: cfg, log: cfg.Log, rates: rates, stop: stopping.New(), current: s,
		meter: workload.New(), retries: retry.NewBudget(s.RetryRatio, s.RetrySlack),
	}
	h.path = newPathRole(h)
	h.connections = newConnections(&cfg, h.path.dialled)
	h.balancer = balance.New(s.Zone, h.connections, rates, newRandom())
	h.brittle = newBrittleRole(h.connections, func() { h.peers.Relay() }, cfg.Log)
	h.keepers = newKeepers(h)
	h.balancer.SetRegions(s.Zones)
	cfg.Metrics.NewGauge("cuminhook_evacuated_zones", func() float64 { return float64(h.evacuated.Load()) })
	h.cold = newColdRole(h)
	h.balancer.SetEvenLoad(s.EvenLoad)
	h.balancer.SetAside(s.SetAside)
	h.aside = newAsideLog(h.balancer, cfg.Log, cfg.Metrics)
	h.role = newPlacementRole(h)
	h.quarantine = newQuarantineRole(s.Host, cfg.Store, func() { h.peers.Relay() }, cfg.Log, cfg.Metrics)
	h.requests = newRequestRole(s.Host, cfg.Store, func() { h.peers.Relay() }, cfg.Log, cfg.Metrics)
	h.streams = newStreamRole(s.Host, cfg.Store, cfg.Codec, func() { h.peers.Relay() }, h.inTouch, cfg.Log)
	h.targets.Store(&map[string]*registry.Target{})
	h.placer = placer.New(placer.Config{
		Host: s.Host, Client: cfg.Engines, ShouldCampaign: h.role.shouldCampaign, Cut: h.path.Cut, LoadRateFactor: s.Placement.LoadsOvershoot,
		Waves: s.Placement.Waves, DemandTimeConstant: workload.AverageTimeConstant, LoadedBefore: h.role.loadedBefore,
		Demand: h.role.totalDemand, Suspects: h.role.agreedSuspects,
		Paused:        func(id string) bool { return h.balancer.Paused(id, time.Now()) },
		StateInterval: func() time.Duration { return h.peers.Fleet().Interval }, Publish: h.role.publish,
		Lease: lease.NewWithOptions(cfg.Store, leasePrefix, s.Host, s.Placement.Lease,
			lease.Options{Wait: leaseWait, Clock: bootclock.Now, History: cfg.Store.History}),
		Log: cfg.Log, Metrics: cfg.Metrics,
	})
	h.peers = peers.New(peers.Config{Host: s.Host, Zone: s.Zone, Addr: s.Peers, LinkMbps: s.LinkMbps, FarInterval: s.FarInterval}, peers.Handlers{
		FillState: h.fillState, FillPartialState: h.fillPartialState, Placement: h.role.latestPlacement,
		OnState: h.handleState, OnUnreachable: h.removeHost, OnFleet: h.setFleet,
		OnMesh: func() { h.keepers.CandidatesChanged(time.Now()) }, OnMessage: h.keepers.Handle,
		OnAggregatorSilent: func() { h.storeWatcher.PollNow() },
		RPC: map[string]any{
			rpcPlacement: &placementService{h},
			rpcStreams:   &streamService{h.streams.tracker},
			rpcConfig:    &configService{value: func() []byte { return h.storeWatcher.ConfigValue() }},
		},
	}, cfg.Log)
	h.streams.peers = h.peers
	h.storeWatcher = storewatch.New(cfg.Store, cfg.Codec, s.TargetHeartbeat, storewatch.Handlers{
		OnCatalog: h.setCatalog, OnTargets: h.setTargets, OnHosts: h.peers.SetEntries, OnZones: h.setEvacuations, OnQuarantine: h.quarantine.restore,
		OnRequests: h.requests.restore, OnStreams: h.streams.restore, OnRestored: h.forgetAllStored, Announce: h.peers.Announce,
	}, cfg.Log)
	h.statements = &statements{h.storeWatcher, h.balancer, h.cold, h.brittle, cfg.Log, cfg.Metrics}
	if source, ok := cfg.Engines.(orders.StatedSource); ok {
		source.OnStated(h.statements.ofOrders)
	}
	h.memory = newMemory(s, cfg.Log, cfg.Metrics)
	filters := h.filters()
	h.server, h.path.server = pipeline.NewServer(h.serverConfig(filters)), h.path.newServer(filters)
	h.memory.export(h.server)
	return h
}

// filters returns the filters in the order in which requests pass them.
func (h *Host) filters() pipeline.Handler {
	handler := relay.New(relay.Config{
		Protocol: h.cfg.Protocol, Client: h.connections.client, Balancer: h.balancer, Retries: h.retries,
		Placement: h.role, Demand: h.meter, Rates: h.rates, Statements: h.statements, Quarantine: h.quarantine.detector,
		Requests: h.requests.detector, Streams: h.streams, OnClaim: h.requests.spread, TargetAt: h.targetAt, Path: h.path, Admission: h.cfg.Settings.Admission,
		Stop: h.stop, Log: h.cfg.RequestLog, Metrics: h.cfg.Metrics,
	})
	handler = h.path.sender(handler)
	handler = orgrate.New(handler, orgrate.Config{Keepers: h.keepers, Log: h.cfg.RequestLog})
	handler = classify.New(handler, classify.Config{Protocol: h.cfg.Protocol, Catalog: h.catalog.Load})
	return accesslog.New(handler, accesslog.Config{Log: h.cfg.RequestLog, Metrics: h.cfg.Metrics})
}

// setCatalog applies a new configuration.
func (h *Host) setCatalog(c *catalog.Catalog) {
	h.connections.SetCatalog(c)
	h.rates.SetCatalog(c)
	h.balancer.SetCatalog(c)
	h.placer.SetCatalog(c)
	h.streams.setCatalog(c)
	h.catalog.Store(c)
	h.keepers.Retain(func(name string) bool { return c.OrganisationNamed(name) != nil })
	h.setLimits(c.Limits)
}

// setTargets applies a new list of targets. A target at an address of this host would send requests back to it.
func (h *Host) setTargets(list []*registry.Target) {
	s := h.cfg.Settings
	list = slices.DeleteFunc(list, func(t *registry.Target) bool {
		return t.Addr == s.Listen || t.Addr == s.Ready || t.Addr == s.Peers || t.Addr == s.Metrics
	})
	h.connections.SetTargets(list)
	if h.rates.SetTargets(list, time.Now()) {
		h.cold.announce()
	}
	h.streams.setTargets(list)
	h.balancer.SetTargets(list)
	h.placer.SetTargets(list)
	byAddr, incarnations := map[string]*registry.Target{}, map[string][]string{}
	for _, t := range list {
		if other := byAddr[t.Addr]; other == nil || t.Revision > other.Revision { // the address of one that has crashed may be used again
			byAddr[t.Addr] = t
		}
		incarnations[t.Service] = append(incarnations[t.Service], quarantine.Incarnation(t.ID, t.Started))
	}
	h.targets.Store(&byAddr)
	h.requests.detector.SetTargets(incarnations, time.Now())
	h.targetsRead.Store(true)
}

// inTouch reports whether this host reads the store, or hears from others, or is the only one.
func (h *Host) inTouch() bool {
	f := h.peers.Fleet()
	return !h.storeWatcher.StoreLost() || f.Reachable > 1 || len(f.Known) == 0
}

// targetAt returns the target that is known at an address, or nil.
func (h *Host) targetAt(addr string) *registry.Target { return (*h.targets.Load())[addr] }

// forgetAllStored has what hosts keep in the store written again, which may have lost it.
func (h *Host) forgetAllStored() {
	h.quarantine.forgetAllStored()
	h.requests.forgetAllStored()
}

// setEvacuations applies a change of the zones that are evacuated. The targets of a zone that returns are limited before they are used.
func (h *Host) setEvacuations(e storewatch.Evacuations) {
	h.rates.ZonesReturned(e.Returned, time.Now())
	h.balancer.SetEvacuated(e.Zones)
	h.placer.SetEvacuated(e.Zones)
	h.evacuated.Store(int64(len(e.Zones)))
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// setFleet applies what is newly known of the fleet.
func (h *Host) setFleet(f peers.Fleet) {
	h.keepers.SetHosts(len(f.Known)+1, f.Reachable)
	h.rates.SetHosts(len(f.Known)+1, f.Spread)
	h.rates.SetMembers(h.cfg.Settings.Host, f.Known, time.Now())
	h.balancer.SetHosts(len(f.Known) + 1)
	h.balancer.SetNewsDelay(f.Spread)
	h.retries.SetHosts(len(f.Known) + 1)
	h.connections.SetHosts(f.Known)
	h.storeWatcher.SetPolling(h.polling(f))
	h.role.setFleet(f)
	h.streams.setFleet(f)
}

const (
	// announceTime is the time that a change takes from the host that reads it to all others: a random delay, up to three
	// states, and the call that reads a configuration.
	announceTime = 800 * time.Millisecond
	// meshPollInterval and leafPollInterval are the poll intervals of hosts that are not pollers. They bound how long a host
	// that died counts: longer where it is one of many.
	meshPollInterval = 6 * time.Second
	leafPollInterval = time.Minute
)

// polling returns this host's part in polling the store.
func (h *Host) polling(f peers.Fleet) storewatch.Polling {
	within := min(h.cfg.Settings.DrainWithin, h.cfg.Settings.ConfigWithin, h.cfg.Settings.EvacuateWithin)
	p := storewatch.Polling{
		Poller: f.Poller, Pollers: f.Pollers, Window: within - announceTime - 2*(f.Spread-f.Interval)/3, Interval: meshPollInterval,
	}
	if f.Leaf {
		p.Interval = leafPollInterval
	}
	return p
}

// engineLoad returns the demand at this host by model, in milliseconds of engine time a second.
func (h *Host) engineLoad(now time.Time) map[string]float64 {
	load := h.meter.EngineLoad(now)
	if h.cfg.Settings.Placement.Waves {
		return workload.BySpeed(load, h.balancer.Slowness)
	}
	return load
}

// fillState fills in a full state of this host.
func (h *Host) fillState(s *peers.State) {
	now := time.Now()
	h.aside.update(now)
	s.Changes = h.storeWatcher.TargetChanges()
	if c := h.catalog.Load(); c != nil {
		s.ConfigVersion = c.Version
	}
	suspects, failures, cut := map[string]int{}, map[string]balance.Failures(nil), 0
	if !h.path.Doubtful() {
		for _, id := range h.balancer.Suspects(now) {
			suspects[id] = 1
		}
		failures = h.balancer.LocalFailures(now)
	}
	if h.path.NoPath() {
		cut = 1
	}
	s.Contribution = aggregate.Contribution{
		Hosts: 1, Demand: h.keepers.Report(now), TargetDemand: h.rates.Usage(now), Loads: h.balancer.LocalLoads(now), EngineLoad: h.engineLoad(now),
		AdapterRates: h.meter.Adapters(now), Cut: cut, Suspects: suspects, Failures: failures, Outcomes: h.quarantine.detector.Outcomes(now),
	}
	h.connections.updateDemand(h.balancer, now)
	s.TargetRates = h.rates.Statements(now)
	h.brittle.update(now)
	s.Brittle = h.brittle.Statements(now)
	h.cold.fill(s, now)
	h.streams.fill(s, now)
	spread := h.peers.Fleet().Spread
	s.Quarantine, s.Requests = h.quarantine.report(now, spread), h.requests.report(now, spread)
	s.Holder, s.PlacementVersion = h.role.holder(now)
	s.StoreLost = h.storeWatcher.StoreLost()
	h.cold.checkContact(!s.StoreLost, now)
}

// fillPartialState fills in a partial state and reports whether it carries changes that the audience may not know.
func (h *Host) fillPartialState(s *peers.State, to storewatch.Audience) bool {
	s.Changes = h.storeWatcher.NewTargetChanges(to)
	s.Quarantine, s.Requests = h.quarantine.news(to, time.Now()), h.requests.news(to, time.Now())
	cold, streams := h.cold.fillNews(s, to, time.Now()), h.streams.fillNews(s, to, time.Now())
	brittle := h.brittle.fillNews(s, to, time.Now())
	if c := h.catalog.Load(); c != nil {
		s.ConfigVersion = c.Version
	}
	return !s.Changes.Empty() || cold || streams || brittle || len(s.Quarantine.Quarantined)+len(s.Quarantine.Suspects) > 0 || !s.Requests.IsZero()
}

// handleState applies a state received from another host.
func (h *Host) handleState(s *peers.State) {
	now := time.Now()
	if s.Kind != peers.Partial {
		h.keepers.ApplyReport(s.Host, s.Boot, s.Demand, now)
		h.rates.ApplyUsage(s.Host, s.Boot, s.Hosts, s.TargetDemand, now)
		h.balancer.SetPeerLoads(s.Host, s.Loads)
		h.balancer.SetSuspects(s.Host, s.Suspects)
		h.balancer.SetPeerFailures(s.Host, s.Failures)
		h.quarantine.detector.SetPeerOutcomes(s.Host, &s.Outcomes)
		h.role.handleState(s, now)
	}
	h.rates.Merge(s.TargetRates, now)
	h.cold.merge(s, now)
	h.brittle.merge(s, now)
	h.quarantine.merge(s, now)
	h.requests.merge(s, now)
	h.streams.merge(s, now)
	relay := h.storeWatcher.ApplyChanges(s.Changes, s.Kind == peers.Up)
	if h.role.applyPlacement(s.Placement, now) || relay {
		h.peers.Relay()
	}
	if c := h.catalog.Load(); s.ConfigVersion > 0 && (c == nil || s.ConfigVersion > c.Version) {
		h.catchUp(s.Host)
	}
}

// catchUp installs the configuration of a host that has a newer one. A leaf reads it from that host. A host of the mesh has
// the store polled at once, and reads the configuration from the other host, and the store in full, if it is still missing
// after catchUpDelay: this host may have missed changes of targets too.
func (h *Host) catchUp(host string) {
	if !h.catchingUp.CompareAndSwap(false, true) {
		return
	}
	delay := catchUpDelay
	if h.peers.Fleet().Leaf {
		delay = rand.N(maxLeafCatchUpDelay)
	} else {
		h.storeWatcher.PollNow()
	}
	go func() {
		defer h.catchingUp.Store(false)
		time.Sleep(delay)
		if c, s := h.catalog.Load(), h.peers.ConfigVersion(host); c != nil && s <= c.Version {
			return
		}
		if delay == catchUpDelay {
			h.storeWatcher.Refresh()
		}
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
		defer cancel()
		value, err := h.readConfig(ctx, host)
		if err != nil {
			h.log.Warn("configuration of a peer not read", "peer", host, "error", err.Error())
			h.storeWatcher.PollNow()
			return
		}
		h.storeWatcher.InstallConfig(value, host)
	}()
}

// removeHost drops the loads, demand and suspects of an unreachable host.
func (h *Host) removeHost(host string) {
	h.rates.RemovePeer(host)
	h.balancer.SetPeerLoads(host, nil)
	h.balancer.SetSuspects(host, nil)
	h.balancer.SetPeerFailures(host, nil)
	h.quarantine.detector.SetPeerOutcomes(host, nil)
	h.role.removeHost(host)
}

// Ready reports whether the host can serve requests: it has a configuration and a list of targets, and is not stopping.
func (h *Host) Ready() bool {
	return h.catalog.Load() != nil && h.targetsRead.Load() && !h.stopping.Load()
}

// Run serves until ctx ends, and then lets open requests finish within Settings.Grace.
func (h *Host) Run(ctx context.Context) error {
	s := h.cfg.Settings
	listen := net.ListenConfig{Control: tcpopt.SetBuffers(receiveBuffer, sendBuffer)}
	callers, err := listen.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose an address of this host that is free", err)
	}
	var passed net.Listener
	if s.Pass != "" {
		if passed, err = listen.Listen(ctx, "tcp", s.Pass); err != nil {
			return errors.Join(fmt.Errorf("pass: %w; choose an address of this host that is free", err), callers.Close())
		}
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return h.peers.Run(groupCtx) })
	group.Go(func() error { h.storeWatcher.Run(groupCtx); return nil })
	group.Go(func() error { h.role.run(groupCtx); return nil })
	registration, unregister := context.WithCancel(groupCtx)
	defer unregister()
	group.Go(func() error {
		peers.Register(registration, h.cfg.Store, storewatch.HostPrefix+s.Host, peers.Entry{Addr: s.Peers, Zone: s.Zone, Pass: s.Pass, Key: h.path.key},
			h.log)
		return nil
	})
	group.Go(func() error { h.placer.Run(registration); return nil })
	group.Go(func() error {
		h.quarantine.persist(groupCtx, func() bool { return h.peers.Fleet().Poller })
		return nil
	})
	group.Go(func() error {
		h.requests.persist(groupCtx, func() bool { return h.peers.Fleet().Poller })
		return nil
	})
	group.Go(func() error {
		h.streams.persist(groupCtx, func() bool { return h.peers.Fleet().Poller })
		return nil
	})
	group.Go(func() error { return serveStatus(groupCtx, s.Ready, h.readyHandler()) })
	group.Go(func() error { return serveStatus(groupCtx, s.Metrics, h.metricsHandler()) })
	group.Go(func() error { return h.server.Serve(callers) })
	if passed != nil {
		group.Go(func() error { return h.path.server.Serve(passed) })
	}
	group.Go(func() error { h.path.Run(groupCtx); return nil })
	group.Go(func() error { h.memory.watch(groupCtx, h.server); return nil })
	h.log.Info("started", "listen", s.Listen, "peers", s.Peers, "store", s.Store)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	unregister()
	schedule := h.beginStop()
	err = h.finishRequests(background, schedule)
	cancel()
	err = errors.Join(err, h.waitFor(group, max(minBackgroundStop, time.Until(schedule.Exit))))
	h.log.Info("stopped", "error", fmt.Sprint(err))
	return err
}

// waitFor waits for the background work to end, up to the limit. What still runs then is abandoned: it is not
// worth a longer wait.
func (h *Host) waitFor(group *errgroup.Group, limit time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(limit):
		h.log.Warn("background work did not end in time", "waited", limit.String())
		return nil
	}
}

// beginStop reports the host as not ready and sets the times by which everything ends.
func (h *Host) beginStop() stopping.Schedule {
	h.settingsMu.Lock()
	s := h.current
	h.settingsMu.Unlock()
	schedule := stopping.NewSchedule(time.Now(), s.stopDelay(), s.Grace)
	h.log.Info("stopping", "signal", "term", "grace", s.Grace.String())
	h.stop.Begin(schedule)
	h.stopping.Store(true)
	h.server.BeginStop()
	h.path.server.BeginStop()
	return schedule
}

// finishRequests serves until admission ends, when load balancers send no new connections any more, and then lets open requests
// finish.
func (h *Host) finishRequests(ctx context.Context, schedule stopping.Schedule) error {
	time.Sleep(time.Until(schedule.Admission))
	limit, cancel := context.WithDeadline(ctx, schedule.Exit)
	defer cancel()
	group := errgroup.Group{}
	group.Go(func() error { return h.server.Stop(limit) })
	group.Go(func() error { return h.path.server.Stop(limit) })
	return group.Wait()
}
