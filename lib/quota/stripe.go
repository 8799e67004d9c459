package quota

import (
	"sync"
	"sync/atomic"
)

const (
	// maxStripes is the number of stripes of a bucket.
	maxStripes = 16
	// stripeFillRequests is the number of requests of the present size for which a stripe is filled, and
	// maxStripeFraction the fraction of the level that one fill takes at most. Tokens in a stripe count as
	// level until they are reclaimed, also after they are spent: near the cap that suppresses at most this
	// fraction of the tokens generated.
	stripeFillRequests = 64
	maxStripeFraction  = 1.0 / (8 * maxStripes)
)

// stripe holds tokens preallocated from a bucket, so that several cores can spend for one organisation
// without sharing a lock.
type stripe struct {
	unspent atomic.Int64
	charges atomic.Int64 // charges since the last reclaim
	filled  int64        // tokens put in since the last reclaim; guarded by bucket.mu
	_       [104]byte    // pads the stripe to a pair of cache lines
}

// stripes are the stripes of a bucket.
type stripes struct {
	all  []stripe
	next atomic.Uint32
	// perCore contains pointers into all. A sync.Pool mostly returns the same stripe to the same core.
	perCore sync.Pool
}

func (s *stripes) init(n int) {
	s.all = make([]stripe, n)
	s.perCore.New = func() any { return &s.all[int(s.next.Add(1))%n] }
}

// spend takes n tokens from the stripe and reports whether it had enough.
func (s *stripe) spend(n int64) bool {
	for {
		left := s.unspent.Load()
		if left < n {
			return false
		}
		if s.unspent.CompareAndSwap(left, left-n) {
			s.charges.Add(1)
			return true
		}
	}
}

// spendFast takes tokens from a stripe without the bucket's lock and reports whether the stripe had enough.
func (b *bucket) spendFast(now, tokens int64, c *Charge) bool {
	s := b.stripes.perCore.Get().(*stripe)
	ok := s.spend(tokens)
	b.stripes.perCore.Put(s)
	if ok {
		c.Tokens, c.spentAt, c.fromLocal, c.bucket = tokens, now, float64(tokens), b
	}
	return ok
}

// refill preallocates tokens to a stripe after a charge of n tokens that the bucket paid. It does nothing
// while borrowed tokens remain, which are spent first. The caller holds b.mu.
func (b *bucket) refill(now, n int64) {
	amount := min(n*stripeFillRequests, int64(b.core.level*maxStripeFraction))
	if amount < n || b.core.loanTokens > 0 {
		return
	}
	s := b.stripes.perCore.Get().(*stripe)
	b.reclaimStripe(now, s)
	b.core.Preallocate(now, float64(amount))
	s.filled = amount
	s.unspent.Store(amount)
	b.stripes.perCore.Put(s)
}

// reclaimStripe puts the unspent tokens of a stripe back into the bucket. The caller holds b.mu, so no other
// goroutine fills the stripe meanwhile.
func (b *bucket) reclaimStripe(now int64, s *stripe) {
	if s.filled == 0 {
		return
	}
	unspent := s.unspent.Swap(0)
	spent := s.filled - unspent
	b.core.Reclaim(now, float64(s.filled), float64(unspent))
	s.filled = 0
	b.pending.spent += spent
	b.usage.add(b.core.updatedAt, float64(spent), int(s.charges.Swap(0)))
}

// reclaimStripes puts the unspent tokens of all stripes back into the bucket. The caller holds b.mu.
func (b *bucket) reclaimStripes(now int64) {
	for i := range b.stripes.all {
		b.reclaimStripe(now, &b.stripes.all[i])
	}
}

// available returns the tokens that can be spent without new loans. The caller holds b.mu.
func (b *bucket) available(now int64) float64 {
	b.reclaimStripes(now)
	return b.core.Available(now)
}
