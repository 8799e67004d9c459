// Package weights is a small stand-in for the platform's weight store. It knows the sizes of artifacts and delays loads
// as the store's rate and speed limits do.
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
	Limits          weights.Limits
	BytesPerSecond  float64       // speed of one model load at full speed
	AdapterLoadTime time.Duration // duration of one adapter load at full speed
	Artifacts       []Artifact
}

// Server is the stand-in for the weight store. It is safe for concurrent use.
type Server struct {
	cfg       Config
	artifacts map[string]Artifact
	models    *loadPool
	adapters  *loadPool

	mu        sync.Mutex
	nextStart time.Time // guarded by mu; earliest start of the next model load
}

// New returns a server for the artifacts of cfg.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, artifacts: map[string]Artifact{},
		models: newLoadPool(cfg.Limits.FullSpeedLoads), adapters: newLoadPool(cfg.Limits.AdapterLoadsAtSpeed),
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

// Load blocks for as long as a load of a takes under the limits, or until ctx ends.
func (s *Server) Load(ctx context.Context, a Artifact) error {
	if a.Adapter {
		return s.adapters.run(ctx, s.cfg.AdapterLoadTime)
	}
	if err := sleep(ctx, s.reserveStart()); err != nil {
		return err
	}
	return s.models.run(ctx, time.Duration(float64(a.Bytes)/s.cfg.BytesPerSecond*float64(time.Second)))
}

// reserveStart reserves the next start of a model load and returns the time until then.
func (s *Server) reserveStart() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	delay := s.nextStart.Sub(now)
	s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / s.cfg.Limits.LoadsPerSecond))
	return delay
}

func sleep(ctx context.Context, d time.Duration) error {
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

// loadPool runs up to limit loads at full speed. Above the limit, all running loads share the total speed of limit loads.
type loadPool struct {
	limit int

	mu           sync.Mutex
	running      int           // guarded by mu
	speedChanged chan struct{} // guarded by mu; closed when the speed changes
}

func newLoadPool(limit int) *loadPool {
	return &loadPool{limit: max(1, limit), speedChanged: make(chan struct{})}
}

// run blocks for the duration of a load that takes fullSpeedTime at full speed, or until ctx ends.
func (p *loadPool) run(ctx context.Context, fullSpeedTime time.Duration) error {
	p.addRunning(1)
	defer p.addRunning(-1)
	remaining := float64(fullSpeedTime)
	for remaining >= 1 {
		speed, changed := p.currentSpeed()
		start := time.Now()
		t := time.NewTimer(time.Duration(math.Ceil(remaining / speed)))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-changed:
			t.Stop()
		case <-t.C:
		}
		remaining -= float64(time.Since(start)) * speed
	}
	return nil
}

func (p *loadPool) addRunning(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += by
	close(p.speedChanged)
	p.speedChanged = make(chan struct{})
}

func (p *loadPool) currentSpeed() (speed float64, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return math.Min(1, float64(p.limit)/float64(p.running)), p.speedChanged
}
