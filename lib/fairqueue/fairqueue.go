// Package fairqueue orders waiting requests: start-time fair queueing between organisations by tokens and weight,
// earliest deadline first within an organisation. It does no I/O, reads no clock, and is not safe for concurrent use.
package fairqueue

import (
	"container/heap"
	"slices"
)

// Entry is one waiting request. The caller sets the exported fields and does not change them while the
// entry is queued.
type Entry struct {
	Organisation string
	Weight       int64 // of the organisation; values below one count as one
	Tokens       int64 // cost of the request
	Deadline     int64 // nanoseconds, on the clock passed to PopExpired
	Value        any   // not used by the queue

	flow          *flow
	level         int    // in Levels
	seq           uint64 // order of arrival, which decides between equal deadlines
	flowIndex     int    // in flow.entries
	deadlineIndex int    // in Queue.deadlines
}

// flow holds the waiting entries of one organisation and its start tag.
type flow struct {
	name          string
	weight        float64
	startTag      float64 // virtual time at which its next request starts, in tokens divided by weight
	backlogTokens float64 // tokens of its entries
	entries       entryHeap
	heapIndex     int // in Queue.active or Queue.idle
	backlogIndex  int // in Queue.backlog
}

// Queue is a bounded fair queue. Push, Pop, Remove and PopExpired take O(log n).
type Queue struct {
	limit       int
	seq         uint64           // of the newest entry
	virtualTime float64          // start tag of the request served last
	byName      map[string]*flow // active and idle flows
	active      activeHeap       // flows with entries
	backlog     backlogHeap      // the same flows, longest backlog for its weight first
	deadlines   deadlineHeap     // all entries
	idle        idleHeap         // flows without entries whose start tag is later than virtualTime
}

// New returns a queue of at most limit entries.
func New(limit int) *Queue {
	return &Queue{limit: limit, byName: map[string]*flow{}}
}

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.deadlines) }

// Push adds e. If the queue is full, Push drops and returns an entry of the organisation with the longest backlog for
// its weight, with e counted in. If that is the organisation of e, it returns e and does not add it.
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
		backlogWithEntry := float64(e.Tokens) / float64(e.Weight)
		if f != nil {
			backlogWithEntry += f.weightedBacklog()
		}
		if f == longest || backlogWithEntry >= longest.weightedBacklog() {
			return e
		}
		dropped = q.dropOne()
	}
	f = q.flowOf(e)
	q.seq++
	e.seq, e.flow = q.seq, f
	f.backlogTokens += float64(e.Tokens)
	heap.Push(&f.entries, e)
	heap.Push(&q.deadlines, e)
	if len(f.entries) == 1 {
		heap.Push(&q.active, f)
		heap.Push(&q.backlog, f)
	} else {
		heap.Fix(&q.active, f.heapIndex)
		heap.Fix(&q.backlog, f.backlogIndex)
	}
	return dropped
}

// dropOne removes and returns an entry of the organisation with the longest backlog for its weight. The queue must not be empty.
func (q *Queue) dropOne() *Entry {
	// The last entry of a heap is a leaf, so it never has the earliest deadline of several.
	longest := q.backlog[0]
	dropped := longest.entries[len(longest.entries)-1]
	q.Remove(dropped)
	return dropped
}

