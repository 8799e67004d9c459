package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is a deployment of entry hosts with a stand-in of the store.
type lab struct {
	rec     *record
	dir     string
	trouble bool
	store   *store
	drain   time.Duration // drain_ms of the site, and config_apply_ms

	mu     sync.Mutex
	closed bool    // guarded by mu; no further process is started
	hosts  []*host // written with mu
}

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

var scenarios = map[string]func(*lab) error{
	"late-order":    lateOrder,
	"second-answer": secondAnswer,
	"born-back":     bornBack,
	"cut-watch":     cutWatch,
	"removed-again": removedAgain,
}

func main() { os.Exit(run()) }

// run plays the scenario that the first argument names, and writes the record to the file that the second one names.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 SCENARIO RECORD, with ENTRY set to the path of cuminhook-entry")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l := &lab{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", drain: drainBound}
	defer l.close()
	l.stopOnSignal()
	l.store = newStore(rec)
	err = scenarios[os.Args[1]](l)
	switch {
	case errors.Is(err, errBroken):
		rec.printf("BROKEN: %v", err)
		fmt.Println("broken:", err)
		return exitBroken
	case err != nil:
		rec.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// timeLimit is the longest time that a scenario may take.
const timeLimit = 100 * time.Second

// stopOnSignal ends the processes and the scenario if it takes too long or is stopped from outside.
func (l *lab) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		l.rec.printf("not run: stopped")
		l.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes that the lab has started, and keeps their logs if KEEP_LOGS names a directory.
func (l *lab) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, h := range l.hosts {
		h.signal(syscall.SIGKILL)
		h.wait()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if text, err := os.ReadFile(h.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(l.dir)
}

// startHosts starts entry hosts and waits until they are ready.
func (l *lab) startHosts(names ...string) error {
	for _, name := range names {
		addr, err := l.store.addr()
		if err != nil {
			return err
		}
		h, err := newHost(l.rec, l.dir, name, addr, l.drain)
		if err != nil {
			return err
		}
		if err := l.add(h); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// add starts a host.
func (l *lab) add(h *host) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.New("stopped")
	}
	if err := h.start(); err != nil {
		return err
	}
	l.hosts = append(l.hosts, h)
	return nil
}

// host returns the host of the name.
func (l *lab) host(name string) *host {
	for _, h := range l.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
