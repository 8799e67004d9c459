// Package admission implements the filter that charges requests to the token quota of their organisation
// and bounds the requests outstanding at engines. Model requests beyond the bound wait in a fair queue per
// model.
package admission

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Quota spends and refunds tokens; quota.Manager implements it.
type Quota interface {
	Spend(ctx context.Context, organisation string, tokens int64) (quota.Charge, error)
	Refund(c *quota.Charge, used int64)
}

// Demand is notified of every model request; demand.Sender implements it.
type Demand interface {
	Observe(model, adapter string, promptTokens, outputTokens int64)
}

// Config contains the dependencies and settings of the filter.
type Config struct {
	View  confview.View
	Quota Quota
	// Retries is credited with every admitted request; the dispatch filter takes retries from it. May be nil.
	Retries *RetryBudget
	// MaxWaiting is the maximum number of requests that wait for one model; zero means 4,096.
	MaxWaiting int
	// OutstandingLimit returns the maximum number of requests outstanding for a model from this gateway. Nil derives
	// it from the published placement and the number of gateways.
	OutstandingLimit func(model string) int
	// Demand receives the tokens of every model request. May be nil.
	Demand Demand
}

// Filter admits exchanges and passes them to the next handler. It implements pipeline.Handler.
type Filter struct {
	next     pipeline.Handler
	cfg      Config
	mu       sync.Mutex
	models   map[string]*gate // by base model; guarded by mu
	limits   limits
	refusals refusalCounters
}

// New returns a filter in front of next.
func New(next pipeline.Handler, cfg Config) *Filter {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = 4096
	}
	f := &Filter{next: next, cfg: cfg, models: map[string]*gate{}}
	if f.cfg.OutstandingLimit == nil {
		f.cfg.OutstandingLimit = f.limitFromView
	}
	return f
}

// QueueLengths returns the number of waiting requests by model.
func (f *Filter) QueueLengths() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.models))
	for name, g := range f.models {
		g.mu.Lock()
		out[name] = g.queue.Len()
		g.mu.Unlock()
	}
	return out
}

// Serve passes the exchange to the next handler once it is admitted, or returns a refusal.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	now := time.Now()
	if !ex.Deadline.IsZero() && !now.Before(ex.Deadline) {
		return f.refuse(ex, deadlineUnreachable("its deadline has passed"))
	}
	var g *gate
	if ex.Kind == pipeline.KindModel {
		if f.cfg.Demand != nil {
			f.cfg.Demand.Observe(ex.BaseModel, ex.Adapter, ex.PromptTokens, ex.Charge-ex.PromptTokens)
		}
		g = f.gateFor(ex.BaseModel)
		if err := g.checkDeadline(now, ex, f.weight(ex)); err != nil {
			return f.refuse(ex, err)
		}
	}
	if ex.Organisation != "" && ex.Charge > 0 {
		if err := f.spend(ctx, ex); err != nil {
			return f.refuse(ex, err)
		}
	}
	if g != nil {
		if err := g.enter(ctx, ex, f.weight(ex)); err != nil {
			return f.refuse(ex, err)
		}
	}
	if f.cfg.Retries != nil {
		f.cfg.Retries.CreditRequest(ex.Organisation)
	}
	return f.next.Serve(ctx, ex)
}

// spend charges the exchange and refunds the unused tokens when it finishes.
func (f *Filter) spend(ctx context.Context, ex *pipeline.Exchange) error {
	if !ex.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, ex.Deadline)
		defer cancel()
	}
	charge, err := f.cfg.Quota.Spend(ctx, ex.Organisation, ex.Charge)
	if err != nil {
		return err
	}
	kind := ex.Kind
	ex.OnFinish(func(out pipeline.Outcome) {
		f.cfg.Quota.Refund(&charge, usedTokens(kind, charge.Tokens, out))
	})
	return nil
}

// usedTokens returns the number of charged tokens that the request used. If that is unknown, the whole charge
// counts as used.
func usedTokens(kind pipeline.Kind, charged int64, out pipeline.Outcome) int64 {
	switch {
	case !out.Ran:
		return 0
	case kind != pipeline.KindModel || out.PromptTokens < 0 || out.OutputTokens < 0:
		return charged
	default:
		return out.PromptTokens + out.OutputTokens
	}
}

func (f *Filter) weight(ex *pipeline.Exchange) int64 {
	return max(1, f.cfg.View.Snapshot().State.Organisations[ex.Organisation].Weight)
}

// refuse counts a refusal by this filter or the quota and returns it.
func (f *Filter) refuse(ex *pipeline.Exchange, err error) error {
	if r, ok := refusal.As(err); ok {
		f.refusals.inc(r.Reason, ex.Organisation)
	}
	return err
}

func deadlineUnreachable(cause string) error {
	return &refusal.Error{
		Reason: refusal.DeadlineUnreachable, Run: refusal.NotRun, Status: http.StatusServiceUnavailable,
		Message: "the request cannot be answered within its deadline: " + cause,
		Remedy:  "send it again with a later deadline, or later", RetryAfter: time.Second,
	}
}

func queueFull(model string) error {
	return &refusal.Error{
		Reason: refusal.QueueFull, Run: refusal.NotRun, Status: http.StatusServiceUnavailable,
		Message: fmt.Sprintf("too many requests wait for model %q and the organisation has its share of them", model),
		Remedy:  "send the request again later", RetryAfter: time.Second,
	}
}
