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
	"cuminhook.org/cuminhook/lib/pause"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// errTargetStatus means that the engine answered with a server error.
var errTargetStatus = errors.New("dispatch: the target answered with a server error")

// model serves a model request. All of them are idempotent.
func (d *Dispatch) model(ctx context.Context, ex *pipeline.Exchange) error {
	body, err := engineBody(ex)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	remove := d.streams.add(ex.KeyHash, cancel)
	ex.OnFinish(func(pipeline.Outcome) {
		remove()
		cancel(nil)
	})
	timer := time.AfterFunc(time.Until(ex.AnswerBy), func() { cancel(errDeadline) })
	defer timer.Stop()
	a := &attempts{}
	for {
		target, release, err := d.cfg.Picker.Pick(pickRequest(ex, a))
		if err != nil {
			a.last = err
			if waitForTarget(ctx, ex) {
				continue
			}
			return failed(a)
		}
		req := engineRequest(ex, d.attemptID(ex), body)
		if ex.Stream {
			err = d.openStream(ctx, cancel, ex, target, release, req)
		} else {
			err = d.whole(ctx, ex, target, release, req)
		}
		if err == nil {
			return nil
		}
		if r, ok := refusal.As(err); ok {
			return r
		}
		if !provablyNotRun(err) {
			d.cancelAt(target.Addr, req.ID)
		}
		if r := d.next(ctx, ex, a, target.ID, err); r != nil {
			return r
		}
	}
}

func pickRequest(ex *pipeline.Exchange, a *attempts) PickRequest {
	return PickRequest{
		Model: ex.BaseModel, Adapter: ex.Adapter, Organisation: ex.Organisation, PrefixHash: ex.PrefixHash,
		PromptTokens: ex.PromptTokens, MaxOutput: ex.MaxOutput, Deadline: ex.Deadline, Avoid: a.tried,
	}
}

func engineRequest(ex *pipeline.Exchange, id string, body []byte) *engine.Request {
	return &engine.Request{
		ID: id, Path: string(ex.HTTP.Path()), Body: body, Model: ex.BaseModel, Adapter: ex.Adapter, Stream: ex.Stream,
		Priority: ex.Priority, Organisation: ex.Organisation, Idempotent: ex.Idempotent,
	}
}

// engineBody is the caller's body with the members that the gateway decides.
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

// whole makes one attempt at a whole answer.
func (d *Dispatch) whole(
	ctx context.Context, ex *pipeline.Exchange, target Target, release func(Result), req *engine.Request,
) error {
	resp, err := d.cfg.Engine.Do(ctx, target.Addr, req)
	if err == nil && resp.Status >= 500 {
		err = fmt.Errorf("%w: %d", errTargetStatus, resp.Status)
	}
	result := Result{Verdict: verdict(ctx, err), OutputTokens: -1}
	if resp != nil {
		result.Load, result.HasLoad, result.OutputTokens = resp.Load, resp.HasLoad, resp.OutputTokens
	}
	release(result)
	if err != nil {
		return err
	}
	// The key may have been withdrawn while the engine worked, or while this process was paused.
	if r, ok := refusal.As(d.recheck(ex)); ok {
		withheld := *r
		withheld.Run = refusal.Unknown
		return &withheld
	}
	d.answer(ex, resp.Status, resp.Body, resp.PromptTokens, resp.OutputTokens)
	return nil
}

func (d *Dispatch) answer(ex *pipeline.Exchange, status int, body []byte, prompt, output int64) {
	ex.HTTP.SetStatusCode(status)
	ex.HTTP.SetContentType("application/json")
	ex.HTTP.Response.SetBodyRaw(body)
	ex.Finish(pipeline.Outcome{
		Status: status, Complete: true, Ran: true, PromptTokens: prompt, OutputTokens: output, Body: body,
	})
}

// openStream makes one attempt at a stream, up to its first event. After that the answer is committed.
func (d *Dispatch) openStream(
	ctx context.Context, cancel context.CancelCauseFunc, ex *pipeline.Exchange, target Target, release func(Result), req *engine.Request,
) error {
	picked := time.Now()
	reader, err := d.cfg.Engine.Stream(ctx, target.Addr, req)
	var status *engine.StatusError
	if errors.As(err, &status) && status.Status < 500 {
		release(Result{Verdict: Answered, OutputTokens: -1})
		d.answer(ex, status.Status, status.Body, -1, -1)
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
		release(Result{Verdict: verdict(ctx, err), OutputTokens: -1})
		return err
	}
	if target.Started != nil {
		target.Started()
	}
	r := &relay{
		d: d, ex: ex, ctx: ctx, cancel: cancel, target: target, release: release, id: req.ID, reader: reader,
		firstToken: time.Since(picked), sinceStart: time.Since(ex.Start), conn: ex.HTTP.Conn(),
	}
	r.add(first)
	ex.Detach()
	ex.HTTP.SetContentType("text/event-stream")
	ex.HTTP.Response.Header.Set("Cache-Control", "no-store")
	ex.HTTP.SetBodyStream(r, -1)
	return nil
}

// cancelAt stops the work on a request whose answer is no longer wanted. It does not wait: the target may
// be silent.
func (d *Dispatch) cancelAt(addr, id string) {
	d.cfg.Set.GetOrCreateCounter("cuminhook_engine_cancels_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = d.cfg.Engine.Cancel(ctx, addr, id)
	}()
}

// usageOf reads the usage that the engine reported in an event.
func usageOf(data []byte) (prompt, output int64) {
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

// streamBroken is the refusal inside a stream that cannot go on.
func streamBroken(ctx context.Context) *refusal.Error {
	r := &refusal.Error{
		Reason: refusal.StreamBroken, Run: refusal.Unknown, Status: 200,
		Message: "the stream broke before its end", Remedy: "repeat the request",
	}
	if invalid, ok := refusal.As(context.Cause(ctx)); ok {
		r.Message, r.Remedy = "the stream was ended: "+invalid.Message, invalid.Remedy
	}
	return r
}

// waitForTarget pauses before the next look for a target and reports whether the deadline for the first token
// allows one. An adapter is loaded at its first demand, and a model whose only copy was lost is loaded anew, so a
// short wait is often enough.
func waitForTarget(ctx context.Context, ex *pipeline.Exchange) bool {
	if ex.Deadline.IsZero() || time.Until(ex.Deadline) <= targetPoll {
		return false
	}
	return pause.For(ctx, targetPoll)
}
