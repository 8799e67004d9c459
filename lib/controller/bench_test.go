package controller

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/ledger"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
	"cuminhook.org/cuminhook/lib/weights"
)

// staticCell fakes the dependencies of a controller in a cell in which nothing fails and nothing changes.
type staticCell struct {
	procView
	mu      sync.Mutex
	entries map[string]kv.Entry // guarded by mu
	snap    confview.Snapshot
	reports map[string]engine.Report
	kv.Store
}

func (s *staticCell) Snapshot() *confview.Snapshot { return &s.snap }
func (s *staticCell) Held() (int64, bool)          { return 1, true }
func (s *staticCell) Resign(context.Context) error { return nil }
func (s *staticCell) Campaign(context.Context) (int64, <-chan struct{}, error) {
	return 1, nil, nil
}

func (s *staticCell) Report(_ context.Context, addr string) (engine.Report, error) {
	return s.reports[addr], nil
}
func (s *staticCell) Order(context.Context, string, engine.Order) error { return nil }

func (s *staticCell) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, kv.ErrNotFound
	}
	return e, nil
}

func (s *staticCell) Put(_ context.Context, key string, value []byte, expect kv.Version, _ kv.LeaseID) (kv.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key] = kv.Entry{Key: key, Value: value, Version: expect + 1}
	return expect + 1, nil
}

// newStaticTerm returns a term whose targets are all reconciled and have three models and three adapters each.
func newStaticTerm(b *testing.B, targets, models int) *term {
	s := &staticCell{entries: map[string]kv.Entry{}, reports: map[string]engine.Report{}}
	s.snap.State = &ticket.State{Models: map[string]ticket.Model{}, Adapters: map[string]ticket.Adapter{}}
	for i := range models {
		m := fmt.Sprintf("model-%03d", i)
		s.snap.State.Models[m] = ticket.Model{Name: m, Bytes: 30, MinCopies: 1}
		s.snap.State.Adapters[m+"-a"] = ticket.Adapter{Name: m + "-a", Model: m, Bytes: 1}
	}
	for i := range targets {
		h := hostlist.Host{ID: fmt.Sprintf("engine-%04d", i), Role: hostlist.RoleEngine, Zone: fmt.Sprint("zone-", i%3), Addr: fmt.Sprint(i)}
		s.snap.Hosts = append(s.snap.Hosts, h)
		r := engine.Report{Boot: "b", Capacity: 95}
		for j := range 3 {
			m := fmt.Sprintf("model-%03d", (3*i+j)%models)
			r.Residents = append(r.Residents, engine.Resident{Kind: "model", Name: m, Bytes: 30}, engine.Resident{Kind: "adapter", Name: m + "-a", Bytes: 1})
		}
		s.reports[h.Addr] = r
	}
	c := New(Config{Cell: testCell, Limits: weights.Limits{LoadsPerSecond: 2, FullSpeedLoads: 3, AdapterLoadsAtSpeed: 25}}, Deps{
		KV: s, View: s, Engines: s, Lease: s, Log: slog.New(slog.DiscardHandler),
	})
	tm := &term{
		Controller: c, epoch: 1, startedAt: time.Now(), ledgers: ledger.NewStore(s, testCell), planner: c.deps.NewPlanner(),
		jobs: &errgroup.Group{}, fail: func(err error) { b.Error(err) }, targets: map[string]*target{},
		sentOrders: map[string]bool{}, lastListed: map[route]time.Time{},
	}
	tm.applySnapshot(&s.snap)
	for _, t := range tm.targets {
		tm.runJob(b.Context(), t)
	}
	tm.tick(b.Context())
	_ = tm.jobs.Wait()
	return tm
}

// benchTick measures one tick with a plan. Plans are made four times per second in a cell of up to 249 hosts, and once
// per second in one of 834.
func benchTick(b *testing.B, targets, models int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tm := newStaticTerm(b, targets, models)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		tm.lastPlan = time.Time{}
		tm.tick(b.Context())
	}
	_ = tm.jobs.Wait()
	// The memory includes the configuration, the stored ledgers and the reports of the fakes.
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(targets), "heapB/target")
	b.ReportMetric(float64(len(tm.deps.KV.(*staticCell).entries[ViewKey(testCell)].Value)), "viewB")
}

// BenchmarkTickToday measures a tick in a cell of the size deployed at present.
func BenchmarkTickToday(b *testing.B) { benchTick(b, 24, 30) }

// BenchmarkTickCell measures a tick in one of 12 cells with 10,000 targets altogether.
func BenchmarkTickCell(b *testing.B) { benchTick(b, 834, 510) }

// BenchmarkReport measures a job that fetches the report of a target. A controller runs at most 40 of them per second.
func BenchmarkReport(b *testing.B) {
	tm := newStaticTerm(b, 24, 30)
	var t *target
	for _, t = range tm.targets {
		break
	}
	for b.Loop() {
		t.lastAttempt = time.Time{}
		t.busy = true
		tm.runJob(b.Context(), t)
	}
	if !t.routable(entryKey{placement.KindModel, t.ledger.Entries[0].Name}) {
		b.Fatal("the target is not reconciled")
	}
}
