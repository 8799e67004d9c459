package placer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/orders"
	"cuminhook.org/cuminhook/lib/registry"
)

// loadCountingClient counts the load orders to each target.
type loadCountingClient struct {
	*fakeClient
	mu    sync.Mutex
	loads map[string]int
}

func (c *loadCountingClient) Send(ctx context.Context, t *registry.Target, o orders.Order) (bool, error) {
	if o.Op == orders.Load {
		c.mu.Lock()
		c.loads[t.ID]++
		c.mu.Unlock()
	}
	return c.fakeClient.Send(ctx, t, o)
}

func (c *loadCountingClient) taken(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.loads[id]
	c.loads[id] = 0
	return n
}

// Guards against models and adapters that are loaded in an evacuated zone, also by orders that got no answer before, and against models
// whose copies are there only and that nobody loads elsewhere.
func TestEvacuatedZoneGetsNoLoadOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &loadCountingClient{fakeClient: newFakeClient(t, "a", "b"), loads: map[string]int{}}
		client.lateFraction = 0.3
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "h", memkv.New(), client, 6, "a", "b")
		targets := newTargets("a", "b")
		for _, info := range targets {
			info.Zone = "zone-" + info.ID
		}
		h.SetTargets(targets)
		h.SetEvacuated(map[string]bool{"zone-b": true})
		h.setDemand(map[string]float64{"m0": 60, "m1": 60}, map[string]float64{"m0/a1": 5, "m0/a2": 5})
		time.Sleep(8 * time.Second)
		if a, b := client.taken("a"), client.taken("b"); a == 0 || b > 0 {
			t.Errorf("%d load orders, %d in the evacuated zone", a, b)
		}
		h.SetEvacuated(map[string]bool{"zone-a": true}) // with orders under way, of which some got no answer
		time.Sleep(20 * time.Second)
		if a, b := client.taken("a"), client.taken("b"); a > 0 || b == 0 {
			t.Errorf("%d load orders in the evacuated zone, %d elsewhere", a, b)
		}
		h.SetEvacuated(nil)
		time.Sleep(4 * time.Second)
		h.cancel()
		<-h.done
		cancel()
		time.Sleep(time.Minute)
	})
}
