package replay

import "fmt"

// routing is the way in which a policy chooses a target.
type routing int

const (
	routeRoundRobin       routing = iota
	routeLeastOutstanding         // the target with the fewest outstanding requests of the same entry host
	routeCost                     // lowest estimated cost, by lib/router
	routeCentralQueue             // one queue for all targets, earliest deadline first
)

// sharing is the way in which the entry hosts share an organisation's rate.
type sharing int

const (
	shareStatic    sharing = iota // an equal fraction for each entry host
	shareLoans                    // a fraction by quota slots, with loans between entry hosts
	shareOneBucket                // one bucket, as if all entry hosts shared memory
)

// Policy selects the algorithms for routing, quota sharing, queueing and placement in a replay.
type Policy struct {
	Name              string
	routing           routing
	sharing           sharing
	adaptivePlacement bool // placement follows demand
	noHysteresis      bool // no hysteresis in adaptive placement; shows how many moves hysteresis saves
	fairQueues        bool // fair queues at the entry hosts; calls that cannot meet their deadline are refused
	unlimitedMemory   bool // every model is loaded on every target, without memory limits or load times
}

var policies = []Policy{
	{Name: "static", routing: routeRoundRobin, sharing: shareStatic},
	{Name: "least-outstanding", routing: routeLeastOutstanding, sharing: shareStatic},
	{Name: "cuminhook", routing: routeCost, sharing: shareLoans, adaptivePlacement: true, fairQueues: true},
	{
		Name: "eager-moves", routing: routeCost, sharing: shareLoans,
		adaptivePlacement: true, noHysteresis: true, fairQueues: true,
	},
	{Name: "upper-bound", routing: routeCentralQueue, sharing: shareOneBucket, fairQueues: true, unlimitedMemory: true},
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	out := make([]string, len(policies))
	for i, p := range policies {
		out[i] = p.Name
	}
	return out
}

// PolicyByName returns the policy of that name, or an error that lists all names.
func PolicyByName(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q; use one of %v", name, PolicyNames())
}
