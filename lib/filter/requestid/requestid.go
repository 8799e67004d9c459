// Package requestid is the filter that sets the request id of each exchange: the caller's if it is safe to use, otherwise
// a new one.
package requestid

import (
	"bytes"
	"context"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
)

// maxIDBytes is the longest request id accepted from a caller.
const maxIDBytes = 64

// Config holds the settings of the filter.
type Config struct {
	// NewID generates a request id; nil means a random UUID.
	NewID func() string
}

type filter struct {
	next pipeline.Handler
	cfg  Config
}

// New returns the filter; it passes exchanges on to next.
func New(next pipeline.Handler, cfg Config) pipeline.Handler {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	return &filter{next, cfg}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	h := &ex.HTTP.Request.Header
	if id := h.Peek(pipeline.RequestIDHeader); isSafeID(id, h) {
		ex.ID = string(id)
	} else {
		ex.ID = f.cfg.NewID()
	}
	ex.HTTP.Response.Header.Set(pipeline.RequestIDHeader, ex.ID)
	return f.next.Serve(ctx, ex)
}

// isSafeID reports whether a caller's id may be logged and sent to targets: it has only characters that are safe in log
// lines and header fields, and contains none of the request's credentials.
func isSafeID(id []byte, h *fasthttp.RequestHeader) bool {
	if len(id) == 0 || len(id) > maxIDBytes {
		return false
	}
	for _, c := range id {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	for _, credential := range pipeline.Credentials(h) {
		if bytes.Contains(id, credential) {
			return false
		}
	}
	return true
}
