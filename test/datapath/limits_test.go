package datapath

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/gateway"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Guards against callers that occupy connections and memory. Bodies and headers above the limits, and requests that
// arrive slowly, must be refused as not run and reach no target.
func TestOversizedAndSlowRequestsAreRefused(t *testing.T) {
	limit := func(c *gateway.Config) { c.Limits.MaxBody, c.Limits.MaxHeader = 1000, 2000 }
	runInBubble(t, engines.Config{}, limit, func(env *testEnv) {
		for name, c := range map[string]struct {
			raw    string
			status int
			reason string
		}{
			"long body":   {"POST /siren HTTP/1.1\r\nHost: a\r\n" + bearer + "\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("a", 1001), 413, "body_too_large"},
			"chunked":     {"POST /siren HTTP/1.1\r\nHost: a\r\n" + bearer + "\r\nTransfer-Encoding: chunked\r\n\r\n3ea\r\n" + strings.Repeat("a", 1002) + "\r\n0\r\n\r\n", 413, "body_too_large"},
			"long header": {"GET /siren HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 2000) + "\r\n\r\n", 431, "bad_request"},
			"no HTTP":     {"siren\r\n\r\n", 400, "bad_request"},
			"slow header": {"GET /siren HTTP/1.1\r\nHost:", 408, "request_timeout"},
			"slow body":   {"POST /siren HTTP/1.1\r\nHost: a\r\n" + bearer + "\r\nContent-Length: 10\r\n\r\nabc", 408, "request_timeout"},
		} {
			conn, err := env.ln["gw"].Dial()
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			go func() { _, _ = conn.Write([]byte(c.raw)) }()
			var resp fasthttp.Response
			err = resp.Read(bufio.NewReader(conn))
			a := answer{status: resp.StatusCode(), body: string(resp.Body())}
			e := a.refusal().Error
			if err != nil || a.status != c.status || e.Reason != c.reason || e.Run != "not_run" || e.Remedy == "" {
				t.Errorf("%s: %v %+v", name, err, a)
			}
			if took := time.Since(start); took > 11*time.Second {
				t.Errorf("%s: took %s", name, took)
			}
			_ = conn.Close()
		}
		if sent, _ := env.sentAndLogged(); sent != "" {
			t.Errorf("a target received %q", sent)
		}
	})
}

// Guards against a caller that stops reading and thereby occupies a batch slot of an engine and memory of a gateway.
func TestCallerThatStopsReadingIsCut(t *testing.T) {
	runInBubble(t, engines.Config{DecodeTokensPerSecond: 20}, nil, func(env *testEnv) {
		c, err := env.ln["gw"].Dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		body := chat("slow", true)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: gw\r\n%s\r\nContent-Length: %d\r\n\r\n%s", bearer, len(body), body)
		// The engine generates all events within 1 s, and the connection buffers only a few of them. The server's
		// write timeout for whole responses is 10 s, so it cannot be the cause of an earlier end.
		time.Sleep(8 * time.Second) // virtual
		if n := env.counter("cuminhook_requests_open"); n != 0 {
			t.Errorf("%d requests still open", n)
		}
	})
}

// Guards against callers that occupy all connections. Callers above a limit must get a refusal with a reason, and a
// closed connection must free capacity for another one.
func TestConnectionLimits(t *testing.T) {
	for name, limit := range map[string]func(*gateway.Config){
		"all":         func(c *gateway.Config) { c.Limits.MaxConns = 3 },
		"per address": func(c *gateway.Config) { c.Limits.MaxConnsPerIP = 3 },
	} {
		runInBubble(t, engines.Config{}, limit, func(env *testEnv) {
			var held []net.Conn
			for range 3 {
				c, err := env.ln["gw"].Dial()
				if err != nil {
					t.Fatal(err)
				}
				held = append(held, c)
				if a := exchange(c, "GET", "/open/a", ""); a.status != 200 {
					t.Errorf("%s: %+v", name, a)
				}
			}
			for range 2 {
				if a := env.call("GET", "/open/a", ""); a.status != 503 || a.refusal().Error.Reason != "queue_full" || a.refusal().Error.Run != "not_run" {
					t.Errorf("%s: above the limit: %+v", name, a)
				}
			}
			_ = held[0].Close()
			time.Sleep(time.Second) // virtual
			if a := env.call("GET", "/open/a", ""); a.status != 200 {
				t.Errorf("%s: after a close: %+v", name, a)
			}
			for _, c := range held {
				_ = c.Close()
			}
		})
	}
}

// Guards against slow callers whose bodies, each below the limit of a body, together fill the memory. Small requests
// must still be served, and the memory must be available again once the large requests have ended.
func TestBodiesOfAllCallersAreBounded(t *testing.T) {
	limit := func(c *gateway.Config) { c.Limits.MaxBuffered = 1 << 20 }
	runInBubble(t, engines.Config{}, limit, func(env *testEnv) {
		large := strings.Repeat("a", 500_000)
		call := func() answer { return env.call("POST", "/open/a", large) }
		if a := call(); a.status != 200 {
			t.Errorf("alone: %+v", a)
		}
		var slow []net.Conn
		for range 2 {
			c, err := env.ln["gw"].Dial()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST /open/a HTTP/1.1\r\nHost: a\r\nContent-Length: 500001\r\n\r\n%s", large)
			slow = append(slow, c)
		}
		time.Sleep(time.Second) // virtual
		if a := call(); a.status != 503 || a.refusal().Error.Reason != "queue_full" || a.refusal().Error.Run != "not_run" {
			t.Errorf("beside two slow callers: status %d, %s", a.status, a.body)
		}
		if a := env.call("POST", "/open/a", large[:1000]); a.status != 200 {
			t.Errorf("small: %+v", a)
		}
		fmt.Fprint(slow[0], "a")
		_ = slow[1].Close()
		time.Sleep(time.Second)
		for range 5 {
			if a := call(); a.status != 200 {
				t.Errorf("afterwards: status %d, %s", a.status, a.body)
			}
		}
		_ = slow[0].Close()
	})
}
