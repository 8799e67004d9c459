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

// simulation is an in-memory network with a key-value service and injected faults. Hosts are named by their address.
type simulation struct {
	mu           sync.Mutex
	listeners    map[string]*listener // guarded by mu
	cuts         map[[2]string]bool   // by sender and receiver, guarded by mu
	frozen       map[string]bool      // guarded by mu
	latency      time.Duration        // guarded by mu
	hosts        []hostlist.Host      // guarded by mu
	value        []byte               // of the manifest key, guarded by mu
	version      kv.Version           // guarded by mu
	changed      chan struct{}        // closed at each write, guarded by mu
	pollCount    int                  // guarded by mu
	refusePolls  bool                 // the key-value service refuses calls, guarded by mu
	disableRules func(*recency)       // applied to each node before its start, may be nil
}

const kvAddr = "kv"

// newSimulation returns a network without hosts or faults and with a latency of 1 ms.
func newSimulation() *simulation {
	return &simulation{
		listeners: map[string]*listener{}, cuts: map[[2]string]bool{}, frozen: map[string]bool{},
		latency: time.Millisecond, changed: make(chan struct{}),
	}
}

// cut starts or ends the loss of everything that is sent in one direction.
func (sim *simulation) cut(from, to string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cuts[[2]string{from, to}] = on
}

func (sim *simulation) isCut(from, to string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.cuts[[2]string{from, to}]
}

func (sim *simulation) delay() time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.latency
}

// freeze stops or resumes the network and key-value calls of the host at addr, as if its process were suspended.
func (sim *simulation) freeze(addr string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.frozen[addr] = on
}

