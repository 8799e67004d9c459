// Package passage describes requests that pass through unchanged: what a front door reads from a request, what it tells
// the target, and what it reads from the answer. A front door speaks one wire protocol and decides nothing.
package passage

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoID means that a request does not state its id, without which answers cannot be told apart.
var ErrNoID = errors.New("passage: the request has no id")

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Call is what a request states about itself.
type Call struct {
	ID           string
	Key          string // empty if none
	Model        string // empty for plain services
	Adapter      string // empty if none
	HasTokens    bool   // the caller stated token counts
	PromptTokens int64
	MaxOutput    int64         // tokens
	OutputHint   int64         // the caller's estimate of the output tokens; zero if none
	Prefix       []Part        // of the prompt, in order
	Wait         time.Duration // how long the caller waits; zero if not stated
	LastEvent    string        // id after which a stream goes on; empty for a new one
}

// Tokens is the prompt and the largest output.
func (c *Call) Tokens() int64 { return c.PromptTokens + c.MaxOutput }

// Attempt is what a target is told about one attempt.
type Attempt struct {
	Instance     string        // id of the target that is meant
	Left         time.Duration // how long the answer is of use
	Organisation string        // empty on public routes without a key
	Priority     int           // 0 to 9, 0 first; negative: the target's default
	LastEvent    string        // id after which a stream goes on; empty: as the caller stated it
}

// Answer is what an answer states about itself.
type Answer struct {
	ID       string // of the request that is answered; empty if not stated
	NotRun   bool   // the target states that it did not run the request
	Stamped  bool   // the target worked on the request
	Instance string // id of the target, where it states it
}

// Door is one wire protocol of requests that pass through.
type Door interface {
	// ReadCall reads what a request states. Errors: ErrNoID.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// AppendHead appends the request line and header for a target, without the fields that frame the body.
	AppendHead(dst []byte, h *fasthttp.RequestHeader, a Attempt) []byte
	// ReadAnswer reads what an answer states.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
}
