// Package passon passes requests on to other hosts while this host is cut off from the targets. Such a host still has its callers, whose
// connections and load balancer know nothing of the cut.
//
// A request goes one hop: to a host that reaches targets, with a key that only hosts know, with what is left of its time, and uncharged there.
package passon

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/stopping"
)

const (
	// maxHosts bounds the hosts that are asked to take one request. A host that cannot refuses within a round trip, and more than half of the
	// hosts may be cut off.
	maxHosts = 8
	// maxConnsPerHost bounds the connections to each other host.
	maxConnsPerHost = 64
	// minTimeLeft is the least time that a request must have left to be passed on after an attempt of this host.
	minTimeLeft = 20 * time.Millisecond
	// retryAfter is the Retry-After of a host without a path.
	retryAfter = 500 * time.Millisecond
	// writeTimeout bounds each write to the caller, so that a caller that stops reading is detected.
	writeTimeout = 5 * time.Second
)

// Config are the settings of the filter.
type Config struct {
	Protocol passthrough.HostProtocol
	// Pass reports whether a request is to be passed on, and Cut whether this host is cut off from the targets while others reach them.
	Pass, Cut func() bool
	Hosts     func() []Host // the other hosts that may take requests
	// Divert returns the hosts that take requests of the route while this one may send none to its targets; nil: it may.
	Divert  func(*catalog.Route) []Host
	MaxOpen int64  // most requests that are passed on at the same time
	OnKey   func() // called when a host did not know its key: it may have started anew
	Retries *retry.Budget
	Stop    *stopping.Stop
	Dial    httpconn.Dialer // nil: TCP
	Log     *slog.Logger
	Metrics *metrics.Set
}

type filter struct {
	next   pipeline.Handler
	cfg    Config
	client *forward.Client
	hosts  hosts
	open   atomic.Int64
	lastID atomic.Uint64
	passed func(result string) *metrics.Counter
}

// New returns the filter. Requests that other hosts have passed on go to next.
func New(next pipeline.Handler, cfg Config) pipeline.Handler {
	return &filter{
		next: next, cfg: cfg, hosts: hosts{known: map[string]*hostState{}},
		client: forward.NewClient(forward.Config{
			Protocol: answers{cfg.Protocol}, Dial: cfg.Dial, Limit: func(string) int { return maxConnsPerHost },
		}),
		passed: func(result string) *metrics.Counter {
			return cfg.Metrics.GetOrCreateCounter(`cuminhook_passed_requests_total{result="` + result + `"}`)
		},
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	if ex.Passed {
		return f.next.Serve(ctx, ex)
	}
	if hosts := f.cfg.Divert(ex.Matched); len(hosts) > 0 {
		if err := f.pass(ctx, ex, hosts, false); !errors.Is(err, errNotTaken) {
			return err
		}
	}
	if f.cfg.Pass() {
		if err := f.pass(ctx, ex, f.cfg.Hosts(), false); !errors.Is(err, errNotTaken) {
			return err
		}
		if f.cfg.Cut() {
			return noPath()
		}
	}
	err := f.next.Serve(ctx, ex)
	r, refused := refusal.As(err)
	if !refused || !f.cfg.Cut() || time.Until(ex.AnswerBy) < minTimeLeft || ctx.Err() != nil {
		return err
	}
	if r.Run != refusal.NotRun && (!ex.Matched.Repeatable() || !f.cfg.Retries.Allow(ex.Matched.Split[0].Service)) {
		return err
	}
	passErr := f.pass(ctx, ex, f.cfg.Hosts(), true)
	if errors.Is(passErr, errNotTaken) || r.Run != refusal.NotRun && isNotRun(passErr) {
		return err
	}
	return passErr
}

// isNotRun reports whether the error refuses a request that has certainly not run.
func isNotRun(err error) bool {
	r, refused := refusal.As(err)
	return refused && r.Run == refusal.NotRun
}

// errNotTaken means that no host took the request.
var errNotTaken = errors.New("passon: no other host takes the request")

// pass passes the request on to one of the hosts. counted states that this host has counted it for the budget of retries.
func (f *filter) pass(ctx context.Context, ex *pipeline.Exchange, all []Host, counted bool) error {
	if f.open.Add(1) > f.cfg.MaxOpen {
		f.open.Add(-1)
		return errNotTaken
	}
	ctx, release := f.cfg.Stop.Bound(ctx)
	ctx, cancel := context.WithDeadline(ctx, ex.AnswerBy)
	p := &passage{filter: f, ex: ex, ctx: ctx, end: func() { cancel(); release(); f.open.Add(-1) }}
	f.hosts.retain(f.cfg.Hosts())
	var tried []string
	mayHaveRun := false // at a host that gave no answer
	for len(tried) < maxHosts {
		host, ok := f.hosts.pick(all, tried, time.Now())
		if !ok {
			break
		}
		tried = append(tried, host.Name)
		a, outcome, err := p.send(host, counted)
		f.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "passed on", slog.String("request_id", ex.ID), slog.String("peer", host.Name),
			slog.String("outcome", outcome.String()), slog.Bool("counted", counted), slog.String("error", errorText(err)))
		f.passed(outcome.String()).Inc()
		if outcome == forward.Answered || ctx.Err() == nil {
			f.hosts.took(host.Name, outcome == forward.Answered, time.Now())
		}
		switch outcome {
		case forward.Answered:
			if err := p.deliver(host, a); !mayHaveRun || !isNotRun(err) {
				return err
			}
			return f.unknown(ctx)
		case forward.NotRun:
			_, _ = a.ReadAll()
		case forward.Unknown:
			if ctx.Err() != nil || !ex.Matched.Repeatable() || !f.cfg.Retries.Allow(ex.Matched.Split[0].Service) {
				f.hosts.ended(host.Name)
				p.end()
				return f.unknown(ctx)
			}
			mayHaveRun = true
		}
		f.hosts.ended(host.Name)
		if ctx.Err() != nil {
			break
		}
	}
	p.end()
	if mayHaveRun {
		return f.unknown(ctx)
	}
	return errNotTaken
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// unknown returns the refusal of a request whose outcome at another host is unknown.
func (f *filter) unknown(ctx context.Context) error {
	r := &refusal.Error{
		Reason: refusal.TargetFailed, Run: refusal.RunUnknown, Status: fasthttp.StatusBadGateway,
		Message: "the host that took the request sent no whole answer", Remedy: "repeat the request only if it is idempotent",
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, pipeline.ErrCallerGone):
		r.Reason = refusal.CallerGone
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, stopping.ErrCut):
		r.Reason, r.Status = refusal.TargetTimeout, fasthttp.StatusGatewayTimeout
	}
	return r
}

// passage is one request on its way over another host.
type passage struct {
	*filter
	ex  *pipeline.Exchange
	ctx context.Context
	end func()
}

// send sends the request to a host and reads the header of its answer.
func (p *passage) send(host Host, counted bool) (*forward.Answer, forward.Outcome, error) {
	h := &p.ex.HTTP.Request.Header
	dropFields(h)
	id := strconv.FormatUint(p.lastID.Add(1), 36)
	head := p.cfg.Protocol.AppendPassed(nil, h, time.Until(p.ex.AnswerBy))
	head = appendField(appendField(head, fieldKey, host.Key), fieldID, id)
	if counted {
		head = appendField(head, fieldCounted, "1")
	}
	a, outcome, err := p.client.Do(p.ctx, &forward.Request{
		Addr: host.Addr, ID: id, Head: head, Method: string(h.Method()), Body: p.ex.HTTP.Request.Body(),
		RunOnce: p.ex.Matched.Kind == catalog.NonIdempotent,
	})
	if outcome == forward.Unknown && errors.Is(err, forward.ErrNoAnswer) { // it did not take the key
		p.cfg.OnKey()
		return a, forward.NotSent, err
	}
	return a, outcome, err
}

func appendField(dst []byte, key, value string) []byte {
	dst = append(append(dst, key...), ": "...)
	return append(append(dst, value...), "\r\n"...)
}

// deliver passes the answer of a host on to the caller. A stream is read while the server writes it.
func (p *passage) deliver(host Host, a *forward.Answer) error {
	finish := func() {
		p.hosts.ended(host.Name)
		p.end()
	}
	status, result := a.Header.StatusCode(), string(a.Header.Peek(fieldResult))
	isStream := result == resultAnswered && p.ex.Matched.Kind == catalog.Stream && status == fasthttp.StatusOK
	var body []byte
	if !isStream {
		var err error
		body, err = a.ReadAll()
		finish()
		if err != nil {
			return p.unknown(p.ctx)
		}
		if result == resultRefused {
			if r, ok := pipeline.DecodeRefusal(&a.Header, body); ok {
				return r
			}
		}
	}
	resp := &p.ex.HTTP.Response
	resp.SetStatusCode(status)
	resp.Header.SetNoDefaultContentType(true)
	for key, value := range a.Header.All() {
		if name := string(key); !pipeline.IsHopByHop(name) && name != fieldResult && name != fieldID {
			resp.Header.AddBytesKV(key, value)
		}
	}
	if !isStream {
		resp.SetBodyRaw(body)
		p.ex.Finish(pipeline.Outcome{
			Status: status, Complete: true, Ran: result == resultAnswered, PromptTokens: -1, OutputTokens: -1, Body: body,
		})
		return nil
	}
	p.ex.Detach()
	resp.SetBodyStream(&stream{passage: p, answer: a, conn: p.ex.HTTP.Conn(), ended: finish}, -1)
	return nil
}

// stream is the body of a stream that another host passes back. The server writes the result of each Read to the caller at once.
type stream struct {
	*passage
	answer    *forward.Answer
	conn      net.Conn
	ended     func()
	firstByte time.Duration
	complete  bool
	err       error
	closed    bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.answer.Read(p)
	now := time.Now()
	if n > 0 && s.firstByte == 0 {
		s.firstByte = now.Sub(s.ex.Start)
	}
	_ = s.conn.SetWriteDeadline(now.Add(writeTimeout)) // fails only on a closed connection
	switch {
	case errors.Is(err, io.EOF):
		s.complete = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// CloseWithError is called by the server when the body was written completely, or with the error that ended it.
func (s *stream) CloseWithError(err error) error {
	if s.closed {
		return nil
	}
	s.closed = true
	complete := err == nil && s.complete
	s.answer.Close(complete)
	out := pipeline.Outcome{
		Status: fasthttp.StatusOK, Complete: complete, Ran: true, PromptTokens: -1, OutputTokens: -1, FirstToken: s.firstByte,
	}
	if !complete {
		out.Reason, out.Run = refusal.StreamBroken, refusal.RunUnknown
		if s.err == nil || errors.Is(context.Cause(s.ctx), pipeline.ErrCallerGone) {
			out.Reason = refusal.CallerGone
		}
	}
	s.ended()
	s.ex.Finish(out)
	return nil
}
