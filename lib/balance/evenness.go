package balance

import (
	"maps"
	"slices"
	"time"
)

// Copies identifies the targets that have a model loaded, or all targets of a plain service.
type Copies struct {
	Service string
	Model   string // empty for plain services
}

// Evenness tells how evenly the targets are loaded, as far as this host knows.
type Evenness struct {
	// BusiestOverMean is the load of the busiest copy over the mean of all: the engine time for prefill, or the requests in flight at
	// plain services, of all hosts. Copies without load are left out.
	BusiestOverMean map[Copies]float64
	// Speeds are the learned speeds of engines relative to others, by target; only with even load.
	Speeds map[string]float64
	// PrefixRequests counts this host's requests with a shared prefix, and PrefixSpills those of them that were sent to a target other
	// than those that hold the prefix.
	PrefixRequests, PrefixSpills uint64
}

// Evenness returns how evenly the targets are loaded.
func (b *Balancer) Evenness(now time.Time) Evenness {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[Copies][]float64{}
	out := Evenness{
		BusiestOverMean: map[Copies]float64{}, Speeds: map[string]float64{}, PrefixRequests: b.prefixRequests, PrefixSpills: b.prefixSpills,
	}
	for _, t := range b.list {
		models := b.models(t)
		if len(models) == 0 {
			key := Copies{Service: t.info.Service}
			loads[key] = append(loads[key], float64(t.local.Running+t.peers.Running))
			continue
		}
		if b.even {
			out.Speeds[t.info.ID] = t.speed
		}
		for i := range models {
			key := Copies{t.info.Service, models[i].Model}
			loads[key] = append(loads[key], t.localPrefillLoad(now)+float64(t.peers.PrefillMSPerSecond))
		}
	}
	for key, list := range loads {
		total := 0.0
		for _, load := range list {
			total += load
		}
		if total > 0 {
			out.BusiestOverMean[key] = slices.Max(list) / total * float64(len(list))
		}
	}
	maps.DeleteFunc(out.BusiestOverMean, func(key Copies, _ float64) bool { return len(loads[key]) < 2 })
	return out
}
