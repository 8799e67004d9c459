package weights

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/weights"
	"cuminhook.org/cuminhook/lib/weights/httpweights"
)

func server() *Server {
	return New(Config{
		Limits:         weights.Limits{LoadsPerSecond: 2, FullSpeedLoads: 3, AdapterLoadsAtSpeed: 2},
		BytesPerSecond: 10, AdapterLoadTime: 4 * time.Millisecond,
		Artifacts: []Artifact{{Name: "org/m", Bytes: 100}, {Name: "a", Bytes: 1, Adapter: true}},
	})
}

// Guards against a stand-in that is faster than its limits: adapter loads beyond the limit share its speed, and model
// loads start at the limited rate.
func TestLoadsTakeTimeOfLimits(t *testing.T) {
	for _, c := range []struct {
		name  string
		loads int
		want  time.Duration
	}{
		{"a", 2, 4 * time.Millisecond},
		{"a", 6, 12 * time.Millisecond},
		{"org/m", 1, 10 * time.Second},
		{"org/m", 3, 11 * time.Second}, // the third starts a second after the first
	} {
		synctest.Test(t, func(t *testing.T) {
			s := server()
			start := time.Now()
			var g errgroup.Group
			for range c.loads {
				g.Go(func() error { return s.Load(t.Context(), s.artifacts[c.name]) })
			}
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
			if got := time.Since(start); got < c.want || got > c.want+time.Microsecond {
				t.Errorf("%d loads of %s took %v, want %v", c.loads, c.name, got, c.want)
			}
		})
	}
}

// Guards against a client and a stand-in that disagree on the protocol, also for names with a slash.
func TestProtocolOfClientAndStandIn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: server().Handle}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown() }()
	store, err := httpweights.New("http://" + ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	if a, err := store.Lookup(ctx, "org/m"); err != nil || a.Bytes != 100 {
		t.Fatalf("got %+v, %v", a, err)
	}
	if _, err := store.Lookup(ctx, "x"); !errors.Is(err, weights.ErrNotFound) {
		t.Fatalf("got %v", err)
	}
	if err := store.Load(ctx, "a"); err != nil {
		t.Fatal(err)
	}
}
