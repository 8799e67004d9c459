package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/prompt"
)

// Paths that the engine protocol does not have, for tests and the demo.
const (
	PathRuns   = "/debug/runs"   // GET ?prefix=: log of runs
	PathFaults = "/debug/faults" // PUT: Faults
	PathMemory = "/debug/memory" // GET: Memory
	PathCache  = "/v1/cache/events"
)

func (e *Engine) handle(h *fasthttp.RequestCtx) {
	path := string(h.Path())
	rest, isRequest := strings.CutPrefix(path, httpengine.PathRequests)
	switch {
	case path == "/v1/chat/completions" || path == "/v1/completions":
		e.handleInference(h, path)
	case isRequest:
		e.handleRequest(h, rest)
	case path == httpengine.PathOrders:
		e.handleOrder(h)
	case path == httpengine.PathReport:
		writeJSON(h, fasthttp.StatusOK, e.Report())
	case path == PathCache:
		after, _ := strconv.ParseInt(string(h.QueryArgs().Peek("after")), 10, 64)
		e.mu.Lock()
		events := e.cache.eventsAfter(after, e.cfg.CacheDelay)
		e.mu.Unlock()
		writeJSON(h, fasthttp.StatusOK, events)
	case path == PathMemory:
		writeJSON(h, fasthttp.StatusOK, e.Memory())
	case path == PathRuns:
		writeJSON(h, fasthttp.StatusOK, e.Runs(string(h.QueryArgs().Peek("prefix"))))
	case path == PathFaults:
		var f Faults
		if err := json.Unmarshal(h.PostBody(), &f); err != nil {
			writeJSON(h, fasthttp.StatusBadRequest, err.Error())
			return
		}
		e.SetFaults(f)
	default:
		h.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func writeJSON(h *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = fasthttp.StatusInternalServerError, nil
	}
	h.SetStatusCode(status)
	h.SetContentType("application/json")
	h.SetBody(body)
}

// closeUnanswered closes the connection without a response.
func closeUnanswered(h *fasthttp.RequestCtx) {
	h.HijackSetNoResponse(true)
	h.Hijack(func(net.Conn) {})
}

// holdOpen keeps the connection open without a response until the engine is closed.
func (e *Engine) holdOpen(h *fasthttp.RequestCtx) {
	h.HijackSetNoResponse(true)
	h.Hijack(func(net.Conn) { <-e.closed })
}

type inferBody struct {
	Model     string          `json:"model"`
	Adapter   string          `json:"adapter"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// handleInference serves a chat or completion request and applies the injected request faults.
func (e *Engine) handleInference(h *fasthttp.RequestCtx, path string) {
	id := string(h.Request.Header.Peek(httpengine.HeaderRequestID))
	h.Response.Header.Set(httpengine.HeaderRequestID, id)
	if e.consumeFault(func(f *Faults) *int { return &f.LoseRequests }) {
		closeUnanswered(h)
		return
	}
	var body inferBody
	err := json.Unmarshal(h.PostBody(), &body)
	var p prompt.Prompt
	if err == nil {
		if path == "/v1/chat/completions" {
			p, err = prompt.ParseChat(body.Messages)
		} else {
			p, err = prompt.ParseCompletion(body.Prompt)
		}
	}
	if err != nil {
		writeJSON(h, fasthttp.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = e.cfg.DefaultMaxTokens
	}
	if refusalHeader := e.refusalHeader(body.Model, body.Adapter); refusalHeader != "" {
		h.Response.Header.Set(refusalHeader, "1")
		h.Response.Header.Set(httpengine.HeaderNotRun, "1")
		h.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	priority, _ := strconv.Atoi(string(h.Request.Header.Peek(httpengine.HeaderPriority)))
	e.mu.Lock()
	r := e.startLocked(id, priority, p, body.MaxTokens)
	e.setLoadLocked(h)
	e.mu.Unlock()
	switch {
	case e.consumeFault(func(f *Faults) *int { return &f.Errors }):
		e.cancelRun(id)
		writeJSON(h, fasthttp.StatusInternalServerError, map[string]string{"error": "injected"})
	case e.consumeFault(func(f *Faults) *int { return &f.SilentCalls }):
		e.holdOpen(h)
	case e.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }):
		e.wait(r)
		closeUnanswered(h)
	case body.Stream:
		e.stream(h, r, 0)
	default:
		e.writeAnswer(h, r)
	}
}

// refusalHeader returns the header that says why a request cannot run here, or an empty string if it can.
func (e *Engine) refusalHeader(model, adapter string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Draining {
		return httpengine.HeaderDraining
	}
	if !e.residentLocked(model, adapter) {
		return httpengine.HeaderNotResident
	}
	return ""
}

func (e *Engine) setLoadLocked(h *fasthttp.RequestCtx) {
	load, err := json.Marshal(e.loadLocked())
	if err == nil {
		h.Response.Header.SetBytesV(httpengine.HeaderLoad, load)
	}
}

// wait blocks until the run has ended.
func (e *Engine) wait(r *run) {
	for {
		e.mu.Lock()
		done, changed := r.done, r.changed
		e.mu.Unlock()
		if done {
			return
		}
		<-changed
	}
}

// writeAnswer waits for the end of the run and writes its output as one JSON response.
func (e *Engine) writeAnswer(h *fasthttp.RequestCtx, r *run) {
	e.wait(r)
	e.mu.Lock()
	id, text, usage, cancelled := r.id, r.text.String(), r.usage(), r.cancelled
	e.setLoadLocked(h)
	e.mu.Unlock()
	if cancelled {
		h.SetStatusCode(499) // closed by the client before the answer
		return
	}
	if e.consumeFault(func(f *Faults) *int { return &f.CrossAnswers }) {
		id, text = "crossed", "crossed"
		h.Response.Header.Set(httpengine.HeaderRequestID, id)
	}
	h.SetContentType("application/json")
	h.SetBodyString(fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q}}],%s}`, id, text, usage))
}

