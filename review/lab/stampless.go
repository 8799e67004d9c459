package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// Doses of the disruption: those of the bench's "garble" on the small site, in its longest form.
const (
	garbleTargets = 2    // of 4 servers; "share (.5)" in the list of kinds
	garbleShare   = 0.02 // of their answers; "x (.02)"
	garbleLasts   = 5500 * time.Millisecond
	garblePause   = 3500 * time.Millisecond
	garbleTimes   = 9
)

func init() { cases["stampless"] = stampless }

// stampless: servers in trouble send bytes that are no answer, which begin like one.
func stampless() int {
	w, err := newWorld(7)
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.config(1, "key-1")
	var mu sync.Mutex
	troubled := false
	garbled := map[string]bool{}
	for i := range 4 {
		t := &target{id: fmt.Sprint("d-", i), service: "desk", slots: 6, workTime: func() time.Duration { return 30 * time.Millisecond }}
		if i < garbleTargets {
			t.choose = func(r *http.Request) behaviour {
				mu.Lock()
				defer mu.Unlock()
				if !troubled || rand.Float64() >= garbleShare {
					return sound
				}
				garbled[r.Header.Get(headerID)] = true
				return headless
			}
		}
		if err := w.addTarget(t); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.start(); err != nil {
		return cannotRun(err)
	}
	if os.Getenv("TROUBLE") != "0" {
		go func() {
			for range garbleTimes {
				time.Sleep(garblePause)
				mu.Lock()
				troubled = true
				mu.Unlock()
				time.Sleep(garbleLasts)
				mu.Lock()
				troubled = false
				mu.Unlock()
			}
		}()
	}
	// The site's siren-order (15.5 a second) and strike-lookup (8 a second).
	w.load(time.Now().Add(garbleTimes*(garbleLasts+garblePause)), 24, false, func() request {
		if rand.Float64() < 0.66 {
			return request{method: "POST", path: "/b/", key: "key-1", body: 600, deadline: 2500 * time.Millisecond}
		}
		return request{method: "GET", path: "/r/", key: "key-1", deadline: 2500 * time.Millisecond}
	})
	w.note("%d requests, %d answers replaced by bytes that are no answer", len(w.calls), len(garbled))
	for _, k := range w.calls {
		sent := "answer"
		if garbled[k.id] {
			sent = "bytes that are no answer"
		}
		w.note("%s %s%s at %s: ran at %v, first server sent %s; client got status %d, stamp %q, complete %v, body %.40q", k.sent.Format("15:04:05.000"),
			k.path, k.id, k.machine, w.ledger.runs[k.id], sent, k.status, k.stamp, k.complete, k.body)
	}
	return w.verdict()
}
