// Package httpengine is the adapter for engines that speak HTTP with server-sent events. Engines number their
// events from 1, close a stream with EndMarker and send a comment at least every second while a stream has
// no event, since a stream without bytes for 2 s counts as silent.
package httpengine

// Header fields of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"   // of the request; the engine repeats it in the answer
	HeaderPriority     = "X-Priority"     // integer, lower runs earlier
	HeaderOrganisation = "X-Organisation" // for the engine's own accounting
	HeaderLoad         = "X-Engine-Load"  // JSON of engine.Load
	HeaderNotRun       = "X-Not-Run"      // "1": the request was refused before it had an effect
	HeaderDraining     = "X-Draining"     // "1": the engine is leaving
	HeaderNotResident  = "X-Not-Resident" // "1": model or adapter not loaded
	HeaderLastEventID  = "Last-Event-ID"  // resume after this event
)

// Paths of the engine protocol.
const (
	PathRequests = "/v1/requests/" // + id: GET state, DELETE cancels; + id + PathEvents: GET resumes
	PathEvents   = "/events"
	PathOrders   = "/v1/orders"
	PathReport   = "/v1/report"
)

// EndMarker is the data of a stream's last event.
const EndMarker = "[DONE]"

// LoadComment starts a comment line that carries a newer load report inside a stream.
const LoadComment = ":load "

// State is the engine's account of a request.
type State struct {
	ID    string `json:"id"`
	State string `json:"state"` // one of the State constants
}

// States of a request.
const (
	StateQueued  = "queued"
	StateRunning = "running"
	StateDone    = "done"
)

// Refused is the body of a refused order.
type Refused struct {
	Reason string `json:"reason"` // one of the Refused constants
	Detail string `json:"detail"`
}

// Reasons of a refused order.
const (
	RefusedFenced = "fenced"
	RefusedOrder  = "refused"
)
