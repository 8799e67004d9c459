package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/filter/frontdoor"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/passage"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/workload"
	"cuminhook.org/cuminhook/test/httpmain"
)

func TestMain(m *testing.M) { os.Exit(httpmain.Run(m)) }

// plainDoor is a door with short header names.
type plainDoor struct{}

func (plainDoor) ReadCall(h *fasthttp.RequestHeader) (passage.Call, error) {
	c := passage.Call{ID: string(h.Peek("Id")), LastEvent: string(h.Peek("Last"))}
	if c.ID == "" {
		return c, passage.ErrNoID
	}
	return c, nil
}

func (plainDoor) AppendHead(dst []byte, h *fasthttp.RequestHeader, a passage.Attempt) []byte {
	return fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nLeft: %d\r\nLast: %s\r\n",
		h.Method(), h.RequestURI(), h.Peek("Id"), a.Left.Milliseconds(), a.LastEvent)
}

func (plainDoor) ReadAnswer(h *fasthttp.ResponseHeader) passage.Answer {
	return passage.Answer{ID: string(h.Peek("Id")), NotRun: len(h.Peek("Not-Run")) > 0, Instance: string(h.Peek("Instance"))}
}

// seenRequest is a request as a target read it.
type seenRequest struct {
	*http.Request
	id, last string
	conn     net.Conn
	body     string
}

// script answers one request. It returns false to close the connection.
type script func(r *seenRequest) bool

// rig is a filter between callers and scripted targets.
type rig struct {
	t    *testing.T
	ln   *fasthttputil.InmemoryListener
	book *balance.Book

	mu      sync.Mutex
	scripts map[string]script // by address
	seen    []string          // address and id of requests that were read
	closed  []time.Time       // when targets saw their connections end
	conns   []net.Conn        // of targets
}

const (
	objective = 800 * time.Millisecond
	timeout   = 6 * time.Second
)

// newRig returns a rig with the route kinds /safe/, /unsafe/, /stream/ and /resumable/.
func newRig(t *testing.T, scripts map[string]script) *rig {
	r := &rig{t: t, ln: fasthttputil.NewInmemoryListener(), scripts: scripts, book: balance.New("z", rand.New(rand.NewPCG(1, 1)))}
	route := func(prefix string, kind catalog.Kind, resumable bool) *catalog.Route {
		return &catalog.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: timeout, Objective: objective,
			MaxGap: 250 * time.Millisecond, MaxAttempts: 2, Split: []catalog.Share{{Service: "s", Weight: 1}},
		}
	}
	c := catalog.New(catalog.Content{Version: 1, Services: []*catalog.Service{{Name: "s"}}, Routes: []*catalog.Route{
		route("/safe/", catalog.Idempotent, false), route("/unsafe/", catalog.NonIdempotent, false),
		route("/stream/", catalog.Stream, false), route("/resumable/", catalog.Stream, true),
	}})
	r.book.SetCatalog(c)
	var targets []*registry.Target
	for addr := range scripts {
		// Two zones make the order of targets certain: those whose address begins with "far" come last.
		targets = append(targets, &registry.Target{ID: addr, Addr: addr, Service: "s", Zone: zoneOf(addr), Slots: 6})
	}
	r.book.SetTargets(targets)
	log := slog.New(slog.DiscardHandler)
	h := New(Config{
		Door: plainDoor{}, Client: forward.NewClient(plainDoor{}, r.dial), Book: r.book, Retries: retry.NewBudget(0.2, 50),
		Demand: workload.New(), Log: log, Set: metrics.NewSet(), Random: func() float64 { return 0.5 },
	})
	h = frontdoor.New(h, frontdoor.Config{Door: plainDoor{}, Catalog: func() *catalog.Catalog { return c }})
	s := pipeline.NewServer(pipeline.ServerConfig{
		First: h, MaxBody: 1 << 20, MaxHeader: 4096, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxConns: 100, FineRetryAfter: true, Log: log,
	})
	go func() { _ = s.Serve(r.ln) }()
	t.Cleanup(func() {
		_ = s.Stop(context.Background())
		r.mu.Lock()
		conns := r.conns
		r.mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		time.Sleep(time.Minute) // idle workers end
	})
	return r
}

func zoneOf(addr string) string {
	if strings.HasPrefix(addr, "far") {
		return "other"
	}
	return "z"
}

// dial connects to a scripted target.
func (r *rig) dial(_ context.Context, addr string) (net.Conn, error) {
	script := r.scripts[addr]
	if script == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	r.mu.Lock()
	r.conns = append(r.conns, far)
	r.mu.Unlock()
	go r.serve(addr, far, script)
	return near, nil
}

func (r *rig) serve(addr string, conn net.Conn, script script) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		r.closed = append(r.closed, time.Now())
		r.mu.Unlock()
	}()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s := &seenRequest{Request: req, id: req.Header.Get("Id"), last: req.Header.Get("Last"), conn: conn, body: string(body)}
		r.mu.Lock()
		r.seen = append(r.seen, addr+" "+s.id)
		r.mu.Unlock()
		if !script(s) {
			return
		}
	}
}

func (r *rig) requests() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.seen, ", ")
}

// answer is what a caller got.
type answer struct {
	status     int
	body       string
	err        error // of the body; nil means complete
	retryAfter string
	took       time.Duration
}

// call sends one request on a new connection and reads the answer.
func (r *rig) call(method, path, id string) answer {
	r.t.Helper()
	began := time.Now()
	conn, err := r.ln.Dial()
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 2\r\n\r\nhi", method, path, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), err, resp.Header.Get("Retry-After"), time.Since(began)}
}

// reply writes a whole answer.
func reply(status int, extra, body string) script {
	return func(r *seenRequest) bool {
		fmt.Fprintf(r.conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.id, extra, len(body), body)
		return true
	}
}

// chunk writes part of a chunked answer.
func chunk(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func beginStream(r *seenRequest) {
	fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.id)
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }
