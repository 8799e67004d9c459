package relay

import (
	"bytes"
	"strconv"
)

// eventReader splits a stream of server-sent events into whole events. Events that were passed on before are left out:
// a target that resumes a stream may repeat them.
type eventReader struct {
	pending []byte // bytes of an event that is not complete
	last    string // id of the last event passed on
}

// feed takes bytes over and appends the events that are complete to dst.
func (r *eventReader) feed(dst, b []byte) []byte {
	r.pending = append(r.pending, b...)
	for {
		end := eventEnd(r.pending)
		if end < 0 {
			return dst
		}
		event := r.pending[:end]
		if id := eventID(event); id == "" || after(id, r.last) {
			dst = append(dst, event...)
			if id != "" {
				r.last = id
			}
		}
		r.pending = append(r.pending[:0], r.pending[end:]...)
	}
}

// restart drops an event that was broken off.
func (r *eventReader) restart() { r.pending = r.pending[:0] }

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

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// after reports whether id follows last. Ids are numbers; others are taken as new if they differ.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
