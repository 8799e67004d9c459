package fairqueue

// Levels is a bounded queue of levels, each of which is a Queue: entries of a lower level are served first. The zero value is empty.
type Levels struct {
	Limit  int // entries of all levels together
	queues []*Queue
	n      int
}

// Len returns the number of entries.
func (l *Levels) Len() int { return l.n }

// Push adds e at a level. If the queue is full, it drops and returns an entry of the highest level that has any, as Queue.Push does; that
// may be e.
func (l *Levels) Push(level int, e *Entry) (dropped *Entry) {
	for len(l.queues) <= level {
		l.queues = append(l.queues, New(l.Limit))
	}
	if l.n >= l.Limit {
		for i := len(l.queues) - 1; i > level; i-- {
			if l.queues[i].Len() > 0 {
				dropped = l.queues[i].dropOne()
				l.n--
				break
			}
		}
		if dropped == nil {
			q := l.queues[level]
			limit := q.limit
			q.limit = q.Len()
			dropped = q.Push(e)
			q.limit = limit
			e.level = level
			return dropped
		}
	}
	e.level = level
	l.queues[level].Push(e)
	l.n++
	return dropped
}

// Remove takes e out of the queue and reports whether it was queued.
func (l *Levels) Remove(e *Entry) bool {
	if e.level >= len(l.queues) || !l.queues[e.level].Remove(e) {
		return false
	}
	l.n--
	return true
}

// Next returns the first entry in the order of service for which skip returns false, or nil. The entry stays in the queue.
func (l *Levels) Next(skip func(*Entry) bool) *Entry {
	for _, q := range l.queues {
		if e := q.Next(skip); e != nil {
			return e
		}
	}
	return nil
}

// Take removes an entry that is served, and charges its organisation.
func (l *Levels) Take(e *Entry) {
	l.queues[e.level].take(e)
	l.n--
}

// All calls fn for each entry, lower levels first, until it returns false. The order within a level is not defined; fn must not change
// the queue.
func (l *Levels) All(fn func(*Entry) bool) {
	for _, q := range l.queues {
		for _, e := range q.deadlines {
			if !fn(e) {
				return
			}
		}
	}
}

// Level returns the level at which e was pushed last.
func (e *Entry) Level() int { return e.level }
