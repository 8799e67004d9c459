package httpanswer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/hostlist/httplist"
	"cuminhook.org/cuminhook/lib/kv/httpkv"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/service"
	"cuminhook.org/cuminhook/lib/service/httpservice"
	"cuminhook.org/cuminhook/lib/weights/httpweights"
	"cuminhook.org/cuminhook/platform"
)

// serveText answers each request on its own connection with the text, in which @ stands for the length of body in bytes, % for the same in
// hexadecimal, and # for body.
func serveText(t *testing.T, text, body string) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	text = strings.NewReplacer("@", fmt.Sprint(len(body)), "%", fmt.Sprintf("%x", len(body)), "#", body).Replace(text)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func errorOf[T any](_ T, err error) error { return err }

// Guards against clients that take a broken answer for one: each has to reject what it would otherwise have taken, and accept the sound one.
func TestClientsRejectMalformedAnswers(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		body string
		call func(addr string) error
	}{
		"key-value service": {`{"version":1}`, func(addr string) error { return errorOf(must(httpkv.New("http://"+addr)).Put(ctx, "k", nil, 0, 0)) }},
		"host list":         {`[]`, func(addr string) error { return errorOf(must(httplist.New("http://" + addr)).Hosts(ctx)) }},
		"weight store":      {`{}`, func(addr string) error { return errorOf(must(httpweights.New("http://"+addr)).Lookup(ctx, "a")) }},
		"administration API": {`{}`, func(addr string) error {
			return errorOf(must(adminapi.NewClient("http://"+addr, "")).Apply([]byte("{}")))
		}},
		"engine": {`{}`, func(addr string) error {
			return errorOf(httpengine.New(httpengine.Config{}).Do(ctx, addr, &engine.Request{ID: "1", Path: "/"}))
		}},
		"stream of an engine": {"id: 1\ndata: [DONE]\n\n", func(addr string) error {
			r, err := httpengine.New(httpengine.Config{}).Stream(ctx, addr, &engine.Request{ID: "1", Path: "/", Stream: true})
			if err != nil {
				return err
			}
			return errorOf(r.Next(ctx))
		}},
		"service": {`{}`, func(addr string) error {
			return errorOf(httpservice.New(nil).Do(ctx, addr, &service.Request{ID: "1", Method: "POST", Path: "/"}))
		}},
		"platform's store": {`{"revision":3}`, func(addr string) error { return errorOf(platform.NewStore(addr).Put(ctx, "k", nil, 0, 0)) }},
		"order to a target": {`{}`, func(addr string) error {
			return errorOf(platform.NewTargetClient().Send(ctx, &registry.Target{ID: "t", Addr: addr}, orders.Order{Op: "load", Model: "m"}))
		}},
		"report of a target": {`{}`, func(addr string) error {
			return errorOf(platform.NewTargetClient().Report(ctx, &registry.Target{ID: "t", Addr: addr}))
		}},
	} {
		const id, chunks = "X-Request-Id: 1\r\n", "Transfer-Encoding: chunked\r\n\r\n%\r\n#\r\n0\r\n"
		for text, sound := range map[string]bool{
			"HTTP/1.1 200 OK\r\n" + id + "Content-Length: @\r\n\r\n#":                                true,
			"HTTP/1.1 200\r\n" + id + "X-Note: \xe9\r\nx-empty:\r\ncontent-length: @\r\n\r\n#":       true,
			"HTTP/1.1 200 OK\r\n" + id + chunks + "X-Sum: 1\r\n\r\n":                                 true,
			"HTTP/1.1 000 OK\r\n" + id + "Content-Length: @\r\n\r\n#":                                false,
			"HTTP/1.1 200 OK\r\n" + id + "X Note: a\r\nContent-Length: @\r\n\r\n#":                   false,
			"HTTP/1.1 200 OK\r\n" + id + "X-Note: a\x01\r\nContent-Length: @\r\n\r\n#":               false,
			"HTTP/1.1 200 OK\r\n" + id + "\r\n#":                                                     false,
			"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9\r\n" + chunks + "\r\n":                   false,
			"HTTP/1.1 200 OK\r\n" + id + "Content-Length: @\r\nContent-Length: 1@\r\n\r\n#123456789": false,
			"HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: @\r\n\r\n#":          false,
		} {
			if err := c.call(serveText(t, text, c.body)); (err == nil) != sound {
				t.Errorf("%s, answer %q: %v", name, text, err)
			}
		}
	}
}

// Guards against a failure that a caller gets with a text of this host's in place of the engine's body, which was cut off.
func TestFailureOfAStreamIsWhole(t *testing.T) {
	for text, whole := range map[string]bool{"Content-Length: @\r\n\r\n#": true, "Content-Length: 9@\r\n\r\n#": false, "Transfer-Encoding: chunked\r\n\r\n%\r\n#": false} {
		addr := serveText(t, "HTTP/1.1 400 X\r\nX-Request-Id: 1\r\n"+text, "bad request")
		_, err := httpengine.New(httpengine.Config{}).Stream(context.Background(), addr, &engine.Request{ID: "1", Path: "/", Stream: true})
		if failure := (*engine.StatusError)(nil); errors.As(err, &failure) != whole || whole && string(failure.Body) != "bad request" {
			t.Errorf("%q: %v", text, err)
		}
	}
}
