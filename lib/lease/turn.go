package lease

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderSilence is how long the holder has to be silent before others campaign. It tells that it holds the lease at
	// least once a second, and the lease outlives it by up to three seconds.
	holderSilence = 2 * time.Second
	// turnStep is the head start of each candidate over the next one; a free lease is taken in a few calls of
	// milliseconds.
	turnStep = 200 * time.Millisecond
	// lastTurn bounds the number of head starts that a candidate waits for.
	lastTurn = 15
)

// Turn decides when a host campaigns. It answers fleets in which hosts hear of the holder from each other: a candidate
// that waits at the store costs calls, and most of them wait in vain.
//
// It does no I/O, and takes the time as an argument. It is safe for concurrent use.
type Turn struct {
	host string

	mu    sync.Mutex
	heard time.Time // guarded by mu; latest sign of a holder
	epoch int64     // guarded by mu; of that holder
}

// NewTurn returns the turn of a host that starts now.
func NewTurn(host string, now time.Time) *Turn { return &Turn{host: host, heard: now} }

// Heard records that the holder of the epoch is alive.
func (t *Turn) Heard(epoch int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch >= t.epoch {
		t.epoch, t.heard = epoch, now
	}
}

// Resigned records that the holder of the epoch gave the lease up. It may be called again.
func (t *Turn) Resigned(epoch int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := now.Add(-holderSilence)
	if epoch > t.epoch || epoch == t.epoch && silent.Before(t.heard) {
		t.epoch, t.heard = epoch, silent
	}
}

// Due reports whether this host should campaign; others are the hosts that it hears of. Hosts take turns in an order
// that changes with each epoch, so that one without access to the store is not always the first.
func (t *Turn) Due(others []string, now time.Time) bool {
	t.mu.Lock()
	silence, epoch := now.Sub(t.heard), t.epoch
	t.mu.Unlock()
	if silence < holderSilence {
		return false
	}
	rank, own := 0, weight(t.host, epoch)
	for _, host := range others {
		if weight(host, epoch) > own {
			rank++
		}
	}
	return silence >= holderSilence+time.Duration(min(rank, lastTurn))*turnStep
}

func weight(host string, epoch int64) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.FormatInt(epoch, 10))
}
