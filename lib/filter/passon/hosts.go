package passon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidTime is how long a host that took no request is left out.
	avoidTime = 3 * time.Second
	// provenTime is how long a host that took a request is preferred to those of which nothing is known.
	provenTime = 10 * time.Second
	// exploreFraction is the fraction of requests that go to any host all the same, so that the load spreads over all that have a path.
	exploreFraction = 0.2
)

// Host is another host that may take requests.
type Host struct {
	Name string
	Addr string // IP:port
	Key  string // that it asks for
}

// hosts chooses the hosts to which requests are passed on.
type hosts struct {
	mu    sync.Mutex
	known map[string]*hostState // guarded by mu; by name
}

// hostState is what was learned of a host.
type hostState struct {
	open       int       // requests that were passed on to it and have not ended
	avoidUntil time.Time // it took no request
	provenAt   time.Time // it took one
}

// pick returns the less loaded one of two random hosts that are not avoided nor in tried, or false if there is none.
func (s *hosts) pick(all []Host, tried []string, now time.Time) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var proven, others []Host
	for _, h := range all {
		state := s.state(h.Name)
		switch {
		case slices.Contains(tried, h.Name), now.Before(state.avoidUntil):
		case now.Sub(state.provenAt) < provenTime:
			proven = append(proven, h)
		default:
			others = append(others, h)
		}
	}
	from := proven
	if len(proven) == 0 || len(others) > 0 && rand.Float64() < exploreFraction {
		from = others
	}
	if len(from) == 0 {
		return Host{}, false
	}
	a, b := from[rand.IntN(len(from))], from[rand.IntN(len(from))]
	if s.state(b.Name).open < s.state(a.Name).open {
		a = b
	}
	s.state(a.Name).open++
	return a, true
}

// state returns the state of a host. The caller holds mu.
func (s *hosts) state(name string) *hostState {
	state := s.known[name]
	if state == nil {
		state = &hostState{}
		s.known[name] = state
	}
	return state
}

// took records whether a host took the request for which it was picked.
func (s *hosts) took(name string, taken bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.state(name); taken {
		state.provenAt, state.avoidUntil = now, time.Time{}
	} else {
		state.provenAt, state.avoidUntil = time.Time{}, now.Add(avoidTime)
	}
}

// ended records the end of a request that was passed on.
func (s *hosts) ended(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(name).open--
}

// retain forgets the hosts that are not in the list and have no open requests.
func (s *hosts) retain(all []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range s.known {
		if state.open == 0 && !slices.ContainsFunc(all, func(h Host) bool { return h.Name == name }) {
			delete(s.known, name)
		}
	}
}
