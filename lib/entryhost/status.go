package entryhost

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// readyHandler answers every path with 200 while the host can serve requests, and with 503 otherwise.
func (h *Host) readyHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !h.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
}

// metricsHandler serves the metrics in the Prometheus text format.
func (h *Host) metricsHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h.cfg.Metrics.WritePrometheus(ctx)
		metrics.WriteProcessMetrics(ctx)
	}
}

// serveStatus serves a handler at addr (IP:port) until ctx ends.
func serveStatus(ctx context.Context, addr string, h fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("status page: %w; choose an address of this host that is free", err)
	}
	s := &fasthttp.Server{Handler: h, Name: "cuminhook", ReadBufferSize: 2048}
	go func() {
		<-ctx.Done()
		_ = s.Shutdown()
	}()
	return s.Serve(ln)
}
