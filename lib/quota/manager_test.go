package quota

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "20260711", "")) }

// fixedView is a view whose snapshot and status are set by the test.
type fixedView struct {
	self   string
	snap   atomic.Pointer[confview.Snapshot]
	status atomic.Int32
}

func (v *fixedView) Snapshot() *confview.Snapshot { return v.snap.Load() }
func (v *fixedView) Status() confview.Status      { return confview.Status(v.status.Load()) }
func (v *fixedView) Members() []confview.Member   { return nil }
func (v *fixedView) Self() string                 { return v.self }
func (v *fixedView) Subscribe() (<-chan struct{}, func()) {
	return nil, func() {}
}

// snapshot returns a configuration in which owner(i) owns slot i.
func snapshot(rev int64, orgs []ticket.Organisation, owner func(i int) string) *confview.Snapshot {
	m := &manifest.Manifest{Revision: rev, Slots: manifest.SlotTable{Version: rev}}
	for i := range manifest.SlotCount {
		m.Slots.Owners = append(m.Slots.Owners, owner(i))
	}
	st := &ticket.State{Organisations: map[string]ticket.Organisation{}}
	for _, o := range orgs {
		st.Organisations[o.Name] = o
	}
	return &confview.Snapshot{Manifest: m, State: st, Placement: &placement.View{}}
}

// Measures Spend: status check, table lookup and charge, without loans.
func BenchmarkSpend(b *testing.B) {
	for _, orgs := range []int{1, 5, 500} {
		for _, cores := range []int{1, 10} {
			b.Run(fmt.Sprintf("orgs=%d/cores=%d", orgs, cores), func(b *testing.B) {
				list := make([]ticket.Organisation, orgs)
				for i := range list {
					list[i] = ticket.Organisation{Name: fmt.Sprintf("org-%d", i), Rate: 1 << 50, Burst: 1 << 50}
				}
				v := &fixedView{self: "a"}
				v.snap.Store(snapshot(1, list, func(int) string { return "a" }))
				v.status.Store(int32(confview.Fresh))
				m, err := New(Config{View: v})
				if err != nil {
					b.Fatal(err)
				}
				defer m.Close()
				m.startDelay = 0
				t, _ := m.current(m.clock())
				for _, bkt := range t.orgs {
					bkt.core.level = bkt.core.cap
				}
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
				var goroutine atomic.Int64
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					i := int(goroutine.Add(1)) * 7
					for pb.Next() {
						i++
						if _, err := m.Spend(context.Background(), list[i%orgs].Name, 1); err != nil {
							b.Error(err)
							return
						}
					}
				})
			})
		}
	}
}

// Guards against memory allocations in Bucket.Spend.
func TestSpendDoesNotAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBucket(0)
		b.Configure(0, 0, 1000, 1e6)
		b.Advance(second * 1000)
		now := second * 1000
		step := rapid.Int64Range(1, second).Draw(t, "step")
		if n := testing.AllocsPerRun(100, func() {
			var c Charge
			now += step
			b.Spend(now, 10, &c)
		}); n != 0 {
			t.Fatalf("%v allocations", n)
		}
	})
}

// Guards against tokens created or lost when several goroutines spend from the stripes of one bucket while
// others reclaim the stripes and lend.
func TestConcurrentSpendsAddUp(t *testing.T) {
	var now atomic.Int64
	now.Store(second)
	v := &fixedView{self: "a"}
	v.snap.Store(snapshot(1, []ticket.Organisation{{Name: org, Rate: 0, Burst: 1e6}}, func(int) string { return "a" }))
	v.status.Store(int32(confview.Fresh))
	m := newManager(Config{View: v, NoLoans: true, Clock: now.Load}, 1)
	m.startDelay = 0
	tab, err := m.current(now.Load())
	if err != nil {
		t.Fatal(err)
	}
	tab.orgs[org].core.level = 1e6
	var spent, lent atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := int64(0); ; i++ {
				if _, err := m.Spend(context.Background(), org, 1+i%7); err != nil {
					return
				}
				spent.Add(1 + i%7)
			}
		})
	}
	wg.Go(func() {
		for range 200 {
			m.collectReturns()
			var r LendReply
			_ = (&service{m}).Lend(&LendArgs{org, 100}, &r)
			lent.Add(r.Granted)
		}
	})
	wg.Wait()
	left := tab.orgs[org].available(now.Load())
	if sum := spent.Load() + lent.Load() + int64(left); sum != 1e6 || left >= 7 {
		t.Errorf("spent %d, lent %d, left %v: sum %d", spent.Load(), lent.Load(), left, sum)
	}
}

// Guards two rules that TestUseStaysWithinBurstAndRate rarely exercises: tokens are generated only up to the
// time at which the configuration was known to be valid, and a slot that may have had another owner in a
// table that this host missed generates only after the start delay.
func TestGenerationFollowsKnownConfiguration(t *testing.T) {
	now := second
	v := &fixedView{self: "a"}
	v.status.Store(int32(confview.Fresh))
	orgs := []ticket.Organisation{{Name: org, Rate: 6400, Burst: 640000}}
	owners := make([]string, manifest.SlotCount)
	for i := range owners {
		owners[i] = "a"
	}
	others := slices.Clone(owners)
	others[0] = "b"
	table := manifest.SlotTable{}.WithOwners(owners)
	install := func(rev int64, slots manifest.SlotTable) {
		s := snapshot(rev, orgs, func(int) string { return "" })
		s.Manifest.Slots = slots
		v.snap.Store(s)
	}
	m := newManager(Config{View: v, NoLoans: true, Clock: func() int64 { return now }}, 1)
	level := func() float64 {
		t.Helper()
		tab, err := m.current(now)
		if err != nil {
			t.Fatal(err)
		}
		return tab.orgs[org].available(now)
	}
	install(1, table)
	m.recordValidity()
	if now += StartDelay; level() != 0 {
		t.Errorf("%v tokens at the start", level())
	}
	now += second
	m.recordValidity()
	if level() != 6400 {
		t.Errorf("%v tokens after a second", level())
	}
	// Ten seconds without confirmation, then one slot fewer: no tokens are generated for the time in between.
	now += 10 * second
	table = table.WithOwners(others)
	install(2, table)
	if level() != 6400 {
		t.Errorf("%v tokens after the gap", level())
	}
	m.recordValidity()
	// Slot 0 is back, and so is slot 1, which had another owner in a table that was missed: both start after 3 s.
	away := slices.Clone(others)
	away[1] = "b"
	table = table.WithOwners(away).WithOwners(owners)
	install(4, table)
	before := level()
	now += second
	if got := level() - before; got != 6200 {
		t.Errorf("%v tokens in a second with 62 of 64 slots", got)
	}
	now += 2 * second
	before = level()
	now += second
	if got := level() - before; got != 6400 {
		t.Errorf("%v tokens in a second with all slots", got)
	}
}
