package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainRun is a request that a plain server runs.
type plainRun struct {
	id       string
	at       time.Time
	finished bool
}

// plain is a stand-in of a server of a plain service, which may start again under its id.
type plain struct {
	rec     *record
	store   *store
	id      string
	service string
	addr    string
	work    time.Duration
	quiet   bool // the entry is not written again while only its seq would change

	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]bool
	up     bool
	state  string
	born   int64
	beat   int64
	start  int // number of the start
	runs   []*plainRun
	leaves time.Time // when the store had accepted that it is draining
}

func newPlain(rec *record, st *store, id, service string) (*plain, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	return &plain{rec: rec, store: st, id: id, service: service, addr: addr, ln: ln, work: 30 * time.Millisecond}, err
}

// begin starts the server. Its clock is ahead of the true time by a step, which born shows.
func (p *plain) begin(ahead time.Duration) error {
	p.mu.Lock()
	ln, again := p.ln, p.start > 0
	p.mu.Unlock()
	if again {
		var err error
		if ln, err = net.Listen("tcp", p.addr); err != nil {
			return err
		}
	}
	p.mu.Lock()
	p.ln, p.conns, p.up, p.state, p.beat = ln, map[net.Conn]bool{}, true, "ready", 0
	p.born = time.Now().Add(ahead).UnixMilli()
	p.start++
	start := p.start
	p.mu.Unlock()
	p.rec.printf("%s: start %d, born %d", p.id, start, p.born)
	go p.accept(ln)
	if p.quiet {
		p.writeEntry(start)
		return nil
	}
	go func() {
		for p.writeEntry(start) {
			time.Sleep(beatInterval)
		}
	}()
	return nil
}

// writeEntry writes the server's entry, and returns false if this start has ended.
func (p *plain) writeEntry(start int) bool {
	p.mu.Lock()
	if !p.up || p.start != start {
		p.mu.Unlock()
		return false
	}
	p.beat++
	entry := map[string]any{
		"service": p.service, "address": p.addr, "zone": "palermo", "version": "v1", "slots": 6, "state": p.state, "cold_left_ms": 0,
		"seq": p.beat, "born": p.born,
	}
	p.mu.Unlock()
	return p.store.put("servers/"+p.id, entry) == nil
}

// crash ends the server without a word.
func (p *plain) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = false
	_ = p.ln.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	p.rec.printf("%s: ends", p.id)
}

// drain reports that the server leaves.
func (p *plain) drain() {
	p.mu.Lock()
	p.state = "draining"
	start := p.start
	p.mu.Unlock()
	p.writeEntry(start)
	p.mu.Lock()
	p.leaves = time.Now()
	p.mu.Unlock()
	p.rec.printf("%s: the store has accepted that it is draining", p.id)
}

// remove has the entry removed. The server serves on.
func (p *plain) remove() {
	p.mu.Lock()
	p.start++ // writes no further entry
	p.mu.Unlock()
	p.store.remove("servers/" + p.id)
	p.mu.Lock()
	p.leaves = time.Now()
	p.mu.Unlock()
	p.rec.printf("%s: the store has removed its entry", p.id)
}

// leave ends the server as planned, and removes its entry.
func (p *plain) leave() {
	p.crash()
	p.store.remove("servers/" + p.id)
}

func (p *plain) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.up {
			p.conns[c] = true
		}
		p.mu.Unlock()
		go p.serve(c)
	}
}

func (p *plain) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get("Cuminhook-Attempt-Id")
		head := "Cuminhook-Attempt-Id: " + id + "\r\n"
		if want := r.Header.Get("Cuminhook-Expect-Instance"); want != "" && want != p.id {
			if _, err := c.Write(text(http.StatusMisdirectedRequest, head+"Cuminhook-Instance-Id: "+p.id+"\r\n", nil)); err != nil {
				return
			}
			continue
		}
		run := &plainRun{id: id, at: time.Now()}
		p.mu.Lock()
		p.runs = append(p.runs, run)
		leaving := p.state == "draining"
		p.mu.Unlock()
		p.rec.printf("%s: runs %s", p.id, id)
		time.Sleep(p.work)
		if leaving {
			head += "Connection: close\r\n"
		}
		if _, err := c.Write(text(http.StatusOK, head+"Cuminhook-Server-Stamp: "+p.id+"."+id+"\r\n", []byte("done "+id))); err != nil {
			p.rec.printf("%s: %s broken off", p.id, id)
			return
		}
		p.mu.Lock()
		run.finished = true
		p.mu.Unlock()
		if leaving {
			return
		}
	}
}

// late returns the requests that reached the server later than a bound after the store had accepted that it is draining.
func (p *plain) late(bound time.Duration) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if !p.leaves.IsZero() && r.at.Sub(p.leaves) > bound {
			ids = append(ids, fmt.Sprintf("%s (%.1f s after, answered %t)", r.id, r.at.Sub(p.leaves).Seconds(), r.finished))
		}
	}
	return ids
}

// plainCount is the number of plain servers. One of them is a share of 0.125, below that of every disruption and planned work used here.
const plainCount = 8

// plainServers returns the servers of the plain service, none of them started.
func (l *lab) plainServers(quiet bool) (out []*plain, err error) {
	for i := range plainCount {
		p, err := newPlain(l.rec, l.store, fmt.Sprintf("i-%c", 'a'+i), "dispatch-app")
		if err != nil {
			return nil, err
		}
		p.quiet = quiet
		out = append(out, p)
	}
	return out, nil
}
