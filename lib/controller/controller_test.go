package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/demand"
	"cuminhook.org/cuminhook/lib/ledger"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// addModels configures models of 30 bytes.
func (env *testEnv) addModels(names ...string) {
	for _, n := range names {
		env.state.Models[n] = ticket.Model{Name: n, Bytes: 30, MinCopies: 1}
	}
}

// unreachable returns the configured models for which the view lists no live engine that has them loaded.
func (env *testEnv) unreachable() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []string
	for name := range env.state.Models {
		ok := false
		for _, e := range env.engines {
			ok = ok || e.alive && e.loaded["model/"+name] && viewLists(env.view(), e.id, entryKey{placement.KindModel, name})
		}
		if !ok {
			out = append(out, name)
		}
	}
	return out
}

// Guards against a configured model that is never loaded or never published, with no demand at all.
func TestPlacesAllModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(1)
		env.addEngine("e1", "a", 100, true)
		env.addEngine("e2", "b", 100, false)
		env.addModels("m1", "m2", "m3", "m4")
		env.start(nil)
		defer env.stop()
		time.Sleep(15 * time.Second)
		if lost := env.unreachable(); len(lost) > 0 || len(env.violations) > 0 {
			t.Fatalf("unreachable %v, violations %v", lost, env.violations)
		}
	})
}

// Guards against a planned stop that leaves an order unresolved, or the lease held until it expires.
func TestPlannedStopRecordsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(1)
		env.addEngine("e1", "a", 100, false)
		env.addModels("m1", "m2")
		p := env.start(nil)
		for loading := false; !loading; {
			time.Sleep(50 * time.Millisecond)
			env.mu.Lock()
			loading = env.engines["e1"].running > 0
			env.mu.Unlock()
		}
		p.cancel()
		env.wg.Wait()
		l, err := ledger.Decode(env.kv[ledger.Key(testCell, "e1")].Value)
		if err != nil || l.HasUnresolved() || len(l.Entries) != 1 || l.Entries[0].State() != ledger.Resident || env.holder != nil {
			t.Fatalf("ledger %+v, %v, holder %v", l, err, env.holder)
		}
	})
}

// Guards against a failed target that is detected only when its next regular report is due, which takes long in a large
// cell. A gateway's suspicion must make the controller ask sooner, and the lost model must be loaded elsewhere.
func TestSuspicionTriggersReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(1)
		env.reportsPerSecond = 1 // per second, from all targets together
		for i := range 30 {
			env.addEngine(fmt.Sprintf("e%02d", i), "a", 100, false)
		}
		env.addModels("m1")
		p := env.start(nil)
		defer env.stop()
		time.Sleep(15 * time.Second)
		for _, e := range env.engines {
			env.mu.Lock()
			hasModel := e.loaded["model/m1"]
			e.alive = !hasModel
			env.mu.Unlock()
			if hasModel {
				_ = p.c.Service().Demand(&demand.Report{Gateway: "g", Boot: "b", Seq: 1, Suspects: []string{e.id}}, &demand.Reply{})
			}
		}
		time.Sleep(unreachableTimeout + 3*time.Second)
		if lost := env.unreachable(); len(lost) > 0 {
			t.Fatalf("unreachable: %v", lost)
		}
	})
}
