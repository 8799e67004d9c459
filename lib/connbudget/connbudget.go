// Package connbudget divides the connections that each target accepts among all hosts. It answers load that comes in bursts
// at many hosts at once: each opens connections when its requests pile up, and a target resets those above its limit, which
// may cut requests that must run once.
//
// Every host works out its part from what all hosts know, without asking another one: the limit of the service, the number
// of hosts, and its fraction of the demand. What it cannot know, the connections that a target really accepts while its
// queue is long, it learns from refused connections.
//
// The package does no I/O, and takes the time as an argument.
package connbudget

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// usedFraction is the fraction of a target's limit that the hosts divide. The rest is for health checks, reports and
	// orders, and for hosts whose view of the fleet is out of date.
	usedFraction = 0.8
	// unknownHostsFraction is the fraction of the hosts that may exist without being known yet; at least one may.
	unknownHostsFraction = 0.1
	// equalFraction is the fraction of a target's connections that is divided equally. The rest is divided by demand.
	equalFraction = 0.5
	// demandTimeConstant is the time constant with which a host's fraction of the demand follows the measured one.
	demandTimeConstant = 2 * time.Second
	// recoveryTime is the time in which a limit that was lowered after a refused connection rises by the host's whole part.
	// A target accepts fewer connections while its queue is long, which lasts for seconds.
	recoveryTime = 5 * time.Second
)

// Budget is the budget of one host. It is safe for concurrent use.
type Budget struct {
	host string

	mu       sync.Mutex
	hosts    []string            // guarded by mu; known hosts in ring order, this one included
	limits   map[string]int      // guarded by mu; connections that each target of a service accepts, by service
	targets  map[string]*target  // guarded by mu; by address
	services map[string]*service // guarded by mu; by name
	brittle  map[string]bool     // guarded by mu; services whose targets get no more requests than they have slots
}

// target is a target with what was learned of it.
type target struct {
	service   string
	slots     int
	closed    bool // this host may not use the target
	part      int  // connections that this host may open
	member    bool // this host keeps connections to the target; always true while there are no more hosts than connections
	learned   float64
	learnedAt time.Time // zero: no connection was refused
}

// service is this host's fraction of the demand for a service.
type service struct {
	demandFraction float64
	updated        time.Time
}

// New returns the budget of a host that knows no other host, target or limit. Without a limit nothing is limited.
func New(host string) *Budget {
	return &Budget{
		host: host, hosts: []string{host}, limits: map[string]int{}, targets: map[string]*target{}, services: map[string]*service{},
	}
}

// SetHosts sets the known hosts. This host is always one of them.
func (b *Budget) SetHosts(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := append(slices.Clone(names), b.host)
	slices.SortFunc(hosts, func(a, c string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(c)), cmp.Compare(a, c))
	})
	b.hosts = slices.Compact(hosts)
	b.divide()
}

// SetCatalog sets the limits of the services in a configuration.
func (b *Budget) SetCatalog(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.limits)
	for _, s := range c.Services {
		b.limits[s.Name] = s.MaxConns
	}
	b.divide()
}

// SetTargets sets the targets. What was learned of a target stays while its address belongs to the same service.
func (b *Budget) SetTargets(list []*registry.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.targets
	b.targets = make(map[string]*target, len(list))
	for _, info := range list {
		t := old[info.Addr]
		if t == nil || t.service != info.Service {
			t = &target{service: info.Service}
		}
		t.slots = info.Slots
		b.targets[info.Addr] = t
	}
	b.divide()
}

// SetBrittle sets the services whose targets get no more requests from all hosts together than they have slots.
func (b *Budget) SetBrittle(services []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle = map[string]bool{}
	for _, name := range services {
		b.brittle[name] = true
	}
	b.divide()
}

