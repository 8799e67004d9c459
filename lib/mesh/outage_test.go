package mesh

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// checkEvery10ms calls check for each node every 10 ms for a duration of d.
func checkEvery10ms(d time.Duration, nodes []*runningNode, check func(n *runningNode)) {
	for range d / (10 * time.Millisecond) {
		time.Sleep(10 * time.Millisecond)
		for _, n := range nodes {
			check(n)
		}
	}
}

// Guards against hosts that stop serving when the key-value service answers none of them, and against hosts that
// continue to serve when only their own zone is cut off.
func TestOutageServesAndIsolationStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation()
		sim.write(func(m *manifest.Manifest) { m.Witnesses = []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7"} })
		nodes := sim.gateways(t, 8, 2)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			sim.cut(n.Self(), kvAddr, true)
		}
		checkEvery10ms(time.Minute, nodes, func(n *runningNode) {
			if !n.Status().Serving() {
				t.Fatalf("%s: %v in an outage seen by all", n.Self(), n.Status())
			}
		})
		for _, n := range nodes {
			sim.cut(n.Self(), kvAddr, false)
		}
		checkEvery10ms(5*time.Second, nodes, func(n *runningNode) {
			if !n.Status().Serving() {
				t.Fatalf("%s: %v after the outage", n.Self(), n.Status())
			}
		})
		// Zone z0 loses the key-value service and the other zones.
		for _, n := range nodes {
			if n.cfg.Zone == "z0" {
				sim.cut(n.Self(), kvAddr, true)
				continue
			}
			for _, o := range []string{"g0", "g1"} {
				sim.cut(n.Self(), o, true)
			}
		}
		time.Sleep(2100 * time.Millisecond)
		checkEvery10ms(10*time.Second, nodes, func(n *runningNode) {
			want := confview.Fresh
			if slices.Contains([]string{"g0", "g1"}, n.Self()) {
				want = confview.Isolated
			}
			if got := n.Status(); got != want {
				t.Fatalf("%s: %v, want %v", n.Self(), got, want)
			}
		})
	})
}
