package main

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/lib/ticket"
)

// fakeMesh is a mesh without other members. When its Run ends, it sends to left whether the ticket was written by then.
type fakeMesh struct {
	done *atomic.Bool
	left chan bool
}

func (fakeMesh) Snapshot() *confview.Snapshot {
	return &confview.Snapshot{Manifest: manifest.Initial(), State: ticket.EmptyState(), Placement: &placement.View{}}
}
func (fakeMesh) Status() confview.Status              { return confview.Fresh }
func (fakeMesh) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (fakeMesh) Members() []confview.Member           { return nil }
func (fakeMesh) Self() string                         { return "adm" }
func (fakeMesh) NotifyLeaving(context.Context)        {}
func (fakeMesh) Announce(context.Context, manifest.Restriction, []string) (int, error) {
	return 0, nil
}

func (f fakeMesh) Run(ctx context.Context) error {
	<-ctx.Done()
	f.left <- f.done.Load()
	return nil
}

// slowWriter closes started when it receives a ticket and accepts the ticket once proceed is closed.
type slowWriter struct {
	started, proceed chan struct{}
	done             *atomic.Bool
}

func (w slowWriter) Accept(_ context.Context, t *ticket.Ticket) (manifest.Receipt, error) {
	close(w.started)
	<-w.proceed
	w.done.Store(true)
	return manifest.Receipt{Number: t.Number, Revision: 1}, nil
}
func (slowWriter) Newest() *manifest.Loaded { return nil }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a planned stop that aborts a ticket in progress, or that stops the mesh, which carries the ticket's
// announcements, before the ticket is written.
func TestStopFinishesTicketBeforeLeaving(t *testing.T) {
	done := &atomic.Bool{}
	l, m := listen(t), fakeMesh{done, make(chan bool, 1)}
	w := slowWriter{make(chan struct{}), make(chan struct{}), done}
	ctx, cancel := context.WithCancel(t.Context())
	served, applied := make(chan error, 1), make(chan error, 1)
	go func() { served <- serve(ctx, l, listen(t), adminapi.New(m, w, adminapi.Config{}), m) }()
	client, err := adminapi.NewClient("http://"+l.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, err := client.Apply([]byte("number: 1\norganisations: [{name: acme, rate: 1, burst: 1}]\n"))
		applied <- err
	}()
	<-w.started
	cancel()
	close(w.proceed)
	if err := <-applied; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	if !<-m.left {
		t.Error("left the mesh with a ticket in progress")
	}
}

// Guards against an API without a token that other hosts of the network can reach.
func TestTokenRequiredOffLoopback(t *testing.T) {
	s := Settings{Node: settings.Node{
		Host: "a", Zone: "z", Mesh: "127.0.0.1:1", Metrics: "127.0.0.1:2", KV: "http://127.0.0.1:3", Hosts: "http://127.0.0.1:3",
	}, Listen: "10.0.0.1:7300"}
	if err := s.Validate(); err == nil || !strings.Contains(err.Error(), "token") {
		t.Fatal(err)
	}
	s.Token = "secret"
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
}
