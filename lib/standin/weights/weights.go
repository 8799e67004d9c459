// Package weights is a small stand-in for the platform's weight store: it knows artifacts and lets loads take
// the time that its limits give them.
package weights

import (
	"context"
	"encoding/json"
	"math"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/weights"
	"cuminhook.org/cuminhook/lib/weights/httpweights"
)

// Artifact is a stored model or adapter.
type Artifact struct {
	Name    string `yaml:"name" json:"name"`
	Bytes   int64  `yaml:"bytes" json:"bytes"`
	Adapter bool   `yaml:"adapter" json:"adapter"`
}

// Config holds the stand-in's settings.
type Config struct {
	Limits         weights.Limits
	BytesPerSecond float64       // of one model load at full speed
	AdapterTime    time.Duration // of one adapter load at full speed
	Artifacts      []Artifact
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg       Config
	artifacts map[string]Artifact
	models    *pool
	adapters  *pool

	mu   sync.Mutex
	next time.Time // guarded by mu; earliest start of the next model load
}

// New returns a stand-in.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, artifacts: map[string]Artifact{},
		models: newPool(cfg.Limits.FullSpeedLoads), adapters: newPool(cfg.Limits.AdapterLoadsAtSpeed),
	}
	for _, a := range cfg.Artifacts {
		s.artifacts[a.Name] = a
	}
	return s
}

// Handle serves the protocol of httpweights.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	prefix, method := httpweights.PathArtifacts, fasthttp.MethodGet
	if strings.HasPrefix(path, httpweights.PathLoads) {
		prefix, method = httpweights.PathLoads, fasthttp.MethodPost
	}
	name, err := url.PathUnescape(strings.TrimPrefix(path, prefix))
	a, ok := s.artifacts[name]
	switch {
	case err != nil || !strings.HasPrefix(path, prefix) || !ok:
		ctx.Error("no such artifact\n", fasthttp.StatusNotFound)
	case string(ctx.Method()) != method:
		ctx.Error("use "+method+"\n", fasthttp.StatusMethodNotAllowed)
	case method == fasthttp.MethodPost && s.Load(ctx, a) != nil:
		ctx.Error("stopping\n", fasthttp.StatusServiceUnavailable)
	default:
		body, err := json.Marshal(weights.Artifact{Name: a.Name, Bytes: a.Bytes})
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
}

// Load waits for the time that a load of a takes.
func (s *Server) Load(ctx context.Context, a Artifact) error {
	if a.Adapter {
		return s.adapters.run(ctx, s.cfg.AdapterTime)
	}
	if err := wait(ctx, s.start()); err != nil {
		return err
	}
	return s.models.run(ctx, time.Duration(float64(a.Bytes)/s.cfg.BytesPerSecond*float64(time.Second)))
}

// start returns how long a model load has to wait for its start.
func (s *Server) start() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	delay := s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.cfg.Limits.LoadsPerSecond))
	return delay
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// pool runs loads at full speed up to a limit. Beyond it all of them share the speed of the limit.
type pool struct {
	limit int

	mu      sync.Mutex
	running int           // guarded by mu
	speed   chan struct{} // guarded by mu; closed when the speed changes
}

func newPool(limit int) *pool { return &pool{limit: max(1, limit), speed: make(chan struct{})} }

// run returns after the load, which takes full at full speed.
func (p *pool) run(ctx context.Context, full time.Duration) error {
	p.change(1)
	defer p.change(-1)
	left := float64(full)
	for left >= 1 {
		speed, changed := p.now()
		start := time.Now()
		t := time.NewTimer(time.Duration(math.Ceil(left / speed)))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-changed:
			t.Stop()
		case <-t.C:
		}
		left -= float64(time.Since(start)) * speed
	}
	return nil
}

func (p *pool) change(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += by
	close(p.speed)
	p.speed = make(chan struct{})
}

func (p *pool) now() (speed float64, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return math.Min(1, float64(p.limit)/float64(p.running)), p.speed
}
