package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// call is one request of a client and how it ended.
type call struct {
	id, path, key, machine string
	sent, ended            time.Time
	status                 int
	body, stamp            string
	complete               bool
	events                 int    // whole events of a stream
	use                    int    // requests before it on its connection
	size                   int    // of the body of the request
	fault                  string // what breaks a rule in the answer itself
	err                    error
}

// conn is a client's connection to a machine.
type conn struct {
	net.Conn
	machine string
	br      *bufio.Reader
	uses    int // requests sent
	lastUse time.Time
}

func dial(m *machine) (*conn, error) {
	c, err := net.DialTimeout("tcp", m.addrs[0], time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, machine: m.name, br: bufio.NewReader(c), lastUse: time.Now()}, nil
}

// request is what a client sends.
type request struct {
	id, method, path, key string
	deadline              time.Duration
	body                  int    // bytes
	model                 string // of a stream
	chunked               bool   // the body is sent in chunks
}

// chunkBytes is the size of the chunks of a body without a stated length.
const chunkBytes = 32 << 10

// do sends a request and reads the answer. It reports whether the connection can be used again, and else closes it.
func (c *conn) do(r request) (*call, bool) {
	k := &call{id: r.id, path: r.path, key: r.key, machine: c.machine, sent: time.Now(), use: c.uses, size: r.body}
	c.uses++
	keep, err := c.exchange(k, r)
	k.ended, k.err = time.Now(), err
	c.lastUse = k.ended
	if !keep {
		_ = c.Close()
	}
	return k, keep
}

func (c *conn) exchange(k *call, r request) (keep bool, err error) {
	if c.br.Buffered() > 0 {
		k.fault = "MIXED bytes on a connection with no request waiting"
		return false, errors.New("stray bytes")
	}
	var s strings.Builder
	fmt.Fprintf(&s, "%s %sx HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nCuminhook-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		r.method, r.path, headerID, r.id, r.deadline.Milliseconds(), r.key)
	if r.model != "" {
		fmt.Fprintf(&s, "Cuminhook-Model: %s\r\nCuminhook-Token-Counts: 9190,52\r\nCuminhook-Prompt-Prefix: a1:2520,a2:3780,%x:2890\r\n", r.model, r.id)
	}
	body := bodyOf(r.id, r.body)
	switch {
	case r.chunked:
		s.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for chunk := range slices.Chunk([]byte(body), chunkBytes) {
			fmt.Fprintf(&s, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		s.WriteString("0\r\n\r\n")
	case r.method == http.MethodPost:
		fmt.Fprintf(&s, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		s.WriteString("\r\n")
	}
	if err := c.SetDeadline(time.Now().Add(r.deadline)); err != nil {
		return false, err
	}
	if _, err := io.WriteString(c, s.String()); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return false, err
	}
	got, err := io.ReadAll(resp.Body)
	k.status, k.stamp, k.body, k.complete = resp.StatusCode, resp.Header.Get(headerStamp), string(got), err == nil
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		k.countEvents()
	} else if k.complete && k.status/100 == 2 {
		switch id := resp.Header.Get(headerID); {
		case k.stamp == "":
			k.fault = "MIXED success without a stamp"
		case id != k.id:
			k.fault = "MIXED answer to " + id
		case stampOf(k.id, k.body) != k.stamp:
			k.fault = "MIXED body that isn't the server's"
		}
	}
	return err == nil && !resp.Close, err
}

// countEvents counts the events of a stream, and notes one that is not due.
func (k *call) countEvents() {
	rest := k.body
	for {
		next := eventOf(k.id, k.events+1)
		if !strings.HasPrefix(rest, next) {
			break
		}
		rest = rest[len(next):]
		k.events++
	}
	if strings.Contains(rest, "\n\n") {
		k.fault = fmt.Sprintf("ORDER after event %d comes %.40q", k.events, rest)
	}
}
