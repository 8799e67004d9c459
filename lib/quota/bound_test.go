package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/ticket"
)

const (
	org      = "x"
	millis   = second / 1000 // in nanoseconds
	simHosts = 4
)

// fault is a deliberate fault that the check of the bound must find.
type fault int

const (
	noFault fault = iota
	plainRefund
	lenderKeepsCap
	noValidityCheck
	newOwnerStartsAtOnce
)

// simulation runs the managers of several hosts on a simulated clock and network.
type simulation struct {
	fault       fault
	undisturbed bool // no cuts, changes or restarts
	now         int64
	net         *rand.Rand
	hosts       []*simHost
	messages    []message // by time of delivery
	snap        *confview.Snapshot
	outage      bool
	announced   []manifest.Restriction // also resolved ones; a majority of the witnesses reports the unresolved ones
	limits      []limitChange
	admissions  []*admission
	unfinished  []*admission
}

// limitChange is a rate and burst in force from the time at.
type limitChange struct {
	at          int64
	rate, burst int64
}

// admission is an admitted request. Its use equals its charge until finish lowers it.
type admission struct {
	at          int64
	used        int64
	host        *simHost
	incarnation int
	charge      Charge
}

// message is delivered at the time at.
type message struct {
	at      int64
	deliver func()
}

// simHost is a simulated host; it implements confview.View.
type simHost struct {
	sim            *simulation
	id             string
	m              *Manager
	incarnation    int
	offset         int64 // of its monotonic clock against the simulated time
	cutUntil       int64 // it receives no messages until then, as when paused or partitioned
	snap           *confview.Snapshot
	freshUntil     int64 // time up to which snap was certainly the newest
	outageReportAt int64 // time at which the last outage report of the witnesses was sent
}

func (h *simHost) Snapshot() *confview.Snapshot         { return h.snap }
func (h *simHost) Members() []confview.Member           { return nil }
func (h *simHost) Self() string                         { return h.id }
func (h *simHost) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

func (h *simHost) Status() confview.Status {
	switch {
	case h.sim.fault == noValidityCheck || h.sim.now-h.freshUntil <= 2*second:
		return confview.Fresh
	case h.sim.now-h.outageReportAt <= 3*second/2:
		return confview.Outage
	}
	return confview.Isolated
}

func (h *simHost) restart() {
	h.incarnation++
	h.m = newManager(Config{
		View: h, NoLoans: true, Clock: func() int64 { return h.sim.now + h.offset },
	}, uint32(h.incarnation))
	h.m.stripeCount = 1 // the choice among several is not reproducible
	switch h.sim.fault {
	case lenderKeepsCap:
		h.m.loanTTL = -stepNS // the grant has expired at once, so the lender's limit is not lowered
	case newOwnerStartsAtOnce:
		h.m.startDelay = 0
	}
}

func newSimulation(f fault, seed uint64) *simulation {
	sim := &simulation{fault: f, now: second, net: rand.New(rand.NewPCG(seed, 1))}
	sim.limits = []limitChange{{0, 640, 2560}}
	sim.snap = snapshot(1, []ticket.Organisation{{Name: org, Rate: 640, Burst: 2560}},
		func(i int) string { return hostID(i % simHosts) })
	sim.snap.Manifest.Slots = manifest.SlotTable{}.WithOwners(sim.snap.Manifest.Slots.Owners)
	for i := range simHosts {
		h := &simHost{sim: sim, id: hostID(i), offset: sim.net.Int64N(100 * second), snap: sim.snap, freshUntil: sim.now}
		sim.hosts = append(sim.hosts, h)
		h.restart()
	}
	return sim
}

func hostID(i int) string { return string(rune('a' + i)) }

