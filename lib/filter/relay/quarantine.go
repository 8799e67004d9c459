package relay

import (
	"cmp"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// trialWait bounds the time for which a request waits while another run of it shows whether it crashes targets: a run, reports of
	// its end, and a target that is down for a moment. It looks each trialInterval.
	trialWait     = 2 * time.Second
	trialInterval = 15 * time.Millisecond
)

// checkCrash has the target checked that broke off the attempt.
func (r *request) checkCrash(t *try, now time.Time) {
	target, segments := t.choice.Target, r.call.SharedSegments()
	run := lostRun{lost: quarantine.Lost{
		Key: r.key(), Segments: segments, Service: r.service, Target: target.ID, Started: target.Started, Addr: target.Addr, SentAt: t.sentAt,
	}}
	if !t.began && len(segments) > 0 {
		run.waiting = &quarantine.Waiting{
			Segments: segments, Target: target.ID, Started: target.Started, Addr: target.Addr, SentAt: t.sentAt, Answering: t.answer != nil,
		}
	}
	r.crashes.check(run, now)
}

// survived records that the target has run the request to the end.
func (r *request) survived(t *try) {
	now := time.Now()
	r.cfg.Requests.Survived(r.key(), r.call.SharedSegments(), r.service, now.Sub(t.sentAt), now)
}

// checkQuarantine returns the refusal of a request that has crashed targets, or whose prompt has a segment that does, or nil.
func (r *request) checkQuarantine() error {
	now := time.Now()
	q := r.quarantined(now)
	if q == nil {
		return nil
	}
	segment, _ := r.cfg.Quarantine.Blocked(r.call.SharedSegments(), now)
	r.cfg.Log.Info("request in quarantine", "request_id", r.ex.ID, "reason", string(q.Reason), "segment", segment,
		"request_key", r.key().String(), "left_s", int64(q.RetryAfter.Seconds()))
	if r.state.MayHaveRun() {
		return r.fail(refusal.TargetFailed, 0)
	}
	return q
}

// quarantined returns the refusal of a request that is in quarantine and has not run, or nil.
func (r *request) quarantined(now time.Time) *refusal.Error {
	if segment, left := r.cfg.Quarantine.Blocked(r.call.SharedSegments(), now); segment != "" {
		return &refusal.Error{
			Reason: refusal.PromptQuarantined, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: left,
			Message: "a segment of the prompt has crashed each target that began to answer on it",
			Remedy:  "change the prompt, or send it again after the time stated",
		}
	}
	if !r.cfg.Requests.Convicted() {
		return nil
	}
	left := r.cfg.Requests.Blocked(r.key(), now)
	if left == 0 {
		return nil
	}
	return &refusal.Error{
		Reason: refusal.RequestQuarantined, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable, RetryAfter: left,
		Message: "each target that ran a request with this method, path and body of this caller has crashed",
		Remedy:  "change the request, or send it again after the time stated",
	}
}

// key returns the key under which the request is known when it comes again.
func (r *request) key() quarantine.RequestKey {
	if r.requestKey == (quarantine.RequestKey{}) {
		h := &r.ex.HTTP.Request.Header
		r.requestKey = quarantine.KeyOfRequest(cmp.Or(r.ex.Organisation, r.call.Key), h.Method(), h.RequestURI(), r.ex.HTTP.Request.Body())
	}
	return r.requestKey
}

// suspected reports whether the target broke the attempt off, and the request is about to be refused for the targets that it crashes.
func (r *request) suspected(t *try) bool {
	return t.outcome == forward.Unknown && !t.timedOut.Load() && r.cfg.Requests.Suspected(r.key())
}

// isItsTurn reports whether the request may be sent now. One that was lost in crashes has to wait while another run of it, at whatever
// host, shows whether it is what crashes targets.
func (r *request) isItsTurn() bool {
	if r.trialOver || !r.cfg.Requests.Guarded() {
		return true
	}
	for {
		switch r.cfg.Requests.Turn(r.key(), true, time.Now()) {
		case quarantine.Free:
			return true
		case quarantine.Own:
			r.trialOver = true
			r.ex.OnFinish(func(pipeline.Outcome) { r.cfg.Requests.EndRun(r.key()) })
			return true
		case quarantine.Wait:
			if !r.claimed {
				return false
			}
		case quarantine.Claimed:
			r.claimed = true
			if r.cfg.OnClaim != nil {
				r.cfg.OnClaim(r.key())
			}
		}
		if !r.cfg.Requests.Claims(r.key()) || r.ctx.Err() != nil {
			r.claimed = false
			return false
		}
		time.Sleep(trialInterval)
	}
}

// awaitTurn waits until another run of the request has ended, or trialWait is over.
func (r *request) awaitTurn() {
	if r.trialEnd.IsZero() {
		r.trialEnd = time.Now().Add(min(trialWait, time.Until(r.ex.AnswerBy)/retryAfterDivisor))
	}
	for r.ctx.Err() == nil && r.quarantined(time.Now()) == nil && r.cfg.Requests.Turn(r.key(), false, time.Now()) == quarantine.Wait {
		if time.Now().After(r.trialEnd) {
			r.trialOver = true
			return
		}
		select {
		case <-time.After(trialInterval):
		case <-r.ctx.Done():
		}
	}
}
