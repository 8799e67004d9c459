//go:build linux

// Package process holds the failure tests of the programs as separate processes on loopback.
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
	// inForce is the target of section 7.4: a change is in force everywhere within it.
	inForce = 3 * time.Second
	// settle bounds every wait for an outcome without a stated time. It only ends tests that would hang.
	settle = 60 * time.Second
	// answerTime bounds one request. It is above every deadline that the tests give to models and routes.
	answerTime   = 30 * time.Second
	organisation = "acme"
	key          = "acme-key-1"
	otherKey     = "acme-key-2"
)

// bin is the directory of the built programs.
var bin string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cuminhook-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/cuminhook-gateway", "../../cmd/cuminhook-controller",
		"../../cmd/cuminhook-admin", "../../cmd/cuminhook-standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a program that a test started.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
}

// engineArgs are the arguments of one engine beside its address.
type engineArgs []string

// rig is a deployment on loopback: key-value service and host list, engines, two services, three gateways, two
// controllers and the administration API.
type rig struct {
	t        *testing.T
	dir      string
	procs    map[string]*process
	kv       string
	api      *adminapi.Client
	store    *httpkv.Store
	callers  []string // addresses of the gateways for callers
	states   []string // addresses of the gateways for the platform
	engines  []string
	services []string
	number   int64 // of the last ticket
	client   *http.Client
}

// given holds the addresses that a rig has: the kernel chooses a port again until its program listens.
var (
	givenMu sync.Mutex
	given   = map[string]bool{} // guarded by givenMu
)

// freeAddrs returns addresses on loopback that were free a moment ago and that no other rig has.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	givenMu.Lock()
	defer givenMu.Unlock()
	var addrs []string
	for tries := 0; len(addrs) < n; tries++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil || tries > 100*n {
			t.Fatal("no free ports", err)
		}
		defer ln.Close() // after the last one, so that all differ
		if addr := ln.Addr().String(); !given[addr] {
			given[addr] = true
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// newRig starts a deployment and waits until it has a fresh configuration.
func newRig(t *testing.T, engines ...engineArgs) *rig {
	t.Helper()
	r := &rig{
		t: t, dir: t.TempDir(), procs: map[string]*process{},
		// Each request has its own connection, as the load balancer spreads them.
		client: &http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(r.close)
	const members = gateways + 3 // two controllers and the administration API
	free := freeAddrs(t, 2+2*members+gateways+2+len(engines))
	take := func(n int) []string { out := free[:n]; free = free[n:]; return out }
	r.kv = take(1)[0]
	mesh, states := take(members), take(members)
	r.callers, r.states, r.engines, r.services = take(gateways), states[:gateways], take(len(engines)), take(2)
	admin := take(1)[0]
	var hosts struct {
		Hosts []hostlist.Host `yaml:"hosts"`
	}
	zones := []string{"catania", "messina", "siracusa"}
	for i := range gateways {
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{ID: entry(i), Role: hostlist.RoleEntry, Zone: zones[i], Addr: mesh[i]})
	}
	for i, addr := range r.engines {
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{ID: fmt.Sprint("engine-", i), Role: hostlist.RoleEngine, Zone: zones[i%3], Addr: addr})
	}
	for i, addr := range r.services {
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{
			ID: fmt.Sprint("dispatch-", i), Role: hostlist.RoleService, Service: "dispatch", Zone: zones[i], Addr: addr,
		})
	}
	text, err := settings.Print(&hosts)
	if err != nil {
		t.Fatal(err)
	}
	r.start("kv", "cuminhook-standin", "kv", "--listen", r.kv, "--hosts", r.write("hosts.yaml", text))
	for i, args := range engines {
		r.start(fmt.Sprint("engine-", i), "cuminhook-standin", append([]string{"engine", "--listen", r.engines[i]}, args...)...)
	}
	for i, addr := range r.services {
		r.start(fmt.Sprint("dispatch-", i), "cuminhook-standin", "service", "--listen", addr)
	}
	node := func(i, host int) string {
		return fmt.Sprintf("host: %s\nzone: %s\nmesh: %s\nmetrics: %s\nseeds: [%s]\nkv: http://%s\nhosts: http://%s\n",
			entry(host), zones[host], mesh[i], states[i], strings.Join(mesh[:gateways], ", "), r.kv, r.kv)
	}
	for i := range gateways {
		text := node(i, i) + "listen: " + r.callers[i] + "\nstop_delay: 2s\n"
		// A gateway that is started again did run in the last 15 min, so that the statement is only true now.
		r.write(entry(i)+".yaml", text)
		r.start(entry(i), "cuminhook-gateway", "--config", r.write(entry(i)+"-first.yaml", text+"first_deployment: true\n"))
	}
	for i := range 2 {
		name := fmt.Sprint("controller-", i)
		text := node(gateways+i, i) + "weights: {loads_per_second: 20, full_speed_loads: 3, adapter_loads_at_speed: 25}\n"
		r.start(name, "cuminhook-controller", "--config", r.write(name+".yaml", text))
	}
	r.start("admin", "cuminhook-admin", "--config", r.write("admin.yaml", node(members-1, 2)+"listen: "+admin+"\n"))
	if r.api, err = adminapi.NewClient("http://"+admin, ""); err != nil {
		t.Fatal(err)
	}
	if r.store, err = httpkv.New("http://" + r.kv); err != nil {
		t.Fatal(err)
	}
	// The controllers have to enter the gateways as witnesses and slot owners first.
	r.wait("three witnesses and all slots have owners", func() bool {
		for name, p := range r.procs {
			select {
			case <-p.done:
				t.Fatalf("%s has ended", name)
			default:
			}
		}
		m := r.manifest()
		return m != nil && len(m.Witnesses) == gateways && !strings.Contains(strings.Join(m.Slots.Owners, ",")+",", ",,")
	})
	return r
}

