package manifest

import (
	"reflect"
	"slices"
	"testing"

	"cuminhook.org/cuminhook/lib/ticket"
)

// Guards against a withdrawn key or a lowered rate that is not announced, so that hosts cut off by an outage go on
// serving it, and against announcing keys and rates that stay valid, so that those hosts refuse them.
func TestTicketRestrictionNamesWhatIsWithdrawn(t *testing.T) {
	hash := func(s string) string { return ticket.HashBytes([]byte(s)) }
	old, err := ticket.EmptyState().Apply(&ticket.Ticket{
		Number: 1,
		Organisations: []ticket.Organisation{
			{Name: "a", Rate: 10, Burst: 100}, {Name: "b", Rate: 10, Burst: 100}, {Name: "c", Rate: 10, Burst: 100}, {Name: "d"},
		},
		Keys: []ticket.Key{
			{Name: "deleted", Organisation: "a", SHA256: hash("deleted")},
			{Name: "replaced", Organisation: "a", SHA256: hash("replaced")},
			{Name: "moved", Organisation: "a", SHA256: hash("moved")},
			{Name: "same", Organisation: "a", SHA256: hash("same")},
			{Name: "other", Organisation: "a", SHA256: hash("other")},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	r := TicketRestriction(old, &ticket.Ticket{
		Number: 2,
		Organisations: []ticket.Organisation{
			{Name: "a", Rate: 20, Burst: 50}, {Name: "b", Rate: 10, Burst: 200}, {Name: "new", Rate: 1, Burst: 1},
		},
		Keys: []ticket.Key{
			{Name: "replaced", Organisation: "a", SHA256: hash("new")},
			{Name: "moved", Organisation: "b", SHA256: hash("moved")},
			{Name: "same", Organisation: "a", SHA256: hash("same")},
		},
		Delete: []ticket.Ref{{Kind: ticket.KindKey, Name: "deleted"}, {Kind: ticket.KindOrganisation, Name: "c"}},
	})
	want := []string{hash("deleted"), hash("replaced"), hash("moved")}
	slices.Sort(want)
	slices.Sort(r.Keys)
	if !slices.Equal(r.Keys, want) || !reflect.DeepEqual(r.Rates, map[string]Limit{"a": {10, 50}, "c": {}}) {
		t.Fatalf("%+v", r)
	}
}
