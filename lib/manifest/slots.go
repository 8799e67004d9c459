package manifest

// Next returns the table that gives the slots to owners, with the next version. It keeps for each slot
// since when its owner has it.
func (t SlotTable) Next(owners []string) SlotTable {
	n := SlotTable{Version: t.Version + 1, Owners: owners, Since: make([]int64, len(owners))}
	for i, owner := range owners {
		n.Since[i] = n.Version
		if i < len(t.Owners) && i < len(t.Since) && t.Owners[i] == owner {
			n.Since[i] = t.Since[i]
		}
	}
	return n
}

// Kept reports whether the owner of the slot has been the same without a gap since the table version. A
// host that missed some versions of the table would otherwise have to assume another owner in between.
func (t SlotTable) Kept(slot int, version int64) bool {
	return t.Version <= version+1 || slot < len(t.Since) && t.Since[slot] <= version
}
