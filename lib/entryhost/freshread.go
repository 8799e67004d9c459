package entryhost

import (
	"context"
	"sync"
	"time"
)

// freshReads has callers share reads that begin after their calls. What such a read returns is newer than whatever a caller has heard of.
type freshReads struct {
	read    func(ctx context.Context) error
	timeout time.Duration // of one read

	mu      sync.Mutex
	running *freshRead // guarded by mu; nil: none
	next    *freshRead // guarded by mu; begins after running; nil: nobody waits for it
}

// freshRead is one read.
type freshRead struct {
	done chan struct{}
	err  error // set before done is closed
}

// after returns once a read that began after the call has ended, with its error, or when ctx ends.
func (f *freshReads) after(ctx context.Context) error {
	f.mu.Lock()
	r := f.next
	if r == nil {
		r = &freshRead{done: make(chan struct{})}
		if f.running == nil {
			f.running = r
			go f.run(r)
		} else {
			f.next = r
		}
	}
	f.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes reads until nobody waits for another one.
func (f *freshReads) run(r *freshRead) {
	for r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
		r.err = f.read(ctx)
		cancel()
		close(r.done)
		f.mu.Lock()
		f.running, f.next = f.next, nil
		r = f.running
		f.mu.Unlock()
	}
}