// Members returns the hosts that may use a target of a brittle service, or nil if this host is one of them or all may.
func (b *Budget) Members(name string) (out []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.brittle[name] {
		return nil
	}
	usable := b.usable(name)
	addrs := b.addrs(name)
	for i, addr := range addrs {
		if !b.targets[addr].closed {
			return nil
		}
		for k := range min(usable, len(b.hosts)) {
			out = append(out, b.hosts[(i*len(b.hosts)/len(addrs)+k)%len(b.hosts)])
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// limit returns the connections that all hosts together may have to a target of the service, zero if there is no limit. The caller holds mu.
func (b *Budget) limit(name string) int {
	limit := b.limits[name]
	if b.brittle[name] {
		for _, t := range b.targets {
			if t.service == name && t.slots > 0 && (limit <= 0 || t.slots < limit) {
				limit = t.slots
			}
		}
	}
	return limit
}

// usable returns the connections to a target that the hosts divide. The caller holds mu.
func (b *Budget) usable(name string) int {
	if b.brittle[name] { // health checks and orders take no slots
		return max(1, b.limit(name))
	}
	return max(1, int(usedFraction*float64(b.limit(name))))
}

// addrs returns the addresses of a service's targets in an order that is the same at all hosts. The caller holds mu.
func (b *Budget) addrs(name string) (out []string) {
	for addr, t := range b.targets {
		if t.service == name {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, c string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(c)), cmp.Compare(a, c))
	})
	return out
}

// SetDemand sets the demand for a service at this host and at all hosts together, this one included, in any common unit.
func (b *Budget) SetDemand(name string, local, total float64, now time.Time) {
	if total <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	measured := min(1, local/total)
	s := b.services[name]
	if s == nil {
		s = &service{demandFraction: 1 / float64(len(b.hosts)), updated: now}
		b.services[name] = s
	}
	weight := min(1, now.Sub(s.updated).Seconds()/demandTimeConstant.Seconds())
	s.demandFraction += weight * (measured - s.demandFraction)
	s.updated = now
	b.divideService(name)
}

// divide works out this host's parts of all targets. The caller holds mu.
func (b *Budget) divide() {
	for name := range b.limits {
		b.divideService(name)
	}
	for _, t := range b.targets {
		if b.limit(t.service) <= 0 {
			t.part, t.member, t.closed = 0, true, false
		}
	}
}

// divideService works out this host's parts of a service's targets. The caller holds mu.
func (b *Budget) divideService(name string) {
	if b.limit(name) <= 0 {
		return
	}
	usable := b.usable(name)
	hosts := float64(len(b.hosts)) + max(1, unknownHostsFraction*float64(len(b.hosts)))
	if float64(usable) < hosts {
		b.divideAmongMembers(name, usable)
		return
	}
	fraction := 1 / float64(len(b.hosts))
	if s := b.services[name]; s != nil {
		fraction = s.demandFraction
	}
	part := max(1, int(float64(usable)*(equalFraction/hosts+(1-equalFraction)*fraction*float64(len(b.hosts))/hosts)))
	for _, t := range b.targets {
		if t.service == name {
			t.part, t.member, t.closed = part, true, false
		}
	}
}

// divideAmongMembers gives one connection to each of usable hosts a target, because there are more hosts than connections.
// The hosts form a ring in the order of their hashes, and each target's members follow each other on it, from starting
// points that are spread evenly. So every host is a member of about equally many targets, and a host that comes or goes
// changes one member of the targets around it. The caller holds mu.
func (b *Budget) divideAmongMembers(name string, usable int) {
	addrs := b.addrs(name)
	self, n := slices.Index(b.hosts, b.host), len(b.hosts)
	for i, addr := range addrs {
		first := i * n / len(addrs)
		t := b.targets[addr]
		t.part, t.member = 1, (self-first+n)%n < usable
		t.closed = b.brittle[name] && !t.member
	}
}

// Limit returns how many connections this host may have to a target, and false if there is no limit.
func (b *Budget) Limit(addr string, now time.Time) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[addr]
	if t == nil || t.part == 0 {
		return 0, false
	}
	if t.closed {
		return 0, true
	}
	if t.learnedAt.IsZero() {
		return t.part, true
	}
	learned := t.learned + float64(t.part)*now.Sub(t.learnedAt).Seconds()/recoveryTime.Seconds()
	if learned >= float64(t.part) {
		t.learnedAt = time.Time{}
		return t.part, true
	}
	return max(1, int(learned)), true
}

// Member reports whether this host should prefer the target to others to which it keeps no connections.
func (b *Budget) Member(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[addr]
	return t == nil || t.member
}

// Refused records that a target closed a new connection at once while this host had open connections to it, that one
// included. The host keeps one connection less for a while.
func (b *Budget) Refused(addr string, open int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[addr]
	if t == nil || t.part == 0 {
		return
	}
	t.learned, t.learnedAt = float64(max(1, min(open-1, t.part))), now
}
