package replay

import (
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/fairqueue"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/router"
)

const (
	// warmStart is the age of the buckets at the start of a replay, so that they are full.
	warmStart = 1000 * time.Second
	// takeOver is the time until the slots of a dead host generate tokens elsewhere: unseen for 5 s, then
	// 3 s until the new owner starts.
	takeOver    = 8 * time.Second
	isolation   = 2 * time.Second // a host cut off from all others stops after this time
	silentAfter = 4 * time.Second // bound for the detection of a silent connection
	expiryTick  = 20 * time.Millisecond
	returnTick  = 100 * time.Millisecond
	queueLimit  = 10_000
	// loanAhead is the part of a second's rate that is borrowed beyond the need.
	loanAhead = 1.0 / 16
)

// entryHost is one entry host: its buckets, its queues and its router.
type entryHost struct {
	s       *sim
	spec    *Entry
	down    bool
	life    int // rises when the host dies
	cut     bool
	cutTime time.Duration
	slots   int
	buckets map[string]*quota.Bucket
	router  *router.Router
	queues  map[string]*fairqueue.Queue // by model or adapter
	names   []string                    // of queues with entries, in order of their first wait
	turn    int
	own     map[*fakeEngine]int
	nextRR  map[string]int
	caution router.WaitMargin
}

func newEntryHost(s *sim, i int) *entryHost {
	h := &entryHost{
		s: s, spec: &s.d.Entries[i], buckets: map[string]*quota.Bucket{},
		queues: map[string]*fairqueue.Queue{}, own: map[*fakeEngine]int{}, nextRR: map[string]int{},
	}
	h.slots = manifest.SlotCount / len(s.d.Entries)
	if i < manifest.SlotCount%len(s.d.Entries) {
		h.slots++
	}
	h.router = router.New(router.Config{
		Zone: h.spec.Zone, Rand: s.rnd.Uint64, ZoneDelay: func(a, b string) time.Duration { return s.delay(a, b) },
	})
	h.router.SetGateways(len(s.d.Entries))
	for _, o := range s.d.Organisations {
		h.buckets[o.Name] = quota.NewBucket(0)
		h.configure(o.Name, 0)
	}
	return h
}

// configure sets the host's part of the organisation's rate and burst.
func (h *entryHost) configure(org string, now int64) {
	for _, o := range h.s.d.Organisations {
		if o.Name != org {
			continue
		}
		part := float64(h.slots) / manifest.SlotCount
		switch h.s.policy.sharing {
		case shareStatic:
			part = 1 / float64(len(h.s.d.Entries))
		case shareExact:
			part = 1 // only the first host's bucket is used
		}
		h.buckets[org].Configure(now, now, float64(o.Rate)*part, float64(o.Burst)*part)
	}
}

func (s *sim) quotaTime() int64 { return int64(s.clk.now + warmStart) }

func (s *sim) delay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return millis(s.d.ZoneDelayMS)
}

func (h *entryHost) start(end time.Duration) {
	if h.s.policy.fair {
		h.s.clk.every(expiryTick, end, h.expire)
	}
	if h.s.policy.sharing == shareLoans {
		h.s.clk.every(returnTick, end, h.returnLoans)
	}
}

// returnLoans gives unused tokens of loans back to their lenders.
func (h *entryHost) returnLoans() {
	if h.down || h.cut {
		return
	}
	for _, o := range h.s.d.Organisations {
		own := h.buckets[o.Name]
		own.Advance(h.s.quotaTime())
		own.TakeReturns(func(lender string, id uint64, sum float64, ended bool) {
			if l := h.s.hostByID(lender); !l.down && !l.cut {
				l.buckets[o.Name].Return(h.s.quotaTime(), id, sum, ended)
			}
		})
	}
}

func (h *entryHost) bucket(org string) *quota.Bucket {
	if h.s.policy.sharing == shareExact {
		return h.s.hosts[0].buckets[org]
	}
	return h.buckets[org]
}

