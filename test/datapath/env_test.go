// Package datapath tests the path of requests from callers through a gateway's filters to the stand-ins of targets, in
// one process and under injected faults.
package datapath

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	_ "pgregory.net/rapid"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/confview/viewtest"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/service/httpservice"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
	services "cuminhook.org/cuminhook/lib/standin/service"
	"cuminhook.org/cuminhook/lib/ticket"
	"cuminhook.org/cuminhook/test/rapidtest"
)

const (
	key      = "sk-test-0123456789abcdef"
	otherKey = "sk-test-fedcba9876543210"
)

func TestMain(m *testing.M) {
	// The first fasthttp server starts a goroutine that never ends, which would keep a synctest bubble from ending.
	ln := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = s.Serve(ln) }()
	c, err := ln.Dial()
	if err != nil {
		panic(err)
	}
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = bufio.NewReader(c).ReadString('\n')
	_ = c.Close()
	_ = s.Shutdown()
	os.Exit(rapidtest.Run(m, "20261204", ""))
}

// testEnv is a gateway with two engines and two services on in-memory connections.
type testEnv struct {
	t        testing.TB
	view     *viewtest.View
	engines  []*engines.Engine
	services []*services.Service
	gw       *gateway.Gateway
	ln       map[string]*fasthttputil.InmemoryListener
	set      *metrics.Set
	cancel   context.CancelFunc
	closed   bool

	mu   sync.Mutex
	sent bytes.Buffer // everything the gateway wrote to targets; guarded by mu
	log  bytes.Buffer // the gateway's log; guarded by mu
}

func testState() *ticket.State {
	hash := func(k string) string {
		sum := sha256.Sum256([]byte(k))
		return hex.EncodeToString(sum[:])
	}
	return &ticket.State{
		Organisations: map[string]ticket.Organisation{"etna": {Name: "etna"}, "ustica": {Name: "ustica"}},
		Keys: map[string]ticket.Key{
			hash(key):      {Organisation: "etna", SHA256: hash(key)},
			hash(otherKey): {Organisation: "ustica", SHA256: hash(otherKey)},
		},
		Models: map[string]ticket.Model{
			"bolt":  {Name: "bolt", MaxOutput: 12, DeadlineMS: 5000},
			"spare": {Name: "spare", MaxOutput: 12, Organisations: []string{"ustica"}},
		},
		Adapters: map[string]ticket.Adapter{"bolt-nord": {Name: "bolt-nord", Model: "bolt"}},
		Routes: map[string]ticket.Route{
			"siren": {Name: "siren", Prefix: "/siren", Service: "siren", DeadlineMS: 8000},
			"read":  {Name: "read", Prefix: "/siren/state", Service: "siren", Idempotent: true, DeadlineMS: 8000},
			"open":  {Name: "open", Prefix: "/open", Service: "siren", Open: true, Idempotent: true},
		},
	}
}

func testSnapshot(st *ticket.State) *confview.Snapshot {
	snap := &confview.Snapshot{State: st, Placement: &placement.View{Epoch: 1, Version: 1}}
	for i := range 2 {
		snap.Placement.Targets = append(snap.Placement.Targets, placement.TargetView{
			ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("e%d", i), Slots: 8, Models: []string{"bolt"}, Adapters: []string{"bolt-nord"},
		})
		snap.Hosts = append(snap.Hosts, hostlist.Host{
			ID: fmt.Sprintf("s%d", i), Role: hostlist.RoleService, Service: "siren", Addr: fmt.Sprintf("s%d", i),
		})
	}
	return snap
}

