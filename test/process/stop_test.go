//go:build linux

package process

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	services "cuminhook.org/cuminhook/lib/standin/service"
)

// Guards against a planned stop that cuts requests: streams and calls that are open when the gateway is told to stop,
// and those on connections that it accepts until it closes its listener.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	const stopped = 1
	r := newRig(t, engineArgs{"--capacity", "100", "--slots", "64"})
	m := model("kestrel", 10, 1)
	r.accept(first(m))
	r.reachable(m)
	for _, addr := range r.services {
		r.fault(addr+services.PathFaults, services.Faults{Delay: 500 * time.Millisecond})
	}

	var mu sync.Mutex
	var told time.Time // guarded by mu; zero before the stop
	counts := map[string]int{}
	refused := make(chan struct{}) // closed once the listener is closed
	var once sync.Once
	var load sync.WaitGroup
	start := time.Now()
	for n := range 24 {
		load.Go(func() {
			for k := 0; time.Since(start) < settle; k++ {
				select {
				case <-refused:
					return
				default:
				}
				began := time.Now()
				var a answer
				kind := []string{"stream", "whole", "call"}[n%3]
				switch kind {
				case "stream":
					a = r.ask(stopped, key, chatPath, chat(m.Name, 100, true)) // 2 s at the engine
					if a.status == 200 && a.err == nil && !strings.Contains(a.body, endMarker) {
						a.err = errors.New("no end marker")
					}
				case "whole":
					a = r.ask(stopped, key, chatPath, chat(m.Name, 25, false))
				default:
					a = r.ask(stopped, key, "/alerts/sirens", `{}`, "Idempotency-Key", fmt.Sprint("alert-", n, "-", k))
				}
				mu.Lock()
				// The listener is open for 2 s after the signal. A connection that waits in its queue when it closes
				// is reset without an answer; requests of the first second cannot be among those.
				early := told.IsZero() || began.Before(told.Add(time.Second))
				switch {
				case a.status == 200 && a.err == nil:
					counts[kind]++
				case !a.began && errors.Is(a.err, syscall.ECONNREFUSED) && !early:
					once.Do(func() { close(refused) })
				case !a.began && !early:
					counts["not begun"]++
				default:
					t.Errorf("%s, early %t: %v", kind, early, a)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	told = time.Now()
	r.signal(entry(stopped), syscall.SIGTERM)
	mu.Unlock()
	load.Wait()
	select {
	case <-r.procs[entry(stopped)].done:
	case <-time.After(settle):
		t.Fatal("the gateway did not end")
	}
	if code := r.procs[entry(stopped)].cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	t.Logf("complete answers and others: %v", counts)
	for _, kind := range []string{"stream", "whole", "call"} {
		if counts[kind] == 0 {
			t.Errorf("no complete answer of kind %s: nothing was tested", kind)
		}
	}
}
