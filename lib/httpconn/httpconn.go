// Package httpconn is a pool of HTTP/1.1 connections to targets, each used by one request at a time. The pool limits the
// connections to each target and closes idle ones in time. It uses fasthttp's
// codec but not its client: a context cannot interrupt that, and it does not tell whether anything was written. This must
// be known, since a request counts as "not run" instead of "unknown" only if nothing was written.
package httpconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpanswer"
	"cuminhook.org/cuminhook/lib/tcpopt"
)

// Errors of requests of which no byte was written.
var (
	// ErrNotSent is wrapped by all of them.
	ErrNotSent = errors.New("httpconn: nothing was written to the target")
	// ErrLimit means that this host has as many connections to the target in use as it may open.
	ErrLimit = errors.New("httpconn: all connections that this host may open to the target are in use; choose another target")
	// ErrRefused means that the target closed a new connection at once, which it does above its limit of connections.
	ErrRefused = errors.New("httpconn: the target closed a new connection at once")
)

const (
	bufferBytes = 4096
	// MaxResponseBytes is the default of Pool.MaxResponse.
	MaxResponseBytes = 16 << 20
	// idleTimeout is shorter than the idle timeouts of common servers, so that a target rarely closes a pooled
	// connection at the moment of its reuse.
	idleTimeout = 10 * time.Second
	// DefaultDialTimeout is the default timeout for dialling; targets are at most a few milliseconds away.
	DefaultDialTimeout = time.Second
	// keepAliveMargin is how long before the idle timeout that a target states a connection is closed here, so that no
	// request crosses the target's close.
	keepAliveMargin = 700 * time.Millisecond
	// maxConfirmDelay bounds the wait for a new connection to be closed by its target.
	maxConfirmDelay = 20 * time.Millisecond
	// closeSlack is added to the time in which a target closes a connection above its limit; it covers this host's own
	// delay in reading.
	closeSlack = 2 * time.Millisecond
	// maxReadDelay is how late this host may read what has arrived: it may have been paused itself.
	maxReadDelay = 20 * time.Millisecond
	// AnyAge permits Get to reuse any idle connection that is within its idle timeout.
	AnyAge time.Duration = math.MaxInt64
	// NewOnly makes Get open a new connection.
	NewOnly time.Duration = 0
)

// targetTCPOptions let the kernel close the connection of an unreachable target within about 4 s, however long a
// reachable target takes to answer.
var targetTCPOptions = tcpopt.Options{Idle: time.Second, Interval: time.Second, Count: 3}

// Dialer opens a connection to an IP:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool dials connections and keeps idle ones for reuse. The zero value dials TCP with the default timeouts and options.
type Pool struct {
	Dial        Dialer          // nil: TCP
	DialTimeout time.Duration   // zero: DefaultDialTimeout
	IdleTimeout time.Duration   // of connections whose target states none; zero: idleTimeout
	MaxIdle     time.Duration   // longest time that a connection is kept idle, whatever its target states; zero: IdleTimeout
	Options     *tcpopt.Options // nil: targetTCPOptions
	// ReceiveBuffer is the size of the kernel's buffer for bytes that a target has sent and that were not read; zero: the kernel decides.
	ReceiveBuffer int
	MaxResponse   int64                 // largest body in bytes that Receive reads whole; zero: MaxResponseBytes
	Limit         func(addr string) int // most connections to addr, in use and idle; nil: no limit
	Events        func(Event)           // called for each event of a connection, with mu held; nil: none
	// OnDial is called after each try to open a connection, unless its request ended first; nil: none.
	OnDial func(addr string, err error)

	mu    sync.Mutex
	addrs map[string]*addrConns // guarded by mu
	reap  *time.Timer           // guarded by mu; nil unless connections are idle
}

// MaxIdle returns AnyAge for a request that may be repeated, and NewOnly for one that must run once.
func MaxIdle(repeatable bool) time.Duration {
	if repeatable {
		return AnyAge
	}
	return NewOnly
}

