package relay

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"
)

// stallsInAChunk returns a script that streams the events passed, and then a part of a chunk with the events held.
func stallsInAChunk(passed, held string) script {
	return func(r *receivedRequest) bool {
		startStream(r)
		if passed != "" {
			chunk(r.conn, passed)
		}
		fmt.Fprintf(r.conn, "100\r\n%s", held)
		return blockUntilClosed(r)
	}
}

// Guards against events of a stalled target between those of the target that was asked to send the same ones.
func TestStreamGoesOnWhereItsNextTargetWasAskedTo(t *testing.T) {
	for name, passed := range map[string]string{"begun": event(1), "not begun": ""} {
		t.Run(name, func(t *testing.T) {
			withTargets(t, map[string]script{"near": stallsInAChunk(passed, event(2)+event(3)), "far": func(r *receivedRequest) bool {
				startStream(r)
				chunk(r.conn, "id: 2\ndata: far\n\nid: 3\ndata: far\n\nid: 4\ndata: far\n\n")
				_, err := fmt.Fprint(r.conn, "0\r\n\r\n")
				return err == nil
			}}, func(t *testing.T, r *harness) {
				a := r.call("POST", "/resumable/x", "1")
				if a.err != nil || strings.Count(a.body, "far") != 3 || len(a.body) != len(passed)+3*len("id: 2\ndata: far\n\n") {
					t.Errorf("%+v after %s", a, r.requests())
				}
			})
		})
	}
}

// Guards against an attempt that counts in the load of its target for ever: its caller left before the stream went on there.
func TestTargetThatIsToContinueAStreamIsReleasedWithTheCaller(t *testing.T) {
	var leave func()
	withTargets(t, map[string]script{"near": stallsInAChunk("", event(1)), "far": func(r *receivedRequest) bool {
		leave()
		startStream(r)
		return blockUntilClosed(r)
	}}, func(t *testing.T, r *harness) {
		conn, err := r.ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		leave = func() { _ = conn.Close() }
		fmt.Fprint(conn, "POST /resumable/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi")
		_, _ = bufio.NewReader(conn).ReadByte()
		time.Sleep(10 * time.Second)
		if load := r.balancer.LocalLoads(time.Now()); len(load) > 0 || r.requests() != "near 1, far 1" {
			t.Errorf("%+v after %s", load, r.requests())
		}
	})
}
