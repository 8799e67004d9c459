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
	// lendTimeout bounds the time that a request waits for loans, over all rounds.
	lendTimeout = 50 * time.Millisecond
	// maxParallelRequests is the number of members asked in one round and maxLoanRounds the number of
	// rounds, so that one shortage causes at most maxParallelRequests x maxLoanRounds calls.
	maxParallelRequests = 4
	maxLoanRounds       = 3
	// maxScannedMembers bounds the members compared for a round. Map iteration starts at a random member,
	// so rounds compare different ones.
	maxScannedMembers = 64
	// loanBackoffNS is the time without loan requests after the rounds yielded too few tokens, so that an
	// organisation far above its rate causes a bounded number of calls.
	loanBackoffNS = 100 * int64(time.Millisecond)
	// prefetchFraction is the fraction of the tokens spent in the last second that is borrowed in
	// advance, so that not every request waits for a round trip.
	prefetchFraction = 0.5
)

// usage counts the tokens spent and the charges made in the current and the previous second.
type usage struct {
	sec                     int64 // number of the current second
	cur, prev               float64
	curCharges, prevCharges int
}

func (u *usage) add(now int64, n float64, charges int) {
	u.rotate(now)
	u.cur += n
	u.curCharges += charges
}

// rotate starts a new second if now is past the current one.
func (u *usage) rotate(now int64) {
	switch d := now/second - u.sec; {
	case d == 1:
		u.prev, u.cur = u.cur, 0
		u.prevCharges, u.curCharges = u.curCharges, 0
	case d > 1:
		*u = usage{}
	default:
		return
	}
	u.sec = now / second
}

// recent returns the tokens spent in about the last second, with the previous second interpolated.
func (u *usage) recent(now int64) float64 {
	u.rotate(now)
	frac := float64(now%second) / float64(second)
	return u.prev*(1-frac) + u.cur
}

// prefetchAmount returns the tokens to borrow in advance for the next requests. It is zero for at most two
// charges and grows with their number, because with few large requests per second the tokens would expire
// before the next request.
func (u *usage) prefetchAmount(now int64) float64 {
	used, charges := u.recent(now), u.prevCharges+u.curCharges
	if charges <= 2 {
		return 0
	}
	return prefetchFraction * used * float64(charges-2) / float64(charges)
}

// spareEstimate is the number of tokens that a member last reported it could lend.
type spareEstimate struct {
	spare      float64
	receivedAt int64
}

// LendArgs requests a loan of Amount tokens.
type LendArgs struct {
	Organisation string
	Amount       int64
}

// LendReply grants a loan of Granted tokens, which may be zero. Spare is the number of tokens that the
// lender could still lend.
type LendReply struct {
	ID      uint64
	Granted int64
	Spare   int64
}

// ReturnArgs returns unused tokens of loans.
type ReturnArgs struct{ Returns []Returned }

// ReturnReply states how many tokens the lender could take back.
type ReturnReply struct{ Accepted float64 }

// Returned is the number of unused tokens of a loan, summed over all messages about it.
type Returned struct {
	Organisation string
	ID           uint64
	Sum          float64
	Ended        bool // the borrower has no unspent tokens of the loan
}

// service is the RPC service "Quota".
type service struct{ m *Manager }

// Lend grants a loan if this host may spend and has tokens to spare.
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
	b.reclaimStripes(now)
	id := m.boot | m.lastLoanID.Add(1)&math.MaxUint32
	granted, spare := b.core.Lend(now, id, float64(args.Amount), b.usage.recent(now))
	b.pending.lent += int64(granted)
	reply.ID, reply.Granted, reply.Spare = id, int64(granted), int64(spare)
	return nil
}

// Return takes back unused tokens of loans.
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
			b.pending.returned += n
			reply.Accepted += n
			b.mu.Unlock()
		}
	}
	return nil
}

// waiter is a request that waits for loans.
type waiter struct {
	tokens int64
	rounds int
	done   chan struct{} // closed once charge or err is set
	charge Charge
	err    error
}

// addWaiter queues a request that waits for loans; requests of one organisation share the calls. The
// caller holds b.mu.
func (m *Manager) addWaiter(b *bucket, tokens int64) *waiter {
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	if !b.borrowing {
		b.borrowing = true
		go m.borrow(b)
	}
	return w
}

// await returns the outcome of a waiter. If ctx ends first, it refunds a charge made meanwhile.
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

// borrow requests loans from other members until the organisation's waiters are served or refused.
func (m *Manager) borrow(b *bucket) {
	asked := map[string]bool{}
	for {
		now := m.clock()
		t, err := m.current(now)
		b.mu.Lock()
		m.serveWaiters(b, now, err)
		if len(b.waiters) == 0 {
			b.borrowing = false
			b.mu.Unlock()
			return
		}
		requests := b.planRequests(now, t, asked)
		for _, w := range b.waiters {
			if w.rounds++; len(requests) == 0 {
				w.rounds = maxLoanRounds // nobody is left to ask
			}
		}
		b.mu.Unlock()
		if len(requests) == 0 {
			clear(asked)
			continue
		}
		m.requestLoans(b, requests)
	}
}

