package engine

import "time"

// CacheEvent tells that a prompt prefix was stored or evicted.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"` // stored or evicted
	Prefix uint64 `json:"prefix"`

	at time.Time
}

// keptCacheEvents bounds the published log.
const keptCacheEvents = 10_000

// prefixCache holds the hashes of recent prompt prefixes, the least recently used evicted first.
type prefixCache struct {
	size   int
	gap    int
	seq    int64
	used   []uint64 // least recently used first
	events []CacheEvent
}

// touch reports whether prefix was present and makes it the newest.
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

func (c *prefixCache) publish(kind string, prefix uint64) {
	c.seq++
	if c.gap > 0 && c.seq%int64(c.gap) == 0 {
		return
	}
	if c.events = append(c.events, CacheEvent{c.seq, kind, prefix, time.Now()}); len(c.events) > keptCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events above seq that are at least delay old.
func (c *prefixCache) after(seq int64, delay time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && time.Since(ev.at) >= delay {
			out = append(out, ev)
		}
	}
	return out
}
