package manifest

// WithOwners returns the table with the given owners and the next version. Since stays as it is for slots whose owner
// doesn't change.
func (t SlotTable) WithOwners(owners []string) SlotTable {
	n := SlotTable{Version: t.Version + 1, Owners: owners, Since: make([]int64, len(owners))}
	for i, owner := range owners {
		n.Since[i] = n.Version
		if i < len(t.Owners) && i < len(t.Since) && t.Owners[i] == owner {
			n.Since[i] = t.Since[i]
		}
	}
	return n
}

// OwnedSince reports whether a host that owns the slot in t and in the given version also owned it in all versions between.
// A host that missed some versions of the table would otherwise have to assume another owner in between.
func (t SlotTable) OwnedSince(slot int, version int64) bool {
	return t.Version <= version+1 || slot < len(t.Since) && t.Since[slot] <= version
}