// handleRequest serves the paths of a single request: its state, its cancellation (DELETE) and the resumption of its
// event stream.
func (e *Engine) handleRequest(h *fasthttp.RequestCtx, rest string) {
	id, resume := strings.CutSuffix(rest, httpengine.PathEvents)
	h.Response.Header.Set(httpengine.HeaderRequestID, id)
	e.mu.Lock()
	r := e.runs[id]
	state := httpengine.RequestState{ID: id, State: httpengine.StateQueued}
	if r != nil && r.started {
		state.State = httpengine.StateRunning
	}
	if r != nil && r.done {
		state.State = httpengine.StateDone
	}
	noResume := e.faults.NoResume
	cancelled := r != nil && r.cancelled
	e.mu.Unlock()
	switch {
	case r == nil:
		h.SetStatusCode(fasthttp.StatusNotFound)
	case h.IsDelete():
		e.cancelRun(id)
	case !resume:
		writeJSON(h, fasthttp.StatusOK, state)
	case noResume || cancelled:
		h.SetStatusCode(fasthttp.StatusGone)
	default:
		after, err := strconv.ParseInt(string(h.Request.Header.Peek(httpengine.HeaderLastEventID)), 10, 64)
		if err != nil {
			h.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		e.stream(h, r, after)
	}
}

func (e *Engine) handleOrder(h *fasthttp.RequestCtx) {
	var o engine.Order
	if err := json.Unmarshal(h.PostBody(), &o); err != nil {
		writeJSON(h, fasthttp.StatusBadRequest, httpengine.OrderRefusal{
			Reason: httpengine.OrderRefusedOther, Detail: err.Error(),
		})
		return
	}
	if e.consumeFault(func(f *Faults) *int { return &f.LoseOrders }) {
		closeUnanswered(h)
		return
	}
	e.mu.Lock()
	delay := e.faults.DelayOrders
	e.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	err := e.Execute(o)
	if e.consumeFault(func(f *Faults) *int { return &f.LoseOrderAcks }) {
		closeUnanswered(h)
		return
	}
	switch {
	case err == nil:
		writeJSON(h, fasthttp.StatusOK, struct{}{})
	case errors.Is(err, engine.ErrFenced):
		writeJSON(h, fasthttp.StatusConflict, httpengine.OrderRefusal{
			Reason: httpengine.OrderRefusedFenced, Detail: err.Error(),
		})
	default:
		writeJSON(h, fasthttp.StatusConflict, httpengine.OrderRefusal{
			Reason: httpengine.OrderRefusedOther, Detail: err.Error(),
		})
	}
}

// stream responds with the events of the run whose number is above seq.
func (e *Engine) stream(h *fasthttp.RequestCtx, r *run, seq int64) {
	s := &streamBody{e: e, r: r, seq: seq}
	s.die = e.consumeFault(func(f *Faults) *int { return &f.DieAfter })
	if !s.die {
		s.silent = e.consumeFault(func(f *Faults) *int { return &f.SilentStreams })
	}
	e.mu.Lock()
	s.faultSeq = e.faults.DieAtEvent
	e.mu.Unlock()
	h.SetContentType("text/event-stream")
	h.Response.ImmediateHeaderFlush = true
	h.SetBodyStream(s, -1)
}

// streamBody reads as the event stream of a run. With die or silent, it breaks off or stalls after event faultSeq.
type streamBody struct {
	e        *Engine
	r        *run
	seq      int64
	pending  []byte
	ended    bool
	die      bool
	silent   bool
	faultSeq int64
}

var errInjected = errors.New("injected connection fault")

// Read implements io.Reader.
func (s *streamBody) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if (s.die || s.silent) && s.seq >= s.faultSeq {
			if s.silent {
				<-s.e.closed
			}
			return 0, errInjected
		}
		if s.ended {
			return 0, io.EOF
		}
		s.fill(len(p))
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// fill appends the available events to s.pending, up to about limit bytes. If there are none, it waits for a change of
// the run or appends a comment after the ping interval.
func (s *streamBody) fill(limit int) {
	s.e.mu.Lock()
	for int(s.seq) < len(s.r.events) && len(s.pending) < limit && !((s.die || s.silent) && s.seq >= s.faultSeq) {
		data := s.r.events[s.seq]
		s.seq++
		s.pending = append(s.pending, "id: "...)
		s.pending = strconv.AppendInt(s.pending, s.seq, 10)
		s.pending = append(append(append(s.pending, "\ndata: "...), data...), "\n\n"...)
		s.ended = data == httpengine.EndMarker
	}
	if s.r.done && int(s.seq) >= len(s.r.events) {
		s.ended = true // a cancelled run has no end marker
	}
	changed := s.r.changed
	s.e.mu.Unlock()
	if len(s.pending) > 0 || s.ended {
		return
	}
	timer := time.NewTimer(s.e.cfg.PingInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-s.e.closed:
		s.die, s.faultSeq = true, 0
	case <-timer.C:
		s.pending = append(s.pending, ": ping\n\n"...)
	}
}
