package pipeline

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// watchedConn detects that the caller closes its connection while a request is being served. Watch reads one byte ahead in
// the background; the next Read ends the watch and returns that byte first.
type watchedConn struct {
	net.Conn
	server       *Server
	ip           string
	closed       sync.Once
	requestBytes atomic.Int64 // bytes read for the requests in flight on this connection
	used         bool         // a read has returned; only Read accesses it

	mu           sync.Mutex
	watching     bool
	interrupted  bool          // Unwatch interrupted the background read
	done         chan struct{} // closed when the background read returned
	onClose      func()        // called if the caller closes the connection during the watch
	readAhead    [1]byte       // byte that the background read returned
	hasReadAhead bool
	err          error     // of the background read; returned by every later Read
	deadline     time.Time // read deadline set by the server, applied when no watch is active
}

// smallRequestBytes is the size up to which requests are read even if the buffers of all requests exceed their limit.
const smallRequestBytes = 64 << 10

// errBuffersFull means that the requests in memory together exceed ServerConfig.MaxBufferedBytes.
var errBuffersFull = errors.New("pipeline: request bodies in memory exceed the limit; retry on another host")

// pastDeadline is a deadline in the past; setting it interrupts a pending read.
var pastDeadline = time.Unix(1, 0)

// Watch calls onClose once if the caller closes the connection before the next Read or Unwatch.
func (c *watchedConn) Watch(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watching || c.hasReadAhead || c.err != nil {
		return
	}
	c.watching, c.interrupted, c.onClose = true, false, onClose
	c.done = make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{})
	go c.readInBackground(c.done)
}

// readInBackground waits for one byte, the end of the connection or Unwatch, and closes done when it has finished.
func (c *watchedConn) readInBackground(done chan struct{}) {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	onClose := c.onClose
	if n == 1 {
		c.readAhead, c.hasReadAhead = b, true
	}
	if err != nil && !(c.interrupted && errors.Is(err, os.ErrDeadlineExceeded)) && !(c.interrupted && isTimeout(err)) {
		c.err = err
	} else {
		onClose = nil
	}
	c.mu.Unlock()
	if onClose != nil {
		onClose()
	}
	close(done)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// Unwatch ends the watch and waits until its background read has finished.
func (c *watchedConn) Unwatch() {
	c.mu.Lock()
	if !c.watching {
		c.mu.Unlock()
		return
	}
	c.interrupted = true
	done := c.done
	_ = c.Conn.SetReadDeadline(pastDeadline)
	c.mu.Unlock()
	<-done
	c.mu.Lock()
	c.watching, c.onClose = false, nil
	_ = c.Conn.SetReadDeadline(c.deadline)
	c.mu.Unlock()
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Do(func() {
		c.server.conns.remove(c.ip)
		c.server.unused.use(c)
		c.releaseBuffered()
	})
	return c.Conn.Close()
}

// countBuffered counts n more bytes in memory. It returns errBuffersFull if the limit for all requests is exceeded and this
// one is not small: small requests are not refused because of large ones.
func (c *watchedConn) countBuffered(n int) error {
	request := c.requestBytes.Add(int64(n))
	total := c.server.bufferedBytes.Add(int64(n))
	if limit := c.server.cfg.MaxBufferedBytes; limit > 0 && total > limit && request > smallRequestBytes {
		return errBuffersFull
	}
	return nil
}

// releaseBuffered stops counting the bytes of this connection's requests. It is called when a request has ended and when
// the connection is closed.
func (c *watchedConn) releaseBuffered() { c.server.bufferedBytes.Add(-c.requestBytes.Swap(0)) }

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.Unwatch()
	c.mu.Lock()
	if c.hasReadAhead && len(p) > 0 {
		p[0], c.hasReadAhead = c.readAhead[0], false
		c.mu.Unlock()
		return 1, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if !c.used {
		if !c.server.unused.use(c) {
			return 0, net.ErrClosed
		}
		c.used = true
	}
	if full := c.countBuffered(n); full != nil {
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
