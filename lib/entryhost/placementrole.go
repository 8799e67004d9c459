package entryhost

import (
	"context"
	"errors"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/placer"
)

const (
	// maxPlacementAge is the age up to which the controller's placement is used. After that the targets' own entries are.
	maxPlacementAge = 2 * time.Second
	// ageCheckInterval is the time between two checks of the placement's age.
	ageCheckInterval = 250 * time.Millisecond
	// rpcPlacement is the name of the net/rpc service that hosts call at the controller.
	rpcPlacement = "Placement"
)

// errNoController means that this host knows of no controller.
var errNoController = errors.New("entryhost: no controller is known; retry when one holds the placement lease")

// placementRole connects placement with the other hosts, whichever of them is the controller: it collects their demand for
// the placer, and passes the controller's knowledge of loaded models to the balancer.
type placementRole struct {
	host          *Host
	campaignOrder *lease.CampaignOrder

	mu             sync.Mutex
	demandByHost   map[string]placer.Demand // guarded by mu; of the other reachable hosts
	suspectsByHost map[string][]string      // guarded by mu; targets that each other host suspects
	controller     string                   // guarded by mu; host that sent the latest placement, "" if it is too old
	epoch          int64                    // guarded by mu; of the latest placement
	receivedAt     time.Time                // guarded by mu; when the latest placement arrived
}

func newPlacementRole(h *Host) *placementRole {
	return &placementRole{
		host: h, campaignOrder: lease.NewCampaignOrder(h.cfg.Settings.Host, time.Now()),
		demandByHost: map[string]placer.Demand{}, suspectsByHost: map[string][]string{},
	}
}

// totalDemand returns the demand of callers at all reachable hosts, this one included.
func (r *placementRole) totalDemand() placer.Demand {
	now := time.Now()
	out := placer.Demand{EngineLoad: r.host.meter.EngineLoad(now), Adapters: r.host.meter.Adapters(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.demandByHost {
		for model, load := range s.EngineLoad {
			out.EngineLoad[model] += load
		}
		for adapter, rate := range s.Adapters {
			out.Adapters[adapter] += rate
		}
	}
	return out
}

// handleState applies the state of another host: its demand, suspects, term and placement.
func (r *placementRole) handleState(s *peers.State) {
	r.mu.Lock()
	r.suspectsByHost[s.Host] = s.Suspects
	r.demandByHost[s.Host] = placer.Demand{EngineLoad: s.EngineLoad, Adapters: s.AdapterRates}
	switch {
	case s.Term > 0:
		r.campaignOrder.HolderAlive(s.Term, time.Now())
	case s.Host == r.controller:
		r.campaignOrder.HolderResigned(r.epoch, time.Now())
	}
	p := s.Placement
	if p == nil || p.Epoch < r.epoch {
		r.mu.Unlock()
		return
	}
	r.controller, r.epoch, r.receivedAt = s.Host, p.Epoch, time.Now()
	r.mu.Unlock()
	r.host.balancer.SetResidency(p.Residencies)
}

// shouldCampaign reports whether this host should campaign for the placement lease.
func (r *placementRole) shouldCampaign() bool {
	return r.campaignOrder.ShouldCampaign(r.host.peers.Reachable(), time.Now())
}

// removeHost drops the demand and the suspects of an unreachable host.
func (r *placementRole) removeHost(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.demandByHost, host)
	delete(r.suspectsByHost, host)
}

// minSuspectingHosts is how many hosts have to suspect a target before its copies are replaced. A single host may just be
// cut off from it.
const minSuspectingHosts = 2

// agreedSuspects returns the targets that minSuspectingHosts or more hosts suspect. Waiting until the entries of these
// targets expire would take seconds longer.
func (r *placementRole) agreedSuspects() map[string]bool {
	counts := map[string]int{}
	for _, id := range r.host.balancer.Suspects() {
		counts[id]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.suspectsByHost {
		for _, id := range list {
			counts[id]++
		}
	}
	out := map[string]bool{}
	for id, n := range counts {
		if n >= minSuspectingHosts {
			out[id] = true
		}
	}
	return out
}

// currentPlacement returns the placement that this host broadcasts while it is the controller, or nil.
func (r *placementRole) currentPlacement() *peers.Placement {
	epoch, residents, ok := r.host.placer.Residents()
	if !ok {
		return nil
	}
	return &peers.Placement{Epoch: epoch, Residencies: residents}
}

// applyLocalResidency passes the placer's knowledge to this host's balancer while this host is the controller.
func (r *placementRole) applyLocalResidency() {
	epoch, residents, ok := r.host.placer.Residents()
	if !ok {
		return
	}
	r.mu.Lock()
	if epoch < r.epoch {
		r.mu.Unlock()
		return
	}
	r.controller, r.epoch, r.receivedAt = r.host.cfg.Settings.Host, epoch, time.Now()
	r.mu.Unlock()
	r.host.balancer.SetResidency(residents)
}

// run keeps the balancer's placement current until ctx ends: it applies this host's own one and drops one that is older
// than maxPlacementAge.
func (r *placementRole) run(ctx context.Context) {
	tick := time.NewTicker(ageCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.applyLocalResidency()
		r.mu.Lock()
		old := r.controller != "" && time.Since(r.receivedAt) > maxPlacementAge
		if old {
			r.host.log.Warn("no placement from the controller; using the targets' own entries",
				"controller", r.controller, "epoch", r.epoch)
			r.controller = ""
		}
		r.mu.Unlock()
		if old {
			r.host.balancer.SetResidency(nil)
		}
	}
}

// EnsureArgs names the adapter to load.
type EnsureArgs struct{ Service, Model, Adapter string }

// EnsureReply names the target at which the adapter is loaded.
type EnsureReply struct{ Target string }

// Ensure implements relay.AdapterLoader: it asks the controller to have the adapter loaded.
func (r *placementRole) Ensure(ctx context.Context, service, model, adapter string) error {
	r.mu.Lock()
	controller := r.controller
	r.mu.Unlock()
	if controller == "" {
		return errNoController
	}
	var target string
	var err error
	if controller == r.host.cfg.Settings.Host {
		target, err = r.host.placer.Ensure(ctx, service, model, adapter)
	} else {
		var reply EnsureReply
		err = r.host.peers.Call(ctx, controller, rpcPlacement+".Ensure", &EnsureArgs{service, model, adapter}, &reply)
		target = reply.Target
	}
	if err == nil {
		r.host.balancer.AddAdapter(target, model, adapter)
	}
	return err
}

// placementService serves the net/rpc calls of other hosts to the controller.
type placementService struct{ host *Host }

// ensureTimeout bounds a call, since the request that needs the adapter does not wait longer.
const ensureTimeout = 500 * time.Millisecond

// Ensure has an adapter loaded and returns its target.
func (s *placementService) Ensure(args *EnsureArgs, reply *EnsureReply) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), ensureTimeout)
	defer cancel()
	reply.Target, err = s.host.placer.Ensure(ctx, args.Service, args.Model, args.Adapter)
	return err
}
