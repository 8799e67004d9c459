package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// clockStep is how far the time of day of the server's machine is ahead at its first start. It jumps back before the second one.
	clockStep = 2400 * time.Millisecond
	// drainBound is drain_ms; a server serves on for it and a little longer.
	drainBound = 2 * time.Second
	lingerTime = 3500 * time.Millisecond
)

// bornBack has a server start again under its id soon after its first start, with a time of day that has jumped back meanwhile. Later it
// reports that it is draining, serves on and ends.
func bornBack(l *lab) error {
	servers, err := l.plainServers(false)
	if err != nil {
		return err
	}
	a := servers[0]
	if err := l.store.put("op/config", plainConfig()); err != nil {
		return err
	}
	for _, p := range servers[1:] {
		if err := p.begin(0); err != nil {
			return err
		}
	}
	if err := l.startHosts("front-palermo-1", "front-palermo-2"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	failed := l.startClients(ctx, &clients)
	ahead := time.Duration(0)
	if l.trouble {
		ahead = clockStep
	}
	if err := a.begin(ahead); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	a.crash()
	time.Sleep(700 * time.Millisecond)
	if err := a.begin(0); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	a.drain()
	time.Sleep(lingerTime)
	before := failed()
	a.leave()
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	l.rec.printf("%d requests failed in the second after the server's end", failed()-before)
	if late := a.late(drainBound); len(late) > 0 {
		return fmt.Errorf("DRAIN: %d requests reached i-a later than %s after the store had accepted that it is draining, the last one %s: %w",
			len(late), drainBound, late[len(late)-1], errBroken)
	}
	return nil
}

// startClients has clients send requests to both hosts until ctx ends. The returned function counts the failed ones.
func (l *lab) startClients(ctx context.Context, all *sync.WaitGroup) (failed func() int) {
	var mu sync.Mutex
	n := 0
	for _, h := range l.hosts {
		for range 3 {
			all.Go(func() {
				for ctx.Err() == nil {
					id := newID()
					a := h.sendTo(context.Background(), "/siren/1", id, "", 0)
					if a.status != 200 || a.err != nil {
						l.rec.printf("client: %s to %s got %d, %v", id, h.name, a.status, a.err)
						mu.Lock()
						n++
						mu.Unlock()
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// plainConfig returns a configuration with a route of requests that may run once, to a plain service.
func plainConfig() map[string]any {
	c := config(1, 3, 3, lateModel)
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name": "r-siren", "host": hostName, "prefix": "/siren/", "kind": "non_idempotent", "timeout_ms": 2500, "target_latency_ms": 150,
		"priority": 2, "service": "dispatch-app", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	})
	c["services"] = append(c["services"].([]map[string]any), map[string]any{
		"name": "dispatch-app", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false,
	})
	return c
}
