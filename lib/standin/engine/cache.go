package engine

import "time"

// CacheEvent reports that a prompt prefix was stored or evicted.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"` // stored or evicted
	Prefix uint64 `json:"prefix"`

	created time.Time
}

// maxCacheEvents bounds the log of published events.
const maxCacheEvents = 10_000

// prefixCache is an LRU cache of prompt prefix hashes that publishes its changes as events.
type prefixCache struct {
	size   int
	gap    int
	seq    int64
	used   []uint64 // least recently used first
	events []CacheEvent
}

// touch reports whether prefix was cached, and stores it as the most recently used.
func (c *prefixCache) touch(prefix uint64) bool {
	if prefix == 0 || c.size == 0 {
		return false
	}
	for i, p := range c.used {
		if p == prefix {
			c.used = append(append(c.used[:i:i], c.used[i+1:]...), p)
			return true
		}
	}
	if len(c.used) == c.size {
		c.publish("evicted", c.used[0])
		c.used = c.used[1:]
	}
	c.used = append(c.used, prefix)
	c.publish("stored", prefix)
	return false
}

// publish appends an event to the log; events whose number is a multiple of c.gap are lost.
func (c *prefixCache) publish(kind string, prefix uint64) {
	c.seq++
	if c.gap > 0 && c.seq%int64(c.gap) == 0 {
		return
	}
	if c.events = append(c.events, CacheEvent{c.seq, kind, prefix, time.Now()}); len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events whose number is above seq and whose age is at least delay.
func (c *prefixCache) eventsAfter(seq int64, delay time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && time.Since(ev.created) >= delay {
			out = append(out, ev)
		}
	}
	return out
}
