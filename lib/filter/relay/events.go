package relay

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// eventReader splits a stream of server-sent events into whole events, while several targets send it one after the other. It
// skips events that were already passed on, since a target that resumes a stream may repeat them.
type eventReader struct {
	pending  []byte // bytes of an incomplete event
	firstID  string // id of the first event passed on
	lastID   string // id of the last event passed on
	began    bool   // an event with fields was passed on
	resumed  bool   // the target is to continue after lastID
	targetID string // id of the last event that the target has sent
	err      error  // ends the attempt at the target
}

// maxEventBytes bounds an event. Events carry a few tokens each; a target in trouble may send bytes without end.
const maxEventBytes = 256 << 10

// errEventTooLarge ends the attempt of a stream whose event does not end.
var errEventTooLarge = fmt.Errorf("relay: the target sent more than %d bytes without the end of an event", maxEventBytes)

// Errors of events that cannot belong to the stream. A target in trouble may send the text of an error, or even the head of
// an answer, where events are due.
var (
	errNotAnEvent   = errors.New("relay: the target sent text that is not an event")
	errOutOfOrder   = errors.New("relay: the ids of the target's events do not increase")
	errStartedAnew  = errors.New("relay: the target started the stream anew instead of resuming it")
	errNothingAdded = errors.New("relay: the target answered a resumed stream without an event or a last chunk")
)

// feed adds the bytes b to the stream and appends the events that are now complete to dst. An error ends the target's part of
// the stream: errEventTooLarge, or one of events that cannot belong to the stream.
func (r *eventReader) feed(dst, b []byte) ([]byte, error) {
	r.pending = append(r.pending, b...)
	for r.err == nil {
		end := eventEnd(r.pending)
		if end < 0 {
			if len(r.pending) > maxEventBytes {
				r.err = errEventTooLarge
			}
			break
		}
		event := r.pending[:end]
		id := eventID(event)
		hasFields, ok := parseFields(event)
		if r.err = r.check(id, hasFields, ok); r.err != nil {
			break
		}
		if id == "" || follows(id, r.lastID) {
			dst = append(dst, event...)
			r.began = r.began || hasFields
		}
		if id != "" {
			r.recordID(id)
		}
		r.pending = append(r.pending[:0], r.pending[end:]...)
	}
	return dst, r.err
}

// check returns an error if an event with the id, or "", cannot belong to the stream. The results of parseFields describe it.
func (r *eventReader) check(id string, hasFields, ok bool) error {
	first := r.targetID == ""
	switch {
	case !ok, hasFields && id == "" && first && r.resumed:
		return errNotAnEvent
	case id == "":
		return nil
	case !first && !follows(id, r.targetID):
		return errOutOfOrder
	case first && r.resumed && !follows(id, r.firstID) && id != r.lastID:
		return errStartedAnew
	}
	return nil
}

// recordID records the id of an event that belongs to the stream.
func (r *eventReader) recordID(id string) {
	r.targetID = id
	if r.firstID == "" {
		r.firstID = id
	}
	if follows(id, r.lastID) {
		r.lastID = id
	}
}

// ended returns an error if the end of the target's part cannot be the end of the stream, although the target ended it properly. explicit
// means that a last chunk ended it; a continuation without events may consist of that alone.
func (r *eventReader) ended(explicit bool) error {
	switch {
	case len(bytes.Trim(r.pending, "\r\n")) > 0:
		return errInsideEvent
	case r.resumed && r.targetID == "" && !explicit:
		return errNothingAdded
	}
	return nil
}

// parseFields reports whether the event has fields, comments aside, and whether all its lines are comments or fields. The names of
// fields are in lower case.
func parseFields(event []byte) (hasFields, ok bool) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		if len(name) == 0 {
			continue
		}
		hasFields = true
		known := slices.Contains([]string{"data", "event", "id", "retry"}, string(name))
		if !known && (!hasValue || bytes.ContainsFunc(name, func(c rune) bool { return c != '-' && (c < 'a' || c > 'z') })) {
			return true, false
		}
	}
	return hasFields, true
}

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

// resumable reports whether another target can continue the stream.
func (r *eventReader) resumable() bool { return !r.began || r.lastID != "" }

// dropPartial drops the incomplete event of a stream that broke. Another target continues it.
func (r *eventReader) dropPartial() {
	r.pending, r.resumed, r.targetID, r.err = r.pending[:0], r.began, "", nil
}

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
