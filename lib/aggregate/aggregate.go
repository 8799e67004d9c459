// Package aggregate sums what hosts report about themselves, so that a host that stands for others sends one state in their
// place. It answers fleets of hundreds of hosts, where a state from each host to each other one takes more processor time
// and bandwidth than the requests.
//
// The package does no I/O.
package aggregate

import (
	"maps"
	"math"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/sharedrate"
)

// Contribution is what one host reports, or the sum over several.
type Contribution struct {
	Hosts        int                     `json:"k,omitempty"`  // hosts that it covers
	Demand       sharedrate.Report       `json:"d,omitempty"`  // charges and demand of organisations
	TargetDemand sharedrate.Report       `json:"g,omitempty"`  // charges and demand of targets that state a limit, by target
	Loads        map[string]balance.Load `json:"l,omitempty"`  // requests in flight, by target
	EngineLoad   map[string]float64      `json:"w,omitempty"`  // milliseconds of engine time a second, by model
	AdapterRates map[string]float64      `json:"a,omitempty"`  // requests a second, by model/adapter
	Outcomes     quarantine.Outcomes     `json:"o,omitzero"`   // of requests, until their answers began
	Cut          int                     `json:"pc,omitempty"` // hosts that reach no target
	Suspects     map[string]int          `json:"u,omitempty"`  // hosts that find a target unresponsive, by target
	// Failures counts recent requests by target, of targets that fail some; empty where targets are not set aside for that.
	Failures map[string]balance.Failures `json:"of,omitempty"`
}

// member is one host, or another sum.
type member struct {
	boot          uint64
	current       Contribution       // zero once the member was removed
	charged       map[string]float64 // tokens by organisation that were counted of the member since it was first seen
	targetCharged map[string]float64 // the same by target, of the targets that it still reports
}

// Sum is a sum over members. Its charges are the increases that were seen, however members come, go and restart. It is not
// safe for concurrent use.
type Sum struct{ members map[string]*member }

// New returns an empty sum.
func New() *Sum { return &Sum{members: map[string]*member{}} }

// Set stores the latest contribution of a member. The boot id distinguishes the starts of the member, each of which counts
// its charges from zero. What a member charged before it was first seen is not counted.
func (s *Sum) Set(name string, boot uint64, c Contribution) {
	m := s.members[name]
	if m == nil {
		m = &member{boot: boot, charged: map[string]float64{}, targetCharged: map[string]float64{}}
		m.current.Demand, m.current.TargetDemand = c.Demand, c.TargetDemand
		s.members[name] = m
	}
	addIncreases(m.charged, m.current.Demand, c.Demand, m.boot == boot)
	addIncreases(m.targetCharged, m.current.TargetDemand, c.TargetDemand, m.boot == boot)
	maps.DeleteFunc(m.targetCharged, func(target string, _ float64) bool { _, ok := c.TargetDemand[target]; return !ok })
	m.boot, m.current = boot, c
}

// addIncreases adds to charged what a member has charged between two reports; sameBoot states that it did not restart.
func addIncreases(charged map[string]float64, before, after sharedrate.Report, sameBoot bool) {
	for name, u := range after {
		increase := u.Charged
		if sameBoot {
			increase -= before[name].Charged
		}
		charged[name] += increase // negative after a refund
	}
}

// Remove drops the contribution of a member. Its charges stay counted, and are continued if it returns.
func (s *Sum) Remove(name string) {
	if m := s.members[name]; m != nil {
		m.current = Contribution{Demand: chargesOnly(m.current.Demand), TargetDemand: chargesOnly(m.current.TargetDemand)}
	}
}

// chargesOnly returns the report without demand.
func chargesOnly(r sharedrate.Report) sharedrate.Report {
	out := make(sharedrate.Report, len(r))
	for org, u := range r {
		out[org] = sharedrate.Usage{Charged: u.Charged}
	}
	return out
}

// Total returns the sum over the members for which include returns true; nil includes all. The estimates of the shared
// buckets are averaged over the hosts.
func (s *Sum) Total(include func(name string) bool) Contribution {
	out := Contribution{
		Demand: sharedrate.Report{}, TargetDemand: sharedrate.Report{}, Loads: map[string]balance.Load{}, EngineLoad: map[string]float64{},
		AdapterRates: map[string]float64{}, Suspects: map[string]int{}, Failures: map[string]balance.Failures{},
	}
	estimating, estimatingTarget := map[string]float64{}, map[string]float64{}
	for name, m := range s.members {
		if include != nil && !include(name) {
			continue
		}
		out.Hosts += m.current.Hosts
		addUsage(out.Demand, estimating, m.current.Demand, m.charged, m.current.Hosts)
		addUsage(out.TargetDemand, estimatingTarget, m.current.TargetDemand, m.targetCharged, m.current.Hosts)
		out.add(&m.current, 1)
	}
	averageEstimates(out.Demand, estimating)
	averageEstimates(out.TargetDemand, estimatingTarget)
	return out
}

