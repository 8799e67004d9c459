package ticket

import (
	"fmt"
	"iter"
	"regexp"
	"slices"
	"strings"
)

// maxAmount is the upper bound of all rates, bursts, sizes and times, so that sums of a few of them can't overflow.
const maxAmount = 1 << 50

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]{0,126}[A-Za-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	httpMethods   = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
)

// String returns "kind/name", which is the object's index in State.Writers.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Touched yields a reference to each object that the ticket writes, then to each one that it deletes.
func (t *Ticket) Touched() iter.Seq[Ref] {
	return func(yield func(Ref) bool) {
		for _, r := range t.writtenRefs() {
			if !yield(r) {
				return
			}
		}
		for _, r := range t.Delete {
			if !yield(r) {
				return
			}
		}
	}
}

// writtenRefs returns references to the objects that the ticket writes.
func (t *Ticket) writtenRefs() []Ref {
	var refs []Ref
	for i := range t.Organisations {
		refs = append(refs, Ref{KindOrganisation, t.Organisations[i].Name})
	}
	for i := range t.Keys {
		refs = append(refs, Ref{KindKey, t.Keys[i].Name})
	}
	for i := range t.Models {
		refs = append(refs, Ref{KindModel, t.Models[i].Name})
	}
	for i := range t.Adapters {
		refs = append(refs, Ref{KindAdapter, t.Adapters[i].Name})
	}
	for i := range t.Routes {
		refs = append(refs, Ref{KindRoute, t.Routes[i].Name})
	}
	return refs
}

// Validate checks everything that can be checked without the state that the ticket is applied to. Errors are
// or wrap a refusal with the reason ticket_invalid.
func (t *Ticket) Validate() error {
	if t.Number < 1 {
		return invalid("number is %d; set it to a positive number that no other ticket has", t.Number)
	}
	seen := map[Ref]bool{}
	for ref := range t.Touched() {
		if !slices.Contains(Kinds(), ref.Kind) {
			return fieldErrorf(ref, "kind", "delete: unknown kind %q; use one of %v", ref.Kind, Kinds())
		}
		if !namePattern.MatchString(ref.Name) {
			return fieldErrorf(ref, "name",
				"%s: bad name %q; use 1 to 128 letters, digits and . _ : / -, with a letter or digit at both ends",
				ref.Kind, ref.Name)
		}
		if seen[ref] {
			return fieldErrorf(ref, "", "%s is touched twice; keep one", ref)
		}
		seen[ref] = true
	}
	if len(seen) == 0 {
		return invalid("the ticket changes nothing; write or delete at least one object")
	}
	return t.validateFields()
}

// Kinds returns all kinds of objects.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindKey, KindModel, KindAdapter, KindRoute}
}

