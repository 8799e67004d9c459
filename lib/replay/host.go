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
	// initialBucketAge is the age of the buckets at the start of a replay. It lets them start full.
	initialBucketAge = 1000 * time.Second
	// slotFailoverDelay is the time until the quota slots of a crashed host generate tokens at other hosts: 5 s until
	// the host counts as unreachable, then 3 s until the new owner starts.
	slotFailoverDelay    = 8 * time.Second
	isolationGracePeriod = 2 * time.Second // an isolated host refuses calls after this time
	responseTimeout      = 4 * time.Second // upper bound for the detection of an unresponsive target
	expiryInterval       = 20 * time.Millisecond
	loanReturnInterval   = 100 * time.Millisecond
	maxQueueLength       = 10_000
	// extraLoanSeconds times the organisation's rate is borrowed in addition to the missing tokens.
	extraLoanSeconds = 1.0 / 16
)

// entryHost simulates one entry host with its token buckets, queues and router.
type entryHost struct {
	sim              *sim
	spec             *Entry
	down             bool
	incarnation      int // incremented by each crash
	isolated         bool
	isolatedSince    time.Duration
	slots            int
	buckets          map[string]*quota.Bucket
	router           *router.Router
	queues           map[string]*fairqueue.Queue // by model or adapter
	waitingModels    []string                    // keys of the non-empty queues, in the order in which they became non-empty
	nextWaitingModel int
	outstanding      map[*fakeEngine]int
	nextCopy         map[string]int
	waitMargin       router.WaitMargin
}

func newEntryHost(s *sim, i int) *entryHost {
	h := &entryHost{
		sim: s, spec: &s.deployment.Entries[i], buckets: map[string]*quota.Bucket{},
		queues: map[string]*fairqueue.Queue{}, outstanding: map[*fakeEngine]int{}, nextCopy: map[string]int{},
	}
	h.slots = manifest.SlotCount / len(s.deployment.Entries)
	if i < manifest.SlotCount%len(s.deployment.Entries) {
		h.slots++
	}
	h.router = router.New(router.Config{
		Zone: h.spec.Zone, Rand: s.rng.Uint64, ZoneDelay: func(a, b string) time.Duration { return s.networkDelay(a, b) },
	})
	h.router.SetGateways(len(s.deployment.Entries))
	for _, o := range s.deployment.Organisations {
		h.buckets[o.Name] = quota.NewBucket(0)
		h.configureBucket(o.Name, 0)
	}
	return h
}

// configureBucket gives the host's bucket its fraction of the organisation's rate and burst. now is a quota time.
func (h *entryHost) configureBucket(org string, now int64) {
	for _, o := range h.sim.deployment.Organisations {
		if o.Name != org {
			continue
		}
		fraction := float64(h.slots) / manifest.SlotCount
		switch h.sim.policy.sharing {
		case shareStatic:
			fraction = 1 / float64(len(h.sim.deployment.Entries))
		case shareOneBucket:
			fraction = 1 // only the first host's bucket is used
		}
		h.buckets[org].Configure(now, now, float64(o.Rate)*fraction, float64(o.Burst)*fraction)
	}
}

// quotaTime returns the virtual time in nanoseconds on the time scale of the buckets.
func (s *sim) quotaTime() int64 { return int64(s.clock.now + initialBucketAge) }

// networkDelay returns the one-way delay between two availability zones.
func (s *sim) networkDelay(fromZone, toZone string) time.Duration {
	if fromZone == toZone {
		return 0
	}
	return millis(s.deployment.ZoneDelayMS)
}

// startTimers schedules the periodic work of the host until end.
func (h *entryHost) startTimers(end time.Duration) {
	if h.sim.policy.fairQueues {
		h.sim.clock.scheduleEvery(expiryInterval, end, h.refuseExpired)
	}
	if h.sim.policy.sharing == shareLoans {
		h.sim.clock.scheduleEvery(loanReturnInterval, end, h.returnLoans)
	}
}

// returnLoans returns the unused tokens of loans to the hosts that lent them.
func (h *entryHost) returnLoans() {
	if h.down || h.isolated {
		return
	}
	for _, o := range h.sim.deployment.Organisations {
		bucket := h.buckets[o.Name]
		bucket.Advance(h.sim.quotaTime())
		bucket.TakeReturns(func(lender string, id uint64, sum float64, ended bool) {
			if l := h.sim.hostByID(lender); !l.down && !l.isolated {
				l.buckets[o.Name].Return(h.sim.quotaTime(), id, sum, ended)
			}
		})
	}
}

// bucket returns the bucket that the host charges for the organisation.
func (h *entryHost) bucket(org string) *quota.Bucket {
	if h.sim.policy.sharing == shareOneBucket {
		return h.sim.hosts[0].buckets[org]
	}
	return h.buckets[org]
}

