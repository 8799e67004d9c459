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
// is executed seconds later. If calm is set, the demand rests before the lease is passed on.
func runWaves(t *testing.T, seed uint64, loadsPerSecond float64, calm bool) *fakeClient {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("t%02d", i))
	}
	client := newFakeClient(t, ids...)
	client.random = rand.New(rand.NewPCG(5, seed))
	client.lateFraction = 0.33
	ctx, cancel := context.WithCancel(t.Context())
	go client.refreshReports(ctx)
	go client.keepHistory(ctx)
	time.Sleep(time.Second)
	store := memkv.New()
	r := rand.New(rand.NewPCG(9, seed))
	c := newCatalog(40)
	c.Service("s").Engine.LoadsPerSecond = loadsPerSecond
	for term := range 3 {
		h := startCandidateWith(t, fmt.Sprint("host", term), store, client, c, true, ids...)
		changed := time.Now()
		for range 5 {
			h.setDemand(map[string]float64{fmt.Sprint("m", r.IntN(40)): 6000, fmt.Sprint("m", r.IntN(40)): 3000, "m0": 300}, nil)
			time.Sleep(3 * time.Second)
		}
		client.mu.Lock()
		early := 0
		for _, at := range client.loads {
			if at.After(changed) && at.Sub(changed) < 4*time.Second {
				early++
			}
		}
		client.early = append(client.early, early)
		client.mu.Unlock()
		if calm {
			h.setDemand(map[string]float64{"m0": 300}, nil)
			time.Sleep(12 * time.Second)
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
// successor does not know what its predecessor has started. Guards also against a successor that loads hardly anything at first although
// it can tell from the reports that little was started.
func TestWavesKeepTheWindowOfTheStore(t *testing.T) {
	const loadsPerSecond = 6.0
	early := map[bool]int{}
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			calm := seed%2 == 1
			client := runWaves(t, seed, loadsPerSecond, calm)
			early[calm] += client.early[1] + client.early[2]
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
	t.Logf("loads in the first 4 s of successors: %d after a wave, %d after a calm", early[false], early[true])
	if early[true] < 2*early[false] {
		t.Errorf("%d loads in the first 4 s of successors that know that little was loaded before, %d of others", early[true], early[false])
	}
}
