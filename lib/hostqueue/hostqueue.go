// Package hostqueue decides at one host which requests are sent now, which wait for room at the targets, and which are refused.
//
// The targets keep a short queue of their own, which they serve by priority; it covers the time in which hosts learn of load that has
// fallen. What would wait longer there waits at the host, in the order of package fairqueue: by priority, requests that can still begin
// in time before late ones, and fairly between organisations. A request is refused as soon as it is known that room comes too late.
//
// The package does no I/O, and takes the time as an argument.
package hostqueue

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/fairqueue"
)

const (
	// maxWaiting bounds the requests that wait at a host.
	maxWaiting = 1024
	// maxPriority is the least urgent priority that is told apart.
	maxPriority = 9
	// targetQueueFraction is the fraction of a request's objective that it may be expected to wait in the queue of a target.
	targetQueueFraction = 0.5
	// minTargetQueue and maxTargetQueue bound that wait. News of a target is 0.2 to 1 s old, and a target whose queue is shorter than
	// that idles; one that waits longer could have been sent later.
	minTargetQueue = 250 * time.Millisecond
	maxTargetQueue = time.Second
	// dueFraction is the fraction of a request's objective after which it counts as late if it has not been sent.
	dueFraction = 0.5
	// estimateMargin times an expected wait has to fit into the time that a late request has left.
	estimateMargin = 1.25
	// maxHeldFraction is the fraction of a request's time that it waits at the host at most. Then it is sent if a target can begin it
	// in the rest, as a refusal after so long a wait leaves its caller too little time.
	maxHeldFraction = 0.5
	// arrivalTimeConstant is the time constant of the rates of requests that arrive.
	arrivalTimeConstant = 2 * time.Second
)

// Balancer picks targets; see balance.Balancer.
type Balancer interface {
	Pick(q balance.Query, now time.Time) (*balance.Choice, error)
}

// Request is one request that is to be sent. The caller sets the fields up to Latest.
type Request struct {
	Query        balance.Query // without StartWithin
	Organisation string
	Tokens       int64
	Objective    time.Duration
	Arrived      time.Time
	Latest       time.Time // a later begin is of no use to the request

	// Choice is the target that the request is to be sent to, and Err why there is none; both are nil while it waits. Err is a
	// *RefusedError, or an error of Pick other than ErrFull.
	Choice *balance.Choice
	Err    error

	key   string
	due   time.Time
	entry fairqueue.Entry
}

// Decided reports whether the request is to be sent or not.
func (r *Request) Decided() bool { return r.Choice != nil || r.Err != nil }

// Late reports whether the request is sent too late to begin in time.
func (r *Request) Late(now time.Time) bool { return now.After(r.due) }

// ErrRefused means that the targets are not expected to have room for a request before it is too late.
var ErrRefused = errors.New("hostqueue: no target is expected to begin the request in time; send it again after the time stated")

// RefusedError is an ErrRefused, with the figures that decided.
type RefusedError struct {
	Reason     string        // what was exceeded: "full", "late", "held" or "queue"
	Ahead      int           // requests of this host that are served before it
	StartIn    time.Duration // until the best target begins another request
	PerSecond  float64       // requests a second that the targets begin for this host
	ExpectedIn time.Duration // until the request would have been begun
	Left       time.Duration // until Latest
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s (%s)", ErrRefused, e.Reason) }

// Is reports whether target is ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// arrivals is a moving average of the requests a second that arrive for one model.
type arrivals struct {
	rate    float64
	updated time.Time
}

func (a *arrivals) at(now time.Time) float64 {
	return a.rate * math.Exp(-float64(now.Sub(a.updated))/float64(arrivalTimeConstant))
}

// Queue is the queue of one host. It is safe for concurrent use.
type Queue struct {
	balancer Balancer

	mu       sync.Mutex
	levels   fairqueue.Levels     // guarded by mu
	arrivals map[string]*arrivals // guarded by mu; by key
}

// New returns an empty queue.
func New(balancer Balancer) *Queue {
	return &Queue{balancer: balancer, levels: fairqueue.Levels{Limit: maxWaiting}, arrivals: map[string]*arrivals{}}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.levels.Len()
}

// Enter adds a request, and returns the requests that are decided on by now; r may be one of them.
func (q *Queue) Enter(r *Request, now time.Time) []*Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.Choice, r.Err = nil, nil
	r.key = r.Query.Service + "/" + r.Query.Call.Model
	r.due = r.Arrived.Add(time.Duration(dueFraction * float64(r.Objective)))
	r.Query.StartWithin = min(maxTargetQueue, max(minTargetQueue, time.Duration(targetQueueFraction*float64(r.Objective))))
	q.countArrival(r, now)
	r.entry = fairqueue.Entry{Organisation: r.Organisation, Tokens: max(1, r.Tokens), Deadline: r.due.UnixNano(), Value: r}
	var decided []*Request
	if dropped := q.levels.Push(r.level(now), &r.entry); dropped != nil {
		d := dropped.Value.(*Request)
		d.Err = &RefusedError{Reason: "queue", Ahead: q.levels.Len(), Left: d.Latest.Sub(now)}
		decided = append(decided, d)
	}
	return append(decided, q.decide(now)...)
}

// Advance returns the requests that are decided on by now, as room has appeared or time has passed.
func (q *Queue) Advance(now time.Time) []*Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.levels.Len() == 0 {
		return nil
	}
	return q.decide(now)
}

