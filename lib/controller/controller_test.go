package controller

import (
	"testing"
	"testing/synctest"
	"time"

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
