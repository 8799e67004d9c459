// Package inlet is the filter that reads a request into the exchange. It is strict: what the gateway
// cannot interpret for certain is refused with a remedy, because quota and retries depend on it.
package inlet

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
	HeaderTimeout        = "X-Request-Timeout-Ms" // latest first token of a stream, latest end of a whole answer
)

const (
	maxIdempotencyKey = 255                  // bytes
	maxTimeout        = time.Hour            // of HeaderTimeout
	maxOutputTokens   = int64(math.MaxInt32) // bound of max_tokens that no model reaches
	maxModelName      = 256                  // bytes
)

// methods that may reach services. Other methods are refused, since a method is free text of the caller.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

// Config are the settings of the filter.
type Config struct{}

type filter struct{ next pipeline.Handler }

// New returns the filter.
func New(next pipeline.Handler, _ Config) pipeline.Handler { return &filter{next} }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if err := Read(ex); err != nil {
		return err
	}
	return f.next.Serve(ctx, ex)
}

func bad(remedy, format string, args ...any) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.BadRequest, Run: refusal.NotRun, Status: fasthttp.StatusBadRequest,
		Message: fmt.Sprintf(format, args...), Remedy: remedy,
	}
}

// Read fills the exchange's fields from its request.
func Read(ex *pipeline.Exchange) error {
	req := &ex.HTTP.Request
	method := string(req.Header.Method())
	if !methods[method] {
		return bad("use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", "the method is not supported")
	}
	if enc := req.Header.ContentEncoding(); len(enc) > 0 && string(enc) != "identity" {
		return bad("send the body without Content-Encoding", "encoded bodies are not accepted")
	}
	if err := readHeaders(ex); err != nil {
		return err
	}
	switch path := string(ex.HTTP.Path()); path {
	case PathChat, PathCompletions:
		if method != fasthttp.MethodPost {
			return wrongMethod(path, fasthttp.MethodPost)
		}
		ex.Kind = pipeline.KindModel
		return readModel(ex, path)
	case PathModels:
		if method != fasthttp.MethodGet {
			return wrongMethod(path, fasthttp.MethodGet)
		}
		ex.Kind = pipeline.KindModels
	default:
		ex.Kind = pipeline.KindService
	}
	return nil
}

func wrongMethod(path, method string) *refusal.Error {
	r := bad("use "+method, "%s does not accept this method", path)
	r.Status = fasthttp.StatusMethodNotAllowed
	return r
}

func readHeaders(ex *pipeline.Exchange) error {
	h := &ex.HTTP.Request.Header
	if keys := h.PeekAll(HeaderIdempotencyKey); len(keys) > 0 {
		key := keys[0]
		if len(keys) > 1 || len(key) == 0 || len(key) > maxIdempotencyKey || !printable(key) {
			return bad(
				"send one Idempotency-Key of 1 to 255 printable ASCII characters without spaces", "invalid Idempotency-Key",
			)
		}
		ex.IdempotencyKey = string(key)
	}
	if raw := h.Peek(HeaderTimeout); len(raw) > 0 {
		ms, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
			return bad("send whole milliseconds from 1 to 3600000", "invalid %s", HeaderTimeout)
		}
		ex.TimeoutHeader = time.Duration(ms) * time.Millisecond
	}
	return nil
}

func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func readModel(ex *pipeline.Exchange, path string) error {
	body := ex.HTTP.PostBody()
	fields, err := parseObject(body)
	if err != nil {
		return err
	}
	ex.Fields = fields
	if ex.Model, err = text(fields, "model"); err != nil {
		return err
	}
	if ex.Model == "" || len(ex.Model) > maxModelName {
		return bad("name a model or adapter that GET /v1/models lists", "model is missing or too long")
	}
	if ex.Stream, err = boolean(fields, "stream"); err != nil {
		return err
	}
	if err := readLimits(ex); err != nil {
		return err
	}
	var p prompt.Prompt
	var perr error
	if path == PathChat {
		p, perr = prompt.Chat(fields["messages"])
	} else {
		p, perr = prompt.Completion(fields["prompt"])
	}
	if perr != nil {
		return bad(perr.Error(), "the prompt cannot be read")
	}
	ex.PromptTokens, ex.PrefixHash = p.Tokens, p.Prefix
	return nil
}

// parseObject returns the members of a JSON object. Repeated names are refused: gateway and engine could
// take different ones.
func parseObject(body []byte) (map[string]json.RawMessage, error) {
	const remedy = "send one JSON object"
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return nil, bad(remedy, "the body is not a JSON object")
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		tok, err := dec.Token()
		name, ok := tok.(string)
		if err != nil || !ok {
			return nil, bad(remedy, "the body is not valid JSON at byte %d", dec.InputOffset())
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, bad(remedy, "the body is not valid JSON at byte %d", dec.InputOffset())
		}
		if _, twice := fields[name]; twice {
			return nil, bad("send each member once", "the body repeats a member")
		}
		fields[name] = value
	}
	if _, err := dec.Token(); err != nil {
		return nil, bad(remedy, "the body is not valid JSON at byte %d", dec.InputOffset())
	}
	if rest := bytes.TrimSpace(body[dec.InputOffset():]); len(rest) > 0 {
		return nil, bad(remedy, "the body goes on after the JSON object")
	}
	return fields, nil
}

func text(fields map[string]json.RawMessage, name string) (string, error) {
	var s string
	if raw, ok := fields[name]; ok && json.Unmarshal(raw, &s) != nil {
		return "", bad("send "+name+" as a text", "%s is not a text", name)
	}
	return s, nil
}

func boolean(fields map[string]json.RawMessage, name string) (bool, error) {
	var b bool
	if raw, ok := fields[name]; ok && json.Unmarshal(raw, &b) != nil {
		return false, bad("send "+name+" as true or false", "%s is not a truth value", name)
	}
	return b, nil
}

// number returns zero if the member is absent or null.
func number(fields map[string]json.RawMessage, name string) (int64, error) {
	var n *int64
	raw, ok := fields[name]
	if !ok {
		return 0, nil
	}
	if json.Unmarshal(raw, &n) != nil || n != nil && (*n < 1 || *n > maxOutputTokens) {
		return 0, bad("send "+name+" as a whole number of at least 1", "%s is not a positive whole number", name)
	}
	if n == nil {
		return 0, nil
	}
	return *n, nil
}

// readLimits reads the output limit. Several answers in one request would multiply the charged output.
func readLimits(ex *pipeline.Exchange) error {
	old, err := number(ex.Fields, "max_tokens")
	if err != nil {
		return err
	}
	ex.MaxOutput, err = number(ex.Fields, "max_completion_tokens")
	if err != nil {
		return err
	}
	if old != 0 && ex.MaxOutput != 0 && old != ex.MaxOutput {
		return bad("send only one of them", "max_tokens and max_completion_tokens differ")
	}
	ex.MaxOutput = max(old, ex.MaxOutput)
	for _, name := range []string{"n", "best_of"} {
		n, err := number(ex.Fields, name)
		if err != nil {
			return err
		}
		if n > 1 {
			return bad("send one request for each answer", "%s above 1 is not supported", name)
		}
	}
	return nil
}