// admit charges the call, with loans from other hosts if the own tokens do not suffice.
func (h *entryHost) admit(c *call) {
	if h.cut && h.s.clk.now-h.cutTime >= isolation {
		c.refuse(refusal.ConfigStale)
		return
	}
	h.s.place.observe(c)
	if h.charge(c) {
		h.admitted(c)
		return
	}
	if h.s.policy.sharing != shareLoans || h.cut {
		c.refuse(refusal.RateExceeded)
		return
	}
	sent := h.s.quotaTime()
	h.s.clk.after(2*millis(h.s.d.ZoneDelayMS), func() {
		h.borrow(c, sent)
		if h.charge(c) {
			h.admitted(c)
			return
		}
		c.refuse(refusal.RateExceeded)
	})
}

func (h *entryHost) charge(c *call) bool {
	return h.bucket(c.rec.Organisation).Spend(h.s.quotaTime(), c.charge, &c.spend)
}

// borrow asks the other hosts for what the call lacks and somewhat more.
func (h *entryHost) borrow(c *call, sent int64) {
	org, now := c.rec.Organisation, h.s.quotaTime()
	own := h.buckets[org]
	need := float64(c.charge) - own.Available(now) + loanAhead*float64(h.s.rate(org))
	others := slices.DeleteFunc(slices.Clone(h.s.hosts), func(o *entryHost) bool { return o == h || o.down || o.cut })
	h.s.rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, o := range others {
		if need < 1 {
			return
		}
		h.s.loans++
		granted, _ := o.buckets[org].Lend(now, h.s.loans, need, 0)
		if granted > 0 {
			own.Borrow(now, sent, &quota.Loan{Lender: o.spec.ID, ID: h.s.loans}, granted)
			need -= granted
		}
	}
}

func (s *sim) rate(org string) int64 {
	for _, o := range s.d.Organisations {
		if o.Name == org {
			return o.Rate
		}
	}
	return 0
}

func (h *entryHost) admitted(c *call) {
	c.admitted = h.s.clk.now
	h.enqueue(c)
}

// enqueue lets the call wait for a target, or sends it at once where the policy has no queues.
func (h *entryHost) enqueue(c *call) {
	switch {
	case h.s.policy.routing == routeCentral:
		h.s.central.push(c)
	case !h.s.policy.fair:
		h.send(c, h.choose(c))
	default:
		h.push(c)
		h.pump()
	}
}

func (h *entryHost) push(c *call) {
	q := h.queues[c.name()]
	if q == nil {
		q = fairqueue.New(queueLimit)
		h.queues[c.name()] = q
	}
	if q.Len() == 0 {
		h.names = append(h.names, c.name())
	}
	entry := &fairqueue.Entry{
		Organisation: c.rec.Organisation, Weight: h.s.weight(c.rec.Organisation), Tokens: c.charge,
		Deadline: int64(c.deadline), Value: c,
	}
	if dropped := q.Push(entry); dropped != nil {
		h.giveUp(dropped.Value.(*call), refusal.QueueFull)
	}
}

func (s *sim) weight(org string) int64 {
	for _, o := range s.d.Organisations {
		if o.Name == org {
			return max(o.Weight, 1)
		}
	}
	return 1
}

// pump sends waiting calls, model by model in turn, as long as targets take them.
func (h *entryHost) pump() {
	if h.down {
		return
	}
	for idle := 0; idle < len(h.names); {
		h.turn %= len(h.names)
		name := h.names[h.turn]
		if !h.sendNext(name) {
			idle++
			h.turn++
			continue
		}
		idle = 0
		if h.queues[name].Len() == 0 {
			h.names = slices.Delete(h.names, h.turn, h.turn+1)
		} else {
			h.turn++
		}
	}
}

