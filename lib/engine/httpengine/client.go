package httpengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/httpconn"
)

const (
	// DefaultSilence is the time without a byte after which a connection counts as silent.
	DefaultSilence = 2 * time.Second
	sendTimeout    = 2 * time.Second
	// answerGrace is the time in which an answer that the engine calls sent must arrive.
	answerGrace  = 500 * time.Millisecond
	stateTimeout = time.Second
	// resumeWait bounds the wait for the header of a resumed stream: with the silence before it and the
	// dial, a silent target is noticed within 4 s.
	resumeWait = time.Second
	// controlTimeout bounds the wait for an order's answer when the caller's context has no deadline;
	// loads of large models take tens of seconds.
	controlTimeout = 5 * time.Minute
)

// errSilent means that the engine neither answered nor accounted for the request.
var errSilent = errors.New("httpengine: target went silent; outcome unknown")

// Config are the settings of a client.
type Config struct {
	Dial    httpconn.Dialer // nil: TCP
	Silence time.Duration   // zero: DefaultSilence
}

// Client implements engine.Inference and engine.Control.
type Client struct {
	pool    httpconn.Pool
	silence time.Duration
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Silence == 0 {
		cfg.Silence = DefaultSilence
	}
	c := &Client{silence: cfg.Silence}
	c.pool.Dial = cfg.Dial
	return c
}

// Close closes the unused connections.
func (c *Client) Close() { c.pool.CloseIdle() }

func inferenceRequest(addr string, r *engine.Request) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + r.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	req.Header.Set(HeaderOrganisation, r.Organisation)
	req.SetBodyRaw(r.Body)
	return req
}

// Do implements engine.Inference.
func (c *Client) Do(ctx context.Context, addr string, r *engine.Request) (*engine.Response, error) {
	req := inferenceRequest(addr, r)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	conn, err := c.pool.Get(ctx, addr, !r.Idempotent)
	if err != nil {
		return nil, notRun(err)
	}
	reuse := false
	defer func() { conn.Release(reuse) }()
	if err := conn.Send(req, sendTimeout); err != nil {
		return nil, notRun(err)
	}
	if err := c.await(ctx, conn, addr, r.ID); err != nil {
		return nil, err
	}
	if err := conn.Receive(resp, c.silence); err != nil {
		return nil, fmt.Errorf("httpengine: incomplete answer of %s: %w", addr, err)
	}
	if err := checkEcho(resp, r.ID); err != nil {
		return nil, err
	}
	reuse = !resp.ConnectionClose()
	if err := statusError(resp); err != nil {
		return nil, err
	}
	return wholeResponse(resp), nil
}

// await waits for the first byte of the answer. Each time the engine is silent for the limit it is asked
// on another connection whether it still works on the request.
func (c *Client) await(ctx context.Context, conn *httpconn.Conn, addr, id string) error {
	for {
		err := conn.AwaitByte(c.silence)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !httpconn.IsTimeout(err) {
			return fmt.Errorf("httpengine: connection to %s lost: %w", addr, err)
		}
		state, err := c.state(ctx, addr, id)
		if err != nil {
			return fmt.Errorf("%w: %s: %w", errSilent, addr, err)
		}
		if state == StateQueued || state == StateRunning {
			continue
		}
		// The answer may have been sent while the engine was asked.
		if conn.AwaitByte(answerGrace) != nil {
			return fmt.Errorf("%w: %s: the answer was sent and did not arrive", errSilent, addr)
		}
		return nil
	}
}

func (c *Client) state(ctx context.Context, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s State
	status, err := c.call(ctx, fasthttp.MethodGet, addr, PathRequests+id, nil, &s)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return s.State, err
}

// Stream implements engine.Inference.
func (c *Client) Stream(ctx context.Context, addr string, r *engine.Request) (engine.EventReader, error) {
	req := inferenceRequest(addr, r)
	defer fasthttp.ReleaseRequest(req)
	return c.open(ctx, addr, r.ID, req, 0, !r.Idempotent, c.silence)
}

// Resume implements engine.Inference.
func (c *Client) Resume(ctx context.Context, addr, id string, seq int64) (engine.EventReader, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + PathRequests + id + PathEvents)
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderLastEventID, strconv.FormatInt(seq, 10))
	return c.open(ctx, addr, id, req, seq, true, resumeWait)
}

