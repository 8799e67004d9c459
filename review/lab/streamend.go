package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Doses of the disruption: those of "answer_lost" on a day of the small site.
const (
	lostTargets = 2   // of 4 servers; "share" 0.5 to 0.6
	lostShare   = 0.3 // of their answers
	lostLasts   = 6 * time.Second
	lostPause   = 4 * time.Second
	lostTimes   = 8
	// allowedLosses is the number of requests that the rule allows.
	allowedLosses = 3
)

func init() { cases["streamend"] = streamEnd }

// streamEnd: servers lose the end of their answers, after the last event of a stream that may be resumed.
func streamEnd() int {
	w, err := newWorld(7)
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.config(1, "key-1")
	var troubled atomic.Bool
	for i := range 4 {
		t := &target{
			id: fmt.Sprint("w-", i), service: "writer", slots: 64, models: []string{"m1"}, events: 13, eventGap: 28 * time.Millisecond,
		}
		if i < lostTargets {
			t.choose = func(*http.Request) behaviour {
				if troubled.Load() && rand.Float64() < lostShare {
					return endLost
				}
				return sound
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
			for range lostTimes {
				time.Sleep(lostPause)
				troubled.Store(true)
				time.Sleep(lostLasts)
				troubled.Store(false)
			}
		}()
	}
	// The site's port-brief (3.73 a second).
	w.load(time.Now().Add(lostTimes*(lostLasts+lostPause)), 3.73, false, func() request {
		return request{method: "POST", path: "/n/", key: "key-1", body: 18000, deadline: 8 * time.Second, model: "m1"}
	})
	lost := 0
	for _, k := range w.calls {
		runs := w.ledger.runs[k.id]
		w.note("%s %s%s at %s: ran at %v; client got status %d, %d events, complete %v, error %v", k.sent.Format("15:04:05.000"),
			k.path, k.id, k.machine, runs, k.status, k.events, k.complete, k.err)
		if n := len(runs); n > 1 && runs[n-1].how == "complete after event 13" && !k.complete && k.use > 0 {
			w.note("LOST %s: %s answered completely, and the client's connection was closed without the end of the answer", k.id, runs[n-1].server)
			lost++
		}
	}
	if lost > allowedLosses {
		w.ledger.fault("LOST %d requests that a sound server had answered, of %d", lost, len(w.calls))
	}
	return w.verdict()
}
