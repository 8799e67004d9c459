package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// cutWatch has the store cut the watches that wait. A second later a server leaves that never reports that it is draining: its entry is
// removed, and it serves on for drain_ms and a little longer.
func cutWatch(l *lab) error {
	servers, err := l.plainServers(true)
	if err != nil {
		return err
	}
	a := servers[0]
	if err := l.store.put("op/config", plainConfig()); err != nil {
		return err
	}
	for _, p := range servers {
		if err := p.begin(0); err != nil {
			return err
		}
	}
	if err := l.startHosts("front-palermo-1", "front-palermo-2"); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	failed := l.startClients(ctx, &clients)
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.store.cutWatches()
	}
	time.Sleep(1500 * time.Millisecond)
	a.remove()
	time.Sleep(drainBound + 300*time.Millisecond)
	a.crash()
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	l.rec.printf("%d requests failed", failed())
	if late := a.late(drainBound); len(late) > 0 {
		return fmt.Errorf("DRAIN: %d requests reached i-a later than %s after the store had removed its entry, the last one %s: %w",
			len(late), drainBound, late[len(late)-1], errBroken)
	}
	return nil
}
