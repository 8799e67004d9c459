package balance

import "time"

// Load is work in flight at a target.
type Load struct {
	Running int   `json:"r,omitempty"` // requests
	Prefill int64 `json:"p,omitempty"` // prompt tokens of requests without a first event that the target has to read
	Cache   int64 `json:"c,omitempty"` // tokens of KV cache that the requests take when they are complete
	Reading int64 `json:"g,omitempty"` // milliseconds a second that the target reads prompts, averaged
}

func (l *Load) add(o Load, sign int64) {
	l.Running += int(sign) * o.Running
	l.Prefill += sign * o.Prefill
	l.Cache += sign * o.Cache
	l.Reading += sign * o.Reading
}

// cachedParts keeps what a target probably holds of prompts, least recently used first out.
type cachedParts struct {
	limit  int64 // tokens
	tokens int64
	used   map[string]cachedPart
}

type cachedPart struct {
	tokens int64
	at     time.Time
}

// cached returns the tokens of the leading parts that are kept.
func (c *cachedParts) cached(keys []string, tokens []int64) (sum int64) {
	for i, key := range keys {
		if _, ok := c.used[key]; !ok {
			break
		}
		sum += tokens[i]
	}
	return sum
}

func (c *cachedParts) add(keys []string, tokens []int64, now time.Time) {
	if c.used == nil {
		c.used = map[string]cachedPart{}
	}
	for i, key := range keys {
		if old, ok := c.used[key]; ok {
			c.tokens -= old.tokens
		}
		c.used[key] = cachedPart{tokens[i], now}
		c.tokens += tokens[i]
	}
	for c.tokens > c.limit && len(c.used) > 0 {
		c.evict()
	}
}

func (c *cachedParts) evict() {
	var oldest string
	var at time.Time
	for key, part := range c.used {
		if oldest == "" || part.at.Before(at) {
			oldest, at = key, part.at
		}
	}
	c.tokens -= c.used[oldest].tokens
	delete(c.used, oldest)
}

func (c *cachedParts) clear() { c.tokens, c.used = 0, nil }
