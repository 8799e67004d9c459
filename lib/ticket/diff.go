package ticket

// Change is what a ticket changes of one object. Before or After is nil if the object does not exist then.
type Change struct {
	Ref
	Before any `json:"before,omitempty" yaml:"before,omitempty"`
	After  any `json:"after,omitempty" yaml:"after,omitempty"`
}

// Diff lists the changes of the objects that t touches from old to next. Objects that are written unchanged
// are included.
func Diff(old, next *State, t *Ticket) []Change {
	var out []Change
	for ref := range t.Touched() {
		out = append(out, Change{ref, old.Object(ref), next.Object(ref)})
	}
	return out
}

// Object returns the object, or nil.
func (s *State) Object(ref Ref) any {
	switch ref.Kind {
	case KindOrganisation:
		return object(s.Organisations, ref.Name)
	case KindKey:
		if k, ok := s.KeyByName(ref.Name); ok {
			return k
		}
	case KindModel:
		return object(s.Models, ref.Name)
	case KindAdapter:
		return object(s.Adapters, ref.Name)
	case KindRoute:
		return object(s.Routes, ref.Name)
	}
	return nil
}

func object[T any](m map[string]T, name string) any {
	if v, ok := m[name]; ok {
		return v
	}
	return nil
}

// Refs returns the references of all objects of a kind.
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
