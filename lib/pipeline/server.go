package pipeline

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/membudget"
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
	// HeaderTimeout bounds the arrival of the header; ReadTimeout then bounds that of the body. Zero: ReadTimeout bounds both, and the
	// first byte on a new connection.
	HeaderTimeout time.Duration
	// RequestLineBytes is the size of the request line that is permitted beside MaxHeaderBytes.
	RequestLineBytes int
	MaxHeaderLines   int // zero: as many as the header has room for
	// MinBodyRate extends ReadTimeout for long bodies: it is the rate, in bytes per second, that a body must keep up after ReadTimeout.
	// Zero: ReadTimeout is not extended.
	MinBodyRate int
	// Memory is the budget of the process for callers; nil: one of MaxBufferedBytes that counts bodies only.
	Memory *membudget.Budget
	// Owner returns who holds the memory of a request with a large body; nil or empty: the caller's address.
	Owner func(h *fasthttp.RequestHeader) string
	// FineRetryAfter sets Retry-After with milliseconds instead of whole seconds, for callers that can read it.
	FineRetryAfter bool
	Log            *slog.Logger
	Metrics        *metrics.Set // nil: a new set that is not exported
}

// keptShare is the part of the budget that buffers may take which are kept for reuse. It is far below the garbage that they save.
const keptShare = 0.2

// serverName is stated in responses whose target states none.
const serverName = "cuminhook"

// Limits are the limits of requests that can change while the server runs.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration

	requestLineBytes int
}

// headBuffer returns the size of the buffer that holds a head.
func (l *Limits) headBuffer() int { return l.MaxHeaderBytes + l.requestLineBytes }

// Server accepts callers' connections and passes each request to the first filter. It uses fasthttp's codec but not its server: that
// allocates the memory of a request before anything can be refused, and keeps a buffer for each idle connection.
type Server struct {
	cfg      ServerConfig
	limits   atomic.Pointer[Limits]
	memory   *membudget.Budget
	conns    connSet
	buffers  bodyBuffers
	readers  readerPool
	writers  writerPool
	contexts sync.Pool
	// rejecting counts the connections above the limits that are being refused.
	rejecting atomic.Int64
	stopping  atomic.Bool
}

// NewServer returns a server with the settings of cfg.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Server{cfg: cfg, memory: cfg.Memory}
	if s.memory != nil {
		s.buffers.limit = int64(keptShare * float64(s.memory.Usage().Limit))
	} else {
		s.memory = membudget.New(membudget.Config{Limit: cfg.MaxBufferedBytes})
	}
	s.SetLimits(Limits{
		MaxHeaderBytes: cfg.MaxHeaderBytes, MaxBodyBytes: cmp.Or(cfg.MaxBodyBytes, fasthttp.DefaultMaxRequestBodySize),
		HeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout,
	})
	return s
}

// SetLimits replaces the limits. They apply to the requests that begin afterwards.
func (s *Server) SetLimits(l Limits) {
	l.requestLineBytes = s.cfg.RequestLineBytes
	s.limits.Store(&l)
}

// Trim lets go of memory that is kept for reuse and was not needed since the last call. It is called regularly.
func (s *Server) Trim() { s.buffers.trim() }

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return s.conns.count() }

// countClosed counts a connection that was closed or refused because of a limit.
func (s *Server) countClosed(reason string) {
	s.cfg.Metrics.GetOrCreateCounter(`cuminhook_caller_connections_closed_total{reason="` + reason + `"}`).Inc()
}

// debugLogger logs fasthttp's messages at debug level and without their arguments, which may quote what callers sent.
type debugLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, _ ...any) { l.log.Debug("http server", "message", format) }

// BeginStop adds "Connection: close" to every further answer, so that callers and load balancers move to other hosts.
// New connections are still accepted.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// Stop closes the listeners and the connections without a request and waits for open requests and streams to end. It returns an error
// if ctx ends first; requests that are still open are then cut when the process exits.
func (s *Server) Stop(ctx context.Context) error {
	s.BeginStop()
	select {
	case <-s.conns.close():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("pipeline: callers' connections were still open when the time to stop ended: %w; raise stop_limit of a gateway, or grace of an entry host", ctx.Err())
	}
}

// handle serves one request: it passes an Exchange through the filters and finishes it unless its answer is detached, which it returns.
func (s *Server) handle(h *fasthttp.RequestCtx) (detached bool) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ex := &Exchange{HTTP: h, Start: time.Now()}
	if conn, watched := h.Conn().(*watchedConn); watched {
		ctx = membudget.NewContext(ctx, conn.account)
		conn.Watch(func() { cancel(ErrCallerGone) })
		ex.OnFinish(func(Outcome) { conn.account.ReleaseAll(membudget.Bodies) })
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
	if ex.OnHeader != nil {
		ex.OnHeader(err)
	}
	if !ex.Detached() {
		ex.Finish(Outcome{
			Status: h.Response.StatusCode(), Complete: true, PromptTokens: -1, OutputTokens: -1,
		})
	}
	return ex.Detached()
}

// releaseBody lets go of a large body, whose memory is not counted any more.
func releaseBody(h *fasthttp.RequestCtx) {
	if len(h.Request.Body()) > membudget.SmallBytes {
		h.Request.ResetBody()
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
	limits, closed := s.limits.Load(), "invalid"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		closed = "body_too_large"
		r.Reason, r.Status = refusal.BodyTooLarge, fasthttp.StatusRequestEntityTooLarge
		r.Message = fmt.Sprintf("the body exceeds %d bytes", limits.MaxBodyBytes)
		r.Remedy = "send a shorter body"
	case errors.Is(err, membudget.ErrFull), errors.Is(err, errShed):
		closed = "memory"
		r.Reason, r.Status, r.RetryAfter = refusal.QueueFull, fasthttp.StatusServiceUnavailable, time.Second
		r.Message, r.Remedy = "too many large requests are in memory", "retry after a short delay"
	case errors.Is(err, errTooManyLines):
		closed = "header_lines"
		r.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		r.Message, r.Remedy = "the header or trailer has more lines than permitted", "send fewer lines"
	case errors.As(err, &small), errors.Is(err, errHeadTooLarge):
		closed = "header_too_large"
		r.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		r.Message = fmt.Sprintf("the header exceeds %d bytes", limits.MaxHeaderBytes)
		r.Remedy = "send a shorter header"
	case isTimeout(err):
		closed = "timeout"
		r.Reason, r.Status = refusal.RequestTimeout, fasthttp.StatusRequestTimeout
		r.Message, r.Remedy = "the request did not arrive in time", "send the request faster or in smaller parts"
	}
	if !errors.Is(err, errShed) { // counted when it was shed
		s.countClosed(closed)
	}
	// The request is counted and logged here, since it does not reach the filters that do this.
	id := uuid.NewString()
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_refusals_total{reason=%q}`, string(r.Reason))).Inc()
	s.cfg.Log.Info("request not read", "request_id", id, "status", r.Status, "reason", string(r.Reason), "run", string(r.Run))
	WriteRefusal(h, r, id)
	if s.cfg.FineRetryAfter {
		writeFineRetryAfter(h, r)
	}
}
