package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "7", "")) }

const ttl = 5 * time.Second

// newFaultInjector returns an injector of failures, lost answers and delays of up to 900 ms.
func newFaultInjector(seed uint64) memkv.Injector {
	r := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	return func(op memkv.Op, _ string) memkv.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch k := r.IntN(20); {
		case op == memkv.OpWait:
			return memkv.Fault{}
		case k == 0:
			return memkv.Fault{Unavailable: true}
		case k == 1:
			return memkv.Fault{LoseAnswer: true}
		case k < 5:
			return memkv.Fault{Delay: time.Duration(r.IntN(900)) * time.Millisecond}
		}
		return memkv.Fault{}
	}
}

// pausableStore simulates a paused process: it delays the answers of a store until the time resume.
type pausableStore struct {
	kv.Store
	resume *atomic.Int64 // nanoseconds of the Unix time
}

func (p pausableStore) waitForResume() { time.Sleep(time.Until(time.Unix(0, p.resume.Load()))) }

func (p pausableStore) Grant(ctx context.Context, d time.Duration) (kv.LeaseID, error) {
	defer p.waitForResume()
	return p.Store.Grant(ctx, d)
}

func (p pausableStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	defer p.waitForResume()
	return p.Store.KeepAlive(ctx, id)
}

func (p pausableStore) Put(ctx context.Context, key string, value []byte, expect kv.Version, id kv.LeaseID) (kv.Version, error) {
	defer p.waitForResume()
	return p.Store.Put(ctx, key, value, expect, id)
}

// heldResult is the result of one call of Held.
type heldResult struct {
	holder int
	epoch  int64
	ok     bool
}

// termModel is the model for a history of calls of Held: the epoch never decreases, and each epoch has one holder.
var termModel = porcupine.Model{
	Init: func() any { return heldResult{} },
	Step: func(state, _, output any) (bool, any) {
		last, now := state.(heldResult), output.(heldResult)
		if !now.ok {
			return true, last
		}
		return now.epoch > last.epoch || now.epoch == last.epoch && now.holder == last.holder, now
	},
}

// faults are faults of candidates and of the store in runCandidates.
type faults struct {
	countFromAnswer bool
	restores        bool // the store is restored from copies of up to 9 s ago
	silentEras      bool // the store does not state its eras
}

// runCandidates lets candidates campaign, pause and resign for 100 s. It returns the history of Held, the number of terms
// and the number of instants with more than one holder.
func runCandidates(seed uint64, f faults) (history []porcupine.Operation, epochs, overlaps int) {
	const candidates = 3
	store := memkv.New()
	var backups []memkv.Backup // one each second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := rand.New(rand.NewPCG(seed, 3))
	leases, resume := make([]*Lease, candidates), make([]atomic.Int64, candidates)
	ended := make(chan struct{}, candidates)
	for i := range leases {
		client := store.Client()
		client.SetInjector(newFaultInjector(seed + uint64(i)))
		leases[i] = NewWithOptions(pausableStore{client, &resume[i]}, "cell/a", fmt.Sprint(i), ttl,
			Options{Clock: client.Clock, History: client.History})
		leases[i].countFromAnswer = f.countFromAnswer
		go func() {
			defer func() { ended <- struct{}{} }()
			for ctx.Err() == nil {
				if term, err := leases[i].Campaign(ctx); err == nil {
					select {
					case <-term:
					case <-ctx.Done():
					}
				}
			}
		}()
	}
	seen := map[int64]bool{}
	for step := range 2000 {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if f.restores && step%20 == 0 {
			if backups = append(backups, store.Backup()); r.IntN(10) == 0 {
				store.Restore(backups[max(0, len(backups)-1-r.IntN(10))], f.silentEras)
			}
		}
		held := 0
		for i, l := range leases {
			epoch, ok := l.Held()
			if ok {
				held++
				seen[epoch] = true
			}
			now := int64(len(history))
			history = append(history, porcupine.Operation{ClientId: i, Call: 2 * now, Return: 2*now + 1, Output: heldResult{i, epoch, ok}})
		}
		for i, l := range leases {
			switch r.IntN(120) {
			case 0:
				resume[i].Store(time.Now().Add(time.Duration(r.IntN(12000)) * time.Millisecond).UnixNano())
			case 1:
				_ = l.Resign(ctx)
			}
		}
		if held > 1 {
			overlaps++
		}
	}
	cancel()
	for i := range leases {
		resume[i].Store(0)
		<-ended
	}
	for _, l := range leases {
		_ = l.Resign(context.Background())
	}
	time.Sleep(time.Minute)
	return history, len(seen), overlaps
}

