// Package fairqueue orders waiting requests: start-time fair queueing between organisations by tokens and
// weight, earliest deadline first inside one organisation. It is pure and not safe for concurrent use.
package fairqueue

import "container/heap"

// Entry is one waiting request. The caller sets the exported fields and does not change them while the
// entry is queued.
type Entry struct {
	Organisation string
	Weight       int64 // share of the organisation; values below one count as one
	Tokens       int64
	Deadline     int64 // nanoseconds on the clock passed to Expired
	Value        any

	flow     *flow
	seq      uint64 // equal deadlines keep the order of arrival
	flowPos  int    // in flow.entries
	queuePos int    // in Queue.deadlines
}

// flow is the state of one organisation.
type flow struct {
	name    string
	weight  float64
	start   float64 // start tag of its next request, in tokens divided by weight
	waiting float64 // tokens of its entries
	entries byFlow
	pos     int // in Queue.flows or Queue.idle
	backPos int // in Queue.backlog
}

// Queue is a bounded fair queue. Push, Pop, Remove and Expired take O(log n).
type Queue struct {
	limit     int
	seq       uint64
	virtual   float64 // start tag of the request served last
	byName    map[string]*flow
	flows     byStart    // flows with entries
	backlog   byBacklog  // the same flows, longest backlog first
	deadlines byDeadline // all entries
	idle      byTag      // flows without entries whose tag is ahead of virtual time
}

// New returns a queue of at most limit entries.
func New(limit int) *Queue {
	return &Queue{limit: limit, byName: map[string]*flow{}}
}

// Len is the number of entries.
func (q *Queue) Len() int { return len(q.deadlines) }

// Push adds e. When the queue is full, an entry of the organisation with the longest backlog for its
// weight leaves; Push returns it, and it is e itself if that is e's organisation.
func (q *Queue) Push(e *Entry) (dropped *Entry) {
	if e.Weight < 1 {
		e.Weight = 1
	}
	f := q.byName[e.Organisation]
	if len(q.deadlines) >= q.limit {
		if len(q.backlog) == 0 {
			return e
		}
		longest := q.backlog[0]
		after := float64(e.Tokens) / float64(e.Weight)
		if f != nil {
			after += f.backlogTime()
		}
		if f == longest || after >= longest.backlogTime() {
			return e
		}
		// The last entry of a heap is a leaf, so it never has the earliest deadline of several.
		dropped = longest.entries[len(longest.entries)-1]
		q.Remove(dropped)
	}
	f = q.activate(e)
	q.seq++
	e.seq, e.flow = q.seq, f
	f.waiting += float64(e.Tokens)
	heap.Push(&f.entries, e)
	heap.Push(&q.deadlines, e)
	if len(f.entries) == 1 {
		heap.Push(&q.flows, f)
		heap.Push(&q.backlog, f)
	} else {
		heap.Fix(&q.flows, f.pos)
		heap.Fix(&q.backlog, f.backPos)
	}
	return dropped
}

// activate returns the state of e's organisation, which gets an entry.
func (q *Queue) activate(e *Entry) *flow {
	f := q.byName[e.Organisation]
	switch {
	case f == nil:
		f = &flow{name: e.Organisation, start: q.virtual}
		q.byName[f.name] = f
	case len(f.entries) == 0:
		heap.Remove(&q.idle, f.pos)
		f.start = max(f.start, q.virtual)
	}
	f.weight = float64(e.Weight)
	return f
}

func (f *flow) backlogTime() float64 { return f.waiting / f.weight }

// Pop removes the next entry, or returns nil.
func (q *Queue) Pop() *Entry {
	if len(q.flows) == 0 {
		return nil
	}
	f := q.flows[0]
	q.virtual = max(q.virtual, f.start)
	e := f.entries[0]
	f.start += float64(e.Tokens) / f.weight
	q.Remove(e)
	return e
}

// Remove takes e out of the queue and reports whether it was queued.
func (q *Queue) Remove(e *Entry) bool {
	f := e.flow
	if f == nil {
		return false
	}
	heap.Remove(&f.entries, e.flowPos)
	heap.Remove(&q.deadlines, e.queuePos)
	e.flow = nil
	f.waiting -= float64(e.Tokens)
	if len(f.entries) > 0 {
		heap.Fix(&q.flows, f.pos)
		heap.Fix(&q.backlog, f.backPos)
		return true
	}
	heap.Remove(&q.flows, f.pos)
	heap.Remove(&q.backlog, f.backPos)
	f.waiting = 0 // drops the rounding error
	heap.Push(&q.idle, f)
	q.forget()
	return true
}

