package manifest

import "cuminhook.org/cuminhook/lib/ticket"

// TicketRestriction returns what t takes away from the state old: API keys that stop working or move to another
// organisation, and organisations whose rate or burst falls. Base is left zero.
func TicketRestriction(old *ticket.State, t *ticket.Ticket) Restriction {
	var r Restriction
	written := make(map[string]ticket.Key, len(t.Keys))
	for _, k := range t.Keys {
		written[k.Name] = k
	}
	deleted := map[ticket.Ref]bool{}
	for _, ref := range t.Delete {
		deleted[ref] = true
	}
	if len(t.Keys)+len(t.Delete) > 0 {
		for hash, k := range old.Keys {
			next, rewritten := written[k.Name]
			if deleted[ticket.Ref{Kind: ticket.KindKey, Name: k.Name}] ||
				rewritten && (next.SHA256 != hash || next.Organisation != k.Organisation) {
				r.Keys = append(r.Keys, hash)
			}
		}
	}
	for _, o := range t.Organisations {
		r.addLoweredLimit(old, o.Name, Limit{o.Rate, o.Burst})
	}
	for _, ref := range t.Delete {
		if ref.Kind == ticket.KindOrganisation {
			r.addLoweredLimit(old, ref.Name, Limit{})
		}
	}
	return r
}

// addLoweredLimit adds the limit l of an organisation if it lowers the organisation's rate or burst in old.
func (r *Restriction) addLoweredLimit(old *ticket.State, name string, l Limit) {
	o, ok := old.Organisations[name]
	if !ok || l.Rate >= o.Rate && l.Burst >= o.Burst {
		return
	}
	if r.Rates == nil {
		r.Rates = map[string]Limit{}
	}
	r.Rates[name] = Limit{min(l.Rate, o.Rate), min(l.Burst, o.Burst)}
}

// LostSlots returns the slots that have an owner in old and another one, or none, in next.
func LostSlots(old, next SlotTable) []int {
	var lost []int
	for i, owner := range old.Owners {
		if owner != "" && owner != next.Owners[i] {
			lost = append(lost, i)
		}
	}
	return lost
}
