package replay

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
)

// fakeEngine models one engine: a priority queue, serial prefill with a prefix cache, and a batch of
// sequences that decode together.
type fakeEngine struct {
	spec    *Target
	clk     *clock
	life    int // rises when the engine dies; events of an earlier life have no effect
	down    bool
	silent  bool
	waiting jobHeap
	filling *job // in prefill
	running map[*job]struct{}
	cache   prefixCache
	next    uint64
}

// job is one request at an engine.
type job struct {
	priority int64 // lower first
	seq      uint64
	model    string
	prompt   int64
	output   int64
	prefix   string
	shared   int64
	first    func()     // first token
	done     func(bool) // false: the engine died
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
		spec: spec, clk: clk, running: map[*job]struct{}{},
		cache: prefixCache{limit: spec.PrefixTokens, index: map[string]*list.Element{}},
	}
}

// submit queues j. It reports false if the engine is dead.
func (e *fakeEngine) submit(j *job) bool {
	if e.down {
		return false
	}
	e.next++
	j.seq = e.next
	heap.Push(&e.waiting, j)
	e.start()
	return true
}

// start begins the prefill of the first waiting job if a batch slot is free.
func (e *fakeEngine) start() {
	if e.filling != nil || len(e.running) >= e.spec.Slots || len(e.waiting) == 0 {
		return
	}
	j := heap.Pop(&e.waiting).(*job)
	e.filling = j
	tokens := j.prompt
	if j.prefix != "" && e.cache.touch(j.prefix, j.shared) {
		tokens -= j.shared
	}
	took := time.Duration(float64(tokens)/e.spec.PrefillRate*float64(time.Second)) + e.spec.gap(len(e.running)+1)
	e.later(took, func() { e.decode(j) })
}

// decode moves a filled job into the batch. The time between its tokens is that of the batch at its start.
func (e *fakeEngine) decode(j *job) {
	e.filling = nil
	e.running[j] = struct{}{}
	if !e.silent {
		j.first()
	}
	e.later(time.Duration(j.output-1)*e.spec.gap(len(e.running)), func() {
		delete(e.running, j)
		if !e.silent {
			j.done(true)
		}
		e.start()
	})
	e.start()
}

// later schedules fn for this life of the engine.
func (e *fakeEngine) later(d time.Duration, fn func()) {
	life := e.life
	e.clk.after(d, func() {
		if e.life == life {
			fn()
		}
	})
}

// die ends all work and empties the memory.
func (e *fakeEngine) die() {
	e.down = true
	e.life++
	lost := make([]*job, 0, len(e.waiting)+len(e.running)+1)
	lost = append(lost, e.waiting...)
	if e.filling != nil {
		lost = append(lost, e.filling)
	}
	for j := range e.running {
		lost = append(lost, j)
	}
	e.waiting, e.filling = nil, nil
	clear(e.running)
	e.cache.reset()
	// Map order is random; the order of arrival keeps replays reproducible.
	sortJobs(lost)
	for _, j := range lost {
		j.done(false)
	}
}

func (e *fakeEngine) load() engine.Load {
	running := len(e.running)
	if e.filling != nil {
		running++
	}
	toks := int64(0)
	for _, j := range e.waiting {
		toks += j.prompt
	}
	return engine.Load{Running: running, Queued: len(e.waiting), QueuedPromptTokens: toks, Slots: e.spec.Slots}
}

// prefixCache is a least-recently-used cache bounded in tokens.
type prefixCache struct {
	limit, used int64
	order       list.List
	index       map[string]*list.Element
}

type prefixEntry struct {
	name   string
	tokens int64
}

// touch reports whether the prefix is cached and makes it the most recent.
func (c *prefixCache) touch(name string, tokens int64) bool {
	if el, ok := c.index[name]; ok {
		c.order.MoveToFront(el)
		return true
	}
	c.index[name] = c.order.PushFront(prefixEntry{name, tokens})
	c.used += tokens
	for c.used > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		old := c.order.Remove(last).(prefixEntry)
		delete(c.index, old.name)
		c.used -= old.tokens
	}
	return false
}

func (c *prefixCache) reset() {
	c.order.Init()
	clear(c.index)
	c.used = 0
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
}
