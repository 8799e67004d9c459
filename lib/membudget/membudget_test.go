package membudget

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

const mib = 1 << 20

// testConn is a connection whose account is closed when it is shed.
type testConn struct {
	*Account
	shed bool
}

func open(b *Budget, owner string, now time.Time) *testConn {
	c := &testConn{}
	c.Account = b.Open(owner, func() { c.shed = true }, now)
	c.SetState(Reading, now)
	return c
}

// fill reserves in steps of 64 KiB, as a body that arrives does, and returns what was reserved.
func (c *testConn) fill(k Kind, n int64, now time.Time) (sum int64) {
	for sum < n && c.Reserve(k, 64<<10, now) == nil {
		sum += 64 << 10
	}
	return sum
}

// Guards against a crowd that fills the budget with bodies of which it withholds the end, so that nobody else is served.
func TestStalledConnectionsGiveWay(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{Limit: 40 * mib, Shed: true})
	var crowd []*testConn
	for range 200 {
		c := open(b, "address", now)
		c.fill(Bodies, 4*mib, now)
		crowd = append(crowd, c)
	}
	if u := b.Usage(); u.Total > u.Limit {
		t.Fatalf("%d of %d bytes are held", u.Total, u.Limit)
	}
	legal := open(b, "address", now)
	if err := legal.Reserve(Bodies, 2<<10, now); err != nil {
		t.Errorf("a small request beside a crowd: %v", err)
	}
	now = now.Add(readStall + time.Millisecond)
	legal.Progress(now)
	if n := legal.fill(Bodies, 4*mib, now); n != 4*mib {
		t.Errorf("a request of the largest size got %d bytes beside stalled ones", n)
	}
	shed := 0
	for _, c := range crowd {
		if c.shed {
			shed++
		}
		c.Close()
	}
	if legal.shed || shed == 0 || shed > 8 {
		t.Errorf("%d of the crowd were shed, the legal one: %v", shed, legal.shed)
	}
	legal.Close()
	if u := b.Usage(); u.Total != 0 || len(b.held) != 0 || len(b.open) != 0 {
		t.Errorf("%+v held by %v after all were closed", u, b.held)
	}
}

// Guards against a connection that is shed while its request may be running at a target, or while it has shown progress.
func TestWorkingConnectionsAreNotShed(t *testing.T) {
	now := time.Unix(1000, 0)
	for state, want := range map[State]bool{Unused: false, Idle: false, Reading: true, Serving: false, Writing: true} {
		b := New(Config{Limit: 10 * mib, Shed: true})
		c := open(b, "a", now)
		c.fill(Bodies, 5*mib, now)
		c.SetState(state, now)
		later := now.Add(time.Minute)
		other := open(b, "b", later)
		if err := other.Reserve(Bodies, mib, later); c.shed != want || (err == nil) != want {
			t.Errorf("state %d: shed %v, %v", state, c.shed, err)
		}
		b = New(Config{Limit: 10 * mib, Shed: true})
		c = open(b, "a", now)
		c.fill(Bodies, 5*mib, now)
		c.Progress(later)
		other = open(b, "a", later)
		if err := other.Reserve(Bodies, mib, later); c.shed || !errors.Is(err, ErrFull) {
			t.Errorf("progress in state %d: shed %v, %v", state, c.shed, err)
		}
	}
}

// Guards against a request that goes to a target after it was shed: it would be cut off while it runs.
func TestShedRequestDoesNotBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{Limit: 10 * mib, Shed: true})
	shed, begun := open(b, "a", now), open(b, "a", now)
	shed.fill(Bodies, 2*mib, now)
	begun.fill(Bodies, 3*mib, now)
	later := now.Add(time.Minute)
	if !begun.Begin(now) || open(b, "b", later).fill(Bodies, mib, later) != mib || shed.Begin(later) || begun.shed || !shed.shed {
		t.Errorf("shed: waiting %v, begun %v", shed.shed, begun.shed)
	}
}

// Guards against a crowd of one owner that keeps sending and so takes the share of all others.
func TestOwnerAboveItsShareGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{Limit: 40 * mib, Shed: true})
	for range 100 {
		open(b, "crowd", now).fill(Bodies, 4*mib, now)
	}
	for i := range 2 {
		c := open(b, fmt.Sprint("organisation ", i), now)
		if n := c.fill(Bodies, 4*mib, now); n != 4*mib {
			t.Errorf("owner %d got %d bytes", i, n)
		}
	}
	if held := b.held["crowd"]; held < 8*mib {
		t.Errorf("the crowd keeps %d bytes, less than its share", held)
	}
}

// Guards against a crowd of open connections that leaves no room for others, and against closing connections that callers may still use.
func TestConnectionsWithoutProgressMakeRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{Limit: mib, Shed: true})
	idle, unused, serving := open(b, "a", now), open(b, "a", now), open(b, "a", now)
	idle.SetState(Idle, now)
	unused.SetState(Unused, now.Add(time.Millisecond))
	serving.SetState(Serving, now)
	const idleAfter = 12 * time.Second
	if b.ShedIdle(idleAfter, now.Add(unusedAge)) {
		t.Error("a connection was shed that is not old enough")
	}
	if !b.ShedIdle(idleAfter, now.Add(idleAfter)) || !unused.shed || idle.shed {
		t.Errorf("shed: unused %v, idle %v", unused.shed, idle.shed)
	}
	if !b.ShedIdle(idleAfter, now.Add(idleAfter+1)) || !idle.shed || serving.shed {
		t.Errorf("shed: idle %v, serving %v", idle.shed, serving.shed)
	}
}

// Guards against a budget without shedding that changes: it counts bodies only, and always admits small ones.
func TestBudgetWithoutSheddingCountsBodies(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{Limit: mib})
	a, c := open(b, "a", now), open(b, "a", now)
	if a.Reserve(Connections, 10*mib, now) != nil || a.Reserve(Answers, 10*mib, now) != nil {
		t.Error("connections or answers are limited")
	}
	if n := a.fill(Bodies, 2*mib, now); n != mib {
		t.Errorf("%d bytes of bodies", n)
	}
	later := now.Add(time.Hour)
	if c.Reserve(Bodies, SmallBytes, later) != nil || !errors.Is(c.Reserve(Bodies, 1, later), ErrFull) || a.shed || b.ShedIdle(0, later) {
		t.Error("a small request was refused, a large one admitted, or a connection shed")
	}
}

func BenchmarkRequest(b *testing.B) {
	budget := New(Config{Limit: 40 * mib, Shed: true})
	now := time.Unix(1000, 0)
	a := budget.Open("a", func() {}, now)
	for b.Loop() {
		_ = a.Reserve(Connections, 36<<10, now)
		_ = a.Reserve(Bodies, 2<<10, now)
		_ = a.Reserve(Answers, 1<<10, now)
		a.ReleaseAll(Bodies)
		a.ReleaseAll(Answers)
		a.ReleaseDownTo(Connections, 8<<10)
	}
}
