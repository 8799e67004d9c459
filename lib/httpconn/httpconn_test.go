package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// scriptedConn is a connection whose writes fail after a number of bytes and whose reads return a fixed answer.
type scriptedConn struct {
	net.Conn
	acceptsBytes int // bytes that writes accept before they fail; negative: no limit
	answer       *strings.Reader
	closed       atomic.Bool
}

func (s *scriptedConn) Write(p []byte) (int, error) {
	if s.acceptsBytes >= 0 && len(p) > s.acceptsBytes {
		n := s.acceptsBytes
		s.acceptsBytes = 0
		return n, io.ErrClosedPipe
	}
	return len(p), nil
}
func (s *scriptedConn) Read(p []byte) (int, error)       { return s.answer.Read(p) }
func (s *scriptedConn) Close() error                     { s.closed.Store(true); return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// open gets a connection from a pool whose dial returns s and the error dial.
func open(t *testing.T, s *scriptedConn, dial error) (*Pool, *Conn, error) {
	t.Helper()
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return s, dial }}
	c, err := p.Get(context.Background(), "a", AnyAge)
	return p, c, err
}

func request() *fasthttp.Request {
	var req fasthttp.Request
	req.SetRequestURI("http://a/")
	return &req
}

// Guards against a false "not run": only a failed dial or a write of no byte proves that a request was not sent.
func TestOnlyUnsentRequestsCountAsNotSent(t *testing.T) {
	if _, _, err := open(t, nil, io.EOF); !errors.Is(err, ErrNotSent) {
		t.Errorf("failed dial: %v", err)
	}
	for takes, want := range map[int]bool{0: true, 1: false, 20: false} {
		_, c, err := open(t, &scriptedConn{acceptsBytes: takes}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Send(request(), time.Second); err == nil || errors.Is(err, ErrNotSent) != want {
			t.Errorf("%d bytes taken: %v", takes, err)
		}
	}
}

// Guards against truncated answers that are taken for complete ones, and against reuse of a connection that still has
// bytes of an earlier answer.
func TestReceiveDetectsCutAnswersAndLeftoverBytes(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		whole  bool
		reused bool
	}{
		"whole":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true},
		"chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, true},
		"interim":       {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", true, true},
		"bytes behind":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!", true, false},
		"cut body":      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false},
		"cut chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, false},
		"cut last":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", false, false},
		"without end":   {"HTTP/1.1 200 OK\r\n\r\nok", false, false},
		"cut header":    {"HTTP/1.1 200 OK\r\nContent-Le", false, false},
		"nothing":       {"", false, false},
		"interim only":  {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 30), false, false},
		"status 000":    {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", false, false},
		"short of body": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", false, false},
	} {
		s := &scriptedConn{acceptsBytes: -1, answer: strings.NewReader(c.answer)}
		p, conn, err := open(t, s, nil)
		if err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		err = conn.Receive(&resp, time.Second)
		if (err == nil) != c.whole {
			t.Errorf("%s: %v", name, err)
		}
		conn.Release(err == nil)
		if reused := idleOf(p) == 1; reused != c.reused || s.closed.Load() == reused {
			t.Errorf("%s: kept for reuse %t", name, reused)
		}
	}
}

// Guards against reuse of a connection whose request was cancelled.
func TestEndedContextClosesTheConnection(t *testing.T) {
	s := &scriptedConn{acceptsBytes: -1}
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return s, nil }}
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, "a", AnyAge)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	c.Release(true)
	if idleOf(p) != 0 {
		t.Error("kept for reuse")
	}
}

// idleOf returns the number of idle connections of a pool.
func idleOf(p *Pool) int {
	_, idle := p.Totals()
	return idle
}

// pipeTarget is a target that accepts connections and never answers.
type pipeTarget struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (p *pipeTarget) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.mu.Lock()
	p.conns = append(p.conns, server)
	p.mu.Unlock()
	return client, nil
}

