package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/refusal"
)

// ErrCallerGone is the cause of a context that ended because the caller closed its connection.
var ErrCallerGone = errors.New("pipeline: the caller closed the connection")

// ServerConfig are the settings of a server.
type ServerConfig struct {
	First            Handler // the first filter
	MaxBodyBytes     int
	MaxBufferedBytes int64         // all requests in memory; zero: unlimited
	MaxHeaderBytes   int           // request line included
	ReadTimeout      time.Duration // whole request
	WriteTimeout     time.Duration // whole answer; streams extend the deadline as they progress
	IdleTimeout      time.Duration // between requests
	MaxConns         int           // zero: unlimited
	MaxConnsPerIP    int           // zero: unlimited
	// FineRetryAfter sets Retry-After with milliseconds instead of whole seconds, for callers that can read it.
	FineRetryAfter bool
	Log            *slog.Logger
	Metrics        *metrics.Set // nil: a new set that is not exported
}

// Server accepts callers' connections and passes each request to the first filter.
type Server struct {
	cfg   ServerConfig
	http  *fasthttp.Server
	conns connCount
	// rejecting counts the connections above the limits that are being refused.
	rejecting     atomic.Int64
	bufferedBytes atomic.Int64 // bytes read for all requests in flight
	stopping      atomic.Bool
	unused        unusedConns
}

// NewServer returns a server with the settings of cfg.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.refuseUnreadable,
		Name:         "cuminhook",
		// The listener refuses connections above MaxConns with a reason. fasthttp's own limit must be higher, since its
		// workers end shortly after their connections.
		Concurrency:                  2*cfg.MaxConns + 1000,
		ReadBufferSize:               cfg.MaxHeaderBytes,
		ReadTimeout:                  cfg.ReadTimeout,
		WriteTimeout:                 cfg.WriteTimeout,
		IdleTimeout:                  cfg.IdleTimeout,
		MaxRequestBodySize:           cfg.MaxBodyBytes,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true,
		Logger:                       debugLogger{cfg.Log},
	}
	return s
}

// debugLogger logs fasthttp's messages at debug level and without their arguments, which may quote what callers sent.
type debugLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, _ ...any) { l.log.Debug("http server", "message", format) }

// Serve accepts connections on ln until Stop is called.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(listener{ln, s}) }

// BeginStop adds "Connection: close" to every further answer, so that callers and load balancers move to other hosts.
// New connections are still accepted.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// Stop closes the listeners and the connections without a request and waits for open requests and streams to end. It returns an error
// if ctx ends first; requests that are still open are then cut when the process exits.
func (s *Server) Stop(ctx context.Context) error {
	s.BeginStop()
	s.unused.close()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("pipeline: callers' connections were still open when the time to stop ended: %w; raise stop_limit of a gateway, or grace of an entry host", err)
	}
	return nil
}

// handle serves one request: it passes an Exchange through the filters and finishes it unless its answer is detached.
func (s *Server) handle(h *fasthttp.RequestCtx) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ex := &Exchange{HTTP: h, Start: time.Now()}
	conn, watched := h.Conn().(*watchedConn)
	if watched {
		conn.Watch(func() { cancel(ErrCallerGone) })
		ex.OnFinish(func(Outcome) { conn.releaseBuffered() })
	}
	ex.OnFinish(func(Outcome) { releaseBody(h) })
	ex.OnFinish(func(Outcome) { cancel(nil) })
	err := s.serve(ctx, ex)
	if s.stopping.Load() {
		h.Response.SetConnectionClose()
	}
	if err != nil {
		s.refuse(ex, err)
	}
	if !ex.Detached() {
		ex.Finish(Outcome{
			Status: h.Response.StatusCode(), Complete: true, PromptTokens: -1, OutputTokens: -1,
		})
	}
}

// releaseBody frees the buffer of a large body, which fasthttp would keep for the next request on the connection.
func releaseBody(h *fasthttp.RequestCtx) {
	if cap(h.Request.Body()) > smallRequestBytes {
		h.Request.SwapBody(nil)
	}
}

// serve calls the first filter. It turns a panic into a refusal, since fasthttp would let it end the process.
func (s *Server) serve(ctx context.Context, ex *Exchange) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.cfg.Log.Error("panic in a filter", "panic", fmt.Sprint(p), "stack", string(debug.Stack()), "request_id", ex.ID)
			err = internalError(fmt.Errorf("panic: %v", p))
		}
	}()
	return s.cfg.First.Serve(ctx, ex)
}

// internalError returns the refusal for a fault of the gateway; the cause is not disclosed to the caller.
func internalError(error) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.Internal, Run: refusal.RunUnknown, Status: fasthttp.StatusInternalServerError,
		Message: "the gateway failed while it served the request", Remedy: "retry the request if it is idempotent; report the request id",
	}
}

// refuse writes err to the caller as a refusal and finishes the exchange.
func (s *Server) refuse(ex *Exchange, err error) {
	r, ok := refusal.As(err)
	if !ok {
		s.cfg.Log.Error("filter returned an error that is not a refusal", "error", err, "request_id", ex.ID)
		r = internalError(err)
	}
	WriteRefusal(ex.HTTP, r, ex.ID)
	if s.cfg.FineRetryAfter {
		writeFineRetryAfter(ex.HTTP, r)
	}
	if s.stopping.Load() {
		ex.HTTP.Response.SetConnectionClose()
	}
	ex.detached = false
	ex.Finish(Outcome{
		Status: r.Status, Reason: r.Reason, Run: r.Run, Ran: r.Run != refusal.NotRun,
		PromptTokens: -1, OutputTokens: -1,
	})
}

// refuseUnreadable refuses a request that could not be read. It never reached a filter, so it has not run.
func (s *Server) refuseUnreadable(h *fasthttp.RequestCtx, err error) {
	r := &refusal.Error{
		Reason: refusal.BadRequest, Run: refusal.NotRun, Status: fasthttp.StatusBadRequest,
		Message: "the request is not valid HTTP/1.1", Remedy: "correct the request",
	}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Reason, r.Status = refusal.BodyTooLarge, fasthttp.StatusRequestEntityTooLarge
		r.Message = fmt.Sprintf("the body exceeds %d bytes", s.cfg.MaxBodyBytes)
		r.Remedy = "send a shorter body"
	case errors.Is(err, errBuffersFull):
		r.Reason, r.Status, r.RetryAfter = refusal.QueueFull, fasthttp.StatusServiceUnavailable, time.Second
		r.Message, r.Remedy = "too many large requests are in memory", "retry after a short delay"
	case errors.As(err, &small):
		r.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		r.Message = fmt.Sprintf("the request line and header exceed %d bytes", s.cfg.MaxHeaderBytes)
		r.Remedy = "send a shorter header"
	case isTimeout(err) || errors.Is(err, io.ErrUnexpectedEOF) && isTimeout(errors.Unwrap(err)):
		r.Reason, r.Status = refusal.RequestTimeout, fasthttp.StatusRequestTimeout
		r.Message = fmt.Sprintf("the request did not arrive within %s", s.cfg.ReadTimeout)
		r.Remedy = "send the request faster or in smaller parts"
	}
	// The request is counted and logged here, since it does not reach the filters that do this.
	id := uuid.NewString()
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_refusals_total{reason=%q}`, string(r.Reason))).Inc()
	s.cfg.Log.Info("request not read", "request_id", id, "status", r.Status, "reason", string(r.Reason), "run", string(r.Run))
	WriteRefusal(h, r, id)
}
