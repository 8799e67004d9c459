package relay

import (
	"context"
	"errors"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/hostqueue"
)

const (
	// pickWaitDivisor divides the objective: a request waits up to objective/pickWaitDivisor for a target to appear. It waits
	// up to the whole objective for a connection of those that this host may open, or for a target with a limited rate to
	// take another request: both come free all the time.
	pickWaitDivisor = 8
	// pickInterval is the time between two tries to pick a target while a request waits for one, and loadPollInterval that
	// while it waits for a model to be loaded, which takes seconds.
	pickInterval     = 15 * time.Millisecond
	loadPollInterval = 50 * time.Millisecond
	// adapterLoadTimeout bounds one try to have an adapter loaded. minAdapterRetryInterval is the time from a failed try to the
	// next, as a target that loads a model takes no other order meanwhile. It doubles with each try, up to
	// maxAdapterRetryInterval: many requests wait where targets are short, and all of them ask one controller.
	adapterLoadTimeout      = 400 * time.Millisecond
	minAdapterRetryInterval = 150 * time.Millisecond
	maxAdapterRetryInterval = 600 * time.Millisecond
	// silentTargetWait is how long a request comes back to a target that does not answer to a new connection while no other can serve it.
	silentTargetWait = 1500 * time.Millisecond
	// loadRetryAfter is the Retry-After when no target has the model and nobody places models: another controller takes over
	// within seconds.
	loadRetryAfter = 1500 * time.Millisecond
	// servingReserve is the fraction of a request's time, until its deadline or until its caller gives up, that must be left
	// when its model is loaded.
	servingReserve = 0.3
)

// wait is a request's wait for a target.
type wait struct {
	began                time.Time
	latest               time.Time     // a model or adapter that is loaded later is of no use to the request
	nextAdapter          time.Time     // when to ask for the adapter again
	adapterRetryInterval time.Duration // between the last try to have the adapter loaded and the next
	paced                bool          // the request is in the queue for targets with limits
	queued               *queued       // the request's place in the queue of the host; nil: none yet
}

// pick chooses a target. If there is none, the request waits: for a target to appear, or for its model or adapter to be
// loaded as long as that is expected in time. It is refused as soon as it is known that nothing comes in time.
func (r *request) pick() (*balance.Choice, error) {
	w := r.newWait(time.Now())
	defer r.leavePacedQueue(&w)
	q := balance.Query{
		Service: r.service, Call: r.call, Wanted: map[string]bool{}, UsualRate: r.cfg.Demand.UsualRate(r.call.Model, time.Now()),
		Regions: r.regions, Version: r.version,
	}
	for {
		q.Tried = r.tried
		choice, err := r.pickOrWait(&w, q)
		if err == nil {
			return choice, nil
		}
		if r.ctx.Err() != nil {
			return nil, r.ctx.Err()
		}
		if r.state.Repeatable && r.state.MayHaveRun() && len(r.tried) > 0 {
			r.tried = nil // retry at the same targets: the only one may have lost a single answer
			continue
		}
		if now := time.Now(); len(r.tried) > 0 && !r.state.MayHaveRun() && now.Sub(r.silentSince) < silentTargetWait && now.Before(w.latest) {
			r.tried = nil // a sound target may fall silent for a second, and may be the only one that can serve the request
			continue
		}
		pause := r.pause(&w, err)
		if pause < 0 {
			if w.queued != nil {
				r.ahead = w.queued.req.Ahead
			}
			return nil, err
		}
		select {
		case <-time.After(pause):
		case <-r.ctx.Done():
		}
	}
}

// newWait returns a wait that begins now.
func (r *request) newWait(now time.Time) wait {
	end := r.ex.AnswerBy
	if patience := r.route.Patience; patience > 0 && r.ex.Start.Add(patience).Before(end) {
		end = r.ex.Start.Add(patience)
	}
	return wait{began: now, latest: end.Add(-time.Duration(servingReserve * float64(end.Sub(now))))}
}

