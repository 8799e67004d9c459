package quota

// TakeReturns calls fn for each queued return and empties the queue. Sum is the total of unused tokens over all
// messages about the loan, so that a repeated message has no effect; ended is set once the loan is spent or
// expired.
func (b *Bucket) TakeReturns(fn func(lender string, id uint64, sum float64, ended bool)) {
	for _, l := range b.pendingReturns {
		l.queued = false
		fn(l.Lender, l.ID, l.returned, l.ended)
	}
	clear(b.pendingReturns)
	b.pendingReturns = b.pendingReturns[:0]
}
