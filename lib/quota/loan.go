package quota

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// lendDeadline bounds the time that a request waits for loans.
	lendDeadline = 50 * time.Millisecond
	// askAtOnce is the number of members asked in parallel, and maxRounds how often, so that one
	// shortage causes at most askAtOnce x maxRounds calls.
	askAtOnce = 4
	maxRounds = 3
	// scanMembers bounds the members compared for a round; map iteration starts at a random one.
	scanMembers = 64
	// noLoanPause follows a round that did not give enough, so that an organisation far above its rate
	// costs a bounded number of calls.
	noLoanPause = 100 * int64(time.Millisecond)
	// aheadFraction of the tokens used in the last second is borrowed in advance, so that not every
	// request pays a round trip.
	aheadFraction = 0.5
)

// usage measures the tokens spent over about the last second.
type usage struct {
	sec          int64
	cur, prev    float64
	count, prevN int // charges
}

func (u *usage) add(now int64, n float64, count int) {
	u.roll(now)
	u.cur += n
	u.count += count
}

func (u *usage) roll(now int64) {
	switch d := now/second - u.sec; {
	case d == 1:
		u.prev, u.cur = u.cur, 0
		u.prevN, u.count = u.count, 0
	case d > 1:
		*u = usage{}
	default:
		return
	}
	u.sec = now / second
}

func (u *usage) recent(now int64) float64 {
	u.roll(now)
	frac := float64(now%second) / float64(second)
	return u.prev*(1-frac) + u.cur
}

// ahead is what the next requests are likely to use, without the one that is short: a few large requests
// a second gain nothing from tokens that expire before the next one.
func (u *usage) ahead(now int64) float64 {
	used, n := u.recent(now), u.prevN+u.count
	if n <= 2 {
		return 0
	}
	return aheadFraction * used * float64(n-2) / float64(n)
}

// estimate is what a member last said that it could lend.
type estimate struct {
	spare float64
	at    int64
}

// LendArgs asks for a loan.
type LendArgs struct {
	Organisation string
	Amount       int64
}

// LendReply grants a loan; Granted may be zero. Spare is what the lender could lend further.
type LendReply struct {
	ID      uint64
	Granted int64
	Spare   int64
}

// ReturnArgs gives back unused parts of loans.
type ReturnArgs struct{ Returns []Returned }

// ReturnReply tells how much the lender could take back.
type ReturnReply struct{ Accepted float64 }

// Returned is the unused part of a loan, summed over all messages about it.
type Returned struct {
	Organisation string
	ID           uint64
	Sum          float64
	Ended        bool // the borrower holds nothing of the loan any more
}

// service is the RPC service "Quota".
type service struct{ m *Manager }

// Lend grants a loan.
func (s *service) Lend(args *LendArgs, reply *LendReply) error {
	m := s.m
	now := m.clock()
	t, err := m.current(now)
	if err != nil {
		return nil // a host that may not spend grants nothing
	}
	b := t.orgs[args.Organisation]
	if b == nil || args.Amount <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 {
		return nil
	}
	b.foldAll(now)
	id := m.boot | m.loans.Add(1)&math.MaxUint32
	granted, spare := b.core.Lend(now, id, float64(args.Amount), b.use.recent(now))
	b.pend.lent += int64(granted)
	reply.ID, reply.Granted, reply.Spare = id, int64(granted), int64(spare)
	return nil
}

// Return takes back unused parts of loans.
func (s *service) Return(args *ReturnArgs, reply *ReturnReply) error {
	now := s.m.clock()
	t := s.m.table.Load()
	if t == nil {
		return nil
	}
	for _, r := range args.Returns {
		if b := t.orgs[r.Organisation]; b != nil {
			b.mu.Lock()
			n := b.core.Return(now, r.ID, r.Sum, r.Ended)
			b.pend.returned += n
			reply.Accepted += n
			b.mu.Unlock()
		}
	}
	return nil
}

// waiter is a request that waits for a loan.
type waiter struct {
	tokens int64
	rounds int
	done   chan struct{} // closed when charge or err is set
	charge Charge
	err    error
}

// wait queues a request for a loan; requests of one organisation share the calls. Callers hold b.mu.
func (m *Manager) wait(b *bucket, tokens int64) *waiter {
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	if !b.borrowing {
		b.borrowing = true
		go m.borrow(b)
	}
	return w
}

// await returns the outcome of a waiter. A charge made for a caller that is gone is refunded.
func (m *Manager) await(ctx context.Context, b *bucket, w *waiter) (Charge, error) {
	select {
	case <-w.done:
		return w.charge, w.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			break
		}
	}
	c := w.charge
	b.mu.Unlock()
	m.Refund(&c, 0)
	return Charge{}, &refusal.Error{
		Reason: refusal.DeadlineUnreachable, Run: refusal.NotRun, Status: http.StatusServiceUnavailable,
		Message: "the request ended while it waited for tokens of other hosts",
		Remedy:  "send the request again with a later deadline",
	}
}

