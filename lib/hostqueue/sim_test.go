package hostqueue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/registry"
)

// kind is a kind of requests of a simulated day.
type kind struct {
	name, organisation string
	priority           int
	objective          time.Duration
	prompt, output     int64
	perSecond          func(at time.Duration) float64
}

// site is a simulated deployment: hosts that decide with this package, or send everything at once, and engines that serve by priority.
type site struct {
	hosts, targets int
	admission      bool
	length         time.Duration
	kinds          []kind
	// gone targets crash at goneFrom and are back at goneTo; they are the first ones.
	gone             int
	goneFrom, goneTo time.Duration
}

const (
	simSlots        = 16
	simTokensPerMS  = 12
	simStep         = 20 * time.Millisecond
	simNewsInterval = 300 * time.Millisecond
	simNewsDelay    = 400 * time.Millisecond
	simRoundTrip    = time.Millisecond
	simPatience     = 4 // times the objective, 2 s at least
)

// simCall is a request and what its caller gets.
type simCall struct {
	kind             *kind
	at, first, ended time.Duration // since the start; zero: not yet
	sentAt           time.Duration // when the caller has sent it last
	sends            int           // times that the caller has sent it
	refusedAfter     time.Duration // longest time at a host before a refusal
	done             bool
	host             int
	req              *Request
	choice           *balance.Choice
	target           int
	priority         int
	seq              int
	inSlot           bool
}

// patience returns the silence after which the caller gives up.
func (k *kind) patience() time.Duration { return max(2*time.Second, simPatience*k.objective) }

type simEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

type simTarget struct {
	waiting   []*simCall
	running   int
	prefilled time.Duration // when the prompts in the batch are prefilled
}

type simHost struct {
	balancer *balance.Balancer
	queue    *Queue
	woken    bool
}

type sim struct {
	site
	now       time.Duration
	seq       int
	events    simEvents
	random    *rand.Rand
	callers   *rand.Rand // of arrivals, which are the same in each variant
	hosts     []*simHost
	targets   []*simTarget
	calls     []*simCall
	byRequest map[*Request]*simCall // requests that queues have not decided on
}

var simStart = time.Unix(1000, 0)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, fn})
}

func simTargetID(i int) string { return fmt.Sprintf("t%03d", i) }

func (s *sim) isGone(target int) bool {
	return target < s.gone && s.now >= s.goneFrom && s.now < s.goneTo
}

// crash ends all requests at the targets that are gone. Callers send those again that had not begun.
func (s *sim) crash() {
	for _, c := range s.calls {
		if c.choice == nil || c.done || c.target >= s.gone {
			continue
		}
		choice := c.choice
		s.finish(c, func() { choice.ConnectionBroken(s.time()) })
		if c.first == 0 {
			c.done, c.choice, c.inSlot = false, nil, false
			s.send(c)
		}
	}
}

// targetList returns the entries of the targets that are there.
func (s *sim) targetList() (list []*registry.Target) {
	for i := range s.targets {
		if !s.isGone(i) {
			list = append(list, &registry.Target{
				ID: simTargetID(i), Addr: simTargetID(i), Service: "llm", Zone: string(rune('a' + i%4)), Slots: simSlots,
				Models: []registry.ResidentModel{{Model: "m"}}, Beat: 1,
			})
		}
	}
	return list
}

// play simulates a day and returns all requests of callers.
func play(c site, seed uint64) *sim {
	s := &sim{site: c, byRequest: map[*Request]*simCall{}, random: rand.New(rand.NewPCG(seed, 7)), callers: rand.New(rand.NewPCG(seed, 8))}
	for range c.targets {
		s.targets = append(s.targets, &simTarget{})
	}
	for i := range c.hosts {
		h := &simHost{balancer: balance.New(string(rune('a'+i%4)), nil, nil, rand.New(rand.NewPCG(seed, uint64(i))))}
		h.balancer.SetEvenLoad(true)
		h.balancer.SetNewsDelay(simNewsDelay + simNewsInterval)
		h.balancer.SetCatalog(catalog.New(catalog.Content{Services: []*catalog.Service{
			{Name: "llm", Engine: &catalog.Engine{Slots: simSlots, CacheTokens: 400_000}},
		}}))
		h.balancer.SetHosts(c.hosts)
		h.balancer.SetTargets(s.targetList())
		h.queue = New(h.balancer, s.random.Float64)
		s.hosts = append(s.hosts, h)
		h.balancer.OnRoom(func(string) { s.wake(h) })
		s.tick(h)
	}
	for i := range c.kinds {
		s.arrive(&c.kinds[i])
	}
	s.exchange()
	if c.gone > 0 {
		s.after(c.goneFrom, s.crash)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.fn()
	}
	return s
}

