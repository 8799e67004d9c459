// Package requestparse is the filter that parses the HTTP request of a caller into the fields of the exchange. It refuses
// every request that it cannot interpret unambiguously, because quota and retries depend on the parsed fields.
package requestparse

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/prompt"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Paths of the model API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// Header fields read from callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Request-Timeout-Ms" // time to the first token of a stream, or to the end of a whole answer
)

const (
	maxIdempotencyKeyBytes = 255
	maxTimeout             = time.Hour            // largest value of HeaderTimeout
	maxOutputTokens        = int64(math.MaxInt32) // upper bound of max_tokens, above the output of any model
	maxModelNameBytes      = 256
)

// allowedMethods are the HTTP methods that requests may use. Others are refused, because a method is arbitrary text
// chosen by the caller.
var allowedMethods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

// Config holds the settings of the filter; there are none yet.
type Config struct{}

type filter struct{ next pipeline.Handler }

// New returns the filter; it passes parsed exchanges on to next.
func New(next pipeline.Handler, _ Config) pipeline.Handler { return &filter{next} }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if err := Parse(ex); err != nil {
		return err
	}
	return f.next.Serve(ctx, ex)
}

func badRequest(remedy, format string, args ...any) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.BadRequest, Run: refusal.NotRun, Status: fasthttp.StatusBadRequest,
		Message: fmt.Sprintf(format, args...), Remedy: remedy,
	}
}

// Parse parses the HTTP request of the exchange and sets the exchange's fields. It returns a *refusal.Error if the
// request is malformed, ambiguous or not supported.
func Parse(ex *pipeline.Exchange) error {
	req := &ex.HTTP.Request
	method := string(req.Header.Method())
	if !allowedMethods[method] {
		return badRequest("use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", "the method is not supported")
	}
	if enc := req.Header.ContentEncoding(); len(enc) > 0 && string(enc) != "identity" {
		return badRequest("send the body without Content-Encoding", "encoded bodies are not accepted")
	}
	if err := parseHeaders(ex); err != nil {
		return err
	}
	switch path := string(ex.HTTP.Path()); path {
	case PathChat, PathCompletions:
		if method != fasthttp.MethodPost {
			return methodNotAllowed(path, fasthttp.MethodPost)
		}
		ex.Kind = pipeline.KindModel
		return parseModelRequest(ex, path)
	case PathModels:
		if method != fasthttp.MethodGet {
			return methodNotAllowed(path, fasthttp.MethodGet)
		}
		ex.Kind = pipeline.KindModels
	default:
		ex.Kind = pipeline.KindService
	}
	return nil
}

func methodNotAllowed(path, method string) *refusal.Error {
	r := badRequest("use "+method, "%s does not accept this method", path)
	r.Status = fasthttp.StatusMethodNotAllowed
	return r
}

func parseHeaders(ex *pipeline.Exchange) error {
	h := &ex.HTTP.Request.Header
	if keys := h.PeekAll(HeaderIdempotencyKey); len(keys) > 0 {
		key := keys[0]
		if len(keys) > 1 || len(key) == 0 || len(key) > maxIdempotencyKeyBytes || !isPrintableASCII(key) {
			return badRequest(
				"send one Idempotency-Key of 1 to 255 printable ASCII characters without spaces", "invalid Idempotency-Key",
			)
		}
		ex.IdempotencyKey = string(key)
	}
	if raw := h.Peek(HeaderTimeout); len(raw) > 0 {
		ms, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
			return badRequest("send whole milliseconds from 1 to 3600000", "invalid %s", HeaderTimeout)
		}
		ex.TimeoutHeader = time.Duration(ms) * time.Millisecond
	}
	return nil
}