// Event is what happens to a connection, for metrics.
type Event string

// Events of connections.
const (
	Dialled Event = "dialled"
	Reused  Event = "reused"
	Reaped  Event = "reaped"  // closed because it was idle for its idle timeout
	Refused Event = "refused" // closed by the target before it answered anything on it
	Limited Event = "limited" // not dialled because of the limit
)

// addrConns are the connections to one address.
type addrConns struct {
	open int     // in use, idle or being dialled
	idle []*Conn // least recently used first
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	net.Conn
	addr      string
	pool      *Pool
	br        *httpanswer.Reader
	bw        *bufio.Writer
	written   int64 // bytes written of the current request
	lastUse   time.Time
	idleLimit time.Duration // how long the connection may be idle
	dialTook  time.Duration
	connected time.Time
	answered  bool                      // the target has answered a request on the connection
	stopWatch func() bool               // stops the current request's context from closing the connection; nil once called
	intact    bool                      // the context did not close the connection before stopWatch was called
	onSilence func() (time.Time, error) // of LimitSilence; nil: reads are not limited
	rechecked bool                      // the connection has been read once more after the time of LimitSilence
}

// Get returns an idle connection to addr that was last used within maxIdle, or else a new one. The connection is closed if
// ctx ends before Release or Detach. Errors wrap ErrNotSent, and ErrLimit if the limit forbids another connection.
func (p *Pool) Get(ctx context.Context, addr string, maxIdle time.Duration) (*Conn, error) {
	return p.GetExcept(ctx, addr, maxIdle, nil)
}

// GetExcept is Get without the connections in avoid.
func (p *Pool) GetExcept(ctx context.Context, addr string, maxIdle time.Duration, avoid []*Conn) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	c, err := p.takeIdle(addr, maxIdle, avoid)
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dial(ctx, addr); err != nil {
			p.mu.Lock()
			p.closed(addr)
			p.mu.Unlock()
			return nil, fmt.Errorf("%w: dial %s: %w", ErrNotSent, addr, err)
		}
	}
	c.written = 0
	c.intact = true
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	return c, nil
}

// Call sends a request on a connection as Get returns it and receives the answer, within timeout each. Errors wrap ErrNotSent if no byte was
// written, and ErrLimit as those of Get. With NewOnly, the connection is closed after the call.
func (p *Pool) Call(ctx context.Context, addr string, maxIdle time.Duration, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	conn, err := p.Get(ctx, addr, maxIdle)
	if err != nil {
		return err
	}
	if err = conn.Send(req, timeout); err == nil {
		err = conn.Receive(resp, timeout)
	}
	conn.Release(err == nil && !resp.ConnectionClose() && maxIdle != NewOnly)
	return err
}

// CallBy is Call with any idle connection, within the deadline.
func (p *Pool) CallBy(ctx context.Context, deadline time.Time, addr string, req *fasthttp.Request, resp *fasthttp.Response) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.Call(ctx, addr, AnyAge, req, resp, time.Until(deadline))
}

// takeIdle removes the most recently used idle connection to addr that is not in avoid from the pool. If none was used
// within maxIdle, it returns nil and counts a connection that the caller must dial, in place of an idle one if the limit is
// reached.
func (p *Pool) takeIdle(addr string, maxIdle time.Duration, avoid []*Conn) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addrs == nil {
		p.addrs = map[string]*addrConns{}
	}
	a := p.addrs[addr]
	if a == nil {
		a = &addrConns{}
		p.addrs[addr] = a
	}
	now := time.Now()
	for i := len(a.idle) - 1; i >= 0; i-- {
		c := a.idle[i]
		usable := now.Sub(c.lastUse) < c.idleLimit && !tcpopt.Stale(c.Conn)
		if usable && now.Sub(c.lastUse) >= maxIdle {
			break
		}
		if usable && slices.Contains(avoid, c) {
			continue
		}
		a.idle = slices.Delete(a.idle, i, i+1)
		if usable {
			p.count(Reused)
			return c, nil
		}
		p.discard(c)
	}
	if p.Limit != nil && a.open >= p.Limit(addr) {
		if len(a.idle) == 0 {
			p.count(Limited)
			return nil, fmt.Errorf("%w: %w: %s", ErrNotSent, ErrLimit, addr)
		}
		p.discard(a.idle[0])
		a.idle = a.idle[1:]
	}
	a.open++
	p.addrs[addr] = a // discard may have dropped the entry
	return nil, nil
}

