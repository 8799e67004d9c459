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
	// writeTimeout bounds each write to a caller, so that a silent caller is noticed. The deadline is renewed
	// only after a tenth of it, since setting it for each event costs a twentieth of a relay's time.
	writeTimeout = 5 * time.Second
	// maxIdleResumes bounds resumptions in a row that brought no event.
	maxIdleResumes = 2
)

// relay passes the events of one stream to the caller. The server reads the body from it and writes what
// each Read returned at once; events that have already arrived share a Read.
type relay struct {
	d          *Dispatch
	ex         *pipeline.Exchange
	ctx        context.Context
	cancel     context.CancelCauseFunc
	target     Target
	release    func(Result)
	id         string
	reader     engine.EventReader
	conn       net.Conn
	firstToken time.Duration // since the pick
	sinceStart time.Duration

	renewed     time.Time // latest renewal of the write deadline
	buf         []byte
	sent        int // bytes of buf already returned
	seq         int64
	usage       []byte // data of the latest event that reports usage
	ended       bool   // the end marker is in buf or was returned
	broken      bool   // the error event is in buf or was returned
	idleResumes int
	close       sync.Once
}

var usageMember = []byte(`"usage"`)

// add formats an event into the buffer.
func (r *relay) add(ev engine.Event) {
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
	// The server writes what it was given right after this returns.
	if now := time.Now(); now.Sub(r.renewed) > writeTimeout/10 {
		r.renewed = now
		return n, r.conn.SetWriteDeadline(now.Add(writeTimeout))
	}
	return n, nil
}

// fill adds what goes out next. The key is checked after the wait and not before: a process that was paused finds
// events of the whole pause in its socket, and its periodic check of open streams may run after they went out.
func (r *relay) fill(limit int) error {
	if err := r.collect(limit); err != nil || r.broken {
		return err
	}
	if invalid := r.d.recheck(r.ex); invalid != nil {
		r.cancel(errors.Join(errKeyInvalid, invalid))
		r.buf, r.ended = r.buf[:0], false
		r.fail()
	}
	return nil
}

// collect waits for an event and adds those that have arrived with it, up to about limit bytes.
func (r *relay) collect(limit int) error {
	pending, _ := r.reader.(engine.Pending)
	for {
		ev, err := r.reader.Next(r.ctx)
		switch {
		case err == nil:
			r.idleResumes = 0
			r.add(ev)
			if r.ended || len(r.buf) >= limit || pending == nil || !pending.Pending() {
				return nil
			}
		case len(r.buf) > 0:
			// What has arrived goes out first; the reader repeats its error.
			return nil
		case errors.Is(context.Cause(r.ctx), pipeline.ErrCallerGone):
			return pipeline.ErrCallerGone
		case r.ctx.Err() != nil || !r.resume():
			r.fail()
			return nil
		default:
			pending, _ = r.reader.(engine.Pending)
		}
	}
}

// resume opens the stream again after the last event.
func (r *relay) resume() bool {
	for !r.d.cfg.NoResume && r.idleResumes < maxIdleResumes && r.ctx.Err() == nil {
		r.idleResumes++
		r.d.count(`cuminhook_stream_resumes_total{reason=%q}`, "broken")
		old := r.reader
		reader, err := r.d.cfg.Engine.Resume(r.ctx, r.target.Addr, r.id, r.seq)
		if err == nil {
			r.reader = reader
			_ = old.Close()
			return true
		}
	}
	return false
}

// fail adds the error event that tells the caller that the stream is not complete.
func (r *relay) fail() {
	r.broken = true
	r.buf = append(r.buf, "event: error\ndata: "...)
	r.buf = append(r.buf, pipeline.EncodeRefusal(streamBroken(r.ctx), r.ex.ID)...)
	r.buf = append(r.buf, "\n\n"...)
}

// CloseWithError is called by the server once the body was written or err ended it.
func (r *relay) CloseWithError(err error) error {
	r.close.Do(func() { r.finish(err == nil && r.ended && r.sent == len(r.buf)) })
	return nil
}

func (r *relay) finish(complete bool) {
	out := pipeline.Outcome{
		Status: 200, Complete: complete, Ran: true, PromptTokens: -1, OutputTokens: -1, FirstToken: r.sinceStart,
	}
	result := Result{Verdict: Answered, FirstToken: r.firstToken, OutputTokens: -1}
	result.Load, result.HasLoad = r.reader.Load()
	if r.ended {
		out.PromptTokens, out.OutputTokens = usageOf(r.usage)
		result.OutputTokens = out.OutputTokens
	} else {
		result.Verdict = Cancelled
		if r.broken && r.ctx.Err() == nil {
			result.Verdict = Failed
		}
		r.d.cancelAt(r.target.Addr, r.id)
	}
	switch {
	case r.broken:
		out.Reason, out.Run = refusal.StreamBroken, refusal.Unknown
	case !complete:
		out.Reason, out.Run, out.Status = refusal.CallerGone, refusal.Unknown, statusCallerGone
	}
	r.release(result)
	if r.ended {
		_ = r.reader.Close() // before Finish, which ends the context and with it the connection
	} else {
		go func() { _ = r.reader.Close() }() // waits for the engine to cancel the work
	}
	r.ex.Finish(out)
}
