// Package replay replays traces of requests and faults against a simulated deployment in virtual time and reports how
// the requests were served. Routing, queueing, quota and placement decisions come from the packages that the product
// uses; engines, entry hosts, the network and the weight store are simulated.
package replay

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs scheduled events in order of time, and events of the same time in the order in
// which they were scheduled.
type clock struct {
	now     time.Duration
	events  eventHeap
	lastSeq uint64
}

type event struct {
	dueAt time.Duration
	seq   uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// scheduleAfter schedules run for d after the current virtual time.
func (c *clock) scheduleAfter(d time.Duration, run func()) { c.scheduleAt(c.now+d, run) }

// scheduleAt schedules run for the virtual time t, or for the current time if t has passed.
func (c *clock) scheduleAt(t time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.events, event{dueAt: max(t, c.now), seq: c.lastSeq, run: run})
}

// scheduleEvery runs fn once per period, first after one period and last at the virtual time end at the latest.
func (c *clock) scheduleEvery(period, end time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		if c.now+period <= end {
			c.scheduleAfter(period, tick)
		}
	}
	c.scheduleAfter(period, tick)
}

// run runs events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.dueAt
		e.run()
	}
}

// absoluteTime returns the current virtual time as a time.Time, which the router and the planner expect.
func (c *clock) absoluteTime() time.Time { return startTime.Add(c.now) }

// startTime is the time.Time at which every replay starts.
var startTime = time.Unix(1_700_000_000, 0).UTC()
