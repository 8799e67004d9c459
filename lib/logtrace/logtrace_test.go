package logtrace

import (
	"strings"
	"testing"
)

const (
	hostA = `{"time":"2026-01-01T00:00:01.5Z","msg":"request","host":"a","request_id":"r1","status":502,"reason":"target_failed","run":"unknown"}
{"time":"2026-01-01T00:00:00Z","msg":"started","host":"a"}
not a line
  20.6 a {"time":"2026-01-01T00:00:01Z","msg":"attempt","host":"a","zone":"z","request_id":"r1","target":"t","outcome":"unknown"}
`
	hostB = `{"time":"2026-01-01T00:00:03Z","msg":"request","host":"b","request_id":"r2","status":200,"reason":"","run":""}
{"time":"2026-01-01T00:00:04Z","msg":"request","host":"b","request_id":"r3","status":200,"reason":"","run":""}
{"time":"2026-01-01T00:00:01.2Z","msg":"order","host":"b","request_id":"r1"}
`
)

// Guards against lines of a trace that are lost, not sorted by time, or printed with the fields common to all lines.
func TestTraceOrdersLinesOfSeveralHosts(t *testing.T) {
	lines, err := Trace("r1", strings.NewReader(hostA), strings.NewReader(hostB))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range lines {
		got = append(got, l.String())
	}
	want := "00:00:01.000 a attempt outcome=unknown target=t\n00:00:01.200 b order\n00:00:01.500 a request reason=target_failed run=unknown status=502"
	if text := strings.Join(got, "\n"); text != want {
		t.Errorf("got\n%s\nwant\n%s", text, want)
	}
}

// Guards against endings that are counted wrongly, or not summed over hosts.
func TestExplainCountsEndings(t *testing.T) {
	got, err := Explain(strings.NewReader(hostA), strings.NewReader(hostB))
	if err != nil || len(got) != 2 || got[0] != (Ending{Status: 200, Count: 2}) ||
		got[1] != (Ending{Reason: "target_failed", Run: "unknown", Status: 502, Count: 1}) {
		t.Errorf("%+v %v", got, err)
	}
}
