package pipeline

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/refusal"
)

// refusalBody is the JSON body of a refusal.
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

// EncodeRefusal returns the JSON body of a refusal.
func EncodeRefusal(r *refusal.Error, requestID string) []byte {
	body, err := json.Marshal(refusalBody{refusalFields{r.Reason, r.Run, r.Message, r.Remedy, requestID}})
	if err != nil { // cannot happen: all fields are strings
		return nil
	}
	return body
}

// WriteRefusal replaces the response with the refusal.
func WriteRefusal(ctx *fasthttp.RequestCtx, r *refusal.Error, requestID string) {
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(r.Status)
	ctx.Response.Header.SetContentType("application/json")
	if requestID != "" {
		ctx.Response.Header.Set(RequestIDHeader, requestID)
	}
	if r.RetryAfter > 0 {
		// Retry-After is in whole seconds; rounding down could make the caller retry too early and be refused again.
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.Response.SetBodyRaw(EncodeRefusal(r, requestID))
}

// DecodeRefusal returns the refusal that a response of another host carries, or false if it carries none.
func DecodeRefusal(h *fasthttp.ResponseHeader, body []byte) (*refusal.Error, bool) {
	var b refusalBody
	if json.Unmarshal(body, &b) != nil || b.Error.Reason == "" {
		return nil, false
	}
	seconds, _ := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64) // none: zero
	return &refusal.Error{
		Reason: b.Error.Reason, Run: b.Error.Run, Status: h.StatusCode(), Message: b.Error.Message, Remedy: b.Error.Remedy,
		RetryAfter: time.Duration(seconds * float64(time.Second)),
	}, true
}

// hopByHopFields are the header fields that apply to a single connection; they are not passed on.
var hopByHopFields = map[string]bool{
	fasthttp.HeaderConnection: true, "Keep-Alive": true, fasthttp.HeaderTransferEncoding: true, fasthttp.HeaderTrailer: true,
	fasthttp.HeaderUpgrade: true, "Proxy-Connection": true, fasthttp.HeaderContentLength: true, fasthttp.HeaderProxyAuthenticate: true,
}

// IsHopByHop reports whether a header field, in canonical form, applies to a single connection.
func IsHopByHop(name string) bool { return hopByHopFields[name] }

// writeFineRetryAfter replaces the Retry-After of WriteRefusal, which is rounded up to whole seconds, by one with three
// decimals.
func writeFineRetryAfter(ctx *fasthttp.RequestCtx, r *refusal.Error) {
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// RequestIDHeader carries the request id in requests and responses.
const RequestIDHeader = "X-Request-Id"
