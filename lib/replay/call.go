package replay

import (
	"time"

	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/router"
)

// call is the state of one request of the trace during a replay. Times are virtual, since the start of the replay.
type call struct {
	rec           *Record
	host          *entryHost
	baseModel     string
	adapter       string // empty if the request names a model
	arrivedAt     time.Duration
	deadline      time.Duration
	chargedTokens int64
	admittedAt    time.Duration // time of the charge to the organisation's bucket; -1 if not admitted
	quotaCharge   quota.Charge
	attempt       int // number of the latest attempt; events of earlier attempts have no effect
	runs          int // number of attempts that an engine accepted
	route         router.Request
	firstTokenAt  time.Duration // -1 until the first token
	finishedAt    time.Duration // -1 until the answer is complete
	refundedAt    time.Duration // time at which the charge was settled; -1 if it was not
	refusalReason string        // empty unless refused
	over          bool
}

func newCall(rec *Record, base, adapter string, d *Deployment) *call {
	c := &call{
		rec: rec, baseModel: base, adapter: adapter, arrivedAt: rec.At(),
		admittedAt: -1, firstTokenAt: -1, finishedAt: -1, refundedAt: -1,
	}
	limit := rec.DeadlineMS
	if limit == 0 {
		limit = d.DeadlineMS
	}
	c.deadline = c.arrivedAt + time.Duration(limit)*time.Millisecond
	c.chargedTokens = rec.PromptTokens + max(rec.MaxOutputTokens, rec.OutputTokens)
	c.route = router.Request{
		Model: base, Adapter: adapter, Prefix: prefixHash(rec.Prefix),
		PromptTokens: rec.PromptTokens, PrefixTokens: rec.PrefixTokens, LimitOutstanding: true,
	}
	return c
}

// requestedModel returns the name of the model or adapter that the caller asked for.
func (c *call) requestedModel() string { return c.rec.Model }

// usedTokens returns the tokens that count against the organisation's rate.
func (c *call) usedTokens() int64 {
	switch {
	case c.finishedAt >= 0:
		return c.rec.PromptTokens + c.rec.OutputTokens
	case c.runs > 0:
		return c.chargedTokens // the call may have run, so nothing was refunded
	default:
		return 0
	}
}

// attained reports whether the call was served in time: the answer is complete, its first token met the deadline and
// the mean time between its tokens is at most the deployment's token_gap_ms.
func (c *call) attained(d *Deployment) bool {
	if c.finishedAt < 0 || c.firstTokenAt > c.deadline {
		return false
	}
	gaps := max(c.rec.OutputTokens-1, 1)
	return float64(c.finishedAt-c.firstTokenAt)/float64(gaps) <= d.MaxTokenGapMS*float64(time.Millisecond)
}

func (c *call) refuse(reason refusal.Reason) {
	c.refusalReason = string(reason)
	c.over = true
}
