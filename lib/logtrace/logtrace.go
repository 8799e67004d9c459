// Package logtrace collects the log lines of one request from the logs of several hosts, and counts how requests ended.
package logtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a log line; a longer one ends the read with an error.
const maxLineBytes = 1 << 20

// Line is one log line. Time and Host are zero if the line does not state them.
type Line struct {
	Time   time.Time
	Host   string
	Fields map[string]any
}

// Read calls fn for each line that holds a JSON object. Text before the object, such as log collectors add, is ignored;
// lines without a valid object are skipped.
func Read(r io.Reader, fn func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(append([]byte("{"), object...), &fields) != nil {
			continue
		}
		line := Line{Fields: fields}
		line.Host, _ = fields["host"].(string)
		if text, ok := fields["time"].(string); ok {
			// A line without a readable time is kept; it sorts first.
			line.Time, _ = time.Parse(time.RFC3339Nano, text)
		}
		fn(line)
	}
	return scanner.Err()
}

// Trace returns the lines of the request id, sorted by time. The order of lines from different hosts is only as accurate
// as their clocks.
func Trace(id string, readers ...io.Reader) ([]Line, error) {
	var out []Line
	for _, r := range readers {
		err := Read(r, func(l Line) {
			if l.Fields["request_id"] == id {
				out = append(out, l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// omittedFields are the fields that String prints in front or leaves out because they are common to all lines.
var omittedFields = map[string]bool{"time": true, "level": true, "msg": true, "host": true, "zone": true, "request_id": true}

// String returns the line as text: time, host, message, and the other fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %v", l.Time.Format("15:04:05.000"), l.Host, l.Fields["msg"])
	var names []string
	for name, value := range l.Fields {
		if !omittedFields[name] && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Ending is one way in which requests ended, and the number of requests that ended so.
type Ending struct {
	Reason string // of the refusal; empty for answers of targets
	Run    string
	Status int
	Count  int
}

// Explain counts the endings of requests, the most frequent first.
func Explain(readers ...io.Reader) ([]Ending, error) {
	counts := map[Ending]int{}
	for _, r := range readers {
		err := Read(r, func(l Line) {
			if l.Fields["msg"] != "request" {
				return
			}
			var e Ending
			e.Reason, _ = l.Fields["reason"].(string)
			e.Run, _ = l.Fields["run"].(string)
			if status, ok := l.Fields["status"].(float64); ok {
				e.Status = int(status)
			}
			counts[e]++
		})
		if err != nil {
			return nil, err
		}
	}
	var out []Ending
	for e, n := range counts {
		e.Count = n
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Ending) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status))
	})
	return out, nil
}
