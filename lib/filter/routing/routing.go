// Package routing is the filter that resolves the model, adapter or service of a request, checks that the request's
// organisation may use it, and sets the deadline and the tokens to charge.
package routing

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

const (
	// defaultTimeout applies to models and routes without a configured deadline.
	defaultTimeout = 30 * time.Second
	// defaultMaxTimePerOutputToken is about three times the 95th percentile of the time per output token, 36 ms.
	defaultMaxTimePerOutputToken = 100 * time.Millisecond
	// defaultMaxOutputTokens applies to models without an output limit, so that the charge of every request is bounded.
	defaultMaxOutputTokens = 4096
)

// Config holds the settings of the filter.
type Config struct {
	View                  confview.View
	MaxTimePerOutputToken time.Duration // time allowed for each output token of a whole answer; zero: 100 ms
}

type filter struct {
	next    pipeline.Handler
	cfg     Config
	matcher Matcher
}

// New returns the filter; it passes routed exchanges on to next and answers GET /v1/models itself.
func New(next pipeline.Handler, cfg Config) pipeline.Handler {
	if cfg.MaxTimePerOutputToken == 0 {
		cfg.MaxTimePerOutputToken = defaultMaxTimePerOutputToken
	}
	return &filter{next: next, cfg: cfg}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	state := f.cfg.View.Snapshot().State
	switch ex.Kind {
	case pipeline.KindModels:
		return listModels(ex, state)
	case pipeline.KindModel:
		if err := f.resolveModel(ex, state); err != nil {
			return err
		}
	default:
		if err := f.resolveRoute(ex, state); err != nil {
			return err
		}
	}
	return f.next.Serve(ctx, ex)
}

func notRun(reason refusal.Reason, status int, message, remedy string) *refusal.Error {
	return &refusal.Error{Reason: reason, Run: refusal.NotRun, Status: status, Message: message, Remedy: remedy}
}

func (f *filter) resolveModel(ex *pipeline.Exchange, state *ticket.State) error {
	name := ex.Model
	adapter, isAdapter := state.Adapters[name]
	if isAdapter {
		name = adapter.Model
	}
	model, ok := state.Models[name]
	if !ok {
		return notRun(refusal.ModelUnknown, fasthttp.StatusNotFound, "no such model or adapter", "GET /v1/models lists the usable ones")
	}
	// A request for an adapter also uses the adapter's model, so the organisation must be allowed for both.
	if !allowed(model.Organisations, ex.Organisation) || isAdapter && !allowed(adapter.Organisations, ex.Organisation) {
		return notRun(
			refusal.NotAllowed, fasthttp.StatusForbidden, "the organisation may not use this model or adapter",
			"GET /v1/models lists the usable ones",
		)
	}
	ex.BaseModel, ex.Idempotent = model.Name, true
	if isAdapter {
		ex.Adapter = adapter.Name
	}
	limit := model.MaxOutput
	if limit <= 0 {
		limit = defaultMaxOutputTokens
	}
	if ex.MaxOutput == 0 || ex.MaxOutput > limit {
		ex.MaxOutput = limit
	}
	ex.Charge = ex.PromptTokens + ex.MaxOutput
	firstTokenTimeout := timeoutOrDefault(model.DeadlineMS)
	ex.Deadline = ex.Start.Add(firstTokenTimeout)
	ex.AnswerBy = ex.Deadline.Add(time.Duration(ex.MaxOutput) * f.cfg.MaxTimePerOutputToken)
	if ex.TimeoutHeader > 0 {
		ex.AnswerBy = ex.Start.Add(ex.TimeoutHeader)
		if ex.Stream || ex.AnswerBy.Before(ex.Deadline) {
			ex.Deadline = ex.AnswerBy
		}
	}
	return nil
}

func timeoutOrDefault(ms int64) time.Duration {
	if ms <= 0 {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

func (f *filter) resolveRoute(ex *pipeline.Exchange, state *ticket.State) error {
	route, ok := f.matcher.Match(state, string(ex.HTTP.Path()))
	if !ok {
		return notRun(refusal.NotFound, fasthttp.StatusNotFound, "no route has a prefix of this path", "correct the path")
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, string(ex.HTTP.Method())) {
		return notRun(
			refusal.BadRequest, fasthttp.StatusMethodNotAllowed, "the route does not accept this method", "use a method that the route accepts",
		)
	}
	if !route.Open && !allowed(route.Organisations, ex.Organisation) {
		return notRun(
			refusal.NotAllowed, fasthttp.StatusForbidden, "the organisation may not use this route", "ask the operators for access",
		)
	}
	ex.Route, ex.Service, ex.Idempotent, ex.Charge = route.Name, route.Service, route.Idempotent, route.Tokens
	timeout := timeoutOrDefault(route.DeadlineMS)
	if ex.TimeoutHeader > 0 {
		timeout = min(timeout, ex.TimeoutHeader)
	}
	ex.Deadline = ex.Start.Add(timeout)
	ex.AnswerBy = ex.Deadline
	return nil
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Parent string `json:"parent,omitempty"` // base model, for adapters only
}

// listModels writes the response of GET /v1/models: the models and adapters that the organisation may use.
func listModels(ex *pipeline.Exchange, state *ticket.State) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range state.Models {
		if allowed(m.Organisations, ex.Organisation) {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model"})
		}
	}
	for _, a := range state.Adapters {
		m, ok := state.Models[a.Model]
		if ok && allowed(m.Organisations, ex.Organisation) && allowed(a.Organisations, ex.Organisation) {
			list.Data = append(list.Data, modelEntry{ID: a.Name, Object: "model", Parent: a.Model})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	ex.HTTP.SetContentType("application/json")
	ex.HTTP.SetBody(body)
	return nil
}
