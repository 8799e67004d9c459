package httpanswer

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge means that a body exceeds the limit of ReadAll.
var ErrTooLarge = errors.New("httpanswer: the answer's body exceeds the size limit")

// maxTrailerLines bounds the trailer of a chunked body.
const maxTrailerLines = 32

// firstBytes bounds the memory for a body of which nothing has arrived.
const firstBytes = 64 << 10

// Body reads the body of an answer. io.EOF means that it is complete, any other error that it is not. With UntilClose, io.EOF proves that only
// if no write on the connection has failed: the kernel reports a reset to one call.
type Body struct {
	Length     int64 // bytes; -1 if not known in advance
	Chunked    bool
	UntilClose bool // the body ends with the connection

	from   *Reader
	chunks io.Reader // of a chunked body
	left   int64     // bytes of a body with a length
	err    error     // that ended the body; returned by every later Read
}

// body returns the body that follows a head.
func (r *Reader) body(h head, noBody bool) *Body {
	b := &Body{Length: h.length, Chunked: h.chunked, from: r}
	switch {
	case noBody || h.status == fasthttp.StatusNoContent || h.status == fasthttp.StatusNotModified:
		b.Length, b.Chunked = 0, false
	case h.chunked:
		b.chunks = httputil.NewChunkedReader(r.Reader)
	default:
		b.UntilClose = h.length < 0
	}
	b.left = b.Length
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	switch {
	case b.Chunked:
		n, err = b.readChunks(p)
	case b.UntilClose:
		n, err = b.from.Read(p)
		if err != nil && !errors.Is(err, io.EOF) {
			err = CutOff(PartBody, err)
		}
	default:
		n, err = b.readLength(p)
	}
	b.err = err
	return n, err
}

func (b *Body) readLength(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err != nil {
		err = CutOff(PartBody, err)
	}
	return n, err
}

// readChunks reads a chunked body with its trailer. It ends with the blank line after the trailer, not with the last chunk.
func (b *Body) readChunks(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if trailerErr := b.from.readTrailer(); trailerErr != nil {
			err = trailerErr
		}
	case b.from.conn.err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, b.from.conn.err)):
		err = CutOff(PartChunk, err)
	default: // of the coding, not of the connection
		err = &Error{PartChunk, err}
	}
	return n, err
}

// readTrailer reads the trailer that follows the last chunk, up to its final blank line.
func (r *Reader) readTrailer() error {
	for range maxTrailerLines {
		line, end, err := r.peekLine(0, PartTrailer)
		if err != nil {
			return err
		}
		if len(line) > 0 {
			name, _, err := parseField(line, PartTrailer, PartTrailer)
			if err != nil {
				return err
			}
			if isFraming(name) {
				return malformed(PartTrailer, "%q is not allowed in a trailer", name)
			}
		}
		if _, err := r.Discard(end); err != nil || len(line) == 0 {
			return err
		}
	}
	return malformed(PartTrailer, "more than %d lines", maxTrailerLines)
}

// ReadAll reads the whole body. Errors: those of Read, and ErrTooLarge beyond limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.Length > limit {
		return nil, ErrTooLarge
	}
	var content bytes.Buffer
	content.Grow(int(max(0, min(b.Length, firstBytes))) + bytes.MinRead)
	if _, err := content.ReadFrom(io.LimitReader(b, limit+1)); err != nil {
		return nil, err
	}
	if int64(content.Len()) > limit {
		return nil, ErrTooLarge
	}
	return content.Bytes(), nil
}
