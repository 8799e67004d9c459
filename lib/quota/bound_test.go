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
	millis   = second / 1000
	simHosts = 4
)

// fault is a deliberate fault of a negative control.
type fault int

const (
	noFault fault = iota
	plainRefund
	lenderKeepsCap
	noValidityCheck
	newOwnerStartsAtOnce
)

type world struct {
	fault   fault
	calm    bool // no cuts, changes or restarts
	now     int64
	net     *rand.Rand
	hosts   []*simHost
	mail    []mail // by time of delivery
	snap    *confview.Snapshot
	outage  bool
	pending []manifest.Restriction // all announced; a majority of the witnesses reports the unresolved ones
	limits  []limitChange
	used    []*admission
	open    []*admission
}

// limitChange is a rate and burst in force from a time on.
type limitChange struct {
	at          int64
	rate, burst int64
}

// admission is a request admitted, with its actual use: the charge until a refund says less.
type admission struct {
	at     int64
	used   int64
	host   *simHost
	life   int
	charge Charge
}

type mail struct {
	at int64
	do func()
}

// simHost is a host with its view of the configuration.
type simHost struct {
	w      *world
	id     string
	m      *Manager
	life   int
	offset int64 // of its monotonic clock
	cut    int64 // until this time it hears nothing, as when paused or partitioned
	snap   *confview.Snapshot
	fresh  int64 // time up to which snap was certainly the newest
	quorum int64 // time of the last report of the witnesses about an outage
}

func (h *simHost) Snapshot() *confview.Snapshot         { return h.snap }
func (h *simHost) Members() []confview.Member           { return nil }
func (h *simHost) Self() string                         { return h.id }
func (h *simHost) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

func (h *simHost) Status() confview.Status {
	switch {
	case h.w.fault == noValidityCheck || h.w.now-h.fresh <= 2*second:
		return confview.Fresh
	case h.w.now-h.quorum <= 3*second/2:
		return confview.Outage
	}
	return confview.Isolated
}

func (h *simHost) restart() {
	h.life++
	h.m = newManager(Config{
		View: h, NoLoans: true, Clock: func() int64 { return h.w.now + h.offset },
	}, uint32(h.life))
	h.m.stripes = 1 // the choice among several is random
	switch h.w.fault {
	case lenderKeepsCap:
		h.m.loanLife = -stepLen // ended when it is granted
	case newOwnerStartsAtOnce:
		h.m.startDelay = 0
	}
}

func newWorld(f fault, seed uint64) *world {
	w := &world{fault: f, now: second, net: rand.New(rand.NewPCG(seed, 1))}
	w.limits = []limitChange{{0, 640, 2560}}
	w.snap = snapshot(1, []ticket.Organisation{{Name: org, Rate: 640, Burst: 2560}},
		func(i int) string { return hostID(i % simHosts) })
	w.snap.Manifest.Slots = manifest.SlotTable{}.Next(w.snap.Manifest.Slots.Owners)
	for i := range simHosts {
		h := &simHost{w: w, id: hostID(i), offset: w.net.Int64N(100 * second), snap: w.snap, fresh: w.now}
		w.hosts = append(w.hosts, h)
		h.restart()
	}
	return w
}

func hostID(i int) string { return string(rune('a' + i)) }

// send delivers a message after a random time, unless it is lost; some are delivered twice.
func (w *world) send(to *simHost, do func()) {
	life := to.life
	for range 1 + w.net.IntN(5)/4 {
		if w.net.IntN(8) == 0 {
			continue
		}
		delay := w.net.Int64N(30 * millis)
		if w.net.IntN(4) == 0 {
			delay = w.net.Int64N(1500 * millis)
		}
		w.post(w.now+delay, func() {
			if to.life == life && w.now >= to.cut {
				do()
			}
		})
	}
}

func (w *world) post(at int64, do func()) {
	i, _ := slices.BinarySearchFunc(w.mail, at, func(m mail, at int64) int {
		if m.at <= at {
			return -1
		}
		return 1
	})
	w.mail = slices.Insert(w.mail, i, mail{at, do})
}

// advance runs the world in steps of 100 ms.
func (w *world) advance(d int64) {
	for end := w.now + d; w.now < end; {
		next := min(end, (w.now/(100*millis)+1)*100*millis)
		for len(w.mail) > 0 && w.mail[0].at <= next {
			m := w.mail[0]
			w.mail = w.mail[1:]
			w.now = max(w.now, m.at)
			m.do()
		}
		w.now = next
		for _, h := range w.hosts {
			if w.now >= h.cut {
				h.tick()
			}
		}
	}
}

