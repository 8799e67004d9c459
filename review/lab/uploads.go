package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// Figures of the small site and of its burst.
const (
	memoryLimitMB = 284 // limits.memory_mb
	usualClients  = 54
	burstClients  = 140 // 2.6 times as many: many users come at once
	burstLasts    = 5 * time.Second
	burstPause    = 4 * time.Second
	bursts        = 6
	maxBody       = 4194304 // limits.max_body_bytes
	// The day counts nothing if processes end by themselves three times on a tenth of the machines, two at least.
	allowedEnds     = 2
	allowedMachines = 1
	restartDelay    = 500 * time.Millisecond
	memoryInterval  = 20 * time.Millisecond
)

func init() { cases["uploads"] = uploads }

// uploads: clients with large requests keep their connections. More of them come in bursts.
func uploads() int {
	w, err := newWorld(2)
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.config(1, "key-1")
	for i := range 4 {
		t := &target{id: fmt.Sprint("d-", i), service: "desk", slots: 6, workTime: func() time.Duration { return 30 * time.Millisecond }}
		if err := w.addTarget(t); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.start(); err != nil {
		return cannotRun(err)
	}
	done := make(chan struct{})
	ends := make([]int, len(w.machines))
	var platform, clients sync.WaitGroup
	for i, m := range w.machines {
		platform.Go(func() { ends[i] = w.limitMemory(m, done) })
	}
	end := time.Now().Add(bursts * (burstLasts + burstPause))
	for c := range usualClients {
		clients.Go(func() { w.upload(c, burstLasts, end) })
	}
	if os.Getenv("TROUBLE") != "0" {
		for c := usualClients; c < burstClients; c++ {
			clients.Go(func() {
				for b := range bursts {
					time.Sleep(burstPause)
					from := time.Now()
					w.upload(1000*(b+1)+c, burstLasts, from.Add(burstLasts))
					time.Sleep(time.Until(from.Add(burstLasts)))
				}
			})
		}
	}
	clients.Wait()
	close(done)
	platform.Wait()
	cut, many := 0, 0
	for _, k := range w.calls {
		w.note("%s %s%s at %s: %d bytes, ran at %v; client got status %d, complete %v, error %v", k.sent.Format("15:04:05.000"), k.path, k.id, k.machine,
			k.size, w.ledger.runs[k.id], k.status, k.complete, k.err)
		if !k.complete {
			cut++
		}
	}
	for i, n := range ends {
		w.note("%s: the platform ended the process %d times for its memory", w.machines[i].name, n)
		if n > allowedEnds {
			many++
		}
	}
	w.note("%d of %d requests without a complete answer", cut, len(w.calls))
	if many > allowedMachines {
		w.ledger.fault("Fault: on %d of %d machines the process went over its memory limit %d times or more", many, len(w.machines), allowedEnds+1)
	}
	return w.verdict()
}

// limitMemory does what the platform does: it ends a process whose memory exceeds the limit, and starts it again. It returns how
// often.
func (w *world) limitMemory(m *machine, done <-chan struct{}) (ends int) {
	peak := 0
	for {
		select {
		case <-done:
			w.note("%s: at most %d MB", m.name, peak)
			return ends
		case <-time.After(memoryInterval):
		}
		mb := m.memoryMB()
		peak = max(peak, mb)
		if mb <= memoryLimitMB {
			continue
		}
		w.note("%s %s: %d MB in memory, limit %d; ended", time.Now().Format("15:04:05.000"), m.name, mb, memoryLimitMB)
		ends++
		m.signal(syscall.SIGKILL)
		<-m.ended
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			w.note("%s not started: %v", m.name, err)
			return ends
		}
	}
}

// memoryMB returns the resident memory of the machine's process, rounded down to MiB.
func (m *machine) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// upload is one client: the first request on each of its connections is large, and small ones follow on it.
func (w *world) upload(c int, within time.Duration, end time.Time) {
	time.Sleep(time.Duration(rand.Float64() * 0.8 * float64(within)))
	m := w.machines[c%len(w.machines)]
	var cn *conn
	for n := 0; time.Now().Before(end); n++ {
		q := request{id: fmt.Sprintf("c%dn%d", c, n), method: "POST", path: "/b/", key: "key-1", deadline: 2500 * time.Millisecond, body: 600}
		if cn == nil {
			var err error
			if cn, err = dial(m); err != nil {
				cn = nil
				time.Sleep(500 * time.Millisecond)
				continue
			}
			q.body, q.chunked = maxBody, c/2%2 == 0
		}
		k, keep := cn.do(q)
		w.record(k)
		if !keep {
			cn = nil
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second)))
	}
	if cn != nil {
		_ = cn.Close()
	}
}
