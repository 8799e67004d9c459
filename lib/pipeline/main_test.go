package pipeline

import (
	"bufio"
	"fmt"
	"os"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// fasthttp's first server starts a goroutine that never ends; it must not belong to a bubble.
func TestMain(m *testing.M) {
	ln := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = s.Serve(ln) }()
	if c, err := ln.Dial(); err == nil {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, _ = bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
	}
	_ = s.Shutdown()
	os.Exit(m.Run())
}
