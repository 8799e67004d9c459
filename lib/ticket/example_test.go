package ticket

import (
	"os"
	"testing"
)

// Guards against an initial ticket of an example deployment that is refused or lacks objects.
func TestExampleTickets(t *testing.T) {
	for name, want := range map[string][3]int{"trinacria": {20, 120, 5}, "virtasen": {30, 100, 5}} {
		data, err := os.ReadFile("../../examples/" + name + "/tickets/0001-initial.yaml")
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := Parse(data)
		if err != nil {
			t.Fatal(err)
		}
		s, err := EmptyState().Apply(parsed)
		if err != nil {
			t.Fatal(err)
		}
		if got := [3]int{len(s.Models), len(s.Adapters), len(s.Organisations)}; got != want {
			t.Errorf("%s: models, adapters, organisations %v, want %v", name, got, want)
		}
	}
}
