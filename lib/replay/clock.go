// Package replay replays recorded traces through the decision packages on a virtual clock.
package replay

import (
	"container/heap"
	"time"
)

// clock runs events in order of time, and in order of scheduling at equal times.
type clock struct {
	now    time.Duration
	events eventHeap
	next   uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
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

// after schedules run.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) at(t time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{at: max(t, c.now), seq: c.next, run: run})
}

// every runs fn each period until end.
func (c *clock) every(period, end time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		if c.now+period <= end {
			c.after(period, tick)
		}
	}
	c.after(period, tick)
}

func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// time returns the virtual time as an absolute time for the decision packages.
func (c *clock) time() time.Time { return base.Add(c.now) }

// base is the absolute time of the start of every replay.
var base = time.Unix(1_700_000_000, 0).UTC()
