package pipeline

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/tcpopt"
)

// callerTCPOptions let the kernel close the connection of an unreachable caller within 5 s.
var callerTCPOptions = tcpopt.Options{Idle: 2 * time.Second, Interval: time.Second, Count: 3, UserTimeout: 5 * time.Second}

const (
	// rejectTimeout bounds the time to refuse a connection above the limits.
	rejectTimeout = 200 * time.Millisecond
	// maxRejections bounds the connections that are refused at the same time; further ones are closed without an answer.
	maxRejections = 1000
	// maxRejectReadBytes bounds what is read from a refused connection.
	maxRejectReadBytes = 64 << 10
)

// listener bounds the number of connections, sets their TCP options and wraps them in watchedConn. fasthttp's own limit
// per IP address is not used: it would hide the wrapped connection and refuse without a reason.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := remoteIP(conn)
		if !l.server.conns.add(ip, l.server.cfg.MaxConns, l.server.cfg.MaxConnsPerIP) {
			go l.server.reject(conn)
			continue
		}
		if err := tcpopt.Set(conn, callerTCPOptions); err != nil {
			l.server.cfg.Log.Warn("TCP options not set", "error", err)
		}
		w := &watchedConn{Conn: conn, server: l.server, ip: ip}
		l.server.unused.add(w)
		return w, nil
	}
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
	if s.rejecting.Add(1) > maxRejections {
		return
	}
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
	// Closing a connection with unread bytes resets it, and the caller could then lose the answer.
	_, _ = io.CopyN(io.Discard, conn, maxRejectReadBytes)
}

// unusedConns holds the connections on which no byte has arrived. fasthttp doesn't count these as idle for 5 s after they were opened,
// and serves what arrives on them meanwhile.
type unusedConns struct {
	mu     sync.Mutex
	conns  map[*watchedConn]bool // guarded by mu
	closed bool                  // guarded by mu
}

func (u *unusedConns) add(c *watchedConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = map[*watchedConn]bool{}
	}
	u.conns[c] = true
	if u.closed {
		_ = c.Conn.Close()
	}
}

// use removes a connection. It returns false if close has closed it.
func (u *unusedConns) use(c *watchedConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns[c] && u.closed {
		return false
	}
	delete(u.conns, c)
	return true
}

// close closes all connections that are unused.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for c := range u.conns {
		_ = c.Conn.Close()
	}
}

// connCount counts open connections, in total and per caller IP.
type connCount struct {
	mu    sync.Mutex
	total int            // guarded by mu
	perIP map[string]int // guarded by mu
}

// add counts a connection and returns true, or returns false if that would exceed a limit. Zero means no limit.
func (c *connCount) add(ip string, limit, perIP int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.total >= limit || perIP > 0 && c.perIP[ip] >= perIP {
		return false
	}
	if c.perIP == nil {
		c.perIP = map[string]int{}
	}
	c.total++
	c.perIP[ip]++
	return true
}

func (c *connCount) remove(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	if c.perIP[ip]--; c.perIP[ip] == 0 {
		delete(c.perIP, ip)
	}
}
