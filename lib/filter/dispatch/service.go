package dispatch

import (
	"context"
	"slices"
	"sync"

	"cuminhook.org/cuminhook/lib/filter/requestparse"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/service"
)

// forwardedHeaders are the only header fields of callers that are forwarded to services, because callers put keys into
// many other fields.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since", "Range", "Traceparent",
}

// headerOrganisation names the organisation of the caller to services.
const headerOrganisation = "X-Organisation"

// roundRobin chooses service targets by round robin.
type roundRobin struct {
	ejector ejector

	mu    sync.Mutex
	picks map[string]int // by service; guarded by mu
}

// pick returns the next target of a service that is not leaving. It prefers targets that are neither ejected nor
// tried, then ejected ones, then tried ones. It returns false if there is none.
func (b *roundRobin) pick(hosts []hostlist.Host, name string, tried []string) (hostlist.Host, bool) {
	var usable, ejected, alreadyTried []hostlist.Host
	for _, h := range hosts {
		switch {
		case h.Role != hostlist.RoleService || h.Service != name || h.Leaving:
		case slices.Contains(tried, h.ID):
			alreadyTried = append(alreadyTried, h)
		case b.ejector.usable(h.ID):
			usable = append(usable, h)
		default:
			ejected = append(ejected, h)
		}
	}
	for _, list := range [][]hostlist.Host{usable, ejected, alreadyTried} {
		if len(list) > 0 {
			h := list[b.countPick(name)%len(list)]
			b.ejector.requestStarted(h.ID)
			return h, true
		}
	}
	return hostlist.Host{}, false
}

// countPick counts a pick for the service and returns the number of picks so far.
func (b *roundRobin) countPick(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.picks == nil {
		b.picks = map[string]int{}
	}
	b.picks[name]++
	return b.picks[name]
}

// serveService serves a request for a plain service.
func (f *Filter) serveService(ctx context.Context, ex *pipeline.Exchange) error {
	if !ex.Idempotent {
		// A call that must not be repeated continues after its caller has left, so that the idempotency record
		// gets its outcome.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, ex.AnswerBy, errDeadline)
	defer cancel()
	headers := serviceHeaders(ex)
	a := &attempts{}
	for {
		target, ok := f.services.pick(f.cfg.View.Snapshot().Hosts, ex.Service, a.triedTargets)
		if !ok {
			a.lastErr = ErrNoTarget
			return failedRefusal(a)
		}
		resp, err := f.cfg.Services.Do(ctx, target.Addr, &service.Request{
			ID: f.attemptID(ex), Method: string(ex.HTTP.Method()), Path: string(ex.HTTP.URI().RequestURI()),
			Headers: headers, Body: ex.HTTP.PostBody(), Idempotent: ex.Idempotent,
		})
		f.services.ejector.requestEnded(target.ID, attemptOutcome(ctx, err))
		if err == nil {
			writeServiceResponse(ex, resp)
			return nil
		}
		if r := f.retryOrRefuse(ctx, ex, a, target.ID, err); r != nil {
			return r
		}
	}
}

// serviceHeaders returns the header fields of a request to a service, without fields that contain a secret.
func serviceHeaders(ex *pipeline.Exchange) []service.Header {
	secrets := secretsOf(ex)
	var out []service.Header
	for _, name := range forwardedHeaders {
		for _, value := range ex.HTTP.Request.Header.PeekAll(name) {
			if len(value) > 0 && !secrets.foundIn(value) {
				out = append(out, service.Header{Name: name, Value: string(value)})
			}
		}
	}
	if ex.Organisation != "" {
		out = append(out, service.Header{Name: headerOrganisation, Value: ex.Organisation})
	}
	if ex.IdempotencyKey != "" {
		// The organisation is part of the key because two organisations may choose the same key.
		out = append(out, service.Header{
			Name: requestparse.HeaderIdempotencyKey, Value: ex.Organisation + ":" + ex.IdempotencyKey,
		})
	}
	return out
}

// writeServiceResponse writes the response of a service to the caller and finishes the exchange.
func writeServiceResponse(ex *pipeline.Exchange, resp *service.Response) {
	h := &ex.HTTP.Response
	h.SetStatusCode(resp.Status)
	h.Header.SetNoDefaultContentType(true)
	for _, f := range resp.Headers {
		h.Header.Add(f.Name, f.Value)
	}
	h.SetBodyRaw(resp.Body)
	if ex.HTTP.IsHead() {
		h.SkipBody = true
	}
	ex.Finish(pipeline.Outcome{
		Status: resp.Status, Complete: true, Ran: true, PromptTokens: -1, OutputTokens: -1, Body: resp.Body,
	})
}
