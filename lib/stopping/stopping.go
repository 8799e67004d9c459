// Package stopping holds the schedule of a host that stops. Admission, waits, attempts, answers and the exit of the process all end by
// its times, which divide the one period that the platform grants.
package stopping

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrCut is the cause of a context that ended because the host stops.
var ErrCut = errors.New("stopping: the host has stopped")

// Schedule are the times of a stop, in the order in which they pass.
type Schedule struct {
	// Admission is when the host refuses every further request. Until then it refuses those that would not end in time.
	Admission time.Time
	// Targets is the latest deadline that targets are given, so that a request that waits at one is rejected as not run.
	Targets time.Time
	// Cut is when requests without an answer are answered with a failure, and streams are cut.
	Cut time.Time
	// Exit is when the process ends.
	Exit time.Time
}

// Divisors of the period until the process is killed. What remains after Exit is for the process itself to end.
const (
	targetsReserve = 8
	cutReserve     = 16
	exitReserve    = 32
)

// NewSchedule returns the schedule of a stop that began at the given time. The platform kills the process after grace; admission ends
// after delay.
func NewSchedule(began time.Time, delay, grace time.Duration) Schedule {
	return Schedule{
		Admission: began.Add(delay), Targets: began.Add(grace - grace/targetsReserve), Cut: began.Add(grace - grace/cutReserve),
		Exit: began.Add(grace - grace/exitReserve),
	}
}

// Stop is the stop of a host, which may not have begun. It is safe for concurrent use.
type Stop struct {
	schedule atomic.Pointer[Schedule]
	cut      context.Context // ends at Schedule.Cut
	end      context.CancelFunc
}

// New returns a stop that has not begun.
func New() *Stop {
	s := &Stop{}
	s.cut, s.end = context.WithCancel(context.Background())
	return s
}

// Begin starts the stop. It must be called once.
func (s *Stop) Begin(schedule Schedule) {
	s.schedule.Store(&schedule)
	time.AfterFunc(time.Until(schedule.Cut), s.end)
}

// Schedule returns the schedule, and whether the stop has begun.
func (s *Stop) Schedule() (schedule Schedule, begun bool) {
	if p := s.schedule.Load(); p != nil {
		return *p, true
	}
	return schedule, false
}

// Bound returns a context that also ends, with the cause ErrCut, when the stop cuts open requests, also if it begins later. The
// returned function releases it.
func (s *Stop) Bound(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	unlink := context.AfterFunc(s.cut, func() { cancel(ErrCut) })
	return ctx, func() {
		unlink()
		cancel(nil)
	}
}
