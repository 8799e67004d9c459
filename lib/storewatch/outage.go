package storewatch

import "time"

// returnGrace is how long targets have, after an outage of the store, to write again entries that expired meanwhile. The platform states
// 2 s; the rest covers the delay of this host's reads.
const returnGrace = 2200 * time.Millisecond

// outages tells from the calls of this host when the store was unavailable, and until when entries may be missing only for that reason.
//
// A failed call alone proves no outage. An entry expires after three heartbeats that the store did not get, so a target that
// lives misses at least two in a row: the store was unavailable for longer than the interval between two of them. Only a time
// without any sign of the store that is as long, and in which calls failed, is an outage that may have cost entries.
type outages struct {
	heartbeat time.Duration // interval at which targets write their entries

	seen     time.Time // last sign that the store is available
	lost     bool      // calls have failed since seen
	began    time.Time // last sign before the latest failures
	ended    time.Time // first sign after them
	returnBy time.Time // until when entries may return that expired in an outage
}

// sign records that the store is available, and reports whether that ends an outage in which entries may have expired.
func (o *outages) sign(now time.Time) (ended bool) {
	o.seen = now
	if !o.lost {
		return false
	}
	o.lost, o.ended = false, now
	if now.Sub(o.began) < o.heartbeat {
		return false
	}
	o.returnBy = now.Add(returnGrace)
	return true
}

// fail records a failed call that the store may not have got. Failures that soon after an outage, before all targets could write
// their entries, belong to the same one.
func (o *outages) fail(now time.Time) {
	if o.lost {
		return
	}
	o.lost = true
	if !now.Before(o.ended.Add(o.heartbeat)) && !now.Before(o.returnBy) {
		o.began = o.seen
	}
}
