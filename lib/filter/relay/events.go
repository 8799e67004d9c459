package relay

import (
	"bytes"
	"fmt"
	"strconv"
)

// eventReader splits a stream of server-sent events into whole events. It skips events that were already passed on,
// since a target that resumes a stream may repeat them.
type eventReader struct {
	pending []byte // bytes of an incomplete event
	lastID  string // id of the last event passed on
}

// maxEventBytes bounds an event. Events carry a few tokens each; a target in trouble may send bytes without end.
const maxEventBytes = 256 << 10

// errEventTooLarge ends the attempt of a stream whose event does not end.
var errEventTooLarge = fmt.Errorf("relay: the target sent more than %d bytes without the end of an event", maxEventBytes)

// feed adds the bytes b to the stream and appends the events that are now complete to dst. Error: errEventTooLarge.
func (r *eventReader) feed(dst, b []byte) ([]byte, error) {
	r.pending = append(r.pending, b...)
	for {
		end := eventEnd(r.pending)
		if end < 0 {
			if len(r.pending) > maxEventBytes {
				return dst, errEventTooLarge
			}
			return dst, nil
		}
		event := r.pending[:end]
		if id := eventID(event); id == "" || follows(id, r.lastID) {
			dst = append(dst, event...)
			if id != "" {
				r.lastID = id
			}
		}
		r.pending = append(r.pending[:0], r.pending[end:]...)
	}
}

// insideEvent reports whether bytes of an incomplete event have been read.
func (r *eventReader) insideEvent() bool { return len(bytes.Trim(r.pending, "\r\n")) > 0 }

// eventBoundary follows a stream of server-sent events that is passed on unchanged.
type eventBoundary struct {
	events      int  // whole events so far
	partial     bool // the stream is inside an event
	lineHasText bool
	afterCR     bool // a line feed that follows belongs to the same line end
}

// feed adds the bytes b to the stream.
func (e *eventBoundary) feed(b []byte) {
	for _, c := range b {
		lineEnd := c == '\r' || c == '\n' && !e.afterCR
		switch {
		case c == '\n' && e.afterCR:
		case !lineEnd:
			e.lineHasText, e.partial = true, true
		case e.lineHasText:
			e.lineHasText = false
		case e.partial:
			e.partial = false
			e.events++
		}
		e.afterCR = c == '\r'
	}
}

// dropPartial drops the incomplete event of a stream that broke.
func (r *eventReader) dropPartial() { r.pending = r.pending[:0] }

// eventEnd returns the length of the first event with the blank line that ends it, or -1.
func eventEnd(b []byte) int {
	end := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(blank)); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// eventID returns the event's id, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows reports whether the event id comes after last. Numeric ids are compared by value; any other id counts as new
// if it differs.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
