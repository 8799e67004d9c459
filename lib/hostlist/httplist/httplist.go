// Package httplist reads the platform's host list as JSON over HTTP.
package httplist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/httpconn"
)

const (
	// callTimeout is the timeout of a call whose context has no earlier deadline.
	callTimeout = time.Second
	// maxIdleTime is shorter than the service's idle timeout, so that no call meets the close of its connection.
	maxIdleTime = 5 * time.Second
)

// Path is the URL path of the list.
const Path = "/v1/hosts"

// List implements hostlist.List.
type List struct {
	pool httpconn.Pool
	addr string
}

// New returns the list of the platform whose base URL is base, such as http://127.0.0.1:7400.
func New(base string) (*List, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("httplist: %q is not a base URL; write it as http://IP:port", base)
	}
	return &List{addr: fasthttp.AddMissingPort(u.Host, false), pool: httpconn.Pool{IdleTimeout: maxIdleTime}}, nil
}

// Hosts implements hostlist.List.
func (l *List) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("httplist: %w; keep the present list", err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + l.addr + Path)
	if err := l.pool.CallBy(ctx, deadline, l.addr, req, resp); err != nil {
		return nil, fmt.Errorf("httplist: %w; keep the present list", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("httplist: status %d; keep the present list", resp.StatusCode())
	}
	var hosts []hostlist.Host
	if err := json.Unmarshal(resp.Body(), &hosts); err != nil {
		return nil, fmt.Errorf("httplist: %w; keep the present list", err)
	}
	return hosts, nil
}
