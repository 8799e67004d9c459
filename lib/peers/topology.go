package peers

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minMeshHosts is the number of hosts up to which all belong to the mesh. Its hosts send each other their states, which
// spreads load and charges faster than any detour, and costs each of them little while they are few.
const minMeshHosts = 16

// topology states which hosts exchange states directly. The hosts of the mesh send each other the sums over themselves and
// their leaves; every other host is a leaf of one of them. So a host receives a number of states that grows with the square
// root of the fleet. All hosts work out the same mesh from the entries in the store.
type topology struct {
	mesh   []string // hosts of the mesh, in a fixed order
	inMesh map[string]bool
	zones  map[string]string // zone by host
}

// meshSize returns how many of n hosts belong to the mesh: a host of the mesh then has about as many leaves as mesh peers.
func meshSize(n int) int {
	if n <= minMeshHosts {
		return n
	}
	return max(minMeshHosts, int(math.Ceil(math.Sqrt(float64(n)))))
}

// newTopology returns the topology of the hosts, given by zone. Each zone has a part of the mesh in proportion to its hosts,
// at least one.
func newTopology(zones map[string]string) *topology {
	byZone := map[string][]string{}
	for host, zone := range zones {
		byZone[zone] = append(byZone[zone], host)
	}
	t := &topology{inMesh: map[string]bool{}, zones: zones}
	fraction := float64(meshSize(len(zones))) / float64(max(1, len(zones)))
	for _, hosts := range byZone {
		sortByHash(hosts, "mesh")
		n := max(1, int(math.Round(fraction*float64(len(hosts)))))
		t.mesh = append(t.mesh, hosts[:min(n, len(hosts))]...)
	}
	slices.Sort(t.mesh)
	for _, host := range t.mesh {
		t.inMesh[host] = true
	}
	return t
}

// aggregators returns the hosts of the mesh in the order in which a leaf tries them: those of its own zone first, and in an
// order of its own, so that the leaves spread evenly.
func (t *topology) aggregators(leaf string) []string {
	out := slices.Clone(t.mesh)
	sortByHash(out, leaf)
	slices.SortStableFunc(out, func(a, b string) int {
		return cmp.Compare(t.otherZone(a, leaf), t.otherZone(b, leaf))
	})
	return slices.DeleteFunc(out, func(host string) bool { return host == leaf })
}

func (t *topology) otherZone(a, b string) int {
	if t.zones[a] != t.zones[b] {
		return 1
	}
	return 0
}

// sortByHash sorts hosts in an order that depends on the key.
func sortByHash(hosts []string, key string) {
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(key+"/"+a), xxhash.Sum64String(key+"/"+b)), cmp.Compare(a, b))
	})
}
