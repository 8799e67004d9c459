//go:build linux

package process

import (
	"sync"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/hostlist/httplist"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
	services "cuminhook.org/cuminhook/lib/standin/service"
)

// leavingTimeout is the time after which a target that the host list shows as leaving gets no new work.
const leavingTimeout = 5 * time.Second

// Guards against a gateway that sends new work to a leaving engine or service, and against requests that fail because a
// target leaves.
func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, engineArgs{"--capacity", "100"}, engineArgs{"--capacity", "100"})
	m, single := model("kestrel", 10, 2), model("heron", 10, 1)
	env.applyTicket(initialTicket(m, single))
	env.waitReachable(m, single)
	env.waitUntil("both engines run requests", func() bool {
		env.call(0, key, chatPath, chat(m.Name, 1, false))
		return len(env.engineRuns(0)) > 0 && len(env.engineRuns(1)) > 0
	})

	stop := make(chan struct{})
	var load sync.WaitGroup
	endLoad := sync.OnceFunc(func() {
		close(stop)
		load.Wait()
	})
	defer endLoad()
	for i := range gateways {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				for _, a := range []answer{
					env.call(i, key, chatPath, chat(m.Name, 1, false)),
					env.call(i, key, chatPath, chat(single.Name, 1, false)),
					env.call(i, key, "/strikes", ""),
				} {
					if a.status != 200 || a.err != nil {
						t.Errorf("gateway %d: %v", i, a)
					}
				}
			}
		})
	}
	env.injectFaults(env.kv+"/fault", map[string]any{"host": "engine-0", "leaving": true})
	env.injectFaults(env.kv+"/fault", map[string]any{"host": "dispatch-0", "leaving": true})
	env.waitUntil("the list shows both as leaving", func() bool {
		var hosts []hostlist.Host
		leaving := 0
		if env.getJSON(env.kv+httplist.Path, &hosts) == nil {
			for _, h := range hosts {
				if h.Leaving {
					leaving++
				}
			}
		}
		return leaving == 2
	})
	time.Sleep(leavingTimeout)
	known := env.engineRuns(0)
	calls := env.serviceCalls(0)
	other := len(env.engineRuns(1))
	time.Sleep(3 * time.Second)
	endLoad()
	fresh := 0
	for id := range env.engineRuns(0) {
		if !known[id] {
			fresh++
		}
	}
	if fresh > 0 {
		t.Errorf("%d new requests at the leaving engine", fresh)
	}
	if n := env.serviceCalls(0) - calls; n > 0 {
		t.Errorf("%d new calls at the leaving service", n)
	}
	if len(env.engineRuns(1)) == other {
		t.Error("no new requests at the other engine: nothing was tested")
	}
}

// engineRuns returns the ids of the requests that engine i ran.
func (env *testEnv) engineRuns(i int) map[string]bool {
	env.t.Helper()
	var runs []engines.RunLog
	if err := env.getJSON(env.engines[i]+engines.PathRuns, &runs); err != nil {
		env.t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, run := range runs {
		ids[run.ID] = true
	}
	return ids
}

// serviceCalls returns the number of calls that service i ran.
func (env *testEnv) serviceCalls(i int) (total int) {
	env.t.Helper()
	var calls map[string]int
	if err := env.getJSON(env.services[i]+services.PathCalls, &calls); err != nil {
		env.t.Fatal(err)
	}
	for _, n := range calls {
		total += n
	}
	return total
}