// admit charges the call to its organisation and enqueues it, or refuses it. If the local tokens do not suffice, the
// host borrows from other hosts, where the policy has loans, and tries once more after a round trip.
func (h *entryHost) admit(c *call) {
	if h.isolated && h.sim.clock.now-h.isolatedSince >= isolationGracePeriod {
		c.refuse(refusal.ConfigStale)
		return
	}
	h.sim.controller.observeDemand(c)
	if h.chargeBucket(c) {
		h.onAdmitted(c)
		return
	}
	if h.sim.policy.sharing != shareLoans || h.isolated {
		c.refuse(refusal.RateExceeded)
		return
	}
	sent := h.sim.quotaTime()
	h.sim.clock.scheduleAfter(2*millis(h.sim.deployment.ZoneDelayMS), func() {
		h.borrow(c, sent)
		if h.chargeBucket(c) {
			h.onAdmitted(c)
			return
		}
		c.refuse(refusal.RateExceeded)
	})
}

func (h *entryHost) chargeBucket(c *call) bool {
	return h.bucket(c.rec.Organisation).Spend(h.sim.quotaTime(), c.chargedTokens, &c.quotaCharge)
}

// borrow takes loans from the other hosts, in random order, for the tokens that the call lacks and extraLoanSeconds
// of the organisation's rate. sent is the quota time at which the host asked for them.
func (h *entryHost) borrow(c *call, sent int64) {
	org, now := c.rec.Organisation, h.sim.quotaTime()
	bucket := h.buckets[org]
	need := float64(c.chargedTokens) - bucket.Available(now) + extraLoanSeconds*float64(h.sim.rate(org))
	others := slices.DeleteFunc(slices.Clone(h.sim.hosts), func(o *entryHost) bool { return o == h || o.down || o.isolated })
	h.sim.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, o := range others {
		if need < 1 {
			return
		}
		h.sim.lastLoanID++
		granted, _ := o.buckets[org].Lend(now, h.sim.lastLoanID, need, 0)
		if granted > 0 {
			bucket.Borrow(now, sent, &quota.Loan{Lender: o.spec.ID, ID: h.sim.lastLoanID}, granted)
			need -= granted
		}
	}
}

func (s *sim) rate(org string) int64 {
	for _, o := range s.deployment.Organisations {
		if o.Name == org {
			return o.Rate
		}
	}
	return 0
}

func (h *entryHost) onAdmitted(c *call) {
	c.admittedAt = h.sim.clock.now
	h.enqueue(c)
}

// enqueue queues the call and dispatches waiting calls. Without fair queues it sends the call at once.
func (h *entryHost) enqueue(c *call) {
	switch {
	case h.sim.policy.routing == routeCentralQueue:
		h.sim.centralQueue.push(c)
	case !h.sim.policy.fairQueues:
		h.send(c, h.chooseCopy(c))
	default:
		h.push(c)
		h.dispatch()
	}
}

func (h *entryHost) push(c *call) {
	q := h.queues[c.requestedModel()]
	if q == nil {
		q = fairqueue.New(maxQueueLength)
		h.queues[c.requestedModel()] = q
	}
	if q.Len() == 0 {
		h.waitingModels = append(h.waitingModels, c.requestedModel())
	}
	entry := &fairqueue.Entry{
		Organisation: c.rec.Organisation, Weight: h.sim.weight(c.rec.Organisation), Tokens: c.chargedTokens,
		Deadline: int64(c.deadline), Value: c,
	}
	if dropped := q.Push(entry); dropped != nil {
		h.giveUp(dropped.Value.(*call), refusal.QueueFull)
	}
}

func (s *sim) weight(org string) int64 {
	for _, o := range s.deployment.Organisations {
		if o.Name == org {
			return max(o.Weight, 1)
		}
	}
	return 1
}

// dispatch sends waiting calls as long as targets have capacity, one call of each model or adapter in turn.
func (h *entryHost) dispatch() {
	if h.down {
		return
	}
	for idle := 0; idle < len(h.waitingModels); {
		h.nextWaitingModel %= len(h.waitingModels)
		name := h.waitingModels[h.nextWaitingModel]
		if !h.sendNext(name) {
			idle++
			h.nextWaitingModel++
			continue
		}
		idle = 0
		if h.queues[name].Len() == 0 {
			h.waitingModels = slices.Delete(h.waitingModels, h.nextWaitingModel, h.nextWaitingModel+1)
		} else {
			h.nextWaitingModel++
		}
	}
}