// tick polls the configuration, records its validity and returns unused loans.
func (h *simHost) tick() {
	w := h.w
	if sent := w.now; w.outage {
		announced := len(w.pending)
		w.send(h, func() {
			if sent > h.quorum {
				h.quorum = sent
				s := *h.snap
				s.Restrictions = nil
				for _, r := range w.pending[:announced] {
					if r.Base >= s.Manifest.Revision { // else the host's manifest has resolved it
						s.Restrictions = append(s.Restrictions, r)
					}
				}
				h.snap = &s
			}
		})
	} else {
		snap := w.snap
		w.send(h, func() {
			if snap.Manifest.Revision >= h.snap.Manifest.Revision && sent > h.fresh {
				h.fresh = sent
				if snap.Manifest.Revision > h.snap.Manifest.Revision {
					h.snap = snap
				}
			}
		})
	}
	h.m.observe()
	for member, args := range h.m.collectReturns() {
		if lender := w.host(member); lender != nil {
			w.send(lender, func() { _ = (&service{lender.m}).Return(args, &ReturnReply{}) })
		}
	}
}

func (w *world) host(id string) *simHost {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *world) spend(h *simHost, tokens int64) {
	c, err := h.m.Spend(context.Background(), org, tokens)
	if err != nil || tokens <= 0 {
		return
	}
	a := &admission{at: w.now, used: tokens, host: h, life: h.life, charge: c}
	w.used, w.open = append(w.used, a), append(w.open, a)
}

func (w *world) finish(a *admission, used int64) {
	a.used = used
	if a.life != a.host.life {
		return
	}
	own, tokens, b := a.charge.own, a.charge.Tokens, a.charge.bucket
	b.foldAll(a.host.m.clock())
	before := b.core.level
	a.host.m.Refund(&a.charge, used)
	if w.fault == plainRefund {
		b.core.level = min(b.core.limit(), max(b.core.level, before+min(own, float64(tokens-used))))
	}
}

func (w *world) borrow(h, lender *simHost, amount int64) {
	sent, answered := h.m.clock(), false // a call takes one answer, also when the request is repeated
	w.send(lender, func() {
		var reply LendReply
		_ = (&service{lender.m}).Lend(&LendArgs{org, amount}, &reply)
		w.send(h, func() {
			if t, err := h.m.current(h.m.clock()); err == nil && !answered {
				answered = true
				t.orgs[org].granted(h.m.clock(), sent, lender.id, &reply)
			}
		})
	})
}

// change writes the manifest: announced first, in force after a delay, or never. Rates lowered and slots
// given up are announced; an outage may begin in between.
func (w *world) change(owners []string, rate, burst int64) {
	r := manifest.Restriction{
		Base:  w.snap.Manifest.Revision,
		Rates: map[string]manifest.Limit{org: {Rate: rate, Burst: burst}},
	}
	for i, o := range owners {
		if o != w.snap.Manifest.Slots.Owners[i] {
			r.SlotsLost = append(r.SlotsLost, i)
		}
	}
	w.pending = append(w.pending, r)
	if w.net.IntN(5) == 0 {
		return // the writer fails before its write
	}
	w.post(w.now+w.net.Int64N(500*millis), func() {
		if w.snap.Manifest.Revision != r.Base {
			return
		}
		s := snapshot(r.Base+1, []ticket.Organisation{{Name: org, Rate: rate, Burst: burst}},
			func(i int) string { return owners[i] })
		s.Manifest.Slots = w.snap.Manifest.Slots
		if len(r.SlotsLost) > 0 {
			s.Manifest.Slots = w.snap.Manifest.Slots.Next(owners)
		}
		w.snap = s
		w.limits = append(w.limits, limitChange{w.now, rate, burst})
	})
}

// step performs one random action. A host that is cut still serves callers: it does not know.
func (w *world) step(pick func(n int) int) {
	h := w.hosts[pick(len(w.hosts))]
	switch pick(14) {
	case 0, 1:
		w.advance(int64(pick(2000)+1) * millis)
	case 2:
		w.advance(int64(pick(20)+1) * second)
	case 3, 4, 5:
		w.drainAll()
	case 6:
		w.drain(h)
	case 7:
		w.spend(h, int64(pick(500)+1))
	case 8, 9:
		for range min(len(w.open), pick(8)+1) {
			i := pick(len(w.open))
			a := w.open[i]
			w.open = slices.Delete(w.open, i, i+1)
			w.finish(a, int64(pick(int(a.used)+1))/int64(1+9*pick(2)))
		}
	case 10, 11:
		for range pick(4) + 1 {
			w.borrow(h, w.hosts[pick(len(w.hosts))], int64(pick(2560)+1))
		}
		w.advance(int64(pick(500)+1) * millis)
	case 12:
		if w.calm {
			w.advance(10 * second)
			return
		}
		h.cut = w.now + int64(pick(12))*second
	default:
		if w.calm {
			w.drainAll()
			return
		}
		w.disturb(h, pick)
	}
}

