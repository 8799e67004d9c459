package pipeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/membudget"
)

const (
	// firstBodyBytes is the first size of the buffer of a body that may be larger. The buffer doubles while the body arrives, so that what
	// is reserved follows what a caller has sent, not what it announces.
	firstBodyBytes      = 16 << 10
	firstChunkBodyBytes = 4 << 10
	// announcedShare is the part of an announced length that has arrived when the rest is allocated at once.
	announcedShare = 4
	// maxTrailerLines bounds the trailer of a chunked body. Trailers are not passed on.
	maxTrailerLines = 32
	// deadlineStep is the number of bytes after which the time for a body is extended by what they take at the minimum rate.
	deadlineStep = 256 << 10
)

// readBody reads the body and has the request state its length. Memory is reserved before it is allocated.
func (s *Server) readBody(c *watchedConn, h *fasthttp.RequestCtx, br *bufio.Reader, limits *Limits) error {
	header := &h.Request.Header
	length := header.ContentLength()
	if length == 0 {
		return nil
	}
	if length < -1 { // no body
		if !header.IsGet() && !header.IsHead() {
			header.SetContentLength(0)
		}
		return nil
	}
	if length > limits.MaxBodyBytes {
		return fasthttp.ErrBodyTooLarge
	}
	if expectsContinue(header) {
		if err := s.askForBody(c); err != nil {
			return err
		}
	}
	b := &bodyBuffer{server: s, conn: c, header: header, max: limits.MaxBodyBytes, began: time.Now(), sized: s.cfg.Owner == nil}
	if limits.HeaderTimeout > 0 {
		if err := b.extend(); err != nil {
			return err
		}
	}
	small := length > 0 && length <= membudget.SmallBytes
	if small { // gets the buffer of an earlier request
		b.pooled = h.Request.SwapBody(nil)
	}
	var err error
	if length > 0 {
		err = b.readExact(br, length)
	} else {
		err = b.readChunks(br)
	}
	if err != nil {
		s.buffers.put(b.buf)
		return err
	}
	if small {
		h.Request.SwapBody(b.buf)
	} else {
		h.Request.SetBodyRaw(b.buf)
	}
	header.SetContentLength(len(b.buf))
	return nil
}

// bodyBuffer receives a body. Its capacity is reserved in the account of its connection.
type bodyBuffer struct {
	server   *Server
	conn     *watchedConn
	header   *fasthttp.RequestHeader
	max      int
	buf      []byte
	pooled   []byte // buffer of an earlier request, for a small body
	began    time.Time
	extended int  // length at which the deadline was extended last
	sized    bool // the owner of a large body has been recorded, or need not be
}

// readExact reads a body of the given length.
func (b *bodyBuffer) readExact(br *bufio.Reader, length int) error {
	size := length
	if length > membudget.SmallBytes {
		size = firstBodyBytes
	}
	for {
		if err := b.grow(size); err != nil {
			return err
		}
		for len(b.buf) < cap(b.buf) {
			if err := b.read(br); err != nil {
				return unexpectedEOF(err)
			}
		}
		if len(b.buf) == length {
			return nil
		}
		if size *= 2; size >= length/announcedShare {
			size = length
		}
	}
}

// readChunks reads a chunked body with its trailer.
func (b *bodyBuffer) readChunks(br *bufio.Reader) error {
	chunks := httputil.NewChunkedReader(br)
	for size := firstChunkBodyBytes; ; size *= 2 {
		// Whether a body goes on is known once its next byte has come: one that ends here needs no larger buffer.
		var next [1]byte
		n, err := io.ReadFull(chunks, next[:])
		if errors.Is(err, io.EOF) {
			return skipTrailer(br)
		}
		if err != nil {
			return err
		}
		if len(b.buf) >= b.max {
			return fasthttp.ErrBodyTooLarge
		}
		if err := b.grow(min(size, b.max)); err != nil {
			return err
		}
		b.buf = append(b.buf, next[:n]...)
		for len(b.buf) < cap(b.buf) && err == nil {
			err = b.read(chunks)
		}
		if errors.Is(err, io.EOF) {
			return skipTrailer(br)
		}
		if err != nil {
			return err
		}
	}
}

// read reads once into the free part of the buffer.
func (b *bodyBuffer) read(r io.Reader) error {
	n, err := r.Read(b.buf[len(b.buf):cap(b.buf)])
	b.buf = b.buf[:len(b.buf)+n]
	if err == nil && b.server.cfg.MinBodyRate > 0 && len(b.buf)-b.extended >= deadlineStep {
		err = b.extend()
	}
	return err
}

