package quota

// TakeReturns calls fn for each loan with unused tokens to give back to its lender and forgets them. Sum is the
// total over all messages about the loan, so that a repeated message has no effect; ended tells that the loan is
// used up or expired.
func (b *Bucket) TakeReturns(fn func(lender string, id uint64, sum float64, ended bool)) {
	for _, l := range b.returns {
		l.queued = false
		fn(l.Member, l.ID, l.returned, l.ended)
	}
	clear(b.returns)
	b.returns = b.returns[:0]
}
