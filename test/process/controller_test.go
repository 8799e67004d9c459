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

// Guards against overcommitted memory and unreachable models when the active controller is killed while its loads are
// in progress. Two loads fill an engine, the engines execute loads beyond their capacity, and one of them ignores
// fencing numbers and executes orders late: the orders of the killed controller and those of its successor together
// must not exceed the capacity.
func TestControllerKilledDuringLoads(t *testing.T) {
	t.Parallel()
	const capacity = 100
	args := func(fences bool) engineArgs {
		return engineArgs{
			"--capacity", fmt.Sprint(capacity), "--load-rate", "20", "--overcommit", // a load takes 2 s
			"--fences=" + fmt.Sprint(fences), "--decode", "0", "--prefill", "0",
		}
	}
	env := newTestEnv(t, args(false), args(true), args(true))
	initial := model("kestrel", 40, 1)
	env.applyTicket(initialTicket(initial))
	env.waitReachable(initial)
	env.injectFaults(env.engines[0]+engines.PathFaults, engines.Faults{DelayOrders: 2 * time.Second})

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
			for i, addr := range env.engines {
				var report engine.Report
				if env.getJSON(addr+httpengine.PathReport, &report) != nil {
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
	for i := range 5 { // two of the six models of 40 bytes fill an engine of 100 bytes
		models = append(models, model(fmt.Sprint("heron-", i), 40, 1))
	}
	env.applyTicket(&ticket.Ticket{Models: models[1:]})
	env.waitUntil("an order of the controller is in progress at the engine without fencing and at another one", func() bool {
		return env.hasUnresolvedOrder(0) && (env.hasUnresolvedOrder(1) || env.hasUnresolvedOrder(2))
	})
	active := env.activeController()
	env.kill(active)
	t.Logf("killed %s", active)
	env.waitReachable(models...)
	if again := env.activeController(); again == active {
		t.Errorf("%s holds the lease after it was killed", again)
	}
	endSampler()
	for i, addr := range env.engines {
		var memory engines.Memory
		if err := env.getJSON(addr+engines.PathMemory, &memory); err != nil {
			t.Fatal(err)
		}
		t.Logf("engine-%d: %+v", i, memory)
		if memory.Capacity != capacity || memory.Peak > memory.Capacity {
			t.Errorf("engine-%d held more than its capacity: %+v", i, memory)
		}
	}
}

// hasUnresolvedOrder reports whether the ledger of engine i has an order without a confirmed outcome.
func (env *testEnv) hasUnresolvedOrder(i int) bool {
	e, err := env.store.Get(env.t.Context(), ledger.Key("main", fmt.Sprint("engine-", i)))
	if err != nil {
		return false
	}
	l, err := ledger.Decode(e.Value)
	if err != nil {
		env.t.Fatal(err)
	}
	for _, entry := range l.Entries {
		if len(entry.Orders) > 0 {
			return true
		}
	}
	return false
}

// activeController waits for a holder of the placement lease and returns the name of its process.
func (env *testEnv) activeController() (name string) {
	env.waitUntil("a controller holds the lease", func() bool {
		e, err := env.store.Get(env.t.Context(), "cell/main/lease")
		for i := range 2 {
			if err == nil && strings.HasPrefix(string(e.Value), entryID(i)) {
				name = fmt.Sprint("controller-", i)
			}
		}
		return name != ""
	})
	return name
}
