//go:build linux

package process

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/ticket"
)

// Guards against a withdrawn key that still works: at a gateway that receives the ticket late, on a stream that was
// opened before, or at a gateway that was paused and resumes with its old configuration and status.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	t.Parallel()
	const paused = 2
	env := newTestEnv(t, engineArgs{"--capacity", "100"})
	m := model("kestrel", 10, 1)
	env.applyTicket(initialTicket(m))
	env.waitReachable(m)
	long := chat(m.Name, 5000, true) // 100 s at the engine
	var streams []*stream
	for i := range gateways {
		streams = append(streams, env.openStream(i, otherKey, long))
	}

	env.signal(entryID(paused), syscall.SIGSTOP)
	accepted := env.applyTicket(&ticket.Ticket{Delete: []ticket.Ref{{Kind: ticket.KindKey, Name: "acme-2"}}})
	time.Sleep(time.Until(accepted.Add(maxPropagation)))
	for i := range gateways {
		if i == paused {
			continue
		}
		for range 5 {
			if a := env.call(i, otherKey, "/v1/models", ""); !a.refusedKey() {
				t.Errorf("gateway %d: withdrawn key: %v", i, a)
			}
		}
		select {
		case <-streams[i].done:
			if late := streams[i].ended.Sub(accepted.Add(maxPropagation)); late > 0 {
				t.Errorf("gateway %d: stream of the withdrawn key ended %s late", i, late)
			}
		default:
			t.Errorf("gateway %d: stream of the withdrawn key is open", i)
		}
	}

	// These requests wait in the socket of the paused gateway and are the first that it reads when it resumes.
	waiting := make(chan answer, 5)
	for range cap(waiting) {
		go func() { waiting <- env.call(paused, otherKey, "/v1/models", "") }()
	}
	time.Sleep(200 * time.Millisecond) // the connections are in the socket's queue
	before := streams[paused].events()
	resumed := time.Now()
	env.signal(entryID(paused), syscall.SIGCONT)
	for range cap(waiting) {
		if a := <-waiting; !a.refusedKey() {
			t.Errorf("gateway resumed: withdrawn key: %v", a)
		}
	}
	for time.Since(resumed) < maxPropagation {
		if a := env.call(paused, otherKey, "/v1/models", ""); !a.refusedKey() {
			t.Errorf("gateway resumed: withdrawn key: %v", a)
			break
		}
	}
	select {
	case <-streams[paused].done:
	default:
		t.Error("gateway resumed: stream of the withdrawn key is open")
	}
	// One event may have been on its way through the gateway when it was paused.
	if n := streams[paused].events() - before; n > 1 {
		t.Errorf("gateway resumed: %d more events on the stream of the withdrawn key", n)
	}
	for i, s := range streams {
		if strings.Contains(s.text(), endMarker) {
			t.Errorf("gateway %d: stream of the withdrawn key has an end marker", i)
		}
	}
	env.waitReachable(m) // the organisation's other key still works at all gateways
}
