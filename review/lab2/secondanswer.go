package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// secondSlots are the adapter slots of an engine, both of which are taken when the scenario begins.
	secondSlots = 2
	// secondTime is how long the scenario lasts after the hosts are ready.
	secondTime = 9 * time.Second
	// plainRequests are requests without a further answer, so that one of the engine's answers in fifty comes twice at most.
	plainRequests = 150
	// secondStreams are the streams for each of the two adapters, which fall to both engines.
	secondStreams = 8
)

// secondAnswer has one of two engines send its answer to the first read of its report once more, where the next answer on the connection is due,
// while both adapters that they hold are in use and a client asks for a third one.
func secondAnswer(l *lab) error {
	engines := []*engine{}
	for _, id := range []string{"i-a", "i-b"} {
		e, err := newEngine(l.rec, l.store, id, "warn-writer", secondSlots, lateModel)
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.models[lateModel]["a1"], e.models[lateModel]["a2"] = &adapter{}, &adapter{}
		e.changed()
		e.mu.Unlock()
		engines = append(engines, e)
	}
	e := engines[0]
	if l.trouble {
		e.mu.Lock()
		e.extra = func(_, path string) bool { return path == "/report" && e.extras == 0 }
		e.mu.Unlock()
	}
	if err := l.store.put("op/config", config(1, secondSlots, 3, lateModel)); err != nil {
		return err
	}
	if err := l.startHosts("front-palermo-1", "front-palermo-2"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), secondTime)
	defer cancel()
	var all sync.WaitGroup
	for _, name := range []string{"a1", "a2"} {
		for range secondStreams {
			all.Go(func() { l.hosts[0].request(context.Background(), lateModel+"/"+name, 80) })
		}
	}
	for range plainRequests {
		all.Go(func() { l.hosts[1].request(context.Background(), lateModel, 2) })
	}
	for _, h := range l.hosts {
		all.Go(func() {
			for ctx.Err() == nil {
				if h.request(ctx, lateModel+"/a3", 3).status == 200 {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	all.Wait()
	e.mu.Lock()
	answers, extras := e.answers, e.extras
	e.mu.Unlock()
	l.rec.printf("the engine gave %d answers, %d of them twice", answers, extras)
	for _, e := range engines {
		if broken := e.overload(); broken != "" {
			return fmt.Errorf("LIMIT: %s: %w", broken, errBroken)
		}
	}
	return nil
}