func (t *Ticket) validateFields() error {
	for _, o := range t.Organisations {
		if err := checkAmounts(Ref{KindOrganisation, o.Name}, amount{"rate", o.Rate, 0}, amount{"burst", o.Burst, 0},
			amount{"weight", o.Weight, 1}); err != nil {
			return err
		}
		if o.Rate > 0 && o.Burst == 0 {
			ref := Ref{KindOrganisation, o.Name}
			return fieldErrorf(ref, "burst", "%s: burst is 0 although rate is not; set burst to at least the largest request", ref)
		}
	}
	for _, k := range t.Keys {
		if !sha256Pattern.MatchString(k.SHA256) {
			ref := Ref{KindKey, k.Name}
			return fieldErrorf(ref, "sha256",
				"%s: sha256 is not 64 lower-case hex digits; create keys with 'cuminhookctl keys create'", ref)
		}
	}
	for _, m := range t.Models {
		if err := checkAmounts(Ref{KindModel, m.Name}, amount{"bytes", m.Bytes, 1}, amount{"max_output", m.MaxOutput, 1},
			amount{"deadline_ms", m.DeadlineMS, 1}, amount{"min_copies", int64(m.MinCopies), 1}); err != nil {
			return err
		}
	}
	for _, a := range t.Adapters {
		if err := checkAmounts(Ref{KindAdapter, a.Name}, amount{"bytes", a.Bytes, 1}); err != nil {
			return err
		}
	}
	for _, r := range t.Routes {
		if err := r.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate() error {
	ref := Ref{KindRoute, r.Name}
	if err := checkAmounts(ref, amount{"tokens", r.Tokens, 0}, amount{"deadline_ms", r.DeadlineMS, 1}); err != nil {
		return err
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# ") {
		return fieldErrorf(ref, "prefix", "%s: prefix %q is not a path; start it with a slash", ref, r.Prefix)
	}
	if r.Service == "" {
		return fieldErrorf(ref, "service", "%s: service is empty; name the service as in the host list", ref)
	}
	for _, m := range r.Methods {
		if !slices.Contains(httpMethods, m) {
			return fieldErrorf(ref, "methods", "%s: unknown method %q; use upper-case HTTP methods", ref, m)
		}
	}
	if r.Open && len(r.Organisations) > 0 {
		return fieldErrorf(ref, "organisations", "%s: an open route has organisations; remove one of the two", ref)
	}
	return nil
}

// amount is a numeric field of an object with its lower bound.
type amount struct {
	field    string
	value    int64
	minValue int64
}

func checkAmounts(ref Ref, amounts ...amount) error {
	for _, a := range amounts {
		if a.value < a.minValue || a.value > maxAmount {
			return fieldErrorf(ref, a.field, "%s: %s is %d; set it to %d or more, at most %d",
				ref, a.field, a.value, a.minValue, int64(maxAmount))
		}
	}
	return nil
}

// checkConsistency checks the rules between objects: that referenced objects exist, that no adapter has the name of
// a model, and that no two routes serve the same method and prefix.
func (s *State) checkConsistency() error {
	for _, k := range s.Keys {
		if _, ok := s.Organisations[k.Organisation]; !ok {
			return danglingReference(Ref{KindKey, k.Name}, Ref{KindOrganisation, k.Organisation})
		}
	}
	for _, m := range s.Models {
		if err := s.checkOrganisations(Ref{KindModel, m.Name}, m.Organisations); err != nil {
			return err
		}
	}
	for _, a := range s.Adapters {
		if _, ok := s.Models[a.Model]; !ok {
			return danglingReference(Ref{KindAdapter, a.Name}, Ref{KindModel, a.Model})
		}
		if _, ok := s.Models[a.Name]; ok {
			return invalid("adapter/%s has the name of a model; requests name both in the same field, so rename one", a.Name)
		}
		if err := s.checkOrganisations(Ref{KindAdapter, a.Name}, a.Organisations); err != nil {
			return err
		}
	}
	return s.checkRoutes()
}

func (s *State) checkRoutes() error {
	routeNames := map[string]string{}
	for _, r := range s.Routes {
		if err := s.checkOrganisations(Ref{KindRoute, r.Name}, r.Organisations); err != nil {
			return err
		}
		list := r.Methods
		if len(list) == 0 {
			list = httpMethods
		}
		for _, m := range list {
			endpoint := m + " " + r.Prefix
			if other, ok := routeNames[endpoint]; ok {
				return invalid("route/%s and route/%s both serve %s; change one of them",
					min(r.Name, other), max(r.Name, other), endpoint)
			}
			routeNames[endpoint] = r.Name
		}
	}
	return nil
}

func (s *State) checkOrganisations(ref Ref, names []string) error {
	for _, name := range names {
		if _, ok := s.Organisations[name]; !ok {
			return danglingReference(ref, Ref{KindOrganisation, name})
		}
	}
	return nil
}

// danglingReference returns the refusal for an object that refers to a missing one.
func danglingReference(from, to Ref) error {
	return invalid("%s", fmt.Sprintf("%s refers to %s, which does not exist after this ticket; "+
		"add %s to the ticket, or change or delete %s in it", from, to, to, from))
}
