// Package catalog holds the configuration in force: routes, services, organisations and limits. A Catalog is immutable.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind states whether a request may run more than once, and whether its answer is a stream.
type Kind uint8

// Kinds of routes.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run again on another target
	Stream                    // the answer is a stream of events; runs at most once unless the route is resumable
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Share is a service of a route and its weight in the split of the route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route states which requests go to which service, and their limits.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // time until the answer must be complete
	Objective   time.Duration // latency up to which an answer is in time: of the whole answer, or of a stream's first event
	MaxGap      time.Duration // longest pause between events of a stream that is still in time
	Patience    time.Duration // silence after which callers give up a stream, also before its first event; zero: the deadline
	Priority    int           // 0 is the most urgent
	Split       []Share       // at least one service
	MaxAttempts int           // number of targets that may run one request
	Public      bool          // callers need no key
	Resumable   bool          // a stream may resume at another target
	// AllowedRegions are the regions whose targets may get the requests; empty: all.
	AllowedRegions []string
}

// Repeatable reports whether a request may run on more than one target.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name          string
	WeightsMB     float64       // size of the weights
	StoreLoadTime time.Duration // load time from the weight store
	DiskLoadTime  time.Duration // load time from the target's disk
	AdapterMB     float64       // size of one adapter
	Adapters      []string
}

// Engine describes the engines of a service.
type Engine struct {
	Slots          int     // most requests in one batch
	CacheTokens    int64   // size of the KV cache
	MemoryMB       float64 // memory for weights and adapters together
	AdapterSlots   int     // most adapters loaded at once
	LoadsPerSecond float64 // loads from the weight store, over all targets
	Models         map[string]*Model
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name     string
	MaxConns int     // connections that each target accepts from all hosts together; zero: not limited
	Engine   *Engine // nil for a plain service
	// ColdStart is how long a target is cold after its start, and ColdPerSecond the requests a second that a cold target takes from all
	// hosts together. If either is zero no target is cold.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Organisation is a customer with its keys and limits.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int // replaces the route's priority if HasPriority
	HasPriority bool
	Rate        float64 // tokens per second over all hosts; zero: unlimited
	Burst       float64 // capacity of the token bucket, in tokens
	PlainTokens int64   // tokens charged for a request that states no token counts
	// AllowedRegions are the regions whose targets may get the organisation's requests; empty: all.
	AllowedRegions []string
}

// AllowedRegions returns the regions that both the route and the organisation, which may be nil, allow; nil: all. ok is false if they
// have none in common.
func AllowedRegions(r *Route, o *Organisation) (regions []string, ok bool) {
	if len(r.AllowedRegions) > 0 {
		regions = r.AllowedRegions
	}
	if o == nil || len(o.AllowedRegions) == 0 {
		return regions, true
	}
	if regions == nil {
		return o.AllowedRegions, true
	}
	regions = slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return !slices.Contains(o.AllowedRegions, region) })
	return regions, len(regions) > 0
}

// Content is the content of a catalog.
type Content struct {
	Version       int64
	Routes        []*Route
	Services      []*Service
	Organisations []*Organisation
	Limits        Limits
}

// Catalog is one version of the configuration.
type Catalog struct {
	Content
	services map[string]*Service
	keys     map[string]*Organisation
	named    map[string]*Organisation
	routes   map[string][]*Route // by host, longest prefix first
}

// New returns a catalog of the content. Of services with the same name, or organisations with the same key, the last counts.
func New(c Content) *Catalog {
	out := &Catalog{
		Content: c, services: map[string]*Service{}, keys: map[string]*Organisation{}, named: map[string]*Organisation{}, routes: map[string][]*Route{},
	}
	for _, s := range c.Services {
		out.services[s.Name] = s
	}
	for _, o := range c.Organisations {
		out.named[o.Name] = o
		for _, key := range o.Keys {
			out.keys[key] = o
		}
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		out.routes[host] = append(out.routes[host], r)
	}
	for _, list := range out.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return out
}

// Match returns the route with the longest prefix of the path, or nil. The host may carry a port.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Organisation returns the organisation with the key, or nil.
func (c *Catalog) Organisation(key string) *Organisation { return c.keys[key] }

// OrganisationNamed returns the organisation of that name, or nil.
func (c *Catalog) OrganisationNamed(name string) *Organisation { return c.named[name] }

// RequiresKeys reports whether requests on routes that are not public need a key.
func (c *Catalog) RequiresKeys() bool { return len(c.Organisations) > 0 }

// PickService returns the service for a request on the route, split by weight; pick is a random number, uniform in [0, 1).
func (r *Route) PickService(pick float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := pick * float64(total)
	for _, s := range r.Split {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Services returns the services to which the route leads.
func (r *Route) Services() (out []string) {
	for _, s := range r.Split {
		if s.Weight > 0 || len(r.Split) == 1 {
			out = append(out, s.Service)
		}
	}
	return out
}

// ModelMemoryMB returns the memory in MB that a target has for models: its memory less that of its adapter slots, each as large
// as the largest configured adapter.
func (e *Engine) ModelMemoryMB() float64 {
	largest := 0.0
	for _, m := range e.Models {
		if len(m.Adapters) > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return e.MemoryMB - float64(e.AdapterSlots)*largest
}
