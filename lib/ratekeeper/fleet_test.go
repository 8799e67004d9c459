package ratekeeper

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/catalog"
)

// Limits of the platform: within a window, an organisation may exceed its rate and burst by the fraction overshoot and by
// slackTokens.
const (
	window      = 8 * time.Second
	overshoot   = 0.1
	slackTokens = 110_000
	step        = 10 * time.Millisecond
	period      = 300 * time.Millisecond
	delay       = 1500 * time.Microsecond // one way
	detection   = 1500 * time.Millisecond // until hosts that are lost count as unreachable
)

// fleet is a set of hosts that exchange messages and reports. Up to 16 of them form the mesh.
type fleet struct {
	org   catalog.Organisation
	nodes []*node
	mesh  int
	loss  float64 // fraction of messages and reports that are lost

	mu     sync.Mutex
	random *rand.Rand // guarded by mu; what arrives when, the same with any number of hosts
	others *rand.Rand // guarded by mu; hosts and losses
	steps  []float64  // guarded by mu; tokens admitted in each step since the start
	asked  float64    // guarded by mu
	denied float64    // guarded by mu
	start  time.Time
}

// node is a host of the fleet.
type node struct {
	*Keepers
	name  string
	limit *catalog.Organisation // as the host knows it
	boot  uint64
	down  bool // guarded by fleet.mu; killed, or cut from all others
	since time.Time
	group int // hosts of different groups do not reach each other
	heard map[string]time.Time
}

func newFleet(hosts int, o catalog.Organisation, seed uint64) *fleet {
	f := &fleet{org: o, mesh: min(16, hosts), random: rand.New(rand.NewPCG(seed, 5)), others: rand.New(rand.NewPCG(seed, 6)), start: time.Now()}
	for i := range hosts {
		n := &node{name: fmt.Sprint("h", i)}
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

// boot starts the host's process anew.
func (f *fleet) boot(n *node) {
	n.limit, n.boot, n.down, n.heard = &f.org, n.boot+1, false, map[string]time.Time{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.Keepers = New(Config{
		Host: n.name, Log: log, Metrics: metrics.NewSet(), Random: f.float,
		Candidates:   func(string) []Candidate { return f.candidates(n) },
		Organisation: func(string) *catalog.Organisation { f.mu.Lock(); defer f.mu.Unlock(); return n.limit },
		Send:         func(host string, data []byte) error { f.send(n, host, data); return nil },
	})
	n.SetHosts(len(f.nodes), len(f.nodes))
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others.Float64()
}

// candidates returns the hosts that may keep the organisation, as a host knows them.
func (f *fleet) candidates(n *node) (out []Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inMesh := slices.Contains(f.nodes[:f.mesh], n)
	for i := range min(3, f.mesh) {
		other := f.nodes[(f.mesh/2+i)%f.mesh]
		c := Candidate{Host: other.name, Reachable: true}
		if inMesh && other != n {
			c.Heard = n.heard[other.name]
			c.Reachable = time.Since(c.Heard) < detection || time.Since(f.start) < detection
		}
		out = append(out, c)
	}
	return out
}

func (f *fleet) byName(name string) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })]
}

// reaches reports whether a message passes now. The caller holds mu.
func (f *fleet) reaches(from, to *node) bool {
	return !from.down && !to.down && from.group == to.group && f.others.Float64() >= f.loss
}

func (f *fleet) send(from *node, host string, data []byte) {
	to := f.byName(host)
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		ok := f.reaches(from, to)
		f.mu.Unlock()
		if ok {
			to.Handle(data)
		}
	})
}

// exchange passes the reports of all hosts to the mesh.
func (f *fleet) exchange() {
	reachable := map[*node]int{}
	for _, from := range f.nodes {
		report := from.Report(time.Now())
		for i, to := range f.nodes {
			f.mu.Lock()
			ok := from != to && f.reaches(from, to)
			if ok && i < f.mesh {
				to.heard[from.name] = time.Now()
			}
			if time.Since(from.since) > detection && !from.down && !to.down && from.group == to.group {
				reachable[from]++
			}
			f.mu.Unlock()
			if ok && i < f.mesh {
				to.ApplyReport(from.name, from.boot, report, time.Now())
			}
		}
	}
	for n, count := range reachable {
		n.SetHosts(len(f.nodes), count)
	}
}

// load describes the requests of all callers in one part of a test.
type load struct {
	perSecond     float64 // tokens, over all hosts
	requestTokens int64   // mean
	host          int     // that gets the part uneven of the requests beside its part of the others
	uneven        float64
	rejected      float64 // part of the admitted requests that targets turn away at once
}

// run sends requests for d.
func (f *fleet) run(d time.Duration, l load) {
	for t := time.Duration(0); t < d; t += step {
		time.Sleep(step)
		if t%period == 0 {
			f.exchange()
		}
		f.mu.Lock()
		f.steps = append(f.steps, 0)
		at := len(f.steps) - 1
		var hosts []*node
		var tokens []int64
		for want := l.perSecond * step.Seconds(); want > 0; want -= float64(l.requestTokens) {
			if f.random.Float64() >= want/float64(l.requestTokens) {
				continue
			}
			i := f.others.IntN(len(f.nodes))
			if f.others.Float64() < l.uneven {
				i = l.host
			}
			if !f.nodes[i].down {
				hosts, tokens = append(hosts, f.nodes[i]), append(tokens, 1+f.random.Int64N(2*l.requestTokens))
			}
		}
		f.mu.Unlock()
		for i, n := range hosts {
			go f.request(n, tokens[i], at, l.rejected)
		}
	}
	for range askTimeout / step { // until the last requests are decided
		time.Sleep(step)
		f.mu.Lock()
		f.steps = append(f.steps, 0)
		f.mu.Unlock()
	}
	synctest.Wait()
}

func (f *fleet) request(n *node, tokens int64, at int, rejected float64) {
	f.mu.Lock()
	limit := n.limit
	f.asked += float64(tokens)
	f.mu.Unlock()
	sent := time.Now()
	d := n.Charge(context.Background(), limit, tokens)
	if d.Admitted && f.float() < rejected {
		time.Sleep(delay)
		n.Withdraw(limit, tokens, d, sent)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Admitted {
		f.steps[at] += float64(tokens)
	} else {
		f.denied += float64(tokens)
	}
}

// most returns the most tokens that were admitted in any window.
func (f *fleet) most() float64 {
	n, sum, largest := int(window/step), 0.0, 0.0
	for i, x := range f.steps {
		if sum += x; i >= n {
			sum -= f.steps[i-n]
		}
		largest = max(largest, sum)
	}
	return largest
}

// keeper returns the first candidate.
func (f *fleet) keeper() *node { return f.byName(f.candidates(f.nodes[0])[0].Host) }

// set changes what holds of a host.
func (f *fleet) set(n *node, change func(*node)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(n)
	n.since = time.Now()
}

// inBubble runs a test on a fleet whose clock is simulated.
func inBubble(t *testing.T, hosts int, o catalog.Organisation, seed uint64, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { test(newFleet(hosts, o, seed)) })
}
