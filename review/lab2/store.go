package main

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// item is an item of the store or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl time.Duration
	end *time.Timer
}

// store is a stand-in of the platform's store.
type store struct {
	rec *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	changed  chan struct{}
	addrs    []string
	cut      map[string]bool // by address of the store: the next watch that waits there is cut
}

func newStore(rec *record) *store {
	return &store{
		rec: rec, revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cut: map[string]bool{},
	}
}

// put writes an item as the operator and the servers do.
func (s *store) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
	return nil
}

// remove deletes an item as the platform does for a server that has left.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// write stores an item; the caller holds mu.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.event(it)
}

// drop deletes an item; the caller holds mu.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.event(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) event(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease ends a lease and removes its keys; the caller holds mu.
func (s *store) endLease(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.end.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	status, body := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, it
	case "GET /kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case "GET /kv-watch":
		return s.watch(r, q.Get("prefix"), q.Get("after"), q.Get("wait_ms"))
	case "POST /kv-txn":
		return s.txn(r)
	case "POST /kv-lease":
		return s.grant(r)
	}
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		return http.StatusNotFound, nil
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.endLease(id)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		l.end.Reset(l.ttl)
	default:
		return http.StatusBadRequest, nil
	}
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) list(prefix, after string) (int, any) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := []item{}
	for _, key := range keys[:min(page, len(keys))] {
		out = append(out, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": out, "has_more": len(keys) > page, "at": s.revision}
}

func (s *store) watch(r *http.Request, prefix, after, wait string) (int, any) {
	from, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.ParseInt(wait, 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		out, at, changed := []item{}, s.revision, s.changed
		for _, e := range s.events {
			if e.Revision > from && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		s.mu.Unlock()
		if len(out) > 0 {
			return http.StatusOK, map[string]any{"events": out, "at": at}
		}
		select {
		case <-changed:
		case <-time.After(cutAfter):
			s.cutWatch(r)
			select {
			case <-changed:
			case <-end:
				return http.StatusOK, map[string]any{"events": out, "at": at}
			case <-r.Context().Done():
				return http.StatusOK, nil
			}
		}
	}
}

// cutAfter is how long a watch waits at least before it is cut.
const cutAfter = 10 * time.Millisecond

// cutWatch ends the call without an answer if the next watch that waits at its address of the store is to be cut.
func (s *store) cutWatch(r *http.Request) {
	at, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	cut := at != nil && s.cut[at.String()]
	if cut {
		delete(s.cut, at.String())
	}
	s.mu.Unlock()
	if cut {
		s.rec.printf("store: cuts a watch that waits, of the host at %s", at)
		panic(http.ErrAbortHandler)
	}
}

// cutWatches has the next watch that waits at each address of the store cut.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, addr := range s.addrs {
		s.cut[addr] = true
	}
}

// addr opens a further address of the store, for one host.
func (s *store) addr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs = append(s.addrs, ln.Addr().String())
	return ln.Addr().String(), nil
}

func (s *store) txn(r *http.Request) (int, any) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, w := range t.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Deletes {
		s.drop(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var asked struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&asked) != nil || asked.TTL < 1000 || asked.TTL > 600_000 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(asked.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, end: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": asked.TTL}
}
