// Package brittle knows which services have targets that fall over when they have to turn many requests away. Targets say so in their
// answers; a host that hears it from any of them tells the others, and all keep the requests at such a target within its slots.
//
// The package does no I/O, and takes the time as an argument.
package brittle

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// overlap is how much later than the last answer that states brittleness one that does not may arrive while it lasts: answers cross.
	overlap = time.Second
	// forgetAfter is how long a service counts as brittle if nothing is heard of it.
	forgetAfter = 30 * time.Second
)

// Statement is the latest that is known of a service, as hosts tell it to each other.
type Statement struct {
	AgeMS      int64 `json:"a"`           // since the last answer that stated brittleness
	PlainAgeMS int64 `json:"p,omitempty"` // since the last one that did not; zero: none since
}

// Services are the services with brittle targets. It is safe for concurrent use.
type Services struct {
	mu    sync.Mutex
	known map[string]*state // guarded by mu; by name
}

// state is what is known of a service.
type state struct {
	stated time.Time // when an answer last stated it
	plain  time.Time // when one last did not
}

// New returns services of which none is brittle.
func New() *Services { return &Services{known: map[string]*state{}} }

// Heard records whether an answer states brittleness, and reports whether that is news.
func (s *Services) Heard(service string, brittle bool, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.known[service]
	if st == nil {
		if !brittle {
			return false
		}
		st = &state{}
		s.known[service] = st
	}
	before := st.brittle(now)
	if brittle {
		st.stated = later(st.stated, now)
	} else {
		st.plain = later(st.plain, now)
	}
	return st.brittle(now) != before
}

// brittle reports whether the targets are brittle.
func (st *state) brittle(now time.Time) bool {
	return now.Sub(st.stated) < forgetAfter && st.plain.Sub(st.stated) < overlap
}

// Brittle returns the services that are brittle, in order.
func (s *Services) Brittle(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.known, func(_ string, st *state) bool { return now.Sub(st.stated) >= forgetAfter })
	var out []string
	for name, st := range s.known {
		if st.brittle(now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Statements returns what is known, for other hosts.
func (s *Services) Statements(now time.Time) map[string]Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[string]Statement
	for name, st := range s.known {
		if out == nil {
			out = map[string]Statement{}
		}
		statement := Statement{AgeMS: now.Sub(st.stated).Milliseconds()}
		if st.plain.After(st.stated) {
			statement.PlainAgeMS = max(1, now.Sub(st.plain).Milliseconds())
		}
		out[name] = statement
	}
	return out
}

// Merge applies what another host tells, and reports whether that is news.
func (s *Services) Merge(statements map[string]Statement, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, statement := range statements {
		st := s.known[name]
		if st == nil {
			st = &state{}
			s.known[name] = st
		}
		before := st.brittle(now)
		st.stated = later(st.stated, now.Add(-time.Duration(statement.AgeMS)*time.Millisecond))
		if statement.PlainAgeMS > 0 {
			st.plain = later(st.plain, now.Add(-time.Duration(statement.PlainAgeMS)*time.Millisecond))
		}
		changed = changed || st.brittle(now) != before
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
