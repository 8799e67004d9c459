package relay

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// durationQuantile is the quantile of a route's durations that a stopping host expects of a request.
	durationQuantile = 0.95
	// durationStep is the relative change of the estimate with an observation.
	durationStep = 0.2
	// maxDurations bounds the routes with an estimate; routes come and go with configurations.
	maxDurations = 4096
)

// durations estimates for each route how long requests last until their answers are complete.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration // guarded by mu
}

// observe records the duration of a completed request.
func (d *durations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.byRoute[route]
	switch {
	case d.byRoute == nil, !known && len(d.byRoute) >= maxDurations:
		d.byRoute = map[string]time.Duration{route: took}
	case !known:
		d.byRoute[route] = took
	case took > old:
		d.byRoute[route] = min(took, old+time.Duration(durationStep*durationQuantile*float64(old)))
	default:
		d.byRoute[route] = max(took, old-time.Duration(durationStep*(1-durationQuantile)*float64(old)))
	}
}

// expected returns the estimate, and whether there is one.
func (d *durations) expected(route string) (took time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	took, known = d.byRoute[route]
	return took, known
}

// tooLateToSend reports whether this host stops before a target is expected to complete the request, or to continue its stream. A
// route without an estimate is expected to meet its objective.
func (r *request) tooLateToSend(choice *balance.Choice, now time.Time) bool {
	schedule, stops := r.cfg.Stop.Schedule()
	if !stops {
		return false
	}
	took := choice.ExpectedFirstEvent
	if !r.streaming {
		whole, known := r.durations.expected(r.route.Name)
		if !known {
			whole = r.route.Objective
		}
		took = max(took, whole)
	}
	return now.Add(took).After(schedule.Targets) || r.ex.Start.After(schedule.Admission)
}

// refuseStopping refuses a request that this host can't complete before it stops. Another host can take it at once.
func (r *request) refuseStopping(choice *balance.Choice) error {
	choice.Unsent()
	choice.Abandoned()
	return r.refuseStop()
}

// refuseStop refuses a request because of the stop of this host.
func (r *request) refuseStop() error {
	r.cfg.Log.Info("refused before the stop", "request_id", r.ex.ID, "route", r.route.Name, "tried", len(r.tried))
	if r.state.MayHaveRun() {
		return r.end(refusal.TargetFailed, 0)
	}
	return &refusal.Error{
		Reason: refusal.Stopping, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable,
		Message: "the host stops before the request could be served", Remedy: "send it again on a new connection",
	}
}

// targetDeadline returns when a target has to be done with the request.
func (r *request) targetDeadline() time.Time {
	if schedule, stops := r.cfg.Stop.Schedule(); stops && schedule.Targets.Before(r.ex.AnswerBy) {
		return schedule.Targets
	}
	return r.ex.AnswerBy
}
