// Package datapath holds the failure tests of the path from callers through the filters to the stand-ins.
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
	// fasthttp's first server starts a goroutine that never ends; it must not belong to a bubble.
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

// rig is a gateway with two engines and two services on in-memory connections.
type rig struct {
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
	sent bytes.Buffer // all that was written to targets; guarded by mu
	log  bytes.Buffer // the gateway's log; guarded by mu
}

func state() *ticket.State {
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

func snapshot(st *ticket.State) *confview.Snapshot {
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

func newRig(t testing.TB, ecfg engines.Config, change func(*gateway.Config)) *rig {
	ecfg.AnyResident = true
	r := &rig{t: t, view: viewtest.New(snapshot(state())), ln: map[string]*fasthttputil.InmemoryListener{}, set: metrics.NewSet()}
	for i := range 2 {
		e := engines.New(ecfg)
		r.engines = append(r.engines, e)
		r.listen(fmt.Sprintf("e%d", i), e.Serve)
		s := services.New()
		r.services = append(r.services, s)
		r.listen(fmt.Sprintf("s%d", i), s.Serve)
	}
	cfg := gateway.Config{
		Limits: gateway.DefaultLimits(), View: r.view, Services: httpservice.New(r.dial),
		Engine: httpengine.New(httpengine.Config{Dial: r.dial}), Set: r.set,
		Log: slog.New(slog.NewJSONHandler(locked{&r.mu, &r.log}, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
	if change != nil {
		change(&cfg)
	}
	r.gw = gateway.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.gw.Run(ctx)
	r.listen("gw", r.gw.Serve)
	return r
}

func (r *rig) listen(addr string, serve func(net.Listener) error) {
	ln := fasthttputil.NewInmemoryListener()
	r.ln[addr] = ln
	go func() { _ = serve(ln) }()
}

func (r *rig) dial(_ context.Context, addr string) (net.Conn, error) {
	c, err := r.ln[addr].Dial()
	return recorded{c, r}, err
}

// recorded copies what the gateway writes to a target.
type recorded struct {
	net.Conn
	r *rig
}

func (c recorded) Write(p []byte) (int, error) {
	_, _ = locked{&c.r.mu, &c.r.sent}.Write(p)
	return c.Conn.Write(p)
}

// locked writes to a buffer under a lock.
type locked struct {
	mu  *sync.Mutex
	buf *bytes.Buffer
}

func (l locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// texts returns what targets received and what the gateway logged so far.
func (r *rig) texts() (sent, log string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.String(), r.log.String()
}

// counter returns a metric of the gateway.
func (r *rig) counter(name string) uint64 { return r.set.GetOrCreateCounter(name).Get() }

// close stops everything, so that no goroutine outlives the bubble.
func (r *rig) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := r.gw.Stop(ctx, 0); err != nil {
		r.t.Error(err)
	}
	r.cancel()
	for _, e := range r.engines {
		_ = e.Close(ctx)
	}
	for _, s := range r.services {
		_ = s.Close(ctx)
	}
	time.Sleep(serverCleanup)
}

// serverCleanup is longer than the period in which fasthttp's worker pool looks whether it was stopped.
const serverCleanup = 11 * time.Second

// closeOnce is close for tests that look at the rig after it.
func (r *rig) closeOnce() {
	if !r.closed {
		r.closed = true
		r.close()
	}
}

// bubble runs f with a rig in virtual time.
func bubble(t *testing.T, ecfg engines.Config, change func(*gateway.Config), f func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, ecfg, change)
		f(r)
		r.closeOnce()
	})
}

// answer is what a caller received.
type answer struct {
	status int
	header string
	body   string
	err    error
}

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

// call sends one raw request on its own connection and reads the whole answer.
func (r *rig) call(method, path, body string, headers ...string) answer {
	c, err := r.ln["gw"].Dial()
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

// data returns the payloads of a stream's events, without error events.
func data(body string) (events []string, failed bool) {
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
