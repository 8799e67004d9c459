package pipeline

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/membudget"
	"cuminhook.org/cuminhook/lib/tcpopt"
)

// watchedConn detects that the caller closes its connection while a request is being served. Watch reads one byte ahead in
// the background; the next Read ends the watch and returns that byte first.
type watchedConn struct {
	net.Conn
	server  *Server
	ip      string
	closed  sync.Once
	account *membudget.Account
	phase   atomic.Uint32 // see connPhase

	mu           sync.Mutex
	watching     bool
	interrupted  bool          // Unwatch interrupted the background read
	done         chan struct{} // closed when the background read returned
	onClose      func()        // called if the caller closes the connection during the watch
	readAhead    [1]byte       // byte that the background read returned
	hasReadAhead bool
	err          error     // of the background read; returned by every later Read
	deadline     time.Time // read deadline set by the server, applied when no watch is active
	writing      bool      // the whole answer is being written
	cut          bool      // the connection has lost its memory to others: reads end at once
}

// connPhase tells whether a request is being received or served on a connection.
type connPhase = uint32

// Phases of a connection. The change from idle decides between a request that begins and a stop that closes the connection.
const (
	connIdle connPhase = iota
	connActive
	connClosing
)

// writeStep bounds the bytes of one write, so that the progress of a caller that reads a large answer slowly is seen.
const writeStep = 64 << 10

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
		c.server.conns.remove(c)
		c.account.Close()
	})
	return c.Conn.Close()
}

// shed ends what the connection does, as its memory is needed for others. A request that is being received is refused; in all other
// cases the connection is closed.
func (c *watchedConn) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	c.server.countClosed("shed")
	if c.phase.Load() != connActive || c.writing {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// setWriting records whether the whole answer is being written.
func (c *watchedConn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// awaitBytes waits until bytes can be read, or the connection has ended. It holds no buffer meanwhile.
func (c *watchedConn) awaitBytes() error {
	c.Unwatch()
	c.mu.Lock()
	has, err := c.hasReadAhead, c.err
	c.mu.Unlock()
	if has || err != nil {
		return err
	}
	if known, err := tcpopt.AwaitBytes(c.Conn); known {
		return err
	}
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	if n == 1 {
		c.mu.Lock()
		c.readAhead, c.hasReadAhead = b, true
		c.mu.Unlock()
		return nil
	}
	return err
}

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
	if n > 0 {
		c.account.Progress(time.Now())
	}
	return n, err
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(p[:min(len(p), writeStep)])
		written, p = written+n, p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
		c.account.Progress(time.Now())
	}
}

// SetReadDeadline implements net.Conn.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.watching || c.cut {
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
