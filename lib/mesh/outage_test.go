package mesh

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// everyStep calls check for each node in steps of 10 ms.
func everyStep(d time.Duration, nodes []*running, check func(n *running)) {
	for range d / (10 * time.Millisecond) {
		time.Sleep(10 * time.Millisecond)
		for _, n := range nodes {
			check(n)
		}
	}
}

// Guards against hosts that stop serving when the key-value service is silent for all of them, and against hosts
// that go on serving when only they are cut off.
func TestOutageAndIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.write(func(m *manifest.Manifest) { m.Witnesses = []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7"} })
		nodes := w.gateways(t, 8, 2)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			w.cut(n.Self(), kvAddr, true)
		}
		everyStep(time.Minute, nodes, func(n *running) {
			if !n.Status().Serving() {
				t.Fatalf("%s: %v in an outage seen by all", n.Self(), n.Status())
			}
		})
		for _, n := range nodes {
			w.cut(n.Self(), kvAddr, false)
		}
		everyStep(5*time.Second, nodes, func(n *running) {
			if !n.Status().Serving() {
				t.Fatalf("%s: %v after the outage", n.Self(), n.Status())
			}
		})
		// Zone z0 loses the key-value service and the other zones.
		for _, n := range nodes {
			if n.cfg.Zone == "z0" {
				w.cut(n.Self(), kvAddr, true)
				continue
			}
			for _, o := range []string{"g0", "g1"} {
				w.cut(n.Self(), o, true)
			}
		}
		time.Sleep(2100 * time.Millisecond)
		everyStep(10*time.Second, nodes, func(n *running) {
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
