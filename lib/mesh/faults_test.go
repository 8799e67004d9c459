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

// runOutage simulates an outage of the key-value service that all hosts see, and its end. It returns an error for the
// first host found not serving.
func runOutage(rt *rapid.T, t *testing.T, disableRules func(*recency)) (failure error) {
	latency := time.Duration(rapid.IntRange(0, 20).Draw(rt, "latency")) * time.Millisecond
	unanswered := rapid.Bool().Draw(rt, "silent")
	outageDelay := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "settle")) * time.Millisecond
	length := time.Duration(rapid.IntRange(3, 5).Draw(rt, "length")) * time.Second
	synctest.Test(t, func(t *testing.T) {
		fh := newFaultHarness(t, disableRules)
		defer fh.stop()
		fh.mu.Lock()
		fh.latency = latency
		fh.mu.Unlock()
		time.Sleep(outageDelay)
		setOutage := func(on bool) {
			if unanswered {
				fh.split(allAddrs, []string{kvAddr}, true, on)
				return
			}
			fh.mu.Lock()
			defer fh.mu.Unlock()
			fh.refusePolls = on
		}
		began := time.Now()
		for on := range 2 {
			setOutage(on == 0)
			checkEvery10ms(length, fh.nodes, func(n *runningNode) {
				if s := n.Status(); !s.Serving() && failure == nil {
					failure = fmt.Errorf("%s is %v %v after the start of the outage", n.Self(), s, time.Since(began))
				}
			})
		}
	})
	return failure
}

// Guards against hosts that stop serving during or right after an outage of the key-value service that all hosts see,
// whatever its length, and whether the service refuses calls or does not answer.
func TestOutageSeenByAllServes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runOutage(rt, t, nil); err != nil {
			rt.Fatal(err)
		}
	})
}

// Negative control: the check of TestOutageSeenByAllServes must fail if witnesses give no evidence.
func TestOutageSeenByAllCatchesMissingEvidence(t *testing.T) {
	caught := 0
	rapid.Check(t, func(rt *rapid.T) {
		if caught == 0 && runOutage(rt, t, func(r *recency) { r.withholdEvidence = true }) != nil {
			caught++
		}
	})
	if caught == 0 {
		t.Error("all hosts kept serving although witnesses gave no evidence")
	}
}

// Guards against hosts that lose status fresh, or do not choose new watchers, after both watchers of their zone die
// together.
func TestZoneSurvivesDeathOfItsWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation()
		sim.write(func(m *manifest.Manifest) { m.Witnesses = []string{"g0", "g5", "g10"} })
		nodes := sim.gateways(t, 12, 6)
		defer func() { stopAll(nodes) }()
		time.Sleep(6 * time.Second)
		dead := watchersOf(nodes[11], "z1")
		nodes = slices.DeleteFunc(nodes, func(n *runningNode) bool {
			if slices.Contains(dead, n.Self()) {
				n.stop()
				return true
			}
			return false
		})
		checkEvery10ms(15*time.Second, nodes, func(n *runningNode) {
			if s := n.Status(); s != confview.Fresh {
				t.Fatalf("%s: %v", n.Self(), s)
			}
		})
		for _, n := range nodes {
			if now := watchersOf(n, "z1"); len(now) != 2 || slices.Contains(now, dead[0]) || slices.Contains(now, dead[1]) {
				t.Errorf("%s: watchers of z1 are %v, %v died", n.Self(), now, dead)
			}
		}
	})
}

// Guards against hosts that do not become fresh when all restart together, and against a host that does not serve when
// it restarts during an outage of the key-value service although its peers have the configuration.
func TestHostsServeSoonAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fh := newFaultHarness(t, nil)
		defer fh.stop()
		for _, n := range fh.nodes {
			n.stop()
		}
		for i := range fh.nodes {
			fh.nodes[i] = fh.start(t, gatewayConfig(i, 2), uint64(20+i))
		}
		time.Sleep(time.Second)
		for _, n := range fh.nodes {
			if s := n.Status(); s != confview.Fresh {
				t.Errorf("%s: status %v 1 s after all hosts restarted", n.Self(), s)
			}
		}
		time.Sleep(4 * time.Second)
		fh.split(allAddrs, []string{kvAddr}, true, true)
		time.Sleep(5 * time.Second)
		fh.restart(t, 3, 40)
		time.Sleep(2 * time.Second)
		if n := fh.nodes[3]; n.Status() != confview.Outage || n.Snapshot().Manifest.Revision != 1 {
			t.Errorf("host restarted during an outage: status %v, revision %d", n.Status(), n.Snapshot().Manifest.Revision)
		}
	})
}

// Guards against a leaving host that remains a watcher, a host list that does not reach all hosts, and subscribers that
// miss a change.
func TestLeavingWatcherHostListAndSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation()
		sim.write(func(*manifest.Manifest) {})
		nodes := sim.gateways(t, 6, 6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		changes, cancel := nodes[5].Subscribe()
		defer cancel()
		sim.mu.Lock()
		sim.hosts = append(sim.hosts, engineHost("e1"))
		sim.mu.Unlock()
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if h := n.Snapshot().Hosts; len(h) != 1 || h[0].ID != "e1" {
				t.Errorf("%s: hosts %v", n.Self(), h)
			}
		}
		select {
		case <-changes:
		default:
			t.Error("the subscriber received no change of the host list")
		}
		leaving := watchersOf(nodes[0], "z0")[0]
		for _, n := range nodes {
			if n.Self() == leaving {
				n.NotifyLeaving(t.Context())
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			if slices.Contains(watchersOf(n, "z0"), leaving) {
				t.Errorf("%s: leaving host %s is still a watcher", n.Self(), leaving)
			}
		}
	})
}

// watchersOf returns the watchers of zone as seen by n.
func watchersOf(n *runningNode, zone string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.watchers(zone, n.clock())
}
