package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Figures of the small site.
const (
	briefsPerS    = 3.73 // port-brief
	briefBurst    = 2.6  // times as many, for briefBurstFor
	briefBurstFor = 5 * time.Second
	briefPatience = 6 * time.Second // of a client, until the first event
	briefDeadline = 8 * time.Second
	queueSlots    = 6 // of dispatch-app
	queueLength   = 24
	queueEvents   = 73 // of push-alert
	grace         = 8 * time.Second
	lossSlack     = 200 * time.Millisecond
	stops         = 3
	calm          = 10 * time.Second // between a stop and the next burst
	// termIntoBurst has the burst end just before a stopping machine takes no further connections.
	termIntoBurst = 2100 * time.Millisecond
)

func init() { cases["stopqueue"] = stopQueue }

// queueing is a stand-in of a server with slots and a queue, from which requests begin in the order in which they came.
type queueing struct {
	target
	free chan struct{} // a token for each free slot

	mu       sync.Mutex
	waiting  int
	passages map[string]*passage // by request
}

// passage is what a server has seen of a request.
type passage struct{ came, began, ended time.Time }

func (e *queueing) passage(id string) *passage {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.passages[id] == nil {
		e.passages[id] = &passage{}
	}
	return e.passages[id]
}

func (e *queueing) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// serve answers the requests of a connection.
func (e *queueing) serve(conn net.Conn) {
	defer conn.Close()
	br, bw := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch {
		case r.Header.Get(headerExpect) != e.id:
			answer(bw, http.StatusMisdirectedRequest, headerInstance+": "+e.id+"\r\n", "")
		case r.URL.Path == "/report":
			e.report(bw)
		case r.URL.Path == "/order":
			answer(bw, http.StatusConflict, "", "")
		default:
			p := e.passage(r.Header.Get(headerID))
			e.set(func() {
				if p.came.IsZero() {
					p.came = time.Now()
				}
			})
			full := false
			e.set(func() {
				if full = e.waiting >= queueLength; !full {
					e.waiting++
				}
			})
			if full {
				answer(bw, http.StatusServiceUnavailable, headerID+": "+r.Header.Get(headerID)+"\r\nCuminhook-Not-Run: 1\r\n", "")
				break
			}
			<-e.free
			e.set(func() { e.waiting-- })
			kept := !isClosed(conn, br) // else the sender has left, and the request is dropped before it begins to run
			if kept {
				e.set(func() { p.began = time.Now() })
				kept = e.stream(bw, r, e.ledger.addRun(r.Header.Get(headerID), e.id))
				e.set(func() { p.ended = time.Now() })
			}
			e.free <- struct{}{}
			if !kept {
				return
			}
		}
		if bw.Flush() != nil {
			return
		}
	}
}

// isClosed reports whether the peer has closed a connection on which nothing is due.
func isClosed(conn net.Conn, br *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // an error shows in Peek
	_, err := br.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// stopQueue: machines are stopped while requests wait at a server.
func stopQueue() int {
	w, err := newWorld(2)
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.config(1, "key-1")
	e := &queueing{free: make(chan struct{}, queueSlots), passages: map[string]*passage{}, target: target{
		id: "w-0", service: "writer", slots: queueSlots, models: []string{"m1"}, events: queueEvents, eventGap: 24 * time.Millisecond,
		ledger: w.ledger, store: w.store, zone: "z",
	}}
	for range queueSlots {
		e.free <- struct{}{}
	}
	if err := startServer(&e.target, e.serve); err != nil {
		return cannotRun(err)
	}
	if err := w.start(); err != nil {
		return cannotRun(err)
	}
	brief := func() request {
		return request{method: "POST", path: "/n/", key: "key-1", body: 18000, deadline: briefDeadline, model: "m1"}
	}
	var all sync.WaitGroup
	terms := map[string][]time.Time{}
	for i := range stops {
		m := w.machines[i%len(w.machines)]
		burstEnd := time.Now().Add(3*time.Second + briefBurstFor)
		all.Go(func() { w.load(burstEnd, briefsPerS, true, brief) })
		time.Sleep(3 * time.Second)
		all.Go(func() { w.load(burstEnd, briefsPerS*(briefBurst-1), true, brief) })
		time.Sleep(termIntoBurst)
		if os.Getenv("TROUBLE") != "0" {
			w.note("%s SIGTERM to %s", time.Now().Format("15:04:05.000"), m.name)
			terms[m.name] = append(terms[m.name], time.Now())
			m.signal(syscall.SIGTERM)
			<-m.ended
			if err := m.start(); err != nil {
				return cannotRun(err)
			}
		}
		time.Sleep(calm)
	}
	all.Wait()
	for _, k := range w.calls {
		p := e.passages[k.id]
		if p == nil {
			p = &passage{}
		}
		since := func(t time.Time) string {
			if t.IsZero() {
				return "never"
			}
			return fmt.Sprintf("after %.2f s", t.Sub(k.sent).Seconds())
		}
		w.note("%s %s%s at %s: came to the server %s, began to run %s, ended %s; client: status %d, complete %v, %v, error %v", k.sent.Format("15:04:05.000"), k.path, k.id,
			k.machine, since(p.came), since(p.began), since(p.ended), k.status, k.complete, since(k.ended), k.err)
		took := k.ended.Sub(k.sent)
		for _, t := range terms[k.machine] {
			stopping := k.ended.After(t) && k.sent.Before(t.Add(grace+time.Second)) && k.ended.Before(t.Add(grace+time.Second))
			passedOn := !p.came.IsZero()
			atWork := !p.began.IsZero() && (p.ended.IsZero() || p.ended.After(t.Add(grace*5/6)))
			if stopping && !k.complete && (passedOn || took > lossSlack) && !atWork && took < briefPatience {
				k.fault = fmt.Sprintf("LOST sent %.2f s after SIGTERM, cut without an answer %.2f s after it; it waited in the queue of a sound server", k.sent.Sub(t).Seconds(), k.ended.Sub(t).Seconds())
			}
		}
	}
	return w.verdict()
}
