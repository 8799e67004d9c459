package mesh

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
)

// newNodeWithMembers returns a node that does not run, in a mesh of n members in zones of 54.
func newNodeWithMembers(b testing.TB, n int) *Node {
	b.Helper()
	sim := newSimulation()
	node, err := New(gatewayConfig(0, 54), Deps{
		Store: store{sim: sim, addr: "g0"}, HostList: hosts{sim}, Transport: transport{sim, "g0"},
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	for i := 1; i < n; i++ {
		c := gatewayConfig(i, 54)
		node.members.mergeRecord(record{
			ID: c.Host, Role: c.Role, Zone: c.Zone, Addr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			Boot: fmt.Sprintf("%08x-0000-4000-8000-%012x", i, i), Revision: 1_000_000,
		}, node.clock())
	}
	node.install(&manifest.Loaded{
		Manifest: &manifest.Manifest{Revision: 1_000_000}, State: initialConfig().State,
	}, 0, node.clock())
	return node
}

// BenchmarkExchange measures one exchange between two hosts: CPU time of both sides without the transport, and the
// bytes of request and answer together on a connection in use, that is without gob's type descriptions.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{8, 64, 512, 1900} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			n, peer := newNodeWithMembers(b, members), newNodeWithMembers(b, members)
			var wire bytes.Buffer
			enc, dec := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
			total := 0
			b.ReportAllocs()
			for b.Loop() {
				sent := n.clock()
				n.mu.Lock()
				args := &ExchangeArgs{
					Self:    n.selfRecord(sent),
					Members: n.members.nextRecords(maxRecordsPerExchange, n.recency.revision, sent),
				}
				n.mu.Unlock()
				_ = n.nextExchangeAddrs()
				var got ExchangeArgs
				var reply, back ExchangeReply
				_ = enc.Encode(args)
				total += wire.Len()
				_ = dec.Decode(&got)
				peer.handleExchange(&got, &reply)
				_ = enc.Encode(&reply)
				total += wire.Len()
				_ = dec.Decode(&back)
				n.mu.Lock()
				n.mergeReply(&back, sent)
				n.mu.Unlock()
			}
			b.ReportMetric(float64(total)/float64(b.N), "bytes/exchange")
		})
	}
}

// BenchmarkMemory measures the heap of a node at 1,900 members with a view of 10,000 targets of 510 models.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for range b.N {
		before := heap()
		n := newNodeWithMembers(b, 1900)
		members := heap()
		v := &placement.View{Epoch: 1, Version: 1}
		for i := range 10_000 {
			v.Targets = append(v.Targets, placement.TargetView{
				ID: fmt.Sprint("e", i), Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Zone: fmt.Sprint("z", i%35),
				Slots: 64, Models: []string{fmt.Sprint("model-", i%510), fmt.Sprint("model-", (i+7)%510)},
			})
		}
		s := *n.Snapshot()
		s.Placement = v
		n.snapshot.Store(&s)
		b.ReportMetric(float64(members-before)/1e6, "members-MB")
		b.ReportMetric(float64(heap()-members)/1e6, "view-MB")
		runtime.KeepAlive(n)
	}
}

// BenchmarkRevisionPropagation measures, in virtual time, how long a revision takes to reach all hosts, the notifications
// and fetches per host that it causes, and the bytes that a host sends in steady state.
func BenchmarkRevisionPropagation(b *testing.B) {
	for _, hosts := range []int{8, 64, 256} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for range b.N {
				var took time.Duration
				var notifies, fetches, sent uint64
				synctestRun(b, func() {
					sim := newSimulation()
					sim.write(func(*manifest.Manifest) {})
					nodes := sim.gateways(b, hosts, max(4, hosts/8))
					defer stopAll(nodes)
					time.Sleep(20 * time.Second)
					counters := func() (a, f, s uint64) {
						for _, n := range nodes {
							a, f, s = a+n.metrics.notifies.Get(), f+n.metrics.fetches.Get(), s+n.metrics.sentBytes.Get()
						}
						return a, f, s
					}
					_, _, s0 := counters()
					time.Sleep(10 * time.Second)
					a0, f0, s1 := counters()
					sent = (s1 - s0) / 10 / uint64(hosts)
					began := time.Now()
					m := sim.write(func(*manifest.Manifest) {})
					for slices.ContainsFunc(nodes, func(n *runningNode) bool { return n.Snapshot().Manifest.Revision < m.Revision }) {
						time.Sleep(time.Millisecond)
					}
					took = time.Since(began)
					a1, f1, _ := counters()
					notifies, fetches = a1-a0, f1-f0
				})
				b.ReportMetric(took.Seconds()*1000, "virtual-ms")
				b.ReportMetric(float64(notifies)/float64(hosts), "notifies/host")
				b.ReportMetric(float64(fetches)/float64(hosts), "fetches/host")
				b.ReportMetric(float64(sent), "sent-bytes/s/host")
			}
		})
	}
}

// synctestRun runs fn in virtual time inside a benchmark.
func synctestRun(b *testing.B, fn func()) {
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { fn() }) },
	}})
}
