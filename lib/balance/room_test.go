package balance

import (
	"errors"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

// roomQuery returns a request that is to begin within 400 ms, at a place in the demand.
func roomQuery(rank float64) Query {
	return Query{Service: "llm", Call: sharedPrefixCall("s"), StartWithin: 400 * time.Millisecond, Rank: rank}
}

// Guards against a request that is sent to a target with a long queue, or that waits although a target has room for it.
func TestRequestIsSentOnlyWhereItBeginsInTime(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(engines(2, registry.ResidentModel{Model: "m"}))
	b.SetPeerLoads("peer", map[string]Load{"t00": {Running: 200}})
	for range 3 {
		if c := pick(t, b, roomQuery(0.9)); c.Target.ID != "t01" {
			t.Errorf("sent to %s", c.Target.ID)
		}
	}
	b.SetPeerLoads("peer", map[string]Load{"t00": {Running: 200}, "t01": {Running: 150}})
	_, err := b.Pick(roomQuery(0.1), now)
	full := (*FullError)(nil)
	if !errors.As(err, &full) || !errors.Is(err, ErrFull) || full.StartIn < time.Second || full.StartIn > 10*time.Second {
		t.Fatalf("%v", err)
	}
	q := roomQuery(0.1)
	q.StartWithin = 0
	pick(t, b, q) // no limit
}

// Guards against a request that never learns of room: load falls by an answer, by a report of a peer, or with a new target.
func TestRoomIsReported(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(engines(1, registry.ResidentModel{Model: "m"}))
	reported := 0
	b.OnRoom(func(service string) {
		if service == "llm" {
			reported++
		}
	})
	c := pick(t, b, roomQuery(0))
	for name, fall := range map[string]func(){
		"answer": func() { c.Answered(false, now) }, "peer": func() { b.SetPeerLoads("peer", map[string]Load{}) },
		"target": func() { b.SetTargets(engines(2, registry.ResidentModel{Model: "m"})) },
	} {
		before := reported
		if fall(); reported == before {
			t.Errorf("%s: no report", name)
		}
	}
}

// Guards against hosts that keep back requests at targets that state no limit, and against room that is not used again after an overload.
func TestPartOfTheDemandFollowsTheLoad(t *testing.T) {
	b := newBalancer("a")
	b.SetTargets(engines(4, registry.ResidentModel{Model: "m"}))
	b.SetHosts(80)
	at := now
	sent := func(running int, grow int) (last bool) {
		for i := range 30 {
			loads := map[string]Load{}
			for _, id := range []string{"t00", "t01", "t02", "t03"} {
				loads[id] = Load{Running: max(0, running+i*grow)}
			}
			b.SetPeerLoads("peer", loads)
			at = at.Add(300 * time.Millisecond)
			b.LocalLoads(at)
			c, err := b.Pick(roomQuery(0.6), at)
			if last = err == nil; last {
				c.Abandoned()
			}
		}
		return last
	}
	if !sent(30, 0) {
		t.Error("kept back although half of the slots are free")
	}
	if sent(60, 2) {
		t.Error("the last of the demand is sent although the wait grows")
	}
	if !sent(100, -4) {
		t.Error("kept back after the overload")
	}
	unlimited := engines(1, registry.ResidentModel{Model: "m"})
	unlimited[0].Slots = 0
	b.SetTargets(unlimited)
	b.SetPeerLoads("peer", map[string]Load{"t00": {Running: 500}})
	if _, err := b.Pick(roomQuery(0.99), at.Add(time.Second)); err != nil {
		t.Errorf("%v at a target without a stated limit", err)
	}
}
