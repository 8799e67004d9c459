package relay

import (
	"fmt"
	"testing"
)

// Guards against a request that gets neither an answer nor a refusal because its target broke off after the header of a stream.
func TestStreamThatNeverBeganIsRefused(t *testing.T) {
	after := func(sent string, further script) script {
		return func(r *receivedRequest) bool {
			startStream(r)
			fmt.Fprint(r.conn, sent)
			return further(r)
		}
	}
	for name, c := range map[string]struct {
		path   string
		target script
	}{
		"closed":                          {"/stream/x", after("", closeWithoutAnswer)},
		"closed in a chunk's head":        {"/stream/x", after("5", closeWithoutAnswer)},
		"not chunked":                     {"/stream/x", after("no chunk\r\n", blockUntilClosed)},
		"resumable, closed":               {"/resumable/x", after("", closeWithoutAnswer)},
		"resumable, inside an event":      {"/resumable/x", after("5\r\nid: 1\r\n", closeWithoutAnswer)},
		"resumable, ends inside an event": {"/resumable/x", after("5\r\nid: 1\r\n0\r\n\r\n", closeWithoutAnswer)},
		"resumable, not chunked":          {"/resumable/x", after("no chunk\r\n", blockUntilClosed)},
	} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": c.target}, func(t *testing.T, r *harness) {
				if a := r.call("POST", c.path, "1"); a.status != 502 || a.err != nil || a.retryAfter != "" {
					t.Errorf("%+v after %s", a, r.requests())
				}
			})
		})
	}
}

// Guards against a stream that is refused although it is complete without an event.
func TestEmptyStreamIsComplete(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumable/x"} {
		withTargets(t, map[string]script{"near": func(r *receivedRequest) bool {
			startStream(r)
			_, err := fmt.Fprint(r.conn, "0\r\n\r\n")
			return err == nil
		}}, func(t *testing.T, r *harness) {
			if a := r.call("POST", path, "1"); a.status != 200 || a.body != "" || a.err != nil {
				t.Errorf("%s: %+v", path, a)
			}
		})
	}
}
