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
func (w *world) addModels(names ...string) {
	for _, n := range names {
		w.state.Models[n] = ticket.Model{Name: n, Bytes: 30, MinCopies: 1}
	}
}

// unreachable returns the configured models that the view does not lead to a living engine that holds them.
func (w *world) unreachable() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for name := range w.state.Models {
		ok := false
		for _, e := range w.engines {
			ok = ok || e.alive && e.loaded["model/"+name] && lists(w.view(), e.id, entryKey{placement.KindModel, name})
		}
		if !ok {
			out = append(out, name)
		}
	}
	return out
}

// Guards the whole path: a configuration alone must bring every model into the published view.
func TestPlacesAllModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.addEngine("e1", "a", 100, true)
		w.addEngine("e2", "b", 100, false)
		w.addModels("m1", "m2", "m3", "m4")
		w.start(nil)
		defer w.stop()
		time.Sleep(15 * time.Second)
		if lost := w.unreachable(); len(lost) > 0 || len(w.violations) > 0 {
			t.Fatalf("unreachable %v, violations %v", lost, w.violations)
		}
	})
}

// Guards against a planned stop that leaves an order in doubt or the lease to expire.
func TestPlannedStopRecordsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.addEngine("e1", "a", 100, false)
		w.addModels("m1", "m2")
		p := w.start(nil)
		for loading := false; !loading; {
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
			loading = w.engines["e1"].running > 0
			w.mu.Unlock()
		}
		p.cancel()
		w.wg.Wait()
		l, err := ledger.Decode(w.kv[ledger.Key(testCell, "e1")].Value)
		if err != nil || l.InDoubt() || len(l.Entries) != 1 || l.Entries[0].State() != ledger.Resident || w.holder != nil {
			t.Fatalf("ledger %+v, %v, holder %v", l, err, w.holder)
		}
	})
}

// Guards against a failed target that is noticed only by its next regular report, which comes rarely in a
// large cell: a gateway's suspicion must make the controller ask, and the lost model be loaded elsewhere.
func TestSuspectedTargetIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.reports = 1 // a second over all targets
		for i := range 30 {
			w.addEngine(fmt.Sprintf("e%02d", i), "a", 100, false)
		}
		w.addModels("m1")
		p := w.start(nil)
		defer w.stop()
		time.Sleep(15 * time.Second)
		for _, e := range w.engines {
			w.mu.Lock()
			holds := e.loaded["model/m1"]
			e.alive = !holds
			w.mu.Unlock()
			if holds {
				_ = p.c.Service().Demand(&demand.Report{Gateway: "g", Boot: "b", Seq: 1, Suspects: []string{e.id}}, &demand.Reply{})
			}
		}
		time.Sleep(unreachableAfter + 3*time.Second)
		if lost := w.unreachable(); len(lost) > 0 {
			t.Fatalf("unreachable: %v", lost)
		}
	})
}
