package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// writeTimeout bounds each write to a caller, so that an unresponsive caller is detected. The write deadline
	// is renewed only after a tenth of it, because renewing it for each event takes a twentieth of a relay's time.
	writeTimeout = 5 * time.Second
	// maxIdleResumes bounds the consecutive resumptions without an event in between.
	maxIdleResumes = 2
)

// relay passes the events of one stream to the caller. The server reads the response body from it and writes
// the result of each Read to the caller at once. Events that have already arrived share a Read.
type relay struct {
	f                    *Filter
	ex                   *pipeline.Exchange
	ctx                  context.Context
	cancel               context.CancelCauseFunc
	target               Target
	release              func(Result)
	id                   string
	reader               engine.EventReader
	conn                 net.Conn
	firstTokenSincePick  time.Duration
	firstTokenSinceStart time.Duration // since the start of the exchange

	deadlineRenewedAt time.Time // last renewal of the write deadline
	buf               []byte
	sent              int // bytes of buf already returned
	seq               int64
	usage             []byte // data of the latest event that reports usage
	ended             bool   // the end marker is in buf or was returned
	broken            bool   // the error event is in buf or was returned
	idleResumes       int
	closeOnce         sync.Once
}

var usageMember = []byte(`"usage"`)

// appendEvent formats an event into the buffer.
func (r *relay) appendEvent(ev engine.Event) {
	r.buf = append(r.buf, "id: "...)
	r.buf = strconv.AppendInt(r.buf, ev.Seq, 10)
	for _, line := range bytes.SplitAfter(ev.Data, []byte{'\n'}) {
		r.buf = append(append(r.buf, "\ndata: "...), bytes.TrimSuffix(line, []byte{'\n'})...)
	}
	r.buf = append(r.buf, "\n\n"...)
	r.seq = ev.Seq
	r.ended = ev.Last
	if bytes.Contains(ev.Data, usageMember) {
		r.usage = append(r.usage[:0], ev.Data...)
	}
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	if r.sent == len(r.buf) {
		if r.ended || r.broken {
			return 0, io.EOF
		}
		r.buf, r.sent = r.buf[:0], 0
		if err := r.fill(len(p)); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buf[r.sent:])
	r.sent += n
	// The server writes the bytes to the caller as soon as Read returns.
	if now := time.Now(); now.Sub(r.deadlineRenewedAt) > writeTimeout/10 {
		r.deadlineRenewedAt = now
		return n, r.conn.SetWriteDeadline(now.Add(writeTimeout))
	}
	return n, nil
}

// fill puts the next events into the buffer, or the error event. It checks the key after the wait for events and not
// before: a process that was paused finds the events of the whole pause in its socket, and the periodic check of open
// exchanges may run only after they have been sent.
func (r *relay) fill(limit int) error {
	if err := r.collect(limit); err != nil || r.broken {
		return err
	}
	if invalid := r.f.recheckKey(r.ex); invalid != nil {
		r.cancel(errors.Join(errKeyInvalid, invalid))
		r.buf, r.ended = r.buf[:0], false
		r.appendError()
	}
	return nil
}

// collect waits for an event and appends it and those that have also arrived, up to about limit bytes. It resumes a
// broken stream and appends the error event if that fails.
func (r *relay) collect(limit int) error {
	buffer, _ := r.reader.(engine.EventBuffer)
	for {
		ev, err := r.reader.Next(r.ctx)
		switch {
		case err == nil:
			r.idleResumes = 0
			r.appendEvent(ev)
			if r.ended || len(r.buf) >= limit || buffer == nil || !buffer.HasBufferedEvent() {
				return nil
			}
		case len(r.buf) > 0:
			// Events that have arrived are sent first; the reader returns its error again.
			return nil
		case errors.Is(context.Cause(r.ctx), pipeline.ErrCallerGone):
			return pipeline.ErrCallerGone
		case r.ctx.Err() != nil || !r.resume():
			r.appendError()
			return nil
		default:
			buffer, _ = r.reader.(engine.EventBuffer)
		}
	}
}

// resume reopens the stream after the last event received and reports whether that succeeded.
func (r *relay) resume() bool {
	for !r.f.cfg.NoResume && r.idleResumes < maxIdleResumes && r.ctx.Err() == nil {
		r.idleResumes++
		r.f.count(`cuminhook_stream_resumes_total{reason=%q}`, "broken")
		old := r.reader
		reader, err := r.f.cfg.Engine.Resume(r.ctx, r.target.Addr, r.id, r.seq)
		if err == nil {
			r.reader = reader
			_ = old.Close()
			return true
		}
	}
	return false
}

// appendError appends the error event that marks the stream as incomplete.
func (r *relay) appendError() {
	r.broken = true
	r.buf = append(r.buf, "event: error\ndata: "...)
	r.buf = append(r.buf, pipeline.EncodeRefusal(streamBroken(r.ctx), r.ex.ID)...)
	r.buf = append(r.buf, "\n\n"...)
}

// CloseWithError finishes the exchange. The server calls it after it has written the body, or with the error that
// prevented this.
func (r *relay) CloseWithError(err error) error {
	r.closeOnce.Do(func() { r.finish(err == nil && r.ended && r.sent == len(r.buf)) })
	return nil
}

func (r *relay) finish(complete bool) {
	out := pipeline.Outcome{
		Status: 200, Complete: complete, Ran: true, PromptTokens: -1, OutputTokens: -1, FirstToken: r.firstTokenSinceStart,
	}
	result := Result{Outcome: Answered, FirstToken: r.firstTokenSincePick, OutputTokens: -1}
	result.Load, result.HasLoad = r.reader.Load()
	if r.ended {
		out.PromptTokens, out.OutputTokens = parseUsage(r.usage)
		result.OutputTokens = out.OutputTokens
	} else {
		result.Outcome = Cancelled
		if r.broken && r.ctx.Err() == nil {
			result.Outcome = Failed
		}
		r.f.cancelRequest(r.target.Addr, r.id)
	}
	switch {
	case r.broken:
		out.Reason, out.Run = refusal.StreamBroken, refusal.RunUnknown
	case !complete:
		out.Reason, out.Run, out.Status = refusal.CallerGone, refusal.RunUnknown, statusCallerGone
	}
	r.release(result)
	if r.ended {
		_ = r.reader.Close() // before Finish, which ends the context and thereby the connection
	} else {
		go func() { _ = r.reader.Close() }() // in the background, because Close waits until the engine has cancelled the request
	}
	r.ex.Finish(out)
}