// endBefore has the wait end in time for the request to be served before this host stops.
func (w *wait) endBefore(stopBy time.Time) {
	if latest := stopBy.Add(-time.Duration(servingReserve * float64(stopBy.Sub(w.began)))); latest.Before(w.latest) {
		w.latest = latest
	}
}

// pause returns the time until the next try to pick a target, or a negative time if the request is to be refused because of
// err.
func (r *request) pause(w *wait, err error) time.Duration {
	const refuse = -1
	now := time.Now()
	if schedule, stops := r.cfg.Stop.Schedule(); stops {
		w.endBefore(schedule.Targets)
	}
	if w.queued != nil && (errors.Is(err, balance.ErrBusy) || errors.Is(err, balance.ErrPaced)) {
		return refuse // it has waited in the queue of the host
	}
	if paced := (*balance.PacedError)(nil); errors.As(err, &paced) && !r.joinPacedQueue(w, paced) {
		return refuse
	}
	switch {
	case errors.Is(err, balance.ErrPaused), errors.Is(err, balance.ErrEvacuated), errors.Is(err, balance.ErrRegion), errors.Is(err, balance.ErrVersion),
		errors.Is(err, hostqueue.ErrRefused), errors.Is(err, errDrained):
		return refuse
	case now.Sub(w.began) < r.route.Objective/pickWaitDivisor && !errors.Is(err, balance.ErrNoAdapter):
		return pickInterval
	case (errors.Is(err, balance.ErrBusy) || errors.Is(err, balance.ErrPaced)) && now.Sub(w.began) < r.route.Objective && now.Before(w.latest):
		return pickInterval
	case r.cfg.Placement == nil || len(r.tried) > 0 && !r.takesUp() || now.After(w.latest):
		return refuse
	case errors.Is(err, balance.ErrNoModel):
		return r.pauseForModel(w, now)
	case errors.Is(err, balance.ErrNoAdapter):
		return r.pauseForAdapter(w, now)
	default:
		return refuse
	}
}

// pauseForModel waits for a copy that is expected in time. A model that nobody loads after the reaction time of placement is
// not waited for.
func (r *request) pauseForModel(w *wait, now time.Time) time.Duration {
	at, loading := r.cfg.Placement.ExpectedModel(r.service, r.call.Model, now)
	if at.IsZero() || at.After(w.latest) || !loading && now.Sub(w.began) > r.cfg.Placement.Reaction() {
		return -1
	}
	return loadPollInterval
}

// pauseForAdapter asks for the adapter to be loaded, again and again while the targets that have the model are busy.
func (r *request) pauseForAdapter(w *wait, now time.Time) time.Duration {
	if now.Before(w.nextAdapter) {
		return loadPollInterval
	}
	ctx, cancel := context.WithTimeout(r.ctx, adapterLoadTimeout)
	defer cancel()
	err := r.cfg.Placement.Ensure(ctx, r.service, r.call.Model, r.call.Adapter)
	w.adapterRetryInterval = min(maxAdapterRetryInterval, max(minAdapterRetryInterval, 2*w.adapterRetryInterval))
	w.nextAdapter = time.Now().Add(w.adapterRetryInterval)
	if err == nil {
		return 0
	}
	r.cfg.Log.Warn("adapter not loaded", "request_id", r.ex.ID, "model", r.call.Model, "adapter", r.call.Adapter, "error", err.Error())
	if r.cfg.Placement.Reaction() == 0 {
		return -1
	}
	return loadPollInterval
}

// modelRetryAfter returns the time after which a refused caller may find the model loaded.
func (r *request) modelRetryAfter() time.Duration {
	if r.cfg.Placement != nil {
		now := time.Now()
		if at, _ := r.cfg.Placement.ExpectedModel(r.service, r.call.Model, now); !at.IsZero() {
			return max(loadPollInterval, at.Sub(now))
		}
	}
	return loadRetryAfter
}
