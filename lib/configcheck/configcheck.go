// Package configcheck finds mistakes in a configuration before it is in force, and tells what it changes. It deals with entries that
// can never match, names that don't exist, and limits that contradict each other: hosts install such a configuration as it is.
//
// The package knows no format. Line numbers and the names of fields come from the caller.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/catalog"
)

// Level states how bad a finding is.
type Level string

// Levels of findings.
const (
	Error   Level = "error"   // hosts do not install the configuration, or an entry cannot work
	Warning Level = "warning" // an entry has no effect, or not the one that it states
)

// Kind is a kind of entries of a configuration.
type Kind string

// Kinds of entries.
const (
	Route        Kind = "route"
	Service      Kind = "service"
	Model        Kind = "model" // of a service
	Organisation Kind = "organisation"
)

// Fields of entries.
const (
	FieldName           = "name"
	FieldPrefix         = "prefix"
	FieldSplit          = "split"
	FieldTimeout        = "timeout"
	FieldModels         = "models"
	FieldWeights        = "weights"
	FieldLoadsPerSecond = "loads_per_second"
	FieldKeys           = "keys"
	FieldBurst          = "burst"
)

// Place names a field of an entry.
type Place struct {
	Kind  Kind
	Index int    // of the entry in its list; of the service for a model
	Name  string // of the entry
	Field string // empty: the entry itself
}

