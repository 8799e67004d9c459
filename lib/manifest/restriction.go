package manifest

import "cuminhook.org/cuminhook/lib/ticket"

// TicketRestriction returns the restrictive content of t against the state old: keys that stop working or
// change their organisation, and organisations whose rate or burst falls. Base is left zero.
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
		r.lower(old, o.Name, Limit{o.Rate, o.Burst})
	}
	for _, ref := range t.Delete {
		if ref.Kind == ticket.KindOrganisation {
			r.lower(old, ref.Name, Limit{})
		}
	}
	return r
}

func (r *Restriction) lower(old *ticket.State, name string, l Limit) {
	o, ok := old.Organisations[name]
	if !ok || l.Rate >= o.Rate && l.Burst >= o.Burst {
		return
	}
	if r.Rates == nil {
		r.Rates = map[string]Limit{}
	}
	r.Rates[name] = Limit{min(l.Rate, o.Rate), min(l.Burst, o.Burst)}
}

// SlotRestriction returns the slots whose owner in old is another one in next.
func SlotRestriction(old, next SlotTable) []int {
	var lost []int
	for i, owner := range old.Owners {
		if owner != "" && owner != next.Owners[i] {
			lost = append(lost, i)
		}
	}
	return lost
}
