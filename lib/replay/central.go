package replay

import (
	"container/heap"
	"time"

	"cuminhook.org/cuminhook/lib/refusal"
)

// centralQueue is one queue for all targets that sends the call with the earliest deadline to a free target. Policy
// upper-bound uses it as an optimistic bound for the other policies.
type centralQueue struct {
	sim   *sim
	calls callHeap
}

type callHeap []*call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(*call)) }
func (h *callHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

func (q *centralQueue) push(c *call) {
	heap.Push(&q.calls, c)
	q.dispatch()
}

// dispatch sends calls as long as a target is free. It refuses a call that can no longer meet its deadline before the
// call uses a target; otherwise earliest deadline first would collapse under overload.
func (q *centralQueue) dispatch() {
	for len(q.calls) > 0 {
		c := q.calls[0]
		e, untilFirstToken := q.bestFreeTarget(c)
		if e == nil {
			return
		}
		heap.Pop(&q.calls)
		if q.sim.clock.now+untilFirstToken > c.deadline {
			c.host.giveUp(c, refusal.DeadlineUnreachable)
			continue
		}
		c.host.send(c, e)
	}
}

// bestFreeTarget returns the free target that gives the call the earliest first token, and the time until that
// token. It returns nil if no target is free.
func (q *centralQueue) bestFreeTarget(c *call) (*fakeEngine, time.Duration) {
	var best *fakeEngine
	var bestUntilFirstToken time.Duration
	for _, e := range q.sim.engines {
		if e.down || e.unresponsive || q.hasPendingPrefill(e) || len(e.running)+1 > e.spec.Slots {
			continue
		}
		tokens := c.rec.PromptTokens
		if _, ok := e.cache.index[c.rec.Prefix]; ok {
			tokens -= c.rec.PrefixTokens
		}
		first := time.Duration(float64(tokens)/e.spec.PrefillTokensPerSecond*float64(time.Second)) +
			e.spec.tokenGap(len(e.running)+1)
		first += 2 * q.sim.networkDelay(c.host.spec.Zone, e.spec.Zone)
		if best == nil || first < bestUntilFirstToken {
			best, bestUntilFirstToken = e, first
		}
	}
	return best, bestUntilFirstToken
}

// hasPendingPrefill reports whether a call is in prefill at the target, waits there or is on its way to it.
func (q *centralQueue) hasPendingPrefill(e *fakeEngine) bool {
	sent := 0
	for _, h := range q.sim.hosts {
		sent += h.outstanding[e]
	}
	return e.prefilling != nil || len(e.waiting) > 0 || sent > len(e.running)
}
