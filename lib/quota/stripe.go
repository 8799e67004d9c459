package quota

import (
	"sync"
	"sync/atomic"
)

const (
	// maxStripes is the number of parts into which a bucket is split for concurrent spending.
	maxStripes = 16
	// parkRequests is the number of requests of the present size that a stripe is filled for, and
	// parkShare the part of the level that it may take at most. Tokens in a stripe count as level, and
	// a spend from it is seen late: near the cap that costs at most this part of the generation.
	parkRequests = 64
	parkShare    = 1.0 / (8 * maxStripes)
)

// stripe holds tokens taken out of a bucket in advance, so that several cores can spend for one
// organisation without sharing a lock.
type stripe struct {
	left  atomic.Int64
	count atomic.Int64 // charges since the last fold
	given int64        // tokens put in since the last fold; guarded by bucket.mu
	_     [104]byte    // one stripe to a pair of cache lines
}

// stripes are the stripes of a bucket.
type stripes struct {
	all  []stripe
	next atomic.Uint32
	// near gives each core a stripe of its own most of the time.
	near sync.Pool
}

func (s *stripes) init(n int) {
	s.all = make([]stripe, n)
	s.near.New = func() any { return &s.all[int(s.next.Add(1))%n] }
}

// take spends n tokens of the stripe.
func (s *stripe) take(n int64) bool {
	for {
		left := s.left.Load()
		if left < n {
			return false
		}
		if s.left.CompareAndSwap(left, left-n) {
			s.count.Add(1)
			return true
		}
	}
}

// spendFast takes tokens from a stripe, without the bucket's lock.
func (b *bucket) spendFast(now, tokens int64, c *Charge) bool {
	s := b.stripes.near.Get().(*stripe)
	ok := s.take(tokens)
	b.stripes.near.Put(s)
	if ok {
		c.Tokens, c.at, c.own, c.bucket = tokens, now, float64(tokens), b
	}
	return ok
}

// refill puts tokens into a stripe after a charge of n tokens that the level paid. Callers hold b.mu.
func (b *bucket) refill(now, n int64) {
	amount := min(n*parkRequests, int64(b.core.level*parkShare))
	if amount < n || b.core.heldSum > 0 {
		return
	}
	s := b.stripes.near.Get().(*stripe)
	b.fold(now, s)
	b.core.Park(now, float64(amount))
	s.given = amount
	s.left.Store(amount)
	b.stripes.near.Put(s)
}

// fold takes the tokens of a stripe back. Callers hold b.mu, so nobody else fills it.
func (b *bucket) fold(now int64, s *stripe) {
	if s.given == 0 {
		return
	}
	left := s.left.Swap(0)
	spent := s.given - left
	b.core.Unpark(now, float64(s.given), float64(left))
	s.given = 0
	b.pend.spent += spent
	b.use.add(b.core.at, float64(spent), int(s.count.Swap(0)))
}

// foldAll takes the tokens of all stripes back. Callers hold b.mu.
func (b *bucket) foldAll(now int64) {
	for i := range b.stripes.all {
		b.fold(now, &b.stripes.all[i])
	}
}

// available returns the tokens that can be spent at once. Callers hold b.mu.
func (b *bucket) available(now int64) float64 {
	b.foldAll(now)
	return b.core.Available(now)
}
