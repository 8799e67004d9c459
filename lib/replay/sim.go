package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/refusal"
)

// drain is the time that a replay goes on after the last record.
const drain = 20 * time.Second

// sim is one replay.
type sim struct {
	d       *Deployment
	policy  Policy
	clk     *clock
	rnd     *rand.Rand
	engines []*fakeEngine
	byID    map[string]*fakeEngine
	hosts   []*entryHost
	nextIn  int               // host that the balancer chooses next
	adapter map[string]string // base model by adapter
	place   *placer
	central *centralQueue
	kvDown  int
	calls   []*call
	loans   uint64 // loans granted so far
	end     time.Duration
	ttft    []time.Duration
	out     Report
}

// Run replays the trace on the deployment with the policy. Equal arguments give equal reports.
func Run(d *Deployment, trace []Record, policy Policy, seed uint64) *Report {
	return run(d, trace, policy, seed).report()
}

func run(d *Deployment, trace []Record, policy Policy, seed uint64) *sim {
	s := newSim(d, policy, seed)
	for i := range trace {
		rec := &trace[i]
		if rec.Type == RecordFault {
			s.clk.at(rec.At(), func() { s.fault(rec) })
			continue
		}
		c := newCall(rec, s.baseModel(rec.Model), s.adapterName(rec.Model), d)
		s.calls = append(s.calls, c)
		s.clk.at(rec.At(), func() { s.arrive(c) })
	}
	if len(trace) > 0 {
		s.end = trace[len(trace)-1].At()
	}
	s.place.start(s.end + drain)
	for _, h := range s.hosts {
		h.start(s.end + drain)
	}
	s.clk.run()
	return s
}

func newSim(d *Deployment, policy Policy, seed uint64) *sim {
	s := &sim{
		d: d, policy: policy, clk: &clock{}, rnd: rand.New(rand.NewPCG(seed, 1)),
		byID: map[string]*fakeEngine{}, adapter: map[string]string{},
	}
	for i := range d.Targets {
		e := newFakeEngine(&d.Targets[i], s.clk)
		s.engines = append(s.engines, e)
		s.byID[d.Targets[i].ID] = e
	}
	for _, a := range d.Adapters {
		s.adapter[a.Name] = a.Model
	}
	for i := range d.Entries {
		s.hosts = append(s.hosts, newEntryHost(s, i))
	}
	s.central = &centralQueue{s: s}
	s.place = newPlacer(s)
	return s
}

func (s *sim) baseModel(name string) string {
	if base, ok := s.adapter[name]; ok {
		return base
	}
	return name
}

func (s *sim) adapterName(name string) string {
	if _, ok := s.adapter[name]; ok {
		return name
	}
	return ""
}

// arrive hands the call to the entry host that the balancer chooses.
func (s *sim) arrive(c *call) {
	h := s.balance(c.rec.Entry)
	if h == nil {
		c.refuse(refusal.NoTarget)
		return
	}
	c.host = h
	h.admit(c)
}

func (s *sim) balance(wanted string) *entryHost {
	for range s.hosts {
		h := s.hosts[s.nextIn%len(s.hosts)]
		s.nextIn++
		if h.down || (wanted != "" && h.spec.ID != wanted) {
			continue
		}
		return h
	}
	if wanted != "" {
		return s.balance("")
	}
	return nil
}

// pumpAll lets every host send what waits, after targets or placement changed.
func (s *sim) pumpAll() {
	for _, h := range s.hosts {
		h.pump()
	}
}

func prefixHash(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name) | 1
}
