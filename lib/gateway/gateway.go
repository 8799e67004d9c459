// Package gateway puts the filters of a gateway together and serves callers with them.
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
	"cuminhook.org/cuminhook/lib/filter/inlet"
	"cuminhook.org/cuminhook/lib/filter/requestid"
	"cuminhook.org/cuminhook/lib/filter/routing"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/service"
)

// Limits bound what callers may use.
type Limits struct {
	MaxBody       int           `yaml:"max_body"`         // bytes
	MaxBuffered   int64         `yaml:"max_buffered"`     // bytes of all requests in memory together
	MaxHeader     int           `yaml:"max_header"`       // bytes, request line included
	MaxConns      int           `yaml:"max_conns"`        // callers' connections
	MaxConnsPerIP int           `yaml:"max_conns_per_ip"` // zero: unlimited, as behind a load balancer
	ReadTimeout   time.Duration `yaml:"read_timeout"`     // whole request
	WriteTimeout  time.Duration `yaml:"write_timeout"`    // whole answer; each write of a stream has 5 s
	IdleTimeout   time.Duration `yaml:"idle_timeout"`     // between requests of a connection
}

// DefaultLimits are the limits of a gateway without settings. Bodies hold long prompts and pictures; idle
// connections live longer than those of load balancers, which commonly keep them for 60 s.
func DefaultLimits() Limits {
	return Limits{
		MaxBody: 8 << 20, MaxBuffered: 512 << 20, MaxHeader: 16 << 10, MaxConns: 20_000,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second,
	}
}

// Wrap adds a filter in front of next.
type Wrap func(next pipeline.Handler) pipeline.Handler

// Config are the parts of a gateway.
type Config struct {
	Limits      Limits
	View        confview.View
	Picker      dispatch.Picker // nil: least outstanding
	Engine      engine.Inference
	Services    service.Client
	Budget      dispatch.RetryBudget // nil: no budget
	Idempotency Wrap                 // nil: passed over
	Admission   Wrap                 // nil: passed over
	Log         *slog.Logger
	Set         *metrics.Set
	NoResume    bool // turns the resumption of broken streams off
}

// Gateway serves callers.
type Gateway struct {
	server   *pipeline.Server
	dispatch *dispatch.Filter
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	if cfg.Picker == nil {
		cfg.Picker = dispatch.NewLeastOutstanding(cfg.View)
	}
	last := dispatch.New(dispatch.Config{
		View: cfg.View, Picker: cfg.Picker, Engine: cfg.Engine, Services: cfg.Services, Budget: cfg.Budget,
		Metrics: cfg.Set, NoResume: cfg.NoResume,
	})
	h := pipeline.Handler(last)
	for _, wrap := range []Wrap{cfg.Admission, cfg.Idempotency} {
		if wrap != nil {
			h = wrap(h)
		}
	}
	h = routing.New(h, routing.Config{View: cfg.View})
	h = auth.New(h, auth.Config{View: cfg.View})
	h = inlet.New(h, inlet.Config{})
	h = accesslog.New(h, accesslog.Config{Log: cfg.Log, Set: cfg.Set})
	h = requestid.New(h, requestid.Config{})
	l := cfg.Limits
	server := pipeline.NewServer(pipeline.ServerConfig{
		First: h, MaxBodyBytes: l.MaxBody, MaxBufferedBytes: l.MaxBuffered, MaxHeaderBytes: l.MaxHeader, ReadTimeout: l.ReadTimeout, WriteTimeout: l.WriteTimeout,
		IdleTimeout: l.IdleTimeout, MaxConns: l.MaxConns, MaxConnsPerIP: l.MaxConnsPerIP, Log: cfg.Log, Metrics: cfg.Set,
	})
	return &Gateway{server: server, dispatch: last}
}

// Run watches open streams until ctx ends. It must be active while the gateway serves.
func (g *Gateway) Run(ctx context.Context) { g.dispatch.Run(ctx) }

// Serve accepts callers on ln until Stop.
func (g *Gateway) Serve(ln net.Listener) error { return g.server.Serve(ln) }

// Stop serves on for delay, in which load balancers notice that the host is not ready, then closes the
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
