// Package requestid is the filter that gives each exchange its id: the caller's, or a new one.
package requestid

import (
	"bytes"
	"context"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
)

// maxLength bounds a caller's id in bytes.
const maxLength = 64

// Config are the settings of the filter.
type Config struct {
	// NewID makes an id; nil means a random UUID.
	NewID func() string
}

type filter struct {
	next pipeline.Handler
	cfg  Config
}

// New returns the filter.
func New(next pipeline.Handler, cfg Config) pipeline.Handler {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	return &filter{next, cfg}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	h := &ex.HTTP.Request.Header
	if id := h.Peek(pipeline.RequestIDHeader); usable(id, h) {
		ex.ID = string(id)
	} else {
		ex.ID = f.cfg.NewID()
	}
	ex.HTTP.Response.Header.Set(pipeline.RequestIDHeader, ex.ID)
	return f.next.Serve(ctx, ex)
}

// usable accepts ids that are safe in logs and headers and hold no credential: the id is logged and sent
// to targets.
func usable(id []byte, h *fasthttp.RequestHeader) bool {
	if len(id) == 0 || len(id) > maxLength {
		return false
	}
	for _, c := range id {
		word := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !word && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	for _, cred := range pipeline.Credentials(h) {
		if bytes.Contains(id, cred) {
			return false
		}
	}
	return true
}
