package pipeline

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/membudget"
)

const (
	// connBytes is what an open connection holds: its goroutine, its structures and the kernel's.
	connBytes = 8 << 10
	// requestBytes is what a request holds beside its head and body: the parsed request, the response and a grown stack.
	requestBytes = 16 << 10
	// lineBytes is what a parsed header line holds beside its bytes: its entry in a list that grows by doubling, and two slices.
	lineBytes = 160
	// minLineBytes is the length of the shortest header line.
	minLineBytes = 4
	// maxPooledLines is the number of header lines up to which a parsed request is kept for the next one.
	maxPooledLines = 64
	// writerBytes is the size of the buffer for responses.
	writerBytes = 4 << 10
	// refusalTimeout bounds the writing of a refusal to a caller that may not read.
	refusalTimeout = time.Second
)

// Errors of requests that are not read.
var (
	errTooManyLines  = errors.New("pipeline: the header has too many lines; send fewer")
	errHeadTooLarge  = errors.New("pipeline: the header is too large; send a shorter one")
	errInvalidURI    = errors.New("pipeline: the host or the path is not valid; correct the request")
	errNotHTTP       = errors.New("pipeline: the first line is not a request line; correct the request")
	errShed          = errors.New("pipeline: the memory of the request is needed for others; retry on another host")
	errInvalidExpect = errors.New("pipeline: the connection ended before the body was asked for")
)

