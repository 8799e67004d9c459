package engine

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/prompt"
)

// Guards against a stand-in that is more permissive than a real engine: it executes fenced orders, loads beyond its
// capacity, or completes a load before its load time.
func TestOrdersRespectFencesCapacityAndLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := func(e *Engine, name string, size, epoch, seq int64) error {
			return e.Execute(engine.Order{
				ID: name, Kind: engine.OrderLoadModel, Name: name, Bytes: size, Epoch: epoch, Seq: seq,
			})
		}
		for _, fences := range []bool{true, false} {
			e := New(Config{CapacityBytes: 100, LoadBytesPerSecond: 10, RefuseOldFences: fences})
			start := time.Now()
			if err := load(e, "a", 60, 2, 1); err != nil || time.Since(start) != 6*time.Second {
				t.Errorf("load: %v after %s", err, time.Since(start))
			}
			if err := load(e, "b", 41, 2, 2); !errors.Is(err, engine.ErrOrderRefused) {
				t.Errorf("above the capacity: %v", err)
			}
			if err := load(e, "c", 40, 1, 9); errors.Is(err, engine.ErrFenced) != fences {
				t.Errorf("old epoch, fencing %t: %v", fences, err)
			}
			if r := e.Report(); r.ChecksFence != fences || r.ExecutedOrders[0] != "a" {
				t.Errorf("report %+v", r)
			}
		}
	})
}

// Guards against a stand-in whose cache events lack the delay and the gaps of a real engine's, or whose cache is
// unbounded.
func TestCacheEventsAreDelayedWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := prefixCache{size: 2, gap: 3}
		for _, p := range []uint64{1, 2, 1, 3} { // stores 1 and 2, then evicts 2 (event 3, lost) for 3
			c.touch(p)
		}
		if n := len(c.eventsAfter(0, time.Second)); n != 0 || len(c.used) != 2 {
			t.Errorf("%d events at once, %d prefixes kept", n, len(c.used))
		}
		time.Sleep(time.Second)
		events := c.eventsAfter(0, time.Second)
		if len(events) != 3 || events[2].Seq != 4 || events[2].Prefix != 3 {
			t.Errorf("events %+v", events)
		}
	})
}

// Guards against a batch that exceeds its slots or ignores priorities, and against load reports without lag.
func TestBatchSlotsPrioritiesAndLoadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, begin := New(Config{Slots: 1, DecodeTokensPerSecond: 1, LoadLag: 2 * time.Second}), time.Now()
		start := func(id string, priority int) *run {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loadLocked()
			return e.startLocked(id, priority, prompt.Prompt{EstimatedTokens: 5}, 2)
		}
		first, low, high := start("first", 0), start("low", 9), start("high", 1)
		load := func() engine.Load {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.loadLocked()
		}
		if l := load(); l.Running != 0 || l.Slots != 1 {
			t.Errorf("load without lag: %+v", l)
		}
		time.Sleep(2 * time.Second)
		if l := load(); l.Running != 1 || l.Queued != 2 || l.QueuedPromptTokens != 10 {
			t.Errorf("load after the lag: %+v", l)
		}
		e.wait(first)
		e.wait(high)
		if e.mu.Lock(); low.done {
			t.Error("the lower priority ran first")
		}
		e.mu.Unlock()
		e.wait(low)
		if took := time.Since(begin); took != 6*time.Second {
			t.Errorf("three runs of 2 s in one slot took %s", took)
		}
	})
}
