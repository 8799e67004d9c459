package connbudget

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/registry"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "22", "")) }

var start = time.Unix(1000, 0)

func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%03d", prefix, i))
	}
	return out
}

// fleet returns the budgets of hosts that know each other and n targets of the service s, each with the limit.
func fleet(hosts []string, n, limit int) []*Budget {
	var targets []*registry.Target
	for _, addr := range names("target", n) {
		targets = append(targets, &registry.Target{ID: addr, Addr: addr, Service: "s"})
	}
	c := catalog.New(catalog.Content{Services: []*catalog.Service{{Name: "s", MaxConns: limit}}})
	var out []*Budget
	for _, host := range hosts {
		b := New(host)
		b.SetHosts(hosts)
		b.SetTargets(targets)
		b.SetCatalog(c)
		out = append(out, b)
	}
	return out
}

// part returns how many connections the host keeps to the target.
func (b *Budget) partOf(addr string, now time.Time) int {
	if limit, ok := b.Limit(addr, now); ok && b.Member(addr) {
		return limit
	}
	return 0
}

// Guards against hosts that together open more connections than a target accepts, whatever the demand at each, also while
// one host is not known to the others yet. Each host keeps at least one connection as long as there are enough.
func TestPartsStayWithinTheTargetsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(rt, "hosts")
		limit := rapid.IntRange(2, 1300).Draw(rt, "limit")
		hosts := names("host", n)
		budgets := append(fleet(hosts, 1, limit), fleet(names("host", n+1), 1, limit)[n])
		demand, total := make([]float64, len(budgets)), 0.0
		for i := range budgets {
			demand[i] = rapid.Float64Range(0, 100).Draw(rt, "demand")
			total += demand[i]
		}
		sum := 0
		for i, b := range budgets {
			b.SetDemand("s", demand[i], total, start)
			b.SetDemand("s", demand[i], total, start.Add(time.Minute))
			part := b.partOf("target-000", start)
			if part == 0 && float64(n+2) < usedFraction*float64(limit)/(1+unknownHostsFraction) {
				rt.Errorf("host %d of %d gets no connection of %d", i, n, limit)
			}
			sum += part
		}
		if sum > limit {
			rt.Errorf("%d connections of %d hosts to a target that accepts %d", sum, len(budgets), limit)
		}
	})
}

// Guards against hosts without any target, and against targets with too many hosts, where there are more hosts than
// connections; and against a reshuffle when a host joins.
func TestMoreHostsThanConnectionsAreSpreadEvenly(t *testing.T) {
	const hosts, targets, limit = 195, 3, 100
	count := func(budgets []*Budget) (perTarget map[string]int, perHost map[string]int, members map[string]bool) {
		perTarget, perHost, members = map[string]int{}, map[string]int{}, map[string]bool{}
		for _, b := range budgets {
			for _, addr := range names("target", targets) {
				if part := b.partOf(addr, start); part > 0 {
					perTarget[addr] += part
					perHost[b.host] += part
					members[b.host+" "+addr] = true
				}
			}
		}
		return perTarget, perHost, members
	}
	perTarget, perHost, before := count(fleet(names("host", hosts), targets, limit))
	for addr, n := range perTarget {
		if n > limit || n < limit/2 {
			t.Errorf("%d connections to %s, which accepts %d", n, addr, limit)
		}
	}
	if len(perHost) != hosts {
		t.Errorf("%d of %d hosts have a target", len(perHost), hosts)
	}
	for host, n := range perHost {
		if n > 2 {
			t.Errorf("%s has %d connections, the mean is 1.2", host, n)
		}
	}
	_, _, after := count(fleet(names("host", hosts+1), targets, limit))
	changes := 0
	for key := range before {
		if !after[key] {
			changes++
		}
	}
	if changes > 2*targets {
		t.Errorf("one more host ended %d connections of %d", changes, len(before))
	}
}

// Guards against a host that goes on opening connections to a target whose queue is long, where it accepts fewer than its
// limit, and against one that stays cautious after the queue is gone. The target counts all connections of seven hosts,
// which try to keep as many as they may.
func TestHostsFollowALimitThatShrinks(t *testing.T) {
	const hosts, limit, shrunk, tick = 7, 100, 40, 50 * time.Millisecond
	budgets := fleet(names("host", hosts), 3, limit)
	open := make([]int, hosts)
	run := func(from time.Time, ticks, accepts int) (refused int) {
		for i := range ticks {
			now := from.Add(time.Duration(i) * tick)
			total := 0
			for h, b := range budgets {
				part, _ := b.Limit("target-000", now)
				open[h] = min(open[h], part)
				total += open[h]
			}
			for h, b := range budgets {
				if part, _ := b.Limit("target-000", now); open[h] >= part {
					continue
				}
				if total >= accepts {
					refused++
					b.Refused("target-000", open[h]+1, now)
					continue
				}
				open[h]++
				total++
			}
		}
		return refused
	}
	if n := run(start, 40, limit); n != 0 {
		t.Errorf("%d connections refused by a target that accepts its limit", n)
	}
	whole, _ := budgets[0].Limit("target-000", start)
	const seconds = 10
	refused := run(start.Add(time.Minute), seconds*20, shrunk)
	// Each host tries again when its limit has risen by one, which takes recoveryTime/whole.
	if most := hosts * (whole + seconds*whole*int(time.Second)/int(recoveryTime)); refused > most {
		t.Errorf("%d connections refused within %d s, at most %d tries follow from the recovery time", refused, seconds, most)
	}
	for h, b := range budgets {
		if part, _ := b.Limit("target-000", start.Add(time.Minute+seconds*time.Second+recoveryTime)); part != whole {
			t.Errorf("host %d has a limit of %d after the target accepts %d again, want %d", h, part, limit, whole)
		}
		if part, _ := b.Limit("target-001", start.Add(time.Minute)); part != whole {
			t.Errorf("host %d has a limit of %d at another target, want %d", h, part, whole)
		}
	}
}
