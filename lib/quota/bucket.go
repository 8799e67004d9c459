// Package quota keeps every organisation within its token rate and burst, summed over all hosts.
//
// The configuration holds a table of slots, each owned by one host and worth an equal part of every
// organisation's rate and burst. Bucket is the pure core: the slots that one host owns, merged into one
// bucket per organisation, with loans between hosts and bounded refunds. Manager runs the buckets of a
// host over the configuration in force and lends between hosts.
package quota

import (
	"math"
	"slices"
)

// Times in nanoseconds; the core measures time as an offset from an arbitrary start.
const (
	second = int64(1e9)
	// LoanLife is how long a loan can be spent. The lender counts it from the grant, the borrower from
	// the moment it sent the request.
	LoanLife = second
	// StartDelay is the time between learning of a new slot and generating its tokens. The previous
	// owner spends for at most 2 s after its last confirmation, and its loans live for 1 s more.
	StartDelay = 3 * second
	// stepLen is the resolution of the headroom history. The cap of a lender rises at the end of a step,
	// so one-second steps would keep it lowered for longer than most loans last.
	stepLen = second / 8
	// historySteps bounds how long after a charge its unused part can be refunded: 128 s.
	historySteps = 1024
	// maxParts is the number of loans that a charge keeps track of; what it took from further loans is
	// not given back.
	maxParts = 8
	// maxGrants bounds the loans that a lender accepts returns for.
	maxGrants = 512
	// lentSteps exceeds the steps that a loan can last.
	lentSteps = 16
)

// Loan is a loan held by the borrower.
type Loan struct {
	Member  string // lender
	ID      uint64
	expires int64
	left    float64 // not yet spent
	// returned is the sum given back so far. The message to the lender carries the sum, so that a lost
	// or repeated message neither creates nor loses more tokens.
	returned float64
	ended    bool // nothing is left to spend
	queued   bool // listed in Bucket.returns
}

// grant is a loan as the lender records it.
type grant struct {
	id       uint64
	until    int64 // start of a step; the cap is lowered until then
	amount   float64
	returned float64
}

type part struct {
	loan   *Loan
	amount float64
}

// Charge is the record of a spend, needed for its refund. The zero Charge refunds nothing.
type Charge struct {
	Tokens int64
	bucket *bucket // set by Manager
	at     int64
	own    float64 // paid from the host's own slots
	parts  [maxParts]part
}

// Bucket holds the tokens of one organisation on one host. It is not safe for concurrent use. Times are
// offsets in nanoseconds; a time before the newest one seen counts as the newest one.
type Bucket struct {
	at    int64 // time up to which level is computed
	level float64
	rate  float64 // tokens a second of the slots owned
	cap   float64 // burst of the slots owned

	parked   float64            // taken out in advance of spending; counts as level
	lentSum  float64            // of the grants that have not ended
	lent     [lentSteps]float64 // the same by the step in which they end
	grants   []grant            // oldest first
	held     []*Loan
	heldSum  float64
	headroom [historySteps]float64
	returns  []*Loan // loans with something to give back to their lenders
	expired  float64 // tokens of held loans that expired unspent
	loanLife int64   // lender's side
}

// NewBucket returns a bucket with level zero, no slots and the time now.
func NewBucket(now int64) *Bucket {
	b := &Bucket{at: now, loanLife: LoanLife}
	return b
}

// limit is the most that the level may be: the cap less what is lent or parked.
func (b *Bucket) limit() float64 { return max(0, b.cap-b.lentSum-b.parked) }

// note records the present headroom in the history of a step.
func (b *Bucket) note(step int64) {
	h := &b.headroom[step%historySteps]
	*h = min(*h, b.limit()-b.level)
}

// accrue generates tokens up to time to, which is not after the end of the step.
func (b *Bucket) accrue(to, step int64) {
	b.level = min(b.level+b.rate*float64(to-b.at)/float64(second), max(b.limit(), b.level))
	b.at = to
	b.note(step)
}

