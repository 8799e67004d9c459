package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/kv/memkv"
)

// runWaves shifts demand between models of 40 targets and passes the lease on twice, while a third of the orders gets no answer and
// is executed seconds later.
func runWaves(t *testing.T, seed uint64, loadsPerSecond float64) *fakeClient {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("t%02d", i))
	}
	client := newFakeClient(t, ids...)
	client.random = rand.New(rand.NewPCG(5, seed))
	client.lateFraction = 0.33
	ctx, cancel := context.WithCancel(t.Context())
	go client.refreshReports(ctx)
	store := memkv.New()
	r := rand.New(rand.NewPCG(9, seed))
	c := newCatalog(40)
	c.Service("s").Engine.LoadsPerSecond = loadsPerSecond
	for term := range 3 {
		h := startCandidateWith(t, fmt.Sprint("host", term), store, client, c, true, ids...)
		for range 5 {
			h.setDemand(map[string]float64{fmt.Sprint("m", r.IntN(40)): 6000, fmt.Sprint("m", r.IntN(40)): 3000, "m0": 300}, nil)
			time.Sleep(3 * time.Second)
		}
		h.stop()
	}
	time.Sleep(15 * time.Second)
	cancel()
	time.Sleep(time.Minute)
	return client
}

// mostLoads returns the most loads that began within five seconds.
func mostLoads(loads []time.Time) (most int) {
	slices.SortFunc(loads, time.Time.Compare)
	for i, first := range loads {
		n := 0
		for _, at := range loads[i:] {
			if at.Sub(first) < 5*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against waves that exceed the window of the weight store or overcommit a target: orders are executed up to 12 s late, and a
// successor does not know what its predecessor has started.
func TestWavesKeepTheWindowOfTheStore(t *testing.T) {
	const loadsPerSecond = 6.0
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			client := runWaves(t, seed, loadsPerSecond)
			overcommits, loads := client.result()
			for _, o := range overcommits {
				t.Errorf("seed %d: %s", seed, o)
			}
			t.Logf("seed %d: %d of %d loads in a window", seed, mostLoads(client.loads), loads)
			if most, limit := mostLoads(client.loads), loadsPerSecond*1.1*5+3; float64(most) > limit || most < 15 {
				t.Errorf("seed %d: %d of %d loads in a window, limit %.0f", seed, most, loads, limit)
			}
		})
	}
}