func isPrintableASCII(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func parseModelRequest(ex *pipeline.Exchange, path string) error {
	body := ex.HTTP.PostBody()
	fields, err := parseObject(body)
	if err != nil {
		return err
	}
	ex.Fields = fields
	if ex.Model, err = stringField(fields, "model"); err != nil {
		return err
	}
	if ex.Model == "" || len(ex.Model) > maxModelNameBytes {
		return badRequest("name a model or adapter that GET /v1/models lists", "model is missing or too long")
	}
	if ex.Stream, err = boolField(fields, "stream"); err != nil {
		return err
	}
	if err := parseLimits(ex); err != nil {
		return err
	}
	var p prompt.Prompt
	var promptErr error
	if path == PathChat {
		p, promptErr = prompt.ParseChat(fields["messages"])
	} else {
		p, promptErr = prompt.ParseCompletion(fields["prompt"])
	}
	if promptErr != nil {
		return badRequest(promptErr.Error(), "the prompt cannot be read")
	}
	ex.PromptTokens, ex.PrefixHash = p.EstimatedTokens, p.PrefixHash
	return nil
}

// parseObject returns the members of a JSON object. It refuses repeated names, because gateway and engine could
// each use a different one of the values.
func parseObject(body []byte) (map[string]json.RawMessage, error) {
	const remedy = "send one JSON object"
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return nil, badRequest(remedy, "the body is not a JSON object")
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		tok, err := dec.Token()
		name, ok := tok.(string)
		if err != nil || !ok {
			return nil, badRequest(remedy, "the body is not valid JSON at byte %d", dec.InputOffset())
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, badRequest(remedy, "the body is not valid JSON at byte %d", dec.InputOffset())
		}
		if _, repeated := fields[name]; repeated {
			return nil, badRequest("send each member once", "the body repeats a member")
		}
		fields[name] = value
	}
	if _, err := dec.Token(); err != nil {
		return nil, badRequest(remedy, "the body is not valid JSON at byte %d", dec.InputOffset())
	}
	if trailing := bytes.TrimSpace(body[dec.InputOffset():]); len(trailing) > 0 {
		return nil, badRequest(remedy, "the body goes on after the JSON object")
	}
	return fields, nil
}

func stringField(fields map[string]json.RawMessage, name string) (string, error) {
	var s string
	if raw, ok := fields[name]; ok && json.Unmarshal(raw, &s) != nil {
		return "", badRequest("send "+name+" as a text", "%s is not a text", name)
	}
	return s, nil
}

func boolField(fields map[string]json.RawMessage, name string) (bool, error) {
	var b bool
	if raw, ok := fields[name]; ok && json.Unmarshal(raw, &b) != nil {
		return false, badRequest("send "+name+" as true or false", "%s is not a truth value", name)
	}
	return b, nil
}

// positiveIntField returns an integer member from 1 to maxOutputTokens, or zero if the member is absent or null.
func positiveIntField(fields map[string]json.RawMessage, name string) (int64, error) {
	var n *int64
	raw, ok := fields[name]
	if !ok {
		return 0, nil
	}
	if json.Unmarshal(raw, &n) != nil || n != nil && (*n < 1 || *n > maxOutputTokens) {
		return 0, badRequest("send "+name+" as a whole number of at least 1", "%s is not a positive whole number", name)
	}
	if n == nil {
		return 0, nil
	}
	return *n, nil
}

// parseLimits sets the output limit in tokens from max_tokens or max_completion_tokens. It refuses requests for several
// answers, because they would produce a multiple of the output that is charged.
func parseLimits(ex *pipeline.Exchange) error {
	maxTokens, err := positiveIntField(ex.Fields, "max_tokens")
	if err != nil {
		return err
	}
	ex.MaxOutput, err = positiveIntField(ex.Fields, "max_completion_tokens")
	if err != nil {
		return err
	}
	if maxTokens != 0 && ex.MaxOutput != 0 && maxTokens != ex.MaxOutput {
		return badRequest("send only one of them", "max_tokens and max_completion_tokens differ")
	}
	ex.MaxOutput = max(maxTokens, ex.MaxOutput)
	for _, name := range []string{"n", "best_of"} {
		n, err := positiveIntField(ex.Fields, name)
		if err != nil {
			return err
		}
		if n > 1 {
			return badRequest("send one request for each answer", "%s above 1 is not supported", name)
		}
	}
	return nil
}