// serveWaiters charges the waiters for which there are tokens and refuses those that have waited for
// maxLoanRounds rounds. If err is set, it refuses all of them with err. The caller holds b.mu.
func (m *Manager) serveWaiters(b *bucket, now int64, err error) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		switch {
		case err != nil:
			w.err = err
		case b.spend(now, w.tokens, &w.charge):
		case w.rounds >= maxLoanRounds:
			w.err = b.rateExceeded(now, w.tokens)
			b.loanBackoffUntil = now + loanBackoffNS
		default:
			kept = append(kept, w)
			continue
		}
		close(w.done)
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

// loanRequest is the amount to borrow from one member.
type loanRequest struct {
	member string
	amount int64
}

// planRequests chooses the members with the highest estimated spare tokens and divides the amount needed
// among them. The members asked are added to asked. The caller holds b.mu.
func (b *bucket) planRequests(now int64, t *table, asked map[string]bool) []loanRequest {
	need := -b.available(now)
	for _, w := range b.waiters {
		need += float64(w.tokens)
	}
	need += b.usage.prefetchAmount(now)
	var best [maxParallelRequests]struct {
		member string
		spare  float64
	}
	n, scanned := 0, 0
	for member, slots := range t.slotsByMember {
		if scanned++; scanned > maxScannedMembers {
			break
		}
		spare := b.estimateSpare(now, member, slots)
		if asked[member] && spare < 1 {
			continue // the member has lent all its spare tokens
		}
		i := n
		for i > 0 && best[i-1].spare < spare {
			if i < maxParallelRequests {
				best[i] = best[i-1]
			}
			i--
		}
		if i < maxParallelRequests {
			best[i].member, best[i].spare = member, spare
			n = min(n+1, maxParallelRequests)
		}
	}
	sum := 0.0
	for _, m := range best[:n] {
		sum += m.spare
	}
	requests := make([]loanRequest, 0, n)
	for _, m := range best[:n] {
		fraction := 1 / float64(n)
		if sum > 0 {
			fraction = m.spare / sum
		}
		if amount := int64(math.Ceil(need * fraction)); amount > 0 {
			asked[m.member] = true
			requests = append(requests, loanRequest{m.member, amount})
		}
	}
	return requests
}

// estimateSpare returns the number of tokens that the member can probably lend now: the number that it last
// reported and the tokens that its slots have generated since. The caller holds b.mu.
func (b *bucket) estimateSpare(now int64, member string, slots int) float64 {
	slotFraction := float64(slots) / float64(manifest.SlotCount)
	burst := float64(b.burst) * slotFraction
	e, ok := b.spareByMember[member]
	if !ok {
		return burst
	}
	return min(burst, e.spare+max(0, float64(now-e.receivedAt))/float64(second)*float64(b.rate)*slotFraction)
}

// requestLoans sends the requests in parallel and adds the loans granted before the round's timeout.
func (m *Manager) requestLoans(b *bucket, requests []loanRequest) {
	ctx, cancel := context.WithTimeout(m.ctx, lendTimeout/maxLoanRounds)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.requestLoan(ctx, b, r)
		}()
	}
	wg.Wait()
}

// requestLoan requests one loan and records the reply or the failure.
func (m *Manager) requestLoan(ctx context.Context, b *bucket, r loanRequest) {
	sent := m.clock()
	var reply LendReply
	err := m.caller.Call(ctx, r.member, "Quota.Lend", &LendArgs{b.name, r.amount}, &reply)
	now := m.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.spareByMember[r.member] = spareEstimate{receivedAt: now + second} // ranks the member last for a second
		if !errors.Is(err, context.Canceled) {
			b.counters.lendErrors.Inc()
		}
		return
	}
	b.addLoan(now, sent, r.member, &reply)
}

// addLoan records a reply to a loan request that was sent at time sent. The caller holds b.mu.
func (b *bucket) addLoan(now, sent int64, member string, reply *LendReply) {
	b.spareByMember[member] = spareEstimate{spare: float64(reply.Spare), receivedAt: now}
	if reply.Granted > 0 {
		b.pending.borrowed += reply.Granted
		b.core.Borrow(now, sent, &Loan{Lender: member, ID: reply.ID}, float64(reply.Granted))
	}
}

// flush publishes the counters and sends the queued returns. A lost message is not repeated: its tokens
// are lost unless a later message about the same loan carries the total.
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

// collectReturns publishes the counters and returns the queued returns by lender.
func (m *Manager) collectReturns() map[string]*ReturnArgs {
	t := m.table.Load()
	if t == nil {
		return nil
	}
	now := m.clock()
	returns := map[string]*ReturnArgs{}
	for _, b := range t.orgs {
		b.mu.Lock()
		b.reclaimStripes(now)
		b.core.Advance(now)
		b.publish()
		for _, l := range b.core.pendingReturns {
			l.queued = false
			if returns[l.Lender] == nil {
				returns[l.Lender] = &ReturnArgs{}
			}
			returns[l.Lender].Returns = append(returns[l.Lender].Returns, Returned{b.name, l.ID, l.returned, l.ended})
		}
		clear(b.core.pendingReturns)
		b.core.pendingReturns = b.core.pendingReturns[:0]
		b.mu.Unlock()
	}
	return returns
}
