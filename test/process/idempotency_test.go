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

// slotsMoved is after the time in which the controller gives the slots of a silent host to others: 5 s until the
// host counts as failed and 3 s until the new owner uses them.
const slotsMoved = 10 * time.Second

// Guards against a non-idempotent call that runs twice, or is said not to have run although it did, when the gateway
// that owns its idempotency record is killed and started again, or is paused while others take over its slots.
func TestIdempotentCallWhileOwnerFails(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]struct {
		stop, resume func(r *rig, owner int)
	}{
		"killed": {
			func(r *rig, owner int) { r.kill(entry(owner)) },
			func(r *rig, owner int) { r.restart(owner) },
		},
		"paused": {
			func(r *rig, owner int) { r.signal(entry(owner), syscall.SIGSTOP) },
			func(r *rig, owner int) { r.signal(entry(owner), syscall.SIGCONT) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testOwnerFails(t, fail.stop, fail.resume)
		})
	}
}

// call is one attempt at a call and its answer.
type call struct {
	key, id string
	gateway int
	answer  answer
}

func testOwnerFails(t *testing.T, stop, resume func(r *rig, owner int)) {
	const owner = 1
	r := newRig(t, engineArgs{"--capacity", "100"})
	r.accept(first())
	for i := range gateways {
		r.wait("the route is served", func() bool { return r.ask(i, key, "/strikes", "").status == 200 })
	}
	for _, addr := range r.services {
		r.fault(addr+services.PathFaults, services.Faults{Delay: time.Second})
	}
	owners := r.manifest().Slots.Owners
	var keys []string // of calls whose record the failing gateway owns
	for n := 0; len(keys) < 8; n++ {
		name := fmt.Sprint("booking-", n)
		if strings.HasPrefix(owners[idem.MakeKey(organisation, name).Slot()], entry(owner)) {
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
			a := r.ask(i, key, "/alerts/sirens", `{"siren":"harbour"}`, "Idempotency-Key", name, "X-Request-Id", c.id)
			mu.Lock()
			calls[n].answer = a
			mu.Unlock()
		})
	}
	everywhere := func() {
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
	r.wait("a call runs", func() bool { runs, _ := r.runs(); return len(runs) > 0 })
	stop(r, owner)
	for began := time.Now(); time.Since(began) < slotsMoved; time.Sleep(500 * time.Millisecond) {
		everywhere()
	}
	resume(r, owner)
	for range 6 {
		everywhere()
		time.Sleep(500 * time.Millisecond)
	}
	open.Wait()

	runs, ran := r.runs()
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

// runs returns the run logs of both services together, by idempotency key and by the caller's request id.
func (r *rig) runs() (runs, byID map[string]int) {
	r.t.Helper()
	runs, byID = map[string]int{}, map[string]int{}
	for _, addr := range r.services {
		var one map[string]int
		if err := r.read(addr+services.PathRuns, &one); err != nil {
			r.t.Fatal(err)
		}
		for name, n := range one {
			// The gateway puts the organisation before the caller's key; calls without key are listed by id.
			if name, ok := strings.CutPrefix(name, organisation+":"); ok {
				runs[name] += n
			}
		}
		one = nil
		if err := r.read(addr+services.PathCalls, &one); err != nil {
			r.t.Fatal(err)
		}
		for id, n := range one {
			id, _, _ = strings.Cut(id, "-") // the gateway adds a suffix for each of its attempts
			byID[id] += n
		}
	}
	return runs, byID
}
