package replay

import (
	"time"

	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/router"
)

// call is one request of the trace on its way through the system.
type call struct {
	rec      *Record
	host     *entryHost
	base     string // model
	adapter  string // empty if none
	arrived  time.Duration
	deadline time.Duration
	charge   int64
	admitted time.Duration // time of the charge; -1 if not admitted
	spend    quota.Charge
	attempt  int // rises with each attempt; events of an earlier one have no effect
	runs     int // attempts that a target accepted
	route    router.Request
	first    time.Duration // -1 until the first token
	finished time.Duration // -1 until complete
	closed   time.Duration // end of the charge; -1 if nothing was refunded
	refused  string        // reason
	over     bool
}

func newCall(rec *Record, base, adapter string, d *Deployment) *call {
	c := &call{rec: rec, base: base, adapter: adapter, arrived: rec.At(), admitted: -1, first: -1, finished: -1, closed: -1}
	limit := rec.DeadlineMS
	if limit == 0 {
		limit = d.DeadlineMS
	}
	c.deadline = c.arrived + time.Duration(limit)*time.Millisecond
	c.charge = rec.Prompt + max(rec.MaxOutput, rec.Output)
	c.route = router.Request{
		Model: base, Adapter: adapter, Prefix: prefixHash(rec.Prefix), PromptTokens: rec.Prompt, PrefixTokens: rec.PrefixTokens, LimitOutstanding: true,
	}
	return c
}

// name is the model or adapter that the caller asked for.
func (c *call) name() string { return c.rec.Model }

// used returns the tokens that count against the organisation's rate.
func (c *call) used() int64 {
	switch {
	case c.finished >= 0:
		return c.rec.Prompt + c.rec.Output
	case c.runs > 0:
		return c.charge // it may have run; nothing was refunded
	default:
		return 0
	}
}

// attained reports whether the answer was complete, its first token in time and its tokens close enough.
func (c *call) attained(d *Deployment) bool {
	if c.finished < 0 || c.first > c.deadline {
		return false
	}
	gaps := max(c.rec.Output-1, 1)
	return float64(c.finished-c.first)/float64(gaps) <= d.TokenGapMS*float64(time.Millisecond)
}

func (c *call) refuse(reason refusal.Reason) {
	c.refused = string(reason)
	c.over = true
}