// extend sets the time by which the body must have arrived, at the minimum rate for what has arrived.
func (b *bodyBuffer) extend() error {
	b.extended = len(b.buf)
	limit := b.server.cfg.ReadTimeout
	if limit <= 0 {
		return nil
	}
	if rate := b.server.cfg.MinBodyRate; rate > 0 {
		limit += time.Duration(float64(len(b.buf)) / float64(rate) * float64(time.Second))
	}
	return b.conn.SetReadDeadline(b.began.Add(limit))
}

// grow reserves memory for a buffer of the size and moves the body to it.
func (b *bodyBuffer) grow(size int) error {
	if !b.sized && size > membudget.SmallBytes {
		b.sized = true
		if owner := b.server.cfg.Owner(b.header); owner != "" {
			b.conn.account.SetOwner(owner)
		}
	}
	if err := b.conn.account.Reserve(membudget.Bodies, int64(size-cap(b.buf)), time.Now()); err != nil {
		return err
	}
	if size <= cap(b.pooled) {
		b.buf, b.pooled = b.pooled[:0:size], nil
		return nil
	}
	old := b.buf
	b.buf = append(b.server.buffers.get(size), old...)
	b.server.buffers.put(old)
	return nil
}

// skipTrailer reads the trailer that follows the last chunk, up to its final blank line.
func skipTrailer(br *bufio.Reader) error {
	for range maxTrailerLines + 1 {
		line, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return errHeadTooLarge
		}
		if err != nil {
			return unexpectedEOF(err)
		}
		if len(line) <= len(crlf) {
			return nil
		}
	}
	return fmt.Errorf("%w: a trailer of more than %d lines", errTooManyLines, maxTrailerLines)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// minKeptBuffer is the size from which buffers are kept: smaller ones are cheap to allocate.
const minKeptBuffer = 64 << 10

// bodyBuffers keeps large buffers of bodies that were not passed on: those that a growing body left, and those of refused requests.
// Without it callers that send large bodies again and again produce garbage faster than it is collected. Buffers of requests that were
// passed on are not kept, as they may still be being written to a target.
type bodyBuffers struct {
	mu    sync.Mutex
	limit int64            // bytes kept; zero: nothing is kept
	bytes int64            // guarded by mu
	free  map[int][][]byte // guarded by mu; by capacity
	used  bool             // guarded by mu; a buffer was given back since the last trim
}

// get returns an empty buffer of the capacity.
func (b *bodyBuffers) get(size int) []byte {
	if size >= minKeptBuffer && b.limit > 0 {
		b.mu.Lock()
		defer b.mu.Unlock()
		if list := b.free[size]; len(list) > 0 {
			buf := list[len(list)-1]
			b.free[size] = list[:len(list)-1]
			b.bytes -= int64(size)
			return buf[:0]
		}
	}
	return make([]byte, 0, size)
}

// put keeps a buffer that nothing else uses.
func (b *bodyBuffers) put(buf []byte) {
	size := cap(buf)
	if size < minKeptBuffer || b.limit <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free == nil {
		b.free = map[int][][]byte{}
	}
	if b.bytes+int64(size) > b.limit { // those of the sizes that come now are of more use
		clear(b.free)
		b.bytes = 0
	}
	if int64(size) <= b.limit {
		b.free[size] = append(b.free[size], buf)
		b.bytes += int64(size)
		b.used = true
	}
}

// trim lets go of the buffers if none was given back since the last call.
func (b *bodyBuffers) trim() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.used {
		clear(b.free)
		b.bytes = 0
	}
	b.used = false
}

// readerPool holds the buffers in which heads are read. They all have the size of the last one that was asked for.
type readerPool struct{ pool sync.Pool }

func (p *readerPool) get(r io.Reader, size int) *bufio.Reader {
	if br, ok := p.pool.Get().(*bufio.Reader); ok && br.Size() == size {
		br.Reset(r)
		return br
	}
	return bufio.NewReaderSize(r, size)
}

func (p *readerPool) put(br *bufio.Reader) {
	br.Reset(nil)
	p.pool.Put(br)
}

// writerPool holds the buffers in which responses are written.
type writerPool struct{ pool sync.Pool }

func (p *writerPool) get(w io.Writer) *bufio.Writer {
	if bw, ok := p.pool.Get().(*bufio.Writer); ok {
		bw.Reset(w)
		return bw
	}
	return bufio.NewWriterSize(w, writerBytes)
}

func (p *writerPool) put(bw *bufio.Writer) {
	bw.Reset(nil)
	p.pool.Put(bw)
}
