package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	// reportLag is how old a report is.
	reportLag = 200 * time.Millisecond
	// adapterLoad is the time that an adapter takes.
	adapterLoad = 8 * time.Millisecond
)

// adapter is an adapter that takes a slot of an engine.
type adapter struct {
	coming, leaving bool
	uses            int
}

// order is the body of an order.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Expected *int64 `json:"expected"`
	Holder   string `json:"holder"`
	Fence    *int64 `json:"fence"`
}

func (o order) String() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	expected := "none"
	if o.Expected != nil {
		expected = strconv.FormatInt(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s expected %s holder %s fence %d", o.Op, name, expected, o.Holder, *o.Fence)
}

// snapshot is what an engine reports as of a moment.
type snapshot struct {
	at   time.Time
	text []byte
}

// engine is a stand-in of a model server. Its models are loaded from the start; orders concern adapters.
type engine struct {
	rec          *record
	store        *store
	id           string
	service      string
	adapterSlots int
	eventGap     time.Duration
	ln           net.Listener
	born         int64
	// late returns how long an order stays unanswered until it is carried out; zero: it is answered at once.
	late func(o order) time.Duration
	// answered is told the answers to orders.
	answered func(o order, status int)
	// extra reports whether a copy of the answer to the call is to come once more, where the next answer on its connection is due.
	extra func(method, path string) bool

	mu        sync.Mutex
	models    map[string]map[string]*adapter
	seq       int64
	beat      int64
	down      bool
	conns     map[net.Conn]bool
	snapshots []snapshot
	orders    []order // those that arrived
	broken    string  // how the engine was ordered to load more than it holds
	answers   int
	extras    int
}

func newEngine(rec *record, st *store, id, service string, slots int, models ...string) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		rec: rec, store: st, id: id, service: service, adapterSlots: slots, ln: ln, born: time.Now().UnixMilli(), eventGap: 100 * time.Millisecond,
		models: map[string]map[string]*adapter{}, conns: map[net.Conn]bool{},
		late:     func(order) time.Duration { return 0 },
		answered: func(order, int) {},
		extra:    func(string, string) bool { return false },
	}
	for _, m := range models {
		e.models[m] = map[string]*adapter{}
	}
	e.mu.Lock()
	e.changed()
	e.mu.Unlock()
	go e.accept()
	go e.beats()
	return e, nil
}

// changed records what reports state from now on; the caller holds mu.
func (e *engine) changed() {
	text, err := json.Marshal(map[string]any{
		"stage": "colocated", "models": e.loaded(), "busy": false, "seq": e.seq, "queued": 0, "active": 0, "kv_used": 0,
		"kv_total": 232000, "handles": 0, "coming": e.coming(), "at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
	if err != nil {
		panic(err)
	}
	e.snapshots = append(e.snapshots, snapshot{time.Now(), text})
}

func (e *engine) loaded() []map[string]any {
	out := []map[string]any{}
	for m, adapters := range e.models {
		names := []string{}
		for name, a := range adapters {
			if !a.coming {
				names = append(names, name)
			}
		}
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": names})
	}
	return out
}

func (e *engine) coming() []string {
	out := []string{}
	for m, adapters := range e.models {
		for name, a := range adapters {
			if a.coming {
				out = append(out, m+"/"+name+"@1")
			}
		}
	}
	return out
}

// report returns the state of reportLag ago.
func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.snapshots[0].text
	for _, s := range e.snapshots {
		if time.Since(s.at) >= reportLag {
			out = s.text
		}
	}
	return out
}

// beats writes the engine's entry until it is down, and removes it after three intervals of silence.
func (e *engine) beats() {
	for {
		e.mu.Lock()
		e.beat++
		down := e.down
		entry := map[string]any{
			"service": e.service, "address": e.ln.Addr().String(), "zone": "palermo", "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "stage": "colocated", "models": e.loaded(), "seq": e.beat, "born": e.born,
		}
		e.mu.Unlock()
		if down {
			time.Sleep(2 * beatInterval)
			e.store.remove("servers/" + e.id)
			return
		}
		if err := e.store.put("servers/"+e.id, entry); err != nil {
			panic(err)
		}
		time.Sleep(beatInterval)
	}
}

func (e *engine) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// crash ends the engine; the caller holds mu.
func (e *engine) crash() {
	e.down = true
	_ = e.ln.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

// serve answers the calls of one connection.
func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var copyOf []byte // answer that comes once more where the next one is due
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if copyOf != nil {
			e.rec.printf("%s: sends the answer before once more, where that to %s %s is due", e.id, r.Method, r.URL.Path)
			if _, err := c.Write(copyOf); err != nil {
				return
			}
			copyOf = nil
		}
		answer, keep := e.handle(c, r, body)
		if answer == nil && !keep {
			return
		}
		if _, err := c.Write(answer); err != nil || !keep {
			return
		}
		e.mu.Lock()
		e.answers++
		if e.extra(r.Method, r.URL.Path) {
			e.extras++
			copyOf = answer
		}
		e.mu.Unlock()
	}
}

func text(status int, head string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
}