// entry is the id of the host with gateway i.
func entry(i int) string { return fmt.Sprint("entry-", i) }

func (r *rig) write(name, text string) string {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// start runs a program and returns once it listens or has ended.
func (r *rig) start(name, program string, args ...string) *process {
	r.t.Helper()
	p := &process{name: name, args: append([]string{program}, args...), log: filepath.Join(r.dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel ends the process if the test binary dies before its cleanup.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.procs[name] = p
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	return p
}

// signal sends a signal to a process that the rig started and that has not ended.
func (r *rig) signal(name string, s syscall.Signal) {
	r.t.Helper()
	if err := r.procs[name].cmd.Process.Signal(s); err != nil {
		r.t.Fatalf("%s: %v: %v", name, s, err)
	}
}

// kill ends a process at once.
func (r *rig) kill(name string) {
	r.t.Helper()
	r.signal(name, syscall.SIGKILL)
	<-r.procs[name].done
}

// restart starts gateway i again, without the statement that none ran before.
func (r *rig) restart(i int) {
	r.t.Helper()
	r.start(entry(i), "cuminhook-gateway", "--config", filepath.Join(r.dir, entry(i)+".yaml"))
}

// close ends every process and, after a failure, shows the end of each log.
func (r *rig) close() {
	for name, p := range r.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
		if !r.t.Failed() {
			continue
		}
		text, _ := os.ReadFile(p.log)
		var lines []string
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"msg":"request"`) {
				lines = append(lines, line)
			}
		}
		r.t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-15):], ""))
	}
}

// wait returns once ok does, and fails the test if it never does.
func (r *rig) wait(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(settle); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not within %s: %s", settle, what)
		}
	}
}

// manifest returns the manifest in the key-value service, or nil.
func (r *rig) manifest() *manifest.Manifest {
	ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
	defer cancel()
	e, err := r.store.Get(ctx, manifest.Key)
	if err != nil {
		return nil
	}
	m, err := manifest.Decode(e.Value)
	if err != nil {
		return nil
	}
	return m
}

// accept sends t with the next number and returns when it was accepted, at the latest.
func (r *rig) accept(t *ticket.Ticket) time.Time {
	r.t.Helper()
	r.number++
	t.Number = r.number
	var err error
	r.wait(fmt.Sprintf("ticket %d accepted", t.Number), func() bool {
		_, err = r.api.Apply(t.Encode())
		refused, ok := refusal.As(err)
		if err != nil && (!ok || refused.Reason != refusal.StoreUnavailable && refused.Reason != refusal.OutcomeUnknown && refused.Reason != refusal.NoMajority) {
			r.t.Fatal(err)
		}
		return err == nil
	})
	return time.Now()
}

// first returns the first ticket: an organisation with two keys, the given models and the routes.
func first(models ...ticket.Model) *ticket.Ticket {
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

// answer is what a caller received.
type answer struct {
	status int
	body   string
	reason refusal.Reason
	run    refusal.RunState
	err    error // the answer is missing or incomplete
	began  bool  // a status line arrived
}

func (a answer) String() string {
	return fmt.Sprintf("%d %s %s %.80q %v", a.status, a.reason, a.run, a.body, a.err)
}

// refusedKey tells whether the answer refuses its key or all keyed requests.
func (a answer) refusedKey() bool {
	return a.err == nil && (a.reason == refusal.KeyUnknown || a.reason == refusal.ConfigStale || a.reason == refusal.Starting)
}

// request sends a request to gateway i; a body makes it a POST. Headers are pairs.
func (r *rig) request(i int, key, path, body string, headers ...string) (*http.Response, error) {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+r.callers[i]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for h := 0; h+1 < len(headers); h += 2 {
		req.Header.Set(headers[h], headers[h+1])
	}
	return r.client.Do(req)
}

// ask returns the whole answer of gateway i.
func (r *rig) ask(i int, key, path, body string, headers ...string) (a answer) {
	resp, err := r.request(i, key, path, body, headers...)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a = answer{status: resp.StatusCode, body: string(text), err: err, began: true}
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

// chat is the body of a model request.
func chat(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"Draft a warning."}]}`, model, tokens, stream)
}

const chatPath = "/v1/chat/completions"

// endMarker is the last event of a complete stream.
const endMarker = "[DONE]"

// reachable waits until every gateway answers a request for each model.
func (r *rig) reachable(models ...ticket.Model) {
	r.t.Helper()
	for _, m := range models {
		for i := range gateways {
			var a answer
			for end := time.Now().Add(settle); ; time.Sleep(50 * time.Millisecond) {
				if a = r.ask(i, key, chatPath, chat(m.Name, 1, false)); a.status == 200 && a.err == nil {
					break
				}
				if time.Now().After(end) {
					r.t.Fatalf("gateway %d: %s not reachable: %v", i, m.Name, a)
				}
			}
		}
	}
}

// stream is an open streamed answer.
type stream struct {
	mu    sync.Mutex
	lines []string      // guarded by mu
	ended time.Time     // guarded by mu
	done  chan struct{} // closed at the end
}

// open starts a stream at gateway i and returns once its first event arrived.
func (r *rig) open(i int, key, body string) *stream {
	r.t.Helper()
	resp, err := r.request(i, key, chatPath, body)
	if err != nil {
		r.t.Fatal(err)
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
		r.t.Fatalf("gateway %d: stream refused: %s", i, s.text())
	}
	return s
}

func (s *stream) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}

// events counts the events with content that arrived.
func (s *stream) events() int {
	return strings.Count(s.text(), "data: {") - strings.Count(s.text(), string(refusal.StreamBroken))
}

// fault sends faults to a stand-in.
func (r *rig) fault(url string, faults any) {
	r.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := r.client.Post("http://"+url, "application/json", bytes.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		r.t.Fatalf("%s: %s", url, resp.Status)
	}
}

// read fetches JSON from a stand-in.
func (r *rig) read(url string, out any) error {
	resp, err := r.client.Get("http://" + url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// revision returns the manifest revision that gateway i shows.
func (r *rig) revision(i int) (int64, error) {
	resp, err := r.client.Get("http://" + r.states[i] + "/metrics")
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
