// Package httpweights is the client for the platform's weight store, which speaks HTTP with JSON.
package httpweights

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/weights"
)

// Paths of the protocol, each followed by the path-escaped name of the artifact.
const (
	// PathArtifacts answers GET with the artifact as JSON.
	PathArtifacts = "/v1/artifacts/"
	// PathLoads answers POST once the artifact has been transferred.
	PathLoads = "/v1/loads/"
)

// lookupTimeout and loadTimeout bound requests whose context has no earlier deadline.
const (
	lookupTimeout    = time.Second
	loadTimeout      = 10 * time.Minute
	maxResponseBytes = 64 << 10
)

// Store implements weights.Store over HTTP.
type Store struct {
	pool httpconn.Pool
	addr string
}

var _ weights.Store = (*Store)(nil)

// New returns a client for the store at the base URL, which must have the form http://IP:port.
func New(base string) (*Store, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("httpweights: %q is not a base URL; write it as http://IP:port", base)
	}
	return &Store{addr: fasthttp.AddMissingPort(u.Host, false), pool: httpconn.Pool{MaxResponse: maxResponseBytes}}, nil
}

// Lookup implements weights.Store.
func (s *Store) Lookup(ctx context.Context, name string) (weights.Artifact, error) {
	var a weights.Artifact
	body, err := s.request(ctx, fasthttp.MethodGet, PathArtifacts, name, lookupTimeout)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("%w: %s: %w", weights.ErrUnavailable, name, err)
	}
	return a, nil
}

// Load transfers an artifact and returns when the transfer is complete. Engines use it.
func (s *Store) Load(ctx context.Context, name string) error {
	_, err := s.request(ctx, fasthttp.MethodPost, PathLoads, name, loadTimeout)
	return err
}

func (s *Store) request(ctx context.Context, method, path, name string, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.addr + path + url.PathEscape(name))
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := s.pool.CallBy(ctx, deadline, s.addr, req, resp); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", weights.ErrUnavailable, name, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", weights.ErrNotFound, name)
	}
	return nil, fmt.Errorf("%w: %s: status %d", weights.ErrUnavailable, name, resp.StatusCode())
}
