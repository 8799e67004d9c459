// Package httpmain runs tests that use fasthttp servers in virtual time.
package httpmain

import (
	"bufio"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Run runs the tests of m and returns the exit code. Before, it serves one request outside every synctest bubble: the
// first fasthttp server starts a goroutine that never ends, which would keep a bubble from ending.
func Run(m *testing.M) int {
	ln := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = s.Serve(ln) }()
	if c, err := ln.Dial(); err == nil {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, _ = bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
	}
	_ = s.Shutdown()
	return m.Run()
}
