// Package httpconn sends single HTTP/1.1 requests on connections that the adapters control. fasthttp's own
// client can neither be interrupted by a context nor tell whether anything was written, on which the
// distinction between "not run" and "unknown" rests; its codec is used here with an own pool.
package httpconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/tcpopt"
)

// ErrNotSent is wrapped by errors of requests of which no byte was written.
var ErrNotSent = errors.New("httpconn: nothing was written to the target")

const (
	bufferSize = 4096
	// MaxResponse bounds whole answers in bytes.
	MaxResponse = 16 << 20
	// maxIdle is the number of unused connections kept for each target.
	maxIdle = 64
	// idleTimeout is shorter than the idle limits of common servers, so that a pooled connection is
	// rarely closed by the target at the moment of its reuse.
	idleTimeout = 10 * time.Second
	// DialTimeout bounds the dial of a connection; targets are at most a few milliseconds away.
	DialTimeout = time.Second
)

// targetOptions let the kernel close a connection that went silent within about 4 s, without regard to how
// long the target takes to answer.
var targetOptions = tcpopt.Options{Idle: time.Second, Interval: time.Second, Count: 3, UserTimeout: 4 * time.Second}

// Dialer opens a connection to an IP:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool keeps unused connections. The zero value dials TCP.
type Pool struct {
	Dial        Dialer
	DialTimeout time.Duration   // zero: DialTimeout
	IdleTimeout time.Duration   // unused connections older than this are not used; zero: idleTimeout
	Options     *tcpopt.Options // nil: targetOptions

	mu   sync.Mutex
	idle map[string][]*Conn // guarded by mu; newest last
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	net.Conn
	addr    string
	pool    *Pool
	br      *bufio.Reader
	bw      *bufio.Writer
	written int64 // bytes of the present request
	lastUse time.Time
	stop    func() bool // detaches the context of the present request; nil once it was called
	intact  bool        // the context did not close the connection before it was detached
}

// Get returns a connection to addr; fresh demands one dialled for this call. Errors wrap ErrNotSent. The
// connection is closed when ctx ends before Release.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	var c *Conn
	if !fresh {
		c = p.takeIdle(addr)
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, fmt.Errorf("%w: dial %s: %w", ErrNotSent, addr, err)
		}
	}
	c.written = 0
	c.intact = true
	c.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	return c, nil
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if time.Since(c.lastUse) < cmp.Or(p.IdleTimeout, idleTimeout) && !tcpopt.Stale(c.Conn) {
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.DialTimeout, DialTimeout))
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	// Without the options a silent target is noticed at the request's deadline only.
	_ = tcpopt.Set(nc, *cmp.Or(p.Options, &targetOptions))
	c := &Conn{Conn: nc, addr: addr, pool: p}
	c.br = bufio.NewReaderSize(nc, bufferSize)
	c.bw = bufio.NewWriterSize(countingWriter{c}, bufferSize)
	return c, nil
}

type countingWriter struct{ c *Conn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written += int64(n)
	return n, err
}

// Reader returns the connection's buffered reader.
func (c *Conn) Reader() *bufio.Reader { return c.br }

// Send writes the request. The error wraps ErrNotSent if no byte was written.
func (c *Conn) Send(req *fasthttp.Request, timeout time.Duration) error {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if err != nil && c.written == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// SendBytes writes a request that is already encoded. The error wraps ErrNotSent if no byte was written.
func (c *Conn) SendBytes(head, body []byte) error {
	buffers := net.Buffers{head, body}
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	if err != nil && c.written == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// AwaitByte waits until the answer's first byte arrives. Timeout reports whether the error means that the
// wait may go on.
func (c *Conn) AwaitByte(timeout time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.br.Peek(1)
	return err
}

// Timeout reports whether err is a passed deadline of a connection.
func Timeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// ErrNoLength means that the answer neither states its length nor is chunked: it cannot be told from a cut one.
var ErrNoLength = errors.New("httpconn: answer without length; the target must send Content-Length or chunks")

// maxInterim bounds informational responses before the answer.
const maxInterim = 16

// Receive reads the answer within timeout. The body is read as a stream if resp.StreamBody is set; the
// deadline then stays in force until it is replaced.
func (c *Conn) Receive(resp *fasthttp.Response, timeout time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	for n := 0; ; n++ {
		if err := resp.Header.Read(c.br); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if n == maxInterim {
			return errors.New("httpconn: too many informational responses")
		}
	}
	if resp.SkipBody || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 {
		return ErrNoLength
	}
	if err := resp.ReadBody(c.br, MaxResponse); err != nil {
		return err
	}
	if length == -1 && !resp.StreamBody {
		return resp.Header.ReadTrailer(c.br)
	}
	return nil
}

// Detach keeps the end of the context from closing the connection any more. It is for the rest of an answer
// that ended properly.
func (c *Conn) Detach() {
	if c.stop != nil {
		c.intact = c.stop()
		c.stop = nil
	}
}

// Release gives the connection back. reuse states that the answer ended properly; any other connection
// is closed, as a late answer could otherwise reach another request.
func (c *Conn) Release(reuse bool) {
	c.Detach()
	if !reuse || !c.intact || c.br.Buffered() > 0 {
		_ = c.Conn.Close()
		return
	}
	c.lastUse = time.Now()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.addr]) >= maxIdle {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseIdle closes all unused connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Conn.Close()
		}
	}
	p.idle = nil
}
