// Package engine is a small model engine for tests and the demo. It generates text that depends only on the prompt,
// so that tests recognise the answer to another request, and injects faults on request.
package engine

import (
	"container/heap"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/engine"
)

// Config holds the settings of the stand-in.
type Config struct {
	Slots                  int           // sequences in the batch; default 8
	PrefillTokensPerSecond float64       // prompt tokens per second; 0 for no delay
	DecodeTokensPerSecond  float64       // output tokens per second and sequence; 0 for no delay
	CapacityBytes          int64         // accelerator memory in bytes
	LoadBytesPerSecond     float64       // bytes per second of a load; 0 for no delay
	RefuseOldFences        bool          // refuse orders with an old fencing number
	Overcommit             bool          // execute loads beyond CapacityBytes, so that tests detect overcommitting senders
	BootID                 string        // boot id; empty: random
	CacheSize              int           // prompt prefixes in the cache
	CacheDelay             time.Duration // age at which a cache event is published
	CacheGap               int           // every CacheGap-th cache event is never published; 0 for none
	LoadLag                time.Duration // age of the reported load
	PingInterval           time.Duration // interval of comments on idle streams; default 500 ms
	Resident               []engine.Resident
	DefaultMaxTokens       int  // output tokens if the request sets no maximum; default 16
	AnyResident            bool // accept requests for every model and adapter as if it were loaded
}

// Faults are the faults to inject. A counter is the number of requests or orders that the fault will hit; each hit
// decrements it.
type Faults struct {
	LoseOrders    int           `json:"lose_orders"`     // orders that are dropped without an answer
	DelayOrders   time.Duration `json:"delay_orders"`    // nanoseconds before an order is executed
	LoseOrderAcks int           `json:"lose_order_acks"` // orders that are executed and not answered
	LoseRequests  int           `json:"lose_requests"`   // requests closed without run and answer
	LoseAnswers   int           `json:"lose_answers"`    // requests that run and are not answered
	CrossAnswers  int           `json:"cross_answers"`   // answers that carry another request's id and text
	Errors        int           `json:"errors"`          // requests answered with 500
	DieAfter      int           `json:"die_after"`       // streams whose connection closes ...
	DieAtEvent    int64         `json:"die_at_event"`    // ... after this event
	SilentStreams int           `json:"silent_streams"`  // streams that stall after DieAtEvent
	SilentCalls   int           `json:"silent_calls"`    // requests that run and whose connection stays open unanswered
	NoResume      bool          `json:"no_resume"`       // resumptions are refused
	Draining      bool          `json:"draining"`        // requests are refused as draining
}

// maxRuns bounds the number of runs that the engine remembers.
const maxRuns = 100_000

// Engine is the stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	http   *fasthttp.Server
	closed chan struct{}

	mu             sync.Mutex
	faults         Faults              // guarded by mu, like all below
	runs           map[string]*run     // by request id
	order          []string            // ids, oldest first
	running        int                 // sequences in the batch
	queue          runQueue            // waiting sequences
	fenceEpoch     int64               // highest epoch of an order
	fenceSeq       int64               // highest sequence number of an order in fenceEpoch
	residents      map[string]resident // by kind, slash, name
	executedOrders []string            // ids of executed orders, oldest first
	peakBytes      int64               // maximum memory in use so far, loads in progress included
	cache          prefixCache
	loadLog        []loadSample
}

type resident struct {
	engine.Resident
	loading bool
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

// New returns an engine that serves once Serve is called.
func New(cfg Config) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.PingInterval == 0 {
		cfg.PingInterval = 500 * time.Millisecond
	}
	if cfg.BootID == "" {
		cfg.BootID = uuid.NewString()
	}
	if cfg.DefaultMaxTokens == 0 {
		cfg.DefaultMaxTokens = 16
	}
	e := &Engine{cfg: cfg, closed: make(chan struct{}), runs: map[string]*run{}, residents: map[string]resident{}}
	for _, r := range cfg.Resident {
		e.residents[r.Kind+"/"+r.Name] = resident{Resident: r}
	}
	e.cache.size, e.cache.gap = cfg.CacheSize, cfg.CacheGap
	e.http = &fasthttp.Server{
		Handler: e.handle, Name: "standin-engine", CloseOnShutdown: true, MaxRequestBodySize: 64 << 20,
		Logger: discardLogger{},
	}
	return e
}