// Advance brings the bucket to time now.
func (b *Bucket) Advance(now int64) {
	if now <= b.at {
		return
	}
	if now/stepLen-b.at/stepLen > historySteps {
		b.accrue(now-historySteps*stepLen, 0) // the whole history is overwritten below
	}
	for step := b.at/stepLen + 1; step <= now/stepLen; step++ {
		b.accrue(step*stepLen, step-1)
		// The end of the former step; the new one begins with the cap of the loans that ended.
		if ended := &b.lent[step%lentSteps]; *ended > 0 {
			b.lentSum = max(0, b.lentSum-*ended)
			*ended = 0
		}
		b.headroom[step%historySteps] = b.limit() - b.level
	}
	b.accrue(now, now/stepLen)
	b.dropExpired()
}

// dropExpired removes held loans that can no longer be spent and gives the rest back to the lender.
func (b *Bucket) dropExpired() {
	kept := b.held[:0]
	for _, l := range b.held {
		switch {
		case l.expires <= b.at:
			b.heldSum -= l.left
			b.expired += l.left
			l.ended = true
			b.queueReturn(l, l.left)
			l.left = 0
		case l.left > 0:
			kept = append(kept, l)
		}
	}
	clear(b.held[len(kept):])
	if b.held = kept; len(kept) == 0 {
		b.heldSum = 0
	}
}

// queueReturn notes that n more tokens of loan l are unused.
func (b *Bucket) queueReturn(l *Loan, n float64) {
	l.returned += n
	if !l.queued {
		l.queued = true
		b.returns = append(b.returns, l)
	}
}

// Configure sets the part of rate and burst that the host's slots give. The former values generate up
// to validUntil, which is the last time at which they were known to be in force, and the new ones from
// now on.
func (b *Bucket) Configure(validUntil, now int64, rate, burst float64) {
	b.Advance(min(validUntil, now))
	if now > b.at {
		former := b.rate
		b.rate = 0
		b.Advance(now)
		b.rate = former
	}
	b.rate, b.cap = rate, burst
	b.level = min(b.level, b.limit())
	b.note(b.at / stepLen)
}

// Available returns the tokens that can be spent at time now.
func (b *Bucket) Available(now int64) float64 {
	b.Advance(now)
	return b.level + b.heldSum
}

// Spend takes n tokens at time now, from loans first because they expire. It fills c, which must be
// zero, and reports whether the tokens sufficed.
func (b *Bucket) Spend(now, n int64, c *Charge) bool {
	b.Advance(now)
	// The margin absorbs rounding, so that a full bucket pays a charge of exactly its cap.
	if float64(n) > b.level+b.heldSum+1e-6 {
		return false
	}
	rest := float64(n)
	k := 0
	for _, l := range b.held {
		if rest <= 0 {
			break
		}
		take := min(rest, l.left)
		if take <= 0 {
			continue
		}
		l.left -= take
		b.heldSum -= take
		rest -= take
		if l.left <= 0 {
			l.ended = true
			b.queueReturn(l, 0)
		}
		if k < maxParts {
			c.parts[k] = part{loan: l, amount: take}
			k++
		}
	}
	b.level -= rest
	c.Tokens, c.at, c.own = n, b.at, rest
	return true
}

// Park takes n tokens out of the level, to be spent without the bucket. Until Unpark all of them count as
// unspent, which errs towards fewer tokens generated and refunded.
func (b *Bucket) Park(now int64, n float64) {
	b.Advance(now)
	b.level -= n
	b.parked += n
}

// Unpark takes back what is left of given tokens parked earlier.
func (b *Bucket) Unpark(now int64, given, left float64) {
	b.Advance(now)
	if b.parked -= given; b.parked < 1e-6 {
		b.parked = 0 // drops the rounding error
	}
	b.level += left
}

// room is the least headroom since time at, zero when the history does not reach back that far.
func (b *Bucket) room(at int64) float64 {
	if b.at/stepLen-at/stepLen >= historySteps {
		return 0
	}
	least := math.MaxFloat64
	for step := at / stepLen; step <= b.at/stepLen; step++ {
		least = min(least, b.headroom[step%historySteps])
	}
	return max(0, least)
}