// discard closes a connection that is no longer in the list of idle ones. The caller holds mu.
func (p *Pool) discard(c *Conn) {
	_ = c.Conn.Close()
	p.closed(c.addr)
}

// closed counts a connection of the address as closed. The caller holds mu.
func (p *Pool) closed(addr string) {
	a := p.addrs[addr]
	if a == nil {
		return
	}
	if a.open--; a.open == 0 && len(a.idle) == 0 {
		delete(p.addrs, addr)
	}
}

func (p *Pool) count(e Event) {
	if p.Events != nil {
		p.Events(e)
	}
}

// Open returns the number of connections to addr that are in use, idle or being dialled.
func (p *Pool) Open(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.addrs[addr]; a != nil {
		return a.open
	}
	return 0
}

// HasIdle reports whether a connection to addr is idle.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addrs[addr]
	return a != nil && len(a.idle) > 0
}

// Totals returns the numbers of open and of idle connections to all addresses.
func (p *Pool) Totals() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addrs {
		open, idle = open+a.open, idle+len(a.idle)
	}
	return open, idle
}

// reapIdle closes the connections that have been idle for their idle timeout. The targets' own timeouts would close them
// too, but until then they count against the targets' limits.
func (p *Pool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, left := time.Now(), false
	for addr, a := range p.addrs {
		kept := a.idle[:0]
		for _, c := range a.idle {
			if now.Sub(c.lastUse) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			p.count(Reaped)
			p.discard(c)
		}
		clear(a.idle[len(kept):])
		a.idle = kept
		left = left || len(kept) > 0
		if a.open == 0 {
			delete(p.addrs, addr)
		}
	}
	p.reap = nil
	if left {
		p.scheduleReap()
	}
}

// reapInterval is the time between two searches for connections to reap. It is below keepAliveMargin.
const reapInterval = 500 * time.Millisecond

// scheduleReap has reapIdle called. The caller holds mu.
func (p *Pool) scheduleReap() {
	if p.reap == nil {
		p.reap = time.AfterFunc(reapInterval, p.reapIdle)
	}
}

func (p *Pool) dial(parent context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(parent, cmp.Or(p.DialTimeout, DefaultDialTimeout))
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			d := net.Dialer{Control: tcpopt.SetBuffers(p.ReceiveBuffer, 0)}
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	started := time.Now()
	nc, err := dial(ctx, addr)
	if p.OnDial != nil && (err == nil || parent.Err() == nil) {
		p.OnDial(addr, err)
	}
	if err != nil {
		return nil, err
	}
	// An error is ignored: without the options an unreachable target is detected only at the request's deadline.
	_ = tcpopt.Set(nc, *cmp.Or(p.Options, &targetTCPOptions))
	c := &Conn{Conn: nc, addr: addr, pool: p, idleLimit: cmp.Or(p.IdleTimeout, idleTimeout)}
	c.connected = time.Now()
	c.dialTook = c.connected.Sub(started)
	c.br = httpanswer.NewReader(c, bufferBytes)
	c.bw = bufio.NewWriterSize(countingWriter{c}, bufferBytes)
	p.mu.Lock()
	p.count(Dialled)
	p.mu.Unlock()
	return c, nil
}

// Confirm waits on a new connection for as long as its handshake took: a target above its limit closes the connection in
// this time. Its error wraps ErrNotSent and ErrRefused. On a connection that has carried an answer it returns at once.
func (c *Conn) Confirm() error {
	if c.answered {
		return nil
	}
	if err := c.SetReadDeadline(time.Now().Add(min(c.dialTook, maxConfirmDelay))); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if _, err := c.br.Peek(1); !IsTimeout(err) { // an answer before the request is no answer either
		return fmt.Errorf("%w: %w", ErrNotSent, c.Refused())
	}
	return c.SetReadDeadline(time.Time{})
}

