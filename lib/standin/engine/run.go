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

// run is one request to the engine. Engine.mu guards the fields below the first block, which doesn't change.
type run struct {
	id        string
	priority  int
	arrival   int
	prompt    prompt.Prompt
	maxTokens int

	starts    int           // times started
	slot      chan struct{} // closed once the run has a batch slot
	cancel    chan struct{} // closed when the run is cancelled
	changed   chan struct{} // closed and replaced at each change of the run
	events    []string      // data fields of the events generated so far
	text      strings.Builder
	cancelled bool
	started   bool
	done      bool
}

// startLocked registers a run and starts it, or queues it while all batch slots are taken. If a run with the same id is
// still in progress, it counts another start and returns that run. The caller holds e.mu.
func (e *Engine) startLocked(id string, priority int, p prompt.Prompt, maxTokens int) *run {
	r := e.runs[id]
	if r != nil && !r.done {
		r.starts++ // the repeated request is answered from the run in progress
		return r
	}
	if r == nil {
		e.order = append(e.order, id)
		if len(e.order) > maxRuns {
			delete(e.runs, e.order[0])
			e.order = e.order[1:]
		}
		r = &run{id: id}
		e.runs[id] = r
	}
	*r = run{
		id: id, priority: priority, arrival: len(e.order), prompt: p, maxTokens: maxTokens, starts: r.starts + 1,
		slot: make(chan struct{}), cancel: make(chan struct{}), changed: make(chan struct{}),
	}
	if e.running < e.cfg.Slots {
		e.running++
		r.started = true
		close(r.slot)
	} else {
		heap.Push(&e.queue, r)
	}
	if e.cfg.PrefillTokensPerSecond == 0 && e.cfg.DecodeTokensPerSecond == 0 && r.started {
		// Without configured rates the whole output is generated at once and needs no goroutine.
		e.cache.touch(p.PrefixHash)
		for i := range maxTokens {
			e.emitLocked(r, i)
		}
		e.endLocked(r)
		return r
	}
	go e.generate(r)
	return r
}

// generate waits for a batch slot and produces the output of r at the configured prefill and decode rates.
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
	hit := e.cache.touch(r.prompt.PrefixHash)
	e.mu.Unlock()
	if e.cfg.PrefillTokensPerSecond > 0 && !hit {
		e.sleep(r, float64(r.prompt.EstimatedTokens)/e.cfg.PrefillTokensPerSecond)
	}
	for i := range r.maxTokens {
		if e.cfg.DecodeTokensPerSecond > 0 {
			e.sleep(r, 1/e.cfg.DecodeTokensPerSecond)
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

// sleep waits for the given time, or until the run is cancelled or the engine is closed.
func (e *Engine) sleep(r *run, seconds float64) {
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.cancel:
	case <-e.closed:
	}
}

// Token returns the i-th output token for a prompt; i starts at 0.
func Token(p prompt.Prompt, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(p.TextHash), i)
}

func (e *Engine) emitLocked(r *run, i int) {
	token := Token(r.prompt, i)
	r.text.WriteString(token)
	r.events = append(r.events, `{"id":`+strconv.Quote(r.id)+`,"choices":[{"index":0,"delta":{"content":`+strconv.Quote(token)+`}}]}`)
	r.notifyLocked()
}

// notifyLocked wakes everyone who waits for a change of the run.
func (r *run) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) usage() string {
	return fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, r.prompt.EstimatedTokens, r.maxTokens)
}

// endLocked marks the run as done and gives its batch slot to the first run of the queue.
func (e *Engine) endLocked(r *run) {
	if r.done {
		return
	}
	r.done = true
	if !r.cancelled {
		r.events = append(r.events, `{"id":`+strconv.Quote(r.id)+`,"choices":[],`+r.usage()+`}`, httpengine.EndMarker)
	}
	r.notifyLocked()
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

// cancelRun cancels the run with the given id and reports whether the id is known.
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
		r.notifyLocked()
	}
	return true
}
