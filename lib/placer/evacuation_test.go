package placer

import (
	"context"
	"slices"
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

func (c *loadCountingClient) setLate(fraction float64) {
	c.fakeClient.mu.Lock()
	defer c.fakeClient.mu.Unlock()
	c.lateFraction = fraction
}

func (c *loadCountingClient) taken(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.loads[id]
	c.loads[id] = 0
	return n
}

// loaded reports whether the target has the models loaded, as far as the controller knows.
func (h *candidate) loaded(id string, models ...string) bool {
	_, residents, _ := h.Residents()
	var have []string
	for _, m := range residents[id].Models {
		have = append(have, m.Model)
	}
	return !slices.ContainsFunc(models, func(model string) bool { return !slices.Contains(have, model) })
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
		if got := h.loaded("a", "m0", "m1"); !got {
			t.Error("a model in demand has no copy outside of the evacuated zone")
		}
		client.setLate(1)
		h.setDemand(map[string]float64{"m0": 60, "m1": 60, "m2": 60, "m3": 60}, map[string]float64{"m0/a1": 5, "m0/a2": 5, "m0/a3": 5})
		for i := 0; client.taken("a") == 0; i++ {
			if time.Sleep(10 * time.Millisecond); i > 1000 {
				t.Fatal("no load order")
			}
		}
		h.SetEvacuated(map[string]bool{"zone-a": true}) // with an order under way that got no answer
		time.Sleep(time.Second)
		client.setLate(0)
		time.Sleep(20 * time.Second)
		if a, b := client.taken("a"), client.taken("b"); a > 0 || b == 0 {
			t.Errorf("%d load orders in the evacuated zone, %d elsewhere", a, b)
		}
		if got := h.loaded("b", "m0", "m1"); !got {
			t.Error("a model in demand has no copy outside of the evacuated zone")
		}
		h.SetEvacuated(nil)
		time.Sleep(4 * time.Second)
		h.cancel()
		<-h.done
		cancel()
		time.Sleep(time.Minute)
	})
}
