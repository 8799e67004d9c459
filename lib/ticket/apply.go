package ticket

import (
	"fmt"
	"maps"

	"cuminhook.org/cuminhook/lib/refusal"
)

// MaxRetainedNumbers is how many of the highest accepted ticket numbers a state keeps, each with its content hash.
const MaxRetainedNumbers = 100_000

// EmptyState returns the state before the first ticket, with no objects.
func EmptyState() *State {
	return &State{
		Organisations: map[string]Organisation{},
		Keys:          map[string]Key{},
		Models:        map[string]Model{},
		Adapters:      map[string]Adapter{},
		Routes:        map[string]Route{},
	}
}

// Apply validates t and returns the state after it, or a refusal with the reason ticket_invalid, number_reused,
// superseded or number_too_old. If t was accepted before with the same content, Apply returns s itself. Apply
// doesn't change s.
func (s *State) Apply(t *Ticket) (*State, error) { return s.apply(t, MaxRetainedNumbers) }

func (s *State) apply(t *Ticket, retained int) (*State, error) {
	t = t.Canonical()
	if err := t.Validate(); err != nil {
		return nil, err
	}
	hash := HashBytes(t.Encode())
	if accepted, ok := s.Accepted.Get(t.Number); ok && accepted == hash {
		return s, nil
	}
	if err := s.checkNumber(t); err != nil {
		return nil, err
	}
	for _, ref := range t.Delete {
		if !s.Has(ref) {
			return nil, invalid("delete: %s does not exist; check the name with 'cuminhookctl get %s'", ref, ref.Kind)
		}
	}
	if err := s.checkKeyHashes(t); err != nil {
		return nil, err
	}
	next := s.replay([]*Ticket{t}, []string{hash}, retained)
	if err := next.checkConsistency(); err != nil {
		return nil, err
	}
	return next, nil
}

// checkNumber refuses a ticket whose number was accepted before, is below the retained numbers, or is lower than
// that of the ticket that last wrote one of the same objects.
func (s *State) checkNumber(t *Ticket) error {
	conflict := &refusal.Error{Run: refusal.NotRun, Status: 409}
	if _, ok := s.Accepted.Get(t.Number); ok {
		conflict.Reason = refusal.NumberReused
		conflict.Message = fmt.Sprintf("ticket %d was accepted with other content", t.Number)
		conflict.Remedy = "give the new content a new number"
		return conflict
	}
	if t.Number < s.Floor {
		conflict.Reason = refusal.NumberTooOld
		conflict.Message = fmt.Sprintf("ticket number %d is below the oldest retained number %d", t.Number, s.Floor)
		conflict.Remedy = "read the present state and send the change under a new number"
		return conflict
	}
	for ref := range t.Touched() {
		if newest, _ := s.Writers.Get(ref); t.Number < newest {
			conflict.Reason = refusal.Superseded
			conflict.Message = fmt.Sprintf("%s was last written by the newer ticket %d", ref, newest)
			conflict.Remedy = fmt.Sprintf("read the present state and send the change under a number above %d", newest)
			return conflict
		}
	}
	return nil
}

// checkKeyHashes refuses a ticket that gives a key a hash that another key still has after the ticket.
func (s *State) checkKeyHashes(t *Ticket) error {
	touched := map[string]bool{}
	for ref := range t.Touched() {
		if ref.Kind == KindKey {
			touched[ref.Name] = true
		}
	}
	written := map[string]string{}
	for _, k := range t.Keys {
		other, used := written[k.SHA256]
		if old, ok := s.Keys[k.SHA256]; ok && !used && !touched[old.Name] {
			other, used = old.Name, true
		}
		if used {
			return invalid("key/%s has the hash of key/%s; create a new key", k.Name, other)
		}
		written[k.SHA256] = k.Name
	}
	return nil
}

// Has reports whether the state contains the object.
func (s *State) Has(ref Ref) bool {
	var ok bool
	switch ref.Kind {
	case KindOrganisation:
		_, ok = s.Organisations[ref.Name]
	case KindKey:
		_, ok = s.KeyByName(ref.Name)
	case KindModel:
		_, ok = s.Models[ref.Name]
	case KindAdapter:
		_, ok = s.Adapters[ref.Name]
	case KindRoute:
		_, ok = s.Routes[ref.Name]
	}
	return ok
}

