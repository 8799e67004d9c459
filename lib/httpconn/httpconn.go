// Package httpconn is a pool of HTTP/1.1 connections to targets, each used by one request at a time. It uses fasthttp's
// codec but not its client: a context cannot interrupt that, and it does not tell whether anything was written. This must
// be known, since a request counts as "not run" instead of "unknown" only if nothing was written.
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

// ErrNotSent is wrapped by the errors of requests of which no byte was written.
var ErrNotSent = errors.New("httpconn: nothing was written to the target")

const (
	bufferBytes = 4096
	// MaxResponseBytes bounds the bodies that are read whole.
	MaxResponseBytes = 16 << 20
	// maxIdlePerTarget bounds the idle connections kept for each target.
	maxIdlePerTarget = 64
	// idleTimeout is shorter than the idle timeouts of common servers, so that a target rarely closes a pooled
	// connection at the moment of its reuse.
	idleTimeout = 10 * time.Second
	// DefaultDialTimeout is the default timeout for dialling; targets are at most a few milliseconds away.
	DefaultDialTimeout = time.Second
)

// targetTCPOptions let the kernel close the connection of an unreachable target within about 4 s, however long a
// reachable target takes to answer.
var targetTCPOptions = tcpopt.Options{Idle: time.Second, Interval: time.Second, Count: 3, UserTimeout: 4 * time.Second}

// Dialer opens a connection to an IP:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool dials connections and keeps idle ones for reuse. The zero value dials TCP with the default timeouts and options.
type Pool struct {
	Dial        Dialer          // nil: TCP
	DialTimeout time.Duration   // zero: DefaultDialTimeout
	IdleTimeout time.Duration   // connections that were idle for longer are not reused; zero: idleTimeout
	Options     *tcpopt.Options // nil: targetTCPOptions

	mu   sync.Mutex
	idle map[string][]*Conn // guarded by mu; newest last
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	net.Conn
	addr      string
	pool      *Pool
	br        *bufio.Reader
	bw        *bufio.Writer
	written   int64 // bytes written of the current request
	lastUse   time.Time
	stopWatch func() bool // stops the current request's context from closing the connection; nil once called
	intact    bool        // the context did not close the connection before stopWatch was called
}

// Get returns an idle connection to addr, or a new one if there is none or fresh is set. The connection is closed if ctx
// ends before Release or Detach. Errors wrap ErrNotSent.
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
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	return c, nil
}

// takeIdle removes the most recently used idle connection to addr from the pool, or returns nil if none is usable.
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
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.DialTimeout, DefaultDialTimeout))
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
	// An error is ignored: without the options an unreachable target is detected only at the request's deadline.
	_ = tcpopt.Set(nc, *cmp.Or(p.Options, &targetTCPOptions))
	c := &Conn{Conn: nc, addr: addr, pool: p}
	c.br = bufio.NewReaderSize(nc, bufferBytes)
	c.bw = bufio.NewWriterSize(countingWriter{c}, bufferBytes)
	return c, nil
}

// countingWriter counts the bytes that are written to the connection.
type countingWriter struct{ c *Conn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written += int64(n)
	return n, err
}

// Reader returns the connection's buffered reader.
func (c *Conn) Reader() *bufio.Reader { return c.br }

// Send writes the request within timeout. The error wraps ErrNotSent if no byte was written.
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

// AwaitByte waits for the first byte of the answer. If IsTimeout reports true for the error, AwaitByte may be called again.
func (c *Conn) AwaitByte(timeout time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.br.Peek(1)
	return err
}

// IsTimeout reports whether err means that a connection's deadline passed.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// ErrNoLength means that the answer neither states its length nor is chunked, so that a truncated answer could not be
// recognised.
var ErrNoLength = errors.New("httpconn: answer without length; the target must send Content-Length or chunks")

// maxInformational bounds the informational (1xx) responses before the final one.
const maxInformational = 16

// Receive reads the answer within timeout. If resp.StreamBody is set, the body is read later as a stream, and the read
// deadline stays in force until it is replaced.
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
		if n == maxInformational {
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
	if err := resp.ReadBody(c.br, MaxResponseBytes); err != nil {
		return err
	}
	if length == -1 && !resp.StreamBody {
		return resp.Header.ReadTrailer(c.br)
	}
	return nil
}

// Detach stops the context of Get from closing the connection when it ends. It is for an answer whose content is complete
// and of which only the end of the body is still to be read.
func (c *Conn) Detach() {
	if c.stopWatch != nil {
		c.intact = c.stopWatch()
		c.stopWatch = nil
	}
}

// Release returns the connection to the pool. reuse states that the answer ended properly; otherwise the connection is
// closed, since a late answer could be taken for the answer to another request.
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
	if len(p.idle[c.addr]) >= maxIdlePerTarget {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseIdle closes all idle connections.
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
