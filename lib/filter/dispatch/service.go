package dispatch

import (
	"context"
	"slices"
	"sync"

	"cuminhook.org/cuminhook/lib/filter/inlet"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/service"
)

// forwardedHeaders are the only header fields of callers that reach services. Callers put keys into many
// fields, so all but these are held back.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since", "Range", "Traceparent",
}

// headerOrganisation tells services for whom a call runs.
const headerOrganisation = "X-Organisation"

// balancer chooses service targets by round robin.
type balancer struct {
	eject ejector

	mu   sync.Mutex
	turn map[string]int // by service; guarded by mu
}

// pick returns the next target of a service that is neither leaving, ejected nor tried; then one that is
// ejected; then one that was tried.
func (b *balancer) pick(hosts []hostlist.Host, name string, tried []string) (hostlist.Host, bool) {
	var usable, ejected, rest []hostlist.Host
	for _, h := range hosts {
		switch {
		case h.Role != hostlist.RoleService || h.Service != name || h.Leaving:
		case slices.Contains(tried, h.ID):
			rest = append(rest, h)
		case b.eject.usable(h.ID):
			usable = append(usable, h)
		default:
			ejected = append(ejected, h)
		}
	}
	for _, list := range [][]hostlist.Host{usable, ejected, rest} {
		if len(list) > 0 {
			h := list[b.next(name)%len(list)]
			b.eject.start(h.ID)
			return h, true
		}
	}
	return hostlist.Host{}, false
}

func (b *balancer) next(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.turn == nil {
		b.turn = map[string]int{}
	}
	b.turn[name]++
	return b.turn[name]
}

// service makes the attempts at a plain service.
func (d *Dispatch) service(ctx context.Context, ex *pipeline.Exchange) error {
	if !ex.Idempotent {
		// A call that must not be repeated runs on when its caller leaves, so that its outcome is known
		// to the idempotency record.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, ex.AnswerBy, errDeadline)
	defer cancel()
	headers := serviceHeaders(ex)
	a := &attempts{}
	for {
		target, ok := d.services.pick(d.cfg.View.Snapshot().Hosts, ex.Service, a.tried)
		if !ok {
			a.last = ErrNoTarget
			return failed(a)
		}
		resp, err := d.cfg.Services.Do(ctx, target.Addr, &service.Request{
			ID: d.attemptID(ex), Method: string(ex.HTTP.Method()), Path: string(ex.HTTP.URI().RequestURI()),
			Headers: headers, Body: ex.HTTP.PostBody(), Idempotent: ex.Idempotent,
		})
		d.services.eject.end(target.ID, verdict(ctx, err))
		if err == nil {
			writeService(ex, resp)
			return nil
		}
		if r := d.next(ctx, ex, a, target.ID, err); r != nil {
			return r
		}
	}
}

func serviceHeaders(ex *pipeline.Exchange) []service.Header {
	secrets := secretsOf(ex)
	var out []service.Header
	for _, name := range forwardedHeaders {
		for _, value := range ex.HTTP.Request.Header.PeekAll(name) {
			if len(value) > 0 && !secrets.in(value) {
				out = append(out, service.Header{Name: name, Value: string(value)})
			}
		}
	}
	if ex.Organisation != "" {
		out = append(out, service.Header{Name: headerOrganisation, Value: ex.Organisation})
	}
	if ex.IdempotencyKey != "" {
		// Two organisations may choose the same key.
		out = append(out, service.Header{Name: inlet.HeaderIdempotencyKey, Value: ex.Organisation + ":" + ex.IdempotencyKey})
	}
	return out
}

func writeService(ex *pipeline.Exchange, resp *service.Response) {
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
