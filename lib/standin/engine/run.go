package engine

import (
	"container/heap"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/prompt"
)

// run is one request. All fields but the constant ones are guarded by Engine.mu.
type run struct {
	id       string
	priority int
	arrival  int
	prompt   prompt.Prompt
	max      int

	count     int           // times started
	slot      chan struct{} // closed once the run has a batch slot
	cancel    chan struct{} // closed by a cancellation
	changed   chan struct{} // closed and replaced at each change
	events    []string      // data of the events so far
	text      strings.Builder
	cancelled bool
	started   bool
	done      bool
}

// startLocked registers the run and lets it compete for a slot.
func (e *Engine) startLocked(id string, priority int, p prompt.Prompt, maxTokens int) *run {
	r := e.runs[id]
	if r != nil && !r.done {
		r.count++ // a repeated id while the first is still running is logged and joins it
		return r
	}
	if r == nil {
		e.order = append(e.order, id)
		if len(e.order) > keptRuns {
			delete(e.runs, e.order[0])
			e.order = e.order[1:]
		}
		r = &run{id: id}
		e.runs[id] = r
	}
	*r = run{
		id: id, priority: priority, arrival: len(e.order), prompt: p, max: maxTokens, count: r.count + 1,
		slot: make(chan struct{}), cancel: make(chan struct{}), changed: make(chan struct{}),
	}
	if e.running < e.cfg.Slots {
		e.running++
		r.started = true
		close(r.slot)
	} else {
		heap.Push(&e.queue, r)
	}
	if e.cfg.Prefill == 0 && e.cfg.Decode == 0 && r.started {
		// Without rates the whole answer is there at once; no goroutine is needed.
		e.cache.touch(p.Prefix)
		for i := range maxTokens {
			e.emitLocked(r, i)
		}
		e.endLocked(r)
		return r
	}
	go e.generate(r)
	return r
}

func (e *Engine) generate(r *run) {
	select {
	case <-r.slot:
	case <-r.cancel:
		e.mu.Lock()
		e.endLocked(r)
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	hit := e.cache.touch(r.prompt.Prefix)
	e.mu.Unlock()
	if e.cfg.Prefill > 0 && !hit {
		e.pause(r, float64(r.prompt.Tokens)/e.cfg.Prefill)
	}
	for i := range r.max {
		if e.cfg.Decode > 0 {
			e.pause(r, 1/e.cfg.Decode)
		}
		e.mu.Lock()
		if r.cancelled {
			e.mu.Unlock()
			break
		}
		e.emitLocked(r, i)
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(r)
}

func (e *Engine) pause(r *run, seconds float64) {
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.cancel:
	case <-e.closed:
	}
}

// Token returns the i-th token of the answer to a prompt.
func Token(p prompt.Prompt, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(p.Hash), i)
}

func (e *Engine) emitLocked(r *run, i int) {
	token := Token(r.prompt, i)
	r.text.WriteString(token)
	r.events = append(r.events, `{"id":`+strconv.Quote(r.id)+`,"choices":[{"index":0,"delta":{"content":`+strconv.Quote(token)+`}}]}`)
	r.changedLocked()
}

func (r *run) changedLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) usage() string {
	return fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, r.prompt.Tokens, r.max)
}

// endLocked finishes the run and passes its slot on.
func (e *Engine) endLocked(r *run) {
	if r.done {
		return
	}
	r.done = true
	if !r.cancelled {
		r.events = append(r.events, `{"id":`+strconv.Quote(r.id)+`,"choices":[],`+r.usage()+`}`, httpengine.EndMarker)
	}
	r.changedLocked()
	if !r.started {
		for i, q := range e.queue {
			if q == r {
				heap.Remove(&e.queue, i)
				break
			}
		}
		return
	}
	e.running--
	if len(e.queue) > 0 {
		next := heap.Pop(&e.queue).(*run)
		next.started = true
		e.running++
		close(next.slot)
	}
}

// cancelRun stops the run with the given id.
func (e *Engine) cancelRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil {
		return false
	}
	if !r.done && !r.cancelled {
		r.cancelled = true
		close(r.cancel)
		r.changedLocked()
	}
	return true
}
