package kv

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/hostlist/httplist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/kv/httpkv"
)

// start serves a stand-in on loopback and returns its base URL.
func start(t *testing.T, c Config) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(c)
	server := &fasthttp.Server{Handler: s.Handle, CloseOnShutdown: true, MaxRequestBodySize: 4 << 20}
	go server.Serve(l)
	t.Cleanup(func() { l.Close() })
	return s, "http://" + l.Addr().String()
}

// Guards against a client or stand-in of the HTTP protocol that loses a field or maps an error wrongly.
func TestStoreOverHTTP(t *testing.T) {
	server, base := start(t, Config{})
	s, err := httpkv.New(base)
	if err != nil {
		t.Fatal(err)
	}
	s.CallTimeout = time.Minute // a busy machine may need more than the default of a second for 1 MB
	ctx := t.Context()
	lease, err := s.Grant(ctx, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	v, err := s.Put(ctx, "a/1", make([]byte, kv.MaxValueBytes), 0, lease)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a/1", nil, 0, 0); !errors.Is(err, kv.ErrConflict) {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a/2", make([]byte, kv.MaxValueBytes+1), 0, 0); !errors.Is(err, kv.ErrTooLarge) {
		t.Fatal(err)
	}
	if e, err := s.Get(ctx, "a/1"); err != nil || e.Version != v || len(e.Value) != kv.MaxValueBytes || e.Key != "a/1" {
		t.Fatal(e.Key, e.Version, err)
	}
	if list, err := s.List(ctx, "a/"); err != nil || len(list) != 1 {
		t.Fatal(len(list), err)
	}
	if e, err := s.Wait(ctx, "a/1", 0, time.Hour); err != nil || e.Version != v {
		t.Fatal(e, err)
	}
	if err := errors.Join(s.KeepAlive(ctx, lease), s.Revoke(ctx, lease)); err != nil {
		t.Fatal(err)
	}
	if err := s.KeepAlive(ctx, lease); !errors.Is(err, kv.ErrLeaseLost) {
		t.Fatal(err)
	}
	if _, err := s.Get(ctx, "a/1"); !errors.Is(err, kv.ErrNotFound) {
		t.Fatal(err)
	}
	server.SetFault(Fault{Outage: true})
	if _, err := s.Put(ctx, "b", nil, 0, 0); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
	server.SetFault(Fault{LostAnswers: true})
	if _, err := s.Put(ctx, "b", nil, 0, 0); !errors.Is(err, kv.ErrUnknown) {
		t.Fatal(err)
	}
	server.SetFault(Fault{})
	if _, err := s.Put(ctx, "b", nil, 0, 0); !errors.Is(err, kv.ErrConflict) {
		t.Fatal("the write with the lost answer took no effect:", err)
	}
}

// Guards against a client that reports a write as not done although its connection broke after the request was sent,
// that reports a write to a closed port as possibly done, or that repeats a write by itself.
func TestOutcomeOfWriteOnBrokenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan int, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			accepted <- 1 // before Close, which lets the client go on to the count
			c.Close()
		}
	}()
	s, err := httpkv.New("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(t.Context(), "a", nil, 0, 0); !errors.Is(err, kv.ErrUnknown) {
		t.Fatal("broken connection:", err)
	}
	l.Close()
	if _, err := s.Put(t.Context(), "a", nil, 0, 0); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal("closed port:", err)
	}
	if len(accepted) != 1 {
		t.Fatal("the client repeated the call:", len(accepted))
	}
}

// Guards against a host list that does not show a change, or changes an entry that the fault does not name.
func TestHostListChanges(t *testing.T) {
	server, base := start(t, Config{Hosts: []hostlist.Host{{ID: "a", Addr: "127.0.0.1:1"}, {ID: "b"}}})
	list, err := httplist.New(base)
	if err != nil {
		t.Fatal(err)
	}
	server.SetFault(Fault{Host: "a", Leaving: true})
	server.SetFault(Fault{Host: "b", Removed: true})
	hosts, err := list.Hosts(t.Context())
	if err != nil || len(hosts) != 1 || hosts[0].ID != "a" || !hosts[0].Leaving || hosts[0].Addr != "127.0.0.1:1" {
		t.Fatal(hosts, err)
	}
}
