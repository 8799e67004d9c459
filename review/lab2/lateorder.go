package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// lateBy is when an unanswered order is carried out; the pages state 2 to 12 s.
	lateBy = 7 * time.Second
	// lateModel is the model of this scenario, with lateAdapters adapters, on two engines of lateSlots adapter slots.
	lateModel    = "m0"
	lateAdapters = 12
	lateSlots    = 3
	// calm is the time in which the slots are filled and demand is forgotten.
	calm = 6 * time.Second
	// popularClients ask for one adapter at the same time.
	popularClients = 8
	// troubleTime is how long orders may go unanswered.
	troubleTime = 1500 * time.Millisecond
)

// lateOrder has engines leave two orders unanswered and carry them out late. Then the host that gives the orders is stopped and started
// as planned, and a client asks for an adapter that is loaded.
func lateOrder(l *lab) error {
	s := &lateScenario{lab: l}
	for _, id := range []string{"i-a", "i-b"} {
		e, err := newEngine(l.rec, l.store, id, "warn-writer", lateSlots, lateModel)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	if err := l.store.put("op/config", config(1, lateSlots, lateAdapters, lateModel)); err != nil {
		return err
	}
	if err := l.startHosts("front-palermo-1", "front-palermo-2"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // a host becomes the holder
	return s.play()
}

// lateScenario is the state of the scenario.
type lateScenario struct {
	lab     *lab
	engines []*engine

	mu          sync.Mutex
	on          bool            // orders go unanswered
	first       bool            // the first order did
	second      bool            // another one did
	heldAlready map[string]bool // engines that answered that they hold already what an order asked for
}

func (s *lateScenario) play() error {
	s.ask(s.lab.hosts[0], "a1", 1)
	holder := s.holder()
	if holder == nil {
		return fmt.Errorf("no order arrived")
	}
	s.lab.rec.printf("%s gives the orders", holder.name)
	time.Sleep(calm)
	popular := s.missing()
	if popular == "" {
		return fmt.Errorf("all adapters are loaded")
	}
	if s.lab.trouble {
		s.setLate(true)
	}
	before := s.orders()
	s.ask(holder, popular, popularClients)
	time.Sleep(troubleTime)
	s.setLate(false)
	s.lab.rec.printf("%d orders while orders went unanswered, %d of them without an answer", s.orders()-before, s.unanswered())
	successor := s.lab.hosts[0]
	if successor == holder {
		successor = s.lab.hosts[1]
	}
	stopped := make(chan error, 1)
	go func() { stopped <- holder.restart() }()
	time.Sleep(1500 * time.Millisecond) // the successor takes over
	running := make(chan answer, 1)
	go func() { running <- successor.request(context.Background(), lateModel+"/"+popular, 100) }()
	time.Sleep(lateBy)
	a := <-running
	s.lab.rec.printf("the stream that ran meanwhile: %d events of 100, complete %t", a.events, a.complete)
	if err := <-stopped; err != nil {
		return err
	}
	for _, e := range s.engines {
		if broken := e.overload(); broken != "" {
			return fmt.Errorf("LIMIT: %s: %w", broken, errBroken)
		}
	}
	return nil
}

// ask has clients ask for an adapter at the same time, and waits for their answers.
func (s *lateScenario) ask(h *host, adapter string, clients int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { h.request(ctx, lateModel+"/"+adapter, 3) })
	}
	all.Wait()
}

// missing returns an adapter that neither engine has, or nothing.
func (s *lateScenario) missing() string {
	for n := range lateAdapters {
		name := fmt.Sprintf("a%d", n+1)
		if !s.engines[0].has(lateModel, name) && !s.engines[1].has(lateModel, name) {
			return name
		}
	}
	return ""
}

// holder returns the host that gave the first order, or nil.
func (s *lateScenario) holder() *host {
	for _, e := range s.engines {
		if orders := e.arrived(); len(orders) > 0 {
			return s.lab.host(orders[0].Holder)
		}
	}
	return nil
}

func (s *lateScenario) orders() (n int) {
	for _, e := range s.engines {
		n += len(e.arrived())
	}
	return n
}

func (s *lateScenario) unanswered() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first {
		n++
	}
	if s.second {
		n++
	}
	return n
}

// setLate has two orders go unanswered, or none from now on: the first one, and the first that follows at an engine which has answered
// that it holds an adapter already.
func (s *lateScenario) setLate(on bool) {
	s.mu.Lock()
	s.on, s.heldAlready = on, map[string]bool{}
	s.mu.Unlock()
	for _, e := range s.engines {
		e.mu.Lock()
		e.late = func(order) time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case !s.on:
				return 0
			case !s.first:
				s.first = true
			case !s.second && s.heldAlready[e.id]:
				s.second = true
			default:
				return 0
			}
			return lateBy
		}
		e.answered = func(o order, status int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if o.Op == "load" && status == 200 {
				s.heldAlready[e.id] = true
			}
		}
		e.mu.Unlock()
	}
}