// handle returns the answer to a call, or nothing if it was written already or is to be lost.
func (e *engine) handle(c net.Conn, r *http.Request, body []byte) (answer []byte, keep bool) {
	if want := r.Header.Get("Cuminhook-Expect-Instance"); want != "" && want != e.id {
		return text(http.StatusMisdirectedRequest, "Cuminhook-Instance-Id: "+e.id+"\r\n", nil), true
	}
	switch r.URL.Path {
	case "/report":
		return text(http.StatusOK, "Content-Type: application/json\r\n", e.report()), true
	case "/order":
		return e.handleOrder(c, body)
	}
	return e.run(c, r)
}

func (e *engine) handleOrder(c net.Conn, body []byte) (answer []byte, keep bool) {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == nil {
		return text(http.StatusBadRequest, "", nil), true
	}
	e.mu.Lock()
	e.orders = append(e.orders, o)
	wait := e.late(o)
	if wait > 0 {
		e.mu.Unlock()
		e.rec.printf("%s: order %s: no answer, carried out %s later", e.id, o, wait)
		time.AfterFunc(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.down {
				e.rec.printf("%s: late order %s: %d", e.id, o, e.execute(o))
			}
		})
		_, _ = io.Copy(io.Discard, c) // until the sender closes the connection
		return nil, false
	}
	status := e.execute(o)
	e.answered(o, status)
	e.rec.printf("%s: order %s: %d, seq %d, %d adapters", e.id, o, status, e.seq, e.slotsTaken())
	down := e.down
	e.mu.Unlock()
	if down {
		return nil, false
	}
	return text(status, "", nil), true
}

func (e *engine) slotsTaken() (n int) {
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

// execute carries an order for an adapter out, and returns the status of its answer; the caller holds mu.
func (e *engine) execute(o order) int {
	adapters, known := e.models[o.Model]
	switch {
	case o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	case o.Adapter == "" && o.Op == "load" && known, o.Adapter == "" && o.Op == "unload" && !known:
		return http.StatusOK
	case o.Adapter == "" || !known: // no room for other models, and none makes way here
		return http.StatusBadRequest
	}
	a := adapters[o.Adapter]
	if o.Op == "unload" {
		return e.unload(o, adapters, a)
	}
	if a != nil {
		return http.StatusOK
	}
	e.seq++
	if taken := e.slotsTaken(); taken >= e.adapterSlots {
		e.broken = fmt.Sprintf("%s: %s with %d of %d adapter slots taken", e.id, o, taken, e.adapterSlots)
		e.rec.printf("LIMIT: %s; the server crashes", e.broken)
		e.crash()
		return http.StatusAccepted
	}
	a = &adapter{coming: true}
	adapters[o.Adapter] = a
	e.changed()
	time.AfterFunc(adapterLoad, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.coming = false
		e.changed()
	})
	return http.StatusAccepted
}

// unload unloads an adapter, at once unless a request uses it; the caller holds mu.
func (e *engine) unload(o order, adapters map[string]*adapter, a *adapter) int {
	if a == nil {
		return http.StatusOK
	}
	e.seq++
	defer e.changed()
	if a.uses > 0 || a.coming {
		a.leaving = true
		return http.StatusAccepted
	}
	delete(adapters, o.Adapter)
	return http.StatusOK
}

// use counts a request for an adapter; it returns false if the adapter is not loaded.
func (e *engine) use(model, name string) (end func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.models[model]
	if !ok || name == "" {
		return func() {}, ok
	}
	a := adapters[name]
	if a == nil || a.coming || a.leaving {
		return nil, false
	}
	a.uses++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if a.uses--; a.uses == 0 && a.leaving {
			delete(adapters, name)
			e.changed()
		}
	}, true
}

// run answers a client's request with a stream of as many events as it asks for tokens.
func (e *engine) run(c net.Conn, r *http.Request) (answer []byte, keep bool) {
	id := r.Header.Get("Cuminhook-Attempt-Id")
	head := "Cuminhook-Attempt-Id: " + id + "\r\n"
	model, name, _ := strings.Cut(r.Header.Get("Cuminhook-Model"), "/")
	end, ok := e.use(model, name)
	if !ok {
		return text(http.StatusMisdirectedRequest, head+"Cuminhook-Instance-Id: "+e.id+"\r\nCuminhook-Not-Run: 1\r\n", nil), true
	}
	defer end()
	e.rec.printf("%s: runs %s (%s/%s)", e.id, id, model, name)
	_, count, _ := strings.Cut(r.Header.Get("Cuminhook-Token-Counts"), ",")
	n, _ := strconv.Atoi(count)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%sCuminhook-Server-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head, e.id, id)
	for i := range n {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if _, err := c.Write(b.Bytes()); err != nil {
			e.rec.printf("%s: %s broken off after %d events", e.id, id, i)
			return nil, false
		}
		b.Reset()
		time.Sleep(e.eventGap)
	}
	return []byte("0\r\n\r\n"), true
}

// has reports whether the engine has an adapter.
func (e *engine) has(model, name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model][name] != nil
}

// arrived returns the orders that have arrived.
func (e *engine) arrived() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]order{}, e.orders...)
}

// overload tells how the engine was ordered to load more than it holds, if it was.
func (e *engine) overload() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}
