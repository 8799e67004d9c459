package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/passthrough"
)

type protocol struct{ passthrough.Protocol }

func (protocol) ReadAnswer(h *fasthttp.ResponseHeader) passthrough.Answer {
	return passthrough.Answer{ID: string(h.Peek("Id")), Processed: true}
}

// dialTook is the time that a connection to the target takes.
const dialTook = 2 * time.Millisecond

// testTarget accepts connections as its fields say, and counts them.
type testTarget struct {
	dialled   int
	closeIn   time.Duration // time after which it closes a connection unanswered; zero: it answers
	keepAlive string        // header field of its answers
}

func (s *testTarget) dial(context.Context, string) (net.Conn, error) {
	time.Sleep(dialTook)
	s.dialled++
	client, server := net.Pipe()
	if s.closeIn > 0 {
		time.AfterFunc(s.closeIn, func() { _ = server.Close() })
	}
	go func() {
		br := bufio.NewReader(server)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if s.closeIn == 0 {
				fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), s.keepAlive)
			}
		}
	}()
	return client, nil
}

func do(t *testing.T, c *Client, runOnce bool) (Outcome, error) {
	t.Helper()
	a, outcome, err := c.Do(t.Context(), &Request{
		Addr: "a", ID: "1", Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\n"), Method: "POST", Body: []byte("x"),
		RunOnce: runOnce,
	})
	if err == nil {
		_, err = a.ReadAll()
	}
	return outcome, err
}

// Guards against a request that certainly did not run and is reported as one that may have, because its target closed the
// new connection for being above its limit; and against the opposite for a connection that is closed later.
func TestConnectionAboveTheTargetsLimitHasNotRunTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		closeIn time.Duration
		runOnce bool
		outcome Outcome
		refused int
	}{
		"run once, closed at once":   {time.Millisecond, true, NotSent, 1},
		"run once, closed at work":   {30 * time.Millisecond, true, Unknown, 0},
		"repeatable, closed at once": {time.Millisecond, false, Unknown, 1},
		"repeatable, closed at work": {30 * time.Millisecond, false, Unknown, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			refused := 0
			target := &testTarget{closeIn: c.closeIn}
			client := NewClient(Config{Protocol: protocol{}, Dial: target.dial, OnRefused: func(addr string, open int) {
				refused++
				if addr != "a" || open != 1 {
					t.Errorf("%s: refused at %s with %d open connections", name, addr, open)
				}
			}})
			outcome, err := do(t, client, c.runOnce)
			if outcome != c.outcome || refused != c.refused || err == nil {
				t.Errorf("%s: %v, refused %d times, error %v", name, outcome, refused, err)
			}
			if errors.Is(err, httpconn.ErrRefused) != (c.refused > 0) {
				t.Errorf("%s: error %v", name, err)
			}
		})
	}
}

// Guards against a new connection for each request that must run once: they hold slots of the target, and stay open until
// the host has as many as it may. After a pause the target may have died, which only a new connection tells.
func TestRunOnceRequestReusesOnlyAConnectionUsedRecently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &testTarget{}
		client := NewClient(Config{Protocol: protocol{}, Dial: target.dial})
		for i, pause := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
			time.Sleep(pause)
			if outcome, err := do(t, client, true); outcome != Answered || err != nil || target.dialled != 1 {
				t.Errorf("request %d: %v %v on connection %d", i, outcome, err, target.dialled)
			}
		}
		time.Sleep(runOnceMaxIdle)
		if outcome, err := do(t, client, true); outcome != Answered || err != nil || target.dialled != 2 {
			t.Errorf("after a pause: %v %v on connection %d, want a second one", outcome, err, target.dialled)
		}
		time.Sleep(runOnceMaxIdle)
		if outcome, err := do(t, client, false); outcome != Answered || err != nil || target.dialled != 2 {
			t.Errorf("repeatable: %v %v on connection %d, want a pooled one", outcome, err, target.dialled)
		}
		time.Sleep(time.Minute) // lets the pool close its connections
	})
}

