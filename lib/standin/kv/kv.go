// Package kv is a stand-in for the platform's key-value service and host list, for the demo and for tests.
// It keeps all data in memory and injects faults on request.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/hostlist/httplist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/kv/httpkv"
	"cuminhook.org/cuminhook/lib/kv/memkv"
)

// FaultPath takes a Fault by POST and returns the faults in force by GET.
const FaultPath = "/fault"

// Fault is a set of faults to inject. Each POST replaces the faults of the key-value service; Host, Leaving
// and Removed change one entry of the host list.
type Fault struct {
	Outage      bool   `json:"outage"`       // calls fail without effect
	Silent      bool   `json:"silent"`       // calls take no effect and get no response
	SlowMS      int64  `json:"slow_ms"`      // milliseconds before a call takes effect
	LostAnswers bool   `json:"lost_answers"` // calls take effect and their connection is closed without a response
	Host        string `json:"host,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"` // new leaving state of Host
	Removed     bool   `json:"removed,omitempty"` // remove Host from the list
}

// Config holds the settings of the stand-in.
type Config struct {
	Hosts []hostlist.Host
	Lag   time.Duration // time until a change of the host list becomes visible
}

// Server is the stand-in. Serve it with a fasthttp.Server.
type Server struct {
	store *memkv.Store
	lag   time.Duration

	mu       sync.Mutex
	fault    Fault             // guarded by mu
	versions []hostListVersion // guarded by mu; oldest first
}

// hostListVersion is a host list and the time from which it is visible.
type hostListVersion struct {
	visible time.Time
	hosts   []hostlist.Host
}

// New returns a stand-in whose initial host list is visible at once.
func New(c Config) *Server {
	return &Server{store: memkv.New(), lag: c.Lag, versions: []hostListVersion{{time.Now(), slices.Clone(c.Hosts)}}}
}

// Store returns the store behind the server.
func (s *Server) Store() *memkv.Store { return s.store }

// Handle is the fasthttp.RequestHandler of the stand-in.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case strings.HasPrefix(path, httpkv.PathPrefix) && c.IsPost():
		s.handleKV(c, strings.TrimPrefix(path, httpkv.PathPrefix))
	case path == httplist.Path && c.IsGet():
		writeJSON(c, s.Hosts())
	case path == httplist.Path && c.IsPost():
		s.handleRegister(c)
	case path == FaultPath:
		s.handleFault(c)
	default:
		c.Error("unknown path; see cuminhook-standin kv --help", fasthttp.StatusNotFound)
	}
}

// Hosts returns the host list that is visible now.
func (s *Server) Hosts() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.versions) > 1 && !time.Now().Before(s.versions[1].visible) {
		s.versions = s.versions[1:]
	}
	return slices.Clone(s.versions[0].hosts)
}

// updateHosts applies f to the newest host list; the result becomes visible after the lag.
func (s *Server) updateHosts(f func([]hostlist.Host) []hostlist.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.versions[len(s.versions)-1].hosts
	s.versions = append(s.versions, hostListVersion{time.Now().Add(s.lag), f(slices.Clone(newest))})
}

// SetFault replaces the faults of the key-value service and, if f names a host, changes its entry in the host list.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f.Host == "" {
		return
	}
	s.updateHosts(func(hosts []hostlist.Host) []hostlist.Host {
		if f.Removed {
			return slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.ID == f.Host })
		}
		for i := range hosts {
			if hosts[i].ID == f.Host {
				hosts[i].Leaving = f.Leaving
			}
		}
		return hosts
	})
}

func (s *Server) handleFault(c *fasthttp.RequestCtx) {
	if c.IsPost() {
		var f Fault
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(fmt.Sprintf("not a fault: %v", err), fasthttp.StatusBadRequest)
			return
		}
		s.SetFault(f)
	}
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	writeJSON(c, f)
}

// handleRegister adds a host to the list, or replaces the entry with the same id.
func (s *Server) handleRegister(c *fasthttp.RequestCtx) {
	var h hostlist.Host
	if err := json.Unmarshal(c.PostBody(), &h); err != nil || h.ID == "" {
		c.Error("not a host with an id", fasthttp.StatusBadRequest)
		return
	}
	s.updateHosts(func(hosts []hostlist.Host) []hostlist.Host {
		hosts = slices.DeleteFunc(hosts, func(o hostlist.Host) bool { return o.ID == h.ID })
		return append(hosts, h)
	})
	writeJSON(c, h)
}

func (s *Server) handleKV(c *fasthttp.RequestCtx, name string) {
	var req httpkv.Request
	if err := json.Unmarshal(c.PostBody(), &req); err != nil {
		c.Error(fmt.Sprintf("not a request: %v", err), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if f.Outage {
		writeJSON(c, httpkv.Response{Error: "unavailable"})
		return
	}
	if f.Silent {
		time.Sleep(silentDelay)
		closeUnanswered(c)
		return
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	resp, err := s.execute(c, name, req)
	if f.LostAnswers {
		closeUnanswered(c)
		return
	}
	if err != nil {
		resp.Error = "internal"
		for text, known := range httpkv.ErrorsByName {
			if errors.Is(err, known) {
				resp.Error = text
			}
		}
	}
	writeJSON(c, resp)
}

// silentDelay exceeds the timeout of every client.
const silentDelay = 10 * time.Second

// closeUnanswered drops the connection without writing a response.
func closeUnanswered(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}

// execute runs one call of the key-value protocol on the store.
func (s *Server) execute(ctx context.Context, name string, r httpkv.Request) (resp httpkv.Response, err error) {
	var e kv.Entry
	ms := time.Duration(r.MS) * time.Millisecond
	switch name {
	case "get":
		e, err = s.store.Get(ctx, r.Key)
		resp.Entries = []kv.Entry{e}
	case "wait":
		e, err = s.store.Wait(ctx, r.Key, r.Version, ms)
		resp.Entries = []kv.Entry{e}
	case "list":
		resp.Entries, err = s.store.List(ctx, r.Key)
	case "put":
		resp.Version, err = s.store.Put(ctx, r.Key, r.Value, r.Version, r.Lease)
	case "delete":
		err = s.store.Delete(ctx, r.Key, r.Version)
	case "grant":
		resp.Lease, err = s.store.Grant(ctx, ms)
	case "keepalive":
		err = s.store.KeepAlive(ctx, r.Lease)
	case "revoke":
		err = s.store.Revoke(ctx, r.Lease)
	default:
		err = fmt.Errorf("unknown call %q", name)
	}
	return resp, err
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