// send schedules the delivery of a message after a random delay. Some messages are lost, others are delivered
// twice.
func (sim *simulation) send(to *simHost, do func()) {
	incarnation := to.incarnation
	for range 1 + sim.net.IntN(5)/4 {
		if sim.net.IntN(8) == 0 {
			continue
		}
		delay := sim.net.Int64N(30 * millis)
		if sim.net.IntN(4) == 0 {
			delay = sim.net.Int64N(1500 * millis)
		}
		sim.schedule(sim.now+delay, func() {
			if to.incarnation == incarnation && sim.now >= to.cutUntil {
				do()
			}
		})
	}
}

func (sim *simulation) schedule(at int64, do func()) {
	i, _ := slices.BinarySearchFunc(sim.messages, at, func(m message, at int64) int {
		if m.at <= at {
			return -1
		}
		return 1
	})
	sim.messages = slices.Insert(sim.messages, i, message{at, do})
}

// advance runs the simulation for d in steps of 100 ms.
func (sim *simulation) advance(d int64) {
	for end := sim.now + d; sim.now < end; {
		next := min(end, (sim.now/(100*millis)+1)*100*millis)
		for len(sim.messages) > 0 && sim.messages[0].at <= next {
			m := sim.messages[0]
			sim.messages = sim.messages[1:]
			sim.now = max(sim.now, m.at)
			m.deliver()
		}
		sim.now = next
		for _, h := range sim.hosts {
			if sim.now >= h.cutUntil {
				h.tick()
			}
		}
	}
}

// tick polls the configuration, records its validity and sends the queued returns.
func (h *simHost) tick() {
	sim := h.sim
	if sent := sim.now; sim.outage {
		count := len(sim.announced)
		sim.send(h, func() {
			if sent > h.outageReportAt {
				h.outageReportAt = sent
				s := *h.snap
				s.Restrictions = nil
				for _, r := range sim.announced[:count] {
					if r.Base >= s.Manifest.Revision { // else the host's manifest has resolved it
						s.Restrictions = append(s.Restrictions, r)
					}
				}
				h.snap = &s
			}
		})
	} else {
		snap := sim.snap
		sim.send(h, func() {
			if snap.Manifest.Revision >= h.snap.Manifest.Revision && sent > h.freshUntil {
				h.freshUntil = sent
				if snap.Manifest.Revision > h.snap.Manifest.Revision {
					h.snap = snap
				}
			}
		})
	}
	h.m.recordValidity()
	for member, args := range h.m.collectReturns() {
		if lender := sim.host(member); lender != nil {
			sim.send(lender, func() { _ = (&service{lender.m}).Return(args, &ReturnReply{}) })
		}
	}
}

