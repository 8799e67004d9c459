package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/stopping"
)

const (
	// writeTimeout bounds each write to the caller, so that a caller that stops reading is detected.
	writeTimeout = 5 * time.Second
	// stallFactor times the route's longest gap between events is the time after which a stalled resumable stream
	// continues at another target, if one takes it.
	stallFactor = 4
	// maxOverlap bounds the time in which a stalled target may still work on a stream while it is sent to another one.
	maxOverlap = 50 * time.Millisecond
	// statusCallerGone is the status logged for streams whose caller closed its connection.
	statusCallerGone = 499
	readBufferBytes  = 4 << 10
)

// errStreamBroken ends a stream that cannot continue. The server then closes the caller's connection without the final
// chunk, so that the caller does not take the answer for complete.
var errStreamBroken = errors.New("relay: the target's stream broke and was not resumed")

// errInsideEvent means that the target ended a stream properly, but inside an event: the rest of the stream is missing.
var errInsideEvent = errors.New("relay: the target's stream ended inside an event")

// errStalled ends the reading of a stalled target once another target may continue the stream.
var errStalled = errors.New("relay: the target sent no event in time")

// stream is the response body of a streamed answer. The server writes the result of each Read to the caller at once.
type stream struct {
	req         *request
	current     *try
	conn        net.Conn
	deadlineSet time.Time // when the write deadline was last extended
	firstByte   time.Duration
	sawEOF      bool
	readErr     error
	closeOnce   sync.Once

	// Set for streams that are not resumable only.
	boundary eventBoundary
	ahead    []byte // read by begin, not returned by Read yet
	aheadErr error  // follows ahead

	// Set for resumable streams of events only.
	events  *eventReader
	ready   []byte    // whole events that Read has not returned yet
	ended   bool      // the target's stream is complete
	stalls  int       // times in a row that the current target has stalled
	eventAt time.Time // when the last event arrived
	next    *try      // attempt that continues the stream in place of the stalled one
}

