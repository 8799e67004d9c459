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

// callerOptions notice a silent caller within 5 s.
var callerOptions = tcpopt.Options{Idle: 2 * time.Second, Interval: time.Second, Count: 3, UserTimeout: 5 * time.Second}

const (
	// rejectTimeout bounds the answer to a connection above the limits.
	rejectTimeout = 200 * time.Millisecond
	// maxRejecting bounds the connections that are being answered so; others are closed at once.
	maxRejecting = 1000
	// maxRejectRead bounds what is read from such a connection in bytes.
	maxRejectRead = 64 << 10
)

// listener wraps accepted connections, sets their TCP options and bounds their number. fasthttp's own bound
// for each address would hide the wrapped connection and answer without a reason.
type listener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := host(conn)
		if !l.s.conns.add(ip, l.s.cfg.MaxConns, l.s.cfg.MaxConnsPerIP) {
			go l.s.reject(conn)
			continue
		}
		if err := tcpopt.Set(conn, callerOptions); err != nil {
			l.s.cfg.Log.Warn("TCP options not set", "error", err)
		}
		return &watchedConn{Conn: conn, s: l.s, ip: ip}, nil
	}
}

func host(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return conn.RemoteAddr().String()
}

// reject answers a connection above the limits.
func (s *Server) reject(conn net.Conn) {
	defer conn.Close()
	defer s.rejecting.Add(-1)
	if s.rejecting.Add(1) > maxRejecting {
		return
	}
	r := &refusal.Error{
		Reason: refusal.QueueFull, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second,
		Message: "too many connections", Remedy: "reuse connections, or retry on another host",
	}
	s.cfg.Set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_refusals_total{reason=%q}`, string(r.Reason))).Inc()
	var h fasthttp.RequestCtx
	WriteRefusal(&h, r, uuid.NewString())
	h.Response.SetConnectionClose()
	_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
	if _, err := h.Response.WriteTo(conn); err != nil {
		return
	}
	// A connection closed with unread bytes is reset, which can destroy the answer on its way.
	_, _ = io.CopyN(io.Discard, conn, maxRejectRead)
}

// connCount counts open connections.
type connCount struct {
	mu    sync.Mutex
	all   int            // guarded by mu
	perIP map[string]int // guarded by mu
}

// add counts a connection unless that would exceed a limit; zero means no limit.
func (c *connCount) add(ip string, limit, perIP int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.all >= limit || perIP > 0 && c.perIP[ip] >= perIP {
		return false
	}
	if c.perIP == nil {
		c.perIP = map[string]int{}
	}
	c.all++
	c.perIP[ip]++
	return true
}

func (c *connCount) remove(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all--
	if c.perIP[ip]--; c.perIP[ip] == 0 {
		delete(c.perIP, ip)
	}
}
