// Package httpmain runs tests that use fasthttp servers in virtual time.
package httpmain

import (
	"bufio"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Run starts the goroutine of fasthttp that never ends, so that it belongs to no bubble, and runs the tests.
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