// borrow asks other members for tokens until the organisation's waiters are served or refused.
func (m *Manager) borrow(b *bucket) {
	asked := map[string]bool{}
	for {
		now := m.clock()
		t, err := m.current(now)
		b.mu.Lock()
		m.settle(b, now, err)
		if len(b.waiters) == 0 {
			b.borrowing = false
			b.mu.Unlock()
			return
		}
		asks := b.plan(now, t, asked)
		for _, w := range b.waiters {
			if w.rounds++; len(asks) == 0 {
				w.rounds = maxRounds // nobody is left to ask
			}
		}
		b.mu.Unlock()
		if len(asks) == 0 {
			clear(asked)
			continue
		}
		m.ask(b, asks)
	}
}

// settle serves the waiters that can be served and refuses those that have waited long enough. Callers
// hold b.mu.
func (m *Manager) settle(b *bucket, now int64, err error) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		switch {
		case err != nil:
			w.err = err
		case b.spend(now, w.tokens, &w.charge):
		case w.rounds >= maxRounds:
			w.err = b.rateExceeded(now, w.tokens)
			b.noLoanUntil = now + noLoanPause
		default:
			kept = append(kept, w)
			continue
		}
		close(w.done)
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

type ask struct {
	member string
	amount int64
}

// plan chooses the members with the highest estimated spare tokens and divides the amount needed among
// them. Callers hold b.mu.
func (b *bucket) plan(now int64, t *table, asked map[string]bool) []ask {
	need := -b.available(now)
	for _, w := range b.waiters {
		need += float64(w.tokens)
	}
	need += b.use.ahead(now)
	var best [askAtOnce]struct {
		member string
		spare  float64
	}
	n, scanned := 0, 0
	for member, slots := range t.owners {
		if scanned++; scanned > scanMembers {
			break
		}
		spare := b.estimate(now, member, slots)
		if asked[member] && spare < 1 {
			continue // it gave all it had
		}
		i := n
		for i > 0 && best[i-1].spare < spare {
			if i < askAtOnce {
				best[i] = best[i-1]
			}
			i--
		}
		if i < askAtOnce {
			best[i].member, best[i].spare = member, spare
			n = min(n+1, askAtOnce)
		}
	}
	sum := 0.0
	for _, m := range best[:n] {
		sum += m.spare
	}
	asks := make([]ask, 0, n)
	for _, m := range best[:n] {
		share := 1 / float64(n)
		if sum > 0 {
			share = m.spare / sum
		}
		if amount := int64(math.Ceil(need * share)); amount > 0 {
			asked[m.member] = true
			asks = append(asks, ask{m.member, amount})
		}
	}
	return asks
}

// estimate is what the member is expected to be able to lend now: what it last said plus what its slots
// generated since. Callers hold b.mu.
func (b *bucket) estimate(now int64, member string, slots int) float64 {
	part := float64(slots) / float64(manifest.SlotCount)
	full := float64(b.burst) * part
	e, ok := b.spare[member]
	if !ok {
		return full
	}
	return min(full, e.spare+max(0, float64(now-e.at))/float64(second)*float64(b.rate)*part)
}

// ask sends the calls in parallel and adds the loans granted before the deadline.
func (m *Manager) ask(b *bucket, asks []ask) {
	ctx, cancel := context.WithTimeout(m.ctx, lendDeadline/maxRounds)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range asks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.askOne(ctx, b, a)
		}()
	}
	wg.Wait()
}

func (m *Manager) askOne(ctx context.Context, b *bucket, a ask) {
	sent := m.clock()
	var reply LendReply
	err := m.caller.Call(ctx, a.member, "Quota.Lend", &LendArgs{b.name, a.amount}, &reply)
	now := m.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.spare[a.member] = estimate{at: now + second} // not asked first for a second
		if !errors.Is(err, context.Canceled) {
			b.met.lendErrors.Inc()
		}
		return
	}
	b.granted(now, sent, a.member, &reply)
}

// granted adds a loan whose request was sent at time sent. Callers hold b.mu.
func (b *bucket) granted(now, sent int64, member string, reply *LendReply) {
	b.spare[member] = estimate{spare: float64(reply.Spare), at: now}
	if reply.Granted > 0 {
		b.pend.borrowed += reply.Granted
		b.core.Borrow(now, sent, &Loan{Member: member, ID: reply.ID}, float64(reply.Granted))
	}
}

// flush publishes the counters and sends the returns queued. A lost message is not repeated: its tokens
// are lost unless a later message about the same loan carries the sum.
func (m *Manager) flush() {
	for member, args := range m.collectReturns() {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			ctx, cancel := context.WithTimeout(m.ctx, time.Second)
			defer cancel()
			_ = m.caller.Call(ctx, member, "Quota.Return", args, new(ReturnReply))
		}()
	}
}

// collectReturns publishes the counters and returns what is to be given back, by lender.
func (m *Manager) collectReturns() map[string]*ReturnArgs {
	t := m.table.Load()
	if t == nil {
		return nil
	}
	now := m.clock()
	returns := map[string]*ReturnArgs{}
	for _, b := range t.orgs {
		b.mu.Lock()
		b.foldAll(now)
		b.core.Advance(now)
		b.publish()
		for _, l := range b.core.returns {
			l.queued = false
			if returns[l.Member] == nil {
				returns[l.Member] = &ReturnArgs{}
			}
			returns[l.Member].Returns = append(returns[l.Member].Returns, Returned{b.name, l.ID, l.returned, l.ended})
		}
		clear(b.core.returns)
		b.core.returns = b.core.returns[:0]
		b.mu.Unlock()
	}
	return returns
}
