// Package httpservice is the HTTP client for plain services.
package httpservice

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/service"
)

// Header fields of the service protocol.
const (
	HeaderRequestID = "X-Request-Id" // id of the request, which the service repeats in the answer
	HeaderNotRun    = "X-Not-Run"    // "1": the request was refused before it had an effect
	HeaderDraining  = "X-Draining"   // "1": the target is draining and did not run the request
)

const (
	sendTimeout = 2 * time.Second
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 30 * time.Second
)

// errWrongRequestID means that the answer belongs to another request.
var errWrongRequestID = errors.New("httpservice: the answer carries another request id; the connection was closed")

// hopHeaders are header fields of an answer that are not passed on to the caller: hop-by-hop fields, fields that the gateway
// sets itself, and those of the service protocol.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Content-Length", "Date", "Server", HeaderRequestID, HeaderNotRun, HeaderDraining,
}

// Client implements service.Client over HTTP.
type Client struct{ pool httpconn.Pool }

// New returns a client that connects with dial; nil means TCP.
func New(dial httpconn.Dialer) *Client {
	c := &Client{}
	c.pool.Dial = dial
	return c
}

// Close closes the idle connections of the pool.
func (c *Client) Close() { c.pool.CloseIdle() }

// Do implements service.Client.
func (c *Client) Do(ctx context.Context, addr string, r *service.Request) (*service.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, addr, r)
	conn, err := c.pool.Get(ctx, addr, httpconn.MaxIdle(r.Idempotent))
	if err != nil {
		return nil, wrapNotRun(err)
	}
	reuse := false
	defer func() { conn.Release(reuse) }()
	if err := conn.Send(req, sendTimeout); err != nil {
		return nil, wrapNotRun(err)
	}
	timeout := defaultTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = time.Until(d)
	}
	resp.SkipBody = r.Method == fasthttp.MethodHead
	if err := conn.Receive(resp, timeout); err != nil {
		return nil, fmt.Errorf("httpservice: no complete answer from %s: %w", addr, err)
	}
	if string(resp.Header.Peek(HeaderRequestID)) != r.ID {
		return nil, errWrongRequestID
	}
	reuse = r.Idempotent && !resp.ConnectionClose()
	if string(resp.Header.Peek(HeaderDraining)) == "1" {
		return nil, fmt.Errorf("%w: %w", service.ErrDraining, service.ErrNotRun)
	}
	if string(resp.Header.Peek(HeaderNotRun)) == "1" {
		return nil, service.ErrNotRun
	}
	return newResponse(resp), nil
}

func fillRequest(req *fasthttp.Request, addr string, r *service.Request) {
	req.Header.SetMethod(r.Method)
	// The path was checked not to contain the caller's key; normalising it afterwards could defeat that check.
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + addr + r.Path)
	req.Header.SetNoDefaultContentType(true)
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderRequestID, r.ID)
	req.SetBodyRaw(r.Body)
	if !r.Idempotent {
		req.SetConnectionClose()
	}
}

func newResponse(resp *fasthttp.Response) *service.Response {
	out := &service.Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for name, value := range resp.Header.All() {
		if !isHopHeader(string(name)) {
			out.Headers = append(out.Headers, service.Header{Name: string(name), Value: string(value)})
		}
	}
	return out
}

func isHopHeader(name string) bool {
	for _, h := range hopHeaders {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}

// wrapNotRun adds service.ErrNotRun to an error after which nothing was sent.
func wrapNotRun(err error) error {
	if errors.Is(err, httpconn.ErrNotSent) {
		return fmt.Errorf("%w: %w", service.ErrNotRun, err)
	}
	return err
}
