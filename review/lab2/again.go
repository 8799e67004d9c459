package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// leafHosts is a fleet in which some hosts learn of servers from other hosts only (over 16).
const leafHosts = 20

const (
	// cutTime is how long a server doesn't reach the store, and expiry the time after which its entry is removed: three heartbeat intervals.
	cutTime = 5 * time.Second
	expiry  = 3 * beatInterval
	// stableTime is stable_ms of the site.
	stableTime = 4 * time.Second
)

// removedAgain has the entry of a server expire, as the server does not reach the store for a while, and come back. Some seconds later
// the server leaves without reporting that it is draining: its entry is removed again, and it serves on for a while.
func removedAgain(l *lab) error {
	l.drain = 3 * time.Second
	servers, err := l.plainServers(true)
	if err != nil {
		return err
	}
	for _, p := range servers {
		if err := p.begin(0); err != nil {
			return err
		}
	}
	a := servers[0]
	if err := l.store.put("op/config", plainConfig()); err != nil {
		return err
	}
	names := []string{}
	for i := range leafHosts {
		names = append(names, fmt.Sprintf("front-%02d", i+1))
	}
	if err := l.startHosts(names...); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	failed := l.startClients(ctx, &clients)
	if l.trouble {
		l.rec.printf("i-a: does not reach the store")
		time.Sleep(expiry)
		l.store.remove("servers/" + a.id)
		l.rec.printf("i-a: its entry has expired")
		time.Sleep(cutTime - expiry)
		a.writeEntry(1)
		l.rec.printf("i-a: reaches the store, its entry is back")
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(stableTime + time.Second)
	a.remove()
	time.Sleep(l.drain + 3*time.Second)
	a.crash()
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	l.rec.printf("%d requests failed", failed())
	if late := a.late(l.drain); len(late) > 0 {
		return fmt.Errorf("DRAIN: %d requests reached i-a later than %s after the store had removed its entry, the last one %s: %w",
			len(late), l.drain, late[len(late)-1], errBroken)
	}
	return nil
}
