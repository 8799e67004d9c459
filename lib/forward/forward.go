// Package forward sends a request unchanged to one target and reads the answer. It makes a single attempt and classifies
// its outcome; packages attempt and retry decide whether another attempt is allowed.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpanswer"
	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/membudget"
	"cuminhook.org/cuminhook/lib/passthrough"
)

// Outcome tells whether a target ran the request of an attempt, as far as this is known.
type Outcome uint8

// Outcomes of an attempt without an answer are Unknown unless the request provably did not run.
const (
	Unknown  Outcome = iota // sent without a usable answer: the target may have run the request
	NotSent                 // nothing was written to the target
	NotRun                  // the target states that it did not run the request
	Answered                // the target answered
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "not_sent", "not_run", "answered"}[o]
}

// Errors of reading an answer.
var (
	ErrForeignAnswer = errors.New("forward: the answer belongs to another request")
	ErrIncomplete    = errors.New("forward: the answer's body was not read completely")
	ErrTooLarge      = httpanswer.ErrTooLarge
	ErrNoAnswer      = errors.New("forward: the bytes received do not state that a target processed or rejected the request")
)

const (
	// dialTimeout is short because targets are at most a few milliseconds away, and a lost packet would delay the
	// connection by a second.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is below the idle timeouts of targets that do not state one.
	idleTimeout = 2 * time.Second
	// maxIdle is the longest time that a connection is kept idle for a target that states a longer idle timeout. A
	// connection that was not needed for so long is not worth its share of the target's limit.
	maxIdle = 5 * time.Second
	// runOnceMaxIdle is how long ago a connection may have carried an answer to be reused for a request that must run once.
	// Whether such a request ran is unknown if its target has died meanwhile; a failed dial tells that it did not.
	runOnceMaxIdle = 500 * time.Millisecond
	// receiveBuffer bounds what a target can send ahead of a caller that reads slowly: bytes in the kernel count as the process's memory,
	// and the kernel's own limit is 6 MiB a connection.
	receiveBuffer = 128 << 10
	// maxSkippedAnswers bounds the late answers to earlier requests that are skipped on one connection.
	maxSkippedAnswers = 2
	// maxBodyBytes bounds the bodies that are read whole or skipped.
	maxBodyBytes = 4 << 20
	// minAsyncBodyBytes is the size from which a request body is written while the answer is awaited, since a target may
	// answer before it has read the whole body. Smaller bodies fit into the socket buffers.
	minAsyncBodyBytes = 16 << 10
)

// Request is the request of one attempt.
type Request struct {
	Addr    string // IP:port of the target
	ID      string // id that the answer must state; only the first answer on a connection may lack it
	Head    []byte // request line and header without the fields that frame the body
	Method  string
	Body    []byte
	RunOnce bool   // the request must not be sent again once it may have run
	OnSend  func() // called when the target is connected, before the request is written; may be nil
	// Earlier are the answers to earlier attempts of the request. Their connections are not used again: a target may repeat
	// such an answer, and its id would be that of this attempt.
	Earlier []*Answer
}

// Answer is a target's answer. Its header has been read, its body is read by Read or ReadAll.
type Answer struct {
	Header fasthttp.ResponseHeader
	Stated passthrough.Answer
	// Length is the length of the body in bytes, or -1 if it is not known in advance.
	Length int64
	// Chunked states that the body is chunked, so that its end is explicit.
	Chunked bool

	conn     *httpconn.Conn
	body     io.Reader
	reusable bool               // the connection may be reused after the body
	account  *membudget.Account // of the caller's connection; nil: none
	done     <-chan struct{}    // closed when the request ends
	upload   *upload            // of the request body
}

// Client sends requests on pooled connections. It is safe for concurrent use.
type Client struct {
	cfg  Config
	pool *httpconn.Pool
}

// Config are the settings of a Client.
type Config struct {
	Protocol passthrough.Protocol // reads answer headers
	Dial     httpconn.Dialer      // nil: TCP
	// Limit returns the most connections that this host may have to a target's address; nil: no limit.
	Limit func(addr string) int
	// OnRefused is called when a target at the address closed a new connection before it answered anything, with the
	// number of connections that this host had to it; may be nil.
	OnRefused func(addr string, open int)
	// OnDial is called after each try to open a connection, unless its request ended first; may be nil.
	OnDial  func(addr string, err error)
	Metrics *metrics.Set // may be nil
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg}
	c.pool = &httpconn.Pool{Dial: cfg.Dial, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdle: maxIdle, Limit: cfg.Limit, ReceiveBuffer: receiveBuffer, OnDial: cfg.OnDial}
	if cfg.Metrics != nil {
		c.pool.Events = func(e httpconn.Event) {
			cfg.Metrics.GetOrCreateCounter(`cuminhook_target_connections_total{event="` + string(e) + `"}`).Inc()
		}
		cfg.Metrics.NewGauge(`cuminhook_target_connections{state="open"}`, func() float64 {
			open, _ := c.pool.Totals()
			return float64(open)
		})
		cfg.Metrics.NewGauge(`cuminhook_target_connections{state="idle"}`, func() float64 {
			_, idle := c.pool.Totals()
			return float64(idle)
		})
	}
	return c
}