// drain spends all that a host has.
func (w *world) drain(h *simHost) {
	if t, err := h.m.current(h.m.clock()); err == nil {
		w.spend(h, int64(t.orgs[org].available(h.m.clock())))
	}
}

func (w *world) drainAll() {
	for _, h := range w.hosts {
		w.drain(h)
	}
}

func (w *world) disturb(h *simHost, pick func(n int) int) {
	last := w.limits[len(w.limits)-1]
	owners := slices.Clone(w.snap.Manifest.Slots.Owners)
	switch pick(4) {
	case 0, 1:
		to := hostID(pick(simHosts))
		for i := range owners {
			if owners[i] == h.id {
				owners[i] = to
			}
		}
		if pick(2) == 0 {
			// The owner hears nothing of the move, and everybody spends at the start and the end of the
			// time for which the owner's configuration counts as fresh.
			w.advance(int64(pick(8)) * second)
			h.cut = w.now + int64(pick(6))*second
			w.drainAll()
			w.change(owners, last.rate, last.burst)
			w.advance(int64(pick(400)+1600) * millis)
			w.drainAll()
			return
		}
		w.change(owners, last.rate, last.burst)
	case 2:
		f := int64(pick(2) + 1)
		w.change(owners, 640*f, 2560*f)
	default:
		if pick(2) == 0 {
			h.restart()
		} else {
			w.outage = !w.outage
		}
	}
}

// check compares, for every window that begins and ends with an admission, the actual use with the
// bound. Lowered limits bind 3 s late: hosts learn of them within 2 s, and loans live for 1 s more.
func (w *world) check() error {
	const late = 3 * second
	// Limits that some host may use at a time: those in force in the last 3 s.
	top := func(t int64) (rate, burst int64) {
		for j, l := range w.limits {
			if l.at <= t && (j+1 == len(w.limits) || w.limits[j+1].at+late > t) {
				rate, burst = max(rate, l.rate), max(burst, l.burst)
			}
		}
		return rate, burst
	}
	var times []int64 // at which the limits that apply change
	for _, l := range w.limits {
		times = append(times, l.at, l.at+late)
	}
	slices.Sort(times)
	// Tokens generated up to each admission, and the highest burst since the one before.
	generated := make([]float64, len(w.used))
	burst := make([]int64, len(w.used))
	at, sum := int64(0), 0.0
	for i, a := range w.used {
		_, burst[i] = top(at)
		for _, t := range append(slices.Clone(times), a.at) {
			if t > at && t <= a.at {
				rate, _ := top(at)
				sum += float64(rate) * float64(t-at) / float64(second)
				at = t
				_, b := top(at)
				burst[i] = max(burst[i], b)
			}
		}
		generated[i] = sum
	}
	for i := range w.used {
		used, most := int64(0), burst[i]
		for j := i; j < len(w.used); j++ {
			used, most = used+w.used[j].used, max(most, burst[j])
			if over := float64(used) - (generated[j] - generated[i]) - float64(most); over > 0.01 {
				return fmt.Errorf("%d requests admitted between %d ms and %d ms use %d tokens, %.2f above the bound",
					j-i+1, w.used[i].at/millis, w.used[j].at/millis, used, over)
			}
		}
	}
	return nil
}

// Guards the bound of invariant 6 under lost, late and repeated messages, pauses, partitions, outages,
// slot changes, limit changes and restarts.
func TestUseStaysWithinBurstAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(noFault, rapid.Uint64().Draw(t, "network"))
		w.calm = rapid.Bool().Draw(t, "calm")
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		}
		if err := w.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards the check itself: each fault must exceed the bound in some of the same random runs.
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
				w := newWorld(f, seed)
				r := rand.New(rand.NewPCG(seed, 2))
				w.calm = seed%2 == 0
				for range 200 {
					w.step(r.IntN)
				}
				if err := w.check(); err != nil {
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