func newTestEnv(t testing.TB, ecfg engines.Config, change func(*gateway.Config)) *testEnv {
	ecfg.AnyResident = true
	env := &testEnv{
		t: t, view: viewtest.New(testSnapshot(testState())), ln: map[string]*fasthttputil.InmemoryListener{},
		set: metrics.NewSet(),
	}
	for i := range 2 {
		e := engines.New(ecfg)
		env.engines = append(env.engines, e)
		env.listen(fmt.Sprintf("e%d", i), e.Serve)
		s := services.New()
		env.services = append(env.services, s)
		env.listen(fmt.Sprintf("s%d", i), s.Serve)
	}
	cfg := gateway.Config{
		Limits: gateway.DefaultLimits(), View: env.view, Services: httpservice.New(env.dial),
		Engine: httpengine.New(httpengine.Config{Dial: env.dial}), Metrics: env.set,
		Log: slog.New(slog.NewJSONHandler(lockedWriter{&env.mu, &env.log}, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
	if change != nil {
		change(&cfg)
	}
	env.gw = gateway.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	go env.gw.Run(ctx)
	env.listen("gw", env.gw.Serve)
	return env
}

func (env *testEnv) listen(addr string, serve func(net.Listener) error) {
	ln := fasthttputil.NewInmemoryListener()
	env.ln[addr] = ln
	go func() { _ = serve(ln) }()
}

func (env *testEnv) dial(_ context.Context, addr string) (net.Conn, error) {
	c, err := env.ln[addr].Dial()
	return recordingConn{c, env}, err
}

// recordingConn copies everything the gateway writes to a target into env.sent.
type recordingConn struct {
	net.Conn
	env *testEnv
}

func (c recordingConn) Write(p []byte) (int, error) {
	_, _ = lockedWriter{&c.env.mu, &c.env.sent}.Write(p)
	return c.Conn.Write(p)
}

// lockedWriter writes to buf while it holds mu.
type lockedWriter struct {
	mu  *sync.Mutex
	buf *bytes.Buffer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// sentAndLogged returns everything that targets received and that the gateway logged so far.
func (env *testEnv) sentAndLogged() (sent, log string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.sent.String(), env.log.String()
}

// counter returns the value of one of the gateway's counters.
func (env *testEnv) counter(name string) uint64 { return env.set.GetOrCreateCounter(name).Get() }

// close stops the gateway and the stand-ins, so that no goroutine outlives the synctest bubble.
func (env *testEnv) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := env.gw.Stop(ctx, 0); err != nil {
		env.t.Error(err)
	}
	env.cancel()
	for _, e := range env.engines {
		_ = e.Close(ctx)
	}
	for _, s := range env.services {
		_ = s.Close(ctx)
	}
	time.Sleep(workerPoolCleanupDelay)
}

// workerPoolCleanupDelay exceeds the interval at which fasthttp's worker pool checks whether it was stopped.
const workerPoolCleanupDelay = 11 * time.Second

// closeOnce calls close unless it was called before. Tests that check the log of a stopped gateway call it themselves.
func (env *testEnv) closeOnce() {
	if !env.closed {
		env.closed = true
		env.close()
	}
}

// runInBubble runs f with a testEnv in virtual time, inside a synctest bubble.
func runInBubble(t *testing.T, ecfg engines.Config, change func(*gateway.Config), f func(env *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ecfg, change)
		f(env)
		env.closeOnce()
	})
}

// answer is a response as a caller received it.
type answer struct {
	status int
	header string
	body   string
	err    error
}

// refused is the body of a refusal.
type refused struct {
	Error struct {
		Reason, Run, Message, Remedy string
		RequestID                    string `json:"request_id"`
	} `json:"error"`
}

func (a answer) refusal() refused {
	var r refused
	_ = json.Unmarshal([]byte(a.body), &r)
	return r
}

// call sends one raw request on a new connection and reads the whole response. Each header is a complete header line.
func (env *testEnv) call(method, path, body string, headers ...string) answer {
	c, err := env.ln["gw"].Dial()
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return exchange(c, method, path, body, headers...)
}

func exchange(c net.Conn, method, path, body string, headers ...string) answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: gw\r\nContent-Length: %d\r\n", method, path, len(body))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	if _, err := c.Write([]byte(b.String())); err != nil {
		return answer{err: err}
	}
	var resp fasthttp.Response
	resp.SkipBody = method == "HEAD"
	err := resp.Read(bufio.NewReader(c))
	return answer{resp.StatusCode(), resp.Header.String(), string(resp.Body()), err}
}

const bearer = "Authorization: Bearer " + key

func chat(text string, stream bool) string {
	return fmt.Sprintf(`{"model":"bolt","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
}

// streamEvents returns the data of a stream's events, error events left out, and whether there was an error event.
func streamEvents(body string) (events []string, failed bool) {
	for _, block := range strings.Split(body, "\n\n") {
		if strings.HasPrefix(block, "event: error") {
			failed = true
			continue
		}
		if _, d, ok := strings.Cut(block, "data: "); ok {
			events = append(events, d)
		}
	}
	return events, failed
}
