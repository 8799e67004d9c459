package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store or, in a watch, a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry *time.Timer
}

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing. Each machine reaches it by an
// address of its own, so that a test can disturb the calls of one machine.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// entrance is the address of the store for one machine.
type entrance struct {
	store  *store
	addr   string
	server http.Server
}

func (s *store) entrance() (*entrance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &entrance{store: s, addr: ln.Addr().String()}
	e.server.Handler, e.server.ReadHeaderTimeout = e, time.Second
	go func() { _ = e.server.Serve(ln) }()
	return e, nil
}

// close ends all connections and takes no further ones.
func (e *entrance) close() { _ = e.server.Close() }

// ServeHTTP implements http.Handler.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := e.store.call(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// put writes an item without a condition, as the operator and the servers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.record(i)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) record(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	if l := s.leases[id]; l != nil {
		l.expiry.Stop()
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.delete(key)
			}
		}
	}
}

func (s *store) call(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-watch":
		return s.watch(r, q.Get("prefix"), q.Get("after"), q.Get("wait_ms"))
	case "GET /kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if i, ok := s.items[q.Get("key")]; ok {
			return 200, i
		}
		return 404, nil
	case "GET /kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case "POST /kv-txn":
		return s.txn(body)
	case "POST /kv-lease":
		return s.grant(body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	l := s.leases[id]
	if l == nil {
		return 404, nil
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		l.expiry.Reset(l.ttl)
	}
	return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) grant(body []byte) (int, any) {
	var asked struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &asked) != nil || asked.TTL < 1000 {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(asked.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expiry: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	return 200, map[string]any{"lease": id, "ttl_ms": asked.TTL}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := []item{}
	for _, key := range keys[:min(500, len(keys))] {
		out = append(out, s.items[key])
	}
	return 200, map[string]any{"items": out, "has_more": len(keys) > 500, "at": s.revision}
}

func (s *store) watch(r *http.Request, prefix, after, wait string) (int, any) {
	from, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.ParseInt(wait, 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []item{}
		for _, e := range s.events {
			if e.Revision > from && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": out, "at": at}
		if len(out) > 0 {
			return 200, answer
		}
		select {
		case <-changed:
		case <-end:
			return 200, answer
		case <-r.Context().Done():
			return 200, answer
		}
	}
}

func (s *store) txn(body []byte) (int, any) {
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
	if json.Unmarshal(body, &t) != nil {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return 412, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 404, nil
		}
	}
	for _, w := range t.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	return 200, map[string]any{"revision": s.revision}
}
