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

// leavingTime is the time in which a target that the host list shows as leaving stops getting new work.
const leavingTime = 5 * time.Second

// Guards against new work for an engine or a service that leaves, from any gateway, and against requests that fail
// because a target leaves.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	r := newRig(t, engineArgs{"--capacity", "100"}, engineArgs{"--capacity", "100"})
	m, single := model("kestrel", 10, 2), model("heron", 10, 1)
	r.accept(first(m, single))
	r.reachable(m, single)
	r.wait("both engines run requests", func() bool {
		r.ask(0, key, chatPath, chat(m.Name, 1, false))
		return len(r.engineRuns(0)) > 0 && len(r.engineRuns(1)) > 0
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
					r.ask(i, key, chatPath, chat(m.Name, 1, false)), r.ask(i, key, chatPath, chat(single.Name, 1, false)), r.ask(i, key, "/strikes", ""),
				} {
					if a.status != 200 || a.err != nil {
						t.Errorf("gateway %d: %v", i, a)
					}
				}
			}
		})
	}
	r.fault(r.kv+"/fault", map[string]any{"host": "engine-0", "leaving": true})
	r.fault(r.kv+"/fault", map[string]any{"host": "dispatch-0", "leaving": true})
	r.wait("the list shows both as leaving", func() bool {
		var hosts []hostlist.Host
		leaving := 0
		if r.read(r.kv+httplist.Path, &hosts) == nil {
			for _, h := range hosts {
				if h.Leaving {
					leaving++
				}
			}
		}
		return leaving == 2
	})
	time.Sleep(leavingTime)
	known := r.engineRuns(0)
	calls := r.serviceCalls(0)
	other := len(r.engineRuns(1))
	time.Sleep(3 * time.Second)
	endLoad()
	fresh := 0
	for id := range r.engineRuns(0) {
		if !known[id] {
			fresh++
		}
	}
	if fresh > 0 {
		t.Errorf("%d new requests at the leaving engine", fresh)
	}
	if n := r.serviceCalls(0) - calls; n > 0 {
		t.Errorf("%d new calls at the leaving service", n)
	}
	if len(r.engineRuns(1)) == other {
		t.Error("no new requests at the other engine: nothing was tested")
	}
}

// engineRuns returns the ids of the requests that engine i ran.
func (r *rig) engineRuns(i int) map[string]bool {
	r.t.Helper()
	var runs []engines.RunLog
	if err := r.read(r.engines[i]+engines.PathRuns, &runs); err != nil {
		r.t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, run := range runs {
		ids[run.ID] = true
	}
	return ids
}

// serviceCalls returns the number of calls that service i ran.
func (r *rig) serviceCalls(i int) (total int) {
	r.t.Helper()
	var calls map[string]int
	if err := r.read(r.services[i]+services.PathCalls, &calls); err != nil {
		r.t.Fatal(err)
	}
	for _, n := range calls {
		total += n
	}
	return total
}
