package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// writeTimeout bounds each write to a caller, so that a silent caller is noticed.
	writeTimeout = 5 * time.Second
	// stallFactor is the multiple of the longest pause that is in time after which a resumable stream goes on at
	// another target.
	stallFactor = 4
	// statusCallerGone is logged for streams whose caller left.
	statusCallerGone = 499
	readSize         = 4 << 10
)

// errBroken ends a stream that cannot go on: the caller's connection is closed without the end of the answer.
var errBroken = errors.New("relay: the stream broke off at its target")

// stream passes the events of one answer on. The server writes what each Read returned at once.
type stream struct {
	r       *request
	t       *try
	conn    net.Conn
	renewed time.Time // latest renewal of the write deadline
	first   time.Duration
	ended   bool
	broken  error
	close   sync.Once

	// Of resumable streams only.
	events *eventReader
	out    []byte
}

func newStream(r *request, t *try) *stream {
	s := &stream{r: r, t: t, conn: r.ex.HTTP.Conn()}
	if r.route.Resumable {
		s.events = &eventReader{}
	}
	return s
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (n int, err error) {
	if s.events != nil {
		n, err = s.readEvents(p)
	} else {
		n, err = s.t.answer.Read(p)
	}
	if n > 0 {
		s.progress()
	}
	switch {
	case errors.Is(err, io.EOF):
		s.ended = true
	case err != nil:
		s.broken = err
	}
	return n, err
}

// progress records the first event, and renews the deadline for writes to the caller.
func (s *stream) progress() {
	now := time.Now()
	if s.first == 0 {
		s.first = now.Sub(s.r.ex.Start)
		s.r.filter.first.Update(s.first.Seconds())
	}
	s.t.choice.First(now)
	if now.Sub(s.renewed) > writeTimeout/10 {
		s.renewed = now
		if err := s.conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			s.r.cfg.Log.Debug("write deadline not set", "request_id", s.r.ex.ID, "error", err.Error())
		}
	}
}

// readEvents returns whole events only, so that the stream can go on at another target after any of them.
func (s *stream) readEvents(p []byte) (int, error) {
	var buf [readSize]byte
	for len(s.out) == 0 {
		stall := time.AfterFunc(max(minSilence, stallFactor*s.r.route.MaxGap), s.t.giveUp)
		n, err := s.t.answer.Read(buf[:])
		stall.Stop()
		s.out = s.events.feed(s.out, buf[:n])
		if errors.Is(err, io.EOF) && len(s.out) == 0 {
			return 0, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) && len(s.out) == 0 {
			if err := s.resume(err); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, s.out)
	s.out = s.out[n:]
	return n, nil
}

// resume lets the stream go on at another target.
func (s *stream) resume(cause error) error {
	r := s.r
	s.release(false)
	for r.ctx.Err() == nil && r.state.Again() && r.cfg.Retries.Allow(r.service) {
		r.repeats("stream_broken").Inc()
		r.last = s.events.last
		choice, err := r.pick()
		if err != nil {
			return errors.Join(errBroken, err)
		}
		t := r.attempt(choice)
		r.logTry(t)
		if t.stream {
			s.t = t
			s.events.restart()
			return nil
		}
	}
	return errors.Join(errBroken, cause)
}

// release ends the present attempt.
func (s *stream) release(complete bool) {
	t := s.t
	if t == nil {
		return
	}
	s.t = nil
	t.answer.Close(complete)
	t.cancel()
	if complete {
		t.choice.Answered(false, time.Now())
	} else {
		s.r.lost(t, time.Now())
	}
}

// CloseWithError is called by the server once the body was written or err ended it.
func (s *stream) CloseWithError(err error) error {
	s.close.Do(func() { s.finish(err) })
	return nil
}

func (s *stream) finish(err error) {
	ex := s.r.ex
	complete := err == nil && s.ended
	if err != nil && s.broken == nil {
		s.abandon()
	} else {
		s.release(complete)
	}
	out := pipeline.Outcome{Status: 200, Complete: complete, Ran: true, PromptTokens: -1, OutputTokens: -1, FirstToken: s.first}
	switch {
	case complete:
	case errors.Is(context.Cause(s.r.ctx), pipeline.ErrCallerGone) || s.broken == nil:
		out.Reason, out.Run, out.Status = refusal.CallerGone, refusal.Unknown, statusCallerGone
	case errors.Is(s.r.ctx.Err(), context.DeadlineExceeded):
		out.Reason, out.Run = refusal.TargetTimeout, refusal.Unknown
	default:
		out.Reason, out.Run = refusal.StreamBroken, refusal.Unknown
	}
	if !complete {
		s.r.cfg.Log.Info("stream cut", "request_id", ex.ID, "reason", string(out.Reason), "last_event", s.r.last,
			"outcome", forward.Unknown.String())
	}
	ex.Finish(out)
}

// abandon ends the attempt because its caller left; it says nothing about the target.
func (s *stream) abandon() {
	if t := s.t; t != nil {
		s.t = nil
		t.answer.Close(false)
		t.cancel()
		t.choice.Abandoned()
	}
}

var _ interface{ CloseWithError(error) error } = (*stream)(nil)
