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
	// DefaultResponseTimeout is the time without a byte received after which a target counts as unresponsive and a
	// stream as stalled.
	DefaultResponseTimeout = 2 * time.Second
	sendTimeout            = 2 * time.Second
	// lateAnswerTimeout bounds the wait for an answer that the engine reports as already sent.
	lateAnswerTimeout   = 500 * time.Millisecond
	requestStateTimeout = time.Second
	// resumeTimeout bounds the wait for the response header of a resumed stream. With the response timeout before it and
	// the dial, an unresponsive target is detected within 4 s.
	resumeTimeout = time.Second
	// controlTimeout bounds the wait for the answer to an order when the context has no deadline. Loading a large model
	// takes tens of seconds.
	controlTimeout = 5 * time.Minute
)

// errUnresponsive means that the engine neither answered the request nor confirmed that it is still running it.
var errUnresponsive = errors.New("httpengine: target is unresponsive; outcome unknown")

// Config holds the settings of a client.
type Config struct {
	Dial            httpconn.Dialer // nil: TCP
	ResponseTimeout time.Duration   // response timeout; zero: DefaultResponseTimeout
}

// Client implements engine.Inference and engine.Control over HTTP.
type Client struct {
	pool            httpconn.Pool
	responseTimeout time.Duration
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.ResponseTimeout == 0 {
		cfg.ResponseTimeout = DefaultResponseTimeout
	}
	c := &Client{responseTimeout: cfg.ResponseTimeout}
	c.pool.Dial = cfg.Dial
	return c
}

// Close closes the idle connections of the pool.
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
	conn, err := c.pool.Get(ctx, addr, httpconn.MaxIdle(r.Idempotent))
	if err != nil {
		return nil, wrapNotRun(err)
	}
	reuse := false
	defer func() { conn.Release(reuse) }()
	if err := conn.Send(req, sendTimeout); err != nil {
		return nil, wrapNotRun(err)
	}
	if err := c.awaitAnswer(ctx, conn, addr, r.ID); err != nil {
		return nil, err
	}
	if err := conn.Receive(resp, c.responseTimeout); err != nil {
		return nil, fmt.Errorf("httpengine: incomplete answer from %s: %w", addr, err)
	}
	if err := checkRequestID(resp, r.ID); err != nil {
		return nil, err
	}
	reuse = !resp.ConnectionClose()
	if err := statusError(resp); err != nil {
		return nil, err
	}
	return newResponse(resp), nil
}

// awaitAnswer waits for the first byte of the answer. After each response timeout it queries the state of the request on
// another connection, and continues to wait as long as the engine reports the request as queued or running.
func (c *Client) awaitAnswer(ctx context.Context, conn *httpconn.Conn, addr, id string) error {
	for {
		err := conn.AwaitByte(c.responseTimeout)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !httpconn.IsTimeout(err) {
			return fmt.Errorf("httpengine: connection to %s lost: %w", addr, err)
		}
		state, err := c.requestState(ctx, addr, id)
		if err != nil {
			return fmt.Errorf("%w: %s: %w", errUnresponsive, addr, err)
		}
		if state == StateQueued || state == StateRunning {
			continue
		}
		// The answer may have been sent while the state was queried.
		if conn.AwaitByte(lateAnswerTimeout) != nil {
			return fmt.Errorf("%w: %s: the answer to request %s was sent but did not arrive", errUnresponsive, addr, id)
		}
		return nil
	}
}

func (c *Client) requestState(ctx context.Context, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestStateTimeout)
	defer cancel()
	var s RequestState
	status, err := c.callControl(ctx, fasthttp.MethodGet, addr, PathRequests+id, nil, &s)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("query of the request's state: status %d", status)
	}
	return s.State, err
}

// Stream implements engine.Inference.
func (c *Client) Stream(ctx context.Context, addr string, r *engine.Request) (engine.EventReader, error) {
	req := inferenceRequest(addr, r)
	defer fasthttp.ReleaseRequest(req)
	return c.openStream(ctx, addr, r.ID, req, 0, !r.Idempotent, c.responseTimeout)
}

// Resume implements engine.Inference.
func (c *Client) Resume(ctx context.Context, addr, id string, seq int64) (engine.EventReader, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + PathRequests + id + PathEvents)
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderLastEventID, strconv.FormatInt(seq, 10))
	return c.openStream(ctx, addr, id, req, seq, true, resumeTimeout)
}

// openStream sends req on a pooled connection, or on a newly dialled one if dialNew is set, and returns a reader of the
// events after lastSeq. The response header must arrive within timeout.
func (c *Client) openStream(
	ctx context.Context, addr, id string, req *fasthttp.Request, lastSeq int64, dialNew bool, timeout time.Duration,
) (engine.EventReader, error) {
	conn, err := c.pool.Get(ctx, addr, httpconn.MaxIdle(!dialNew))
	if err != nil {
		return nil, wrapNotRun(err)
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	r, err := c.openStreamOn(conn, addr, id, req, resp, lastSeq, timeout)
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

func (c *Client) openStreamOn(
	conn *httpconn.Conn, addr, id string, req *fasthttp.Request, resp *fasthttp.Response, lastSeq int64, timeout time.Duration,
) (*streamReader, error) {
	if err := conn.Send(req, sendTimeout); err != nil {
		return nil, wrapNotRun(err)
	}
	if err := conn.Receive(resp, timeout); err != nil {
		return nil, fmt.Errorf("httpengine: no stream from %s: %w", addr, err)
	}
	if err := checkRequestID(resp, id); err != nil {
		return nil, err
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return newStreamReader(c, addr, id, conn, resp, lastSeq), nil
	}
	if err := statusError(resp); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(c.responseTimeout)); err != nil {
		return nil, err
	}
	body, err := httpconn.ReadStream(resp)
	if err != nil {
		return nil, fmt.Errorf("httpengine: incomplete answer from %s: %w", addr, err)
	}
	return nil, &engine.StatusError{Status: resp.StatusCode(), Body: body}
}

// Cancel implements engine.Inference.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	_, err := c.callControl(ctx, fasthttp.MethodDelete, addr, PathRequests+id, nil, nil)
	return err
}