// HasIdle reports whether a connection to the address is idle.
func (c *Client) HasIdle(addr string) bool { return c.pool.HasIdle(addr) }

// IsDown reports whether the target at the address refuses connections, as one that has crashed does. It opens a new one: idle
// ones may be reset later. The error is that of a check without a result.
func (c *Client) IsDown(ctx context.Context, addr string) (bool, error) {
	conn, err := c.pool.Get(ctx, addr, httpconn.NewOnly)
	switch {
	case err == nil:
		conn.Release(true)
		return false, nil
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return true, nil
	default:
		return false, err
	}
}

// Do makes one attempt. The caller must end the answer with ReadAll or Close; the connection is closed if ctx ends before
// that. The error is nil if and only if the outcome is Answered or NotRun, which both come with an answer.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, Outcome, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, NotSent, err
	}
	if r.OnSend != nil {
		r.OnSend()
	}
	upload, err := send(conn, r)
	if err != nil {
		conn.Release(false)
		if errors.Is(err, httpconn.ErrNotSent) {
			return nil, NotSent, err
		}
		// The target may have run the request: it may answer and close before it has read the body.
		return nil, Unknown, err
	}
	a := &Answer{conn: conn, upload: upload, account: membudget.FromContext(ctx), done: ctx.Done()}
	if err := c.readHeader(a, r); err != nil {
		if ctx.Err() == nil && isClosed(err) && httpanswer.PartOf(err) == "" && conn.ClosedAtOnce() {
			// The request was written before the close arrived, so that it may have run.
			err = fmt.Errorf("%w: %w", conn.Refused(), err)
			c.reportRefused(r.Addr)
		}
		conn.Release(false)
		return nil, Unknown, err
	}
	if !a.Stated.NotRun && !a.Stated.Processed {
		conn.Release(false)
		return nil, Unknown, fmt.Errorf("%w: status %d", ErrNoAnswer, a.Header.StatusCode())
	}
	conn.Answered(keepAlive(&a.Header))
	if a.Stated.NotRun {
		return a, NotRun, nil
	}
	return a, Answered, nil
}

// connect returns a connection for the request. A new one for a request that must run once is confirmed first, so that a
// target above its limit of connections has certainly not run the request.
func (c *Client) connect(ctx context.Context, r *Request) (*httpconn.Conn, error) {
	usedWithin := httpconn.AnyAge
	if r.RunOnce {
		usedWithin = runOnceMaxIdle
	}
	var avoid []*httpconn.Conn
	for _, a := range r.Earlier {
		avoid = append(avoid, a.conn)
	}
	conn, err := c.pool.GetExcept(ctx, r.Addr, usedWithin, avoid)
	if err != nil || !r.RunOnce {
		return conn, err
	}
	if err := conn.Confirm(); err != nil {
		if errors.Is(err, httpconn.ErrRefused) && ctx.Err() == nil {
			c.reportRefused(r.Addr)
		}
		conn.Release(false)
		return nil, err
	}
	return conn, nil
}

func (c *Client) reportRefused(addr string) {
	if c.cfg.OnRefused != nil {
		c.cfg.OnRefused(addr, c.pool.Open(addr))
	}
}

// isClosed reports whether the error of a read means that the peer has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// keepAlive returns the idle timeout that a target states, or zero.
func keepAlive(h *fasthttp.ResponseHeader) time.Duration {
	for field := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.ParseUint(value, 10, 16); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// upload is a request body that is written in the background. A nil upload is complete.
type upload struct {
	ended chan struct{}
	err   error // of the write, set before ended is closed
}

// wait waits for the end of the upload and returns its error. The end of the request's context ends it.
func (u *upload) wait() error {
	if u == nil {
		return nil
	}
	<-u.ended
	return u.err
}

// done reports whether the whole body has been written.
func (u *upload) done() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// send writes the request. A body of minAsyncBodyBytes or more is written in the background; otherwise the upload is nil.
func send(conn *httpconn.Conn, r *Request) (*upload, error) {
	head := r.Head
	if len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) < minAsyncBodyBytes {
		return nil, conn.SendBytes(head, r.Body)
	}
	if err := conn.SendBytes(head, nil); err != nil {
		return nil, err
	}
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		u.err = conn.SendBytes(nil, r.Body)
	}()
	return u, nil
}

