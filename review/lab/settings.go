package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// Times of the case.
const (
	configApply   = 2000 * time.Millisecond // bounds.config_apply_ms
	stable        = 3000 * time.Millisecond // bounds.stable_ms
	beforeSignal  = 5 * time.Second
	oldAddrServes = 10 * time.Second // after SIGHUP, both addresses of the store are served
	afterOldAddr  = 5 * time.Second  // until the operator changes the configuration
	afterChange   = 20 * time.Second
)

func init() { cases["settings"] = settings }

// settings: the settings file changes, with SIGHUP: the store has another address.
func settings() int {
	w, err := newWorld(3)
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.config(1, "key-1", "key-2")
	for i := range 4 {
		t := &target{id: fmt.Sprint("d-", i), service: "desk", slots: 6, workTime: func() time.Duration { return 30 * time.Millisecond }}
		if err := w.addTarget(t); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.start(); err != nil {
		return cannotRun(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		w.load(time.Now().Add(beforeSignal+oldAddrServes+afterOldAddr+afterChange), 24, false, func() request {
			return request{method: "GET", path: "/r/", key: fmt.Sprint("key-", 1+rand.IntN(2)), deadline: 2500 * time.Millisecond}
		})
	})
	time.Sleep(beforeSignal)
	var old []*entrance
	for _, m := range w.machines {
		if os.Getenv("TROUBLE") != "0" {
			old = append(old, m.store)
			if m.store, err = w.store.entrance(); err != nil {
				return cannotRun(err)
			}
		}
		if err := m.writeSettings(); err != nil {
			return cannotRun(err)
		}
		m.signal(syscall.SIGHUP)
	}
	w.note("%s settings files written, SIGHUP sent; the store is at %s", time.Now().Format("15:04:05.000"), w.machines[0].store.addr)
	time.Sleep(oldAddrServes)
	for _, e := range old {
		e.close()
	}
	w.note("%s the store's former addresses are closed", time.Now().Format("15:04:05.000"))
	time.Sleep(afterOldAddr)
	w.config(2, "key-1")
	acked := time.Now()
	w.note("%s version 2, without key-2, acknowledged", acked.Format("15:04:05.000"))
	all.Wait()
	for _, k := range w.calls {
		w.note("%s %s%s at %s with %s: ran at %v, status %d", k.sent.Format("15:04:05.000"), k.path, k.id, k.machine, k.key, w.ledger.runs[k.id], k.status)
		if late := k.sent.Sub(acked); k.key == "key-2" && late > configApply+stable && len(w.ledger.runs[k.id]) > 0 {
			k.fault = fmt.Sprintf("CONFIG sent %.1f s after the acknowledgement with a dropped key, and has run", late.Seconds())
		}
	}
	return w.verdict()
}
