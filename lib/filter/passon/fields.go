package passon

import (
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/passthrough"
)

// Header fields between hosts. Neither callers nor targets get them.
const (
	fieldKey     = "X-Cuminhook-Pass"         // request: the key of the host that gets it
	fieldID      = "X-Cuminhook-Pass-Id"      // request and answer: identifies this passage
	fieldCounted = "X-Cuminhook-Pass-Counted" // request: the sender has counted it for the budget of retries
	fieldResult  = "X-Cuminhook-Pass-Result"  // answer
)

// Results of a request that was passed on.
const (
	resultAnswered  = "answered"  // by a target, or its outcome is unknown
	resultRefused   = "refused"   // certainly not run; other hosts would refuse it too
	resultElsewhere = "elsewhere" // certainly not run; another host may take it
)

// answers reads the answers of hosts as package forward needs it.
type answers struct{ passthrough.Protocol }

// ReadAnswer implements passthrough.Protocol.
func (answers) ReadAnswer(h *fasthttp.ResponseHeader) passthrough.Answer {
	result := string(h.Peek(fieldResult))
	return passthrough.Answer{
		ID: string(h.Peek(fieldID)), NotRun: result == resultElsewhere, Processed: result == resultAnswered || result == resultRefused,
	}
}

// dropFields removes what only hosts may send each other.
func dropFields(h *fasthttp.RequestHeader) {
	for _, name := range []string{fieldKey, fieldID, fieldCounted} {
		h.Del(name)
	}
}
