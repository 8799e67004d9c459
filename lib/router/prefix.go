package router

import "sync/atomic"

// prefixTable records the target that last served each prompt prefix and probably still caches it. It is
// direct-mapped: a newer prefix replaces an older one in the same slot, so memory is bounded and no lock is needed.
// Each entry packs the upper half of the prefix hash with the hash of the target.
type prefixTable struct {
	entries []atomic.Uint64
	mask    uint64
}

func newPrefixTable(size int) *prefixTable {
	return &prefixTable{entries: make([]atomic.Uint64, size), mask: uint64(size - 1)}
}

const upperHalfMask = 0xffffffff << 32

// get returns the hash of the target that last served the prefix, or zero if the table has no entry for it.
func (p *prefixTable) get(prefix uint64) uint32 {
	e := p.entries[prefix&p.mask].Load()
	if e&upperHalfMask != prefix&upperHalfMask {
		return 0
	}
	return uint32(e)
}

// put records the hash of the target that serves the prefix.
func (p *prefixTable) put(prefix uint64, target uint32) {
	p.entries[prefix&p.mask].Store(prefix&upperHalfMask | uint64(target))
}
