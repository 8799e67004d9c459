// Command lab plays one case of the review. It starts entry hosts as separate processes, with stand-ins of the platform's store,
// of servers and of clients, and judges what these see.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]func() int{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE")
		os.Exit(cannot)
	}
	os.Exit(cases[os.Args[1]]())
}

func cannotRun(err error) int {
	fmt.Println("the case could not run:", err)
	return cannot
}

// world is one deployment.
type world struct {
	dir      string
	store    *store
	ledger   *ledger
	machines []*machine

	loads atomic.Int64 // calls of load

	mu    sync.Mutex
	calls []*call
}

func newWorld(machines int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: newStore(), ledger: newLedger()}
	for i := range machines {
		m, err := newMachine(dir, fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 10+i), w.store)
		if err != nil {
			return nil, err
		}
		w.machines = append(w.machines, m)
	}
	return w, nil
}

// start starts all machines and waits until they are ready. Their processes end with this one.
func (w *world) start() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(cannot)
	}()
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			time.Sleep(2 * time.Second) // for the machines to find each other
			return nil
		}
	}
	return errors.New("machines not ready")
}

// close ends the processes and, unless KEEP is set, removes their logs.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) { fmt.Printf(format+"\n", args...) }

func (w *world) record(k *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, k)
}

func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": 1200, "target_latency_ms": 150,
		"service": service, "max_attempts": 1, "priority": 2, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// config writes a configuration like that of the small sites, with one tenant for each key.
func (w *world) config(version int, keys ...string) {
	tenants := []map[string]any{}
	for _, key := range keys {
		tenants = append(tenants, map[string]any{"name": "t-" + key, "api_keys": []string{key}, "unit": "token_stream", "plain_tokens": 200})
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("order", "/b/", "non_idempotent", "desk", nil),
			route("lookup", "/r/", "idempotent", "desk", map[string]any{"max_attempts": 2}),
			route("brief", "/n/", "stream", "writer", map[string]any{
				"timeout_ms": 8000, "target_latency_ms": 1500, "max_attempts": 2, "priority": 1, "sticky": true, "resumable": true, "gap_aim_ms": 250,
			}),
		},
		"services": []map[string]any{
			{"name": "desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
			{"name": "writer", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_cap_tokens": 232000, "mb": 200000, "adapter_slots": 8, "loads_per_s": 2.1,
				"models": []map[string]any{{"name": "m1", "mb": 65100, "load_s": 1.2, "warm_s": 0.38, "disk_s": 0.49, "adapters": 0, "adapter_mb": 12}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	if err != nil { // cannot happen: all values can be encoded
		panic(err)
	}
	w.store.put("op/config", value)
}

func (w *world) addTarget(t *target) error {
	t.ledger, t.store, t.zone = w.ledger, w.store, "z"
	return startTarget(t)
}

// maxReuse is how long clients leave a connection idle and use it again: four fifths of limits.idle_timeout_ms.
const maxReuse = 12 * time.Second

// load sends requests at a rate (a second) until end, on connections that clients keep. The platform's balancer sends no new
// connection to a machine that stops. If opened is set, clients have connections from the beginning.
func (w *world) load(end time.Time, perSecond float64, opened bool, next func() request) {
	const clients = 54 // of the site
	load := w.loads.Add(1)
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			var cn *conn
			open := func() (err error) {
				for i := range w.machines {
					if m := w.machines[(c+i)%len(w.machines)]; m.inRotation.Load() {
						cn, err = dial(m)
						return err
					}
				}
				return errors.New("no machine in rotation")
			}
			if opened && open() != nil {
				cn = nil
			}
			for n := 0; ; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * clients / perSecond * float64(time.Second)))
				if time.Now().After(end) {
					break
				}
				if cn != nil && (rand.IntN(20) == 0 || time.Since(cn.lastUse) > maxReuse) {
					_ = cn.Close()
					cn = nil
				}
				if cn == nil && open() != nil {
					cn = nil
					continue
				}
				q := next()
				q.id = fmt.Sprintf("l%dc%dn%d", load, c, n)
				k, keep := cn.do(q)
				w.record(k)
				if !keep {
					cn = nil
				}
			}
			if cn != nil {
				_ = cn.Close()
			}
		})
	}
	all.Wait()
}

// verdict prints what broke a rule and returns the exit code of the case.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	found := append([]string{}, w.ledger.faults...)
	for _, k := range w.calls {
		if k.fault != "" {
			found = append(found, k.fault+": "+k.id+" "+k.path)
		}
		runs := len(w.ledger.runs[k.id])
		once := strings.HasPrefix(k.path, "/b/")
		if once && runs > 1 {
			found = append(found, fmt.Sprintf("TWICE %s ran %d times", k.id, runs))
		}
		if once && runs > 0 && (k.status == 429 || k.status == 503) {
			found = append(found, fmt.Sprintf("REFUSED %s was answered %d and has run", k.id, k.status))
		}
	}
	sort.Strings(found)
	for _, f := range found {
		fmt.Println("BROKEN", f)
	}
	if len(found) > 0 {
		return broken
	}
	fmt.Println("no rule broken")
	return held
}
