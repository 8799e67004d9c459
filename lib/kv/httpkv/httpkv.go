// Package httpkv implements kv.Store over HTTP and JSON.
package httpkv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/kv"
)

const (
	// defaultTimeout is the default of Store.CallTimeout.
	defaultTimeout = time.Second
	// maxIdleTime is shorter than the service's idle timeout, so that no write is sent on a connection that the
	// service is closing; the outcome of that write would be unknown.
	maxIdleTime = 5 * time.Second
	// maxResponseBytes leaves room for a list of several values of kv.MaxValueBytes in base64.
	maxResponseBytes = 64 << 20
	// maxConns bounds the calls that wait at the same time.
	maxConns = 64
)

// Request is the body of a call to the service. Each call uses some of the fields.
type Request struct {
	Key     string     `json:"key,omitempty"`
	Value   []byte     `json:"value,omitempty"`
	Version kv.Version `json:"version,omitempty"` // version to expect, or version after which to wait
	Lease   kv.LeaseID `json:"lease,omitempty"`
	MS      int64      `json:"ms,omitempty"` // time to live of a lease, or time to wait
}

// Response is the body of the service's response.
type Response struct {
	Error   string     `json:"error,omitempty"`
	Entries []kv.Entry `json:"entries,omitempty"`
	Version kv.Version `json:"version,omitempty"`
	Lease   kv.LeaseID `json:"lease,omitempty"`
}

// ErrorsByName maps the protocol's error names to the errors of package kv.
var ErrorsByName = map[string]error{
	"not_found":   kv.ErrNotFound,
	"conflict":    kv.ErrConflict,
	"unavailable": kv.ErrUnavailable,
	"lease_lost":  kv.ErrLeaseLost,
	"too_large":   kv.ErrTooLarge,
}

// PathPrefix is the URL path before the name of a call.
const PathPrefix = "/v1/kv/"

// Store implements kv.Store. It never retries a call, and it closes the connection of a call that missed its
// deadline.
type Store struct {
	pool httpconn.Pool
	addr string
	// CallTimeout bounds a call whose context has no earlier deadline. Wait may take longer by the time it waits. Set it
	// before the first call.
	CallTimeout time.Duration
}

// New returns a store for the service at base, such as http://127.0.0.1:7400.
func New(base string) (*Store, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("httpkv: %q is not a base URL; write it as http://IP:port", base)
	}
	return &Store{
		addr: fasthttp.AddMissingPort(u.Host, false), CallTimeout: defaultTimeout,
		pool: httpconn.Pool{IdleTimeout: maxIdleTime, MaxResponse: maxResponseBytes, Limit: func(string) int { return maxConns }},
	}, nil
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	return firstEntry(s.call(ctx, "get", Request{Key: key}, kv.ErrUnavailable))
}

// Wait implements kv.Store.
func (s *Store) Wait(ctx context.Context, key string, after kv.Version, wait time.Duration) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.CallTimeout)
	defer cancel()
	return firstEntry(s.call(ctx, "wait", Request{Key: key, Version: after, MS: wait.Milliseconds()}, kv.ErrUnavailable))
}

func firstEntry(r Response, err error) (kv.Entry, error) {
	if err != nil || len(r.Entries) == 0 {
		return kv.Entry{}, err
	}
	return r.Entries[0], nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	r, err := s.call(ctx, "list", Request{Key: prefix}, kv.ErrUnavailable)
	return r.Entries, err
}

// Put implements kv.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	r, err := s.call(ctx, "put", Request{Key: key, Value: value, Version: expect, Lease: lease}, kv.ErrUnknown)
	return r.Version, err
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Version) error {
	_, err := s.call(ctx, "delete", Request{Key: key, Version: expect}, kv.ErrUnknown)
	return err
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	r, err := s.call(ctx, "grant", Request{MS: ttl.Milliseconds()}, kv.ErrUnknown)
	return r.Lease, err
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := s.call(ctx, "keepalive", Request{Lease: id}, kv.ErrUnavailable)
	return err
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	_, err := s.call(ctx, "revoke", Request{Lease: id}, kv.ErrUnknown)
	return err
}

// call sends one request. lost is the error to return when the request may have reached the service and no valid
// response came back.
func (s *Store) call(ctx context.Context, name string, in Request, lost error) (Response, error) {
	var out Response
	deadline := time.Now().Add(s.CallTimeout)
	if d, ok := ctx.Deadline(); ok && (name == "wait" || d.Before(deadline)) {
		deadline = d
	}
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return out, fmt.Errorf("%w: %s: deadline passed before the call", kv.ErrUnavailable, name)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("httpkv: %s: %w", name, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.addr + PathPrefix + name)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := s.pool.CallBy(ctx, deadline, s.addr, req, resp); err != nil {
		if errors.Is(err, httpconn.ErrNotSent) {
			lost = kv.ErrUnavailable
		}
		return out, fmt.Errorf("%w: %s: %w", lost, name, err)
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil || resp.StatusCode() != fasthttp.StatusOK && out.Error == "" {
		return out, fmt.Errorf("%w: %s: unexpected response with status %d", lost, name, resp.StatusCode())
	}
	if out.Error != "" {
		known, ok := ErrorsByName[out.Error]
		if !ok {
			return out, fmt.Errorf("%w: %s: %s", lost, name, out.Error)
		}
		return out, known
	}
	return out, nil
}