// Guards against connections beyond the limit, also when requests that need a new connection arrive while others are idle.
func TestLimitBoundsOpenConnections(t *testing.T) {
	target := &pipeTarget{}
	limit := 3
	p := &Pool{Dial: target.dial, Limit: func(string) int { return limit }}
	ctx := context.Background()
	var used []*Conn
	for range 3 {
		c, err := p.Get(ctx, "a", NewOnly)
		if err != nil {
			t.Fatal(err)
		}
		used = append(used, c)
	}
	if _, err := p.Get(ctx, "a", NewOnly); !errors.Is(err, ErrLimit) || !errors.Is(err, ErrNotSent) {
		t.Fatalf("fourth connection of three: %v", err)
	}
	if _, err := p.Get(ctx, "b", NewOnly); err != nil {
		t.Fatalf("the limit of one address binds another: %v", err)
	}
	used[0].Release(true)
	if _, err := p.Get(ctx, "a", NewOnly); err != nil {
		t.Fatalf("an idle connection was not given up for a new one: %v", err)
	}
	if n := p.Open("a"); n != 3 {
		t.Errorf("%d connections open, the limit is 3", n)
	}
	limit = 1
	used[1].Release(true)
	used[2].Release(true)
	if n := p.Open("a"); n != 1 {
		t.Errorf("%d connections open after the limit fell to 1", n)
	}
}

// Guards against idle connections that stay open, and so count against the target's limit, until they happen to be reused.
func TestIdleConnectionsAreReaped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &pipeTarget{}
		p := &Pool{Dial: target.dial, IdleTimeout: 2 * time.Second}
		open := func() *Conn {
			c, err := p.Get(t.Context(), "a", NewOnly)
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		stated, unstated := open(), open()
		stated.Answered(time.Second)
		stated.Release(true)
		unstated.Release(true)
		time.Sleep(1100 * time.Millisecond)
		if n := p.Open("a"); n != 1 {
			t.Errorf("%d connections open at 1.1 s; one target said it closes after 1 s", n)
		}
		time.Sleep(1500 * time.Millisecond)
		if n := p.Open("a"); n != 0 {
			t.Errorf("%d connections open at 2.6 s, the timeout is 2 s", n)
		}
	})
}

// Guards against a request that runs once and is sent on a connection which the target closes because it is full: whether
// it ran would be unknown.
func TestConfirmDetectsConnectionAboveTheTargetsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := true
		p := &Pool{Dial: func(context.Context, string) (net.Conn, error) {
			time.Sleep(2 * time.Millisecond)
			client, server := net.Pipe()
			if full {
				time.AfterFunc(time.Millisecond, func() { _ = server.Close() })
			}
			return client, nil
		}}
		for _, full = range []bool{true, false} {
			c, err := p.Get(t.Context(), "a", NewOnly)
			if err != nil {
				t.Fatal(err)
			}
			err = c.Confirm()
			if refused := errors.Is(err, ErrRefused) && errors.Is(err, ErrNotSent); refused != full {
				t.Errorf("target full %t: %v", full, err)
			}
			c.Release(false)
		}
	})
}

// lateConn is a connection whose reads fail, as after a deadline that passed while the host was paused, before they return what
// has arrived.
type lateConn struct {
	scriptedConn
	late int // reads that fail
}

func (l *lateConn) Read(p []byte) (int, error) {
	if l.late--; l.late >= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return l.scriptedConn.Read(p)
}

// Guards against a target that counts as silent although its answer waits to be read by a host that was paused.
func TestAnswerThatWaitsIsNoSilence(t *testing.T) {
	for late, want := range map[int]int{0: 0, 1: 0, 2: 1, 4: 2} {
		l := &lateConn{scriptedConn{acceptsBytes: -1, answer: strings.NewReader("x")}, late}
		p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return l, nil }}
		c, err := p.Get(context.Background(), "a", AnyAge)
		if err != nil {
			t.Fatal(err)
		}
		silences := 0
		c.LimitSilence(time.Now(), func() (time.Time, error) { silences++; return time.Now(), nil })
		if b, err := c.Reader().ReadByte(); b != 'x' || err != nil || silences != want {
			t.Errorf("%d late reads: %q, %v, silent %d times, want %d", late, b, err, silences, want)
		}
	}
}
