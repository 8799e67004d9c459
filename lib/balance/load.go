package balance

import "time"

// Load is the load that requests in flight put on a target.
type Load struct {
	Running            int   `json:"r,omitempty"` // requests in flight
	PrefillTokens      int64 `json:"p,omitempty"` // prompt tokens to prefill, of requests without a first event
	CacheTokens        int64 `json:"c,omitempty"` // KV cache in tokens that the requests take when they are complete
	PrefillMSPerSecond int64 `json:"g,omitempty"` // averaged prefill time, in milliseconds per second
}

// add adds o times sign.
func (l *Load) add(o Load, sign int64) {
	l.Running += int(sign) * o.Running
	l.PrefillTokens += sign * o.PrefillTokens
	l.CacheTokens += sign * o.CacheTokens
	l.PrefillMSPerSecond += sign * o.PrefillMSPerSecond
}

// Plus returns the sum of the load and o times sign.
func (l Load) Plus(o Load, sign int64) Load {
	l.add(o, sign)
	return l
}

// segmentCache models which prompt segments are in the KV cache of a target. It evicts the least recently used ones.
type segmentCache struct {
	limitTokens int64
	tokens      int64 // of all segments
	segments    map[string]cachedSegment
}

type cachedSegment struct {
	tokens int64
	usedAt time.Time
}

// prefixTokens returns the tokens of the leading segments that are cached, up to the first that is not.
func (c *segmentCache) prefixTokens(keys []string, tokens []int64) (sum int64) {
	for i, key := range keys {
		if _, ok := c.segments[key]; !ok {
			break
		}
		sum += tokens[i]
	}
	return sum
}

// add marks the segments as used now, and evicts others beyond the limit.
func (c *segmentCache) add(keys []string, tokens []int64, now time.Time) {
	if c.segments == nil {
		c.segments = map[string]cachedSegment{}
	}
	for i, key := range keys {
		if old, ok := c.segments[key]; ok {
			c.tokens -= old.tokens
		}
		c.segments[key] = cachedSegment{tokens[i], now}
		c.tokens += tokens[i]
	}
	for c.tokens > c.limitTokens && len(c.segments) > 0 {
		c.evict()
	}
}

// evict removes the least recently used segment.
func (c *segmentCache) evict() {
	var oldest string
	var at time.Time
	for key, segment := range c.segments {
		if oldest == "" || segment.usedAt.Before(at) {
			oldest, at = key, segment.usedAt
		}
	}
	c.tokens -= c.segments[oldest].tokens
	delete(c.segments, oldest)
}

func (c *segmentCache) clear() { c.tokens, c.segments = 0, nil }
