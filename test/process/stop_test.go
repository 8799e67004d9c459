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

// Guards against a planned stop that aborts requests: streams and calls that are open when the gateway receives the
// signal, and those on connections that it accepts until it closes its listener.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	const stopped = 1
	env := newTestEnv(t, engineArgs{"--capacity", "100", "--slots", "64"})
	m := model("kestrel", 10, 1)
	env.applyTicket(initialTicket(m))
	env.waitReachable(m)
	for _, addr := range env.services {
		env.injectFaults(addr+services.PathFaults, services.Faults{Delay: 500 * time.Millisecond})
	}

	var mu sync.Mutex
	var signalled time.Time // guarded by mu; zero before the signal
	counts := map[string]int{}
	refused := make(chan struct{}) // closed once the listener is closed
	var once sync.Once
	var load sync.WaitGroup
	start := time.Now()
	for n := range 24 {
		load.Go(func() {
			for k := 0; time.Since(start) < waitTimeout; k++ {
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
					a = env.call(stopped, key, chatPath, chat(m.Name, 100, true)) // 2 s at the engine
					if a.status == 200 && a.err == nil && !strings.Contains(a.body, endMarker) {
						a.err = errors.New("no end marker")
					}
				case "whole":
					a = env.call(stopped, key, chatPath, chat(m.Name, 25, false))
				default:
					a = env.call(stopped, key, "/alerts/sirens", `{}`, "Idempotency-Key", fmt.Sprint("alert-", n, "-", k))
				}
				mu.Lock()
				// The listener stays open for 2 s after the signal. A connection in its queue at the close is reset
				// without a response; requests that began in the first second cannot be among those.
				early := signalled.IsZero() || began.Before(signalled.Add(time.Second))
				switch {
				case a.status == 200 && a.err == nil:
					counts[kind]++
				case !a.responded && errors.Is(a.err, syscall.ECONNREFUSED) && !early:
					once.Do(func() { close(refused) })
				case !a.responded && !early:
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
	signalled = time.Now()
	env.signal(entryID(stopped), syscall.SIGTERM)
	mu.Unlock()
	load.Wait()
	select {
	case <-env.procs[entryID(stopped)].done:
	case <-time.After(waitTimeout):
		t.Fatal("the gateway did not end")
	}
	if code := env.procs[entryID(stopped)].cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	t.Logf("complete answers and others: %v", counts)
	for _, kind := range []string{"stream", "whole", "call"} {
		if counts[kind] == 0 {
			t.Errorf("no complete answer of kind %s: nothing was tested", kind)
		}
	}
}
