package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"cuminhook.org/cuminhook/lib/membudget"
)

// Guards against lost or reordered bytes of a request that the caller sends while an earlier one is being served, and
// against a request context that is cancelled although the caller is still connected.
func TestDisconnectWatchKeepsPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := fasthttputil.NewInmemoryListener()
		s := NewServer(ServerConfig{MaxHeaderBytes: 4096, ReadTimeout: time.Second, IdleTimeout: time.Minute, First: HandlerFunc(func(ctx context.Context, ex *Exchange) error {
			time.Sleep(3 * time.Second) // virtual; longer than the read timeout
			ex.HTTP.SetBodyString(fmt.Sprintf("%s %v", ex.HTTP.Path(), ctx.Err()))
			return nil
		})})
		go func() { _ = s.Serve(ln) }()
		c, err := ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		br := bufio.NewReader(c)
		for i := range 3 {
			fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
			time.Sleep(time.Second)
		}
		for i := range 3 {
			var resp fasthttp.Response
			if err := resp.Read(br); err != nil || string(resp.Body()) != fmt.Sprintf("/%d <nil>", i) {
				t.Errorf("answer %d: %v %q", i, err, resp.Body())
			}
		}
		time.Sleep(30 * time.Second) // an idle connection stays open beyond the read timeout
		fmt.Fprint(c, "GET /again HTTP/1.1\r\nHost: a\r\n\r\n")
		var resp fasthttp.Response
		if err := resp.Read(br); err != nil || !strings.HasPrefix(string(resp.Body()), "/again") {
			t.Errorf("after idling: %v %q", err, resp.Body())
		}
		_ = c.Close()
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		time.Sleep(11 * time.Second) // longer than the check period of fasthttp's worker pool
	})
}

// Guards against a request that is accepted after the listener was closed, on a connection that its caller had opened ahead, and
// against a stop that waits for such a connection.
func TestStopClosesConnectionsThatWereNeverUsed(t *testing.T) {
	s := NewServer(ServerConfig{
		First: HandlerFunc(func(context.Context, *Exchange) error { return nil }), MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxConns: 10,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for s.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v from an unused connection of a stopped server", n, err)
	}
	if err := errors.Join(<-stopped, <-served); err != nil {
		t.Error(err)
	}
}

// Guards against memory that idle connections keep for the largest request that they have carried.
func TestBodyOfALargeRequestIsNotKeptByItsConnection(t *testing.T) {
	const large = 1 << 20
	kept := make(chan int, 10)
	s := NewServer(ServerConfig{
		First: HandlerFunc(func(_ context.Context, ex *Exchange) error {
			ex.OnFinish(func(Outcome) { kept <- cap(ex.HTTP.Request.Body()) })
			return nil
		}), MaxBodyBytes: 2 * large, MaxBufferedBytes: 2 * large, MaxHeaderBytes: 4096, ReadTimeout: time.Minute, WriteTimeout: time.Minute,
		IdleTimeout: time.Minute,
	})
	ln := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Stop(context.Background()) }()
	conn, err := ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	body := strings.Repeat("x", large)
	for name, request := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", large, body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", large, body),
	} {
		for _, rest := range []string{request, "Content-Length: 2\r\n\r\nhi"} {
			if _, err := fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+rest); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
				t.Fatalf("%s: %d, %v", name, resp.StatusCode(), err)
			}
		}
		<-kept
		if n := <-kept; n > membudget.SmallBytes {
			t.Errorf("%s: the connection keeps %d bytes", name, n)
		}
	}
}

// startPressed starts a server with a small budget whose handler answers with the length of the body, and returns a function that opens a
// connection and sends the text.
func startPressed(t *testing.T, limit int64, log *slog.Logger) (*Server, func(text string) (net.Conn, *bufio.Reader)) {
	s := NewServer(ServerConfig{
		First: HandlerFunc(func(_ context.Context, ex *Exchange) error {
			ex.HTTP.SetBodyString(fmt.Sprint(len(ex.HTTP.Request.Body())))
			return nil
		}), MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096, HeaderTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute,
		IdleTimeout: time.Minute, MaxConns: 20, Memory: membudget.New(membudget.Config{Limit: limit, Shed: true}), Log: log,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s, func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		return conn, bufio.NewReader(conn)
	}
}

// Guards against a shed request that gets no refusal or one that doesn't say that it has not run, and against one that is served although
// its memory went to another one.
func TestShedRequestsAreRefusedAsNotRun(t *testing.T) {
	s, dial := startPressed(t, 2<<20, nil)
	body := strings.Repeat("x", 900_000)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	_, stalled := dial(head + body[1:])
	for s.memory.Held(membudget.Bodies) < int64(len(body)) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond) // above the time after which it counts as stalled
	_, served := dial(head + body)
	var resp fasthttp.Response
	if err := resp.Read(served); err != nil || resp.StatusCode() != 200 || string(resp.Body()) != "900000" {
		t.Errorf("%d %q %v", resp.StatusCode(), resp.Body(), err)
	}
	if err := resp.Read(stalled); err != nil || resp.StatusCode() != 503 || !resp.ConnectionClose() || !strings.Contains(string(resp.Body()), `"not_run"`) {
		t.Errorf("shed: %d %q %v", resp.StatusCode(), resp.Body(), err)
	}
	for range 1000 {
		if s.memory.Held(membudget.Bodies) == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d bytes are still held", s.memory.Held(membudget.Bodies))
}

// Guards against limits of the operator that do not follow changes, on connections that are open already too.
func TestLimitsFollowChanges(t *testing.T) {
	s, dial := startPressed(t, 8<<20, nil)
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000)
	conn, br := dial(request)
	var resp fasthttp.Response
	if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
		t.Fatal(resp.StatusCode(), err)
	}
	s.SetLimits(Limits{MaxHeaderBytes: 100, MaxBodyBytes: 99_999, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	if _, err := io.WriteString(conn, request[:100]); err != nil {
		t.Fatal(err)
	}
	if err := resp.Read(br); err != nil || resp.StatusCode() != 413 {
		t.Errorf("%d %v", resp.StatusCode(), err)
	}
	_, br = dial("GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 100) + "\r\n\r\n")
	if err := resp.Read(br); err != nil || resp.StatusCode() != 431 {
		t.Errorf("%d %v", resp.StatusCode(), err)
	}
	s.SetLimits(Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 100_000, HeaderTimeout: time.Second, IdleTimeout: 50 * time.Millisecond})
	_, br = dial(request)
	if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
		t.Errorf("%d %v", resp.StatusCode(), err)
	}
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection is not closed: %v", err)
	}
}

// Guards against connections without a request that keep all others out.
func TestUnusedConnectionsGiveWayAtTheLimit(t *testing.T) {
	_, dial := startPressed(t, 8<<20, nil)
	for range 20 {
		dial("")
	}
	time.Sleep(300 * time.Millisecond) // above the age from which unused connections give way
	for range 5 {
		_, br := dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		var resp fasthttp.Response
		if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
			t.Errorf("%d %v", resp.StatusCode(), err)
		}
	}
}

// Guards against an empty line after a body that counts as the start of the next request, so that its time runs while the connection is idle.
func TestEmptyLineAfterABodyStartsNoRequest(t *testing.T) {
	s, dial := startPressed(t, 8<<20, nil)
	s.SetLimits(Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: 20 * time.Millisecond, IdleTimeout: time.Minute})
	conn, br := dial("")
	for range 3 {
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi\r\n"); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
			t.Fatal(resp.StatusCode(), err)
		}
		time.Sleep(60 * time.Millisecond) // above HeaderTimeout
	}
}
