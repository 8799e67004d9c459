package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
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
	c, err := p.Get(context.Background(), "a", false)
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
		if reused := len(p.idle["a"]) == 1; reused != c.reused || s.closed.Load() == reused {
			t.Errorf("%s: kept for reuse %t", name, reused)
		}
	}
}

// Guards against reuse of a connection whose request was cancelled.
func TestEndedContextClosesTheConnection(t *testing.T) {
	s := &scriptedConn{acceptsBytes: -1}
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return s, nil }}
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, "a", false)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	c.Release(true)
	if len(p.idle["a"]) != 0 {
		t.Error("kept for reuse")
	}
}
