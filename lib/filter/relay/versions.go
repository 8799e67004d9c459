package relay

import (
	"slices"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/streamversion"
)

// findVersion works out the software version at which a stream that is taken up has to go on. If that is not known it returns the refusal:
// a client can begin the stream anew, and cannot tell one that is joined from two versions.
func (r *request) findVersion() error {
	if r.cfg.Streams == nil || !r.route.Resumable || r.call.LastEvent == "" {
		return nil
	}
	services := r.route.Services()
	origin, ok := r.cfg.Streams.Find(streamversion.KeyOf(r.ex.Organisation, r.call.Resumes), services)
	if ok && slices.Contains(services, origin.Service) {
		r.service, r.version = origin.Service, &origin.Version
		r.cfg.Log.Info("stream taken up", "request_id", r.ex.ID, "resumes", r.call.Resumes, "version", origin.Version)
		return nil
	}
	r.cfg.Log.Info("stream not taken up", "request_id", r.ex.ID, "resumes", r.call.Resumes, "known", ok, "version", origin.Version)
	return &refusal.Error{
		Reason: refusal.StreamVersionGone, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable,
		Message: "the software version that began the stream is gone or not known",
		Remedy:  "begin the stream anew, without Last-Event-Id",
	}
}

// takesUp reports whether the request takes a stream up at the version that began it. It has fewer targets than others, so that it also waits
// for its model if the only one of them has crashed.
func (r *request) takesUp() bool { return r.call.LastEvent != "" && r.version != nil }

// streamBegan records at which version the first event of a stream was sent that is about to be passed on. It goes on there only.
func (r *request) streamBegan(t *try) {
	if r.cfg.Streams == nil || r.version != nil {
		return
	}
	r.version = &t.choice.Target.Version
	origin := streamversion.Origin{Service: r.service, Version: *r.version}
	r.cfg.Streams.Began(streamversion.KeyOf(r.ex.Organisation, r.ex.ID), origin, len(r.route.Split) > 1)
}
