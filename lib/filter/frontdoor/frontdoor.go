// Package frontdoor is the filter that classifies requests that pass through unchanged: what they ask for, the route
// that they take, and the organisation that holds their key.
package frontdoor

import (
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passage"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// startingRetry is stated while the host has no configuration; it usually arrives within a second of the start.
const startingRetry = 500 * time.Millisecond

// Config are the settings of the filter.
type Config struct {
	Door    passage.Door
	Catalog func() *catalog.Catalog // the configuration in force, or nil
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
	call, err := f.cfg.Door.ReadCall(h)
	ex.ID, ex.Kind = call.ID, pipeline.KindPassage
	if err != nil {
		return refuse(refusal.BadRequest, fasthttp.StatusBadRequest, "the request has no id", "state one")
	}
	c := f.cfg.Catalog()
	if c == nil {
		r := refuse(refusal.Starting, fasthttp.StatusServiceUnavailable, "the host has no configuration yet", "send it again after the time stated")
		r.RetryAfter = startingRetry
		return r
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	route := c.Match(string(h.Host()), string(path))
	if route == nil {
		return refuse(refusal.NotFound, fasthttp.StatusNotFound, "no route matches host and path", "use a configured route")
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
	ex.AnswerBy = ex.Start.Add(lifetime(route, &call))
	return f.next.Serve(ctx, ex)
}

// lifetime is the time after which an answer is of no use.
func lifetime(route *catalog.Route, call *passage.Call) time.Duration {
	if call.Wait > 0 && (route.Timeout <= 0 || call.Wait < route.Timeout) {
		return call.Wait
	}
	return route.Timeout
}

// identify finds the organisation that holds the key.
func (f *filter) identify(ex *pipeline.Exchange, c *catalog.Catalog, route *catalog.Route, call *passage.Call) error {
	if !c.RequiresKeys() {
		return nil
	}
	o := c.Organisation(call.Key)
	if o == nil && !route.Public {
		if call.Key == "" {
			return refuse(refusal.KeyMissing, fasthttp.StatusUnauthorized, "the request has no key", "send the organisation's key")
		}
		return refuse(refusal.KeyUnknown, fasthttp.StatusUnauthorized, "the key is not known", "use a key of the organisation that is in force")
	}
	if o != nil {
		ex.Customer, ex.Organisation = o, o.Name
	}
	return nil
}

func refuse(reason refusal.Reason, status int, message, remedy string) *refusal.Error {
	return &refusal.Error{Reason: reason, Run: refusal.NotRun, Status: status, Message: message, Remedy: remedy}
}
