// Package demand reports the demand for models and adapters from gateways to the active controller.
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

// Service and Method are the names of the RPC service and method that controllers register.
const (
	Service = "Controller"
	Method  = "Controller.Demand"
)

// ReportPeriod is the time between reports. callTimeout limits the call to one controller.
const (
	ReportPeriod = time.Second
	callTimeout  = 700 * time.Millisecond
)

// RoleController is the mesh role of controllers.
const RoleController = "controller"

// Model is the demand for one model or adapter since the last report. A request for an adapter is counted for the
// adapter and for its model.
type Model struct {
	Name     string
	Requests int64
	Prompt   int64 // tokens
	Output   int64 // tokens, as estimated at admission
	Queue    int   // requests waiting at the gateway now
}

// Report is the demand at one gateway since its last report.
type Report struct {
	Gateway string // member ID of the gateway
	Boot    string // identifies the run of the gateway's process
	Seq     int64  // rises by one with each report; the controller ignores a repeated one
	Models  []Model
	// Suspects are targets that failed a request of this gateway since the last report.
	Suspects []string
}

// Reply states whether the receiver is the active controller. Other controllers count the report too, so that they know
// the demand if they become active.
type Reply struct{ Active bool }

// Sender collects the demand of a gateway and reports it. Its methods are safe for concurrent use, but only one Run may
// be active.
type Sender struct {
	view    confview.View
	peers   peer.Caller
	queues  func() map[string]int
	gateway string
	boot    string

	mu       sync.Mutex
	counts   map[string]*Model // guarded by mu
	suspects map[string]bool   // guarded by mu; by target ID

	seq        int64  // of the last report; used by Run only
	lastActive string // member ID of the active controller last known, or empty; used by Run only
}

// NewSender returns a sender. queues returns the current queue lengths by model or adapter; boot must differ between
// runs of the gateway's process.
func NewSender(view confview.View, peers peer.Caller, boot string, queues func() map[string]int) *Sender {
	return &Sender{
		view: view, peers: peers, queues: queues, gateway: view.Self(), boot: boot,
		counts: map[string]*Model{}, suspects: map[string]bool{},
	}
}

// Observe counts one request. adapter is empty for requests to the model without an adapter.
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

// Suspect adds a target that failed a request to the next report. The controller then checks the target itself.
func (s *Sender) Suspect(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[target] = true
}

// Run sends a report every ReportPeriod until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	tick := time.NewTicker(ReportPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send(ctx, s.nextReport())
		}
	}
}

// nextReport returns the report for the time since the last one and resets the counts. The counts of a report that
// reaches no controller are lost, which only delays the controllers' moving averages.
func (s *Sender) nextReport() *Report {
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
	r.Suspects = slices.Sorted(maps.Keys(s.suspects))
	clear(s.counts)
	clear(s.suspects)
	return r
}

// send sends the report to one controller after another until the active one accepts it, beginning with the active
// controller last known.
func (s *Sender) send(ctx context.Context, r *Report) {
	for _, id := range s.controllerIDs() {
		var reply Reply
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.peers.Call(callCtx, id, Method, r, &reply)
		cancel()
		if err == nil && reply.Active {
			s.lastActive = id
			return
		}
	}
	s.lastActive = ""
}

// controllerIDs returns the member IDs of the controllers that are not leaving, beginning with lastActive if it is one
// of them.
func (s *Sender) controllerIDs() []string {
	var ids []string
	for _, m := range s.view.Members() {
		if m.Role == RoleController && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	if i := slices.Index(ids, s.lastActive); i > 0 {
		ids[0], ids[i] = ids[i], ids[0]
	}
	return ids
}
