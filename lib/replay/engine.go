package replay

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
)

// fakeEngine simulates one engine: a priority queue, serial prefill with a prefix cache, and a batch of sequences that
// decode together.
type fakeEngine struct {
	spec         *Target
	clock        *clock
	incarnation  int // incremented by each crash; events of earlier incarnations have no effect
	down         bool
	unresponsive bool
	waiting      jobHeap
	prefilling   *job // nil if no job is in prefill
	running      map[*job]struct{}
	cache        prefixCache
	lastSeq      uint64
}

// job is one request submitted to an engine.
type job struct {
	priority     int64 // lower first
	seq          uint64
	model        string
	promptTokens int64
	outputTokens int64
	prefix       string
	prefixTokens int64
	onFirstToken func()
	onDone       func(bool) // the argument is false if the engine crashed
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

func newFakeEngine(spec *Target, clk *clock) *fakeEngine {
	return &fakeEngine{
		spec: spec, clock: clk, running: map[*job]struct{}{},
		cache: prefixCache{maxTokens: spec.PrefixCacheTokens, index: map[string]*list.Element{}},
	}
}

// submit queues j. It returns false if the engine is down.
func (e *fakeEngine) submit(j *job) bool {
	if e.down {
		return false
	}
	e.lastSeq++
	j.seq = e.lastSeq
	heap.Push(&e.waiting, j)
	e.startPrefill()
	return true
}

// startPrefill begins the prefill of the first waiting job if a batch slot is free.
func (e *fakeEngine) startPrefill() {
	if e.prefilling != nil || len(e.running) >= e.spec.Slots || len(e.waiting) == 0 {
		return
	}
	j := heap.Pop(&e.waiting).(*job)
	e.prefilling = j
	tokens := j.promptTokens
	if j.prefix != "" && e.cache.lookupOrInsert(j.prefix, j.prefixTokens) {
		tokens -= j.prefixTokens
	}
	took := time.Duration(float64(tokens)/e.spec.PrefillTokensPerSecond*float64(time.Second)) +
		e.spec.tokenGap(len(e.running)+1)
	e.scheduleAfter(took, func() { e.decode(j) })
}

// decode moves a job from prefill into the batch. The batch size at this moment sets the time between all its tokens.
func (e *fakeEngine) decode(j *job) {
	e.prefilling = nil
	e.running[j] = struct{}{}
	if !e.unresponsive {
		j.onFirstToken()
	}
	e.scheduleAfter(time.Duration(j.outputTokens-1)*e.spec.tokenGap(len(e.running)), func() {
		delete(e.running, j)
		if !e.unresponsive {
			j.onDone(true)
		}
		e.startPrefill()
	})
	e.startPrefill()
}

// scheduleAfter schedules fn for d from now. fn does not run if the engine crashes before.
func (e *fakeEngine) scheduleAfter(d time.Duration, fn func()) {
	life := e.incarnation
	e.clock.scheduleAfter(d, func() {
		if e.incarnation == life {
			fn()
		}
	})
}

// crash takes the engine down, fails all its jobs and empties its prefix cache.
func (e *fakeEngine) crash() {
	e.down = true
	e.incarnation++
	lost := make([]*job, 0, len(e.waiting)+len(e.running)+1)
	lost = append(lost, e.waiting...)
	if e.prefilling != nil {
		lost = append(lost, e.prefilling)
	}
	for j := range e.running {
		lost = append(lost, j)
	}
	e.waiting, e.prefilling = nil, nil
	clear(e.running)
	e.cache.reset()
	// Map order is random; failing jobs in order of arrival keeps replays reproducible.
	sortByArrival(lost)
	for _, j := range lost {
		j.onDone(false)
	}
}

func (e *fakeEngine) load() engine.Load {
	running := len(e.running)
	if e.prefilling != nil {
		running++
	}
	queuedTokens := int64(0)
	for _, j := range e.waiting {
		queuedTokens += j.promptTokens
	}
	return engine.Load{Running: running, Queued: len(e.waiting), QueuedPromptTokens: queuedTokens, Slots: e.spec.Slots}
}

// prefixCache is a least-recently-used cache of prompt prefixes, bounded by their total number of tokens.
type prefixCache struct {
	maxTokens, usedTokens int64
	recency               list.List
	index                 map[string]*list.Element
}

type prefixEntry struct {
	name   string
	tokens int64
}

// lookupOrInsert reports whether the prefix was cached and makes it the most recently used. A missing prefix is
// inserted, which may evict others.
func (c *prefixCache) lookupOrInsert(name string, tokens int64) bool {
	if el, ok := c.index[name]; ok {
		c.recency.MoveToFront(el)
		return true
	}
	c.index[name] = c.recency.PushFront(prefixEntry{name, tokens})
	c.usedTokens += tokens
	for c.usedTokens > c.maxTokens && c.recency.Len() > 0 {
		last := c.recency.Back()
		old := c.recency.Remove(last).(prefixEntry)
		delete(c.index, old.name)
		c.usedTokens -= old.tokens
	}
	return false
}

func (c *prefixCache) reset() {
	c.recency.Init()
	clear(c.index)
	c.usedTokens = 0
}

func sortByArrival(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
}
