package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/filter/classify"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/lib/retry"
	"cuminhook.org/cuminhook/lib/stopping"
	"cuminhook.org/cuminhook/lib/streamversion"
	"cuminhook.org/cuminhook/lib/targetrate"
	"cuminhook.org/cuminhook/lib/workload"
	"cuminhook.org/cuminhook/test/httpmain"
)

func TestMain(m *testing.M) { os.Exit(httpmain.Run(m)) }

// testProtocol is a request protocol with short header names.
type testProtocol struct{}

func (testProtocol) ReadCall(h *fasthttp.RequestHeader) (passthrough.Call, error) {
	c := passthrough.Call{
		ID: string(h.Peek("Id")), LastEvent: string(h.Peek("Last")), Model: string(h.Peek("Model")),
		Adapter: string(h.Peek("Adapter")),
	}
	if c.ID == "" {
		return c, passthrough.ErrNoID
	}
	for _, id := range strings.Fields(string(h.Peek("Prefix"))) {
		c.Prefix = append(c.Prefix, passthrough.Segment{ID: id, Tokens: 1})
	}
	return c, nil
}

func (testProtocol) AppendHead(dst []byte, h *fasthttp.RequestHeader, a passthrough.Attempt) []byte {
	return fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nLeft: %d\r\nLast: %s\r\n",
		h.Method(), h.RequestURI(), h.Peek("Id"), a.TimeLeft.Milliseconds(), a.LastEvent)
}

func (testProtocol) ReadAnswer(h *fasthttp.ResponseHeader) passthrough.Answer {
	rate, _ := strconv.ParseFloat(string(h.Peek("Limit")), 64)
	pause, _ := time.ParseDuration(string(h.Peek("Pause")))
	return passthrough.Answer{
		ID: string(h.Peek("Id")), NotRun: len(h.Peek("Not-Run")) > 0, Processed: len(h.Peek("Stampless")) == 0,
		Instance: string(h.Peek("Instance")), RateLimit: rate, Leaving: len(h.Peek("Leaving")) > 0, Pause: pause,
	}
}

// receivedRequest is a request as a target received it.
type receivedRequest struct {
	*http.Request
	id, lastEventID string
	conn            net.Conn
	body            string
}

// script answers one request. It returns false to close the connection.
type script func(r *receivedRequest) bool

// harness runs the filter in a server between callers and scripted targets.
type harness struct {
	t        *testing.T
	ln       *fasthttputil.InmemoryListener
	balancer *balance.Balancer
	detector *quarantine.Detector
	deadly   *quarantine.Requests
	retries  *retry.Budget
	stop     *stopping.Stop

	mu       sync.Mutex
	scripts  map[string]script // by address
	received []string          // "address id" of each request that a target received
	targets  []*registry.Target
	closed   []time.Time // when each target's connection ended
	conns    []net.Conn  // the targets' ends of the connections
	// silentUntil is until when no target answers to a new connection.
	silentUntil time.Time
}

const (
	objective = 800 * time.Millisecond
	timeout   = 6 * time.Second
)

// newHarness starts a harness with the routes /safe/ (idempotent), /unsafe/ (non-idempotent), /stream/ and /resumable/.
func newHarness(t *testing.T, scripts map[string]script) *harness {
	return newHarnessWith(t, scripts, nil)
}

// newHarnessWith is newHarness with a placement. The targets have no model loaded.
func newHarnessWith(t *testing.T, scripts map[string]script, placement Placement) *harness {
	return newHarnessOf(t, scripts, placement, false)
}

// newHarnessOf is newHarnessWith with the setting admission.
func newHarnessOf(t *testing.T, scripts map[string]script, placement Placement, admission bool) *harness {
	rates := targetrate.New(time.Now(), rand.New(rand.NewPCG(2, 2)))
	r := &harness{
		t: t, ln: fasthttputil.NewInmemoryListener(), scripts: scripts,
		balancer: balance.New("z", nil, rates, rand.New(rand.NewPCG(1, 1))), detector: quarantine.New(), deadly: quarantine.NewRequests(),
		retries: retry.NewBudget(0.2, 50), stop: stopping.New(),
	}
	route := func(prefix string, kind catalog.Kind, resumable bool) *catalog.Route {
		return &catalog.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: timeout, Objective: objective,
			MaxGap: 250 * time.Millisecond, MaxAttempts: 2, Split: []catalog.Share{{Service: "s", Weight: 1}},
		}
	}
	c := catalog.New(catalog.Content{Version: 1, Services: []*catalog.Service{{Name: "s"}}, Routes: []*catalog.Route{
		route("/safe/", catalog.Idempotent, false), route("/unsafe/", catalog.NonIdempotent, false),
		route("/stream/", catalog.Stream, false), route("/resumable/", catalog.Stream, true),
		inRegion(route("/north/", catalog.Idempotent, false), "north"), inRegion(route("/northstream/", catalog.Stream, true), "north"),
		inRegion(route("/nowhere/", catalog.Idempotent, false), "west"),
	}})
	r.balancer.SetRegions(map[string]string{"z": "north"})
	r.balancer.SetCatalog(c)
	var targets []*registry.Target
	for addr := range scripts {
		// Two zones fix the order of targets: those whose address begins with "far" are picked last.
		targets = append(targets, &registry.Target{ID: addr, Addr: addr, Service: "s", Zone: zoneOf(addr), Slots: 6})
	}
	r.targets = targets
	r.balancer.SetTargets(targets)
	log := slog.New(slog.DiscardHandler)
	h := New(Config{
		Protocol: testProtocol{}, Client: forward.NewClient(forward.Config{Protocol: testProtocol{}, Dial: r.dial}), Balancer: r.balancer,
		Retries: r.retries, Placement: placement, Quarantine: r.detector, Requests: r.deadly, Streams: oneVersion{}, TargetAt: r.targetAt, Rates: rates, Statements: r,
		Demand: workload.New(), Log: log, Metrics: metrics.NewSet(), Random: func() float64 { return 0.5 },
		Stop: r.stop, Admission: admission,
	})
	h = classify.New(h, classify.Config{Protocol: testProtocol{}, Catalog: func() *catalog.Catalog { return c }})
	s := pipeline.NewServer(pipeline.ServerConfig{
		First: h, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxConns: 100, FineRetryAfter: true, Log: log,
	})
	go func() { _ = s.Serve(strictListener{r.ln}) }()
	t.Cleanup(func() {
		_ = s.Stop(context.Background())
		r.mu.Lock()
		conns := r.conns
		r.mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		time.Sleep(time.Minute) // lets fasthttp's idle workers end
	})
	return r
}

