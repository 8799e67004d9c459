// Package hostqueue decides at one host which requests are sent now, which wait for room at the targets, and which are refused.
//
// The targets keep a short queue of their own, which they serve by priority; it covers the time in which hosts learn of load that has
// fallen. What would wait longer there waits at the host, in the order of package fairqueue: by priority, requests that can still begin
// in time before late ones, and fairly between organisations. A request is refused as soon as it is known that room comes too late.
//
// The package does no I/O, and takes the time as an argument.
package hostqueue

import (
	"errors"
	"fmt"
	"math"
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
	// arrivalTimeConstant is the time constant of the rates of tokens that arrive, by priority and organisation. A host of a large fleet
	// sees a few requests a second.
	arrivalTimeConstant = 10 * time.Second
	// minArrival is the rate in tokens a second below which an organisation is forgotten.
	minArrival = 0.01
	// hopelessMargin is the distance of a request's rank from the fraction that is sent, from which on it is refused at once: that
	// fraction changes by less while a request can wait.
	hopelessMargin = 0.2
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
	Elapsed      time.Duration // between the time when its caller first sent it, as far as known, and Arrived
	Latest       time.Time     // a later begin is of no use to the request
	Rank         float64       // place in the demand; set by Enter

	// Ahead is the number of requests that waited before it for targets that state a rate, when it was refused because of that rate.
	Ahead int
	// Choice is the target that the request is to be sent to, and Err why there is none; both are nil while it waits. Err is a
	// *RefusedError, or an error of Pick other than ErrFull; of ErrBusy and ErrPaced after a wait.
	Choice *balance.Choice
	Err    error

	key     string
	entered time.Time
	draw    float64
	due     time.Time
	entry   fairqueue.Entry
}

// Decided reports whether the request is to be sent or not.
func (r *Request) Decided() bool { return r.Choice != nil || r.Err != nil }

// ErrRefused means that the targets are not expected to have room for a request before it is too late.
var ErrRefused = errors.New("hostqueue: no target is expected to begin the request in time; send it again after the time stated")

// Reasons of a RefusedError.
const (
	ReasonFull  = "full"  // on arrival, or soon after: no room before the request is too late
	ReasonLate  = "late"  // the request has become late, and requests in time are served first
	ReasonHeld  = "held"  // the request has waited for as long as it may
	ReasonQueue = "queue" // too many wait
)

