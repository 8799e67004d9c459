package router

import "sync/atomic"

// prefixTable remembers which target holds a prompt prefix. It is direct-mapped: a newer prefix replaces
// an older one in the same slot, so memory is bounded and no lock is needed. Each entry packs
// the upper half of the prefix hash with the hash of the target.
type prefixTable struct {
	entries []atomic.Uint64
	mask    uint64
}

func newPrefixTable(size int) *prefixTable {
	return &prefixTable{entries: make([]atomic.Uint64, size), mask: uint64(size - 1)}
}

const upperHalf = 0xffffffff << 32

func (p *prefixTable) get(prefix uint64) uint32 {
	e := p.entries[prefix&p.mask].Load()
	if e&upperHalf != prefix&upperHalf {
		return 0
	}
	return uint32(e)
}

func (p *prefixTable) put(prefix uint64, target uint32) {
	p.entries[prefix&p.mask].Store(prefix&upperHalf | uint64(target))
}