// arrive has the next request of a kind sent, and all that follow.
func (s *sim) arrive(k *kind) {
	rate := k.perSecond(s.now)
	if rate <= 0 {
		s.after(100*time.Millisecond, func() { s.arriveAt(k, false) })
		return
	}
	s.after(time.Duration(s.callers.ExpFloat64()/rate*float64(time.Second)), func() { s.arriveAt(k, true) })
}

func (s *sim) arriveAt(k *kind, send bool) {
	if s.now > s.length {
		return
	}
	if send {
		c := &simCall{kind: k, at: s.now}
		s.calls = append(s.calls, c)
		s.after(k.patience(), func() { s.giveUp(c) })
		s.send(c)
	}
	s.arrive(k)
}

// send has a caller send its request to some host.
func (s *sim) send(c *simCall) {
	c.sends++
	c.sentAt = s.now
	c.host = s.random.IntN(len(s.hosts))
	h, k := s.hosts[c.host], c.kind
	// A caller that comes back has less time left than it had.
	left := c.at + k.patience() - s.now
	c.req = &Request{
		Query: balance.Query{Service: "llm", Priority: k.priority, Wanted: map[string]bool{}, Call: &passthrough.Call{
			Model: "m", PromptTokens: k.prompt, MaxOutput: 4 * k.output, OutputHint: k.output,
		}},
		Organisation: k.organisation, Tokens: k.prompt + k.output, Objective: k.objective, Arrived: s.time(), Elapsed: s.now - c.at,
		Latest: s.time().Add(left * 7 / 10),
	}
	if !s.admission {
		choice, err := h.balancer.Pick(c.req.Query, s.time())
		c.req.Choice, c.req.Err = choice, err
		s.decided(c, time.Time{})
		return
	}
	c.req.Query.Call.ID = fmt.Sprint(len(s.calls))
	s.byRequest[c.req] = c
	s.apply(h.queue.Enter(c.req, s.time()))
}

func (s *sim) apply(decided []*Request) {
	for _, r := range decided {
		c := s.byRequest[r]
		delete(s.byRequest, r)
		s.decided(c, r.Arrived)
	}
}

func (s *sim) decided(c *simCall, arrived time.Time) {
	if c.req.Choice == nil {
		if !arrived.IsZero() {
			c.refusedAfter = max(c.refusedAfter, s.time().Sub(arrived))
		}
		left := c.at + c.kind.patience() - s.now
		retry := 500 * time.Millisecond
		if r, ok := c.req.Err.(*RefusedError); ok {
			retry = r.RetryAfter(s.random.Float64())
		}
		if retry = min(retry, left/3); left > 200*time.Millisecond && c.sends < 5 {
			s.after(retry, func() {
				if !c.done {
					s.send(c)
				}
			})
		}
		return
	}
	c.choice, c.priority = c.req.Choice, c.kind.priority
	_, _ = fmt.Sscanf(c.choice.Target.ID, "t%d", &c.target)
	choice := c.choice
	s.after(simRoundTrip, func() {
		if c.done || c.choice != choice {
			return
		}
		if s.isGone(c.target) {
			c.choice.Unsent()
			c.choice.Unresponsive(s.time())
			c.choice = nil
			s.send(c)
			return
		}
		t := s.targets[c.target]
		s.seq++
		c.seq = s.seq
		t.waiting = append(t.waiting, c)
		s.admit(c.target)
	})
}

// admit has a target begin what fits into its batch, by priority.
func (s *sim) admit(target int) {
	t := s.targets[target]
	for t.running < simSlots && len(t.waiting) > 0 && !s.isGone(target) {
		best := 0
		for i, c := range t.waiting {
			if b := t.waiting[best]; c.priority < b.priority || c.priority == b.priority && c.seq < b.seq {
				best = i
			}
		}
		c := t.waiting[best]
		t.waiting = slices.Delete(t.waiting, best, best+1)
		t.running++
		c.inSlot = true
		t.prefilled = max(t.prefilled, s.now) + time.Duration(c.kind.prompt)*time.Millisecond/simTokensPerMS
		choice := c.choice
		s.after(t.prefilled-s.now, func() {
			if c.done || c.choice != choice {
				return
			}
			c.first = s.now
			c.choice.FirstEvent(s.time())
			s.after(time.Duration(c.kind.output)*simStep, func() {
				if !c.done {
					s.finish(c, func() { c.choice.Answered(false, s.time()) })
					c.ended = s.now
				}
			})
		})
	}
}

