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

// countingClient counts the calls to each target.
type countingClient struct {
	*fakeClient
	mu    sync.Mutex
	calls map[string]int
}

func (c *countingClient) count(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id]++
}

func (c *countingClient) Send(ctx context.Context, t *registry.Target, o orders.Order) (bool, error) {
	c.count(t.ID)
	return c.fakeClient.Send(ctx, t, o)
}

func (c *countingClient) Report(ctx context.Context, t *registry.Target) (orders.Report, error) {
	c.count(t.ID)
	return c.fakeClient.Report(ctx, t)
}

// taken returns the calls to a target since the last time.
func (c *countingClient) taken(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.calls[id]
	c.calls[id] = 0
	return n
}

func TestTargetInAPauseGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &countingClient{fakeClient: newFakeClient(t, "a", "b"), calls: map[string]int{}}
		client.lateFraction = 0.3
		ctx, cancel := context.WithCancel(t.Context())
		go client.refreshReports(ctx)
		h := startCandidate(t, "h", memkv.New(), client, 6, "a", "b")
		h.paused.Store("a")
		h.setDemand(map[string]float64{"m0": 60, "m1": 60}, map[string]float64{"m0/a1": 5, "m0/a2": 5, "m0/a3": 5})
		time.Sleep(8 * time.Second)
		if a, b := client.taken("a"), client.taken("b"); a > 0 || b == 0 {
			t.Errorf("%d orders and reads of the report in the pause, %d at the other target", a, b)
		}
		h.paused.Store("")
		time.Sleep(time.Second)
		if client.taken("a") == 0 {
			t.Error("no orders and reads of the report after the pause")
		}
		h.paused.Store("a") // with orders under way, of which some got no answer
		time.Sleep(4 * time.Second)
		if a := client.taken("a"); a > 0 {
			t.Errorf("%d orders and reads of the report in the second pause", a)
		}
		h.paused.Store("")
		time.Sleep(4 * time.Second)
		if client.taken("a") == 0 {
			t.Error("orders under way were not followed up after the pause")
		}
		h.cancel()
		<-h.done
		cancel()
		time.Sleep(time.Minute)
	})
}
