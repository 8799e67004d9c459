package entryhost

import (
	"context"
	"errors"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/placer"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/residency"
)

const (
	// maxPlacementAge is the age up to which the controller's placement is used. After that the targets' own entries are.
	maxPlacementAge = 2 * time.Second
	// ageCheckInterval is the time between two checks of the placement's age.
	ageCheckInterval = 250 * time.Millisecond
	// planDelay is the time from a new demand at the controller until its plan is known at all hosts.
	planDelay = 250 * time.Millisecond
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
	demandByHost   map[string]placer.Demand  // guarded by mu; of the other hosts whose states arrive
	suspectsByHost map[string]map[string]int // guarded by mu; hosts that suspect a target, by host that reports them
	placement      *peers.Placement          // guarded by mu; the newest known, from this host or another one; may be nil
	placementAt    time.Time                 // guarded by mu; when the placement was installed here
	inUse          bool                      // guarded by mu; the balancer uses the placement
	holderHost     string                    // guarded by mu; last known holder of the placement lease
	holderEpoch    int64                     // guarded by mu; its epoch
	holderAlive    time.Time                 // guarded by mu; when it was last known to be alive
	endedEpoch     int64                     // guarded by mu; highest epoch that is known to have ended
	history        []knownPlacement          // guarded by mu; placements of the last residency.LoadWindow and the one before, the oldest first
	maxAge         time.Duration             // guarded by mu; age of the holder's last sign up to which the placement is used
}

// knownPlacement is a placement and the time from which on this host has known it.
type knownPlacement struct {
	at        time.Time
	placement *peers.Placement
}

// remember keeps the placement for loadedBefore. The caller holds mu.
func (r *placementRole) remember(p *peers.Placement, now time.Time) {
	r.history = append(r.history, knownPlacement{now, p})
	for len(r.history) > 1 && now.Sub(r.history[1].at) > residency.LoadWindow {
		r.history = r.history[1:]
	}
}

// loadedBefore returns the models that were loaded according to the newest placement that this host has known since before the time;
// nil if it has known none for so long.
func (r *placementRole) loadedBefore(at time.Time) map[string]registry.Residency {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.history) - 1; i >= 0; i-- {
		if !r.history[i].at.After(at) {
			return r.history[i].placement.Residencies
		}
	}
	return nil
}

func newPlacementRole(h *Host) *placementRole {
	return &placementRole{
		host: h, campaignOrder: lease.NewCampaignOrder(h.cfg.Settings.Host, time.Now()), maxAge: maxPlacementAge,
		demandByHost: map[string]placer.Demand{}, suspectsByHost: map[string]map[string]int{},
	}
}

// setFleet applies what is newly known of the fleet.
func (r *placementRole) setFleet(f peers.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxAge = maxPlacementAge + 2*(f.Spread-f.Interval)
}