// finish ends a request and frees its slot.
func (s *sim) finish(c *simCall, end func()) {
	c.done = true
	t := s.targets[c.target]
	if c.inSlot {
		t.running--
	} else if i := slices.Index(t.waiting, c); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
	end()
	s.admit(c.target)
}

// giveUp has the caller of a request without a first event leave.
func (s *sim) giveUp(c *simCall) {
	switch {
	case c.done || c.first > 0:
	case c.choice != nil:
		s.finish(c, func() { c.choice.Abandoned() })
	default:
		c.done = true
		if c.req != nil && s.hosts[c.host].queue.Leave(c.req) {
			delete(s.byRequest, c.req)
		}
	}
}

// wake has a host look for room shortly.
func (s *sim) wake(h *simHost) {
	if !h.woken && h.queue != nil && s.admission {
		h.woken = true
		s.after(time.Millisecond, func() {
			h.woken = false
			s.apply(h.queue.Advance(s.time()))
		})
	}
}

// tick has a host look for what time alone decides.
func (s *sim) tick(h *simHost) {
	s.apply(h.queue.Advance(s.time()))
	if s.now < s.length+10*time.Second {
		s.after(50*time.Millisecond, func() { s.tick(h) })
	}
}

// exchange has the hosts learn of each other's load and of the targets.
func (s *sim) exchange() {
	total, own := map[string]balance.Load{}, make([]map[string]balance.Load, len(s.hosts))
	for i, h := range s.hosts {
		own[i] = h.balancer.LocalLoads(s.time())
		for id, load := range own[i] {
			total[id] = total[id].Plus(load, 1)
		}
	}
	list := s.targetList()
	for i, h := range s.hosts {
		others := map[string]balance.Load{}
		for id, load := range total {
			others[id] = load.Plus(own[i][id], -1)
		}
		s.after(simNewsDelay+time.Duration(s.random.Int64N(int64(simNewsInterval))), func() {
			h.balancer.SetTargets(list)
			h.balancer.SetPeerLoads("others", others)
		})
	}
	if s.now < s.length+10*time.Second {
		s.after(simNewsInterval, s.exchange)
	}
}

// report is what the callers of a kind, or of all, got.
type report struct {
	n, answered, inTime, refusedLate int
	worth                            float64
	waits, lastWaits                 []time.Duration // from the first and from the last time that the request was sent
}

func (s *sim) report(keep func(*simCall) bool) (r report) {
	for _, c := range s.calls {
		if keep != nil && !keep(c) {
			continue
		}
		r.n++
		if c.refusedAfter >= c.kind.patience()*3/4 {
			r.refusedLate++
		}
		if c.first == 0 {
			continue
		}
		r.answered++
		wait := c.first - c.at
		r.waits, r.lastWaits = append(r.waits, wait), append(r.lastWaits, c.first-c.sentAt)
		if wait <= c.kind.objective {
			r.inTime++
			r.worth++
		} else {
			r.worth += max(0, 1-float64(wait-c.kind.objective)/float64(c.kind.patience())) / 2
		}
	}
	slices.Sort(r.waits)
	slices.Sort(r.lastWaits)
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond)
}

// part returns a number as a fraction of all requests.
func (r report) part(n int) float64 { return float64(n) / float64(max(1, r.n)) }

func (r report) String() string {
	return fmt.Sprintf("%d requests: answered %.3f, in time %.3f, worth %.3f, first event at 50, 90, 99 %%: %v %v %v, since last sent: %v %v %v, refused late %d",
		r.n, r.part(r.answered), r.part(r.inTime), r.worth/float64(r.n),
		quantile(r.waits, 0.5), quantile(r.waits, 0.9), quantile(r.waits, 0.99),
		quantile(r.lastWaits, 0.5), quantile(r.lastWaits, 0.9), quantile(r.lastWaits, 0.99), r.refusedLate)
}
