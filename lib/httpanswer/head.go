package httpanswer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// Reader reads the answers on a connection, one after the other.
type Reader struct {
	*bufio.Reader
	conn *source
}

// source is the connection of a Reader.
type source struct {
	io.Reader
	err error // of the last read
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (n int, err error) {
	n, s.err = s.Reader.Read(p)
	return n, s.err
}

// NewReader returns a reader with a buffer of the given size in bytes, which also bounds the head of an answer.
func NewReader(conn io.Reader, size int) *Reader {
	s := &source{Reader: conn}
	return &Reader{Reader: bufio.NewReaderSize(s, size), conn: s}
}

// maxInformational bounds the informational (1xx) answers before the final one.
const maxInformational = 16

// ReadHead reads the head of the final answer into h and returns the body that follows it. noBody states that the request permits none, as HEAD
// does. Errors: an Error, or that of the connection, which is io.EOF or a reset if it ended before an answer began.
func (r *Reader) ReadHead(h *fasthttp.ResponseHeader, noBody bool) (*Body, error) {
	for range maxInformational + 1 {
		next, text, err := r.peekHead()
		if err != nil {
			return nil, err
		}
		if next.status >= fasthttp.StatusOK {
			if err := h.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text))); err != nil {
				return nil, &Error{PartHead, err}
			}
		}
		if _, err := r.Discard(len(text)); err != nil {
			return nil, err
		}
		if next.status >= fasthttp.StatusOK {
			return r.body(next, noBody), nil
		}
	}
	return nil, malformed(PartInformational, "more than %d of them", maxInformational)
}

// head is what the head of an answer states.
type head struct {
	status  int
	http10  bool  // version 1.0, which has no transfer codings
	length  int64 // Content-Length in bytes; -1 if absent
	chunked bool
}

// peekHead checks the head of the next answer, and returns its bytes without consuming them.
func (r *Reader) peekHead() (h head, text []byte, err error) {
	line, end, err := r.peekLine(0, PartStatusLine)
	if err != nil {
		return h, nil, err
	}
	if h, err = parseStatusLine(line); err != nil {
		return h, nil, err
	}
	for {
		if line, end, err = r.peekLine(end, PartHead); err != nil {
			return h, nil, err
		}
		if len(line) == 0 {
			break
		}
		name, value, err := parseField(line, PartFieldName, PartFieldValue)
		if err == nil {
			err = h.addFraming(name, value)
		}
		if err != nil {
			return h, nil, err
		}
	}
	if err := h.check(); err != nil {
		return h, nil, err
	}
	text, err = r.Peek(end)
	return h, text, err
}

// addFraming records the fields that delimit the body and ignores others.
func (h *head) addFraming(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		length, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || !isDigits(value) {
			return malformed(PartFraming, "the Content-Length %q is not a number of bytes", truncated(value))
		}
		if h.length >= 0 {
			return malformed(PartFraming, "Content-Length is repeated")
		}
		h.length = length
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if !bytes.EqualFold(value, []byte("chunked")) {
			return malformed(PartFraming, "unknown transfer coding %q", truncated(value))
		}
		if h.chunked {
			return malformed(PartFraming, "Transfer-Encoding is repeated")
		}
		h.chunked = true
	}
	return nil
}

// isFraming reports whether the field delimits the body.
func isFraming(name []byte) bool {
	return bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// check returns an error if the fields contradict each other or the status line.
func (h *head) check() error {
	hasBody := h.length > 0 || h.chunked
	switch {
	case h.chunked && h.length >= 0:
		return malformed(PartFraming, "Content-Length and Transfer-Encoding are both present")
	case h.chunked && h.http10:
		return malformed(PartFraming, "Transfer-Encoding in an answer of HTTP/1.0")
	case h.status == fasthttp.StatusSwitchingProtocols:
		return malformed(PartInformational, "status 101 without an upgrade in the request")
	case h.status < fasthttp.StatusOK && hasBody:
		return malformed(PartInformational, "status %d with a body", h.status)
	case h.status == fasthttp.StatusNoContent && hasBody:
		return malformed(PartFraming, "status %d with a body", h.status)
	}
	return nil
}

// peekLine returns the line that begins at the offset start of the buffered bytes, without its line end, and the offset of the next line. Its
// errors name the given part.
func (r *Reader) peekLine(start int, part Part) (line []byte, end int, err error) {
	for {
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, 0, err
		}
		if i := bytes.IndexByte(b[start:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[start:start+i], []byte("\r"))
			if !ok {
				return nil, 0, malformed(part, "a line does not end with CR LF")
			}
			return line, start + i + 1, nil
		}
		if part == PartStatusLine && !bytes.HasPrefix(b, versionPrefix[:min(len(b), len(versionPrefix))]) {
			return nil, 0, notHTTP(b)
		}
		_, err = r.Peek(len(b) + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, 0, malformed(part, "exceeds %d bytes", r.Size())
		case len(b) == 0 && part == PartStatusLine:
			return nil, 0, err
		default:
			return nil, 0, CutOff(part, err)
		}
	}
}

// versionPrefix begins every status line.
var versionPrefix = []byte("HTTP/1.")

// maxQuotedBytes bounds what errors repeat of an answer.
const maxQuotedBytes = 40

// truncated returns the first bytes of b for an error.
func truncated(b []byte) []byte { return b[:min(len(b), maxQuotedBytes)] }

func notHTTP(b []byte) error {
	return malformed(PartStatusLine, "%q does not begin with HTTP/1.0 or HTTP/1.1", truncated(b))
}

// parseStatusLine reads a line such as "HTTP/1.1 200 OK". The reason phrase and the space before it may be missing.
func parseStatusLine(line []byte) (head, error) {
	h := head{length: -1}
	rest, ok := bytes.CutPrefix(line, versionPrefix)
	if !ok || len(rest) < 2 || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return h, notHTTP(line)
	}
	h.http10 = rest[0] == '0'
	code, reason, _ := bytes.Cut(rest[2:], []byte(" "))
	if len(code) != 3 || !isDigits(code) || code[0] < '1' || code[0] > '5' {
		return h, malformed(PartStatusLine, "the status %q is not a number from 100 to 599", truncated(code))
	}
	if i := bytes.IndexFunc(reason, isControl); i >= 0 {
		return h, malformed(PartStatusLine, "the reason phrase contains the byte %#02x", reason[i])
	}
	h.status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	return h, nil
}

// parseField returns the name and the value of a line such as "Name: value". Its errors name the given parts. Folded lines are rejected, as
// RFC 9112 permits: a line that continues a value for one reader may be a field for another.
func parseField(line []byte, namePart, valuePart Part) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return nil, nil, malformed(namePart, "the line %q has no colon", truncated(line))
	}
	if !isToken(name) {
		return nil, nil, malformed(namePart, "%q is not a valid name", truncated(name))
	}
	value = bytes.Trim(value, " \t")
	if i := bytes.IndexFunc(value, isControl); i >= 0 {
		return nil, nil, malformed(valuePart, "the value of %q contains the byte %#02x", truncated(name), value[i])
	}
	return name, value, nil
}

// isToken reports whether b is a token of RFC 9110, as names of fields are.
func isToken(b []byte) bool {
	for _, c := range b {
		letterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// isControl reports whether c is a control character other than the tab, which values and reason phrases must not contain. Bytes of 0x80 and
// above are allowed.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
