package ticket

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "1", "")) }

// testMaxRetainedNumbers replaces MaxRetainedNumbers. It is small, so that short sequences of tickets raise the floor.
const testMaxRetainedNumbers = 4

var testNames = []string{"a", "b", "c"}

// ticketGen generates tickets whose numbers and names often clash.
var ticketGen = rapid.Custom(func(t *rapid.T) *Ticket {
	name := rapid.SampledFrom(testNames)
	tk := &Ticket{Number: rapid.Int64Range(1, 12).Draw(t, "number")}
	seen := map[Ref]bool{}
	for range rapid.IntRange(1, 3).Draw(t, "objects") {
		ref := Ref{rapid.SampledFrom(Kinds()).Draw(t, "kind"), name.Draw(t, "name")}
		if ref.Kind == KindModel {
			ref.Name = "m" + ref.Name // adapters and models share one name space
		}
		if seen[ref] {
			continue
		}
		seen[ref] = true
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			tk.Delete = append(tk.Delete, ref)
			continue
		}
		other, n := name.Draw(t, "other"), rapid.Int64Range(1, 2).Draw(t, "value")
		switch ref.Kind {
		case KindOrganisation:
			tk.Organisations = append(tk.Organisations, Organisation{ref.Name, n, n, 1})
		case KindKey:
			tk.Keys = append(tk.Keys, Key{ref.Name, other, HashBytes([]byte(fmt.Sprint(other, n)))})
		case KindModel:
			tk.Models = append(tk.Models, Model{Name: ref.Name, Bytes: n, MaxOutput: 1, DeadlineMS: 1})
		case KindAdapter:
			tk.Adapters = append(tk.Adapters, Adapter{Name: ref.Name, Model: "m" + other, Bytes: n})
		case KindRoute:
			tk.Routes = append(tk.Routes, Route{Name: ref.Name, Prefix: "/" + ref.Name, Service: "s", DeadlineMS: n})
		}
	}
	return tk
})

// sequenceGen generates sequences of tickets. The first ticket creates objects that the others can refer to, and some
// tickets occur more than once.
var sequenceGen = rapid.Custom(func(t *rapid.T) []*Ticket {
	base := &Ticket{Number: 1}
	for _, name := range testNames {
		base.Organisations = append(base.Organisations, Organisation{name, 1, 1, 1})
		base.Models = append(base.Models, Model{Name: "m" + name, Bytes: 1, MaxOutput: 1, DeadlineMS: 1})
	}
	out := []*Ticket{base}
	for range rapid.IntRange(1, 30).Draw(t, "length") {
		if rapid.IntRange(0, 3).Draw(t, "again") == 0 {
			out = append(out, rapid.SampledFrom(out).Draw(t, "earlier"))
		} else {
			out = append(out, ticketGen.Draw(t, "ticket"))
		}
	}
	return out
})

// spec implements the rules on ticket numbers (section 7.5 of the design page) directly on the log of accepted
// tickets. It doesn't cover the references between objects; checkState checks them on the resulting state.
type spec struct{ log []*Ticket }

// expectedReason returns the reason with which t must be refused, or an empty reason if the rules on numbers permit it.
func (s *spec) expectedReason(t *Ticket) refusal.Reason {
	var numbers []int64
	newest := map[Ref]int64{}
	for _, old := range s.log {
		numbers = append(numbers, old.Number)
		for ref := range old.Touched() {
			newest[ref] = max(newest[ref], old.Number)
		}
	}
	slices.Sort(numbers)
	kept := numbers[max(0, len(numbers)-testMaxRetainedNumbers):]
	for _, old := range s.log {
		if old.Number != t.Number || !slices.Contains(kept, t.Number) {
			continue
		}
		if old.Hash() == t.Hash() {
			return ""
		}
		return refusal.NumberReused
	}
	if len(numbers) > testMaxRetainedNumbers && t.Number < kept[0] {
		return refusal.NumberTooOld
	}
	for ref := range t.Touched() {
		if t.Number < newest[ref] {
			return refusal.Superseded
		}
	}
	return "" // the ticket may still be refused as ticket_invalid
}

type applyFunc func(s *State, t *Ticket) (*State, error)

