//go:build linux

// Package process tests the programs as separate processes on loopback, under injected faults.
package process

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv/httpkv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/lib/ticket"
)

const (
	gateways = 3
	// maxPropagation is the time within which a change is in force on every host, as section 7.4 requires.
	maxPropagation = 3 * time.Second
	// waitTimeout bounds waits for outcomes that have no required time. It only ends tests that would hang.
	waitTimeout = 60 * time.Second
	// requestTimeout bounds one request. It exceeds every deadline that the tests set for models and routes.
	requestTimeout = 30 * time.Second
	organisation   = "acme"
	key            = "acme-key-1"
	otherKey       = "acme-key-2"
)

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cuminhook-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/cuminhook-gateway", "../../cmd/cuminhook-controller",
		"../../cmd/cuminhook-admin", "../../cmd/cuminhook-standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running or ended process of one of the programs.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
}

// engineArgs are the command-line arguments of one engine stand-in, without its address.
type engineArgs []string

// testEnv is a deployment on loopback: key-value service and host list, engines, two services, three gateways, two
// controllers and the administration API.
type testEnv struct {
	t           *testing.T
	dir         string
	procs       map[string]*process
	kv          string
	api         *adminapi.Client
	store       *httpkv.Store
	callerAddrs []string // addresses of the gateways that serve callers
	statusAddrs []string // addresses of the gateways that serve metrics and readiness
	engines     []string
	services    []string
	lastTicket  int64 // number of the latest ticket
	client      *http.Client
}

// usedAddrs holds the addresses that any testEnv has been given.
var (
	usedAddrsMu sync.Mutex
	usedAddrs   = map[string]bool{} // guarded by usedAddrsMu
)

// Programs listen on ports below the kernel's ephemeral range (32768 and above), so that no outgoing connection takes a port between
// freeAddrs and their start.
const (
	firstPort = 10_000
	portCount = 5_000
)

// freeAddrs returns n loopback addresses that were free just now and that no other testEnv has been given.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	usedAddrsMu.Lock()
	defer usedAddrsMu.Unlock()
	var addrs []string
	for tries := 0; len(addrs) < n; tries++ {
		if tries > 100*n {
			t.Fatal("no free ports")
		}
		addr := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(portCount))
		if usedAddrs[addr] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		usedAddrs[addr] = true
		addrs = append(addrs, addr)
	}
	return addrs
}

