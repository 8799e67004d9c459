// Package classify is the filter that classifies requests that pass through unchanged: it reads the call from the
// request header, matches the route, and finds the organisation by its key.
package classify

import (
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// startingRetryAfter is the Retry-After while the host has no configuration, which usually arrives within a second of
// the start.
const startingRetryAfter = 500 * time.Millisecond

// Config are the settings of the filter.
type Config struct {
	Protocol passthrough.Protocol
	Catalog  func() *catalog.Catalog // returns the current configuration, or nil if there is none yet
}

type filter struct {
	next pipeline.Handler
	cfg  Config
}

// New returns the filter.
func New(next pipeline.Handler, cfg Config) pipeline.Handler { return &filter{next, cfg} }

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	h := &ex.HTTP.Request.Header
	call, err := f.cfg.Protocol.ReadCall(h)
	ex.ID, ex.Kind = call.ID, pipeline.KindPassthrough
	if err != nil {
		return newRefusal(refusal.BadRequest, fasthttp.StatusBadRequest, "the request has no id", "state one")
	}
	c := f.cfg.Catalog()
	if c == nil {
		r := newRefusal(refusal.Starting, fasthttp.StatusServiceUnavailable, "the host has no configuration yet", "send it again after the time stated")
		r.RetryAfter = startingRetryAfter
		return r
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	route := c.Match(string(h.Host()), string(path))
	if route == nil {
		return newRefusal(refusal.NotFound, fasthttp.StatusNotFound, "no route matches host and path", "use a configured route")
	}
	if err := f.identify(ex, c, route, &call); err != nil {
		return err
	}
	ex.Call, ex.Matched, ex.Route = &call, route, route.Name
	ex.BaseModel, ex.Adapter = call.Model, call.Adapter
	ex.PromptTokens, ex.MaxOutput = call.PromptTokens, call.MaxOutput
	ex.Stream, ex.Idempotent = route.Kind == catalog.Stream, route.Repeatable()
	ex.Priority = route.Priority
	if ex.Customer != nil && ex.Customer.HasPriority {
		ex.Priority = ex.Customer.Priority
	}
	ex.Deadline = ex.Start.Add(route.Objective)
	ex.AnswerBy = ex.Start.Add(answerTimeout(route, &call))
	return f.next.Serve(ctx, ex)
}

// answerTimeout returns the time after which an answer is of no use: the shorter of the caller's and the route's timeout.
func answerTimeout(route *catalog.Route, call *passthrough.Call) time.Duration {
	if call.Wait > 0 && (route.Timeout <= 0 || call.Wait < route.Timeout) {
		return call.Wait
	}
	return route.Timeout
}

// identify sets the exchange's organisation by the call's key. It refuses calls without a known key unless the route is
// public or the configuration requires no keys.
func (f *filter) identify(ex *pipeline.Exchange, c *catalog.Catalog, route *catalog.Route, call *passthrough.Call) error {
	if !c.RequiresKeys() {
		return nil
	}
	o := c.Organisation(call.Key)
	if o == nil && !route.Public {
		if call.Key == "" {
			return newRefusal(refusal.KeyMissing, fasthttp.StatusUnauthorized, "the request has no key", "send the organisation's key")
		}
		return newRefusal(refusal.KeyUnknown, fasthttp.StatusUnauthorized, "the key is not known", "use a key of the organisation that is in force")
	}
	if o != nil {
		ex.Customer, ex.Organisation = o, o.Name
	}
	return nil
}

// newRefusal returns a refusal of a request that has not run.
func newRefusal(reason refusal.Reason, status int, message, remedy string) *refusal.Error {
	return &refusal.Error{Reason: reason, Run: refusal.NotRun, Status: status, Message: message, Remedy: remedy}
}