func newStream(r *request, t *try) *stream {
	s := &stream{req: r, current: t, conn: r.ex.HTTP.Conn()}
	if r.route.Resumable && isEventStream(t.answer) {
		s.events = &eventReader{}
	}
	return s
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (n int, err error) {
	if s.events != nil {
		n, err = s.readEvents(p)
	} else {
		n, err = s.readRaw(p)
	}
	if n > 0 {
		s.recordProgress()
	}
	switch {
	case errors.Is(err, io.EOF):
		s.sawEOF = true
		s.extendWriteDeadline(time.Now()) // for the last chunk, which the server writes by itself
	case err != nil:
		s.readErr = err
	}
	return n, err
}

// begin reads what is passed on first, so that a request whose stream never begins can still be refused. An error means that it
// did not begin.
func (s *stream) begin() error {
	if s.events != nil {
		if err := s.fillEvents(); !errors.Is(err, io.EOF) {
			return err
		}
		return nil
	}
	buf := make([]byte, readBufferBytes)
	n, err := 0, error(nil)
	for n == 0 && err == nil {
		n, err = s.readTarget(buf)
	}
	s.ahead, s.aheadErr = buf[:n], err
	if n > 0 || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// readRaw reads bytes as the target sends them.
func (s *stream) readRaw(p []byte) (int, error) {
	if len(s.ahead) > 0 {
		n := copy(p, s.ahead)
		s.ahead = s.ahead[n:]
		return n, nil
	}
	if s.aheadErr != nil {
		return 0, s.aheadErr
	}
	return s.readTarget(p)
}

func (s *stream) readTarget(p []byte) (int, error) {
	waited := s.req.cfg.Path.Wait()
	n, err := s.current.answer.Read(p)
	waited(n > 0)
	s.boundary.feed(p[:n])
	if errors.Is(err, io.EOF) && s.boundary.partial && isEventStream(s.current.answer) {
		return n, errInsideEvent
	}
	if s.boundary.events > 0 || errors.Is(err, io.EOF) {
		s.req.answerBegan(s.current)
	}
	return n, err
}

// isEventStream reports whether the body of the answer is a stream of events. One that states its length and no type is not.
func isEventStream(a *forward.Answer) bool {
	if len(a.Header.ContentEncoding()) > 0 {
		return false
	}
	contentType := a.Header.ContentType()
	return bytes.HasPrefix(contentType, []byte("text/event-stream")) || len(contentType) == 0 && a.Length < 0
}

// recordProgress records the time of the first byte and extends the deadline for writes to the caller.
func (s *stream) recordProgress() {
	now := time.Now()
	if s.firstByte == 0 {
		s.firstByte = now.Sub(s.req.ex.Start)
		s.req.filter.firstByteSeconds.Update(s.firstByte.Seconds())
	}
	s.current.choice.FirstEvent(now)
	s.extendWriteDeadline(now)
}

func (s *stream) extendWriteDeadline(now time.Time) {
	if now.Sub(s.deadlineSet) > writeTimeout/10 {
		s.deadlineSet = now
		if err := s.conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			s.req.cfg.Log.Debug("write deadline not set", "request_id", s.req.ex.ID, "error", err.Error())
		}
	}
}

// readEvents reads whole events only, so that the stream can be resumed at another target after any of them. A target that
// sends no whole event in time has stalled, also if it sends a byte now and then.
func (s *stream) readEvents(p []byte) (int, error) {
	if len(s.ready) == 0 {
		if err := s.fillEvents(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// fillEvents waits for the next events. It returns io.EOF at the end of the stream.
func (s *stream) fillEvents() error {
	if s.ended {
		return io.EOF
	}
	var buf [readBufferBytes]byte
	s.limitStall()
	defer s.endStallLimit()
	for len(s.ready) == 0 {
		waited := s.req.cfg.Path.Wait()
		n, err := s.current.answer.Read(buf[:])
		waited(n > 0)
		if errors.Is(err, errStalled) {
			n = 0 // the next target sends these events again
		}
		var invalid error
		if s.ready, invalid = s.events.feed(s.ready, buf[:n]); invalid != nil {
			err = invalid
		}
		if len(s.ready) > 0 {
			s.eventAt = time.Now()
			s.req.answerBegan(s.current)
			s.req.streamBegan(s.current)
		}
		if errors.Is(err, io.EOF) && len(s.ready) == 0 {
			if err = s.events.ended(s.current.answer.Chunked); err == nil {
				s.ended = true
				return io.EOF
			}
		}
		if err != nil && !errors.Is(err, io.EOF) && len(s.ready) == 0 {
			if err := s.resume(err); err != nil {
				return err
			}
			s.limitStall()
		}
	}
	return nil
}

// stallTimeout returns the time without a whole event after which the target has stalled.
func (s *stream) stallTimeout() time.Duration {
	return max(minSilence, stallFactor*s.req.route.MaxGap)
}

// limitStall has handOver called if the current target stalls.
func (s *stream) limitStall() {
	s.stalls = 0
	s.current.answer.LimitSilence(time.Now().Add(s.stallTimeout()), s.handOver)
}

func (s *stream) endStallLimit() {
	if s.current != nil {
		s.current.answer.LimitSilence(time.Time{}, nil)
	}
}

// silent reports whether the stream is not worth a further wait at its target. A stream that has not begun waits in the target's queue.
func (s *stream) silent(now time.Time) bool {
	if s.eventAt.Before(s.current.sentAt) {
		return s.current.choice.Silent(s.current.sentAt, s.req.silenceTimeout(s.current.choice), now)
	}
	return s.current.choice.Silent(s.eventAt, s.stallTimeout(), now)
}

// handOver is called while the target stalls. It returns errStalled if another target continues the stream or may do so. Otherwise the
// target keeps it, since it may be busy or only pause, and handOver returns when to try again.
func (s *stream) handOver() (time.Time, error) {
	s.stalls++
	r, old := s.req, s.current
	later := time.Now().Add(s.stallTimeout())
	var choice *balance.Choice
	if s.events.resumable() && s.silent(time.Now()) {
		choice = r.pickForStalled(s.stalls > 1)
	}
	if choice == nil {
		return later, r.ctx.Err()
	}
	r.retryCounter("stream_stalled").Inc()
	r.lastEventID = s.events.lastID
	var overlap *time.Timer
	r.onSend = func() { overlap = time.AfterFunc(maxOverlap, old.timeOut) }
	t := r.attempt(choice)
	r.onSend = nil
	if overlap != nil {
		overlap.Stop()
	}
	r.logAttempt(t)
	if t.stream {
		old.timeOut()
		s.next = t
	}
	if old.timedOut.Load() {
		return time.Time{}, errStalled
	}
	r.releaseReserved()
	return later, nil
}

// pickForStalled chooses a target that may continue a stream while its present one stalls, or nil if there is none or no further
// attempt is allowed. Targets that were tried before are chosen only if again is set.
func (r *request) pickForStalled(again bool) *balance.Choice {
	if r.quarantined(time.Now()) != nil || !r.state.MaySend() {
		return nil
	}
	q := balance.Query{
		Service: r.service, Call: r.call, Tried: r.tried, Wanted: map[string]bool{},
		UsualRate: r.cfg.Demand.UsualRate(r.call.Model, time.Now()), Regions: r.regions, Version: r.version,
	}
	choice, err := r.cfg.Balancer.Pick(q, time.Now())
	if err != nil && again {
		q.Tried = nil
		choice, err = r.cfg.Balancer.Pick(q, time.Now())
	}
	if err != nil {
		return nil
	}
	if !choice.HasRoom(r.route.Objective) || r.tooLateToSend(choice, time.Now()) || !r.cfg.Retries.Allow(r.service) {
		choice.Unsent()
		choice.Abandoned()
		return nil
	}
	return choice
}

// resume continues the stream at another target, after the last event passed on.
func (s *stream) resume(cause error) error {
	r := s.req
	r.cfg.Log.Info("stream broke off", "request_id", r.ex.ID, "target", s.current.choice.Target.ID, "last_event", s.events.lastID,
		"error", cause.Error(), malformedPart(cause))
	s.endAttempt(false)
	if s.next != nil {
		s.current, s.next = s.next, nil
		s.events.dropPartial()
		return nil
	}
	for s.events.resumable() && r.ctx.Err() == nil && !r.cfg.Path.Cut() && r.state.MaySend() && !r.cfg.Requests.Suspected(r.key()) && (r.reserved != nil || r.cfg.Retries.Allow(r.service)) {
		r.retryCounter("stream_broken").Inc()
		r.lastEventID = s.events.lastID
		choice, err := r.nextChoice()
		if err != nil {
			return errors.Join(errStreamBroken, err)
		}
		if err := r.checkQuarantine(); err != nil {
			choice.Unsent()
			choice.Abandoned()
			return errors.Join(errStreamBroken, err)
		}
		if r.tooLateToSend(choice, time.Now()) {
			choice.Unsent()
			choice.Abandoned()
			return errors.Join(errStreamBroken, stopping.ErrCut)
		}
		t := r.attempt(choice)
		r.logAttempt(t)
		if t.stream {
			s.current = t
			s.events.dropPartial()
			return nil
		}
	}
	return errors.Join(errStreamBroken, cause)
}

// endAttempt closes the current attempt and reports its outcome to the balancer.
func (s *stream) endAttempt(complete bool) {
	t := s.current
	if t == nil {
		return
	}
	s.current = nil
	t.answer.Close(complete)
	t.cancel()
	if complete {
		s.req.survived(t)
		t.choice.Answered(false, time.Now())
	} else {
		s.req.recordFailure(t, time.Now())
	}
}

// CloseWithError is called by the server when the body was written completely, or with the error that ended it.
func (s *stream) CloseWithError(err error) error {
	s.closeOnce.Do(func() { s.finish(err) })
	return nil
}

// finish ends the current attempt and the exchange.
func (s *stream) finish(err error) {
	ex := s.req.ex
	complete := err == nil && s.sawEOF
	if err != nil && s.readErr == nil {
		s.abandonAttempt()
	} else {
		s.endAttempt(complete)
	}
	out := pipeline.Outcome{
		Status: 200, Complete: complete, Ran: true, PromptTokens: -1, OutputTokens: -1, FirstToken: s.firstByte,
	}
	switch {
	case complete:
	case errors.Is(context.Cause(s.req.ctx), pipeline.ErrCallerGone) || s.readErr == nil:
		out.Reason, out.Run, out.Status = refusal.CallerGone, refusal.RunUnknown, statusCallerGone
	case errors.Is(context.Cause(s.req.ctx), context.DeadlineExceeded):
		out.Reason, out.Run = refusal.TargetTimeout, refusal.RunUnknown
	case errors.Is(context.Cause(s.req.ctx), stopping.ErrCut):
		out.Reason, out.Run = refusal.Stopping, refusal.RunUnknown
	default:
		out.Reason, out.Run = refusal.StreamBroken, refusal.RunUnknown
	}
	if complete {
		s.req.durations.observe(s.req.route.Name, time.Since(ex.Start))
	} else {
		s.logCut(out.Reason, err)
	}
	ex.Finish(out)
}

// logCut logs what ended an incomplete stream: its own error, or err, that of the write to the caller.
func (s *stream) logCut(reason refusal.Reason, err error) {
	r := s.req
	cause := cmp.Or(s.readErr, err)
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "stream cut", slog.String("request_id", r.ex.ID),
		slog.String("reason", string(reason)), slog.String("error", fmt.Sprint(cause)), malformedPart(cause), slog.Bool("begun", s.firstByte > 0),
		slog.Float64("left_ms", float64(time.Until(r.ex.AnswerBy))/float64(time.Millisecond)),
		slog.String("last_event", r.lastEventID), slog.String("outcome", forward.Unknown.String()))
}

// abandonAttempt closes the current attempt because the caller left; the balancer does not count it against the target.
func (s *stream) abandonAttempt() {
	if t := s.current; t != nil {
		s.current = nil
		t.answer.Close(false)
		t.cancel()
		t.choice.Abandoned()
	}
}

var _ interface{ CloseWithError(error) error } = (*stream)(nil)