func (sim *simulation) host(id string) *simHost {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (sim *simulation) spend(h *simHost, tokens int64) {
	c, err := h.m.Spend(context.Background(), org, tokens)
	if err != nil || tokens <= 0 {
		return
	}
	a := &admission{at: sim.now, used: tokens, host: h, incarnation: h.incarnation, charge: c}
	sim.admissions, sim.unfinished = append(sim.admissions, a), append(sim.unfinished, a)
}

func (sim *simulation) finish(a *admission, used int64) {
	a.used = used
	if a.incarnation != a.host.incarnation {
		return
	}
	own, tokens, b := a.charge.fromLocal, a.charge.Tokens, a.charge.bucket
	b.reclaimStripes(a.host.m.clock())
	before := b.core.level
	a.host.m.Refund(&a.charge, used)
	if sim.fault == plainRefund {
		b.core.level = min(b.core.limit(), max(b.core.level, before+min(own, float64(tokens-used))))
	}
}

func (sim *simulation) borrow(h, lender *simHost, amount int64) {
	sent, answered := h.m.clock(), false // a call accepts one answer, even if the request is delivered twice
	sim.send(lender, func() {
		var reply LendReply
		_ = (&service{lender.m}).Lend(&LendArgs{org, amount}, &reply)
		sim.send(h, func() {
			if t, err := h.m.current(h.m.clock()); err == nil && !answered {
				answered = true
				t.orgs[org].addLoan(h.m.clock(), sent, lender.id, &reply)
			}
		})
	})
}

// changeManifest announces lowered rates and lost slots and then writes the manifest after a delay, or never.
// An outage may begin in between.
func (sim *simulation) changeManifest(owners []string, rate, burst int64) {
	r := manifest.Restriction{
		Base:  sim.snap.Manifest.Revision,
		Rates: map[string]manifest.Limit{org: {Rate: rate, Burst: burst}},
	}
	for i, o := range owners {
		if o != sim.snap.Manifest.Slots.Owners[i] {
			r.SlotsLost = append(r.SlotsLost, i)
		}
	}
	sim.announced = append(sim.announced, r)
	if sim.net.IntN(5) == 0 {
		return // the writer fails before its write
	}
	sim.schedule(sim.now+sim.net.Int64N(500*millis), func() {
		if sim.snap.Manifest.Revision != r.Base {
			return
		}
		s := snapshot(r.Base+1, []ticket.Organisation{{Name: org, Rate: rate, Burst: burst}},
			func(i int) string { return owners[i] })
		s.Manifest.Slots = sim.snap.Manifest.Slots
		if len(r.SlotsLost) > 0 {
			s.Manifest.Slots = sim.snap.Manifest.Slots.WithOwners(owners)
		}
		sim.snap = s
		sim.limits = append(sim.limits, limitChange{sim.now, rate, burst})
	})
}

// step performs one random action. A host that is cut off still serves callers until it notices.
func (sim *simulation) step(pick func(n int) int) {
	h := sim.hosts[pick(len(sim.hosts))]
	switch pick(14) {
	case 0, 1:
		sim.advance(int64(pick(2000)+1) * millis)
	case 2:
		sim.advance(int64(pick(20)+1) * second)
	case 3, 4, 5:
		sim.drainAll()
	case 6:
		sim.drain(h)
	case 7:
		sim.spend(h, int64(pick(500)+1))
	case 8, 9:
		for range min(len(sim.unfinished), pick(8)+1) {
			i := pick(len(sim.unfinished))
			a := sim.unfinished[i]
			sim.unfinished = slices.Delete(sim.unfinished, i, i+1)
			sim.finish(a, int64(pick(int(a.used)+1))/int64(1+9*pick(2)))
		}
	case 10, 11:
		for range pick(4) + 1 {
			sim.borrow(h, sim.hosts[pick(len(sim.hosts))], int64(pick(2560)+1))
		}
		sim.advance(int64(pick(500)+1) * millis)
	case 12:
		if sim.undisturbed {
			sim.advance(10 * second)
			return
		}
		h.cutUntil = sim.now + int64(pick(12))*second
	default:
		if sim.undisturbed {
			sim.drainAll()
			return
		}
		sim.injectDisturbance(h, pick)
	}
}

// drain spends all tokens of a host.
func (sim *simulation) drain(h *simHost) {
	if t, err := h.m.current(h.m.clock()); err == nil {
		sim.spend(h, int64(t.orgs[org].available(h.m.clock())))
	}
}

func (sim *simulation) drainAll() {
	for _, h := range sim.hosts {
		sim.drain(h)
	}
}

func (sim *simulation) injectDisturbance(h *simHost, pick func(n int) int) {
	last := sim.limits[len(sim.limits)-1]
	owners := slices.Clone(sim.snap.Manifest.Slots.Owners)
	switch pick(4) {
	case 0, 1:
		to := hostID(pick(simHosts))
		for i := range owners {
			if owners[i] == h.id {
				owners[i] = to
			}
		}
		if pick(2) == 0 {
			// The owner does not receive the move of its slots, and all hosts spend at the start and the end
			// of the time for which the owner's configuration counts as fresh.
			sim.advance(int64(pick(8)) * second)
			h.cutUntil = sim.now + int64(pick(6))*second
			sim.drainAll()
			sim.changeManifest(owners, last.rate, last.burst)
			sim.advance(int64(pick(400)+1600) * millis)
			sim.drainAll()
			return
		}
		sim.changeManifest(owners, last.rate, last.burst)
	case 2:
		f := int64(pick(2) + 1)
		sim.changeManifest(owners, 640*f, 2560*f)
	default:
		if pick(2) == 0 {
			h.restart()
		} else {
			sim.outage = !sim.outage
		}
	}
}

// check compares, for every window that begins and ends with an admission, the actual use with the bound:
// the burst and the tokens generated. Lowered limits apply 3 s late, because hosts receive them within 2 s
// and loans last 1 s longer.
func (sim *simulation) check() error {
	const limitDelay = 3 * second
	// limitsAt returns the highest limits that some host may use at time t: those in force in the last 3 s.
	limitsAt := func(t int64) (rate, burst int64) {
		for j, l := range sim.limits {
			if l.at <= t && (j+1 == len(sim.limits) || sim.limits[j+1].at+limitDelay > t) {
				rate, burst = max(rate, l.rate), max(burst, l.burst)
			}
		}
		return rate, burst
	}
	var times []int64 // at which the result of limitsAt changes
	for _, l := range sim.limits {
		times = append(times, l.at, l.at+limitDelay)
	}
	slices.Sort(times)
	// Tokens generated up to each admission, and the highest burst since the previous admission.
	generated := make([]float64, len(sim.admissions))
	burst := make([]int64, len(sim.admissions))
	at, sum := int64(0), 0.0
	for i, a := range sim.admissions {
		_, burst[i] = limitsAt(at)
		for _, t := range append(slices.Clone(times), a.at) {
			if t > at && t <= a.at {
				rate, _ := limitsAt(at)
				sum += float64(rate) * float64(t-at) / float64(second)
				at = t
				_, b := limitsAt(at)
				burst[i] = max(burst[i], b)
			}
		}
		generated[i] = sum
	}
	for i := range sim.admissions {
		used, maxBurst := int64(0), burst[i]
		for j := i; j < len(sim.admissions); j++ {
			used, maxBurst = used+sim.admissions[j].used, max(maxBurst, burst[j])
			if over := float64(used) - (generated[j] - generated[i]) - float64(maxBurst); over > 0.01 {
				return fmt.Errorf("%d requests admitted between %d ms and %d ms use %d tokens, %.2f above the bound",
					j-i+1, sim.admissions[i].at/millis, sim.admissions[j].at/millis, used, over)
			}
		}
	}
	return nil
}

// Guards against use above burst and rate in any period (invariant 6) under lost, late and repeated messages,
// pauses, partitions, outages, slot changes, limit changes and restarts.
func TestUseStaysWithinBurstAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(noFault, rapid.Uint64().Draw(t, "network"))
		sim.undisturbed = rapid.Bool().Draw(t, "calm")
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			sim.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		}
		if err := sim.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that finds nothing: each deliberate fault must exceed the bound in some of the random
// runs, and the runs without a fault must not.
func TestBoundCheckCatchesFaults(t *testing.T) {
	for f, name := range map[fault]string{
		noFault: "none", plainRefund: "plain refund", lenderKeepsCap: "lender keeps its cap",
		noValidityCheck: "no validity check", newOwnerStartsAtOnce: "new owner starts at once",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := 200
			if f == noFault {
				runs = 40
			}
			for seed := range uint64(runs) {
				sim := newSimulation(f, seed)
				r := rand.New(rand.NewPCG(seed, 2))
				sim.undisturbed = seed%2 == 0
				for range 200 {
					sim.step(r.IntN)
				}
				if err := sim.check(); err != nil {
					if f == noFault {
						t.Fatalf("seed %d: %v", seed, err)
					}
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			if f != noFault {
				t.Fatalf("not caught in %d runs", runs)
			}
		})
	}
}
