package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/sleep"
)

// errTargetStatus means that the engine answered with a server error.
var errTargetStatus = errors.New("dispatch: the target answered with a server error")

// serveModel serves a request for a model. Requests for models are always idempotent.
func (f *Filter) serveModel(ctx context.Context, ex *pipeline.Exchange) error {
	body, err := engineBody(ex)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	remove := f.streams.add(ex.KeyHash, cancel)
	ex.OnFinish(func(pipeline.Outcome) {
		remove()
		cancel(nil)
	})
	timer := time.AfterFunc(time.Until(ex.AnswerBy), func() { cancel(errDeadline) })
	defer timer.Stop()
	a := &attempts{}
	for {
		target, release, err := f.cfg.Picker.Pick(pickRequest(ex, a))
		if err != nil {
			a.lastErr = err
			if waitForTarget(ctx, ex) {
				continue
			}
			return failedRefusal(a)
		}
		req := engineRequest(ex, f.attemptID(ex), body)
		if ex.Stream {
			err = f.attemptStream(ctx, cancel, ex, target, release, req)
		} else {
			err = f.attemptWhole(ctx, ex, target, release, req)
		}
		if err == nil {
			return nil
		}
		if r, ok := refusal.As(err); ok {
			return r
		}
		if !provablyNotRun(err) {
			f.cancelRequest(target.Addr, req.ID)
		}
		if r := f.retryOrRefuse(ctx, ex, a, target.ID, err); r != nil {
			return r
		}
	}
}

func pickRequest(ex *pipeline.Exchange, a *attempts) PickRequest {
	return PickRequest{
		Model: ex.BaseModel, Adapter: ex.Adapter, Organisation: ex.Organisation, PrefixHash: ex.PrefixHash,
		PromptTokens: ex.PromptTokens, MaxOutput: ex.MaxOutput, Deadline: ex.Deadline, Avoid: a.triedTargets,
	}
}

func engineRequest(ex *pipeline.Exchange, id string, body []byte) *engine.Request {
	return &engine.Request{
		ID: id, Path: string(ex.HTTP.Path()), Body: body, Model: ex.BaseModel, Adapter: ex.Adapter, Stream: ex.Stream,
		Priority: ex.Priority, Organisation: ex.Organisation, Idempotent: ex.Idempotent,
	}
}

