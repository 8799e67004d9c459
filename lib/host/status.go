package host

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
)

const (
	// statusTimeout is the read and write timeout of the status server, whose requests and answers are small.
	statusTimeout = 5 * time.Second
	// maxStatusConns is the maximum number of connections that the status server handles at once.
	maxStatusConns = 64
)

// StatusServer is the HTTP server that serves /metrics, /health and /ready of a program to the platform.
type StatusServer struct {
	view     confview.View
	sets     []*metrics.Set
	stopping atomic.Bool
	http     *fasthttp.Server
}

// NewStatusServer returns the status server of a program. Its /metrics contains the metrics of the given sets, of the
// registered sets and of the process. Its /ready follows the status of view.
func NewStatusServer(view confview.View, sets ...*metrics.Set) *StatusServer {
	s := &StatusServer{view: view, sets: sets}
	s.http = &fasthttp.Server{
		Handler: s.handle, GetOnly: true, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout,
		Concurrency: maxStatusConns, Name: "cuminhook", CloseOnShutdown: true, SecureErrorLogMessage: true,
	}
	return s
}

// Serve accepts connections until Close.
func (s *StatusServer) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Close shuts the server down.
func (s *StatusServer) Close() error { return s.http.Shutdown() }

// SetStopping makes /ready report that the program is stopping.
func (s *StatusServer) SetStopping() { s.stopping.Store(true) }

// Ready returns the body of /ready and whether load balancers should send requests to this host.
func (s *StatusServer) Ready() (state string, ready bool) {
	if s.stopping.Load() {
		return "stopping", false
	}
	switch s.view.Status() {
	case confview.Fresh:
		return "serving", true
	case confview.Outage:
		return "serving on old configuration", true
	case confview.Isolated:
		return "isolated", false
	default:
		return "starting", false
	}
}

// handle answers a request for one of the three paths.
func (s *StatusServer) handle(h *fasthttp.RequestCtx) {
	switch string(h.Path()) {
	case "/metrics":
		h.SetContentType("text/plain; version=0.0.4")
		for _, set := range s.sets {
			set.WritePrometheus(h)
		}
		metrics.WritePrometheus(h, true) // metrics of the default and registered sets, and of the process
	case "/health":
		h.SetBodyString("alive\n")
	case "/ready":
		state, ready := s.Ready()
		if !ready {
			h.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		h.SetBodyString(state + "\n")
	default:
		h.SetStatusCode(fasthttp.StatusNotFound)
		h.SetBodyString("unknown path; use /metrics, /health or /ready\n")
	}
}
