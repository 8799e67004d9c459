// Package workload measures the demand of callers by model and adapter, whether it can be served or not. The controller
// places models and adapters by it while demand moves between models within seconds.
package workload

import (
	"maps"
	"math"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/passthrough"
)

const (
	// averageTimeConstant is the time constant of the averages; demand moves to other models over a few seconds.
	averageTimeConstant = 1500 * time.Millisecond
	// usualTimeConstant is the time constant of the usual rates of requests.
	usualTimeConstant = 30 * time.Second
	// minUsualRate is the usual rate below which it is dropped, in requests per second.
	minUsualRate = 0.001
	// minAverage is the value below which an average is dropped, in milliseconds or requests per second. A single request
	// falls below it after a few time constants.
	minAverage = 0.01
	// prefillMSPerToken is the engine time in milliseconds for a prompt token, when most prompts are partly cached.
	prefillMSPerToken = 0.012
	// decodeMSPerToken is the engine time in milliseconds for an output token, in a usual batch of about 20 requests.
	decodeMSPerToken = 0.3
)

// AverageTimeConstant is the time constant of the averages that EngineLoad and Adapters return.
const AverageTimeConstant = averageTimeConstant

// CostMS estimates the engine time of a request in milliseconds, for a model of average speed.
func CostMS(call *passthrough.Call) float64 {
	outputTokens := call.MaxOutput
	if call.OutputHint > 0 {
		outputTokens = min(outputTokens, call.OutputHint)
	}
	return prefillMSPerToken*float64(call.PromptTokens) + decodeMSPerToken*float64(outputTokens)
}

// average is an exponentially decaying average of a rate per second.
type average struct {
	value        float64
	updated      time.Time
	timeConstant time.Duration
}

// add counts x at the time now.
func (a *average) add(x float64, now time.Time) {
	a.value = a.get(now) + x/a.timeConstant.Seconds()
	a.updated = now
}

// get returns the average decayed until now.
func (a *average) get(now time.Time) float64 {
	return a.value * math.Exp(-float64(now.Sub(a.updated))/float64(a.timeConstant))
}

// Meter measures the demand at one host. It is safe for concurrent use.
type Meter struct {
	mu         sync.Mutex
	engineLoad map[string]*average // guarded by mu; milliseconds per second, by model
	adapters   map[string]*average // guarded by mu; requests per second, by model/adapter
	usual      map[string]*average // guarded by mu; requests per second over a longer time, by model
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{engineLoad: map[string]*average{}, adapters: map[string]*average{}, usual: map[string]*average{}}
}

// Add counts a request.
func (m *Meter) Add(call *passthrough.Call, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addTo(m.engineLoad, call.Model, CostMS(call), averageTimeConstant, now)
	addTo(m.usual, call.Model, 1, usualTimeConstant, now)
	if call.Adapter != "" {
		addTo(m.adapters, call.Model+"/"+call.Adapter, 1, averageTimeConstant, now)
	}
}

// UsualRate returns the requests for a model per second, averaged over about half a minute.
func (m *Meter) UsualRate(model string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.usual[model]; a != nil {
		return a.get(now)
	}
	return 0
}

// addTo adds x to the average of the key.
func addTo(averages map[string]*average, key string, x float64, timeConstant time.Duration, now time.Time) {
	a := averages[key]
	if a == nil {
		a = &average{updated: now, timeConstant: timeConstant}
		averages[key] = a
	}
	a.add(x, now)
}

// EngineLoad returns the demanded engine time by model, in milliseconds per second.
func (m *Meter) EngineLoad(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.usual, func(_ string, a *average) bool { return a.get(now) < minUsualRate })
	return currentValues(m.engineLoad, now)
}

// Adapters returns the requests per second by model/adapter.
func (m *Meter) Adapters(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return currentValues(m.adapters, now)
}

// currentValues returns the averages decayed until now, rounded to thousandths, and drops those below minAverage.
func currentValues(averages map[string]*average, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for key, a := range averages {
		v := a.get(now)
		if v < minAverage {
			delete(averages, key)
			continue
		}
		out[key] = math.Round(v*1000) / 1000
	}
	return out
}
