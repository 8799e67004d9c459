package replay

import "fmt"

// routing is how a target is chosen.
type routing int

const (
	routeRoundRobin routing = iota
	routeLeast              // least outstanding requests of the same entry host
	routeCost               // lib/router
	routeCentral            // one queue for all targets, earliest deadline first
)

// sharing is how an organisation's rate is kept over all entry hosts.
type sharing int

const (
	shareStatic sharing = iota // an equal part for each entry host
	shareLoans                 // slots with loans
	shareExact                 // one bucket, as if all entry hosts shared memory
)

// Policy is a set of decisions to replay with.
type Policy struct {
	Name      string
	routing   routing
	sharing   sharing
	adaptive  bool // placement follows demand
	greedy    bool // adaptive placement without hysteresis, for the count of moves
	fair      bool // fair queues at the entry hosts, and refusal of what cannot meet its deadline
	unlimited bool // every model on every target, free of memory and loads
}

var policies = []Policy{
	{Name: "static", routing: routeRoundRobin, sharing: shareStatic},
	{Name: "least-outstanding", routing: routeLeast, sharing: shareStatic},
	{Name: "cuminhook", routing: routeCost, sharing: shareLoans, adaptive: true, fair: true},
	{Name: "eager-moves", routing: routeCost, sharing: shareLoans, adaptive: true, greedy: true, fair: true},
	{Name: "upper-bound", routing: routeCentral, sharing: shareExact, fair: true, unlimited: true},
}

// PolicyNames lists the policies.
func PolicyNames() []string {
	out := make([]string, len(policies))
	for i, p := range policies {
		out[i] = p.Name
	}
	return out
}

// PolicyByName returns a policy.
func PolicyByName(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q; use one of %v", name, PolicyNames())
}
