package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment that the scenarios play.
const (
	hostName = "desk.example"
	apiKey   = "k7m2q9x4t1"
	tenant   = "tenant-a"
	grace    = 8 * time.Second
)

// host is an entry host: a process of the program of the deploy file.
type host struct {
	rec                              *record
	name, listen, ready, peers, file string
	logPath                          string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// given are the addresses that freeAddr has returned. Its callers use them a little later.
var given = map[string]bool{}

// freeAddr returns an address whose port is free, below the ports that the kernel gives to connections. It is called by one goroutine.
func freeAddr() (string, error) {
	const first, last, tries = 12000, 32000, 200
	for range tries {
		addr := fmt.Sprintf("127.0.0.1:%d", first+rand.N(last-first))
		if given[addr] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", addr)
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			given[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("no port is free")
}

// newHost writes the settings file of a host as deploy/entry.yaml.tmpl has it, with the bounds of trinacria-strike.
func newHost(rec *record, dir, name, store string, drain time.Duration) (*host, error) {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	h := &host{
		rec: rec, name: name, listen: addrs[0], ready: addrs[1], peers: addrs[2], file: filepath.Join(dir, name+".yaml"),
		logPath: filepath.Join(dir, name+".log"),
	}
	settings := fmt.Sprintf(`host: %s
zone: palermo
listen: %s
ready: %s
peers: %s
metrics: %s
store: %s
drain_within: %[7]dms
config_within: %[7]dms
zones:
  palermo: sicilia
link_mbps: 1000.0
far_interval: 2
memory_mb: 284
max_fds: 4100
grace: 8s
retry_ratio: 0.2
retry_slack: 54
even_load: true
placement:
  lease: 3000ms
  loads_overshoot: 1.1
`, name, h.listen, h.ready, h.peers, addrs[3], store, drain.Milliseconds())
	return h, os.WriteFile(h.file, []byte(settings), 0o600)
}

// start starts the host's process.
func (h *host) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Getenv("ENTRY"))
	cmd.Env = append(os.Environ(), "CUMINHOOK_NODE_FILE="+h.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		h.rec.printf("%s: process ended: %s", h.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process unless it has ended.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) wait() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

// restart stops the host as the platform does and starts it again.
func (h *host) restart() error {
	h.rec.printf("%s: SIGTERM", h.name)
	h.signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, func() { h.signal(syscall.SIGKILL) })
	h.wait()
	kill.Stop()
	return h.start()
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		resp, err := client.Get("http://" + h.ready + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready", h.name)
}

// answer is what a client got.
type answer struct {
	status   int
	complete bool
	events   int
	err      error
}

var attempts struct {
	sync.Mutex
	n int
}

func newID() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("r%04d", attempts.n)
}

// request sends a stream request for a model or an adapter, of as many events, and reads the answer.
func (h *host) request(ctx context.Context, model string, events int) answer {
	id := newID()
	h.rec.printf("client: %s for %s to %s", id, model, h.name)
	a := h.send(ctx, id, model, events)
	h.rec.printf("client: %s got %d, %d events, complete %t, %v", id, a.status, a.events, a.complete, a.err)
	return a
}

func (h *host) send(ctx context.Context, id, model string, events int) (a answer) {
	return h.sendTo(ctx, "/brief/1", id, model, events)
}

// sendTo sends a request to a path, for a model unless that is empty, and reads the answer.
func (h *host) sendTo(ctx context.Context, path, id, model string, events int) (a answer) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", h.listen)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	const deadline = 15 * time.Second
	_ = c.SetDeadline(time.Now().Add(deadline))
	body, fields := "prompt of "+id, ""
	if model != "" {
		fields = fmt.Sprintf("Cuminhook-Model: %s\r\nCuminhook-Token-Counts: 50,%d\r\nCuminhook-Prompt-Prefix: %x:50\r\n", model, events, id)
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nCuminhook-Attempt-Id: %s\r\n%sCuminhook-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", path, hostName, id, fields, deadline.Milliseconds(), apiKey, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	a = answer{status: resp.StatusCode, events: strings.Count(string(got), "id: "), complete: err == nil, err: err}
	if resp.StatusCode == http.StatusOK && err == nil && a.events != events {
		a.err = errors.New("events are missing")
	}
	return a
}

// config returns the operator's configuration: a stream route to a service of engines that holds the models.
func config(version, adapterSlots, adapters int, models ...string) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m, "mb": 60000.0, "load_s": 1.2, "warm_s": 0.38, "disk_s": 0.49, "adapters": adapters, "adapter_mb": 12.0,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-brief", "host": hostName, "prefix": "/brief/", "kind": "stream", "timeout_ms": 15000, "target_latency_ms": 400,
			"priority": 0, "service": "warn-writer", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 250,
		}},
		"services": []map[string]any{{
			"name": "warn-writer", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_cap_tokens": 232000, "mb": 70000.0, "adapter_slots": adapterSlots, "loads_per_s": 2.1, "models": list,
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}