// Guards against requests that cross the close of an idle connection, whose timeout the target states.
func TestStatedIdleTimeoutIsObserved(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"timeout=10": 10 * time.Second, "timeout=1, max=5": time.Second, "max=5,timeout=3": 3 * time.Second, "": 0,
		"timeout=": 0, "timeout=-1": 0, "timeout=x": 0, "timeout=99999999999999999999": 0,
	} {
		var h fasthttp.ResponseHeader
		h.Set("Keep-Alive", field)
		if got := keepAlive(&h); got != want {
			t.Errorf("%q: %v, want %v", field, got, want)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		target := &testTarget{keepAlive: "Keep-Alive: timeout=1\r\n"}
		client := NewClient(Config{Protocol: protocol{}, Dial: target.dial})
		for range 2 {
			if outcome, err := do(t, client, false); outcome != Answered || err != nil {
				t.Errorf("%v %v", outcome, err)
			}
			time.Sleep(900 * time.Millisecond)
		}
		if target.dialled != 2 {
			t.Errorf("%d connections: a connection was reused 100 ms before its target closes it", target.dialled)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against answers that hold up a caller, or fill the memory, because their bytes do not end: in the header, in the
// body, in informational responses, or after the last chunk; and against one whose trailer doesn't end and that counts as whole.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		start, repeat string
		pause         time.Duration
		body          string // of the answer if it is complete
		within        time.Duration
		most          int // bytes that the target can send
	}{
		"header":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n", 0, "", time.Second, 16 << 10},
		"header line":   {"HTTP/1.1 200 OK\r\nA: ", "bbbbbbbb", 0, "", time.Second, 16 << 10},
		"informational": {"", "HTTP/1.1 102 Processing\r\n\r\n", 0, "", time.Second, 16 << 10},
		"body":          {chunked, "4\r\nabcd\r\n", 0, "", time.Second, 3 * maxBodyBytes},
		"extension":     {chunked + "4;", "xxxxxxxx", 0, "", time.Second, 16 << 10},
		"trailer":       {chunked + "2\r\nok\r\n0\r\n", "A: b\r\n", 0, "", time.Second, 16 << 10},
		"drip":          {chunked + "2\r\nok\r\n0\r\n", "A: b\r\n", 40 * time.Millisecond, "", 1500 * time.Millisecond, 16 << 10},
		"cut trailer":   {chunked + "2\r\nok\r\n0\r\nA: b", "b", 2500 * time.Millisecond, "", 2100 * time.Millisecond, 16 << 10},
		"whole trailer": {chunked + "2\r\nok\r\n0\r\nA: b\r\n\r\n", "b", 2500 * time.Millisecond, "ok", 100 * time.Millisecond, 16 << 10},
	} {
		synctest.Test(t, func(t *testing.T) {
			var sent atomic.Int64
			dial := func(context.Context, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					r, err := http.ReadRequest(bufio.NewReader(server))
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					for text := c.start; ; text = c.repeat {
						n, err := fmt.Fprint(server, text)
						if sent.Add(int64(n)); err != nil {
							return
						}
						time.Sleep(c.pause)
					}
				}()
				return client, nil
			}
			client := NewClient(Config{Protocol: protocol{}, Dial: dial})
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			a, _, err := client.Do(ctx, &Request{
				Addr: "a", ID: "1", Head: []byte("POST / HTTP/1.1\r\nHost: h\r\n"), Method: "POST", Body: []byte("x"),
			})
			body := ""
			if err == nil {
				var b []byte
				b, err = a.ReadAll()
				body = string(b)
			}
			if took := time.Since(began); body != c.body || (err == nil) != (c.body != "") || took > c.within {
				t.Errorf("%s: %d bytes, %v after %v", name, len(body), err, took)
			}
			client.pool.CloseIdle()
			time.Sleep(time.Second + c.pause) // lets the target notice the close
			if n := int(sent.Load()); n > c.most {
				t.Errorf("%s: the target could send %d bytes, at most %d are to be read", name, n, c.most)
			}
		})
	}
}

// Guards against a target that has crashed and counts as alive because an idle connection to it has not been reset yet.
func TestIdleConnectionDoesNotHideACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &testTarget{}
		crashed := false
		c := NewClient(Config{Protocol: protocol{}, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			if crashed {
				return nil, syscall.ECONNREFUSED
			}
			return s.dial(ctx, addr)
		}})
		if _, err := do(t, c, false); err != nil || !c.HasIdle("a") {
			t.Fatalf("%v, idle connection %v", err, c.HasIdle("a"))
		}
		for _, want := range []bool{false, true} {
			crashed = want
			if down, err := c.IsDown(t.Context(), "a"); err != nil || down != want {
				t.Errorf("down %v, %v, want %v", down, err, want)
			}
		}
		c.pool.CloseIdle()
	})
}
