package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/refusal"
)

// drainPeriod is the time for which periodic work goes on after the last record.
const drainPeriod = 20 * time.Second

// sim is the state of one replay.
type sim struct {
	deployment         *Deployment
	policy             Policy
	clock              *clock
	rng                *rand.Rand
	engines            []*fakeEngine
	engineByID         map[string]*fakeEngine
	hosts              []*entryHost
	nextEntryHost      int // index of the host that the external balancer tries next
	baseModelByAdapter map[string]string
	controller         *controller
	centralQueue       *centralQueue
	kvOutages          int // faults in progress
	calls              []*call
	lastLoanID         uint64 // loan IDs are consecutive over all hosts
	end                time.Duration
	ttft               []time.Duration
	result             Report
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
			s.clock.scheduleAt(rec.At(), func() { s.injectFault(rec) })
			continue
		}
		c := newCall(rec, s.baseModel(rec.Model), s.adapterName(rec.Model), d)
		s.calls = append(s.calls, c)
		s.clock.scheduleAt(rec.At(), func() { s.arrive(c) })
	}
	if len(trace) > 0 {
		s.end = trace[len(trace)-1].At()
	}
	s.controller.startTimers(s.end + drainPeriod)
	for _, h := range s.hosts {
		h.startTimers(s.end + drainPeriod)
	}
	s.clock.run()
	return s
}

func newSim(d *Deployment, policy Policy, seed uint64) *sim {
	s := &sim{
		deployment: d, policy: policy, clock: &clock{}, rng: rand.New(rand.NewPCG(seed, 1)),
		engineByID: map[string]*fakeEngine{}, baseModelByAdapter: map[string]string{},
	}
	for i := range d.Targets {
		e := newFakeEngine(&d.Targets[i], s.clock)
		s.engines = append(s.engines, e)
		s.engineByID[d.Targets[i].ID] = e
	}
	for _, a := range d.Adapters {
		s.baseModelByAdapter[a.Name] = a.Model
	}
	for i := range d.Entries {
		s.hosts = append(s.hosts, newEntryHost(s, i))
	}
	s.centralQueue = &centralQueue{sim: s}
	s.controller = newController(s)
	return s
}

// baseModel returns the base model of an adapter, or the name itself if it is a model.
func (s *sim) baseModel(name string) string {
	if base, ok := s.baseModelByAdapter[name]; ok {
		return base
	}
	return name
}

// adapterName returns the name if it is an adapter, else an empty string.
func (s *sim) adapterName(name string) string {
	if _, ok := s.baseModelByAdapter[name]; ok {
		return name
	}
	return ""
}

// arrive passes the call to the entry host that the balancer in front of the entry hosts chooses.
func (s *sim) arrive(c *call) {
	h := s.chooseEntryHost(c.rec.Entry)
	if h == nil {
		c.refuse(refusal.NoTarget)
		return
	}
	c.host = h
	h.admit(c)
}

// chooseEntryHost returns the wanted host if it is up, else the next running host in turn, or nil if all are down.
func (s *sim) chooseEntryHost(wanted string) *entryHost {
	for range s.hosts {
		h := s.hosts[s.nextEntryHost%len(s.hosts)]
		s.nextEntryHost++
		if h.down || (wanted != "" && h.spec.ID != wanted) {
			continue
		}
		return h
	}
	if wanted != "" {
		return s.chooseEntryHost("")
	}
	return nil
}

// dispatchAll lets every host dispatch its waiting calls after a change of the placement.
func (s *sim) dispatchAll() {
	for _, h := range s.hosts {
		h.dispatch()
	}
}

func prefixHash(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name) | 1
}
