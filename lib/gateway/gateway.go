// Package gateway builds the filter chain of a gateway and serves callers' HTTP connections with it.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/filter/accesslog"
	"cuminhook.org/cuminhook/lib/filter/auth"
	"cuminhook.org/cuminhook/lib/filter/dispatch"
	"cuminhook.org/cuminhook/lib/filter/requestid"
	"cuminhook.org/cuminhook/lib/filter/requestparse"
	"cuminhook.org/cuminhook/lib/filter/routing"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/service"
)

// Limits bound the size, number and duration of callers' requests and connections.
type Limits struct {
	MaxBody       int           `yaml:"max_body"`         // bytes
	MaxBuffered   int64         `yaml:"max_buffered"`     // bytes of all requests in memory
	MaxHeader     int           `yaml:"max_header"`       // bytes, request line included
	MaxConns      int           `yaml:"max_conns"`        // callers' connections
	MaxConnsPerIP int           `yaml:"max_conns_per_ip"` // zero: unlimited, as behind a load balancer
	ReadTimeout   time.Duration `yaml:"read_timeout"`     // whole request
	WriteTimeout  time.Duration `yaml:"write_timeout"`    // whole answer; each write of a stream has 5 s
	IdleTimeout   time.Duration `yaml:"idle_timeout"`     // between requests of a connection
}

// DefaultLimits returns the limits of a gateway without settings. MaxBody has room for long prompts and images.
// IdleTimeout exceeds the 60 s for which load balancers commonly keep idle connections, so that the balancer closes first.
func DefaultLimits() Limits {
	return Limits{
		MaxBody: 8 << 20, MaxBuffered: 512 << 20, MaxHeader: 16 << 10, MaxConns: 20_000,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second,
	}
}

// Wrap adds a filter in front of next.
type Wrap func(next pipeline.Handler) pipeline.Handler

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Limits      Limits
	View        confview.View
	Picker      dispatch.Picker // nil: the target with the fewest outstanding requests
	Engine      engine.Inference
	Services    service.Client
	RetryBudget dispatch.RetryBudget // nil: retries are not limited by a budget
	Idempotency Wrap                 // nil: no such filter
	Admission   Wrap                 // nil: no such filter
	Log         *slog.Logger
	Metrics     *metrics.Set
	NoResume    bool // broken streams are not resumed
}

// Gateway serves callers' requests through its filter chain.
type Gateway struct {
	server   *pipeline.Server
	dispatch *dispatch.Filter
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Picker == nil {
		cfg.Picker = dispatch.NewLeastOutstanding(cfg.View)
	}
	dispatcher := dispatch.New(dispatch.Config{
		View: cfg.View, Picker: cfg.Picker, Engine: cfg.Engine, Services: cfg.Services, Budget: cfg.RetryBudget,
		Metrics: cfg.Metrics, NoResume: cfg.NoResume,
	})
	handler := pipeline.Handler(dispatcher)
	for _, wrap := range []Wrap{cfg.Admission, cfg.Idempotency} {
		if wrap != nil {
			handler = wrap(handler)
		}
	}
	handler = routing.New(handler, routing.Config{View: cfg.View})
	handler = auth.New(handler, auth.Config{View: cfg.View})
	handler = requestparse.New(handler, requestparse.Config{})
	handler = accesslog.New(handler, accesslog.Config{Log: cfg.Log, Metrics: cfg.Metrics})
	handler = requestid.New(handler, requestid.Config{})
	limits := cfg.Limits
	server := pipeline.NewServer(pipeline.ServerConfig{
		First: handler, MaxBodyBytes: limits.MaxBody, MaxBufferedBytes: limits.MaxBuffered, MaxHeaderBytes: limits.MaxHeader,
		ReadTimeout: limits.ReadTimeout, WriteTimeout: limits.WriteTimeout, IdleTimeout: limits.IdleTimeout,
		MaxConns: limits.MaxConns, MaxConnsPerIP: limits.MaxConnsPerIP, Log: cfg.Log, Metrics: cfg.Metrics,
	})
	return &Gateway{server: server, dispatch: dispatcher}
}

// Run monitors open streams until ctx ends. It must run for as long as the gateway serves.
func (g *Gateway) Run(ctx context.Context) { g.dispatch.Run(ctx) }

// Serve accepts connections on ln until Stop is called.
func (g *Gateway) Serve(ln net.Listener) error { return g.server.Serve(ln) }

// Stop marks the host as not ready and continues to serve for delay, so that load balancers notice. It then closes the
// listeners and waits for open requests and streams. It returns an error if ctx ends first.
func (g *Gateway) Stop(ctx context.Context, delay time.Duration) error {
	g.server.BeginStop()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.server.Stop(ctx)
}
