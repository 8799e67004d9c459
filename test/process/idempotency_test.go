//go:build linux

package process

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/idem"
	"cuminhook.org/cuminhook/lib/refusal"
	services "cuminhook.org/cuminhook/lib/standin/service"
)

// slotReassignmentTime is more than the time in which the controller reassigns the slots of an unreachable host: 5 s
// until the host counts as failed and 3 s until the new owner uses them.
const slotReassignmentTime = 10 * time.Second

// Guards against a non-idempotent call that runs twice, or is reported as not run although it ran, when the gateway
// that owns its idempotency record is killed and restarted, or is paused while its slots are reassigned.
func TestIdempotentCallWhileOwnerFails(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]struct {
		stop, resume func(env *testEnv, owner int)
	}{
		"killed": {
			func(env *testEnv, owner int) { env.kill(entryID(owner)) },
			func(env *testEnv, owner int) { env.restart(owner) },
		},
		"paused": {
			func(env *testEnv, owner int) { env.signal(entryID(owner), syscall.SIGSTOP) },
			func(env *testEnv, owner int) { env.signal(entryID(owner), syscall.SIGCONT) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testOwnerFailure(t, fail.stop, fail.resume)
		})
	}
}

// call is one attempt to make a call, and its answer.
type call struct {
	key, id string
	gateway int
	answer  answer
}

func testOwnerFailure(t *testing.T, stop, resume func(env *testEnv, owner int)) {
	const owner = 1
	env := newTestEnv(t, engineArgs{"--capacity", "100"})
	env.applyTicket(initialTicket())
	for i := range gateways {
		env.waitUntil("the route is served", func() bool { return env.call(i, key, "/strikes", "").status == 200 })
	}
	for _, addr := range env.services {
		env.injectFaults(addr+services.PathFaults, services.Faults{Delay: time.Second})
	}
	owners := env.manifest().Slots.Owners
	var keys []string // idempotency keys whose records the failing gateway owns
	for n := 0; len(keys) < 8; n++ {
		name := fmt.Sprint("booking-", n)
		if strings.HasPrefix(owners[idem.MakeKey(organisation, name).Slot()], entryID(owner)) {
			keys = append(keys, name)
		}
	}

	var mu sync.Mutex
	var calls []call // guarded by mu
	var open sync.WaitGroup
	defer open.Wait()
	attempt := func(i int, name string) {
		mu.Lock()
		n := len(calls)
		c := call{key: name, id: fmt.Sprint("attempt", n), gateway: i}
		calls = append(calls, c)
		mu.Unlock()
		open.Go(func() {
			a := env.call(i, key, "/alerts/sirens", `{"siren":"harbour"}`, "Idempotency-Key", name, "X-Request-Id", c.id)
			mu.Lock()
			calls[n].answer = a
			mu.Unlock()
		})
	}
	attemptEverywhere := func() {
		for _, name := range keys {
			for i := range gateways {
				attempt(i, name)
			}
		}
	}
	// Half of the calls are running when the owner fails; the others arrive right after it.
	for n, name := range keys[:len(keys)/2] {
		attempt(n%gateways, name)
	}
	env.waitUntil("a call runs", func() bool { runs, _ := env.runs(); return len(runs) > 0 })
	stop(env, owner)
	for began := time.Now(); time.Since(began) < slotReassignmentTime; time.Sleep(500 * time.Millisecond) {
		attemptEverywhere()
	}
	resume(env, owner)
	for range 6 {
		attemptEverywhere()
		time.Sleep(500 * time.Millisecond)
	}
	open.Wait()

	runs, ran := env.runs()
	for name, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", name, n)
		}
	}
	if len(runs) == 0 {
		t.Error("no call ran: nothing was tested")
	}
	outcomes := map[string]int{}
	attributed := 0
	for _, c := range calls {
		attributed += ran[c.id]
		a := c.answer
		outcomes[fmt.Sprint(a.status, " ", a.reason, " ", a.run)]++
		if a.run == refusal.NotRun && ran[c.id] > 0 {
			t.Errorf("%s at gateway %d ran and was answered %v", c.id, c.gateway, a)
		}
		if a.status == 200 && a.err == nil && runs[c.key] == 0 {
			t.Errorf("%s at gateway %d did not run and was answered %v", c.id, c.gateway, a)
		}
	}
	total := 0
	for _, n := range runs {
		total += n
	}
	if attributed != total {
		t.Errorf("%d of %d runs belong to an attempt of this test", attributed, total)
	}
	t.Logf("%d keys, runs %v, answers %v", len(keys), runs, outcomes)
}

// runs returns the number of runs at both services, by idempotency key and by the caller's request id.
func (env *testEnv) runs() (runs, byID map[string]int) {
	env.t.Helper()
	runs, byID = map[string]int{}, map[string]int{}
	for _, addr := range env.services {
		var one map[string]int
		if err := env.getJSON(addr+services.PathRuns, &one); err != nil {
			env.t.Fatal(err)
		}
		for name, n := range one {
			// The gateway prefixes the caller's key with the organisation; calls without a key are listed by id.
			if name, ok := strings.CutPrefix(name, organisation+":"); ok {
				runs[name] += n
			}
		}
		one = nil
		if err := env.getJSON(addr+services.PathCalls, &one); err != nil {
			env.t.Fatal(err)
		}
		for id, n := range one {
			id, _, _ = strings.Cut(id, "-") // the gateway adds a suffix for each of its attempts
			byID[id] += n
		}
	}
	return runs, byID
}