func (c *Client) open(ctx context.Context, addr, id string, req *fasthttp.Request, after int64, fresh bool, wait time.Duration) (engine.EventReader, error) {
	conn, err := c.pool.Get(ctx, addr, fresh)
	if err != nil {
		return nil, notRun(err)
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	r, err := c.openOn(conn, addr, id, req, resp, after, wait)
	if err != nil {
		conn.Release(false)
		fasthttp.ReleaseResponse(resp)
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return r, nil
}

func (c *Client) openOn(
	conn *httpconn.Conn, addr, id string, req *fasthttp.Request, resp *fasthttp.Response, after int64, wait time.Duration,
) (*reader, error) {
	if err := conn.Send(req, sendTimeout); err != nil {
		return nil, notRun(err)
	}
	if err := conn.Receive(resp, wait); err != nil {
		return nil, fmt.Errorf("httpengine: no stream from %s: %w", addr, err)
	}
	if err := checkEcho(resp, id); err != nil {
		return nil, err
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return newReader(c, addr, id, conn, resp, after), nil
	}
	if err := statusError(resp); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return nil, err
	}
	return nil, &engine.StatusError{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
}

// Cancel implements engine.Inference.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	_, err := c.call(ctx, fasthttp.MethodDelete, addr, PathRequests+id, nil, nil)
	return err
}

// Order implements engine.Control. The order goes out on a connection on which the engine has just reported the
// boot id that the order is meant for, because a connection cannot outlast a start of the engine.
func (c *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	conn, err := c.pool.Get(ctx, addr, true)
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	}
	defer conn.Release(false)
	var report engine.Report
	if _, err := exchange(ctx, conn, message{fasthttp.MethodGet, addr, PathReport, nil, false}, &report); err != nil {
		return fmt.Errorf("%w: no report of %s before the order: %w", engine.ErrNotRun, addr, err)
	}
	if o.Boot != "" && report.Boot != o.Boot {
		return fmt.Errorf("%w: engine at %s was restarted", engine.ErrNotRun, addr)
	}
	var refused Refused
	status, err := exchange(ctx, conn, message{fasthttp.MethodPost, addr, PathOrders, body, true}, &refused)
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	case err != nil:
		return err
	case status == fasthttp.StatusOK:
		return nil
	case refused.Reason == RefusedFenced:
		return fmt.Errorf("%w: %s", engine.ErrFenced, refused.Detail)
	case refused.Reason == RefusedOrder:
		return fmt.Errorf("%w: %s", engine.ErrOrderRefused, refused.Detail)
	}
	return fmt.Errorf("httpengine: order %s at %s: status %d; outcome unknown", o.ID, addr, status)
}

// Report implements engine.Control.
func (c *Client) Report(ctx context.Context, addr string) (engine.Report, error) {
	var r engine.Report
	status, err := c.call(ctx, fasthttp.MethodGet, addr, PathReport, nil, &r)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("httpengine: report of %s: status %d", addr, status)
	}
	return r, err
}

// call sends a control request on a connection dialled for it, because a pooled one may be silent.
func (c *Client) call(ctx context.Context, method, addr, path string, body []byte, into any) (status int, err error) {
	conn, err := c.pool.Get(ctx, addr, true)
	if err != nil {
		return 0, err
	}
	defer conn.Release(false)
	return exchange(ctx, conn, message{method, addr, path, body, true}, into)
}

// message is a control request. Last closes the connection after it.
type message struct {
	method, addr, path string
	body               []byte
	last               bool
}

// exchange sends a control request on conn and decodes the answer.
func exchange(ctx context.Context, conn *httpconn.Conn, m message, into any) (status int, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(m.method)
	req.SetRequestURI("http://" + m.addr + m.path)
	if m.last {
		req.SetConnectionClose()
	}
	if m.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(m.body)
	}
	if err := conn.Send(req, sendTimeout); err != nil {
		return 0, err
	}
	wait := controlTimeout
	if d, ok := ctx.Deadline(); ok {
		wait = time.Until(d)
	}
	if err := conn.Receive(resp, wait); err != nil {
		return 0, err
	}
	if into != nil && len(resp.Body()) > 0 {
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return 0, fmt.Errorf("httpengine: answer of %s to %s: %w", m.addr, m.path, err)
		}
	}
	return resp.StatusCode(), nil
}

func notRun(err error) error {
	if errors.Is(err, httpconn.ErrNotSent) {
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	}
	return err
}

func checkEcho(resp *fasthttp.Response, id string) error {
	if got := resp.Header.Peek(HeaderRequestID); string(got) != id {
		return fmt.Errorf("%w: asked for %q, got %q", engine.ErrWrongResponse, id, got)
	}
	return nil
}

// statusError maps the engine's statements about requests it did not run.
func statusError(resp *fasthttp.Response) error {
	h := &resp.Header
	switch {
	case resp.StatusCode() < 400:
		return nil
	case string(h.Peek(HeaderDraining)) == "1":
		return engine.ErrDraining
	case string(h.Peek(HeaderNotResident)) == "1":
		return engine.ErrNotResident
	case string(h.Peek(HeaderNotRun)) == "1":
		return engine.ErrNotRun
	}
	return nil
}

func headerLoad(resp *fasthttp.Response) (engine.Load, bool) {
	var l engine.Load
	raw := resp.Header.Peek(HeaderLoad)
	return l, len(raw) > 0 && json.Unmarshal(raw, &l) == nil
}

// Usage is the usage object of an answer or of the last event before the end marker.
type Usage struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func wholeResponse(resp *fasthttp.Response) *engine.Response {
	out := &engine.Response{
		Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...), PromptTokens: -1, OutputTokens: -1,
	}
	out.Load, out.HasLoad = headerLoad(resp)
	var u Usage
	if json.Unmarshal(out.Body, &u) == nil && u.Usage != nil {
		out.PromptTokens, out.OutputTokens = u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
	return out
}
