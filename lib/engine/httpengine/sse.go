package httpengine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEvent bounds one event in bytes. Engines send a few tokens per event.
const maxEvent = 1 << 20

// Errors of the event parser.
var (
	errEventTooLarge = errors.New("httpengine: event exceeds 1 MB")
	errBadEvent      = errors.New("httpengine: malformed event")
)

// rawEvent is one parsed event. Its slices are valid until the next call of next.
type rawEvent struct {
	id      int64 // -1 if absent
	data    []byte
	hasData bool
	comment []byte // last comment line of the block, without line end
}

// eventParser splits a byte stream into server-sent events. Blocks without data are returned too: a
// comment shows that the engine is alive.
type eventParser struct {
	src        io.Reader
	buf        []byte
	start, end int
	scanned    int // bytes after start that hold no block end
	joined     []byte
}

// next returns the next block, or the error of the source. A block without its blank line is not an event.
func (p *eventParser) next() (rawEvent, error) {
	for {
		if block, size, ok := p.block(); ok {
			p.start += size
			p.scanned = 0
			return p.parse(block)
		}
		if err := p.fill(); err != nil {
			return rawEvent{}, err
		}
	}
}

// buffered reports whether a whole further block is in the buffer.
func (p *eventParser) buffered() bool {
	_, _, ok := p.block()
	return ok
}

// block finds the first block and its size including the blank line.
func (p *eventParser) block() (block []byte, size int, ok bool) {
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

func (p *eventParser) fill() error {
	if p.start > 0 {
		p.end = copy(p.buf, p.buf[p.start:p.end])
		p.start = 0
	}
	if p.end == len(p.buf) {
		if len(p.buf) >= maxEvent {
			return errEventTooLarge
		}
		p.buf = append(p.buf, make([]byte, max(4096, len(p.buf)))...)
	}
	n, err := p.src.Read(p.buf[p.end:])
	p.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

func (p *eventParser) parse(block []byte) (rawEvent, error) {
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

// addData joins several data lines by a line feed, as the format demands.
func (p *eventParser) addData(ev *rawEvent, value []byte) {
	if !ev.hasData {
		ev.data, ev.hasData = value, true
		return
	}
	p.joined = append(append(append(p.joined[:0], ev.data...), '\n'), value...)
	ev.data = append([]byte(nil), p.joined...)
}

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
