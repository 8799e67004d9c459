package httpengine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes is the size limit of one event. Engines send a few tokens per event.
const maxEventBytes = 1 << 20

// Errors of the event parser.
var (
	errEventTooLarge = errors.New("httpengine: event exceeds 1 MB")
	errBadEvent      = errors.New("httpengine: malformed event")
)

// rawEvent is one parsed event. Its slices are valid until the next call of eventParser.next.
type rawEvent struct {
	id      int64 // -1 if absent
	data    []byte
	hasData bool
	comment []byte // last comment line of the block, without line ending
}

// eventParser splits a byte stream into server-sent events. It also returns blocks without data, because a comment shows
// that the engine is still responding.
type eventParser struct {
	source     io.Reader
	buf        []byte
	start, end int
	scanned    int // bytes after start that are known to contain no end of a block
	joinBuffer []byte
}

// next returns the next block, or the error of the source. A block without a terminating blank line is discarded.
func (p *eventParser) next() (rawEvent, error) {
	for {
		if block, size, ok := p.findBlock(); ok {
			p.start += size
			p.scanned = 0
			return p.parseBlock(block)
		}
		if err := p.readMore(); err != nil {
			return rawEvent{}, err
		}
	}
}

// buffered reports whether the buffer contains a further complete block.
func (p *eventParser) buffered() bool {
	_, _, ok := p.findBlock()
	return ok
}

// findBlock returns the first complete block in the buffer and its size including the blank line.
func (p *eventParser) findBlock() (block []byte, size int, ok bool) {
	b := p.buf[p.start:p.end]
	for i := p.scanned; i < len(b); {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			break
		}
		i += n + 1
		switch {
		case i < len(b) && b[i] == '\n':
			return b[:i], i + 1, true
		case i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n':
			return b[:i], i + 2, true
		}
		p.scanned = i - 1
	}
	return nil, 0, false
}

// readMore reads from the source into the buffer, which it compacts and enlarges as needed.
func (p *eventParser) readMore() error {
	if p.start > 0 {
		p.end = copy(p.buf, p.buf[p.start:p.end])
		p.start = 0
	}
	if p.end == len(p.buf) {
		if len(p.buf) >= maxEventBytes {
			return errEventTooLarge
		}
		p.buf = append(p.buf, make([]byte, max(4096, len(p.buf)))...)
	}
	n, err := p.source.Read(p.buf[p.end:])
	p.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

func (p *eventParser) parseBlock(block []byte) (rawEvent, error) {
	ev := rawEvent{id: -1}
	for len(block) > 0 {
		line, rest, _ := bytes.Cut(block, []byte{'\n'})
		block = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		if line[0] == ':' {
			ev.comment = line
			continue
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "id":
			id, ok := parseSeq(value)
			if !ok {
				return ev, fmt.Errorf("%w: id is not a positive number", errBadEvent)
			}
			ev.id = id
		case "data":
			p.addData(&ev, value)
		}
	}
	return ev, nil
}

// addData appends a data line to the event; several lines are joined by line feeds, as the format requires.
func (p *eventParser) addData(ev *rawEvent, value []byte) {
	if !ev.hasData {
		ev.data, ev.hasData = value, true
		return
	}
	p.joinBuffer = append(append(append(p.joinBuffer[:0], ev.data...), '\n'), value...)
	ev.data = append([]byte(nil), p.joinBuffer...)
}

// parseSeq parses a positive decimal number.
func parseSeq(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > 18 { // 18 digits fit an int64
		return 0, false
	}
	var n int64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, n > 0
}
