package balance

import (
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

// Choice is the target chosen. Exactly one of its methods that end the request must be called.
type Choice struct {
	Target   *registry.Target
	Expected time.Duration // until the first event
	book     *Book
	entry    *target
	load     Load
	model    string
	picked   time.Time
	first    bool
}

// First records the first event.
func (c *Choice) First(now time.Time) {
	b := c.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.first {
		return
	}
	c.first = true
	c.entry.own.Prefill -= c.load.Prefill
	if c.Expected > 0 && c.load.Prefill > 0 {
		ratio := min(paceMost, max(paceLeast, float64(now.Sub(c.picked))/float64(c.Expected)))
		pace := b.paceOf(c.model)
		b.pace[c.model] = min(paceMost, max(paceLeast, pace+paceWeight*(ratio*pace-pace)))
	}
}

func (c *Choice) done() {
	if !c.first {
		c.first = true
		c.entry.own.Prefill -= c.load.Prefill
	}
	c.entry.own.Running -= c.load.Running
	c.entry.own.Cache -= c.load.Cache
}

// Answered ends the request with an answer; failed states that it was a failure of the target.
func (c *Choice) Answered(failed bool, now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.answered(failed, now)
}

// Rejected ends the request with the target's statement that it did not run it.
func (c *Choice) Rejected(now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.rejected(now)
}

// Absent ends the request with the target's statement that it does not hold the model or adapter.
func (c *Choice) Absent(model, adapter string, now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	name := model
	if adapter != "" {
		name += "/" + adapter
	}
	c.entry.absent[name] = now.Add(absentTime)
}

// Broken ends the request with a connection that broke off before the answer was complete.
func (c *Choice) Broken(now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.broken(now)
}

// Silent ends the request without an answer: the target was not reached, or was silent for too long.
func (c *Choice) Silent(now time.Time) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.parts.clear()
	c.entry.health.silent(now)
}

// Abandoned ends the request because its caller left or its time ran out; it says nothing about the target.
func (c *Choice) Abandoned() {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.done()
	c.entry.health.trial = false
}
