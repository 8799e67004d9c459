// Package httpengine is the client for engines that speak HTTP with server-sent events. Engines number the events of a
// stream from 1, end the stream with EndMarker, and send a comment at least every second while there is no event, because
// a stream without bytes for 2 s counts as stalled.
package httpengine

// Header fields of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"   // id of the request, which the engine repeats in the answer
	HeaderPriority     = "X-Priority"     // integer; requests with lower values run earlier
	HeaderOrganisation = "X-Organisation" // for the engine's accounting
	HeaderLoad         = "X-Engine-Load"  // JSON of engine.Load
	HeaderNotRun       = "X-Not-Run"      // "1": the request was refused before it had an effect
	HeaderDraining     = "X-Draining"     // "1": the engine is draining and did not run the request
	HeaderNotResident  = "X-Not-Resident" // "1": the model or adapter is not loaded
	HeaderLastEventID  = "Last-Event-ID"  // resume the stream after this event
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

// LoadComment is the prefix of a comment line that carries an updated load report (JSON of engine.Load) in a stream.
const LoadComment = ":load "

// RequestState is the state of a request as reported by the engine.
type RequestState struct {
	ID    string `json:"id"`
	State string `json:"state"` // one of the State constants
}

// States of a request.
const (
	StateQueued  = "queued"
	StateRunning = "running"
	StateDone    = "done"
)

// OrderRefusal is the response body for a refused order.
type OrderRefusal struct {
	Reason string `json:"reason"` // one of the OrderRefused constants
	Detail string `json:"detail"`
}

// Reasons for refusing an order.
const (
	OrderRefusedFenced = "fenced"  // old fencing number
	OrderRefusedOther  = "refused" // any other reason
)