// checkSequence applies the tickets in order and returns an error at the first deviation from spec.
func checkSequence(tickets []*Ticket, apply applyFunc) error {
	var model spec
	s := EmptyState()
	for i, t := range tickets {
		before, _ := json.Marshal(s)
		want := model.expectedReason(t)
		next, err := apply(s, t)
		if after, _ := json.Marshal(s); !bytes.Equal(before, after) {
			return fmt.Errorf("step %d: the state given to Apply changed", i)
		}
		var got refusal.Reason
		if r, ok := refusal.As(err); ok {
			got = r.Reason
		}
		if got != want && !(want == "" && got == refusal.TicketInvalid) {
			return fmt.Errorf("step %d: ticket %d: got %q, want %q", i, t.Number, got, want)
		}
		if err != nil || next == s {
			continue
		}
		model.log = append(model.log, t)
		if err := checkState(next, model.log); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		s = next
	}
	return nil
}

// checkState checks a state against the log of accepted tickets that led to it.
func checkState(s *State, log []*Ticket) error {
	objects, keys := map[Ref]bool{}, map[string]string{}
	for _, t := range log {
		for ref := range t.Touched() {
			objects[ref] = !slices.Contains(t.Delete, ref)
		}
		for _, k := range t.Keys {
			keys[k.Name] = k.SHA256
		}
	}
	for ref, want := range objects {
		if s.Has(ref) != want {
			return fmt.Errorf("%s exists: %v, want %v", ref, !want, want)
		}
	}
	for hash, k := range s.Keys {
		if keys[k.Name] != hash {
			return fmt.Errorf("key %s is valid under a hash that was replaced", k.Name)
		}
		if _, ok := s.Organisations[k.Organisation]; !ok {
			return fmt.Errorf("key %s belongs to no organisation", k.Name)
		}
	}
	for _, a := range s.Adapters {
		if _, ok := s.Models[a.Model]; !ok {
			return fmt.Errorf("adapter %s has no model", a.Name)
		}
	}
	hashes := make([]string, len(log))
	for i, t := range log {
		hashes[i] = t.Hash()
	}
	batch := EmptyState().replay(log, hashes, testMaxRetainedNumbers)
	if !reflect.DeepEqual(maps.Collect(batch.Accepted.All()), maps.Collect(s.Accepted.All())) || batch.Floor != s.Floor || !maps.Equal(batch.Keys, s.Keys) ||
		!maps.Equal(batch.Organisations, s.Organisations) ||
		!maps.Equal(maps.Collect(batch.prunedLastWriters().All()), maps.Collect(s.prunedLastWriters().All())) {
		return fmt.Errorf("replaying the log in one batch leads to another state")
	}
	return nil
}

// Guards against a ticket with a lower or reused number reverting an accepted change, dangling references, replaced
// keys that stay valid, and changes to a state that has been published.
func TestApplyFollowsSpec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets := sequenceGen.Draw(t, "tickets")
		err := checkSequence(tickets, func(s *State, t *Ticket) (*State, error) {
			return s.apply(t, testMaxRetainedNumbers)
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checkSequence missing faults: it must fail for each of several broken implementations of Apply.
func TestCheckSequenceDetectsBrokenApply(t *testing.T) {
	apply := func(s *State, t *Ticket) (*State, error) { return s.apply(t, testMaxRetainedNumbers) }
	for name, broken := range map[string]applyFunc{
		"numbers unchecked": func(s *State, t *Ticket) (*State, error) {
			t = t.Canonical()
			return s.replay([]*Ticket{t}, []string{t.Hash()}, testMaxRetainedNumbers), nil
		},
		"no tombstones": func(s *State, t *Ticket) (*State, error) {
			next, err := apply(s, t)
			if err == nil {
				next.Writers = next.Writers.filter(func(index string, _ int64) bool {
					return !slices.ContainsFunc(t.Delete, func(r Ref) bool { return r.String() == index })
				})
			}
			return next, err
		},
		"no floor": func(s *State, t *Ticket) (*State, error) {
			next, err := apply(s, t)
			if err == nil {
				next.Floor = 0
			}
			return next, err
		},
		"written in place": func(s *State, t *Ticket) (*State, error) {
			next, err := apply(s, t)
			if err == nil && next != s {
				*s = *next
			}
			return next, err
		},
		"replaced keys kept": func(s *State, t *Ticket) (*State, error) {
			next, err := apply(s, t)
			if err == nil {
				maps.Copy(next.Keys, s.Keys)
			}
			return next, err
		},
	} {
		caught := false
		for seed := 0; seed < 200 && !caught; seed++ {
			caught = checkSequence(sequenceGen.Example(seed), broken) != nil
		}
		if !caught {
			t.Errorf("checkSequence found no fault in the implementation %q", name)
		}
	}
}