// newTestEnv starts a deployment with the given engines and waits until the controllers have registered all gateways.
func newTestEnv(t *testing.T, engines ...engineArgs) *testEnv {
	t.Helper()
	env := &testEnv{
		t: t, dir: t.TempDir(), procs: map[string]*process{},
		// One connection per request, as behind a load balancer that spreads requests.
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(env.close)
	const members = gateways + 3 // two controllers and the administration API
	free := freeAddrs(t, 2+2*members+gateways+2+len(engines))
	take := func(n int) []string { out := free[:n]; free = free[n:]; return out }
	env.kv = take(1)[0]
	mesh, states := take(members), take(members)
	env.callerAddrs, env.statusAddrs, env.engines, env.services = take(gateways), states[:gateways], take(len(engines)), take(2)
	admin := take(1)[0]
	var hosts struct {
		Hosts []hostlist.Host `yaml:"hosts"`
	}
	zones := []string{"catania", "messina", "siracusa"}
	for i := range gateways {
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{ID: entryID(i), Role: hostlist.RoleEntry, Zone: zones[i], Addr: mesh[i]})
	}
	for i, addr := range env.engines {
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{ID: fmt.Sprint("engine-", i), Role: hostlist.RoleEngine, Zone: zones[i%3], Addr: addr})
	}
	for i, addr := range env.services {
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{
			ID: fmt.Sprint("dispatch-", i), Role: hostlist.RoleService, Service: "dispatch", Zone: zones[i], Addr: addr,
		})
	}
	text, err := settings.Format(&hosts)
	if err != nil {
		t.Fatal(err)
	}
	env.start("kv", "cuminhook-standin", "kv", "--listen", env.kv, "--hosts", env.writeFile("hosts.yaml", text))
	for i, args := range engines {
		env.start(fmt.Sprint("engine-", i), "cuminhook-standin", append([]string{"engine", "--listen", env.engines[i]}, args...)...)
	}
	for i, addr := range env.services {
		env.start(fmt.Sprint("dispatch-", i), "cuminhook-standin", "service", "--listen", addr)
	}
	node := func(i, host int) string {
		return fmt.Sprintf("host: %s\nzone: %s\nmesh: %s\nmetrics: %s\nseeds: [%s]\nkv: http://%s\nhosts: http://%s\n",
			entryID(host), zones[host], mesh[i], states[i], strings.Join(mesh[:gateways], ", "), env.kv, env.kv)
	}
	for i := range gateways {
		text := node(i, i) + "listen: " + env.callerAddrs[i] + "\nstop_delay: 2s\n"
		// first_deployment states that no gateway ran in the last 15 min, which is false once a gateway is restarted.
		env.writeFile(entryID(i)+".yaml", text)
		env.start(entryID(i), "cuminhook-gateway", "--config", env.writeFile(entryID(i)+"-first.yaml", text+"first_deployment: true\n"))
	}
	for i := range 2 {
		name := fmt.Sprint("controller-", i)
		text := node(gateways+i, i) + "weights: {loads_per_second: 20, full_speed_loads: 3, adapter_loads_at_speed: 25}\n"
		env.start(name, "cuminhook-controller", "--config", env.writeFile(name+".yaml", text))
	}
	env.start("admin", "cuminhook-admin", "--config", env.writeFile("admin.yaml", node(members-1, 2)+"listen: "+admin+"\n"))
	if env.api, err = adminapi.NewClient("http://"+admin, ""); err != nil {
		t.Fatal(err)
	}
	if env.store, err = httpkv.New("http://" + env.kv); err != nil {
		t.Fatal(err)
	}
	// Tickets and idempotent calls need the gateways as witnesses and slot owners, which a controller registers.
	env.waitUntil("three witnesses and all slots have owners", func() bool {
		for name, p := range env.procs {
			select {
			case <-p.done:
				t.Fatalf("%s has ended", name)
			default:
			}
		}
		m := env.manifest()
		return m != nil && len(m.Witnesses) == gateways && !strings.Contains(strings.Join(m.Slots.Owners, ",")+",", ",,")
	})
	return env
}

// entryID returns the id of the host that runs gateway i.
func entryID(i int) string { return fmt.Sprint("entry-", i) }

