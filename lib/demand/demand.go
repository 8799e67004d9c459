// Package demand carries the demand that gateways see to the controllers.
package demand

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/peer"
)

// Service and Method name the RPC that controllers register.
const (
	Service = "Controller"
	Method  = "Controller.Demand"
)

// Period is the time between reports, and callDeadline bounds one call.
const (
	Period       = time.Second
	callDeadline = 700 * time.Millisecond
)

// RoleController is the mesh role of controllers.
const RoleController = "controller"

// Model is the demand for one model or adapter since the last report. A request for an adapter is
// counted for the adapter and for its model.
type Model struct {
	Name     string
	Requests int64
	Prompt   int64 // tokens
	Output   int64 // tokens, as estimated at admission
	Queue    int   // requests waiting at the gateway now
}

// Report is what a gateway sends.
type Report struct {
	Gateway string
	Boot    string
	Seq     int64 // rises by one; a repeated report is not counted again
	Models  []Model
	// Suspects are targets that failed a request of this gateway since the last report.
	Suspects []string
}

// Reply tells whether the receiver is the active controller.
type Reply struct{ Active bool }

// Sender collects the demand of a gateway and reports it. It is safe for concurrent use.
type Sender struct {
	view    confview.View
	peers   peer.Caller
	queues  func() map[string]int
	gateway string
	boot    string

	mu     sync.Mutex
	counts map[string]*Model // guarded by mu
	failed map[string]bool   // guarded by mu; targets

	seq  int64  // used by Run only
	last string // member that was the active controller; used by Run only
}

// NewSender returns a sender. queues returns the present queue length by model or adapter; boot is new
// for each start of the gateway.
func NewSender(view confview.View, peers peer.Caller, boot string, queues func() map[string]int) *Sender {
	return &Sender{view: view, peers: peers, queues: queues, gateway: view.Self(), boot: boot, counts: map[string]*Model{}, failed: map[string]bool{}}
}

// Observe counts one request. adapter is empty for requests to the plain model.
func (s *Sender) Observe(model, adapter string, promptTokens, outputTokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range []string{model, adapter} {
		if name == "" {
			continue
		}
		m := s.counts[name]
		if m == nil {
			m = &Model{Name: name}
			s.counts[name] = m
		}
		m.Requests++
		m.Prompt += promptTokens
		m.Output += outputTokens
	}
}

// Suspect reports a target that failed a request. The controller then asks the target itself.
func (s *Sender) Suspect(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[target] = true
}

// Run sends a report every Period until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send(ctx, s.take())
		}
	}
}

// take returns the report for the time since the last one. Counts of a report that reaches no
// controller are lost, which only delays the averages.
func (s *Sender) take() *Report {
	queues := s.queues()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	r := &Report{Gateway: s.gateway, Boot: s.boot, Seq: s.seq}
	for name, n := range queues {
		if n > 0 && s.counts[name] == nil {
			s.counts[name] = &Model{Name: name}
		}
	}
	for name, m := range s.counts {
		m.Queue = queues[name]
		r.Models = append(r.Models, *m)
	}
	r.Suspects = slices.Sorted(maps.Keys(s.failed))
	clear(s.counts)
	clear(s.failed)
	return r
}

// send delivers the report to the active controller, which is found by asking the last one known first.
func (s *Sender) send(ctx context.Context, r *Report) {
	for _, id := range s.controllers() {
		var reply Reply
		callCtx, cancel := context.WithTimeout(ctx, callDeadline)
		err := s.peers.Call(callCtx, id, Method, r, &reply)
		cancel()
		if err == nil && reply.Active {
			s.last = id
			return
		}
	}
	s.last = ""
}

func (s *Sender) controllers() []string {
	var ids []string
	for _, m := range s.view.Members() {
		if m.Role == RoleController && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	if i := slices.Index(ids, s.last); i > 0 {
		ids[0], ids[i] = ids[i], ids[0]
	}
	return ids
}
