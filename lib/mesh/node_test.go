package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// Guards against a revision that does not reach hosts without polling, and against polling by hosts that are neither
// watchers nor witnesses.
func TestRevisionReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation()
		sim.write(func(m *manifest.Manifest) { m.Witnesses = []string{"g0", "g1", "g4", "g5"} })
		nodes := sim.gateways(t, 8, 4)
		defer stopAll(nodes)
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			if s, m := n.Status(), len(n.Members()); s != confview.Fresh || m != 7 {
				t.Errorf("%s: status %v, %d members", n.Self(), s, m)
			}
		}
		before := sim.polls()
		time.Sleep(10 * time.Second)
		if calls := sim.polls() - before; calls > 8*21 {
			t.Errorf("%d polls in 10 s by at most 8 watchers and witnesses", calls)
		}
		m := sim.write(func(*manifest.Manifest) {})
		time.Sleep(time.Second)
		for _, n := range nodes {
			if r := n.Snapshot().Manifest.Revision; r != m.Revision {
				t.Errorf("%s: revision %d", n.Self(), r)
			}
		}
	})
}

// polls returns the number of polls of the manifest key so far.
func (sim *simulation) polls() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.pollCount
}