// waitUnfrozen returns when addr is not frozen or done is closed.
func (sim *simulation) waitUnfrozen(addr string, done <-chan struct{}) {
	for {
		sim.mu.Lock()
		f := sim.frozen[addr]
		sim.mu.Unlock()
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
func (sim *simulation) write(change func(m *manifest.Manifest)) *manifest.Manifest {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := manifest.Initial()
	if sim.version > 0 {
		_ = json.Unmarshal(sim.value, m)
	}
	m.Revision++
	change(m)
	sim.value, _ = manifest.Encode(m)
	sim.version++
	close(sim.changed)
	sim.changed = make(chan struct{})
	return m
}

// transport is the Transport of the host at addr.
type transport struct {
	sim  *simulation
	addr string
}

// listener accepts the connections that transport.Dial opens.
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
	t.sim.mu.Lock()
	defer t.sim.mu.Unlock()
	t.sim.listeners[addr] = l
	return l, nil
}

func (t transport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	t.sim.waitUnfrozen(t.addr, ctx.Done())
	if t.sim.isCut(t.addr, addr) || t.sim.isCut(addr, t.addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.sim.mu.Lock()
	l := t.sim.listeners[addr]
	t.sim.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	done := make(chan struct{})
	var once sync.Once
	shut := func() { once.Do(func() { close(done) }) }
	ab, ba := make(chan delivery, 4096), make(chan delivery, 4096)
	near := &fakeConn{sim: t.sim, from: t.addr, to: addr, in: ba, out: ab, done: done, closeBoth: shut}
	far := &fakeConn{sim: t.sim, from: addr, to: t.addr, in: ab, out: ba, done: done, closeBoth: shut}
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	}
}

// delivery is the data of one write and the time at which it arrives.
type delivery struct {
	data []byte
	at   time.Time
}

// fakeConn is one end of a connection. After the first write that is lost to a cut, its direction delivers nothing more.
type fakeConn struct {
	net.Conn
	sim       *simulation
	from, to  string
	in        <-chan delivery
	out       chan<- delivery
	rest      []byte
	done      chan struct{}
	closeBoth func()
	mu        sync.Mutex
	dropping  bool // guarded by mu
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case k := <-c.in:
			time.Sleep(time.Until(k.at))
			c.sim.waitUnfrozen(c.to, c.done) // a frozen sender's data is delivered after it resumes
			c.sim.waitUnfrozen(c.from, c.done)
			c.rest = k.data
		case <-c.done:
			return 0, io.EOF
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write does not block: net/rpc holds a mutex during the call, and virtual time stops while a goroutine waits for a mutex.
func (c *fakeConn) Write(p []byte) (int, error) {
	select {
	case <-c.done:
		return 0, io.ErrClosedPipe
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropping = c.dropping || c.sim.isCut(c.from, c.to); !c.dropping {
		c.out <- delivery{append([]byte(nil), p...), time.Now().Add(c.sim.delay())}
	}
	return len(p), nil
}

func (c *fakeConn) Close() error                     { c.closeBoth(); return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// store is the key-value service as seen by one host. The mesh uses only Wait.
type store struct {
	kv.Store
	sim  *simulation
	addr string
}

func (s store) Wait(ctx context.Context, key string, after kv.Version, wait time.Duration) (kv.Entry, error) {
	s.sim.waitUnfrozen(s.addr, ctx.Done())
	defer s.sim.waitUnfrozen(s.addr, nil)
	if key != manifest.Key {
		return kv.Entry{}, sleep(ctx, wait)
	}
	s.sim.mu.Lock()
	s.sim.pollCount++
	s.sim.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if s.sim.isCut(s.addr, kvAddr) {
			<-ctx.Done()
			return kv.Entry{}, kv.ErrUnavailable
		}
		s.sim.mu.Lock()
		e, changed, refuse := kv.Entry{Key: key, Value: s.sim.value, Version: s.sim.version}, s.sim.changed, s.sim.refusePolls
		s.sim.mu.Unlock()
		if refuse {
			return kv.Entry{}, kv.ErrUnavailable
		}
		if e.Version != after {
			return e, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if s.sim.isCut(kvAddr, s.addr) || s.sim.isCut(s.addr, kvAddr) {
				<-ctx.Done()
				return kv.Entry{}, kv.ErrUnavailable
			}
			return e, nil
		case <-ctx.Done():
			return kv.Entry{}, kv.ErrUnavailable
		}
	}
}

// hosts is the platform's host list.
type hosts struct{ sim *simulation }

func (h hosts) Hosts(context.Context) ([]hostlist.Host, error) {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return h.sim.hosts, nil
}

// runningNode is a node whose Run has been started, with the function that stops it.
type runningNode struct {
	*Node
	stop func()
}

// start runs a node on the host named addr.
func (sim *simulation) start(t testing.TB, cfg Config, seed uint64) *runningNode {
	t.Helper()
	n, err := New(cfg, Deps{
		Store: store{sim: sim, addr: cfg.Listen}, HostList: hosts{sim}, Transport: transport{sim, cfg.Listen},
		Rand: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if sim.disableRules != nil {
		sim.disableRules(&n.recency)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return &runningNode{n, func() {
		cancel()
		sim.freeze(cfg.Listen, false)
		sim.mu.Lock()
		l := sim.listeners[cfg.Listen]
		delete(sim.listeners, cfg.Listen)
		sim.mu.Unlock()
		if l != nil {
			l.Close()
		}
		if err := <-done; err != nil {
			t.Errorf("%s: %v", cfg.Host, err)
		}
	}}
}

// gateways starts n gateways in zones z0, z1, ... of perZone hosts.
func (sim *simulation) gateways(t testing.TB, n, perZone int) []*runningNode {
	out := make([]*runningNode, n)
	for i := range out {
		out[i] = sim.start(t, gatewayConfig(i, perZone), uint64(i))
	}
	return out
}

// gatewayConfig returns the configuration of gateway i, with perZone gateways in each zone.
func gatewayConfig(i, perZone int) Config {
	return Config{
		Host: fmt.Sprintf("g%d", i), Role: RoleGateway, Zone: fmt.Sprintf("z%d", i/perZone),
		Listen: fmt.Sprintf("g%d", i), Seeds: []string{"g0", "g1"},
	}
}

// stopAll stops the nodes and waits until the reads in progress have ended.
func stopAll(nodes []*runningNode) {
	for _, n := range nodes {
		n.stop()
	}
	time.Sleep(time.Second) // lets reads that wait for their delivery time end
}

// engineHost returns an entry of the host list for an engine.
func engineHost(id string) hostlist.Host {
	return hostlist.Host{ID: id, Role: hostlist.RoleEngine, Zone: "z0", Addr: id}
}