// sendNext takes the first call from the queue and sends it, or refuses it if it cannot meet its deadline. It returns
// false if the queue is empty or no target has capacity.
func (h *entryHost) sendNext(name string) bool {
	q := h.queues[name]
	if q.Len() == 0 {
		return false
	}
	now := h.sim.clock.absoluteTime()
	probe := router.Request{Model: h.sim.baseModel(name), Adapter: h.sim.adapterName(name), LimitOutstanding: true}
	if _, ok := h.router.EstimateWait(now, &probe); !ok {
		return false
	}
	c := q.Pop().Value.(*call)
	if wait, ok := h.router.EstimateWait(now, &c.route); ok && h.sim.clock.now+h.waitMargin.Add(wait) > c.deadline {
		h.giveUp(c, refusal.DeadlineUnreachable)
		return true
	}
	t, ok := h.router.Pick(now, &c.route)
	if !ok {
		// Only targets that the call has already tried have capacity.
		t, _ = h.router.Pick(now, &probe)
	}
	h.send(c, h.sim.engineByID[t.ID])
	return true
}

// refuseExpired refuses calls whose deadline has passed while they waited.
func (h *entryHost) refuseExpired() {
	for _, name := range slices.Clone(h.waitingModels) {
		q := h.queues[name]
		for e := q.PopExpired(int64(h.sim.clock.now)); e != nil; e = q.PopExpired(int64(h.sim.clock.now)) {
			h.giveUp(e.Value.(*call), refusal.DeadlineUnreachable)
		}
	}
	h.waitingModels = slices.DeleteFunc(h.waitingModels, func(n string) bool { return h.queues[n].Len() == 0 })
}

// giveUp refuses a call and refunds its whole charge.
func (h *entryHost) giveUp(c *call, reason refusal.Reason) {
	h.refund(c, 0)
	c.refuse(reason)
}

// refund settles the charge of a call and refunds all but the used tokens.
func (h *entryHost) refund(c *call, used int64) {
	c.refundedAt = h.sim.clock.now
	h.bucket(c.rec.Organisation).Refund(h.sim.quotaTime(), &c.quotaCharge, used)
}

// chooseCopy picks a target for the policies without cost-based routing. It returns nil if the model or adapter is
// loaded nowhere.
func (h *entryHost) chooseCopy(c *call) *fakeEngine {
	copies := h.sim.controller.copies(c.requestedModel())
	if len(copies) == 0 {
		return nil
	}
	start := h.nextCopy[c.requestedModel()]
	h.nextCopy[c.requestedModel()]++
	best := copies[start%len(copies)]
	if h.sim.policy.routing == routeLeastOutstanding {
		for i := range copies {
			if e := copies[(start+i)%len(copies)]; h.outstanding[e] < h.outstanding[best] {
				best = e
			}
		}
	}
	return best
}

// send starts an attempt at e. A nil e refuses the call.
func (h *entryHost) send(c *call, e *fakeEngine) {
	if e == nil {
		h.giveUp(c, refusal.NoTarget)
		return
	}
	c.attempt++
	a := &attempt{host: h, call: c, engine: e, number: c.attempt, startedAt: h.sim.clock.now, hostIncarnation: h.incarnation}
	h.outstanding[e]++
	h.sim.clock.scheduleAfter(h.sim.networkDelay(h.spec.Zone, e.spec.Zone), a.deliver)
}

func (h *entryHost) setPlacement(v *placement.View) { h.router.SetPlacement(v, nil) }

func (h *entryHost) startIsolation(now time.Duration) { h.isolated, h.isolatedSince = true, now }

func (h *entryHost) endIsolation() { h.isolated = false }

// crash drops the queues of the host and fails its admitted calls that are not finished. The other hosts
// take its quota slots after slotFailoverDelay.
func (h *entryHost) crash() {
	h.down = true
	h.incarnation++
	clear(h.outstanding)
	for _, c := range h.sim.calls {
		if c.host == h && c.admittedAt >= 0 && !c.over && c.finishedAt < 0 {
			c.attempt++
			c.refuse(refusal.TargetFailed)
		}
	}
	clear(h.queues)
	h.waitingModels = nil
	h.sim.clock.scheduleAfter(slotFailoverDelay, func() { h.sim.redistributeSlots() })
}

func (h *entryHost) restart() {
	h.down = false
	h.sim.clock.scheduleAfter(slotFailoverDelay, func() { h.sim.redistributeSlots() })
}

// redistributeSlots spreads the quota slots equally over the running hosts. It does nothing while the key-value
// service is down.
func (s *sim) redistributeSlots() {
	if s.kvOutages > 0 || s.policy.sharing != shareLoans {
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
		for _, o := range s.deployment.Organisations {
			h.configureBucket(o.Name, s.quotaTime())
		}
	}
}
