// Package httpservice is the adapter for plain services that speak HTTP.
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
	HeaderRequestID = "X-Request-Id" // of the request; repeated in the answer
	HeaderNotRun    = "X-Not-Run"    // "1": refused before it had an effect
	HeaderDraining  = "X-Draining"   // "1": the target is leaving; the call was not run
)

const (
	sendTimeout = 2 * time.Second
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 30 * time.Second
)

// errEcho means that the answer belongs to another call.
var errEcho = errors.New("httpservice: the answer carries another request id; the connection was closed")

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Content-Length", "Date", "Server", HeaderRequestID, HeaderNotRun, HeaderDraining,
}

// Client implements service.Client.
type Client struct{ pool httpconn.Pool }

// New returns a client; a nil dial means TCP.
func New(dial httpconn.Dialer) *Client {
	c := &Client{}
	c.pool.Dial = dial
	return c
}

// Close closes the unused connections.
func (c *Client) Close() { c.pool.CloseIdle() }

// Do implements service.Client.
func (c *Client) Do(ctx context.Context, addr string, r *service.Request) (*service.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fill(req, addr, r)
	conn, err := c.pool.Get(ctx, addr, !r.Idempotent)
	if err != nil {
		return nil, notRun(err)
	}
	reuse := false
	defer func() { conn.Release(reuse) }()
	if err := conn.Send(req, sendTimeout); err != nil {
		return nil, notRun(err)
	}
	wait := defaultTimeout
	if d, ok := ctx.Deadline(); ok {
		wait = time.Until(d)
	}
	resp.SkipBody = r.Method == fasthttp.MethodHead
	if err := conn.Receive(resp, wait); err != nil {
		return nil, fmt.Errorf("httpservice: no complete answer from %s: %w", addr, err)
	}
	if string(resp.Header.Peek(HeaderRequestID)) != r.ID {
		return nil, errEcho
	}
	reuse = r.Idempotent && !resp.ConnectionClose()
	if string(resp.Header.Peek(HeaderDraining)) == "1" {
		return nil, fmt.Errorf("%w: %w", service.ErrDraining, service.ErrNotRun)
	}
	if string(resp.Header.Peek(HeaderNotRun)) == "1" {
		return nil, service.ErrNotRun
	}
	return whole(resp), nil
}

func fill(req *fasthttp.Request, addr string, r *service.Request) {
	req.Header.SetMethod(r.Method)
	// The path was checked for the caller's key in this form; it must not change afterwards.
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

func whole(resp *fasthttp.Response) *service.Response {
	out := &service.Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for name, value := range resp.Header.All() {
		if !hop(string(name)) {
			out.Headers = append(out.Headers, service.Header{Name: string(name), Value: string(value)})
		}
	}
	return out
}

func hop(name string) bool {
	for _, h := range hopHeaders {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}

func notRun(err error) error {
	if errors.Is(err, httpconn.ErrNotSent) {
		return fmt.Errorf("%w: %w", service.ErrNotRun, err)
	}
	return err
}
