//go:build linux

package process

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/ledger"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Guards against overcommitted memory and unreachable models when the active controller is killed while its loads
// are in progress. Two loads fill an engine, the engines carry out loads beyond their capacity, and one of them
// ignores fencing numbers and carries out orders late: the orders of the dead controller and those of its successor
// together must not go beyond the capacity.
func TestControllerKilledDuringLoads(t *testing.T) {
	t.Parallel()
	const capacity = 100
	args := func(fences bool) engineArgs {
		return engineArgs{
			"--capacity", fmt.Sprint(capacity), "--load-rate", "20", "--overcommit", // a load takes 2 s
			"--fences=" + fmt.Sprint(fences), "--decode", "0", "--prefill", "0",
		}
	}
	r := newRig(t, args(false), args(true), args(true))
	initial := model("kestrel", 40, 1)
	r.accept(first(initial))
	r.reachable(initial)
	r.fault(r.engines[0]+engines.PathFaults, engines.Faults{DelayOrders: 2 * time.Second})

	done := make(chan struct{})
	var sampler sync.WaitGroup
	endSampler := sync.OnceFunc(func() {
		close(done)
		sampler.Wait()
	})
	defer endSampler()
	sampler.Go(func() {
		for over := false; !over; {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for i, addr := range r.engines {
				var report engine.Report
				if r.read(addr+httpengine.PathReport, &report) != nil {
					continue
				}
				used := int64(0)
				for _, m := range report.Residents {
					used += m.Bytes
				}
				if over = over || used > report.Capacity; over {
					t.Errorf("engine-%d reports %d of %d bytes: %+v", i, used, report.Capacity, report.Residents)
				}
			}
		}
	})

	models := []ticket.Model{initial}
	for i := range 5 { // six models of 40 fill three engines of 100
		models = append(models, model(fmt.Sprint("heron-", i), 40, 1))
	}
	r.accept(&ticket.Ticket{Models: models[1:]})
	r.wait("an order of the controller is in progress at the engine without fencing and at another one", func() bool {
		return r.pending(0) && (r.pending(1) || r.pending(2))
	})
	active := r.activeController()
	r.kill(active)
	t.Logf("killed %s", active)
	r.reachable(models...)
	if again := r.activeController(); again == active {
		t.Errorf("%s holds the lease after it was killed", again)
	}
	endSampler()
	for i, addr := range r.engines {
		var memory engines.Memory
		if err := r.read(addr+engines.PathMemory, &memory); err != nil {
			t.Fatal(err)
		}
		t.Logf("engine-%d: %+v", i, memory)
		if memory.Capacity != capacity || memory.Peak > memory.Capacity {
			t.Errorf("engine-%d held more than its capacity: %+v", i, memory)
		}
	}
}

// pending tells whether the ledger of an engine has an order without confirmed outcome.
func (r *rig) pending(i int) bool {
	e, err := r.store.Get(r.t.Context(), ledger.Key("main", fmt.Sprint("engine-", i)))
	if err != nil {
		return false
	}
	l, err := ledger.Decode(e.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, entry := range l.Entries {
		if len(entry.Orders) > 0 {
			return true
		}
	}
	return false
}

// activeController returns the name of the process that holds the lease of the cell.
func (r *rig) activeController() (name string) {
	r.wait("a controller holds the lease", func() bool {
		e, err := r.store.Get(r.t.Context(), "cell/main/lease")
		for i := range 2 {
			if err == nil && strings.HasPrefix(string(e.Value), entry(i)) {
				name = fmt.Sprint("controller-", i)
			}
		}
		return name != ""
	})
	return name
}