// Finding is one mistake.
type Finding struct {
	Level   Level  `json:"level"`
	Line    int    `json:"line,omitempty"` // from 1; 0 if it is not known
	Entry   string `json:"entry,omitempty"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Source is the file of the configuration.
type Source interface {
	// Locate returns the line and the name of a field in the file; line 0 if the file does not state it.
	Locate(p Place) (line int, field string)
}

// checker collects findings.
type checker struct {
	source Source
	out    []Finding
}

func (c *checker) add(level Level, p Place, problem, remedy string) {
	line, field := c.source.Locate(p)
	c.out = append(c.out, Finding{level, line, string(p.Kind) + " " + p.Name, field, problem, remedy})
}

// Check returns the mistakes in a configuration that hosts would install, by line.
func Check(c *catalog.Catalog, source Source) []Finding {
	k := &checker{source: source}
	k.checkRoutes(c)
	k.checkServices(c)
	k.checkOrganisations(c)
	slices.SortStableFunc(k.out, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return k.out
}

func (k *checker) checkRoutes(c *catalog.Catalog) {
	names, matches := map[string]bool{}, map[string]string{}
	for i, r := range c.Routes {
		at := func(field string) Place { return Place{Route, i, r.Name, field} }
		if names[r.Name] {
			k.add(Error, at(FieldName), "another route has the same name", "give each route a name of its own")
		}
		names[r.Name] = true
		match := strings.ToLower(r.Host) + r.Prefix
		if first, taken := matches[match]; taken {
			k.add(Warning, at(FieldPrefix), fmt.Sprintf("never matches: route %s has the same host and prefix and comes first", first),
				"remove one of them, or give this one a longer prefix")
		} else {
			matches[match] = r.Name
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			k.add(Warning, at(FieldPrefix), fmt.Sprintf("never matches: no path begins with %q", r.Prefix), "begin the prefix with a slash")
		}
		k.checkSplit(c, r, at(FieldSplit))
		switch {
		case r.Timeout <= 0:
			k.add(Error, at(FieldTimeout), "requests have no time", "state the time until the response must be complete")
		case r.Timeout < r.Objective:
			k.add(Warning, at(FieldTimeout), fmt.Sprintf("the timeout of %s is below the latency aim of %s", r.Timeout, r.Objective),
				"raise the timeout above the aim, or lower the aim")
		}
	}
}

func (k *checker) checkSplit(c *catalog.Catalog, r *catalog.Route, at Place) {
	total := 0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	for _, s := range r.Split {
		switch {
		case c.Service(s.Service) == nil:
			k.add(Error, at, fmt.Sprintf("service %q does not exist: requests to it are refused", s.Service), "name a service of the configuration, or add it")
		case s.Weight < 0:
			k.add(Error, at, fmt.Sprintf("the weight of service %s is negative", s.Service), "state weights of 0 or more")
		case s.Weight == 0 && total > 0:
			k.add(Warning, at, fmt.Sprintf("service %s has weight 0 and gets no requests", s.Service), "remove the share, or raise its weight")
		}
	}
	if total == 0 && len(r.Split) > 1 {
		k.add(Warning, at, "all weights are 0: the last service gets all requests", "state the weights")
	}
}

func (k *checker) checkServices(c *catalog.Catalog) {
	routed, names := map[string]bool{}, map[string]bool{}
	for _, r := range c.Routes {
		for _, s := range r.Split {
			routed[s.Service] = true
		}
	}
	for i, s := range c.Services {
		at := func(field string) Place { return Place{Service, i, s.Name, field} }
		if names[s.Name] {
			k.add(Error, at(FieldName), "another service has the same name: the last one counts", "give each service a name of its own")
		}
		names[s.Name] = true
		if !routed[s.Name] {
			k.add(Warning, at(""), "no route leads to it", "add a route, or remove the service")
		}
		if s.Engine == nil {
			continue
		}
		if len(s.Engine.Models) == 0 {
			k.add(Warning, at(FieldModels), "its engines have no models: requests that name one are refused", "state its models")
		} else if s.Engine.LoadsPerSecond <= 0 {
			k.add(Warning, at(FieldLoadsPerSecond), "no loads from the weight store are permitted: models are hardly loaded", "state the permitted rate of loads")
		}
		memoryMB := s.Engine.ModelMemoryMB()
		for _, m := range sortedModels(s.Engine) {
			if m.WeightsMB > memoryMB {
				k.add(Error, Place{Model, i, m.Name, FieldWeights},
					fmt.Sprintf("%.0f MB do not fit into the %.0f MB that a target of %s has for models: it is never loaded", m.WeightsMB, memoryMB, s.Name),
					"use targets with more memory or fewer adapter slots, or remove the model")
			}
		}
	}
}

// sortedModels returns the models of an engine by name.
func sortedModels(e *catalog.Engine) (out []*catalog.Model) {
	for _, m := range e.Models {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *catalog.Model) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (k *checker) checkOrganisations(c *catalog.Catalog) {
	holders, names := map[string]string{}, map[string]bool{}
	for i, o := range c.Organisations {
		at := func(field string) Place { return Place{Organisation, i, o.Name, field} }
		if names[o.Name] {
			k.add(Error, at(FieldName), "another organisation has the same name: they share one limit", "give each organisation a name of its own")
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			k.add(Warning, at(FieldKeys), "it has no keys: nobody can send requests for it", "add a key, or remove the organisation")
		}
		for _, key := range o.Keys {
			if other, taken := holders[key]; taken {
				k.add(Error, at(FieldKeys), fmt.Sprintf("one of its keys is also a key of organisation %s", other), "issue a new key for one of them")
			}
			holders[key] = o.Name
		}
		if o.Rate > 0 && o.Burst < max(1, float64(o.PlainTokens)) {
			k.add(Warning, at(FieldBurst),
				fmt.Sprintf("the burst of %.0f tokens is below what a request without token counts takes (%d): it is always refused", o.Burst, max(1, o.PlainTokens)),
				"raise the burst to that of the largest request at least")
		}
	}
}

// CheckSuccessor returns the mistakes of a configuration that is to replace another one.
func CheckSuccessor(before, after *catalog.Catalog) []Finding {
	if after.Version > before.Version || len(Compare(before, after)) == 0 {
		return nil
	}
	return []Finding{{
		Level: Error, Entry: "configuration", Field: "version",
		Problem: fmt.Sprintf("version %d is not above version %d in force: hosts never install it", after.Version, before.Version), Remedy: "raise the version",
	}}
}

// Change is a difference between two configurations.
type Change struct {
	Entry  string `json:"entry"`
	Field  string `json:"field,omitempty"` // empty: the whole entry
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Compare returns what the configuration after changes in before, by kind and name of the entries. Keys are counted, not shown.
func Compare(before, after *catalog.Catalog) []Change {
	a, b := describe(before), describe(after)
	entries := map[string]bool{}
	for entry := range a {
		entries[entry] = true
	}
	for entry := range b {
		entries[entry] = true
	}
	var out []Change
	for entry := range entries {
		switch {
		case a[entry] == nil:
			out = append(out, Change{Entry: entry, After: "added"})
		case b[entry] == nil:
			out = append(out, Change{Entry: entry, After: "removed"})
		default:
			for i, field := range a[entry] {
				if other := b[entry][i]; field.value != other.value {
					out = append(out, Change{entry, field.name, field.shown, other.shown})
				}
			}
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		return cmp.Or(strings.Compare(x.Entry, y.Entry), strings.Compare(x.Field, y.Field))
	})
	return out
}

// field is a field of an entry; shown is its value as it may be printed.
type field struct{ name, value, shown string }

// describe returns the fields of all entries of a configuration, in the same order for all entries of a kind.
func describe(c *catalog.Catalog) map[string][]field {
	out := map[string][]field{"configuration": fields("version", c.Version)}
	for _, r := range c.Routes {
		out["route "+r.Name] = fields("host", r.Host, "prefix", r.Prefix, "kind", r.Kind, "timeout", r.Timeout, "objective", r.Objective, "max gap", r.MaxGap,
			"priority", r.Priority, "split", r.Split, "max attempts", r.MaxAttempts, "public", r.Public, "resumable", r.Resumable)
	}
	for _, s := range c.Services {
		var e catalog.Engine
		if s.Engine != nil {
			e = *s.Engine
		}
		out["service "+s.Name] = fields("max connections", s.MaxConns, "engine", s.Engine != nil, "slots", e.Slots, "cache tokens", e.CacheTokens,
			"memory MB", e.MemoryMB, "adapter slots", e.AdapterSlots, "loads per second", e.LoadsPerSecond)
		for _, m := range e.Models {
			out["model "+s.Name+"/"+m.Name] = fields("weights MB", m.WeightsMB, "load time", m.StoreLoadTime, "disk load time", m.DiskLoadTime,
				"adapters", len(m.Adapters), "adapter MB", m.AdapterMB)
		}
	}
	for _, o := range c.Organisations {
		list := fields("priority", priority(o), "rate", o.Rate, "burst", o.Burst, "plain tokens", o.PlainTokens)
		keys := slices.Sorted(slices.Values(o.Keys))
		out["organisation "+o.Name] = append(list, field{"keys", strings.Join(keys, "\n"), fmt.Sprintf("%d keys", len(keys))})
	}
	return out
}

func priority(o *catalog.Organisation) string {
	if !o.HasPriority {
		return "of the route"
	}
	return fmt.Sprint(o.Priority)
}

// fields returns the fields of a list of names and values.
func fields(namesAndValues ...any) (out []field) {
	for i := 0; i < len(namesAndValues); i += 2 {
		value := fmt.Sprint(namesAndValues[i+1])
		if d, ok := namesAndValues[i+1].(time.Duration); ok {
			value = d.String()
		}
		out = append(out, field{namesAndValues[i].(string), value, value})
	}
	return out
}
