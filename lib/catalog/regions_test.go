package catalog

import (
	"slices"
	"testing"
)

// Guards against one list of regions that replaces the other, and against lists without a common region that allow all.
func TestBothListsOfRegionsAreBinding(t *testing.T) {
	for _, c := range []struct {
		route, organisation, want []string
		ok                        bool
	}{
		{nil, nil, nil, true},
		{[]string{}, []string{}, nil, true},
		{[]string{"n"}, nil, []string{"n"}, true},
		{nil, []string{"s"}, []string{"s"}, true},
		{[]string{"n", "s", "w"}, []string{"s", "w"}, []string{"s", "w"}, true},
		{[]string{"n"}, []string{"s"}, nil, false},
	} {
		r, o := &Route{AllowedRegions: c.route}, &Organisation{AllowedRegions: c.organisation}
		if got, ok := AllowedRegions(r, o); !slices.Equal(got, c.want) || ok != c.ok || ok && (got == nil) != (c.want == nil) {
			t.Errorf("%v and %v: %v, %v", c.route, c.organisation, got, ok)
		}
	}
	if got, ok := AllowedRegions(&Route{AllowedRegions: []string{"n"}}, nil); !ok || len(got) != 1 {
		t.Errorf("without an organisation: %v, %v", got, ok)
	}
}