// serveConn serves the requests of a connection until it ends.
func (s *Server) serveConn(c *watchedConn) {
	defer c.Close()
	var br *bufio.Reader // holds bytes of the next request, or nil
	for first := true; ; first = false {
		if br == nil && !s.awaitRequest(c, first) {
			return
		}
		if !c.phase.CompareAndSwap(connIdle, connActive) {
			return // a stop has closed the connection
		}
		var keep bool
		if br, keep = s.serveRequest(c, br); !keep {
			return
		}
		now := time.Now()
		c.account.SetState(membudget.Idle, now)
		c.phase.Store(connIdle)
		if s.conns.isClosed() && br == nil {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection ended.
func (s *Server) awaitRequest(c *watchedConn, first bool) bool {
	limits := s.limits.Load()
	wait := limits.IdleTimeout
	if first && limits.HeaderTimeout == 0 {
		wait = s.cfg.ReadTimeout
	}
	if wait > 0 {
		if c.SetReadDeadline(time.Now().Add(wait)) != nil {
			return false
		}
	}
	err := c.awaitBytes()
	if err != nil && first && isTimeout(err) && limits.HeaderTimeout == 0 && c.phase.CompareAndSwap(connIdle, connActive) {
		var h fasthttp.RequestCtx
		h.Init2(c, debugLogger{s.cfg.Log}, true)
		s.refuseUnread(c, &h, err)
	}
	return err == nil
}

// serveRequest reads one request, serves it and writes the answer. It returns the reader if it holds bytes of a further request, and
// whether the connection goes on.
func (s *Server) serveRequest(c *watchedConn, br *bufio.Reader) (next *bufio.Reader, keep bool) {
	now := time.Now()
	c.account.SetState(membudget.Reading, now)
	limits := s.limits.Load()
	if err := c.account.Reserve(membudget.Connections, int64(limits.headBuffer())+requestBytes, now); err != nil {
		s.refuseUnread(c, s.acquireCtx(c), err)
		return nil, false
	}
	if br == nil {
		br = s.readers.get(c, limits.headBuffer())
	}
	h := s.acquireCtx(c)
	lines, err := s.readHead(c, h, br, limits, now)
	if err == nil {
		err = s.readBody(c, h, br, limits)
	}
	if err == nil && !c.account.Begin(time.Now()) {
		err = errShed
	}
	if err == nil {
		keep = s.answer(c, h)
	} else {
		s.refuseUnread(c, h, err)
	}
	s.releaseCtx(h, lines)
	c.account.ReleaseAll(membudget.Answers)
	c.account.ReleaseAll(membudget.Bodies)
	c.account.ReleaseDownTo(membudget.Connections, connBytes)
	if keep && holdsRequest(br) {
		return br, true
	}
	s.readers.put(br)
	return nil, keep
}

// holdsRequest reports whether the reader holds bytes of a further request. It skips empty lines, which some callers send after a body.
func holdsRequest(br *bufio.Reader) bool {
	for br.Buffered() > 0 {
		if b, err := br.Peek(1); err != nil || b[0] != '\r' && b[0] != '\n' {
			return true
		}
		_, _ = br.Discard(1)
	}
	return false
}

// readHead reads the request line and the header, and returns its number of lines. The memory for the parsed lines is reserved before
// they are parsed.
func (s *Server) readHead(c *watchedConn, h *fasthttp.RequestCtx, br *bufio.Reader, limits *Limits, start time.Time) (int, error) {
	timeout := limits.HeaderTimeout
	if timeout == 0 {
		timeout = s.cfg.ReadTimeout
	}
	if timeout > 0 {
		if err := c.SetReadDeadline(start.Add(timeout)); err != nil {
			return 0, err
		}
	}
	lines, err := awaitHead(br, cmp.Or(s.cfg.MaxHeaderLines, limits.headBuffer()/minLineBytes), limits.MaxHeaderBytes)
	if err != nil {
		return 0, err
	}
	// Many lines amplify a head as a large body would: they count as one.
	if err := c.account.Reserve(membudget.Bodies, int64(lines)*lineBytes, time.Now()); err != nil {
		return 0, err
	}
	if err := h.Request.Header.Read(br); err != nil {
		return lines, err
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if uri.Parse(h.Request.Header.Host(), h.Request.Header.RequestURI()) != nil {
		err = errInvalidURI
	}
	return lines, err
}

var (
	crlf         = []byte("\r\n")
	endOfLines   = []byte("\r\n\r\n")
	protocolName = []byte(" HTTP/")
)

// awaitHead waits until the reader holds a whole head, and returns its number of lines. It refuses heads of more than maxLines lines
// and those whose header without the request line exceeds maxBytes.
func awaitHead(br *bufio.Reader, maxLines, maxBytes int) (lines int, err error) {
	for seen := 0; ; {
		if seen == 0 || br.Buffered() == seen {
			if seen == br.Size() {
				return 0, errHeadTooLarge
			}
			if _, err := br.Peek(seen + 1); err != nil {
				if seen > 0 && errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				return 0, err
			}
		}
		for seen == 0 { // empty lines before the request line are skipped
			b, err := br.Peek(2)
			if err != nil {
				return 0, err
			}
			if !bytes.Equal(b, crlf) {
				break
			}
			_, _ = br.Discard(len(crlf))
		}
		b, _ := br.Peek(br.Buffered())
		from := max(0, seen-len(endOfLines)+1)
		end := bytes.Index(b[from:], endOfLines)
		head := b
		if end >= 0 {
			head = b[:from+end+len(crlf)]
		}
		if lines += bytes.Count(head[min(seen, len(head)):], crlf[1:]); lines > maxLines {
			return 0, errTooManyLines
		}
		if first := bytes.IndexByte(head, '\n'); len(head)-first-1 > maxBytes {
			return 0, errHeadTooLarge
		}
		if end >= 0 {
			return lines, nil
		}
		if line, _, whole := bytes.Cut(b, crlf[1:]); whole && !bytes.Contains(line, protocolName) {
			return 0, errNotHTTP
		}
		seen = len(b)
	}
}

// answer passes the request on and writes the answer. It returns whether the connection may carry a further request.
func (s *Server) answer(c *watchedConn, h *fasthttp.RequestCtx) bool {
	closing := h.Request.Header.ConnectionClose()
	isHTTP11, isHead := h.Request.Header.IsHTTP11(), h.IsHead()
	detached := s.handle(h)
	h.Response.SkipBody = h.Response.SkipBody || isHead
	closing = closing || h.Response.Header.ConnectionClose() || s.conns.isClosed()
	switch {
	case closing:
		h.Response.Header.SetConnectionClose()
	case !isHTTP11:
		h.Response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	now := time.Now()
	if s.cfg.WriteTimeout > 0 {
		if c.SetWriteDeadline(now.Add(s.cfg.WriteTimeout)) != nil {
			return false
		}
	}
	if !detached {
		c.setWriting(true)
		c.account.SetState(membudget.Writing, now)
		defer c.setWriting(false)
	}
	return s.write(c, h) == nil && !closing
}

// write writes the response.
func (s *Server) write(c *watchedConn, h *fasthttp.RequestCtx) error {
	if len(h.Response.Header.Server()) == 0 {
		h.Response.Header.SetServer(serverName)
	}
	bw := s.writers.get(c)
	defer s.writers.put(bw)
	if err := h.Response.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// refuseUnread refuses a request that was not read, and ends the connection. Nothing is written if the caller sent nothing.
func (s *Server) refuseUnread(c *watchedConn, h *fasthttp.RequestCtx, err error) {
	c.account.ReleaseAll(membudget.Bodies)
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	if c.account.Shed() {
		err = errShed
	}
	h.Response.Reset()
	s.refuseUnreadable(h, err)
	h.Response.SetConnectionClose()
	if c.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil || s.write(c, h) != nil {
		return
	}
	if s.rejecting.Add(1) <= s.maxRejections() {
		linger(c.Conn)
	}
	s.rejecting.Add(-1)
}

// acquireCtx returns a context without a request.
func (s *Server) acquireCtx(c *watchedConn) *fasthttp.RequestCtx {
	h, ok := s.contexts.Get().(*fasthttp.RequestCtx)
	if !ok {
		h = &fasthttp.RequestCtx{}
	}
	h.Init2(c, debugLogger{s.cfg.Log}, true)
	return h
}

// releaseCtx closes the body of the response, if it is still open, and keeps the context for another request. Those with many header
// lines are not kept: they would hold the memory of these.
func (s *Server) releaseCtx(h *fasthttp.RequestCtx, lines int) {
	h.Request.Reset()
	h.Response.Reset()
	if lines <= maxPooledLines {
		s.contexts.Put(h)
	}
}

// expectsContinue reports whether the caller waits to be asked for the body.
func expectsContinue(h *fasthttp.RequestHeader) bool {
	return h.IsHTTP11() && strings.EqualFold(string(h.Peek(fasthttp.HeaderExpect)), "100-continue")
}

// askForBody writes the response that a caller waits for before it sends the body.
func (s *Server) askForBody(c *watchedConn) error {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return fmt.Errorf("%w: %w", errInvalidExpect, err)
	}
	return nil
}
