package pipeline

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// watchedConn notices that the caller closed the connection while its request is served. Watch reads one
// byte ahead in the background; the next Read stops that and returns the byte.
type watchedConn struct {
	net.Conn
	s      *Server
	ip     string
	closed sync.Once
	held   atomic.Int64 // bytes read for requests that have not ended

	mu       sync.Mutex
	watching bool
	aborted  bool          // the pending background read was interrupted on purpose
	done     chan struct{} // closed when the background read returned
	gone     func()
	ahead    [1]byte
	hasAhead bool
	err      error     // of the background read
	deadline time.Time // read deadline set by the server, applied when no watch is active
}

// smallRequest is the size in bytes up to which requests are read whatever the memory in use.
const smallRequest = 64 << 10

// errBuffersFull means that the bodies of all callers together exceed the limit.
var errBuffersFull = errors.New("pipeline: request bodies in memory exceed the limit; retry on another host")

// past is a deadline that interrupts a pending read.
var past = time.Unix(1, 0)

// Watch calls gone once if the caller closes the connection before the next Read or Unwatch.
func (c *watchedConn) Watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watching || c.hasAhead || c.err != nil {
		return
	}
	c.watching, c.aborted, c.gone = true, false, gone
	c.done = make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{})
	go c.background(c.done)
}

func (c *watchedConn) background(done chan struct{}) {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	gone := c.gone
	if n == 1 {
		c.ahead, c.hasAhead = b, true
	}
	if err != nil && !(c.aborted && errors.Is(err, os.ErrDeadlineExceeded)) && !(c.aborted && isTimeout(err)) {
		c.err = err
	} else {
		gone = nil
	}
	c.mu.Unlock()
	if gone != nil {
		gone()
	}
	close(done)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// Unwatch stops the background read.
func (c *watchedConn) Unwatch() {
	c.mu.Lock()
	if !c.watching {
		c.mu.Unlock()
		return
	}
	c.aborted = true
	done := c.done
	_ = c.Conn.SetReadDeadline(past)
	c.mu.Unlock()
	<-done
	c.mu.Lock()
	c.watching, c.gone = false, nil
	_ = c.Conn.SetReadDeadline(c.deadline)
	c.mu.Unlock()
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Do(func() {
		c.s.conns.remove(c.ip)
		c.release()
	})
	return c.Conn.Close()
}

// hold counts n bytes read. It returns errBuffersFull when all callers together sent too much that is still
// in memory; small requests pass, so that they are not refused for the sake of large ones.
func (c *watchedConn) hold(n int) error {
	held := c.held.Add(int64(n))
	all := c.s.buffered.Add(int64(n))
	if limit := c.s.cfg.MaxBuffered; limit > 0 && all > limit && held > smallRequest {
		return errBuffersFull
	}
	return nil
}

// release is called when a request ended and when the connection is closed.
func (c *watchedConn) release() { c.s.buffered.Add(-c.held.Swap(0)) }

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.Unwatch()
	c.mu.Lock()
	if c.hasAhead && len(p) > 0 {
		p[0], c.hasAhead = c.ahead[0], false
		c.mu.Unlock()
		return 1, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if full := c.hold(n); full != nil {
		return 0, full
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.watching {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *watchedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
