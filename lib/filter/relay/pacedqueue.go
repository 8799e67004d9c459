package relay

import (
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
)

// pacedQueues counts the requests of this host that wait for targets that limit their requests, by service and model. It
// answers demand that stays above these limits: a request that the targets will not take in time is refused at once.
type pacedQueues struct {
	mu      sync.Mutex
	waiting map[string]int // guarded by mu
}

// join adds a request to a queue that moves at a rate, in requests a second, unless it would wait longer than patience. The
// first one in a queue may always wait.
func (q *pacedQueues) join(name string, perSecond float64, patience time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := q.waiting[name]; n > 0 && float64(n+1) > perSecond*patience.Seconds() {
		return false
	}
	if q.waiting == nil {
		q.waiting = map[string]int{}
	}
	q.waiting[name]++
	return true
}

func (q *pacedQueues) leave(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[name]--; q.waiting[name] <= 0 {
		delete(q.waiting, name)
	}
}

// drainTime returns the time in which the waiting requests, and one more, are taken at the rate.
func (q *pacedQueues) drainTime(name string, perSecond float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return drainTime(q.waiting[name], perSecond)
}

// drainTime returns the time in which waiting requests, and one more, are taken at a rate.
func drainTime(waiting int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(waiting+1) / perSecond * float64(time.Second))
}

// pacedQueue returns the name of the request's queue.
func (r *request) pacedQueue() string { return r.service + "/" + r.call.Model }

// joinPacedQueue reports whether the request may wait for targets with limits: whether it is in their queue already, or the
// queue is short enough for its objective.
func (r *request) joinPacedQueue(w *wait, paced *balance.PacedError) bool {
	if !w.paced {
		w.paced = r.paced.join(r.pacedQueue(), paced.PerSecond, r.route.Objective)
	}
	return w.paced
}

func (r *request) leavePacedQueue(w *wait) {
	if w.paced {
		r.paced.leave(r.pacedQueue())
	}
}
