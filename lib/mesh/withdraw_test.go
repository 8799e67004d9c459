package mesh

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// maxWithdrawDelay is the time after the CAS within which a withdrawn key must stop working.
const maxWithdrawDelay = 3 * time.Second

// faultHarness is a mesh of 8 gateways and a writer in a simulation with faults. Each manifest revision represents the
// withdrawal of the key with the same number.
type faultHarness struct {
	*simulation
	nodes        []*runningNode
	writer       *runningNode
	writtenAt    map[int64]time.Time // time of the CAS by revision
	highestSeen  []int64             // highest revision seen at each node since its start
	outageChecks int                 // number of checks that found a node in status outage
}

func newFaultHarness(t testing.TB, disableRules func(*recency)) *faultHarness {
	fh := &faultHarness{simulation: newSimulation(), writtenAt: map[int64]time.Time{}}
	fh.disableRules = disableRules
	fh.simulation.write(func(m *manifest.Manifest) {
		for i := range 8 {
			m.Witnesses = append(m.Witnesses, fmt.Sprintf("g%d", i))
		}
	})
	fh.nodes = fh.gateways(t, 8, 2)
	fh.highestSeen = make([]int64, len(fh.nodes))
	cfg := gatewayConfig(9, 2)
	cfg.Role, cfg.Zone = RoleAdmin, "z0"
	fh.writer = fh.start(t, cfg, 9)
	time.Sleep(6 * time.Second)
	return fh
}

func (fh *faultHarness) stop() { stopAll(append(slices.Clone(fh.nodes), fh.writer)) }

// withdraw writes the next revision in the steps of a real writer: announcement, clock check, CAS. If between is not
// nil, it runs after the announcement. withdraw reports whether the revision was written.
func (fh *faultHarness) withdraw(between func()) bool {
	fh.mu.Lock()
	m, err := manifest.Decode(fh.value)
	fh.mu.Unlock()
	if err != nil {
		return false
	}
	began := time.Now()
	key := fmt.Sprint(m.Revision + 1)
	if _, err := fh.writer.Announce(
		context.Background(), manifest.Restriction{Base: m.Revision, Keys: []string{key}}, m.Witnesses,
	); err != nil {
		return false
	}
	if between != nil {
		between()
	}
	if time.Since(began) > time.Second || fh.isCut("g9", kvAddr) {
		return false
	}
	next := fh.simulation.write(func(*manifest.Manifest) {})
	fh.writtenAt[next.Revision] = time.Now()
	return true
}

// check returns an error if a node has gone back to a lower revision, or serves a key later than maxWithdrawDelay after
// its withdrawal.
func (fh *faultHarness) check() error {
	for i, n := range fh.nodes {
		status := n.Status()
		s := n.Snapshot()
		revision := s.Manifest.Revision
		if revision < fh.highestSeen[i] {
			return fmt.Errorf("%s went back from revision %d to %d", n.Self(), fh.highestSeen[i], revision)
		}
		fh.highestSeen[i] = revision
		if status == confview.Outage {
			fh.outageChecks++
		}
		for r, at := range fh.writtenAt {
			if r <= revision || !status.Serving() || time.Since(at) < maxWithdrawDelay {
				continue
			}
			restricted := slices.ContainsFunc(s.Restrictions, func(x manifest.Restriction) bool {
				return slices.Contains(x.Keys, fmt.Sprint(r))
			})
			if status == confview.Fresh || !restricted {
				return fmt.Errorf("%s serves key %d in status %v, %v after its withdrawal", n.Self(), r, status, time.Since(at))
			}
		}
	}
	return nil
}

// run calls check every 50 ms for a duration of d.
func (fh *faultHarness) run(d time.Duration) error {
	for range d / (50 * time.Millisecond) {
		time.Sleep(50 * time.Millisecond)
		if err := fh.check(); err != nil {
			return err
		}
	}
	return nil
}

// restart stops node i and starts it again without state.
func (fh *faultHarness) restart(t testing.TB, i int, seed uint64) {
	fh.nodes[i].stop()
	fh.highestSeen[i] = 0
	fh.nodes[i] = fh.start(t, gatewayConfig(i, 2), seed)
}

// split cuts or reconnects the direction from the hosts in a to those in b, or both directions.
func (fh *faultHarness) split(a, b []string, both, on bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				fh.cut(x, y, on)
				if both {
					fh.cut(y, x, on)
				}
			}
		}
	}
}

// event is the start or end of a fault, or a write.
type event struct {
	kind      int // see apply
	hosts     []string
	both      bool
	untilNext time.Duration // until the next event
}

var allAddrs = []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7", "g9", kvAddr}

func drawEvents(rt *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			kind:      rapid.IntRange(0, 7).Draw(rt, "kind"),
			hosts:     rapid.SliceOfNDistinct(rapid.SampledFrom(allAddrs), 1, 8, rapid.ID).Draw(rt, "hosts"),
			both:      rapid.Bool().Draw(rt, "both"),
			untilNext: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond,
		}
	}), 4, 14).Draw(rt, "events")
}