// RefusedError is an ErrRefused, with the figures that decided.
type RefusedError struct {
	Reason  string        // ReasonFull, ReasonLate, ReasonHeld or ReasonQueue
	Waiting int           // requests that wait at this host
	StartIn time.Duration // until the best target begins another request
	Rank    float64       // place of the request in the demand
	Sent    float64       // fraction of the demand that is sent
	RoomIn  time.Duration // until there is room for all of the demand
	Left    time.Duration // until Latest
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s (%s)", ErrRefused, e.Reason) }

// Is reports whether target is ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// arrivals is the demand for one model by priority and organisation, in tokens a second.
type arrivals struct {
	updated time.Time
	rates   [maxPriority + 1]map[string]float64
}

// add counts a request.
func (a *arrivals) add(priority int, organisation string, tokens float64, now time.Time) {
	decay := math.Exp(-float64(now.Sub(a.updated)) / float64(arrivalTimeConstant))
	for _, rates := range a.rates {
		for name, rate := range rates {
			if rate *= decay; rate < minArrival {
				delete(rates, name)
			} else {
				rates[name] = rate
			}
		}
	}
	a.updated = now
	if a.rates[priority] == nil {
		a.rates[priority] = map[string]float64{}
	}
	a.rates[priority][organisation] += tokens / arrivalTimeConstant.Seconds()
}

// rank returns the place of a request in the demand, from 0 to 1: more urgent requests come first, and of those of one priority the ones
// that each organisation would send if all were limited to the same rate. draw, in [0, 1), is the place of the request in the demand of its
// organisation. A late request comes after all others of its priority.
func (a *arrivals) rank(priority int, organisation string, draw float64, late bool) float64 {
	before, total := 0.0, 0.0
	level := draw * a.rates[priority][organisation]
	for p, rates := range a.rates {
		for _, rate := range rates {
			total += rate
			switch {
			case p < priority, p == priority && late:
				before += rate
			case p == priority:
				before += min(rate, level)
			}
		}
	}
	if total <= 0 {
		return 0
	}
	return before / total
}

// Queue is the queue of one host. It is safe for concurrent use.
type Queue struct {
	balancer Balancer

	mu       sync.Mutex
	levels   fairqueue.Levels     // guarded by mu
	arrivals map[string]*arrivals // guarded by mu; by key
	random   func() float64
}

// New returns an empty queue. random is uniform in [0, 1).
func New(balancer Balancer, random func() float64) *Queue {
	return &Queue{balancer: balancer, random: random, levels: fairqueue.Levels{Limit: maxWaiting}, arrivals: map[string]*arrivals{}}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.levels.Len()
}

// Enter adds a request, and returns the requests that are decided on by now; r may be one of them. A request may enter again after a
// decision.
func (q *Queue) Enter(r *Request, now time.Time) []*Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	again := r.key != ""
	r.entered = now
	r.Choice, r.Err = nil, nil
	r.key = r.Query.Service + "/" + r.Query.Call.Model
	r.due = r.Arrived.Add(time.Duration(dueFraction*float64(r.Objective)) - r.Elapsed)
	r.Query.StartWithin = min(maxTargetQueue, max(minTargetQueue, time.Duration(targetQueueFraction*float64(r.Objective))))
	if !again {
		q.countArrival(r, now)
	}
	r.entry = fairqueue.Entry{Organisation: r.Organisation, Tokens: max(1, r.Tokens), Deadline: r.due.UnixNano(), Value: r}
	var decided []*Request
	if dropped := q.levels.Push(r.level(now), &r.entry); dropped != nil {
		d := dropped.Value.(*Request)
		d.Err = &RefusedError{Reason: ReasonQueue, Waiting: q.levels.Len(), Left: d.Latest.Sub(now)}
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

// Drain returns all requests that wait, refused with the error.
func (q *Queue) Drain(err error) (refused []*Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.levels.All(func(e *fairqueue.Entry) bool {
		refused = append(refused, e.Value.(*Request))
		return true
	})
	for _, r := range refused {
		q.levels.Remove(&r.entry)
		r.Err = err
	}
	return refused
}

// Leave removes a request that no longer waits, and reports whether it was not decided on yet.
func (q *Queue) Leave(r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.levels.Remove(&r.entry)
}

func (r *Request) priority() int { return min(maxPriority, max(0, r.Query.Priority)) }

// level returns the level of the request: by priority, late ones after those in time.
func (r *Request) level(now time.Time) int {
	level := 2 * r.priority()
	if now.After(r.due) {
		level++
	}
	return level
}

// countArrival counts a request, and draws its rank. The caller holds mu.
func (q *Queue) countArrival(r *Request, now time.Time) {
	a := q.arrivals[r.key]
	if a == nil {
		a = &arrivals{updated: now}
		q.arrivals[r.key] = a
	}
	a.add(r.priority(), r.Organisation, float64(max(1, r.Tokens)), now)
	r.draw = q.random()
}

// rank returns the present place of a request in the demand. The caller holds mu.
func (q *Queue) rank(r *Request, now time.Time) float64 {
	return q.arrivals[r.key].rank(r.priority(), r.Organisation, r.draw, now.After(r.due))
}

// obstacle is why the requests of a key wait.
type obstacle struct {
	full *balance.FullError
	err  error // ErrBusy or ErrPaced; nil: the targets are full
}

// decide sends what there is room for, in the order of the queue, and refuses what cannot be begun in time. The caller holds mu.
func (q *Queue) decide(now time.Time) (decided []*Request) {
	q.demoteLate(now)
	obstacles := map[string]obstacle{}
	for {
		e := q.levels.Next(func(e *fairqueue.Entry) bool {
			r := e.Value.(*Request)
			r.Rank = q.rank(r, now)
			o, blocked := obstacles[r.key]
			return blocked && r.Rank >= o.full.Sent
		})
		if e == nil {
			break
		}
		r := e.Value.(*Request)
		r.Query.Rank = r.Rank
		choice, err := q.balancer.Pick(r.Query, now)
		if f := (*balance.FullError)(nil); errors.As(err, &f) {
			f.Sent = min(f.Sent, r.Rank) // the balancer's own view may have changed
			obstacles[r.key] = obstacle{full: f}
			continue
		}
		if errors.Is(err, balance.ErrBusy) || errors.Is(err, balance.ErrPaced) {
			obstacles[r.key] = obstacle{&balance.FullError{}, err}
			continue
		}
		q.levels.Take(e)
		r.Choice, r.Err = choice, err
		decided = append(decided, r)
	}
	if q.levels.Len() == 0 {
		return decided
	}
	return append(decided, q.refuse(obstacles, now)...)
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

// refuse takes out the requests that will not be begun in time, and those that have waited too long. The caller holds mu.
func (q *Queue) refuse(obstacles map[string]obstacle, now time.Time) (decided []*Request) {
	var waiting []*Request
	q.levels.All(func(e *fairqueue.Entry) bool {
		waiting = append(waiting, e.Value.(*Request))
		return true
	})
	ahead := map[string]int{}
	for _, r := range waiting {
		o := obstacles[r.key]
		if o.err != nil {
			if r.Ahead = ahead[r.key]; !r.mayWaitFor(o.err, now) {
				q.levels.Remove(&r.entry)
				r.Err = o.err
				decided = append(decided, r)
				continue
			}
			ahead[r.key]++
			continue
		}
		refused := q.judge(r, o.full, now)
		if refused == nil {
			continue
		}
		q.levels.Remove(&r.entry)
		r.Err = refused
		if refused.Reason == ReasonHeld && refused.StartIn <= refused.Left {
			query := r.Query
			query.StartWithin = 0
			r.Choice, r.Err = q.balancer.Pick(query, now)
		}
		decided = append(decided, r)
	}
	return decided
}

// mayWaitFor reports whether the request goes on to wait for connections, or for targets that state a rate: up to its objective, and not
// behind more requests than such targets take in that time.
func (r *Request) mayWaitFor(err error, now time.Time) bool {
	if paced := (*balance.PacedError)(nil); errors.As(err, &paced) && r.Ahead > 0 &&
		float64(r.Ahead+1) > paced.PerSecond*r.Objective.Seconds() {
		return false
	}
	return now.Sub(r.entered) < r.Objective && now.Before(r.Latest)
}

// judge returns why a request does not wait any longer, or nil. The caller holds mu.
func (q *Queue) judge(r *Request, full *balance.FullError, now time.Time) *RefusedError {
	e := &RefusedError{
		Waiting: q.levels.Len(), StartIn: full.StartIn, Rank: r.Rank, Sent: full.Sent, RoomIn: full.RoomIn, Left: r.Latest.Sub(now),
	}
	inTime := time.Duration(estimateMargin*float64(e.RoomIn)) <= e.Left
	switch {
	case now.Sub(r.Arrived) >= time.Duration(maxHeldFraction*float64(r.Latest.Sub(r.Arrived))):
		e.Reason = ReasonHeld
	case now.After(r.due) && !inTime:
		e.Reason = ReasonLate
	case !now.After(r.due) && !inTime && r.Rank > full.Sent+hopelessMargin:
		e.Reason = ReasonFull
	default:
		return nil
	}
	return e
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
	room := min(maxRetryAfter, max(minRetryAfter, e.RoomIn))
	return time.Duration((1 - retrySpread/2 + retrySpread*random) * float64(room))
}