// Order implements engine.Control. It sends the order on a connection on which the engine has just reported the boot id
// that the order is meant for: a connection does not survive a restart of the engine, so no other incarnation receives it.
func (c *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	conn, err := c.pool.Get(ctx, addr, httpconn.NewOnly)
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	}
	defer conn.Release(false)
	var report engine.Report
	if _, err := sendControl(ctx, conn, controlRequest{fasthttp.MethodGet, addr, PathReport, nil, false}, &report); err != nil {
		return fmt.Errorf("%w: no report from %s before the order: %w", engine.ErrNotRun, addr, err)
	}
	if o.Boot != "" && report.Boot != o.Boot {
		return fmt.Errorf("%w: engine at %s was restarted", engine.ErrNotRun, addr)
	}
	var refused OrderRefusal
	status, err := sendControl(ctx, conn, controlRequest{fasthttp.MethodPost, addr, PathOrders, body, true}, &refused)
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	case err != nil:
		return err
	case status == fasthttp.StatusOK:
		return nil
	case refused.Reason == OrderRefusedFenced:
		return fmt.Errorf("%w: %s", engine.ErrFenced, refused.Detail)
	case refused.Reason == OrderRefusedOther:
		return fmt.Errorf("%w: %s", engine.ErrOrderRefused, refused.Detail)
	}
	return fmt.Errorf("httpengine: order %s at %s: status %d; outcome unknown", o.ID, addr, status)
}

// Report implements engine.Control.
func (c *Client) Report(ctx context.Context, addr string) (engine.Report, error) {
	var r engine.Report
	status, err := c.callControl(ctx, fasthttp.MethodGet, addr, PathReport, nil, &r)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("httpengine: report from %s: status %d", addr, status)
	}
	return r, err
}

// callControl sends a control request on a newly dialled connection, because a pooled one may no longer respond.
func (c *Client) callControl(ctx context.Context, method, addr, path string, body []byte, into any) (status int, err error) {
	conn, err := c.pool.Get(ctx, addr, httpconn.NewOnly)
	if err != nil {
		return 0, err
	}
	defer conn.Release(false)
	return sendControl(ctx, conn, controlRequest{method, addr, path, body, true}, into)
}

// controlRequest is a request for a report, an order, or the state or cancellation of an inference request. If closeAfter
// is set, the connection is closed after it.
type controlRequest struct {
	method, addr, path string
	body               []byte
	closeAfter         bool
}

// sendControl sends a control request on conn, decodes the JSON answer into the value that into points to unless it is
// nil, and returns the HTTP status code.
func sendControl(ctx context.Context, conn *httpconn.Conn, m controlRequest, into any) (status int, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(m.method)
	req.SetRequestURI("http://" + m.addr + m.path)
	if m.closeAfter {
		req.SetConnectionClose()
	}
	if m.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(m.body)
	}
	if err := conn.Send(req, sendTimeout); err != nil {
		return 0, err
	}
	timeout := controlTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = time.Until(d)
	}
	if err := conn.Receive(resp, timeout); err != nil {
		return 0, err
	}
	if into != nil && len(resp.Body()) > 0 {
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return 0, fmt.Errorf("httpengine: cannot decode the answer of %s to %s: %w", m.addr, m.path, err)
		}
	}
	return resp.StatusCode(), nil
}

// wrapNotRun adds engine.ErrNotRun to an error after which nothing was sent.
func wrapNotRun(err error) error {
	if errors.Is(err, httpconn.ErrNotSent) {
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	}
	return err
}

// checkRequestID returns an error unless the answer repeats the id of the request.
func checkRequestID(resp *fasthttp.Response, id string) error {
	if got := resp.Header.Peek(HeaderRequestID); string(got) != id {
		return fmt.Errorf("%w: sent request id %q, received %q", engine.ErrWrongResponse, id, got)
	}
	return nil
}

// statusError returns the error for an answer in which the engine states that it did not run the request, otherwise nil.
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

func loadFromHeader(resp *fasthttp.Response) (engine.Load, bool) {
	var l engine.Load
	raw := resp.Header.Peek(HeaderLoad)
	return l, len(raw) > 0 && json.Unmarshal(raw, &l) == nil
}

// Usage decodes the usage object (token counts) of an answer or of the last event before the end marker.
type Usage struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func newResponse(resp *fasthttp.Response) *engine.Response {
	out := &engine.Response{
		Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...), PromptTokens: -1, OutputTokens: -1,
	}
	out.Load, out.HasLoad = loadFromHeader(resp)
	var u Usage
	if json.Unmarshal(out.Body, &u) == nil && u.Usage != nil {
		out.PromptTokens, out.OutputTokens = u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
	return out
}
