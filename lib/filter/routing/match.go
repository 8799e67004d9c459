package routing

import (
	"slices"
	"sort"
	"strings"
	"sync/atomic"

	"cuminhook.org/cuminhook/lib/ticket"
)

// Matcher finds routes by the longest matching path prefix and caches its index of the routes until the state changes.
// The zero value is ready for use.
type Matcher struct{ index atomic.Pointer[routeIndex] }

type routeIndex struct {
	state  *ticket.State
	routes []ticket.Route // longest prefix first
}

// Match returns the route in state whose prefix is the longest that matches path, or false if none does. A prefix
// matches whole path segments only.
func (m *Matcher) Match(state *ticket.State, path string) (ticket.Route, bool) {
	idx := m.index.Load()
	if idx == nil || idx.state != state {
		idx = newRouteIndex(state)
		m.index.Store(idx)
	}
	for _, r := range idx.routes {
		if hasPathPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return ticket.Route{}, false
}

func newRouteIndex(state *ticket.State) *routeIndex {
	idx := &routeIndex{state: state}
	for _, r := range state.Routes {
		idx.routes = append(idx.routes, r)
	}
	sort.Slice(idx.routes, func(i, j int) bool {
		a, b := idx.routes[i], idx.routes[j]
		if len(a.Prefix) != len(b.Prefix) {
			return len(a.Prefix) > len(b.Prefix)
		}
		return a.Name < b.Name
	})
	return idx
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// allowed reports whether an organisation is on a list; an empty list allows all.
func allowed(list []string, organisation string) bool {
	return len(list) == 0 || slices.Contains(list, organisation)
}
