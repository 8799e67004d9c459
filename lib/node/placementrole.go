package node

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
	// placementAge is the age up to which the placement that a controller sent counts. Then targets' own entries do.
	placementAge = 2 * time.Second
	// checkTime is the time between two checks of that age.
	checkTime = 250 * time.Millisecond
	// rpcPlacement is the name of the service that hosts call at the controller.
	rpcPlacement = "Placement"
)

// errNoController means that no host holds the placement lease, as far as this one knows.
var errNoController = errors.New("node: no controller is known; retry when one holds the placement lease")

// duty connects the placement duty with the other hosts: it gathers their demand for the placer, and passes what the
// controller knows of the targets to the book.
type duty struct {
	n    *Node
	turn *lease.Turn

	mu         sync.Mutex
	states     map[string]placer.Demand // guarded by mu; by host
	suspected  map[string][]string      // guarded by mu; targets by host
	controller string                   // guarded by mu; host that sent the newest placement
	epoch      int64                    // guarded by mu
	received   time.Time                // guarded by mu
}

func newDuty(n *Node) *duty {
	return &duty{n: n, turn: lease.NewTurn(n.cfg.Settings.Host, time.Now()), states: map[string]placer.Demand{}, suspected: map[string][]string{}}
}

// demand is what callers ask for at all hosts.
func (d *duty) demand() placer.Demand {
	now := time.Now()
	out := placer.Demand{Work: d.n.meter.Work(now), Adapters: d.n.meter.Adapters(now)}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.states {
		for model, work := range s.Work {
			out.Work[model] += work
		}
		for adapter, rate := range s.Adapters {
			out.Adapters[adapter] += rate
		}
	}
	return out
}

// heard takes the state of another host over.
func (d *duty) heard(s *peers.State) {
	d.mu.Lock()
	d.suspected[s.Host] = s.Suspects
	d.states[s.Host] = placer.Demand{Work: s.Work, Adapters: s.Wanted}
	switch {
	case s.Term > 0:
		d.turn.Heard(s.Term, time.Now())
	case s.Host == d.controller:
		d.turn.Resigned(d.epoch, time.Now())
	}
	p := s.Placement
	if p == nil || p.Epoch < d.epoch {
		d.mu.Unlock()
		return
	}
	d.controller, d.epoch, d.received = s.Host, p.Epoch, time.Now()
	d.mu.Unlock()
	d.n.book.SetResidents(p.Residents)
}

// due reports whether this host should campaign for the placement lease.
func (d *duty) due() bool { return d.turn.Due(d.n.peers.Reachable(), time.Now()) }

func (d *duty) silent(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, host)
	delete(d.suspected, host)
}

// suspectHosts is how many hosts have to miss answers of a target before its copies are replaced. One alone may be cut
// off from it.
const suspectHosts = 2

// suspects returns the targets that several hosts get no answer from. Their entries lapse only seconds later.
func (d *duty) suspects() map[string]bool {
	counts := map[string]int{}
	for _, id := range d.n.book.Suspects() {
		counts[id]++
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.suspected {
		for _, id := range list {
			counts[id]++
		}
	}
	out := map[string]bool{}
	for id, n := range counts {
		if n >= suspectHosts {
			out[id] = true
		}
	}
	return out
}

// placement is what this host sends while it is the controller, or nil.
func (d *duty) placement() *peers.Placement {
	epoch, residents, ok := d.n.placer.Residents()
	if !ok {
		return nil
	}
	return &peers.Placement{Epoch: epoch, Residents: residents}
}

// publish passes the placer's knowledge to this host's own book.
func (d *duty) publish() {
	epoch, residents, ok := d.n.placer.Residents()
	if !ok {
		return
	}
	d.mu.Lock()
	if epoch < d.epoch {
		d.mu.Unlock()
		return
	}
	d.controller, d.epoch, d.received = d.n.cfg.Settings.Host, epoch, time.Now()
	d.mu.Unlock()
	d.n.book.SetResidents(residents)
}

// run drops the placement of a controller that is no longer heard of.
func (d *duty) run(ctx context.Context) {
	tick := time.NewTicker(checkTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.publish()
		d.mu.Lock()
		old := d.controller != "" && time.Since(d.received) > placementAge
		if old {
			d.n.log.Warn("controller silent; targets' own entries count", "controller", d.controller, "epoch", d.epoch)
			d.controller = ""
		}
		d.mu.Unlock()
		if old {
			d.n.book.SetResidents(nil)
		}
	}
}

// EnsureArgs names an adapter.
type EnsureArgs struct{ Service, Model, Adapter string }

// EnsureReply names the target that holds it.
type EnsureReply struct{ Target string }

// Ensure implements relay.Adapters: the controller has the adapter loaded.
func (d *duty) Ensure(ctx context.Context, service, model, adapter string) error {
	d.mu.Lock()
	controller := d.controller
	d.mu.Unlock()
	if controller == "" {
		return errNoController
	}
	var target string
	var err error
	if controller == d.n.cfg.Settings.Host {
		target, err = d.n.placer.Ensure(ctx, service, model, adapter)
	} else {
		var reply EnsureReply
		err = d.n.peers.Call(ctx, controller, rpcPlacement+".Ensure", &EnsureArgs{service, model, adapter}, &reply)
		target = reply.Target
	}
	if err == nil {
		d.n.book.AddAdapter(target, model, adapter)
	}
	return err
}

// placementService answers calls of other hosts.
type placementService struct{ n *Node }

// ensureTime bounds a call; the caller's request does not wait longer.
const ensureTime = 500 * time.Millisecond

// Ensure has an adapter loaded.
func (s *placementService) Ensure(args *EnsureArgs, reply *EnsureReply) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), ensureTime)
	defer cancel()
	reply.Target, err = s.n.placer.Ensure(ctx, args.Service, args.Model, args.Adapter)
	return err
}
