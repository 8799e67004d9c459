package pathwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// links are the links from a host to ten targets.
type links struct {
	mu     sync.Mutex
	down   int  // targets that accept no connection
	silent bool // they do not answer, instead of refusing
	dials  atomic.Int64
}

func (l *links) dial(ctx context.Context, addr string) error {
	l.mu.Lock()
	l.dials.Add(1)
	var n int
	_, _ = fmt.Sscan(addr, &n)
	down, silent := n < l.down, l.silent
	l.mu.Unlock()
	switch {
	case !down:
		time.Sleep(3 * time.Millisecond)
		return nil
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.New("refused")
}

func (l *links) set(down int, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.silent = down, silent
}

// start runs a watch until the test calls the function that it returns.
func start(l *links, others *bool) (w *Watch, returned *atomic.Int64, stop func()) {
	returned = new(atomic.Int64)
	w = New(Config{
		Dial: l.dial, OthersReach: func() bool { return *others }, OnReturn: func() { returned.Add(1) },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Addrs: func() (out []string) {
			for i := range 10 {
				out = append(out, fmt.Sprint(i))
			}
			return out
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	return w, returned, func() {
		cancel()
		<-ended
		time.Sleep(time.Second) // until probes have ended
	}
}

// Guards against a cut that is noticed late or not at all, and against a return to the path that is not noticed, or at once for all requests.
func TestCutIsNoticed(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l, others := &links{}, true
			w, returned, stop := start(l, &others)
			defer stop()
			time.Sleep(time.Second)
			l.set(10, silent)
			done := w.Wait() // a request whose link hangs
			if !silent {
				for i := range 3 {
					w.Dialled(fmt.Sprint(i), false)
				}
			}
			time.Sleep(1200 * time.Millisecond)
			if !w.Cut() || !w.Pass() || !w.Doubtful() {
				t.Errorf("silent %v: cut not noticed after 1.2 s", silent)
			}
			l.set(0, false)
			time.Sleep(300 * time.Millisecond) // a probe lasts 250 ms
			passed := 0
			for range 1000 {
				if w.Pass() {
					passed++
				}
			}
			if w.Cut() || returned.Load() != 1 || passed < 300 || passed == 1000 {
				t.Errorf("silent %v: cut %v, %d returns, %d of 1000 requests passed on soon after the end of the cut", silent, w.Cut(), returned.Load(), passed)
			}
			time.Sleep(1500 * time.Millisecond)
			if w.Pass() {
				t.Errorf("silent %v: requests are still passed on", silent)
			}
			done(true)
		})
	}
}

// Guards against targets that are dead or silent, some or all of them, and that have a host taken for cut off.
func TestDeadTargetsAreNoCut(t *testing.T) {
	for name, c := range map[string]struct {
		down   int
		others bool
	}{"most are dead": {9, true}, "all are dead": {10, false}} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				l, others := &links{}, c.others
				w, _, stop := start(l, &others)
				defer stop()
				l.set(c.down, silent)
				defer w.Wait()(false)
				for range 50 {
					for i := range 9 {
						w.Dialled(fmt.Sprint(i), false)
					}
					time.Sleep(100 * time.Millisecond)
					if w.Cut() || w.Pass() {
						t.Fatalf("%s, silent %v: the host is taken for cut off", name, silent)
					}
				}
				if name == "most are dead" && !w.Reaches(t.Context(), "0") {
					t.Errorf("%s, silent %v: no other target reached", name, silent)
				}
			})
		}
	}
}

// Guards against probes of targets that work on requests and send nothing for a while.
func TestQuietTargetsAreProbedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, others := &links{}, true
		w, _, stop := start(l, &others)
		defer stop()
		defer w.Wait()(true)
		time.Sleep(10 * time.Second)
		if l.dials.Load() > 2*firstProbes*10 || w.Doubtful() && w.Cut() {
			t.Errorf("%d probes in 10 s", l.dials.Load())
		}
	})
}