// apply runs an event. seed is for the nodes that it restarts.
func (fh *faultHarness) apply(t testing.TB, e event, seed uint64) {
	rest := slices.DeleteFunc(slices.Clone(allAddrs), func(h string) bool { return slices.Contains(e.hosts, h) })
	switch e.kind {
	case 0, 1, 2:
		fh.withdraw(nil)
	case 3:
		fh.split(e.hosts, rest, e.both, true)
	case 4:
		fh.split(allAddrs, allAddrs, true, false)
	case 5:
		fh.split(allAddrs, []string{kvAddr}, true, e.both)
	case 6:
		for _, h := range e.hosts {
			if h != kvAddr && h != "g9" {
				fh.freeze(h, e.both)
			}
		}
	case 7:
		for i := range fh.nodes {
			if slices.Contains(e.hosts, fmt.Sprintf("g%d", i)) {
				fh.restart(t, i, seed)
			}
		}
	}
}

// Guards against a withdrawn key that still works on any host 3 s after the CAS, and against a host that returns to a
// lower revision, during network cuts, frozen hosts, outages of the key-value service and restarts.
func TestWithdrawnKeyStops(t *testing.T) {
	outages, writes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var failure error
		synctest.Test(t, func(t *testing.T) {
			fh := newFaultHarness(t, nil)
			defer fh.stop()
			for i, e := range events {
				fh.apply(t, e, uint64(100+i))
				if failure = fh.run(e.untilNext); failure != nil {
					return
				}
			}
			failure = fh.run(4 * time.Second)
			outages, writes = outages+fh.outageChecks, writes+len(fh.writtenAt)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
	if outages == 0 || writes == 0 {
		t.Errorf("the cases made %d checks in status outage and %d writes; without both they prove nothing", outages, writes)
	}
}

// partitionAfterAnnouncement cuts five of the eight witnesses off from the key-value service and all other hosts, right
// after they have acknowledged a withdrawal and before its CAS. It returns the number of checks in status outage and the
// first failed check. If not nil, before runs before the announcement and between runs before the cut.
func partitionAfterAnnouncement(
	t *testing.T, disableRules func(*recency), before, between func(fh *faultHarness),
) (outages int, failure error) {
	synctest.Test(t, func(t *testing.T) {
		fh := newFaultHarness(t, disableRules)
		defer fh.stop()
		cutOff, rest := allAddrs[:5], allAddrs[5:]
		if before != nil {
			before(fh)
		}
		ok := fh.withdraw(func() {
			if between != nil {
				between(fh)
			}
			fh.split(cutOff, rest, true, true)
		})
		if !ok {
			t.Fatal("the withdrawal was not written")
		}
		failure = fh.run(10 * time.Second)
		outages = fh.outageChecks
	})
	return outages, failure
}

// Guards against a partition with a majority of the witnesses that serves a key although the witnesses acknowledged its
// withdrawal. The negative controls ignore announcements, or the age of the confirmation, and must fail.
func TestOutageObeysAnnouncements(t *testing.T) {
	if outages, err := partitionAfterAnnouncement(t, nil, nil, nil); err != nil || outages == 0 {
		t.Errorf("error %v, %d checks in status outage", err, outages)
	}
	if _, err := partitionAfterAnnouncement(t, func(r *recency) { r.ignoreAnnouncements = true }, nil, nil); err == nil {
		t.Error("no check failed although announcements were ignored")
	}
	if _, err := partitionAfterAnnouncement(t, func(r *recency) { r.ignoreAge = true }, nil, nil); err == nil {
		t.Error("no check failed although the age of the confirmation was ignored")
	}
}

// Guards against witnesses that restart between acknowledgement and CAS, confirm the configuration once and then give
// evidence for status outage although they have lost the announcement. The negative control permits that and must fail.
func TestRestartedWitnessDoesNotSupport(t *testing.T) {
	// The other witnesses would send the announcement back to the restarted ones.
	apart := func(fh *faultHarness) { fh.split(allAddrs[:5], allAddrs[5:8], true, true) }
	restart := func(fh *faultHarness) {
		// So would the writer, if a restarted witness exchanged with it first.
		fh.split(allAddrs[:5], []string{"g9"}, true, true)
		for i := range 5 {
			fh.nodes[i].stop()
		}
		for i := range 5 {
			fh.nodes[i] = fh.start(t, gatewayConfig(i, 2), uint64(50+i))
		}
		time.Sleep(600 * time.Millisecond) // enough for one answered poll after the start
	}
	if _, err := partitionAfterAnnouncement(t, nil, apart, restart); err != nil {
		t.Error(err)
	}
	if _, err := partitionAfterAnnouncement(t, func(r *recency) { r.supportAtStart = true }, apart, restart); err == nil {
		t.Error("no check failed although witnesses gave evidence from the first confirmation on")
	}
}
