// Package pipeline is the HTTP server in front of the filters. It defines the Exchange that passes through them and the
// Handler interface that every filter implements.
package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Handler serves one exchange. It returns a *refusal.Error to refuse it; the server writes the refusal.
type Handler interface {
	Serve(ctx context.Context, ex *Exchange) error
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, ex *Exchange) error

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, ex *Exchange) error { return f(ctx, ex) }

// Kind tells what kind of request an exchange carries.
type Kind uint8

// Kinds of exchange.
const (
	KindNone        Kind = iota
	KindModel            // POST /v1/chat/completions or /v1/completions
	KindModels           // GET /v1/models
	KindService          // a configured route to a plain service
	KindPassthrough      // request that passes through unchanged
)

// Exchange is one request in flight and what the filters know of it. Each group of fields is headed by the package of the
// filter that writes them; for requests that pass through unchanged, classify and orgrate write fields of other groups
// too. Filters that follow may read the fields.
type Exchange struct {
	HTTP  *fasthttp.RequestCtx
	Start time.Time

	// requestid
	ID string

	// requestparse
	Kind           Kind
	Model          string // model or adapter name as the caller wrote it
	Stream         bool
	MaxOutput      int64  // tokens; zero if the caller states none
	PromptTokens   int64  // estimate
	PrefixHash     uint64 // hash of the leading part of the prompt, zero if none
	IdempotencyKey string
	TimeoutHeader  time.Duration // deadline asked for by the caller, zero if none
	// Fields holds the members of the JSON body of a model request.
	Fields map[string]json.RawMessage

	// auth
	Organisation string   // empty on open routes
	KeyHash      [32]byte // SHA-256 of the caller's key

	// routing
	Route      string // route name for KindService
	Service    string // service name for KindService
	BaseModel  string // model to run
	Adapter    string // empty if none
	Idempotent bool
	Deadline   time.Time // first token of a model request, whole answer of a service call
	AnswerBy   time.Time // latest end of a whole answer or first event of a stream; not before Deadline
	Charge     int64     // tokens charged at admission: prompt plus maximum output

	// classify: requests that pass through unchanged
	Call     *passthrough.Call
	Matched  *catalog.Route
	Customer *catalog.Organisation // nil if the request was admitted without a known key

	// admission
	Priority int // lower runs earlier at the engine

	// passon
	Passed   bool            // another host has passed the request on to this one
	Counted  bool            // that host has counted it for the budget of retries
	OnHeader func(err error) // called before the header of the answer is written, with the refusal if it is one; nil: none

	finish   []func(Outcome)
	detached bool
	finished bool
}

// Outcome describes how an exchange ended.
type Outcome struct {
	Status       int
	Reason       refusal.Reason   // empty if answered
	Run          refusal.RunState // empty if answered
	Complete     bool             // the caller got the whole answer
	Ran          bool             // a target ran the request, or may have
	PromptTokens int64            // as reported by the target; -1 if unknown
	OutputTokens int64            // -1 if unknown
	FirstToken   time.Duration    // since Exchange.Start; zero if unknown, as for whole answers
	Body         []byte           // complete body, for idempotency records; nil for streams
}

// OnFinish registers fn to run once when the exchange ends. The functions run in reverse order.
func (ex *Exchange) OnFinish(fn func(Outcome)) { ex.finish = append(ex.finish, fn) }

// Detach tells the server that the answer is still being written when Serve returns; its writer must call Finish.
func (ex *Exchange) Detach() { ex.detached = true }

// Detached reports whether Detach was called.
func (ex *Exchange) Detached() bool { return ex.detached }

// Finish runs the functions registered by OnFinish. Only the first call has an effect.
func (ex *Exchange) Finish(out Outcome) {
	if ex.finished {
		return
	}
	ex.finished = true
	for i := len(ex.finish) - 1; i >= 0; i-- {
		ex.finish[i](out)
	}
}
