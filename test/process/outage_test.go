//go:build linux

package process

import (
	"sync"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

// minOutage is the duration of the outage, in which requests with keys must be served.
const minOutage = 12 * time.Second

// Guards against gateways that stop serving during an outage of the key-value service, against a gateway that is
// restarted in the outage and serves an older revision than the others, and against a ticket that the outage causes to
// be accepted twice or refused for a wrong reason.
func TestStoreOutageWithGatewayRestart(t *testing.T) {
	t.Parallel()
	const restarted = 2
	env := newTestEnv(t, engineArgs{"--capacity", "100"})
	m := model("kestrel", 10, 1)
	env.applyTicket(initialTicket(m))
	env.waitReachable(m)
	// This ticket makes an older revision visible: a gateway that lacks it accepts otherKey.
	accepted := env.applyTicket(&ticket.Ticket{Delete: []ticket.Ref{{Kind: ticket.KindKey, Name: "acme-2"}}})
	time.Sleep(time.Until(accepted.Add(maxPropagation)))
	newest, err := env.revision(restarted)
	if err != nil {
		t.Fatal(err)
	}

	outage := map[string]bool{"outage": true}
	env.injectFaults(env.kv+"/fault", outage)
	began := time.Now()
	stop := make(chan struct{})
	var load sync.WaitGroup
	endLoad := sync.OnceFunc(func() {
		close(stop)
		load.Wait()
	})
	defer endLoad()
	for i := range gateways {
		if i == restarted {
			continue
		}
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					t.Logf("gateway %d: %d requests in the outage", i, n)
					return
				case <-time.After(20 * time.Millisecond):
				}
				if a := env.call(i, key, chatPath, chat(m.Name, 1, false)); a.status != 200 || a.err != nil {
					t.Errorf("gateway %d, %s into the outage: %v", i, time.Since(began), a)
				}
			}
		})
	}
	for time.Since(began) < minOutage/2 {
		if a := env.call(restarted, key, chatPath, chat(m.Name, 1, false)); a.status != 200 || a.err != nil {
			t.Errorf("gateway %d, %s into the outage: %v", restarted, time.Since(began), a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	env.kill(entryID(restarted))
	env.restart(restarted)
	env.waitUntil("the restarted gateway serves in the outage", func() bool {
		if revision, err := env.revision(restarted); err == nil && revision != 0 && revision < newest {
			t.Errorf("restarted gateway shows revision %d, the others had %d", revision, newest)
		}
		if a := env.call(restarted, otherKey, "/v1/models", ""); a.status == 200 {
			t.Errorf("restarted gateway serves a key that was withdrawn before: %v", a)
		}
		a := env.call(restarted, key, chatPath, chat(m.Name, 1, false))
		return a.status == 200 && a.err == nil
	})

	if revision, err := env.revision(restarted); err != nil || revision != newest {
		t.Errorf("restarted gateway shows revision %d, %v, want %d", revision, err, newest)
	}

	next := &ticket.Ticket{Number: env.lastTicket + 1, Keys: []ticket.Key{keyObject("acme-3", "acme-key-3")}}
	_, err = env.api.Apply(next.Encode())
	refused, ok := refusal.As(err)
	if !ok || refused.Reason != refusal.StoreUnavailable || refused.Run != refusal.NotRun {
		t.Errorf("ticket in the outage: %v", err)
	}
	for time.Since(began) < minOutage {
		if a := env.call(restarted, key, "/v1/models", ""); a.status != 200 || a.err != nil {
			t.Errorf("restarted gateway, %s into the outage: %v", time.Since(began), a)
		}
		if a := env.call(0, "acme-key-3", "/v1/models", ""); a.reason != refusal.KeyUnknown {
			t.Errorf("key of a refused ticket: %v", a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	endLoad()

	outage["outage"] = false
	env.injectFaults(env.kv+"/fault", outage)
	accepted = env.applyTicket(next)
	first, err := env.api.Apply(next.Encode())
	if err != nil || !first.Repeated {
		t.Errorf("same ticket again: %+v %v", first, err)
	}
	second, err := env.api.Apply(next.Encode())
	if err != nil || !second.Repeated || second.Revision != first.Revision {
		t.Errorf("same ticket a third time: %+v %v, before %+v", second, err, first)
	}
	listed := 0
	for _, ref := range env.manifest().Tickets {
		if ref.Number == next.Number {
			listed++
		}
	}
	if listed != 1 {
		t.Errorf("the ticket is listed %d times", listed)
	}
	time.Sleep(time.Until(accepted.Add(maxPropagation)))
	for i := range gateways {
		if a := env.call(i, "acme-key-3", "/v1/models", ""); a.status != 200 {
			t.Errorf("gateway %d: key of the accepted ticket: %v", i, a)
		}
	}
}