// Answered records that the target has answered on the connection. keepAlive is the idle timeout that it states, zero if
// it states none.
func (c *Conn) Answered(keepAlive time.Duration) {
	c.answered = true
	if keepAlive > 0 {
		longest := cmp.Or(c.pool.MaxIdle, c.pool.IdleTimeout, idleTimeout)
		c.idleLimit = min(longest, max(0, keepAlive-keepAliveMargin))
	}
}

// HasAnswered reports whether the target has answered an earlier request on the connection.
func (c *Conn) HasAnswered() bool { return c.answered }

// ClosedAtOnce reports whether a connection that the target has just closed was closed as soon as it was opened. An error
// that comes later, or after an answer, has other causes.
func (c *Conn) ClosedAtOnce() bool {
	return !c.answered && time.Since(c.connected) <= 2*c.dialTook+closeSlack
}

// Refused counts a new connection that the target closed before it answered anything, and returns ErrRefused.
func (c *Conn) Refused() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.count(Refused)
	return ErrRefused
}

// countingWriter counts the bytes that are written to the connection.
type countingWriter struct{ c *Conn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written += int64(n)
	return n, err
}

// LimitSilence has reads call onSilence at the time until. It returns when it is to be called again, or an error that ends the
// read. The limit ends with the next LimitSilence; a nil onSilence sets none.
func (c *Conn) LimitSilence(until time.Time, onSilence func() (time.Time, error)) {
	c.onSilence, c.rechecked = onSilence, false
	if onSilence == nil {
		until = time.Time{}
	}
	_ = c.SetReadDeadline(until) // fails only on a closed connection, whose reads fail too
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		next := time.Now().Add(maxReadDelay)
		if c.rechecked {
			if next, err = c.onSilence(); err != nil {
				return 0, err
			}
		}
		c.rechecked = !c.rechecked
		if err := c.SetReadDeadline(next); err != nil {
			return 0, err
		}
	}
}

// Reader returns the connection's buffered reader.
func (c *Conn) Reader() *httpanswer.Reader { return c.br }

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

// Receive reads the answer within timeout. If resp.StreamBody is set, the body is read later as a stream, and the read
// deadline stays in force until it is replaced.
func (c *Conn) Receive(resp *fasthttp.Response, timeout time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	body, err := c.br.ReadHead(&resp.Header, resp.SkipBody)
	if err != nil {
		return err
	}
	if body.UntilClose {
		return ErrNoLength
	}
	if resp.StreamBody {
		resp.SetBodyStream(body, int(body.Length))
		return nil
	}
	content, err := body.ReadAll(cmp.Or(c.pool.MaxResponse, MaxResponseBytes))
	if err != nil {
		return err
	}
	resp.SetBodyRaw(content)
	return nil
}

// ReadStream reads the whole body of an answer that was received with StreamBody, of at most MaxResponseBytes.
func ReadStream(resp *fasthttp.Response) ([]byte, error) {
	body, ok := resp.BodyStream().(*httpanswer.Body)
	if !ok {
		return nil, nil // the answer has none
	}
	return body.ReadAll(MaxResponseBytes)
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
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addrs[c.addr]
	if !reuse || !c.intact || c.br.Buffered() > 0 || c.idleLimit <= 0 || a == nil || p.Limit != nil && a.open > p.Limit(c.addr) {
		p.discard(c)
		return
	}
	c.lastUse = time.Now()
	a.idle = append(a.idle, c)
	p.scheduleReap()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addrs {
		idle := a.idle
		a.idle = nil
		for _, c := range idle {
			p.discard(c)
		}
	}
	if p.reap != nil {
		p.reap.Stop()
		p.reap = nil
	}
}
