package mesh

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// outage runs a key-value outage that all hosts see, and returns the first host that does not serve.
func outage(rt *rapid.T, t *testing.T, breaks func(*recency)) (failure error) {
	latency := time.Duration(rapid.IntRange(0, 20).Draw(rt, "latency")) * time.Millisecond
	silent := rapid.Bool().Draw(rt, "silent")
	settle := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "settle")) * time.Millisecond
	length := time.Duration(rapid.IntRange(3, 5).Draw(rt, "length")) * time.Second
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(t, breaks)
		defer tr.stop()
		tr.mu.Lock()
		tr.latency = latency
		tr.mu.Unlock()
		time.Sleep(settle)
		set := func(on bool) {
			if silent {
				tr.split(everyone, []string{kvAddr}, true, on)
				return
			}
			tr.mu.Lock()
			defer tr.mu.Unlock()
			tr.refuse = on
		}
		began := time.Now()
		for on := range 2 {
			set(on == 0)
			everyStep(length, tr.nodes, func(n *running) {
				if s := n.Status(); !s.Serving() && failure == nil {
					failure = fmt.Errorf("%s is %v %v after the start of the outage", n.Self(), s, time.Since(began))
				}
			})
		}
	})
	return failure
}

// Guards against hosts that stop serving in an outage of the key-value service that all hosts see, whatever its
// length and whether the service refuses calls or is silent, or at its end.
func TestOutageSeenByAllServes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := outage(rt, t, nil); err != nil {
			rt.Fatal(err)
		}
	})
}

// Negative control: witnesses that give no evidence have to be caught.
func TestOutageSeenByAllCatchesMissingEvidence(t *testing.T) {
	caught := 0
	rapid.Check(t, func(rt *rapid.T) {
		if caught == 0 && outage(rt, t, func(r *recency) { r.silent = true }) != nil {
			caught++
		}
	})
	if caught == 0 {
		t.Error("not caught")
	}
}

// Guards against a zone whose watchers die together and whose other hosts stop serving or stay without a watcher.
func TestWatcherDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.write(func(m *manifest.Manifest) { m.Witnesses = []string{"g0", "g5", "g10"} })
		nodes := w.gateways(t, 12, 6)
		defer func() { stopAll(nodes) }()
		time.Sleep(6 * time.Second)
		dead := watchers(nodes[11], "z1")
		nodes = slices.DeleteFunc(nodes, func(n *running) bool {
			if slices.Contains(dead, n.Self()) {
				n.stop()
				return true
			}
			return false
		})
		everyStep(15*time.Second, nodes, func(n *running) {
			if s := n.Status(); s != confview.Fresh {
				t.Fatalf("%s: %v", n.Self(), s)
			}
		})
		for _, n := range nodes {
			if now := watchers(n, "z1"); len(now) != 2 || slices.Contains(now, dead[0]) || slices.Contains(now, dead[1]) {
				t.Errorf("%s: watchers of z1 are %v, %v died", n.Self(), now, dead)
			}
		}
	})
}

// Guards against hosts that do not come up when all restart together, and when the key-value service is down at the
// start of one whose peers have the configuration.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(t, nil)
		defer tr.stop()
		for _, n := range tr.nodes {
			n.stop()
		}
		for i := range tr.nodes {
			tr.nodes[i] = tr.start(t, gatewayConfig(i, 2), uint64(20+i))
		}
		time.Sleep(time.Second)
		for _, n := range tr.nodes {
			if s := n.Status(); s != confview.Fresh {
				t.Errorf("%s: %v 1 s after the restart of all", n.Self(), s)
			}
		}
		time.Sleep(4 * time.Second)
		tr.split(everyone, []string{kvAddr}, true, true)
		time.Sleep(5 * time.Second)
		tr.restart(t, 3, 40)
		time.Sleep(2 * time.Second)
		if n := tr.nodes[3]; n.Status() != confview.Outage || n.Snapshot().Manifest.Revision != 1 {
			t.Errorf("restarted without the key-value service: %v, revision %d", n.Status(), n.Snapshot().Manifest.Revision)
		}
	})
}

// Guards against a leaving host that stays a watcher, a host list that does not spread, and subscribers that miss
// a change.
func TestLeaveHostsAndSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.write(func(*manifest.Manifest) {})
		nodes := w.gateways(t, 6, 6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		changes, cancel := nodes[5].Subscribe()
		defer cancel()
		w.mu.Lock()
		w.hosts = append(w.hosts, listed("e1"))
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if h := n.Snapshot().Hosts; len(h) != 1 || h[0].ID != "e1" {
				t.Errorf("%s: hosts %v", n.Self(), h)
			}
		}
		select {
		case <-changes:
		default:
			t.Error("no change seen by the subscriber")
		}
		leaving := watchers(nodes[0], "z0")[0]
		for _, n := range nodes {
			if n.Self() == leaving {
				n.Leave(t.Context())
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			if slices.Contains(watchers(n, "z0"), leaving) {
				t.Errorf("%s: %s leaves and is a watcher", n.Self(), leaving)
			}
		}
	})
}

func watchers(n *running, zone string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.watchers(zone, n.clock())
}