// Serve accepts connections until Close.
func (e *Engine) Serve(ln net.Listener) error { return e.http.Serve(ln) }

// Close ends the connections that faults keep open, and stops serving once open requests have ended or ctx is done.
func (e *Engine) Close(ctx context.Context) error {
	close(e.closed)
	return e.http.ShutdownWithContext(ctx)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// consumeFault reports whether the counter that field selects is above zero, and decrements it.
func (e *Engine) consumeFault(field func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := field(&e.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// RunLog is one entry of the log of runs.
type RunLog struct {
	ID        string `json:"id"`
	Starts    int    `json:"runs"` // times the engine started the request
	Events    int    `json:"events"`
	Cancelled bool   `json:"cancelled"`
	Done      bool   `json:"done"`
}

// Runs returns the log of all requests whose id starts with prefix.
func (e *Engine) Runs(prefix string) []RunLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []RunLog
	for _, id := range e.order {
		if r := e.runs[id]; r != nil && strings.HasPrefix(id, prefix) {
			out = append(out, RunLog{r.id, r.starts, len(r.events), r.cancelled, r.done})
		}
	}
	return out
}

// loadLocked records the current load and returns the load as of LoadLag ago.
func (e *Engine) loadLocked() engine.Load {
	now := time.Now()
	current := engine.Load{Running: e.running, Queued: len(e.queue), Slots: e.cfg.Slots}
	for _, r := range e.queue {
		current.QueuedPromptTokens += r.prompt.EstimatedTokens
	}
	if e.cfg.LoadLag == 0 {
		return current
	}
	e.loadLog = append(e.loadLog, loadSample{now, current})
	reported := engine.Load{Slots: e.cfg.Slots}
	newest := 0
	for i, s := range e.loadLog {
		if now.Sub(s.at) >= e.cfg.LoadLag {
			reported, newest = s.load, i
		}
	}
	e.loadLog = e.loadLog[newest:]
	return reported
}

// residentLocked reports whether a request for model and adapter can run.
func (e *Engine) residentLocked(model, adapter string) bool {
	if e.cfg.AnyResident {
		return true
	}
	m, ok := e.residents["model/"+model]
	if !ok || m.loading {
		return false
	}
	if adapter == "" {
		return true
	}
	a, ok := e.residents["adapter/"+adapter]
	return ok && !a.loading
}

// runQueue orders waiting runs by priority, then arrival.
type runQueue []*run

func (q runQueue) Len() int { return len(q) }
func (q runQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q runQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *runQueue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	return r
}

var _ heap.Interface = (*runQueue)(nil)

// applyOrderLocked checks an order and applies it to the fencing numbers and the residents.
func (e *Engine) applyOrderLocked(o engine.Order) error {
	if o.Boot != "" && o.Boot != e.cfg.BootID {
		return fmt.Errorf("%w: meant for another boot of the engine", engine.ErrOrderRefused)
	}
	if e.cfg.RefuseOldFences {
		if o.Epoch < e.fenceEpoch || o.Epoch == e.fenceEpoch && o.Seq <= e.fenceSeq && o.Kind != engine.OrderFence {
			return fmt.Errorf("%w: epoch %d sequence %d is not above %d, %d",
				engine.ErrFenced, o.Epoch, o.Seq, e.fenceEpoch, e.fenceSeq)
		}
		if o.Epoch > e.fenceEpoch {
			e.fenceSeq = 0
		}
		e.fenceEpoch, e.fenceSeq = o.Epoch, max(e.fenceSeq, o.Seq)
	}
	kind := "model"
	if o.Kind == engine.OrderLoadAdapter || o.Kind == engine.OrderUnloadAdapter {
		kind = "adapter"
	}
	key := kind + "/" + o.Name
	switch o.Kind {
	case engine.OrderFence:
	case engine.OrderLoadModel, engine.OrderLoadAdapter:
		if _, ok := e.residents[key]; ok {
			break
		}
		if kind == "adapter" && o.Model != "" {
			if _, ok := e.residents["model/"+o.Model]; !ok {
				return fmt.Errorf("%w: base model %s is not loaded", engine.ErrOrderRefused, o.Model)
			}
		}
		if used := e.usedBytesLocked(); used+o.Bytes > e.cfg.CapacityBytes && !e.cfg.Overcommit {
			return fmt.Errorf("%w: %d bytes in use, %d bytes more requested, capacity %d",
				engine.ErrOrderRefused, used, o.Bytes, e.cfg.CapacityBytes)
		}
		e.residents[key] = resident{engine.Resident{Kind: kind, Name: o.Name, Bytes: o.Bytes}, e.cfg.LoadBytesPerSecond > 0}
		e.peakBytes = max(e.peakBytes, e.usedBytesLocked())
	case engine.OrderUnloadModel, engine.OrderUnloadAdapter:
		delete(e.residents, key)
	default:
		return fmt.Errorf("%w: unknown kind %q", engine.ErrOrderRefused, o.Kind)
	}
	return nil
}

func (e *Engine) usedBytesLocked() (used int64) {
	for _, r := range e.residents {
		used += r.Bytes
	}
	return used
}

// Memory describes the use of the accelerator memory in bytes.
type Memory struct {
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"held"` // loads in progress included
	Peak     int64 `json:"peak"` // largest Used so far
}

// Memory returns the use of the accelerator memory.
func (e *Engine) Memory() Memory {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Memory{Capacity: e.cfg.CapacityBytes, Used: e.usedBytesLocked(), Peak: e.peakBytes}
}

// Report returns the engine's state as the engine protocol reports it.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := engine.Report{
		Boot: e.cfg.BootID, Capacity: e.cfg.CapacityBytes,
		ChecksFence: e.cfg.RefuseOldFences, Epoch: e.fenceEpoch, Seq: e.fenceSeq,
		ExecutedOrders: append([]string(nil), e.executedOrders...), Load: e.loadLocked(),
		PrefillRate: e.cfg.PrefillTokensPerSecond, DecodeRate: e.cfg.DecodeTokensPerSecond * float64(e.cfg.Slots),
	}
	for _, res := range e.residents {
		res.Loading = res.loading
		r.Residents = append(r.Residents, res.Resident)
	}
	return r
}

// Execute executes an order and returns once it has taken effect. An order whose id was executed before has no effect.
func (e *Engine) Execute(o engine.Order) error {
	e.mu.Lock()
	if slices.Contains(e.executedOrders, o.ID) {
		e.mu.Unlock()
		return nil // executed before
	}
	err := e.applyOrderLocked(o)
	e.mu.Unlock()
	if err != nil {
		return err
	}
	if e.cfg.LoadBytesPerSecond > 0 && (o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter) {
		time.Sleep(time.Duration(float64(o.Bytes) / e.cfg.LoadBytesPerSecond * float64(time.Second)))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, r := range e.residents {
		if r.Name == o.Name {
			r.loading = false
			e.residents[key] = r
		}
	}
	if e.executedOrders = append(e.executedOrders, o.ID); len(e.executedOrders) > maxReportedOrders {
		e.executedOrders = e.executedOrders[1:]
	}
	return nil
}

// maxReportedOrders bounds the ids of executed orders in a report.
const maxReportedOrders = 64

// discardLogger discards fasthttp's messages, which injected faults would cause.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
