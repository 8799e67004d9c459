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
	// cancelTimeout bounds the call that cancels a request whose stream was closed early.
	cancelTimeout = time.Second
	// bodyEndTimeout bounds the wait for the end of the body after the last event. The connection can be reused only if
	// the end arrives.
	bodyEndTimeout = 20 * time.Millisecond
)

// streamReader implements engine.EventReader.
type streamReader struct {
	client *Client
	addr   string
	id     string
	conn   *httpconn.Conn
	resp   *fasthttp.Response
	body   io.Reader
	parser eventParser

	deadlineSetAt time.Time // when the read deadline was last set
	seq           int64     // number of the last event returned
	ended         bool
	closed        bool
	brokenErr     error
	load          engine.Load
	hasLoad       bool

	ctx           context.Context // context of the latest call of Next
	stopAfterFunc func() bool
}

func newStreamReader(c *Client, addr, id string, conn *httpconn.Conn, resp *fasthttp.Response, lastSeq int64) *streamReader {
	r := &streamReader{client: c, addr: addr, id: id, conn: conn, resp: resp, body: resp.BodyStream(), seq: lastSeq}
	r.parser.source = r.body
	r.load, r.hasLoad = loadFromHeader(resp)
	return r
}

// closeConnWhenDone closes the connection when ctx ends. It registers a context only once, because callers of
// Next pass the same one each time.
func (r *streamReader) closeConnWhenDone(ctx context.Context) {
	if r.ctx == ctx {
		return
	}
	if r.stopAfterFunc != nil {
		r.stopAfterFunc()
	}
	r.ctx = ctx
	r.stopAfterFunc = context.AfterFunc(ctx, func() { _ = r.conn.Conn.Close() })
}

// Next implements engine.EventReader.
func (r *streamReader) Next(ctx context.Context) (engine.Event, error) {
	if r.ended {
		return engine.Event{}, io.EOF
	}
	if r.brokenErr != nil {
		return engine.Event{}, r.brokenErr
	}
	if err := ctx.Err(); err != nil {
		return engine.Event{}, err
	}
	r.closeConnWhenDone(ctx)
	for {
		raw, err := r.nextBlock()
		if err != nil {
			r.brokenErr = fmt.Errorf("%w: after event %d of %s: %w", engine.ErrStreamBroken, r.seq, r.addr, err)
			return engine.Event{}, r.brokenErr
		}
		r.updateLoad(raw.comment)
		// A resumed stream may repeat events that were returned before.
		if !raw.hasData || raw.id >= 0 && raw.id <= r.seq {
			continue
		}
		if raw.id != r.seq+1 {
			r.brokenErr = fmt.Errorf("%w: %s sent event %d after event %d", engine.ErrStreamBroken, r.addr, raw.id, r.seq)
			return engine.Event{}, r.brokenErr
		}
		r.seq = raw.id
		r.ended = string(raw.data) == EndMarker
		return engine.Event{Seq: raw.id, Data: raw.data, Last: r.ended}, nil
	}
}

// nextBlock waits at most the response timeout for the next event or comment. It sets the read deadline again only after
// a tenth of the timeout, because setting it for each event takes a twentieth of a relay's time.
func (r *streamReader) nextBlock() (rawEvent, error) {
	if !r.parser.buffered() {
		if now := time.Now(); now.Sub(r.deadlineSetAt) > r.client.responseTimeout/10 {
			r.deadlineSetAt = now
			if err := r.conn.SetReadDeadline(now.Add(r.client.responseTimeout)); err != nil {
				return rawEvent{}, err
			}
		}
	}
	return r.parser.next()
}

// updateLoad stores the load report in a comment line, if the line carries one.
func (r *streamReader) updateLoad(line []byte) {
	if rest, ok := bytes.CutPrefix(line, []byte(LoadComment)); ok {
		var l engine.Load
		if json.Unmarshal(rest, &l) == nil {
			r.load, r.hasLoad = l, true
		}
	}
}

// HasBufferedEvent implements engine.EventBuffer.
func (r *streamReader) Pending() bool { return r.parser.buffered() || r.conn.Reader().Buffered() > 0 }

// Load implements engine.EventReader.
func (r *streamReader) Load() (engine.Load, bool) { return r.load, r.hasLoad }

// Close implements engine.EventReader.
func (r *streamReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if r.stopAfterFunc != nil {
		r.stopAfterFunc()
	}
	if r.ended {
		// The end of the body often arrives in a separate packet. The caller does not wait for it.
		r.conn.Detach()
		go r.releaseConn()
		return nil
	}
	r.releaseConn()
	if r.brokenErr != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return r.client.Cancel(ctx, r.addr, r.id)
}

func (r *streamReader) releaseConn() {
	r.conn.Release(r.ended && r.awaitBodyEnd())
	fasthttp.ReleaseResponse(r.resp)
}

// awaitBodyEnd reports whether the body ends within bodyEndTimeout without a further event.
func (r *streamReader) awaitBodyEnd() bool {
	if err := r.conn.SetReadDeadline(time.Now().Add(bodyEndTimeout)); err != nil {
		return false
	}
	_, err := r.parser.next()
	return err == io.EOF
}
