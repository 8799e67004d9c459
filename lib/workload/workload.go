// Package workload measures what callers ask for, by model and adapter, whether it can be served or not. It answers
// demand that moves between models within seconds.
package workload

import (
	"math"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/passage"
)

const (
	// averageTime is the time constant of the averages: demand moves to other models over a few seconds.
	averageTime = 1500 * time.Millisecond
	// forgetRate is the rate below which an average is dropped: one request a few time constants ago.
	forgetRate = 0.01
	// readTime is the engine time in milliseconds that a prompt token takes, when parts of most prompts are kept.
	readTime = 0.012
	// writeTime is the engine time in milliseconds that an output token takes in a usual batch of about 20 requests.
	writeTime = 0.3
)

// Cost estimates the engine time of a request in milliseconds, for a model of usual speed.
func Cost(call *passage.Call) float64 {
	out := call.MaxOutput
	if call.OutputHint > 0 {
		out = min(out, call.OutputHint)
	}
	return readTime*float64(call.PromptTokens) + writeTime*float64(out)
}

type average struct {
	value float64
	at    time.Time
}

func (a *average) add(x float64, now time.Time) {
	a.value = a.get(now) + x/averageTime.Seconds()
	a.at = now
}

func (a *average) get(now time.Time) float64 {
	return a.value * math.Exp(-float64(now.Sub(a.at))/float64(averageTime))
}

// Meter is the demand at one host. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	work     map[string]*average // guarded by mu; milliseconds a second, by model
	adapters map[string]*average // guarded by mu; requests a second, by model/adapter
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{work: map[string]*average{}, adapters: map[string]*average{}}
}

// Add counts a request.
func (m *Meter) Add(call *passage.Call, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(m.work, call.Model, Cost(call), now)
	if call.Adapter != "" {
		add(m.adapters, call.Model+"/"+call.Adapter, 1, now)
	}
}

func add(in map[string]*average, key string, x float64, now time.Time) {
	a := in[key]
	if a == nil {
		a = &average{at: now}
		in[key] = a
	}
	a.add(x, now)
}

// Work returns milliseconds of engine time a second by model.
func (m *Meter) Work(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return values(m.work, now)
}

// Adapters returns requests a second by model/adapter.
func (m *Meter) Adapters(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return values(m.adapters, now)
}

func values(in map[string]*average, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for key, a := range in {
		v := a.get(now)
		if v < forgetRate {
			delete(in, key)
			continue
		}
		out[key] = math.Round(v*1000) / 1000
	}
	return out
}
