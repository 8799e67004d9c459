package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest serves requests of a size on an open connection. cpu-ns/op is the processor time of client and server together; the
// client is the same raw writer for all.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 32 << 10, 1 << 20, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := NewServer(ServerConfig{
				First: HandlerFunc(func(_ context.Context, ex *Exchange) error {
					ex.HTTP.SetBodyString("answer")
					return nil
				}), MaxBodyBytes: 5 << 20, MaxBufferedBytes: 64 << 20, MaxHeaderBytes: 20 << 10, ReadTimeout: time.Minute, WriteTimeout: time.Minute,
				IdleTimeout: time.Minute, MaxConns: 100,
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(ln) }()
			defer func() { _ = s.Stop(context.Background()) }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			request := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\nCuminhook-Attempt-Id: 1234\r\nContent-Length: %d\r\n\r\n%s",
				size, strings.Repeat("x", size))
			var resp fasthttp.Response
			b.ResetTimer()
			began := processorTime(b)
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
					b.Fatal(resp.StatusCode(), err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}
