// Package forward sends requests unchanged to targets and reads their answers. It makes one attempt and classifies how
// it ended; whether there is another one is decided elsewhere.
package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/passage"
)

// Outcome tells what is known of an attempt.
type Outcome uint8

// Outcomes. Everything that is not provably not run is Unknown.
const (
	Unknown  Outcome = iota // sent, and no usable answer: the target may have run it
	NotSent                 // nothing was written to the target
	NotRun                  // the target states that it did not run it
	Answered                // the target answered
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "not_sent", "not_run", "answered"}[o]
}

// Errors of answers.
var (
	ErrForeignAnswer = errors.New("forward: the answer belongs to another request")
	ErrIncomplete    = errors.New("forward: the answer ended early")
	ErrTooLarge      = errors.New("forward: the answer exceeds the limit")
)

const (
	dialTimeout = 250 * time.Millisecond // targets are at most a few milliseconds away; a lost packet costs a second
	idleTimeout = 2 * time.Second        // below the idle timeouts that targets state in whole seconds
	// maxSkipped bounds late answers to earlier requests that are read past on one connection.
	maxSkipped = 2
	// maxWhole bounds answers that are read whole, in bytes.
	maxWhole = 4 << 20
	// asyncBody is the size of a body in bytes from which it is written while the answer is awaited, as a target may
	// answer before it has read all of it. Smaller ones fit into socket buffers.
	asyncBody = 16 << 10
)

// Request is one attempt.
type Request struct {
	Addr   string
	ID     string
	Head   []byte // request line and header without the fields that frame the body
	Method string
	Body   []byte
	Fresh  bool // send it on a connection dialled for it
}

// Answer is a target's answer. The body has not been read yet.
type Answer struct {
	Header fasthttp.ResponseHeader
	States passage.Answer
	// Length of the body in bytes, or -1 if it is not known in advance.
	Length int64

	conn     *httpconn.Conn
	body     io.Reader
	chunked  bool
	unframed bool
	reusable bool
	written  <-chan error
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	door passage.Door
	pool *httpconn.Pool
}

// NewClient returns a client that reads answers through the door.
func NewClient(door passage.Door, dial httpconn.Dialer) *Client {
	return &Client{door: door, pool: &httpconn.Pool{Dial: dial, DialTimeout: dialTimeout, IdleTimeout: idleTimeout}}
}

// Do makes one attempt. The connection is closed when ctx ends before Close of the answer. The error is nil if and
// only if the outcome is Answered or NotRun by the target's own statement.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, Outcome, error) {
	conn, err := c.pool.Get(ctx, r.Addr, r.Fresh)
	if err != nil {
		return nil, NotSent, err
	}
	written, err := send(conn, r)
	if err != nil {
		conn.Release(false)
		if errors.Is(err, httpconn.ErrNotSent) {
			return nil, NotSent, err
		}
		// A target may answer and close before it has read the body.
		return nil, Unknown, err
	}
	a := &Answer{conn: conn, written: written}
	if err := c.readHead(a, r); err != nil {
		conn.Release(false)
		return nil, Unknown, err
	}
	if a.States.NotRun {
		return a, NotRun, nil
	}
	return a, Answered, nil
}

// send writes the request. Large bodies are written in the background; the channel then delivers the result.
func send(conn *httpconn.Conn, r *Request) (<-chan error, error) {
	head := r.Head
	if len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) < asyncBody {
		return nil, conn.SendBytes(head, r.Body)
	}
	if err := conn.SendBytes(head, nil); err != nil {
		return nil, err
	}
	written := make(chan error, 1)
	go func() { written <- conn.SendBytes(nil, r.Body) }()
	return written, nil
}

// readHead reads up to the answer of this request. Late answers to earlier requests are read past.
func (c *Client) readHead(a *Answer, r *Request) error {
	br := a.conn.Reader()
	for range maxSkipped + 1 {
		if err := readFinalHead(&a.Header, br); err != nil {
			return err
		}
		a.States = c.door.ReadAnswer(&a.Header)
		a.frame(r.Method)
		if a.States.ID == "" || a.States.ID == r.ID {
			return nil
		}
		if a.unframed {
			break
		}
		if _, err := io.CopyN(io.Discard, a.body, maxWhole); !errors.Is(err, io.EOF) {
			break
		}
		if err := a.readTrailer(); err != nil {
			return err
		}
	}
	return ErrForeignAnswer
}

// maxInterim bounds informational responses before the answer.
const maxInterim = 16

func readFinalHead(h *fasthttp.ResponseHeader, br *bufio.Reader) error {
	for range maxInterim {
		h.Reset()
		h.SetNoDefaultContentType(true)
		if err := h.Read(br); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("forward: more than %d informational responses", maxInterim)
}

// frame prepares the reader of the body.
func (a *Answer) frame(method string) {
	br := a.conn.Reader()
	status, length := a.Header.StatusCode(), a.Header.ContentLength()
	a.chunked, a.unframed, a.reusable = false, false, !a.Header.ConnectionClose()
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		a.Length, a.body = 0, io.LimitReader(br, 0)
	case length >= 0:
		a.Length, a.body = int64(length), &exactReader{br, int64(length)}
	case length == -1:
		a.Length, a.chunked, a.body = -1, true, httputil.NewChunkedReader(br)
	default:
		a.Length, a.unframed, a.reusable, a.body = -1, true, false, br
	}
}

// exactReader reads n bytes; an earlier end is an error.
type exactReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	if e.n == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > e.n {
		p = p[:e.n]
	}
	n, err := e.r.Read(p)
	e.n -= int64(n)
	if errors.Is(err, io.EOF) && e.n > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read reads from the body. io.EOF means that it is complete.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// Buffered reports whether bytes have arrived that were not read yet.
func (a *Answer) Buffered() bool { return a.conn.Reader().Buffered() > 0 }

// readTrailer reads what follows the last chunk.
func (a *Answer) readTrailer() error {
	if !a.chunked {
		return nil
	}
	for {
		line, err := a.conn.Reader().ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			return nil
		}
	}
}

// Whole reads the rest of the body and ends the answer.
func (a *Answer) Whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = ErrTooLarge
	}
	if err != nil {
		a.Close(false)
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	a.Close(true)
	return body, nil
}

// Close ends the answer; complete states that the body was read to its end. An answer that is closed early ends the
// work at the target.
func (a *Answer) Close(complete bool) {
	if complete && a.written != nil {
		select {
		case err := <-a.written:
			complete = err == nil
		default: // answered before the whole body was written
			complete = false
		}
	}
	complete = complete && a.reusable && a.readTrailer() == nil
	a.conn.Release(complete)
}
