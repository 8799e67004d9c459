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

// withdrawLimit is the time after the CAS within which a withdrawn key stops working.
const withdrawLimit = 3 * time.Second

// trial is a mesh under faults. Each manifest revision stands for the withdrawal of the key of the same number.
type trial struct {
	*world
	nodes   []*running
	writer  *running
	written map[int64]time.Time // time of the CAS
	seen    []int64             // highest revision seen at each node since its start
	served  int                 // checks in status outage
}

func newTrial(t testing.TB, breaks func(*recency)) *trial {
	tr := &trial{world: newWorld(), written: map[int64]time.Time{}}
	tr.breaks = breaks
	tr.world.write(func(m *manifest.Manifest) {
		for i := range 8 {
			m.Witnesses = append(m.Witnesses, fmt.Sprintf("g%d", i))
		}
	})
	tr.nodes = tr.gateways(t, 8, 2)
	tr.seen = make([]int64, len(tr.nodes))
	cfg := gatewayConfig(9, 2)
	cfg.Role, cfg.Zone = RoleAdmin, "z0"
	tr.writer = tr.start(t, cfg, 9)
	time.Sleep(6 * time.Second)
	return tr
}

func (tr *trial) stop() { stopAll(append(slices.Clone(tr.nodes), tr.writer)) }

// withdraw writes the next revision as a writer does: announcement, clock check, CAS. between runs before the CAS.
func (tr *trial) withdraw(between func()) bool {
	tr.mu.Lock()
	m, err := manifest.Decode(tr.value)
	tr.mu.Unlock()
	if err != nil {
		return false
	}
	began := time.Now()
	key := fmt.Sprint(m.Revision + 1)
	if _, err := tr.writer.Announce(context.Background(), manifest.Restriction{Base: m.Revision, Keys: []string{key}}, m.Witnesses); err != nil {
		return false
	}
	if between != nil {
		between()
	}
	if time.Since(began) > time.Second || tr.isCut("g9", kvAddr) {
		return false
	}
	next := tr.world.write(func(*manifest.Manifest) {})
	tr.written[next.Revision] = time.Now()
	return true
}

// check returns what is wrong at this instant.
func (tr *trial) check() error {
	for i, n := range tr.nodes {
		status := n.Status()
		s := n.Snapshot()
		revision := s.Manifest.Revision
		if revision < tr.seen[i] {
			return fmt.Errorf("%s went back from revision %d to %d", n.Self(), tr.seen[i], revision)
		}
		tr.seen[i] = revision
		if status == confview.Outage {
			tr.served++
		}
		for r, at := range tr.written {
			if r <= revision || !status.Serving() || time.Since(at) < withdrawLimit {
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

// run checks in steps for d.
func (tr *trial) run(d time.Duration) error {
	for range d / (50 * time.Millisecond) {
		time.Sleep(50 * time.Millisecond)
		if err := tr.check(); err != nil {
			return err
		}
	}
	return nil
}

func (tr *trial) restart(t testing.TB, i int, seed uint64) {
	tr.nodes[i].stop()
	tr.seen[i] = 0
	tr.nodes[i] = tr.start(t, gatewayConfig(i, 2), seed)
}

// split cuts or joins the hosts of a and b in the given direction, or in both.
func (tr *trial) split(a, b []string, both, on bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				tr.cut(x, y, on)
				if both {
					tr.cut(y, x, on)
				}
			}
		}
	}
}

// event is one fault and its end, or a write.
type event struct {
	kind  int
	hosts []string
	both  bool
	pause time.Duration // until the next event
}

var everyone = []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7", "g9", kvAddr}

func drawEvents(rt *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			kind:  rapid.IntRange(0, 7).Draw(rt, "kind"),
			hosts: rapid.SliceOfNDistinct(rapid.SampledFrom(everyone), 1, 8, rapid.ID).Draw(rt, "hosts"),
			both:  rapid.Bool().Draw(rt, "both"),
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond,
		}
	}), 4, 14).Draw(rt, "events")
}

