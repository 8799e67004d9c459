package replay

import (
	"container/heap"
	"time"

	"cuminhook.org/cuminhook/lib/refusal"
)

// centralQueue serves the earliest deadline first on whatever target is free: the optimistic upper bound.
type centralQueue struct {
	s     *sim
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
	q.pump()
}

// pump sends calls as long as a target is free. A call that cannot meet its deadline any more is dropped
// before it uses a target, without which earliest deadline first collapses under overload.
func (q *centralQueue) pump() {
	for len(q.calls) > 0 {
		c := q.calls[0]
		e, first := q.free(c)
		if e == nil {
			return
		}
		heap.Pop(&q.calls)
		if q.s.clk.now+first > c.deadline {
			c.host.giveUp(c, refusal.DeadlineUnreachable)
			continue
		}
		c.host.send(c, e)
	}
}

// free returns the free target with the earliest first token for the call, and that time.
func (q *centralQueue) free(c *call) (*fakeEngine, time.Duration) {
	var best *fakeEngine
	var bestFirst time.Duration
	for _, e := range q.s.engines {
		if e.down || e.silent || q.coming(e) || len(e.running)+1 > e.spec.Slots {
			continue
		}
		tokens := c.rec.Prompt
		if _, ok := e.cache.index[c.rec.Prefix]; ok {
			tokens -= c.rec.PrefixTokens
		}
		first := time.Duration(float64(tokens)/e.spec.PrefillRate*float64(time.Second)) + e.spec.gap(len(e.running)+1)
		first += 2 * q.s.delay(c.host.spec.Zone, e.spec.Zone)
		if best == nil || first < bestFirst {
			best, bestFirst = e, first
		}
	}
	return best, bestFirst
}

// coming reports whether the target has a call in prefill, waiting, or on its way.
func (q *centralQueue) coming(e *fakeEngine) bool {
	sent := 0
	for _, h := range q.s.hosts {
		sent += h.own[e]
	}
	return e.filling != nil || len(e.waiting) > 0 || sent > len(e.running)
}
