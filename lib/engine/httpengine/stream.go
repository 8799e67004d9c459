package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/httpconn"
)

const (
	// cancelTimeout bounds the order to stop a request that nobody reads any more.
	cancelTimeout = time.Second
	// trailerWait is the time given to the end of a finished body, so that its connection can be reused.
	trailerWait = 20 * time.Millisecond
)

// reader implements engine.EventReader.
type reader struct {
	client *Client
	addr   string
	id     string
	conn   *httpconn.Conn
	resp   *fasthttp.Response
	body   io.Reader
	parser eventParser

	renewed time.Time // latest renewal of the read deadline
	seq     int64     // last event returned
	ended   bool
	closed  bool
	broken  error
	load    engine.Load
	hasLoad bool

	ctx  context.Context // of the latest Next
	stop func() bool
}

func newReader(c *Client, addr, id string, conn *httpconn.Conn, resp *fasthttp.Response, after int64) *reader {
	r := &reader{client: c, addr: addr, id: id, conn: conn, resp: resp, body: resp.BodyStream(), seq: after}
	r.parser.src = r.body
	r.load, r.hasLoad = headerLoad(resp)
	return r
}

// watch closes the connection when ctx ends. Callers pass the same context each time.
func (r *reader) watch(ctx context.Context) {
	if r.ctx == ctx {
		return
	}
	if r.stop != nil {
		r.stop()
	}
	r.ctx = ctx
	r.stop = context.AfterFunc(ctx, func() { _ = r.conn.Conn.Close() })
}

// Next implements engine.EventReader.
func (r *reader) Next(ctx context.Context) (engine.Event, error) {
	if r.ended {
		return engine.Event{}, io.EOF
	}
	if r.broken != nil {
		return engine.Event{}, r.broken
	}
	if err := ctx.Err(); err != nil {
		return engine.Event{}, err
	}
	r.watch(ctx)
	for {
		raw, err := r.nextBlock()
		if err != nil {
			r.broken = fmt.Errorf("%w: after event %d of %s: %w", engine.ErrStreamBroken, r.seq, r.addr, err)
			return engine.Event{}, r.broken
		}
		r.readComment(raw.comment)
		// A resumed stream may repeat events; those were returned before.
		if !raw.hasData || raw.id >= 0 && raw.id <= r.seq {
			continue
		}
		if raw.id != r.seq+1 {
			r.broken = fmt.Errorf("%w: event %d follows event %d", engine.ErrStreamBroken, raw.id, r.seq)
			return engine.Event{}, r.broken
		}
		r.seq = raw.id
		r.ended = string(raw.data) == EndMarker
		return engine.Event{Seq: raw.id, Data: raw.data, Last: r.ended}, nil
	}
}

// nextBlock waits for the next event or comment for at most the silence limit. The deadline is renewed only
// after a tenth of the limit, since setting it for each event costs a twentieth of a relay's time.
func (r *reader) nextBlock() (rawEvent, error) {
	if !r.parser.buffered() {
		if now := time.Now(); now.Sub(r.renewed) > r.client.silence/10 {
			r.renewed = now
			if err := r.conn.SetReadDeadline(now.Add(r.client.silence)); err != nil {
				return rawEvent{}, err
			}
		}
	}
	return r.parser.next()
}

func (r *reader) readComment(line []byte) {
	if rest, ok := bytes.CutPrefix(line, []byte(LoadComment)); ok {
		var l engine.Load
		if json.Unmarshal(rest, &l) == nil {
			r.load, r.hasLoad = l, true
		}
	}
}

// Pending implements engine.Pending.
func (r *reader) Pending() bool { return r.parser.buffered() || r.conn.Reader().Buffered() > 0 }

// Load implements engine.EventReader.
func (r *reader) Load() (engine.Load, bool) { return r.load, r.hasLoad }

// Close implements engine.EventReader.
func (r *reader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if r.stop != nil {
		r.stop()
	}
	if r.ended {
		// The end of the body is often a packet of its own, for which nobody should wait.
		r.conn.Detach()
		go r.release()
		return nil
	}
	r.release()
	if r.broken != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return r.client.Cancel(ctx, r.addr, r.id)
}

func (r *reader) release() {
	r.conn.Release(r.ended && r.bodyEnded())
	fasthttp.ReleaseResponse(r.resp)
}

func (r *reader) bodyEnded() bool {
	if err := r.conn.SetReadDeadline(time.Now().Add(trailerWait)); err != nil {
		return false
	}
	_, err := r.parser.next()
	return err == io.EOF
}