// totalDemand returns the demand of callers at all reachable hosts, this one included.
func (r *placementRole) totalDemand() placer.Demand {
	now := time.Now()
	out := placer.Demand{EngineLoad: r.host.engineLoad(now), Adapters: r.host.meter.Adapters(now)}
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

// handleState applies the full state of another host: demand, suspects and what it knows of the holder of the lease.
func (r *placementRole) handleState(s *peers.State, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspectsByHost[s.Host] = s.Suspects
	r.demandByHost[s.Host] = placer.Demand{EngineLoad: s.EngineLoad, Adapters: s.AdapterRates}
	r.applyHolder(s.Holder, now)
}

// applyHolder applies what another host knows of the holder of the lease. The caller holds mu.
func (r *placementRole) applyHolder(o peers.Holder, now time.Time) {
	alive := now.Add(-time.Duration(o.AgeMS) * time.Millisecond)
	if o.Epoch > r.holderEpoch || o.Epoch > 0 && o.Epoch == r.holderEpoch && alive.After(r.holderAlive) {
		r.holderHost, r.holderEpoch, r.holderAlive = o.Host, o.Epoch, alive
		r.campaignOrder.HolderAlive(o.Epoch, alive)
	}
	if o.EndedEpoch > r.endedEpoch {
		r.endedEpoch = o.EndedEpoch
		r.campaignOrder.HolderResigned(o.EndedEpoch, now)
	}
}

// holder returns what this host knows of the holder of the lease, and the version of the newest placement.
func (r *placementRole) holder(now time.Time) (peers.Holder, peers.PlacementVersion) {
	epoch := r.host.placer.Epoch()
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.host.cfg.Settings.Host
	if epoch > 0 {
		r.holderHost, r.holderEpoch, r.holderAlive = self, epoch, now
	} else if r.holderHost == self {
		r.endedEpoch = max(r.endedEpoch, r.holderEpoch)
	}
	out := peers.Holder{EndedEpoch: r.endedEpoch}
	if r.holderEpoch > r.endedEpoch {
		out.Host, out.Epoch, out.AgeMS = r.holderHost, r.holderEpoch, now.Sub(r.holderAlive).Milliseconds()
	}
	var version peers.PlacementVersion
	if r.placement != nil {
		version = r.placement.Version
	}
	return out, version
}

// applyPlacement installs a placement received from another host if it is newer than the one that is known, and reports
// whether it is. It may be nil.
func (r *placementRole) applyPlacement(p *peers.Placement, now time.Time) bool {
	if p == nil {
		return false
	}
	r.mu.Lock()
	if r.placement != nil && !r.placement.Version.Before(p.Version) {
		r.mu.Unlock()
		return false
	}
	r.placement, r.placementAt, r.inUse = p, now, true
	r.remember(p, now)
	r.applyHolder(peers.Holder{Host: p.Controller, Epoch: p.Version.Epoch}, now)
	r.mu.Unlock()
	r.host.balancer.SetResidency(maps.Clone(p.Residencies))
	return true
}

// latestPlacement returns the newest placement that this host knows, or nil. While this host is the controller, it is its
// own.
func (r *placementRole) latestPlacement() *peers.Placement {
	r.updateOwnPlacement()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placement
}

// updateOwnPlacement makes the placer's knowledge the newest placement while this host is the controller, and reports whether
// it has changed.
func (r *placementRole) updateOwnPlacement() bool {
	now := time.Now()
	epoch, residents, ok := r.host.placer.Residents()
	expected, active := r.host.placer.Expected(now)
	if !ok || !active {
		return false
	}
	expectedMS := make(map[string]int64, len(expected))
	for key, at := range expected {
		expectedMS[key] = at.Sub(now).Milliseconds()
	}
	r.mu.Lock()
	old := r.placement
	if old != nil && (old.Version.Epoch > epoch || old.Version.Epoch == epoch && reflect.DeepEqual(old.Residencies, residents) &&
		slices.Equal(slices.Sorted(maps.Keys(old.ExpectedMS)), slices.Sorted(maps.Keys(expectedMS)))) {
		r.mu.Unlock()
		return false
	}
	version := peers.PlacementVersion{Epoch: epoch, Seq: 1}
	if old != nil && old.Version.Epoch == epoch {
		version.Seq = old.Version.Seq + 1
	}
	r.placement = &peers.Placement{
		Controller: r.host.cfg.Settings.Host, Version: version, Residencies: residents, ExpectedMS: expectedMS,
	}
	r.placementAt, r.inUse = now, true
	r.remember(r.placement, now)
	r.mu.Unlock()
	r.host.balancer.SetResidency(maps.Clone(residents))
	return true
}

// publish has a changed placement sent to the other hosts at once.
func (r *placementRole) publish() {
	if r.updateOwnPlacement() {
		r.host.peers.Relay()
	}
}

// shouldCampaign reports whether this host should campaign for the placement lease. Leaves do not, as long as they hear of
// the mesh.
func (r *placementRole) shouldCampaign() bool {
	if f := r.host.peers.Fleet(); f.Leaf && f.Mesh > 0 {
		return false
	}
	return r.campaignOrder.ShouldCampaign(r.host.peers.MeshPeers(), time.Now())
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
	if !r.host.path.Doubtful() {
		for _, id := range r.host.balancer.Suspects(time.Now()) {
			counts[id]++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, suspects := range r.suspectsByHost {
		for id, n := range suspects {
			counts[id] += n
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

// run keeps the balancer's placement current until ctx ends: it applies this host's own one, and has the balancer go by the
// targets' own entries while no sign of the controller arrives.
func (r *placementRole) run(ctx context.Context) {
	tick := time.NewTicker(ageCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.publish()
		r.checkAge(time.Now())
	}
}

// checkAge has the balancer use the newest placement as long as its controller is alive.
func (r *placementRole) checkAge(now time.Time) {
	own := r.host.placer.Epoch()
	r.mu.Lock()
	p := r.placement
	current := p != nil && (own == p.Version.Epoch ||
		r.holderEpoch == p.Version.Epoch && now.Sub(r.holderAlive) <= r.maxAge)
	changed := current != r.inUse
	r.inUse = current
	r.mu.Unlock()
	switch {
	case !changed:
	case current:
		r.host.balancer.SetResidency(maps.Clone(p.Residencies))
	default:
		r.host.log.Warn("no sign of the controller; using the targets' own entries",
			"controller", p.Controller, "epoch", p.Version.Epoch)
		r.host.balancer.SetResidency(nil)
	}
}

// EnsureArgs names the adapter to load.
type EnsureArgs struct{ Service, Model, Adapter string }

// EnsureReply names the target at which the adapter is loaded.
type EnsureReply struct{ Target string }

// Ensure implements relay.AdapterLoader: it asks the controller to have the adapter loaded.
func (r *placementRole) Ensure(ctx context.Context, service, model, adapter string) error {
	r.mu.Lock()
	controller := ""
	if r.inUse {
		controller = r.placement.Controller
	}
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

// ExpectedModel implements relay.Placement.
func (r *placementRole) ExpectedModel(service, model string, now time.Time) (at time.Time, loading bool) {
	reaction := r.Reaction()
	if reaction == 0 {
		return time.Time{}, false
	}
	r.mu.Lock()
	ms, loading := r.placement.ExpectedMS[service+"/"+model]
	madeAt := r.placementAt
	r.mu.Unlock()
	if loading {
		return madeAt.Add(time.Duration(ms) * time.Millisecond), true
	}
	if c := r.host.catalog.Load(); c != nil {
		if s := c.Service(service); s != nil && s.Engine != nil && s.Engine.Models[model] != nil {
			return now.Add(reaction + s.Engine.Models[model].StoreLoadTime), false
		}
	}
	return time.Time{}, false
}

// Reaction implements relay.Placement. The demand for a model reaches the controller with the next states, and the plan comes
// back at once.
func (r *placementRole) Reaction() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.inUse {
		return 0
	}
	return r.host.peers.Fleet().Spread + planDelay
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
