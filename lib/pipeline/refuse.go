package pipeline

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/refusal"
)

type refusalBody struct {
	Error refusalFields `json:"error"`
}

type refusalFields struct {
	Reason    refusal.Reason   `json:"reason"`
	Run       refusal.RunState `json:"run"`
	Message   string           `json:"message"`
	Remedy    string           `json:"remedy"`
	RequestID string           `json:"request_id"`
}

// EncodeRefusal returns the JSON form of a refusal.
func EncodeRefusal(r *refusal.Error, requestID string) []byte {
	body, err := json.Marshal(refusalBody{refusalFields{r.Reason, r.Run, r.Message, r.Remedy, requestID}})
	if err != nil { // strings only: cannot fail
		return nil
	}
	return body
}

// WriteRefusal replaces the response by the refusal.
func WriteRefusal(ctx *fasthttp.RequestCtx, r *refusal.Error, requestID string) {
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(r.Status)
	ctx.Response.Header.SetContentType("application/json")
	if requestID != "" {
		ctx.Response.Header.Set(RequestIDHeader, requestID)
	}
	if r.RetryAfter > 0 {
		// Retry-After has whole seconds; rounding up avoids a retry that is refused again.
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.Response.SetBodyRaw(EncodeRefusal(r, requestID))
}

// writeFineRetryAfter states the time with its fraction, which whole seconds would round up.
func writeFineRetryAfter(ctx *fasthttp.RequestCtx, r *refusal.Error) {
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// RequestIDHeader carries the request id in requests and responses.
const RequestIDHeader = "X-Request-Id"
