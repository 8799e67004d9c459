package ticket

import (
	"fmt"
	"maps"

	"cuminhook.org/cuminhook/lib/refusal"
)

// Retained is the number of newest accepted ticket numbers whose content hash is kept.
const Retained = 100_000

// Empty returns the state before the first ticket.
func Empty() *State {
	return &State{
		Organisations: map[string]Organisation{},
		Keys:          map[string]Key{},
		Models:        map[string]Model{},
		Adapters:      map[string]Adapter{},
		Routes:        map[string]Route{},
	}
}

// Apply returns the state after t, or a refusal: ticket_invalid, number_reused, superseded or
// number_too_old. A ticket that was accepted before with the same content returns s itself. s is not
// changed.
func (s *State) Apply(t *Ticket) (*State, error) { return s.apply(t, Retained) }

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
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

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

// checkKeyHashes refuses a key hash that is in use under another key's name.
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

// Has reports whether the object exists.
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

// Replay returns the state after the accepted tickets ts with the content hashes hashes. It does not judge the
// tickets: they were validated when they were accepted, and a follower that refused one would diverge. s is
// not changed.
func (s *State) Replay(ts []*Ticket, hashes []string) *State { return s.replay(ts, hashes, Retained) }

func (s *State) replay(ts []*Ticket, hashes []string, retained int) *State {
	next := s.copyFor(ts)
	for i, t := range ts {
		next.write(t)
		next.Accepted = next.Accepted.With(t.Number, hashes[i])
	}
	next.trim(retained)
	return next
}

// copyFor copies the maps that ts change and shares the others.
func (s *State) copyFor(ts []*Ticket) *State {
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

// write changes the maps of s in place.
func (s *State) write(t *Ticket) {
	s.dropKeys(t)
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

// dropKeys removes the keys that t deletes or replaces: a key written again with another hash must not stay
// valid under the old one.
func (s *State) dropKeys(t *Ticket) {
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

// trim keeps the newest retained numbers. The floor is the smallest number kept, and not one above the
// largest number dropped: a ticket accepted between the two would be dropped at once, and its repetition
// refused.
func (s *State) trim(retained int) {
	if s.Accepted.Len() > retained {
		s.Accepted, s.Floor = s.Accepted.newest(retained)
	}
	s.pruneTombstones()
}

// pruneTombstones drops tombstones below the floor whenever the entries have doubled. Hosts that follow the log
// in other batches do so at other times; EncodeState evens this out.
func (s *State) pruneTombstones() {
	if s.Writers.Len() >= s.pruneAt && s.Floor > 0 {
		s.Writers = s.prunedWriters()
		s.pruneAt = 2*s.Writers.Len() + 1024
	}
}

// prunedWriters returns the writers without the tombstones below the floor. Every ticket that one of them could
// refuse as superseded is refused as too old already.
func (s *State) prunedWriters() Writers {
	keys := make(map[string]bool, len(s.Keys))
	for _, k := range s.Keys {
		keys[Ref{KindKey, k.Name}.String()] = true
	}
	return s.Writers.filter(func(index string, number int64) bool {
		return number >= s.Floor || keys[index] || s.hasIndex(index)
	})
}
