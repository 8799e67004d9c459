package ticket

// Change is the value of one object before and after a ticket. Before or After is nil if the object doesn't exist
// at that point.
type Change struct {
	Ref
	Before any `json:"before,omitempty" yaml:"before,omitempty"`
	After  any `json:"after,omitempty" yaml:"after,omitempty"`
}

// Diff returns a Change for every object that t writes or deletes, from the state old before t to the state next
// after it. Objects whose value stays the same are included.
func Diff(old, next *State, t *Ticket) []Change {
	var out []Change
	for ref := range t.Touched() {
		out = append(out, Change{ref, old.Object(ref), next.Object(ref)})
	}
	return out
}

// Object returns the value of the object, or nil if it doesn't exist.
func (s *State) Object(ref Ref) any {
	switch ref.Kind {
	case KindOrganisation:
		return lookUp(s.Organisations, ref.Name)
	case KindKey:
		if k, ok := s.KeyByName(ref.Name); ok {
			return k
		}
	case KindModel:
		return lookUp(s.Models, ref.Name)
	case KindAdapter:
		return lookUp(s.Adapters, ref.Name)
	case KindRoute:
		return lookUp(s.Routes, ref.Name)
	}
	return nil
}

// lookUp returns m[name], or an untyped nil if there is no such entry.
func lookUp[T any](m map[string]T, name string) any {
	if v, ok := m[name]; ok {
		return v
	}
	return nil
}

// Refs returns references to all objects of a kind, in no particular order.
func (s *State) Refs(kind Kind) []Ref {
	var out []Ref
	add := func(name string) { out = append(out, Ref{kind, name}) }
	switch kind {
	case KindOrganisation:
		for name := range s.Organisations {
			add(name)
		}
	case KindKey:
		for _, k := range s.Keys {
			add(k.Name)
		}
	case KindModel:
		for name := range s.Models {
			add(name)
		}
	case KindAdapter:
		for name := range s.Adapters {
			add(name)
		}
	case KindRoute:
		for name := range s.Routes {
			add(name)
		}
	}
	return out
}