// sendNext sends the first call of the queue if a target takes it.
func (h *entryHost) sendNext(name string) bool {
	q := h.queues[name]
	if q.Len() == 0 {
		return false
	}
	now := h.s.clk.time()
	probe := router.Request{Model: h.s.baseModel(name), Adapter: h.s.adapterName(name), LimitOutstanding: true}
	if _, ok := h.router.EstimateWait(now, &probe); !ok {
		return false
	}
	c := q.Pop().Value.(*call)
	if wait, ok := h.router.EstimateWait(now, &c.route); ok && h.s.clk.now+h.caution.Add(wait) > c.deadline {
		h.giveUp(c, refusal.DeadlineUnreachable)
		return true
	}
	t, ok := h.router.Pick(now, &c.route)
	if !ok {
		// Only targets tried before can take it.
		t, _ = h.router.Pick(now, &probe)
	}
	h.send(c, h.s.byID[t.ID])
	return true
}

// expire refuses calls whose deadline has passed while they waited.
func (h *entryHost) expire() {
	for _, name := range slices.Clone(h.names) {
		q := h.queues[name]
		for e := q.PopExpired(int64(h.s.clk.now)); e != nil; e = q.PopExpired(int64(h.s.clk.now)) {
			h.giveUp(e.Value.(*call), refusal.DeadlineUnreachable)
		}
	}
	h.names = slices.DeleteFunc(h.names, func(n string) bool { return h.queues[n].Len() == 0 })
}

// giveUp refuses a call that has not run, and refunds it.
func (h *entryHost) giveUp(c *call, reason refusal.Reason) {
	h.refund(c, 0)
	c.refuse(reason)
}

// refund ends the charge of a call.
func (h *entryHost) refund(c *call, used int64) {
	c.closed = h.s.clk.now
	h.bucket(c.rec.Organisation).Refund(h.s.quotaTime(), &c.spend, used)
}

// choose picks a target for the policies without a router.
func (h *entryHost) choose(c *call) *fakeEngine {
	copies := h.s.place.copies(c.name())
	if len(copies) == 0 {
		return nil
	}
	start := h.nextRR[c.name()]
	h.nextRR[c.name()]++
	best := copies[start%len(copies)]
	if h.s.policy.routing == routeLeast {
		for i := range copies {
			if e := copies[(start+i)%len(copies)]; h.own[e] < h.own[best] {
				best = e
			}
		}
	}
	return best
}

// send starts an attempt at e.
func (h *entryHost) send(c *call, e *fakeEngine) {
	if e == nil {
		h.giveUp(c, refusal.NoTarget)
		return
	}
	c.attempt++
	a := &attempt{h: h, c: c, e: e, number: c.attempt, began: h.s.clk.now, life: h.life}
	h.own[e]++
	h.s.clk.after(h.s.delay(h.spec.Zone, e.spec.Zone), a.arrive)
}

func (h *entryHost) setView(v *placement.View) { h.router.SetPlacement(v, nil) }

func (h *entryHost) cutAt(now time.Duration) { h.cut, h.cutTime = true, now }

func (h *entryHost) cutEnds() { h.cut = false }

// die loses the host's queued calls and open answers; its slots go to the others later.
func (h *entryHost) die() {
	h.down = true
	h.life++
	clear(h.own)
	for _, c := range h.s.calls {
		if c.host == h && c.admitted >= 0 && !c.over && c.finished < 0 {
			c.attempt++
			c.refuse(refusal.TargetFailed)
		}
	}
	clear(h.queues)
	h.names = nil
	h.s.clk.after(takeOver, func() { h.s.shareSlots() })
}

func (h *entryHost) revive() {
	h.down = false
	h.s.clk.after(takeOver, func() { h.s.shareSlots() })
}

// shareSlots spreads the slots over the live hosts.
func (s *sim) shareSlots() {
	if s.kvDown > 0 || s.policy.sharing != shareLoans {
		return
	}
	var live []*entryHost
	for _, h := range s.hosts {
		h.slots = 0
		if !h.down {
			live = append(live, h)
		}
	}
	for i := range manifest.SlotCount {
		if len(live) > 0 {
			live[i%len(live)].slots++
		}
	}
	for _, h := range s.hosts {
		for _, o := range s.d.Organisations {
			h.configure(o.Name, s.quotaTime())
		}
	}
}
