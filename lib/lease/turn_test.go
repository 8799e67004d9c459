package lease

import (
	"fmt"
	"testing"
	"time"
)

// fleetTurns returns the turns of n hosts and for each the names of the others.
func fleetTurns(n int, now time.Time) (turns []*Turn, others [][]string) {
	for i := range n {
		turns = append(turns, NewTurn(fmt.Sprint("h", i), now))
		var names []string
		for j := range n {
			if j != i {
				names = append(names, fmt.Sprint("h", j))
			}
		}
		others = append(others, names)
	}
	return turns, others
}

// Guards against a whole fleet that waits at the store for a lease that one of them gets: while the holder is heard
// nobody campaigns, and once it is silent the candidates come one after the other.
func TestFewHostsCampaign(t *testing.T) {
	start := time.Unix(1000, 0)
	const hosts = 59
	turns, others := fleetTurns(hosts, start)
	due := func(now time.Time) (n int) {
		for i, turn := range turns {
			if turn.Due(others[i], now) {
				n++
			}
		}
		return n
	}
	now := start
	for range 100 {
		now = now.Add(time.Second)
		for _, turn := range turns {
			turn.Heard(3, now)
		}
		if n := due(now.Add(time.Second)); n != 0 {
			t.Fatalf("%d hosts campaign although the holder is heard", n)
		}
	}
	if n := due(now.Add(holderSilence)); n != 1 {
		t.Errorf("%d hosts campaign when the holder falls silent, want 1", n)
	}
	if n := due(now.Add(holderSilence + 3*turnStep)); n != 4 {
		t.Errorf("%d hosts campaign three steps later, want 4", n)
	}
	if n := due(now.Add(holderSilence + lastTurn*turnStep)); n != hosts {
		t.Errorf("%d hosts campaign at the end, want all", n)
	}
	for _, turn := range turns {
		turn.Resigned(3, now)
	}
	if n := due(now); n != 1 {
		t.Errorf("%d hosts campaign when the holder has resigned, want 1", n)
	}
	for range lastTurn { // it goes on saying so
		now = now.Add(turnStep)
		for _, turn := range turns {
			turn.Resigned(3, now)
		}
	}
	if n := due(now); n != hosts {
		t.Errorf("%d hosts campaign at the end, want all", n)
	}
}

// Guards against an old holder that wakes up and silences the candidates of a later term.
func TestOldHolderDoesNotCount(t *testing.T) {
	start := time.Unix(1000, 0)
	turn := NewTurn("h", start)
	turn.Heard(5, start)
	turn.Heard(4, start.Add(time.Second))
	if !turn.Due(nil, start.Add(holderSilence)) {
		t.Error("the holder of an earlier epoch counted")
	}
	turn.Resigned(4, start.Add(3*time.Second))
	turn.Heard(6, start.Add(3*time.Second))
	if turn.Due(nil, start.Add(4*time.Second)) {
		t.Error("the holder of the present epoch did not count")
	}
}
