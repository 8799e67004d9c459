package ticket

import (
	"testing"

	"github.com/goccy/go-yaml"

	"cuminhook.org/cuminhook/lib/refusal"
)

// Guards against input that makes the parser panic, that is refused without a remedy, or whose canonical form
// doesn't parse to a ticket with the same hash. The seed corpus is in testdata.
func FuzzParse(f *testing.F) {
	f.Add([]byte(yamlTicket))
	f.Add([]byte(jsonTicket))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Parse(data)
		if err != nil {
			if r, ok := refusal.As(err); !ok || r.Remedy == "" || r.Run != refusal.NotRun {
				t.Fatalf("error without remedy: %v", err)
			}
			return
		}
		again, err := Parse(first.Encode())
		if err != nil || again.Hash() != first.Hash() {
			t.Fatalf("canonical form is not stable: %v\n%s", err, first.Encode())
		}
		text, err := yaml.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		if fromYAML, err := Parse(text); err != nil || fromYAML.Hash() != first.Hash() {
			t.Fatalf("YAML changes the ticket: %v\n%s\n%s", err, text, first.Encode())
		}
		stored, err := Decode(first.Encode())
		if err != nil || stored.Hash() != first.Hash() {
			t.Fatalf("stored form is not stable: %v", err)
		}
		if s, err := EmptyState().Apply(first); err == nil {
			if hash, _ := s.Accepted.Get(first.Number); hash != first.Hash() {
				t.Fatal("applied ticket is not accepted")
			}
		}
	})
}