// give raises the level by up to n, as far as there was room since time at, and returns the amount. The
// level of the past is raised as well: a later refund must not use the same room again.
func (b *Bucket) give(at int64, n float64) float64 {
	n = min(n, b.room(at))
	if n <= 0 {
		return 0
	}
	b.level += n
	for step := at / stepLen; step <= b.at/stepLen; step++ {
		b.headroom[step%historySteps] -= n
	}
	return n
}

// Refund gives back the unused part of a charge and returns the amount added to the bucket. What loans
// paid is queued for return to their lenders. A use above the charge is taken from the bucket,
// whose level may become negative.
func (b *Bucket) Refund(now int64, c *Charge, used int64) (refunded float64) {
	b.Advance(now)
	unused := float64(c.Tokens - used)
	if unused < 0 {
		b.level += unused
		return 0
	}
	own := min(unused, c.own)
	refunded = b.give(c.at, own)
	unused -= own
	for i := range c.parts {
		if p := &c.parts[i]; p.loan != nil && unused > 0 {
			r := min(unused, p.amount)
			b.queueReturn(p.loan, r)
			unused -= r
		}
	}
	*c = Charge{}
	return refunded
}

// Lend grants up to n tokens, keeping reserve for this host. Loans held are never lent on, because that
// would extend their life. Spare is what remains beyond the reserve.
func (b *Bucket) Lend(now int64, id uint64, n, reserve float64) (granted, spare float64) {
	b.Advance(now)
	spare = max(0, b.level-reserve)
	granted = math.Floor(min(n, spare))
	if granted <= 0 {
		return 0, spare
	}
	b.level -= granted
	if len(b.grants) >= maxGrants {
		b.grants = b.grants[:copy(b.grants, b.grants[maxGrants/4:])]
	}
	g := grant{id: id, until: ceilStep(b.at + b.loanLife), amount: granted}
	if g.until > b.at {
		b.lentSum += granted
		b.lent[g.until/stepLen%lentSteps] += granted
	}
	b.grants = append(b.grants, g)
	return granted, spare - granted
}

func ceilStep(t int64) int64 { return (t + stepLen - 1) / stepLen * stepLen }

// Return takes back what a borrower did not use of loan id; sum is the total over all messages about
// this loan. The result is as if the loan had been smaller. Before the loan ends that is always possible,
// since a smaller loan would have left level and cap higher by the same amount. Later it is bounded like
// the refund of a charge made when the loan ended. Ended tells that the borrower holds nothing of the
// loan any more, so the cap rises before the loan expires.
func (b *Bucket) Return(now int64, id uint64, sum float64, ended bool) float64 {
	b.Advance(now)
	i := slices.IndexFunc(b.grants, func(g grant) bool { return g.id == id })
	if i < 0 {
		return 0
	}
	g := &b.grants[i]
	n := max(0, min(sum, g.amount)-g.returned)
	if g.until <= b.at {
		g.returned += n
		return b.give(g.until, n)
	}
	lent := &b.lent[g.until/stepLen%lentSteps]
	g.returned += n
	*lent -= n
	b.lentSum = max(0, b.lentSum-n)
	n = max(0, min(n, b.limit()-b.level)) // the cap may have been lowered for another reason
	b.level += n
	if until := ceilStep(b.at + 1); ended && until < g.until {
		rest := g.amount - g.returned
		*lent -= rest
		b.lent[until/stepLen%lentSteps] += rest
		g.until = until
	}
	return n
}

// Borrow adds a loan of n tokens whose request was sent at time sent.
func (b *Bucket) Borrow(now, sent int64, l *Loan, n float64) {
	b.Advance(now)
	l.expires, l.left = sent+LoanLife, n
	if l.expires <= b.at {
		l.left, l.ended = 0, true
		b.expired += n
		b.queueReturn(l, n)
		return
	}
	b.held = append(b.held, l)
	b.heldSum += n
}
