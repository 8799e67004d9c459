package registry

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	// maxDescriptionBytes bounds the names in a target's description. Hosts send it to each other in datagrams of up to 60 KB.
	maxDescriptionBytes = 32 << 10
	// maxIDBytes bounds an id, which goes into a header field of each request.
	maxIDBytes = 256
	// maxSlots is the number of ports of a host: a request that runs has a connection.
	maxSlots = 1 << 16
	// maxCount is the largest integer that all implementations of JSON represent.
	maxCount = 1<<53 - 1
)

// ErrInvalid is returned for a description of a target that cannot be used.
var ErrInvalid = errors.New("registry: no usable target")

// Validate reports whether the target can be used. Other writers may have put its entry among those of the targets. Errors wrap
// ErrInvalid.
func (t *Target) Validate() error {
	if !isFieldValue(t.ID) {
		return fmt.Errorf("%w: id %q; use 1 to %d printable ASCII characters", ErrInvalid, t.ID, maxIDBytes)
	}
	if _, err := ParseAddr(t.Addr); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return fmt.Errorf("%w: %d slots; use 1 to %d", ErrInvalid, t.Slots, maxSlots)
	}
	if t.Beat < 0 || t.Beat > maxCount || t.Started < 0 || t.Started > maxCount {
		return fmt.Errorf("%w: beat %d, started at %d; use 0 to %d", ErrInvalid, t.Beat, t.Started, maxCount)
	}
	if n := t.nameBytes(); n > maxDescriptionBytes {
		return fmt.Errorf("%w: names of %d bytes; use up to %d", ErrInvalid, n, maxDescriptionBytes)
	}
	return nil
}

// nameBytes returns the length of all names in the description.
func (t *Target) nameBytes() int {
	n := len(t.ID) + len(t.Service) + len(t.Addr) + len(t.Zone)
	for _, m := range t.Models {
		n += len(m.Model)
		for _, adapter := range m.Adapters {
			n += len(adapter)
		}
	}
	return n
}

// isFieldValue reports whether an id can be sent as the value of a header field.
func isFieldValue(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxIDBytes
}

// ParseAddr parses an address (IP:port) of a single host.
func ParseAddr(addr string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ap, err
	}
	ip := ap.Addr().Unmap()
	if ap.Port() == 0 || !ip.IsGlobalUnicast() && !ip.IsLoopback() && !ip.IsLinkLocalUnicast() {
		return ap, fmt.Errorf("registry: %s is not the address of a host; use the IP and port at which it listens", addr)
	}
	return ap, nil
}