// forget drops idle organisations whose tag virtual time has passed, and all of them when nobody waits:
// the next busy period starts level.
func (q *Queue) forget() {
	if len(q.flows) == 0 {
		clear(q.byName)
		clear(q.idle)
		q.idle = q.idle[:0]
		return
	}
	for len(q.idle) > 0 && q.idle[0].start <= q.virtual {
		delete(q.byName, heap.Pop(&q.idle).(*flow).name)
	}
}

// Expired removes and returns an entry whose deadline is not after now, or returns nil.
func (q *Queue) Expired(now int64) *Entry {
	if len(q.deadlines) == 0 || q.deadlines[0].Deadline > now {
		return nil
	}
	e := q.deadlines[0]
	q.Remove(e)
	return e
}

// NextDeadline returns the earliest deadline of all entries.
func (q *Queue) NextDeadline() (deadline int64, ok bool) {
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].Deadline, true
}

// aheadScan bounds the entries of one organisation that Ahead compares.
const aheadScan = 256

// Ahead estimates how many entries are served before a new one of the organisation with this deadline.
func (q *Queue) Ahead(organisation string, weight, deadline int64) float64 {
	if len(q.flows) == 0 {
		return 0
	}
	own, tag := 0.0, q.virtual
	if f := q.byName[organisation]; f != nil {
		tag = max(tag, f.start)
		if len(f.entries) > 0 {
			scanned := 0
			n := f.entries.earlier(0, deadline, &scanned)
			own = float64(n)
			if scanned >= aheadScan {
				own *= float64(len(f.entries)) / float64(scanned)
			}
			tag += f.backlogTime() * own / float64(len(f.entries))
		}
	}
	ahead := own
	for _, f := range q.flows {
		if f.name == organisation || f.waiting <= 0 {
			continue
		}
		ahead += float64(len(f.entries)) * min(1, max(0, (tag-f.start)/f.backlogTime()))
	}
	return ahead
}

// earlier counts the entries below position i whose deadline is not after deadline.
func (h byFlow) earlier(i int, deadline int64, scanned *int) int {
	if i >= len(h) || *scanned >= aheadScan {
		return 0
	}
	*scanned++
	if h[i].Deadline > deadline {
		return 0
	}
	return 1 + h.earlier(2*i+1, deadline, scanned) + h.earlier(2*i+2, deadline, scanned)
}

type byFlow []*Entry

func (h byFlow) Len() int           { return len(h) }
func (h byFlow) Less(i, j int) bool { return earlierEntry(h[i], h[j]) }
func (h byFlow) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowPos, h[j].flowPos = i, j
}
func (h *byFlow) Push(x any) { e := x.(*Entry); e.flowPos = len(*h); *h = append(*h, e) }
func (h *byFlow) Pop() any   { return pop((*[]*Entry)(h)) }

type byDeadline []*Entry

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return earlierEntry(h[i], h[j]) }
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queuePos, h[j].queuePos = i, j
}
func (h *byDeadline) Push(x any) { e := x.(*Entry); e.queuePos = len(*h); *h = append(*h, e) }
func (h *byDeadline) Pop() any   { return pop((*[]*Entry)(h)) }

func earlierEntry(a, b *Entry) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.seq < b.seq
}

type byStart []*flow

func (h byStart) Len() int { return len(h) }
func (h byStart) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return earlierEntry(h[i].entries[0], h[j].entries[0])
}

func (h byStart) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *byStart) Push(x any) { f := x.(*flow); f.pos = len(*h); *h = append(*h, f) }
func (h *byStart) Pop() any   { return pop((*[]*flow)(h)) }

type byTag []*flow

func (h byTag) Len() int           { return len(h) }
func (h byTag) Less(i, j int) bool { return h[i].start < h[j].start }
func (h byTag) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *byTag) Push(x any) { f := x.(*flow); f.pos = len(*h); *h = append(*h, f) }
func (h *byTag) Pop() any   { return pop((*[]*flow)(h)) }

type byBacklog []*flow

func (h byBacklog) Len() int           { return len(h) }
func (h byBacklog) Less(i, j int) bool { return h[i].backlogTime() > h[j].backlogTime() }
func (h byBacklog) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backPos, h[j].backPos = i, j
}
func (h *byBacklog) Push(x any) { f := x.(*flow); f.backPos = len(*h); *h = append(*h, f) }
func (h *byBacklog) Pop() any   { return pop((*[]*flow)(h)) }

func pop[T any](h *[]*T) *T {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}
