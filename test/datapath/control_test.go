package datapath

import (
	"context"
	"errors"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/gateway"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

// Guards against an order that is reported as executed or refused although its outcome is unknown: the controller's
// ledger would then assign its memory to another load.
func TestOrderOutcomesUnderFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults  engines.Faults
		order   engine.Order
		want    error // nil: unknown outcome
		done    bool  // executed in the end
		succeed bool
	}{
		"carried out": {order: engine.Order{Epoch: 2, Seq: 2, Bytes: 10}, done: true, succeed: true},
		"lost":        {faults: engines.Faults{LoseOrders: 1}, order: engine.Order{Epoch: 2, Seq: 2, Bytes: 10}},
		"answer lost": {faults: engines.Faults{LoseOrderAcks: 1}, order: engine.Order{Epoch: 2, Seq: 2, Bytes: 10}, done: true},
		"delayed":     {faults: engines.Faults{DelayOrders: 9 * time.Second}, order: engine.Order{Epoch: 2, Seq: 2, Bytes: 10}, done: true},
		"fenced":      {order: engine.Order{Epoch: 1, Seq: 9, Bytes: 10}, want: engine.ErrFenced},
		"repeated":    {order: engine.Order{Epoch: 2, Seq: 1, Bytes: 10}, want: engine.ErrFenced},
		"too large":   {order: engine.Order{Epoch: 2, Seq: 2, Bytes: 101}, want: engine.ErrOrderRefused},
		"other start": {order: engine.Order{Epoch: 2, Seq: 2, Bytes: 10, Boot: "gone"}, want: engine.ErrNotRun},
		"unreachable": {order: engine.Order{Epoch: 2, Seq: 2, Bytes: 10}, want: engine.ErrNotRun},
	} {
		runInBubble(t, engines.Config{
			CapacityBytes: 100, RefuseOldFences: true,
		}, func(*gateway.Config) {}, func(env *testEnv) {
			client := httpengine.New(httpengine.Config{Dial: env.dial})
			send := func(o engine.Order) error {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				return client.Order(ctx, "e0", o)
			}
			if err := send(engine.Order{ID: "first", Kind: engine.OrderFence, Epoch: 2, Seq: 1}); err != nil {
				t.Fatal(err)
			}
			env.engines[0].SetFaults(c.faults)
			if name == "unreachable" {
				_ = env.ln["e0"].Close()
			}
			c.order.ID, c.order.Kind, c.order.Name = "second", engine.OrderLoadModel, "m"
			err := send(c.order)
			known := errors.Is(err, engine.ErrFenced) || errors.Is(err, engine.ErrOrderRefused) || errors.Is(err, engine.ErrNotRun)
			if c.succeed != (err == nil) || c.want != nil && !errors.Is(err, c.want) || c.want == nil && known {
				t.Errorf("%s: %v, want %v", name, err, c.want)
			}
			time.Sleep(10 * time.Second) // virtual
			report := env.engines[0].Report()
			if done := len(report.Residents) == 1; done != c.done || done != (len(report.ExecutedOrders) == 2) {
				t.Errorf("%s: report %+v, carried out %t wanted", name, report, c.done)
			}
		})
	}
}

// Guards against a report that omits a load in progress: a controller that fences the target and reads the report would
// treat the memory of the load as free.
func TestReportListsLoadInProgress(t *testing.T) {
	runInBubble(t, engines.Config{
		CapacityBytes: 100, LoadBytesPerSecond: 10, RefuseOldFences: true,
	}, func(*gateway.Config) {}, func(env *testEnv) {
		client := httpengine.New(httpengine.Config{Dial: env.dial})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			done <- client.Order(ctx, "e0", engine.Order{ID: "a", Kind: engine.OrderLoadModel, Name: "m", Bytes: 60, Epoch: 1, Seq: 1})
		}()
		time.Sleep(time.Second) // virtual; the load takes 6 s
		report, err := client.Report(ctx, "e0")
		if err != nil || len(report.Residents) != 1 || !report.Residents[0].Loading {
			t.Errorf("%+v, %v", report, err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
