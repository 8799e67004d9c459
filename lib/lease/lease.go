// Package lease holds leases with a fencing number (epoch) that are checked with the monotonic clock.
package lease

// Checker tells whether a lease is still held. It is called right before every effect.
type Checker interface {
	// Held returns the epoch and whether the lease is certainly still valid at this instant.
	Held() (epoch int64, ok bool)
}