// Leave removes a request that no longer waits, and reports whether it was not decided on yet.
func (q *Queue) Leave(r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.levels.Remove(&r.entry)
}

// level returns the level of the request: by priority, late ones after those in time.
func (r *Request) level(now time.Time) int {
	level := 2 * min(maxPriority, max(0, r.Query.Priority))
	if now.After(r.due) {
		level++
	}
	return level
}

// countArrival counts a request of a key. The caller holds mu.
func (q *Queue) countArrival(r *Request, now time.Time) {
	a := q.arrivals[r.key]
	if a == nil {
		a = &arrivals{}
		q.arrivals[r.key] = a
	}
	a.rate, a.updated = a.at(now)+1/arrivalTimeConstant.Seconds(), now
}

// decide sends what there is room for, in the order of the queue, and refuses what cannot be begun in time. The caller holds mu.
func (q *Queue) decide(now time.Time) (decided []*Request) {
	q.demoteLate(now)
	full := map[string]*balance.FullError{}
	for {
		e := q.levels.Next(func(e *fairqueue.Entry) bool { return full[e.Value.(*Request).key] != nil })
		if e == nil {
			break
		}
		r := e.Value.(*Request)
		choice, err := q.balancer.Pick(r.Query, now)
		if f := (*balance.FullError)(nil); errors.As(err, &f) {
			full[r.key] = f
			continue
		}
		q.levels.Take(e)
		r.Choice, r.Err = choice, err
		decided = append(decided, r)
	}
	if q.levels.Len() == 0 {
		return decided
	}
	return append(decided, q.refuse(full, now)...)
}

// demoteLate moves the requests that have become late to the level of late ones. The caller holds mu.
func (q *Queue) demoteLate(now time.Time) {
	var late []*Request
	q.levels.All(func(e *fairqueue.Entry) bool {
		if r := e.Value.(*Request); e.Level() != r.level(now) {
			late = append(late, r)
		}
		return true
	})
	for _, r := range late {
		q.levels.Remove(&r.entry)
		q.levels.Push(r.level(now), &r.entry)
	}
}

// refuse takes out the requests that will not be begun in time, and those that have waited too long. full holds by key why the
// requests wait. The caller holds mu.
func (q *Queue) refuse(full map[string]*balance.FullError, now time.Time) (decided []*Request) {
	var waiting []*Request
	q.levels.All(func(e *fairqueue.Entry) bool {
		waiting = append(waiting, e.Value.(*Request))
		return true
	})
	slices.SortStableFunc(waiting, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.entry.Level(), b.entry.Level()), a.due.Compare(b.due))
	})
	ahead := map[string]int{}
	for _, r := range waiting {
		refused := q.judge(r, full[r.key], ahead[r.key], now)
		if refused == nil {
			ahead[r.key]++
			continue
		}
		q.levels.Remove(&r.entry)
		r.Err = refused
		if refused.Reason == reasonHeld && refused.StartIn <= refused.Left {
			query := r.Query
			query.StartWithin = 0
			r.Choice, r.Err = q.balancer.Pick(query, now)
		}
		decided = append(decided, r)
	}
	return decided
}

const (
	reasonFull = "full" // no room before the request is too late
	reasonLate = "late" // the request has become late, and others are served first
	reasonHeld = "held" // the request has waited for as long as it may
)

// judge returns why a request does not wait any longer, or nil. ahead is the number of requests before it. The caller holds mu.
func (q *Queue) judge(r *Request, full *balance.FullError, ahead int, now time.Time) *RefusedError {
	arriving := 0.0
	if a := q.arrivals[r.key]; a != nil {
		arriving = a.at(now)
	}
	e := &RefusedError{Ahead: ahead, StartIn: full.StartIn, PerSecond: full.PerSecond, Left: r.Latest.Sub(now)}
	untilRoom := max(0, full.StartIn-r.Query.StartWithin)
	inTime := untilRoom + seconds(float64(ahead)/full.PerSecond)
	e.ExpectedIn = inTime
	if now.Sub(r.Arrived) >= time.Duration(maxHeldFraction*float64(r.Latest.Sub(r.Arrived))) {
		e.Reason = reasonHeld
		return e
	}
	if !now.Add(inTime).After(r.due) {
		return nil
	}
	// Others that arrive until then are served before a late request.
	e.ExpectedIn = untilRoom + seconds(float64(ahead+1)/max(0, full.PerSecond-arriving))
	if time.Duration(estimateMargin*float64(e.ExpectedIn)) <= e.Left {
		return nil
	}
	e.Reason = reasonFull
	if now.After(r.due) {
		e.Reason = reasonLate
	}
	return e
}

// seconds converts seconds to a duration of an hour at most.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to come back. A new state of the other hosts has arrived
	// by then.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds it where no room is expected while requests go on to arrive as now.
	maxRetryAfter = 2 * time.Second
	// retrySpread is the fraction by which callers are spread around the time when room is expected.
	retrySpread = 0.5
)

// RetryAfter returns the time after which a refused caller is asked to come back. random, in [0, 1), spreads the callers.
func (e *RefusedError) RetryAfter(random float64) time.Duration {
	room := min(maxRetryAfter, max(minRetryAfter, e.ExpectedIn))
	return time.Duration((1 - retrySpread/2 + retrySpread*random) * float64(room))
}
