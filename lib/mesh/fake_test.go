package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "7", "20")) }

// world is an in-memory network with a key-value service and faults. Hosts are named by their address.
type world struct {
	mu      sync.Mutex
	ln      map[string]*listener // guarded by mu
	cuts    map[[2]string]bool   // from, to; guarded by mu
	frozen  map[string]bool      // guarded by mu
	latency time.Duration        // guarded by mu
	hosts   []hostlist.Host      // guarded by mu
	value   []byte               // of the manifest key, guarded by mu
	version kv.Version           // guarded by mu
	changed chan struct{}        // closed at each write, guarded by mu
	kvCalls int                  // guarded by mu
	refuse  bool                 // the key-value service refuses calls, guarded by mu
	breaks  func(*recency)       // applied to each node started
}

const kvAddr = "kv"

func newWorld() *world {
	return &world{
		ln: map[string]*listener{}, cuts: map[[2]string]bool{}, frozen: map[string]bool{},
		latency: time.Millisecond, changed: make(chan struct{}),
	}
}

func (w *world) cut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = on
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

func (w *world) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latency
}

func (w *world) freeze(addr string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen[addr] = on
}

// thaw waits until addr is not frozen, or for done.
func (w *world) thaw(addr string, done <-chan struct{}) {
	for {
		w.mu.Lock()
		f := w.frozen[addr]
		w.mu.Unlock()
		if !f {
			return
		}
		select {
		case <-done:
			return
		default:
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// write stores the next manifest revision and returns it.
func (w *world) write(change func(m *manifest.Manifest)) *manifest.Manifest {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := manifest.Initial()
	if w.version > 0 {
		_ = json.Unmarshal(w.value, m)
	}
	m.Revision++
	change(m)
	w.value, _ = manifest.Encode(m)
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
	return m
}

type transport struct {
	w    *world
	addr string
}

type listener struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error { l.once.Do(func() { close(l.done) }); return nil }

func (t transport) Listen(_ context.Context, addr string) (net.Listener, error) {
	l := &listener{conns: make(chan net.Conn, 64), done: make(chan struct{})}
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	t.w.ln[addr] = l
	return l, nil
}

func (t transport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	t.w.thaw(t.addr, ctx.Done())
	if t.w.isCut(t.addr, addr) || t.w.isCut(addr, t.addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.w.mu.Lock()
	l := t.w.ln[addr]
	t.w.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	done := make(chan struct{})
	var once sync.Once
	shut := func() { once.Do(func() { close(done) }) }
	ab, ba := make(chan chunk, 4096), make(chan chunk, 4096)
	near := &fakeConn{w: t.w, from: t.addr, to: addr, in: ba, out: ab, done: done, shut: shut}
	far := &fakeConn{w: t.w, from: addr, to: t.addr, in: ab, out: ba, done: done, shut: shut}
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	}
}

type chunk struct {
	data []byte
	at   time.Time
}

// fakeConn is one end of a connection. A byte lost to a cut silences its direction permanently.
type fakeConn struct {
	net.Conn
	w        *world
	from, to string
	in       <-chan chunk
	out      chan<- chunk
	rest     []byte
	done     chan struct{}
	shut     func()
	mu       sync.Mutex
	silent   bool // guarded by mu
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case k := <-c.in:
			time.Sleep(time.Until(k.at))
			c.w.thaw(c.to, c.done) // sent when the sender resumes
			c.w.thaw(c.from, c.done)
			c.rest = k.data
		case <-c.done:
			return 0, io.EOF
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write does not block: net/rpc holds a mutex meanwhile, which stops virtual time.
func (c *fakeConn) Write(p []byte) (int, error) {
	select {
	case <-c.done:
		return 0, io.ErrClosedPipe
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent = c.silent || c.w.isCut(c.from, c.to); !c.silent {
		c.out <- chunk{append([]byte(nil), p...), time.Now().Add(c.w.delay())}
	}
	return len(p), nil
}

func (c *fakeConn) Close() error                     { c.shut(); return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// store is the key-value service as seen by one host. Only Wait is used by the mesh.
type store struct {
	kv.Store
	w    *world
	addr string
}

func (s store) Wait(ctx context.Context, key string, after kv.Version, wait time.Duration) (kv.Entry, error) {
	s.w.thaw(s.addr, ctx.Done())
	defer s.w.thaw(s.addr, nil)
	if key != manifest.Key {
		return kv.Entry{}, sleep(ctx, wait)
	}
	s.w.mu.Lock()
	s.w.kvCalls++
	s.w.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if s.w.isCut(s.addr, kvAddr) {
			<-ctx.Done()
			return kv.Entry{}, kv.ErrUnavailable
		}
		s.w.mu.Lock()
		e, changed, refuse := kv.Entry{Key: key, Value: s.w.value, Version: s.w.version}, s.w.changed, s.w.refuse
		s.w.mu.Unlock()
		if refuse {
			return kv.Entry{}, kv.ErrUnavailable
		}
		if e.Version != after {
			return e, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if s.w.isCut(kvAddr, s.addr) || s.w.isCut(s.addr, kvAddr) {
				<-ctx.Done()
				return kv.Entry{}, kv.ErrUnavailable
			}
			return e, nil
		case <-ctx.Done():
			return kv.Entry{}, kv.ErrUnavailable
		}
	}
}

type hosts struct{ w *world }

func (h hosts) Hosts(context.Context) ([]hostlist.Host, error) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.w.hosts, nil
}

// running is a node with its end.
type running struct {
	*Node
	stop func()
}

// start runs a node on the host named addr.
func (w *world) start(t testing.TB, cfg Config, seed uint64) *running {
	t.Helper()
	n, err := New(cfg, Deps{
		Store: store{w: w, addr: cfg.Listen}, Hosts: hosts{w}, Transport: transport{w, cfg.Listen},
		Rand: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if w.breaks != nil {
		w.breaks(&n.recency)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return &running{n, func() {
		cancel()
		w.freeze(cfg.Listen, false)
		w.mu.Lock()
		l := w.ln[cfg.Listen]
		delete(w.ln, cfg.Listen)
		w.mu.Unlock()
		if l != nil {
			l.Close()
		}
		if err := <-done; err != nil {
			t.Errorf("%s: %v", cfg.Host, err)
		}
	}}
}

// gateways starts n gateways in zones z0, z1, ... of perZone hosts.
func (w *world) gateways(t testing.TB, n, perZone int) []*running {
	out := make([]*running, n)
	for i := range out {
		out[i] = w.start(t, gatewayConfig(i, perZone), uint64(i))
	}
	return out
}

func gatewayConfig(i, perZone int) Config {
	return Config{
		Host: fmt.Sprintf("g%d", i), Role: RoleGateway, Zone: fmt.Sprintf("z%d", i/perZone),
		Listen: fmt.Sprintf("g%d", i), Seeds: []string{"g0", "g1"},
	}
}

func stopAll(nodes []*running) {
	for _, n := range nodes {
		n.stop()
	}
	time.Sleep(time.Second) // ends reads in delivery
}

func listed(id string) hostlist.Host {
	return hostlist.Host{ID: id, Role: hostlist.RoleEngine, Zone: "z0", Addr: id}
}
