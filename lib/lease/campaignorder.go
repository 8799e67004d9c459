package lease

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderTimeout is the time after the last state received from the holder from which on others campaign. A holder
	// announces itself at least once a second, and its lease outlives it by up to three seconds.
	holderTimeout = 2 * time.Second
	// campaignDelayStep is the head start of each candidate over the next one. Acquiring a free lease takes a few calls of
	// the store, each of some milliseconds.
	campaignDelayStep = 200 * time.Millisecond
	// maxCampaignRank is the maximum number of head starts that a candidate waits for.
	maxCampaignRank = 15
)

// CampaignOrder decides when a host campaigns, in a fleet whose hosts learn of the holder from the states that they
// exchange. It keeps most hosts from waiting at the store for a lease that only one of them can get: each waiting
// candidate costs calls.
//
// It does no I/O, and takes the time as an argument. It is safe for concurrent use.
type CampaignOrder struct {
	host string

	mu        sync.Mutex
	lastAlive time.Time // guarded by mu; when a holder was last known to be alive
	epoch     int64     // guarded by mu; of that holder, the highest received
}

// NewCampaignOrder returns the campaign order of a host that starts now. The host campaigns after holderTimeout at the
// earliest.
func NewCampaignOrder(host string, now time.Time) *CampaignOrder {
	return &CampaignOrder{host: host, lastAlive: now}
}

// HolderAlive records that the holder of the epoch is alive. It ignores holders of earlier epochs.
func (o *CampaignOrder) HolderAlive(epoch int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch >= o.epoch {
		o.epoch, o.lastAlive = epoch, now
	}
}

// HolderResigned records that the holder of the epoch has resigned, so that candidates campaign without waiting for
// holderTimeout. Repeated calls for the same epoch have no effect.
func (o *CampaignOrder) HolderResigned(epoch int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	timedOut := now.Add(-holderTimeout)
	if epoch > o.epoch || epoch == o.epoch && timedOut.Before(o.lastAlive) {
		o.epoch, o.lastAlive = epoch, timedOut
	}
}

// ShouldCampaign reports whether this host should campaign; others are the hosts that it can reach. The order in which hosts
// campaign changes with each epoch, so that a host without access to the store is not always the first.
func (o *CampaignOrder) ShouldCampaign(others []string, now time.Time) bool {
	o.mu.Lock()
	sinceAlive, epoch := now.Sub(o.lastAlive), o.epoch
	o.mu.Unlock()
	if sinceAlive < holderTimeout {
		return false
	}
	rank, ownWeight := 0, campaignWeight(o.host, epoch)
	for _, host := range others {
		if campaignWeight(host, epoch) > ownWeight {
			rank++
		}
	}
	return sinceAlive >= holderTimeout+time.Duration(min(rank, maxCampaignRank))*campaignDelayStep
}

// campaignWeight returns the hash that orders the candidates after a term; hosts with higher weights campaign earlier.
func campaignWeight(host string, epoch int64) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.FormatInt(epoch, 10))
}