// apply runs an event.
func (tr *trial) apply(t testing.TB, e event, seed uint64) {
	rest := slices.DeleteFunc(slices.Clone(everyone), func(h string) bool { return slices.Contains(e.hosts, h) })
	switch e.kind {
	case 0, 1, 2:
		tr.withdraw(nil)
	case 3:
		tr.split(e.hosts, rest, e.both, true)
	case 4:
		tr.split(everyone, everyone, true, false)
	case 5:
		tr.split(everyone, []string{kvAddr}, true, e.both)
	case 6:
		for _, h := range e.hosts {
			if h != kvAddr && h != "g9" {
				tr.freeze(h, e.both)
			}
		}
	case 7:
		for i := range tr.nodes {
			if slices.Contains(e.hosts, fmt.Sprintf("g%d", i)) {
				tr.restart(t, i, seed)
			}
		}
	}
}

// Guards against a withdrawn key that still works 3 s after the CAS on any host, and against a host that returns
// to a lower revision, under cuts, freezes, outages of the key-value service and restarts.
func TestWithdrawnKeyStops(t *testing.T) {
	outages, writes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var failure error
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(t, nil)
			defer tr.stop()
			for i, e := range events {
				tr.apply(t, e, uint64(100+i))
				if failure = tr.run(e.pause); failure != nil {
					return
				}
			}
			failure = tr.run(4 * time.Second)
			outages, writes = outages+tr.served, writes+len(tr.written)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
	if outages == 0 || writes == 0 {
		t.Errorf("the cases have %d checks in status outage and %d writes; they test nothing", outages, writes)
	}
}

// overtaken lets five of eight witnesses lose the key-value service and then everything else, right after they
// acknowledged a withdrawal and before its CAS.
func overtaken(t *testing.T, breaks func(*recency), before, between func(tr *trial)) (outages int, failure error) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(t, breaks)
		defer tr.stop()
		minority, rest := everyone[:5], everyone[5:]
		if before != nil {
			before(tr)
		}
		ok := tr.withdraw(func() {
			if between != nil {
				between(tr)
			}
			tr.split(minority, rest, true, true)
		})
		if !ok {
			t.Fatal("not written")
		}
		failure = tr.run(10 * time.Second)
		outages = tr.served
	})
	return outages, failure
}

// Guards against a partition that holds a majority of the witnesses and serves a key whose withdrawal they
// acknowledged. The controls ignore announcements, and the age of the confirmation.
func TestOutageObeysAnnouncements(t *testing.T) {
	if outages, err := overtaken(t, nil, nil, nil); err != nil || outages == 0 {
		t.Errorf("error %v, %d checks in status outage", err, outages)
	}
	if _, err := overtaken(t, func(r *recency) { r.ignoreAnnouncements = true }, nil, nil); err == nil {
		t.Error("not caught without announcements")
	}
	if _, err := overtaken(t, func(r *recency) { r.ignoreAge = true }, nil, nil); err == nil {
		t.Error("not caught when the age of the confirmation is ignored")
	}
}

// Guards against witnesses that restart between acknowledgement and CAS, are confirmed once and support status
// outage without the announcement. The control lets them do so.
func TestRestartedWitnessDoesNotSupport(t *testing.T) {
	// The other witnesses would return the announcement.
	apart := func(tr *trial) { tr.split(everyone[:5], everyone[5:8], true, true) }
	restart := func(tr *trial) {
		// The writer would return the announcement too, if a restarted witness asked it first.
		tr.split(everyone[:5], []string{"g9"}, true, true)
		for i := range 5 {
			tr.nodes[i].stop()
		}
		for i := range 5 {
			tr.nodes[i] = tr.start(t, gatewayConfig(i, 2), uint64(50+i))
		}
		time.Sleep(600 * time.Millisecond) // one answered poll sent after the start
	}
	if _, err := overtaken(t, nil, apart, restart); err != nil {
		t.Error(err)
	}
	if _, err := overtaken(t, func(r *recency) { r.supportAtStart = true }, apart, restart); err == nil {
		t.Error("not caught when support begins with the first confirmation")
	}
}
