package entryhost

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

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
		h.updateEvenness()
		h.cfg.Metrics.WritePrometheus(ctx)
		metrics.WriteProcessMetrics(ctx)
	}
}

// updateEvenness sets the metrics that show how evenly targets are loaded.
func (h *Host) updateEvenness() {
	e := h.balancer.Evenness(time.Now())
	for _, name := range h.cfg.Metrics.ListMetricNames() {
		if strings.HasPrefix(name, busiestMetric+"{") || strings.HasPrefix(name, speedMetric+"{") {
			h.cfg.Metrics.UnregisterMetric(name) // the model or target may have gone
		}
	}
	for copies, ratio := range e.BusiestOverMean {
		h.cfg.Metrics.GetOrCreateGauge(fmt.Sprintf("%s{service=%q,model=%q}", busiestMetric, copies.Service, copies.Model), nil).Set(ratio)
	}
	for target, speed := range e.Speeds {
		h.cfg.Metrics.GetOrCreateGauge(fmt.Sprintf("%s{target=%q}", speedMetric, target), nil).Set(speed)
	}
	h.cfg.Metrics.GetOrCreateCounter("cuminhook_prefix_requests_total").Set(e.PrefixRequests)
	h.cfg.Metrics.GetOrCreateCounter("cuminhook_prefix_spills_total").Set(e.PrefixSpills)
}

const (
	busiestMetric = "cuminhook_copies_busiest_over_mean"
	speedMetric   = "cuminhook_target_learned_speed"
)

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

// Peers returns the number of other hosts whose states arrive.
func (h *Host) Peers() int { return h.peers.Fleet().Reachable - 1 }

// Brittle reports whether targets of any service are known to be brittle.
func (h *Host) Brittle() bool { return len(h.brittle.Brittle(time.Now())) > 0 }

// Cut reports whether this host is cut off from the targets while others reach them.
func (h *Host) Cut() bool { return h.path.Cut() }
