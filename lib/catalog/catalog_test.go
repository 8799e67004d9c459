package catalog

import "testing"

// Guards against requests that go to a route with a shorter prefix, or to none because of the case or port of their host.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := New(Content{Routes: []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, q := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:80", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := c.Match(q.host, q.path); r != nil {
			got = r.Name
		}
		if got != q.want {
			t.Errorf("%s%s goes to %q, want %q", q.host, q.path, got, q.want)
		}
	}
}

// Guards against a split of requests that differs from the weights of the services.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := &Route{Split: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	for pick, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b"} {
		if got := r.PickService(pick); got != want {
			t.Errorf("%v goes to %s, want %s", pick, got, want)
		}
	}
}
