// Package lease implements leases on a key-value store. Each term of a lease has a fencing number, the epoch, and a lease's
// validity is checked against a monotonic clock without a call of the store.
package lease

// Checker reports whether a lease is still held. Callers check right before every action that only the holder may take.
type Checker interface {
	// Held returns the epoch of the term and whether the lease is certainly still valid at this instant.
	Held() (epoch int64, ok bool)
}
