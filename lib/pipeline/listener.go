package pipeline

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/membudget"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/tcpopt"
)

// callerTCPOptions let the kernel close the connection of an unreachable caller within 5 s.
var callerTCPOptions = tcpopt.Options{Idle: 2 * time.Second, Interval: time.Second, Count: 3}

const (
	// rejectTimeout bounds the time to refuse a connection above the limits.
	rejectTimeout = 200 * time.Millisecond
	// minRejections, or rejectionShare of the connections if that is more, bounds the connections that are refused at the same time;
	// further ones are closed without an answer.
	minRejections  = 16
	rejectionShare = 0.05
	// sheddingSlack bounds the connections above the limit in place of others that are being closed.
	sheddingSlack = 16
	// maxRejectReadBytes bounds what is read from a refused connection.
	maxRejectReadBytes = 64 << 10
)

// acceptPause is the pause after a connection could not be accepted, as for lack of descriptors.
const acceptPause = 10 * time.Millisecond

// Serve accepts connections on ln until Stop is called.
func (s *Server) Serve(ln net.Listener) error {
	if !s.conns.addListener(ln) {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			s.accept(conn)
		case isTemporary(err):
			s.cfg.Log.Warn("connection not accepted", "error", err.Error())
			s.shedIdle()
			time.Sleep(acceptPause)
		case errors.Is(err, net.ErrClosed), errors.Is(err, io.EOF):
			return nil
		case s.conns.isClosed():
			return nil
		default:
			return fmt.Errorf("pipeline: callers' connections are not accepted any more: %w; restart the process", err)
		}
	}
}

// isTemporary reports whether the error of an accept passes, as the lack of descriptors does.
func isTemporary(err error) bool {
	var t interface{ Temporary() bool }
	return errors.As(err, &t) && t.Temporary()
}

// accept serves a connection, or refuses it above the limits.
func (s *Server) accept(conn net.Conn) {
	c := &watchedConn{Conn: conn, server: s, ip: remoteIP(conn)}
	c.account = s.memory.Open(c.ip, c.shed, time.Now())
	added := s.conns.add(c, s.cfg.MaxConns, s.cfg.MaxConnsPerIP)
	if !added && s.shedIdle() {
		// The place is free once the other connection's goroutine has ended; until then there is one connection more.
		added = s.conns.add(c, s.cfg.MaxConns+sheddingSlack, s.cfg.MaxConnsPerIP)
	}
	if added && c.account.Reserve(membudget.Connections, connBytes, time.Now()) != nil {
		s.conns.remove(c)
		added = false
	}
	if !added {
		c.account.Close()
		if s.conns.isClosed() {
			_ = conn.Close()
			return
		}
		s.countClosed("limit")
		if s.rejecting.Add(1) > s.maxRejections() {
			s.rejecting.Add(-1)
			_ = conn.Close()
			return
		}
		go s.reject(conn)
		return
	}
	if err := tcpopt.Set(conn, callerTCPOptions); err != nil {
		s.cfg.Log.Warn("TCP options not set", "error", err)
	}
	go s.serveConn(c)
}

// reuseShare is the part of the idle timeout up to which callers reuse a connection.
const reuseShare = 0.8

// shedIdle closes a connection that makes no progress in favour of another one, and reports whether it did.
func (s *Server) shedIdle() bool {
	return s.memory.ShedIdle(time.Duration(reuseShare*float64(s.limits.Load().IdleTimeout)), time.Now())
}

// remoteIP returns the caller's IP address, or the whole address of a connection that is not TCP.
func remoteIP(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return conn.RemoteAddr().String()
}

// reject refuses a connection above the limits and closes it.
func (s *Server) reject(conn net.Conn) {
	defer conn.Close()
	defer s.rejecting.Add(-1)
	r := &refusal.Error{
		Reason: refusal.QueueFull, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second,
		Message: "too many connections", Remedy: "reuse connections, or retry on another host",
	}
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`cuminhook_refusals_total{reason=%q}`, string(r.Reason))).Inc()
	var h fasthttp.RequestCtx
	WriteRefusal(&h, r, uuid.NewString())
	h.Response.SetConnectionClose()
	_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
	if _, err := h.Response.WriteTo(conn); err != nil {
		return
	}
	linger(conn)
}

// linger reads what a refused caller still sends, for up to rejectTimeout: closing a connection with unread bytes resets it, and the
// caller could then lose the answer.
func linger(conn net.Conn) {
	if w, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxRejectReadBytes)
}

// maxRejections returns the most connections that are refused at the same time.
func (s *Server) maxRejections() int64 {
	return max(minRejections, int64(rejectionShare*float64(s.cfg.MaxConns)))
}

// connSet holds the listeners and the open connections, and counts connections per caller IP.
type connSet struct {
	mu        sync.Mutex
	listeners []net.Listener        // guarded by mu
	open      map[*watchedConn]bool // guarded by mu
	perIP     map[string]int        // guarded by mu
	closed    bool                  // guarded by mu; close was called
	empty     chan struct{}         // guarded by mu; closed once no connection is open after close
}

// addListener adds a listener to be closed. It returns false if close was called before.
func (s *connSet) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, ln)
	return !s.closed
}

func (s *connSet) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// add adds a connection and returns true, or returns false if that would exceed a limit. Zero means no limit.
func (s *connSet) add(c *watchedConn, limit, perIP int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && len(s.open) >= limit || perIP > 0 && s.perIP[c.ip] >= perIP || s.closed {
		return false
	}
	if s.perIP == nil {
		s.open, s.perIP = map[*watchedConn]bool{}, map[string]int{}
	}
	s.open[c] = true
	s.perIP[c.ip]++
	return true
}

// remove removes a connection if it is in the set.
func (s *connSet) remove(c *watchedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[c] {
		return
	}
	delete(s.open, c)
	if s.perIP[c.ip]--; s.perIP[c.ip] == 0 {
		delete(s.perIP, c.ip)
	}
	if s.closed && len(s.open) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// close closes the listeners and all connections without a request. The channel is closed when the other connections have ended.
func (s *connSet) close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.open {
		if c.phase.CompareAndSwap(connIdle, connClosing) {
			_ = c.Conn.Close()
		}
	}
	done := make(chan struct{})
	if len(s.open) == 0 {
		close(done)
	} else {
		s.empty = done
	}
	return done
}