func (env *testEnv) writeFile(name, text string) string {
	env.t.Helper()
	path := filepath.Join(env.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
	return path
}

// start starts a program under the given name, with its output in a log file.
func (env *testEnv) start(name, program string, args ...string) *process {
	env.t.Helper()
	p := &process{name: name, args: append([]string{program}, args...), log: filepath.Join(env.dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		env.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel kills the process if the test binary dies before its cleanup.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
	env.procs[name] = p
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	return p
}

// signal sends a signal to a process of the deployment that has not ended.
func (env *testEnv) signal(name string, s syscall.Signal) {
	env.t.Helper()
	if err := env.procs[name].cmd.Process.Signal(s); err != nil {
		env.t.Fatalf("%s: %v: %v", name, s, err)
	}
}

// kill kills a process and waits until it has ended.
func (env *testEnv) kill(name string) {
	env.t.Helper()
	env.signal(name, syscall.SIGKILL)
	<-env.procs[name].done
}

// restart starts gateway i again, without first_deployment.
func (env *testEnv) restart(i int) {
	env.t.Helper()
	env.start(entryID(i), "cuminhook-gateway", "--config", filepath.Join(env.dir, entryID(i)+".yaml"))
}

// close kills every process and, if the test failed, logs the last lines of each program but those of requests.
func (env *testEnv) close() {
	for name, p := range env.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
		if !env.t.Failed() {
			continue
		}
		text, _ := os.ReadFile(p.log)
		var lines []string
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"msg":"request"`) {
				lines = append(lines, line)
			}
		}
		env.t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-15):], ""))
	}
}

// waitUntil polls ok until it returns true, and fails the test after waitTimeout; what describes the condition.
func (env *testEnv) waitUntil(what string, ok func() bool) {
	env.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			env.t.Fatalf("not within %s: %s", waitTimeout, what)
		}
	}
}

// manifest returns the manifest in the key-value service, or nil if it cannot be read.
func (env *testEnv) manifest() *manifest.Manifest {
	ctx, cancel := context.WithTimeout(env.t.Context(), time.Second)
	defer cancel()
	e, err := env.store.Get(ctx, manifest.Key)
	if err != nil {
		return nil
	}
	m, err := manifest.Decode(e.Value)
	if err != nil {
		return nil
	}
	return m
}

// applyTicket numbers t and sends it until it is accepted. It returns a time at or after the acceptance.
func (env *testEnv) applyTicket(t *ticket.Ticket) time.Time {
	env.t.Helper()
	env.lastTicket++
	t.Number = env.lastTicket
	var err error
	env.waitUntil(fmt.Sprintf("ticket %d accepted", t.Number), func() bool {
		_, err = env.api.Apply(t.Encode())
		refused, ok := refusal.As(err)
		if err != nil && (!ok || refused.Reason != refusal.StoreUnavailable && refused.Reason != refusal.OutcomeUnknown && refused.Reason != refusal.NoMajority) {
			env.t.Fatal(err)
		}
		return err == nil
	})
	return time.Now()
}

// initialTicket returns the first ticket of a deployment: an organisation with two keys, the given models and routes.
func initialTicket(models ...ticket.Model) *ticket.Ticket {
	return &ticket.Ticket{
		Organisations: []ticket.Organisation{{Name: organisation, Rate: 1 << 30, Burst: 1 << 32, Weight: 1}},
		Keys:          []ticket.Key{keyObject("acme-1", key), keyObject("acme-2", otherKey)},
		Models:        models,
		Routes: []ticket.Route{
			{Name: "alerts", Prefix: "/alerts", Methods: []string{"POST"}, Service: "dispatch", Tokens: 1, DeadlineMS: 10_000},
			{Name: "strikes", Prefix: "/strikes", Methods: []string{"GET"}, Service: "dispatch", Idempotent: true, Tokens: 1, DeadlineMS: 10_000},
		},
	}
}

func keyObject(name, key string) ticket.Key {
	sum := sha256.Sum256([]byte(key))
	return ticket.Key{Name: name, Organisation: organisation, SHA256: hex.EncodeToString(sum[:])}
}

func model(name string, size int64, copies int) ticket.Model {
	return ticket.Model{Name: name, Bytes: size, MaxOutput: 5000, DeadlineMS: 10_000, MinCopies: copies}
}

// answer is a response as a caller received it.
type answer struct {
	status    int
	body      string
	reason    refusal.Reason
	run       refusal.RunState
	err       error // not nil if the response is missing or incomplete
	responded bool  // a status line arrived
}

func (a answer) String() string {
	return fmt.Sprintf("%d %s %s %.80q %v", a.status, a.reason, a.run, a.body, a.err)
}

// refusedKey reports whether the gateway refused the request's key, or refuses all requests with keys.
func (a answer) refusedKey() bool {
	return a.err == nil && (a.reason == refusal.KeyUnknown || a.reason == refusal.ConfigStale || a.reason == refusal.Starting)
}

// request sends a request to gateway i: a POST if body is not empty, otherwise a GET. headers alternates between names
// and values.
func (env *testEnv) request(i int, key, path, body string, headers ...string) (*http.Response, error) {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+env.callerAddrs[i]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for h := 0; h+1 < len(headers); h += 2 {
		req.Header.Set(headers[h], headers[h+1])
	}
	return env.client.Do(req)
}

// call sends a request to gateway i and reads the whole response.
func (env *testEnv) call(i int, key, path, body string, headers ...string) (a answer) {
	resp, err := env.request(i, key, path, body, headers...)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a = answer{status: resp.StatusCode, body: string(text), err: err, responded: true}
	var refused struct {
		Error struct {
			Reason refusal.Reason
			Run    refusal.RunState
		}
	}
	if resp.StatusCode >= 400 && json.Unmarshal(text, &refused) == nil {
		a.reason, a.run = refused.Error.Reason, refused.Error.Run
	}
	return a
}

// chat returns the body of a chat request that asks for up to the given number of output tokens.
func chat(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"Draft a warning."}]}`, model, tokens, stream)
}

const chatPath = "/v1/chat/completions"

// endMarker is the last event of a complete stream.
const endMarker = "[DONE]"

// waitReachable waits until every gateway has answered a request for each model.
func (env *testEnv) waitReachable(models ...ticket.Model) {
	env.t.Helper()
	for _, m := range models {
		for i := range gateways {
			var a answer
			for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
				if a = env.call(i, key, chatPath, chat(m.Name, 1, false)); a.status == 200 && a.err == nil {
					break
				}
				if time.Now().After(end) {
					env.t.Fatalf("gateway %d: %s not reachable: %v", i, m.Name, a)
				}
			}
		}
	}
}

// stream is a streamed response that a goroutine reads in the background.
type stream struct {
	mu    sync.Mutex
	lines []string      // guarded by mu
	ended time.Time     // guarded by mu
	done  chan struct{} // closed at the end
}

// openStream starts a stream at gateway i and returns once its first line has arrived.
func (env *testEnv) openStream(i int, key, body string) *stream {
	env.t.Helper()
	resp, err := env.request(i, key, chatPath, body)
	if err != nil {
		env.t.Fatal(err)
	}
	s := &stream{done: make(chan struct{})}
	started := make(chan struct{})
	go func() {
		defer close(s.done)
		defer resp.Body.Close()
		var once sync.Once
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
			s.mu.Lock()
			s.lines = append(s.lines, in.Text())
			s.mu.Unlock()
			once.Do(func() { close(started) })
		}
		s.mu.Lock()
		s.ended = time.Now()
		s.mu.Unlock()
	}()
	select {
	case <-started:
	case <-s.done:
	}
	if resp.StatusCode != 200 {
		env.t.Fatalf("gateway %d: stream refused: %s", i, s.text())
	}
	return s
}

func (s *stream) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}

// events returns the number of content events that have arrived.
func (s *stream) events() int {
	return strings.Count(s.text(), "data: {") - strings.Count(s.text(), string(refusal.StreamBroken))
}

// injectFaults sends faults, encoded as JSON, to a stand-in.
func (env *testEnv) injectFaults(url string, faults any) {
	env.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		env.t.Fatal(err)
	}
	resp, err := env.client.Post("http://"+url, "application/json", bytes.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		env.t.Fatalf("%s: %s", url, resp.Status)
	}
}

// getJSON decodes the JSON that a stand-in serves at url, which has no scheme, into out.
func (env *testEnv) getJSON(url string, out any) error {
	resp, err := env.client.Get("http://" + url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// revision returns the manifest revision in the metrics of gateway i.
func (env *testEnv) revision(i int) (int64, error) {
	resp, err := env.client.Get("http://" + env.statusAddrs[i] + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	for in := bufio.NewScanner(resp.Body); in.Scan(); {
		if text, ok := strings.CutPrefix(in.Text(), "cuminhook_config_revision "); ok {
			return strconv.ParseInt(text, 10, 64)
		}
	}
	return 0, errors.New("no revision in the metrics")
}