// flowOf returns the flow that e is to be added to. It creates the flow or takes it out of the idle ones as needed.
func (q *Queue) flowOf(e *Entry) *flow {
	f := q.byName[e.Organisation]
	switch {
	case f == nil:
		f = &flow{name: e.Organisation, startTag: q.virtualTime}
		q.byName[f.name] = f
	case len(f.entries) == 0:
		heap.Remove(&q.idle, f.heapIndex)
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.weight = float64(e.Weight)
	return f
}

// weightedBacklog returns the tokens of the waiting entries divided by the weight.
func (f *flow) weightedBacklog() float64 { return f.backlogTokens / f.weight }

// Pop removes and returns the next entry to serve, or returns nil if the queue is empty.
func (q *Queue) Pop() *Entry {
	if len(q.active) == 0 {
		return nil
	}
	e := q.active[0].entries[0]
	q.take(e)
	return e
}

// take removes an entry that is served, and charges its organisation.
func (q *Queue) take(e *Entry) {
	f := e.flow
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += float64(e.Tokens) / f.weight
	q.Remove(e)
}

// Next returns the first entry in the order of Pop for which skip returns false, or nil. The entry stays in the queue.
func (q *Queue) Next(skip func(*Entry) bool) *Entry {
	flows := slices.Clone(q.active)
	slices.SortFunc(flows, func(a, b *flow) int {
		switch {
		case a.startTag != b.startTag:
			if a.startTag < b.startTag {
				return -1
			}
			return 1
		case dueBefore(a.entries[0], b.entries[0]):
			return -1
		}
		return 1
	})
	for _, f := range flows {
		var first *Entry
		for _, e := range f.entries {
			if (first == nil || dueBefore(e, first)) && !skip(e) {
				first = e
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

// Remove takes e out of the queue and reports whether it was queued.
func (q *Queue) Remove(e *Entry) bool {
	f := e.flow
	if f == nil {
		return false
	}
	heap.Remove(&f.entries, e.flowIndex)
	heap.Remove(&q.deadlines, e.deadlineIndex)
	e.flow = nil
	f.backlogTokens -= float64(e.Tokens)
	if len(f.entries) > 0 {
		heap.Fix(&q.active, f.heapIndex)
		heap.Fix(&q.backlog, f.backlogIndex)
		return true
	}
	heap.Remove(&q.active, f.heapIndex)
	heap.Remove(&q.backlog, f.backlogIndex)
	f.backlogTokens = 0 // discards the rounding error
	heap.Push(&q.idle, f)
	q.dropIdleFlows()
	return true
}

// dropIdleFlows deletes the idle flows whose start tag virtualTime has reached. When the queue is empty it deletes all
// of them, so that no organisation enters the next busy period with an advantage.
func (q *Queue) dropIdleFlows() {
	if len(q.active) == 0 {
		clear(q.byName)
		clear(q.idle)
		q.idle = q.idle[:0]
		return
	}
	for len(q.idle) > 0 && q.idle[0].startTag <= q.virtualTime {
		delete(q.byName, heap.Pop(&q.idle).(*flow).name)
	}
}

// PopExpired removes and returns the entry with the earliest deadline if that is not after now, or returns nil.
func (q *Queue) PopExpired(now int64) *Entry {
	if len(q.deadlines) == 0 || q.deadlines[0].Deadline > now {
		return nil
	}
	e := q.deadlines[0]
	q.Remove(e)
	return e
}

// NextDeadline returns the earliest deadline of all entries, and false if the queue is empty.
func (q *Queue) NextDeadline() (deadline int64, ok bool) {
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].Deadline, true
}

// maxAheadScan is the largest number of entries of one organisation that EstimateAhead compares; it extrapolates
// beyond that.
const maxAheadScan = 256

// EstimateAhead estimates the number of entries that would be served before a new entry of the organisation
// with the deadline.
func (q *Queue) EstimateAhead(organisation string, weight, deadline int64) float64 {
	if len(q.active) == 0 {
		return 0
	}
	ownEntries, tag := 0.0, q.virtualTime
	if f := q.byName[organisation]; f != nil {
		tag = max(tag, f.startTag)
		if len(f.entries) > 0 {
			scanned := 0
			n := f.entries.countUntil(0, deadline, &scanned)
			ownEntries = float64(n)
			if scanned >= maxAheadScan {
				ownEntries *= float64(len(f.entries)) / float64(scanned)
			}
			tag += f.weightedBacklog() * ownEntries / float64(len(f.entries))
		}
	}
	ahead := ownEntries
	for _, f := range q.active {
		if f.name == organisation || f.backlogTokens <= 0 {
			continue
		}
		ahead += float64(len(f.entries)) * min(1, max(0, (tag-f.startTag)/f.weightedBacklog()))
	}
	return ahead
}

// countUntil counts the entries with a deadline not after the given one in the subtree of the heap at index i. It adds
// the entries compared to scanned and stops at maxAheadScan of them.
func (h entryHeap) countUntil(i int, deadline int64, scanned *int) int {
	if i >= len(h) || *scanned >= maxAheadScan {
		return 0
	}
	*scanned++
	if h[i].Deadline > deadline {
		return 0
	}
	return 1 + h.countUntil(2*i+1, deadline, scanned) + h.countUntil(2*i+2, deadline, scanned)
}

// entryHeap orders the entries of one flow by deadline.
type entryHeap []*Entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return dueBefore(h[i], h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowIndex, h[j].flowIndex = i, j
}
func (h *entryHeap) Push(x any) { e := x.(*Entry); e.flowIndex = len(*h); *h = append(*h, e) }
func (h *entryHeap) Pop() any   { return pop((*[]*Entry)(h)) }

// deadlineHeap orders the entries of all flows by deadline.
type deadlineHeap []*Entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return dueBefore(h[i], h[j]) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap) Push(x any) { e := x.(*Entry); e.deadlineIndex = len(*h); *h = append(*h, e) }
func (h *deadlineHeap) Pop() any   { return pop((*[]*Entry)(h)) }

// dueBefore reports whether a has an earlier deadline than b, or the same deadline and an earlier arrival.
func dueBefore(a, b *Entry) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.seq < b.seq
}

// activeHeap orders flows with entries by start tag, then by their first entries.
type activeHeap []*flow

func (h activeHeap) Len() int { return len(h) }
func (h activeHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return dueBefore(h[i].entries[0], h[j].entries[0])
}

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *activeHeap) Push(x any) { f := x.(*flow); f.heapIndex = len(*h); *h = append(*h, f) }
func (h *activeHeap) Pop() any   { return pop((*[]*flow)(h)) }

// idleHeap orders flows without entries by start tag.
type idleHeap []*flow

func (h idleHeap) Len() int           { return len(h) }
func (h idleHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }
func (h idleHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *idleHeap) Push(x any) { f := x.(*flow); f.heapIndex = len(*h); *h = append(*h, f) }
func (h *idleHeap) Pop() any   { return pop((*[]*flow)(h)) }

// backlogHeap orders flows by weighted backlog, the longest first.
type backlogHeap []*flow

func (h backlogHeap) Len() int           { return len(h) }
func (h backlogHeap) Less(i, j int) bool { return h[i].weightedBacklog() > h[j].weightedBacklog() }
func (h backlogHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backlogIndex, h[j].backlogIndex = i, j
}
func (h *backlogHeap) Push(x any) { f := x.(*flow); f.backlogIndex = len(*h); *h = append(*h, f) }
func (h *backlogHeap) Pop() any   { return pop((*[]*flow)(h)) }

// pop removes and returns the last element of a heap's slice.
func pop[T any](h *[]*T) *T {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}