// engineBody returns the caller's body with the members that the gateway sets.
func engineBody(ex *pipeline.Exchange) ([]byte, error) {
	fields := maps.Clone(ex.Fields)
	delete(fields, "max_completion_tokens")
	delete(fields, "adapter")
	delete(fields, "stream_options")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(ex.MaxOutput, 10))
	fields["stream"] = json.RawMessage(strconv.FormatBool(ex.Stream))
	if ex.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`) // admission needs the usage
	}
	names := map[string]string{"model": ex.BaseModel}
	if ex.Adapter != "" {
		names["adapter"] = ex.Adapter
	}
	for member, name := range names {
		raw, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		fields[member] = raw
	}
	return json.Marshal(fields)
}

// attemptWhole makes one attempt at a complete response, without streaming.
func (f *Filter) attemptWhole(
	ctx context.Context, ex *pipeline.Exchange, target Target, release func(Result), req *engine.Request,
) error {
	resp, err := f.cfg.Engine.Do(ctx, target.Addr, req)
	if err == nil && resp.Status >= 500 {
		err = fmt.Errorf("%w: %d", errTargetStatus, resp.Status)
	}
	result := Result{Outcome: attemptOutcome(ctx, err), OutputTokens: -1}
	if resp != nil {
		result.Load, result.HasLoad, result.OutputTokens = resp.Load, resp.HasLoad, resp.OutputTokens
	}
	release(result)
	if err != nil {
		return err
	}
	// The key may have been revoked while the engine worked, or while this process was paused.
	if r, ok := refusal.As(f.recheckKey(ex)); ok {
		withheld := *r
		withheld.Run = refusal.RunUnknown
		return &withheld
	}
	f.writeAnswer(ex, resp.Status, resp.Body, resp.PromptTokens, resp.OutputTokens)
	return nil
}

// writeAnswer writes a complete response to the caller and finishes the exchange.
func (f *Filter) writeAnswer(ex *pipeline.Exchange, status int, body []byte, prompt, output int64) {
	ex.HTTP.SetStatusCode(status)
	ex.HTTP.SetContentType("application/json")
	ex.HTTP.Response.SetBodyRaw(body)
	ex.Finish(pipeline.Outcome{
		Status: status, Complete: true, Ran: true, PromptTokens: prompt, OutputTokens: output, Body: body,
	})
}

// attemptStream makes one attempt at a stream. It returns after the first event; from then on the response is
// committed and a relay passes on the rest.
func (f *Filter) attemptStream(
	ctx context.Context, cancel context.CancelCauseFunc, ex *pipeline.Exchange, target Target, release func(Result), req *engine.Request,
) error {
	picked := time.Now()
	reader, err := f.cfg.Engine.Stream(ctx, target.Addr, req)
	var status *engine.StatusError
	if errors.As(err, &status) && status.Status < 500 {
		release(Result{Outcome: Answered, OutputTokens: -1})
		f.writeAnswer(ex, status.Status, status.Body, -1, -1)
		return nil
	}
	var first engine.Event
	if err == nil {
		first, err = reader.Next(ctx)
		if err != nil {
			go func() { _ = reader.Close() }()
		}
	}
	if err != nil {
		release(Result{Outcome: attemptOutcome(ctx, err), OutputTokens: -1})
		return err
	}
	if target.OnFirstEvent != nil {
		target.OnFirstEvent()
	}
	r := &relay{
		f: f, ex: ex, ctx: ctx, cancel: cancel, target: target, release: release, id: req.ID, reader: reader,
		firstTokenSincePick: time.Since(picked), firstTokenSinceStart: time.Since(ex.Start), conn: ex.HTTP.Conn(),
	}
	r.appendEvent(first)
	ex.Detach()
	ex.HTTP.SetContentType("text/event-stream")
	ex.HTTP.Response.Header.Set("Cache-Control", "no-store")
	ex.HTTP.SetBodyStream(r, -1)
	return nil
}

// cancelRequest cancels a request at a target in the background, because the target may be unresponsive.
func (f *Filter) cancelRequest(addr, id string) {
	f.cfg.Metrics.GetOrCreateCounter("cuminhook_engine_cancels_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = f.cfg.Engine.Cancel(ctx, addr, id)
	}()
}

// parseUsage returns the token counts that the engine reported in an event, or -1 for both if there are none.
func parseUsage(data []byte) (prompt, output int64) {
	var u struct {
		Usage *struct {
			PromptTokens     int64 `json:"prompt_tokens"`
			CompletionTokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if len(data) == 0 || json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return -1, -1
	}
	return u.Usage.PromptTokens, u.Usage.CompletionTokens
}

// streamBroken returns the refusal that is sent inside a stream that cannot be continued.
func streamBroken(ctx context.Context) *refusal.Error {
	r := &refusal.Error{
		Reason: refusal.StreamBroken, Run: refusal.RunUnknown, Status: 200,
		Message: "the stream broke before its end", Remedy: "repeat the request",
	}
	if invalid, ok := refusal.As(context.Cause(ctx)); ok {
		r.Message, r.Remedy = "the stream was ended: "+invalid.Message, invalid.Remedy
	}
	return r
}

// waitForTarget waits for targetPollInterval and reports whether to pick a target again. It returns false at once if the
// exchange has no deadline for the first token, or one that is closer than that. A short wait is often enough, because
// an adapter is loaded at its first demand and a model whose only copy was lost is loaded again.
func waitForTarget(ctx context.Context, ex *pipeline.Exchange) bool {
	if ex.Deadline.IsZero() || time.Until(ex.Deadline) <= targetPollInterval {
		return false
	}
	return sleep.For(ctx, targetPollInterval)
}