// KeyByName returns the key with the given name.
func (s *State) KeyByName(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Replay returns the state after the accepted tickets ts, whose content hashes are hashes. It doesn't validate the
// tickets: they were validated when they were accepted, and the state of a host that refused one now would diverge
// from that of the other hosts. Replay doesn't change s.
func (s *State) Replay(ts []*Ticket, hashes []string) *State {
	return s.replay(ts, hashes, MaxRetainedNumbers)
}

func (s *State) replay(ts []*Ticket, hashes []string, retained int) *State {
	next := s.cloneTouched(ts)
	for i, t := range ts {
		next.writeObjects(t)
		next.Accepted = next.Accepted.With(t.Number, hashes[i])
	}
	next.trimAccepted(retained)
	return next
}

// cloneTouched returns a copy of s with clones of the object maps that ts change; it shares the other maps with s.
// Writers already has the numbers of ts.
func (s *State) cloneTouched(ts []*Ticket) *State {
	next := *s
	touched := map[Kind]bool{}
	for _, t := range ts {
		for ref := range t.Touched() {
			touched[ref.Kind] = true
		}
	}
	if touched[KindOrganisation] {
		next.Organisations = maps.Clone(s.Organisations)
	}
	if touched[KindKey] {
		next.Keys = maps.Clone(s.Keys)
	}
	if touched[KindModel] {
		next.Models = maps.Clone(s.Models)
	}
	if touched[KindAdapter] {
		next.Adapters = maps.Clone(s.Adapters)
	}
	if touched[KindRoute] {
		next.Routes = maps.Clone(s.Routes)
	}
	next.Writers = s.Writers.With(ts)
	return &next
}

// writeObjects writes and deletes the objects of t in the maps of s, in place.
func (s *State) writeObjects(t *Ticket) {
	s.removeTouchedKeys(t)
	for _, ref := range t.Delete {
		switch ref.Kind {
		case KindOrganisation:
			delete(s.Organisations, ref.Name)
		case KindModel:
			delete(s.Models, ref.Name)
		case KindAdapter:
			delete(s.Adapters, ref.Name)
		case KindRoute:
			delete(s.Routes, ref.Name)
		}
	}
	for _, o := range t.Organisations {
		s.Organisations[o.Name] = o
	}
	for _, k := range t.Keys {
		s.Keys[k.SHA256] = k
	}
	for _, m := range t.Models {
		s.Models[m.Name] = m
	}
	for _, a := range t.Adapters {
		s.Adapters[a.Name] = a
	}
	for _, r := range t.Routes {
		s.Routes[r.Name] = r
	}
}

// removeTouchedKeys removes the keys that t deletes or replaces, in place. Keys are indexed by hash, so a key that
// gets a new hash would otherwise stay valid under the old one.
func (s *State) removeTouchedKeys(t *Ticket) {
	names := map[string]bool{}
	for ref := range t.Touched() {
		if ref.Kind == KindKey {
			names[ref.Name] = true
		}
	}
	if len(names) > 0 {
		maps.DeleteFunc(s.Keys, func(_ string, k Key) bool { return names[k.Name] })
	}
}

// trimAccepted keeps the highest accepted numbers, as many as retained says, and sets the floor to the lowest of
// them. A floor just above the highest dropped number would admit tickets with numbers in between; they would be
// dropped at once, and sending them again would be refused.
func (s *State) trimAccepted(retained int) {
	if s.Accepted.Len() > retained {
		s.Accepted, s.Floor = s.Accepted.newest(retained)
	}
	s.pruneTombstones()
}

// pruneTombstones drops the tombstones (entries of Writers for deleted objects) below the floor each time the number
// of entries has doubled. Hosts that replay the log in different batches prune at different times; EncodeState
// always prunes, so that their encoded states are equal.
func (s *State) pruneTombstones() {
	if s.Writers.Len() >= s.pruneAt && s.Floor > 0 {
		s.Writers = s.prunedLastWriters()
		s.pruneAt = 2*s.Writers.Len() + 1024
	}
}

// prunedLastWriters returns Writers without the tombstones below the floor. They aren't needed: a ticket with a lower
// number than such a tombstone is refused as number_too_old in any case.
func (s *State) prunedLastWriters() LastWriters {
	keys := make(map[string]bool, len(s.Keys))
	for _, k := range s.Keys {
		keys[Ref{KindKey, k.Name}.String()] = true
	}
	return s.Writers.filter(func(index string, number int64) bool {
		return number >= s.Floor || keys[index] || s.hasIndex(index)
	})
}
