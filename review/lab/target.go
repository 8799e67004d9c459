package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headerID       = "Cuminhook-Attempt-Id"
	headerStamp    = "Cuminhook-Server-Stamp"
	headerExpect   = "Cuminhook-Expect-Instance"
	headerInstance = "Cuminhook-Instance-Id"
)

// ledger records what servers have seen.
type ledger struct {
	mu     sync.Mutex
	runs   map[string][]*run // by request
	faults []string          // what broke a rule
}

// run is one run of a request at a server.
type run struct {
	server string
	how    string // how the server ended it; empty: with its whole answer, or not at all
}

func (r *run) String() string {
	if r.how == "" {
		return r.server
	}
	return r.server + " (" + r.how + ")"
}

func newLedger() *ledger { return &ledger{runs: map[string][]*run{}} }

func (l *ledger) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *ledger) addRun(id, server string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{server: server}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// stampOf returns the stamp of an answer. It depends on the body, so that a client can tell a changed one.
func stampOf(id, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id+"|"+body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// behaviour is how a server answers one request.
type behaviour uint8

const (
	sound    behaviour = iota
	headless           // bytes that are no answer: a status line, the id or nothing, and a part of the body; then the end
	endLost            // all events of a stream, but not the end of the answer: the connection is closed
)

// heartbeat is the time between two entries of a server.
const heartbeat = 1200 * time.Millisecond

// target is a stand-in of a server. It carries out no orders.
type target struct {
	id, service, zone string
	slots             int
	choose            func(*http.Request) behaviour // nil: sound
	workTime          func() time.Duration
	models            []string      // loaded; none: a plain service
	events            int           // of a stream
	eventGap          time.Duration // between two of them

	ledger *ledger
	store  *store
	addr   string
	born   int64
	beat   int64
}

func startTarget(t *target) error { return startServer(t, t.serve) }

// startServer serves connections to a server and keeps its entry in the store.
func startServer(t *target, serve func(net.Conn)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.addr, t.born = ln.Addr().String(), time.Now().UnixMilli()
	t.register()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	go func() {
		for range time.Tick(heartbeat) {
			t.register()
		}
	}()
	return nil
}

// register writes the server's entry into the store.
func (t *target) register() {
	t.beat++
	entry := map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": "v1", "slots": t.slots, "state": "ready",
		"cold_left_ms": 0, "seq": t.beat, "born": t.born,
	}
	if len(t.models) > 0 {
		entry["stage"], entry["models"] = "colocated", t.loadedModels()
	}
	value, err := json.Marshal(entry)
	if err != nil { // cannot happen: all values can be encoded
		panic(err)
	}
	t.store.put("servers/"+t.id, value)
}

func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	br, bw := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !t.handle(bw, r) || bw.Flush() != nil {
			return
		}
	}
}

func (t *target) loadedModels() []map[string]any {
	out := []map[string]any{}
	for _, m := range t.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// report answers a read of the server's report.
func (t *target) report(w io.Writer) {
	body, err := json.Marshal(map[string]any{
		"stage": "colocated", "models": t.loadedModels(), "busy": false, "seq": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 232000, "handles": 0,
	})
	if err != nil { // cannot happen: all values can be encoded
		panic(err)
	}
	answer(w, http.StatusOK, "Content-Type: application/json\r\n", string(body))
}

func answer(w io.Writer, status int, head, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// handle answers a request and reports whether the connection is kept.
func (t *target) handle(w *bufio.Writer, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if want := r.Header.Get(headerExpect); want != "" && want != t.id {
		answer(w, http.StatusMisdirectedRequest, headerInstance+": "+t.id+"\r\n", "")
		return true
	}
	switch r.URL.Path {
	case "/report":
		t.report(w)
		return true
	case "/order":
		answer(w, http.StatusConflict, "", "")
		return true
	}
	id := r.Header.Get(headerID)
	if string(body) != bodyOf(id, len(body)) {
		t.ledger.fault("UNASKED body of %s changed", id)
	}
	run := t.ledger.addRun(id, t.id)
	if t.events > 0 {
		return t.stream(w, r, run)
	}
	time.Sleep(t.workTime())
	text := fmt.Sprintf("%s %s %s", id, t.id, strings.Repeat("y", 400+rand.IntN(800)))
	if t.choose != nil && t.choose(r) == headless {
		head := ""
		if rand.IntN(2) == 0 {
			head = headerID + ": " + id + "\r\n"
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s\r\n%s", head, text[:20])
		_ = w.Flush()
		return false
	}
	answer(w, http.StatusOK, headerID+": "+id+"\r\n"+headerStamp+": "+stampOf(id, text)+"\r\n", text)
	return true
}

// stream answers with events, which go on after the Last-Event-Id of the request.
func (t *target) stream(w *bufio.Writer, r *http.Request, run *run) bool {
	id, last := r.Header.Get(headerID), 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		if _, err := fmt.Sscan(text, &last); err != nil {
			t.ledger.fault("UNASKED Last-Event-Id of %s is %q", id, text)
		}
	}
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, id, headerStamp, stampOf(id, ""))
	for n := last + 1; n <= t.events; n++ {
		time.Sleep(t.eventGap)
		event := eventOf(id, n)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if w.Flush() != nil {
			return false
		}
	}
	if t.choose != nil && t.choose(r) == endLost {
		t.ledger.withLock(func() { run.how = "end lost" })
		return false
	}
	t.ledger.withLock(func() { run.how = fmt.Sprintf("complete after event %d", last) })
	_, _ = io.WriteString(w, "0\r\n\r\n")
	return true
}

// eventOf returns the n-th event of a stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// bodyOf returns the body of a request, which depends on its id.
func bodyOf(id string, n int) string {
	if n == 0 {
		return ""
	}
	return strings.Repeat(id+".", n/(len(id)+1)+1)[:n]
}