// Leaving implements Statements.
func (r *harness) Leaving(t *registry.Target, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, old := range r.targets {
		if old.ID == t.ID {
			left := *old
			left.State = registry.Draining
			r.targets[i] = &left
		}
	}
	r.balancer.SetTargets(r.targets)
}

// Cold implements Statements.
func (r *harness) Cold(*registry.Target, time.Duration) {}

// Brittle implements Statements.
func (r *harness) Brittle(*registry.Target, bool) {}

// Down implements Statements.
func (r *harness) Down(*registry.Target) {}

// Pause implements Statements.
func (r *harness) Pause(t *registry.Target, d time.Duration, _ string) {
	r.balancer.Pause(t.ID, t.Started, d, time.Now())
}

// oneVersion is a Streams for targets of one version.
type oneVersion struct{}

func (oneVersion) Began(streamversion.Key, streamversion.Origin, bool) {}

func (oneVersion) Find(streamversion.Key, []string) (streamversion.Origin, bool) {
	return streamversion.Origin{Service: "s"}, true
}

// targetAt returns the target at an address.
func (r *harness) targetAt(addr string) *registry.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.Addr == addr {
			return t
		}
	}
	return nil
}

// restart has the target at an address known as a later start.
func (r *harness) restart(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, old := range r.targets {
		if old.Addr == addr {
			t := *old
			t.Started++
			r.targets[i] = &t
		}
	}
	r.balancer.SetTargets(r.targets)
}

// judge has requests and segments refused that crash targets.
func (r *harness) judge() {
	r.detector.Judge(time.Now(), 0)
	r.deadly.Judge(time.Now(), 0)
}

// inRegion returns the route with an allowed region.
func inRegion(r *catalog.Route, region string) *catalog.Route {
	r.AllowedRegions = []string{region}
	return r
}

func zoneOf(addr string) string {
	if strings.HasPrefix(addr, "far") {
		return "other"
	}
	return "z"
}

// unreachable is the address of a target to which no connection can be opened.
const unreachable = "far-unreachable"

// dial connects to a scripted target.
func (r *harness) dial(ctx context.Context, addr string) (net.Conn, error) {
	r.mu.Lock()
	silent := addr == unreachable || time.Now().Before(r.silentUntil)
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.mu.Lock()
	script := r.scripts[addr]
	r.mu.Unlock()
	if script == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	r.mu.Lock()
	r.conns = append(r.conns, server)
	r.mu.Unlock()
	go r.serve(addr, server, script)
	return client, nil
}

// serve runs the script for each request on a target's connection.
func (r *harness) serve(addr string, conn net.Conn, script script) {
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
		s := &receivedRequest{
			Request: req, id: req.Header.Get("Id"), lastEventID: req.Header.Get("Last"),
			conn: conn, body: string(body),
		}
		r.mu.Lock()
		r.received = append(r.received, addr+" "+s.id)
		r.mu.Unlock()
		if !script(s) {
			return
		}
	}
}

// requests lists the requests that targets received, in order.
func (r *harness) requests() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.received, ", ")
}

// answer is the response as a caller received it.
type answer struct {
	status     int
	body       string
	err        error // of the body; nil means complete
	retryAfter string
	took       time.Duration
}

// call sends one request on a new connection and reads the answer.
func (r *harness) call(method, path, id string) answer { return r.callWith(method, path, id, "") }

// callWith is call with further header lines.
func (r *harness) callWith(method, path, id, header string) answer {
	r.t.Helper()
	began := time.Now()
	conn, err := r.ln.Dial()
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nhi", method, path, id, header)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), err, resp.Header.Get("Retry-After"), time.Since(began)}
}

// reply returns a script that writes a complete answer; extra holds further header lines.
func reply(status int, extra, body string) script {
	return func(r *receivedRequest) bool {
		fmt.Fprintf(r.conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.id, extra, len(body), body)
		return true
	}
}

// chunk writes one chunk of a chunked answer.
func chunk(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

// startStream writes the header of an event stream.
func startStream(r *receivedRequest) {
	fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.id)
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// strictListener accepts connections that fail each write after their deadline, as TCP does; in-memory ones do so only while they
// are full.
type strictListener struct{ net.Listener }

func (l strictListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &strictConn{Conn: conn}, err
}

type strictConn struct {
	net.Conn
	writeBy atomic.Pointer[time.Time]
}

func (c *strictConn) SetWriteDeadline(t time.Time) error {
	c.writeBy.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *strictConn) Write(p []byte) (int, error) {
	if by := c.writeBy.Load(); by != nil && !by.IsZero() && !time.Now().Before(*by) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}