// readHeader reads the header of the answer to r. It skips late answers to earlier requests on the connection, for which it
// also takes answers without an id unless they are the first on the connection.
func (c *Client) readHeader(a *Answer, r *Request) error {
	for skipped := range maxSkippedAnswers + 1 {
		a.Header.Reset()
		a.Header.SetNoDefaultContentType(true)
		body, err := a.conn.Reader().ReadHead(&a.Header, r.Method == fasthttp.MethodHead)
		if err != nil {
			return err
		}
		a.Length, a.Chunked, a.body = body.Length, body.Chunked, body
		a.reusable = !body.UntilClose && !a.Header.ConnectionClose()
		if body.UntilClose {
			a.body = &closeReader{r: body, upload: a.upload}
		}
		a.Stated = c.cfg.Protocol.ReadAnswer(&a.Header)
		first := skipped == 0 && !a.conn.HasAnswered()
		if a.Stated.ID == r.ID || a.Stated.ID == "" && first {
			return nil
		}
		if body.UntilClose {
			break
		}
		if _, err := io.CopyN(io.Discard, a.body, maxBodyBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return ErrForeignAnswer
}

// closeReader reads a body that ends with the connection. The body is complete only if the upload succeeded: the kernel reports a reset once,
// to the read or to the write, and the other call then sees an ordinary end.
type closeReader struct {
	r      io.Reader
	upload *upload
	err    error // that ended the body; returned by every later Read
}

// Read implements io.Reader.
func (c *closeReader) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.Read(p)
	if errors.Is(err, io.EOF) {
		if uploadErr := c.upload.wait(); uploadErr != nil {
			err = httpanswer.CutOff(httpanswer.PartBody, fmt.Errorf("the write of the request failed: %w", uploadErr))
		}
	}
	c.err = err
	return n, err
}

// Read reads from the body. io.EOF means that the body is complete.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// LimitSilence has reads of the body call onSilence; see httpconn.Conn.LimitSilence.
func (a *Answer) LimitSilence(until time.Time, onSilence func() (time.Time, error)) {
	a.conn.LimitSilence(until, onSilence)
}

// Buffered reports whether bytes of the connection have been received but not read yet.
func (a *Answer) Buffered() bool { return a.conn.Reader().Buffered() > 0 }

const (
	// firstBodyBytes is the first size of the buffer of an answer that may be larger.
	firstBodyBytes = 1 << 10
	// memoryWait bounds the wait for memory for a large answer. A target cuts off an answer that stays unread for seconds.
	memoryWait     = 2 * time.Second
	memoryInterval = 10 * time.Millisecond
)

// ErrNoMemory means that there was no memory for a large answer.
var ErrNoMemory = errors.New("forward: the memory for answers is used up; raise memory_mb, or have callers read faster")

// readBody reads the body into a buffer that doubles while it arrives. An answer of a small known length is read into one of that size.
func (a *Answer) readBody() (body []byte, err error) {
	limit, size := maxBodyBytes+1, firstBodyBytes
	if a.Length >= 0 {
		if a.Length > maxBodyBytes {
			return nil, ErrTooLarge
		}
		limit = int(a.Length)
		if limit <= membudget.SmallBytes {
			size = limit
		}
	}
	for {
		size = min(size, limit)
		if err := a.reserve(size - cap(body)); err != nil {
			return nil, err
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		body = grown
		for len(body) < cap(body) {
			n, err := a.body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) && (a.Length < 0 || len(body) == limit) {
				if len(body) > maxBodyBytes {
					return nil, ErrTooLarge
				}
				return body, nil
			}
			if err != nil {
				return nil, err
			}
		}
		switch {
		case a.Length >= 0 && len(body) == limit:
			return body, nil
		case len(body) == limit:
			return nil, ErrTooLarge
		}
		size *= 2
	}
}

// reserve reserves memory for n bytes of the answer in the account of the caller's connection. It waits until others have returned some:
// the request has run, and what it returned would be lost.
func (a *Answer) reserve(n int) error {
	if a.account == nil {
		return nil
	}
	for began := time.Now(); ; {
		now := time.Now()
		if a.account.Reserve(membudget.Answers, int64(n), now) == nil {
			return nil
		}
		if now.Sub(began) > memoryWait || a.account.Shed() {
			return ErrNoMemory
		}
		select {
		case <-time.After(memoryInterval):
		case <-a.done:
			return ErrNoMemory
		}
	}
}

// ReadAll reads the rest of the body and closes the answer. Its error wraps ErrIncomplete, and ErrTooLarge if the body
// exceeds the size limit.
func (a *Answer) ReadAll() ([]byte, error) {
	body, err := a.readBody()
	if err != nil {
		a.Close(false)
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	a.Close(true)
	return body, nil
}

// Close ends the answer; complete states that the body was read to its end. Otherwise the connection is closed, on which
// the target stops working on the request.
func (a *Answer) Close(complete bool) {
	// A target that answered before it had read the whole request may take what follows for the rest of it.
	a.conn.Release(complete && a.reusable && a.upload.done())
}