// Counts returns the number of hosts that the members cover for which include returns true, and of those that reach no target.
func (s *Sum) Counts(include func(name string) bool) (hosts, cut int) {
	for name, m := range s.members {
		if include(name) {
			hosts, cut = hosts+m.current.Hosts, cut+m.current.Cut
		}
	}
	return hosts, cut
}

// addUsage adds the usage of a member that covers hosts to a sum. Estimates of shared buckets are added by host, and estimating
// counts the hosts.
func addUsage(sum sharedrate.Report, estimating map[string]float64, usage sharedrate.Report, charged map[string]float64, hosts int) {
	for name, u := range usage {
		total := sum[name]
		total.Demand += u.Demand
		total.SharedTokens += u.SharedTokens * float64(hosts)
		sum[name] = total
		estimating[name] += float64(hosts)
	}
	for name, tokens := range charged {
		total := sum[name]
		total.Charged += tokens
		sum[name] = total
	}
}

// averageEstimates divides the sums of estimates by the number of hosts that made them.
func averageEstimates(sum sharedrate.Report, estimating map[string]float64) {
	for name, hosts := range estimating {
		if total := sum[name]; hosts > 0 {
			total.SharedTokens /= hosts
			sum[name] = total
		}
	}
}

// subtractUsage returns the sum without a member.
func subtractUsage(sum, usage sharedrate.Report, charged map[string]float64) sharedrate.Report {
	out := maps.Clone(sum)
	for name, u := range out {
		u.Charged -= charged[name]
		u.Demand = max(0, u.Demand-usage[name].Demand)
		out[name] = u
	}
	return out
}

// Without returns total, the sum over members that include the one named, without that member.
func (s *Sum) Without(total Contribution, name string) Contribution {
	m := s.members[name]
	if m == nil {
		return total
	}
	out := total
	out.Hosts -= m.current.Hosts
	out.Demand = subtractUsage(total.Demand, m.current.Demand, m.charged)
	out.TargetDemand = subtractUsage(total.TargetDemand, m.current.TargetDemand, m.targetCharged)
	out.Loads = maps.Clone(total.Loads)
	out.EngineLoad, out.AdapterRates = maps.Clone(total.EngineLoad), maps.Clone(total.AdapterRates)
	out.Suspects, out.Failures = maps.Clone(total.Suspects), maps.Clone(total.Failures)
	out.add(&m.current, -1)
	return out
}

// add adds c, or subtracts it if sign is -1, without its hosts and demand. Entries that become zero are dropped.
func (t *Contribution) add(c *Contribution, sign int) {
	t.Cut += sign * c.Cut
	for id, load := range c.Loads {
		if sum := t.Loads[id].Plus(load, int64(sign)); sum != (balance.Load{}) {
			t.Loads[id] = sum
		} else {
			delete(t.Loads, id)
		}
	}
	for id, n := range c.Suspects {
		if t.Suspects[id] += sign * n; t.Suspects[id] <= 0 {
			delete(t.Suspects, id)
		}
	}
	for id, f := range c.Failures {
		if sum := t.Failures[id].Plus(f, float64(sign)).Rounded(); sum != (balance.Failures{}) {
			t.Failures[id] = sum
		} else {
			delete(t.Failures, id)
		}
	}
	t.Outcomes = t.Outcomes.Plus(c.Outcomes, float64(sign))
	addRates(t.EngineLoad, c.EngineLoad, sign)
	addRates(t.AdapterRates, c.AdapterRates, sign)
}

// Round rounds the rates and estimates of a sum to what receivers can tell apart: sums of fractions have digits that do not
// compress. It changes the maps of c. Charges stay exact, as receivers add up their increases.
func (c *Contribution) Round() {
	for name, u := range c.Demand {
		u.Demand, u.SharedTokens = math.Round(u.Demand), math.Round(u.SharedTokens)
		c.Demand[name] = u
	}
	for model, ms := range c.EngineLoad {
		c.EngineLoad[model] = math.Round(ms*10) / 10
	}
	for name, perSecond := range c.AdapterRates {
		c.AdapterRates[name] = math.Round(perSecond*1000) / 1000
	}
}

// minRate is the rate below which a difference is taken for a rounding error.
const minRate = 1e-6

func addRates(sum, rates map[string]float64, sign int) {
	for key, rate := range rates {
		if sum[key] += float64(sign) * rate; sum[key] < minRate {
			delete(sum, key)
		}
	}
}
