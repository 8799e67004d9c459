// Package passthrough describes requests that pass through unchanged: what a request protocol reads from a request, what it
// sends to the target, and what it reads from the answer. A request protocol only parses and formats headers; it makes no
// routing decisions.
package passthrough

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoID means that a request does not state its id, without which its answer could not be matched to it.
var ErrNoID = errors.New("passthrough: the request states no id")

// Segment is a segment of a prompt that several requests may share.
type Segment struct {
	ID     string
	Tokens int64
}

// Call holds the properties of a request that the caller states.
type Call struct {
	ID           string
	Key          string // API key of the caller; empty if none
	Model        string // empty for plain services
	Adapter      string // empty if none
	HasTokens    bool   // the caller states token counts
	PromptTokens int64
	MaxOutput    int64         // tokens
	OutputHint   int64         // the caller's estimate of the output tokens; zero if none
	Prefix       []Segment     // segments of the prompt, in order
	Wait         time.Duration // how long the caller waits; zero if not stated
	LastEvent    string        // id of the event after which a stream resumes; empty for a new stream
	Resumes      string        // id of the request that brought the first event of that stream; empty: not stated
}

// Tokens returns the tokens of the prompt and of the largest output together.
func (c *Call) Tokens() int64 { return c.PromptTokens + c.MaxOutput }

// SharedSegments returns the ids of the prompt's segments that other requests may share; the last one belongs to the request
// or its session.
func (c *Call) SharedSegments() []string {
	var ids []string
	for i := range len(c.Prefix) - 1 {
		ids = append(ids, c.Prefix[i].ID)
	}
	return ids
}

// Attempt holds what the target receives about one attempt to run a request.
type Attempt struct {
	Instance     string        // id of the target that must run the request
	TimeLeft     time.Duration // time until the deadline of the answer
	Organisation string        // empty on public routes without a key
	Priority     int           // 0 to 9, 0 is the most urgent; negative: the target's default
	LastEvent    string        // id of the event after which a stream resumes; empty: as the caller stated it
}

// Answer holds what the header of an answer states.
type Answer struct {
	ID        string // id of the answered request; empty if not stated
	NotRun    bool   // the target did not run the request
	Processed bool   // the target has processed the request; an answer that states neither this nor NotRun is none
	Instance  string // id of the target that answered; empty if not stated
	// RateLimit is the number of requests a second that the target takes from all hosts together; zero: not limited. It is
	// negative if what is stated cannot be read.
	RateLimit float64
	Leaving   bool // the target that answered is leaving
	Brittle   bool // the targets of its service fall over when they have to turn many requests away
	// Pause is how long the target wants no request from this host; zero: not stated. It is negative if what is stated cannot be
	// read.
	Pause time.Duration
	Cold  time.Duration // how much longer the target is cold; zero: not stated, or not cold
}

// Protocol is a request protocol: the headers of one kind of request that passes through.
type Protocol interface {
	// ReadCall reads the properties of a request. Errors: ErrNoID.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// AppendHead appends the request line and header for a target to dst, without the fields that frame the body.
	AppendHead(dst []byte, h *fasthttp.RequestHeader, a Attempt) []byte
	// ReadAnswer reads what the header of an answer states.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
}

// HostProtocol is a request protocol whose requests hosts pass on to each other.
type HostProtocol interface {
	Protocol
	// AppendPassed appends the request line and header for another host to dst, as the caller sent them but for the time that is left, without
	// the fields that frame the body.
	AppendPassed(dst []byte, h *fasthttp.RequestHeader, timeLeft time.Duration) []byte
}