// Guards against two holders at one instant, and against a holder whose lease is still valid after a later term has begun.
// Holders are paused, and the store loses answers and fails.
func TestAtMostOneHolder(t *testing.T) { checkAtMostOneHolder(t, faults{}) }

// Guards against two holders, or one epoch given twice, when a restored store has lost a lease and its epoch.
func TestAtMostOneHolderOfARestoredStore(t *testing.T) {
	checkAtMostOneHolder(t, faults{restores: true})
}

func checkAtMostOneHolder(t *testing.T, f faults) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<20).Draw(rt, "seed")
		var history []porcupine.Operation
		var epochs, overlaps int
		synctest.Test(t, func(*testing.T) { history, epochs, overlaps = runCandidates(seed, f) })
		ordered := porcupine.CheckOperations(termModel, history)
		if overlaps > 0 || epochs < 2 || !ordered {
			rt.Fatalf("%d instants with two holders, %d terms, epochs in order: %v", overlaps, epochs, ordered)
		}
	})
}

// Negative control: validity counted from the answer must show as two holders or as epochs out of order.
func TestAtMostOneHolderDetectsValidityFromAnswer(t *testing.T) {
	detectFault(t, faults{countFromAnswer: true})
}

// Negative control: so must a restored store that does not state its era.
func TestAtMostOneHolderDetectsRestoration(t *testing.T) {
	detectFault(t, faults{restores: true, silentEras: true})
}

func detectFault(t *testing.T, f faults) {
	for seed := range uint64(200) {
		caught := false
		synctest.Test(t, func(*testing.T) {
			history, _, overlaps := runCandidates(seed, f)
			caught = overlaps > 0 || !porcupine.CheckOperations(termModel, history)
		})
		if caught {
			t.Logf("caught in run %d", seed+1)
			return
		}
	}
	t.Fatal("no overlap of holders was found in spite of the fault")
}

// Guards against a candidate that waits for Options.Wait although the lease is free.
func TestFreeLeaseIsAcquiredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewWithOptions(memkv.New(), "c", "a", ttl, Options{Wait: time.Minute})
		start := time.Now()
		if _, err := l.Campaign(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("acquired after %v, want at most 1s", took)
		}
		if err := l.Resign(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a holder that still considers the lease valid when it resumes after a pause in which the lease expired,
// and against a late answer to a renewal that revives the term.
func TestPausedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		var resume atomic.Int64
		a, b := New(pausableStore{store, &resume}, "c", "a", ttl), New(store, "c", "b", ttl)
		term, err := a.Campaign(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		first, ok := a.Held()
		if !ok {
			t.Fatal("not held after Campaign")
		}
		time.Sleep(ttl) // renewals extend the lease
		if _, ok := a.Held(); !ok {
			t.Fatal("lost in spite of renewals")
		}
		resume.Store(time.Now().Add(3 * ttl).UnixNano())
		if _, err := b.Campaign(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, ok := a.Held(); ok {
			t.Error("both hold the lease")
		}
		if second, ok := b.Held(); !ok || second <= first {
			t.Errorf("second term has epoch %d, want more than the first term's %d", second, first)
		}
		<-term
		time.Sleep(3 * ttl)
		if _, ok := a.Held(); ok {
			t.Error("a late renewal revived the term")
		}
		if err := b.Resign(t.Context()); err != nil {
			t.Error(err)
		}
		if _, err := store.Get(t.Context(), "c/lease"); err != kv.ErrNotFound {
			t.Errorf("lease key after Resign: %v", err)
		}
		time.Sleep(time.Minute)
	})
}
