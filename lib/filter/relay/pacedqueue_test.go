package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Guards against requests that wait for their whole objective, only to be refused, while their only target states a limit far
// below the demand, with and without a queue at the host.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	for _, run := range []func(*testing.T, map[string]script, func(*testing.T, *harness)){withTargets, withAdmission} {
		testRequestsBeyondALimit(t, run)
	}
}

func testRequestsBeyondALimit(t *testing.T, run func(*testing.T, map[string]script, func(*testing.T, *harness))) {
	t.Helper()
	run(t, map[string]script{"near": reply(200, "Limit: 2\r\n", "near")}, func(t *testing.T, r *harness) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		served, refusedAtOnce, refusedLate := 0, 0, 0
		for i := range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := r.call("GET", "/safe/x", fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.status == 200:
					served++
				case a.status != 503 || a.retryAfter == "":
					t.Errorf("%+v", a)
				case a.took <= pickInterval:
					refusedAtOnce++
				default:
					refusedLate++
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		if served < 18 || refusedAtOnce < 60 || refusedLate > 10 {
			t.Errorf("%d served, %d refused at once, %d late", served, refusedAtOnce, refusedLate)
		}
	})
}
