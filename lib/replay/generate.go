package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario names a kind of generated trace.
type Scenario string

// Scenarios of the generator.
const (
	Steady      Scenario = "steady"       // constant demand
	ModelBurst  Scenario = "model_burst"  // one model at ten times its demand for the middle third
	OverRate    Scenario = "over_rate"    // one organisation at five times its rate
	DemandShift Scenario = "demand_shift" // demand moves from half of the models to the other half
	ZoneLoss    Scenario = "zone_loss"    // a target dies, later an availability zone
	KVOutage    Scenario = "kv_outage"    // the key-value service is down through a burst
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, ModelBurst, OverRate, DemandShift, ZoneLoss, KVOutage}

const (
	popularityExponent = 0.8 // demand of the model of rank n is proportional to n^-0.8
	burstFactor        = 10
	overRateFactor     = 5
	prefixGroups       = 12   // prompt prefixes per model
	adapterShare       = 0.5  // share of requests that use an adapter, where a model has any
	outputSpread       = 0.35 // standard deviation of the logarithm of lengths
)

// Shape is the mean shape of the requests of a generated trace.
type Shape struct {
	Prompt, Prefix, Output float64 // tokens
}

// shapeOf returns the shape for a deployment; it keeps prefill and decode both in use.
func shapeOf(d *Deployment) Shape {
	if d.Targets[0].Slots >= 24 {
		return Shape{Prompt: 1500, Prefix: 1000, Output: 150}
	}
	return Shape{Prompt: 800, Prefix: 500, Output: 60}
}

// Capacity returns the requests of the shape that the targets can answer in a second when prefixes are cached.
func Capacity(d *Deployment, s Shape) float64 {
	total := 0.0
	for i := range d.Targets {
		t := &d.Targets[i]
		decode := float64(t.Slots) / (s.Output * t.FullGapMS / 1000)
		prefill := 1 / ((s.Prompt-s.Prefix)/t.PrefillRate + t.FullGapMS/1000)
		total += min(decode, prefill)
	}
	return total
}

// generator draws the records of one trace.
type generator struct {
	d        *Deployment
	rnd      *rand.Rand
	shape    Shape
	scenario Scenario
	length   time.Duration
	rate     float64 // requests a second over all models
	adapters map[string][]string
	orgShare []float64
}

// Generate returns a trace. Load is the offered share of Capacity at the peak of the scenario; demand above an
// organisation's rate in OverRate comes on top.
func Generate(d *Deployment, scenario Scenario, load float64, length time.Duration, seed uint64) []Record {
	g := &generator{
		d: d, rnd: rand.New(rand.NewPCG(seed, 0)), shape: shapeOf(d), scenario: scenario,
		length: length, adapters: map[string][]string{},
	}
	g.rate = load * Capacity(d, g.shape)
	for _, a := range d.Adapters {
		g.adapters[a.Model] = append(g.adapters[a.Model], a.Name)
	}
	total := 0.0
	for _, o := range d.Organisations {
		g.orgShare = append(g.orgShare, float64(o.Rate))
		total += float64(o.Rate)
	}
	for i := range g.orgShare {
		g.orgShare[i] /= total
	}
	records := g.requests()
	records = append(records, g.faults()...)
	slices.SortStableFunc(records, func(a, b Record) int {
		switch {
		case a.AtMS < b.AtMS:
			return -1
		case a.AtMS > b.AtMS:
			return 1
		}
		return 0
	})
	return records
}

// requests draws a Poisson process for each step of 100 ms, in which demand is constant.
func (g *generator) requests() []Record {
	const step = 100 * time.Millisecond
	peak := 0.0
	for at := time.Duration(0); at < g.length; at += step {
		peak = max(peak, sum(g.demand(at)))
	}
	var out []Record
	for at := time.Duration(0); at < g.length; at += step {
		for m, weight := range g.demand(at) {
			n := g.poisson(weight / peak * g.rate * step.Seconds())
			for range n {
				out = append(out, g.request(at+time.Duration(g.rnd.Float64()*float64(step)), m, -1))
			}
		}
		if g.scenario == OverRate {
			out = append(out, g.excess(at, step)...)
		}
	}
	return out
}

// demand returns the relative demand for each model at the time.
func (g *generator) demand(at time.Duration) []float64 {
	n := len(g.d.Models)
	out := make([]float64, n)
	for m := range out {
		out[m] = math.Pow(float64(m+1), -popularityExponent)
	}
	part := float64(at) / float64(g.length)
	switch g.scenario {
	case ModelBurst:
		if part >= 1.0/3 && part < 2.0/3 {
			out[n/2] *= burstFactor
		}
	case KVOutage:
		if part >= 0.4 && part < 0.6 {
			out[n/2] *= burstFactor
		}
	case DemandShift:
		// Even ranks lose nine tenths of their demand to odd ranks within a fifth of the trace.
		moved := min(max((part-0.4)/0.2, 0), 1)
		for m := range out {
			if m%2 == 0 {
				out[m] *= 1 - 0.9*moved
			} else {
				out[m] *= 0.1 + 0.9*moved
			}
		}
	}
	return out
}

// excess draws the demand above the rate of the smallest organisation.
func (g *generator) excess(at, step time.Duration) []Record {
	last := len(g.d.Organisations) - 1
	perRequest := g.shape.Prompt + g.shape.Output
	rate := float64(g.d.Organisations[last].Rate) / perRequest
	var out []Record
	for range g.poisson(rate * overRateFactor * step.Seconds()) {
		m := g.rnd.IntN(len(g.d.Models))
		out = append(out, g.request(at+time.Duration(g.rnd.Float64()*float64(step)), m, last))
	}
	return out
}

func (g *generator) request(at time.Duration, model, org int) Record {
	m := &g.d.Models[model]
	if org < 0 {
		org = g.organisation()
	}
	r := Record{
		AtMS:         math.Round(float64(at)/float64(time.Millisecond)*1000) / 1000,
		Organisation: g.d.Organisations[org].Name,
		Model:        m.Name,
		Prompt:       g.tokens(g.shape.Prompt),
		Output:       g.tokens(g.shape.Output),
	}
	r.Prefix = fmt.Sprintf("%d.%d", model, g.rnd.IntN(prefixGroups))
	r.PrefixTokens = min(int64(g.shape.Prefix), r.Prompt)
	// Callers ask for somewhat more output than the model generates.
	r.MaxOutput = r.Output + r.Output/4
	if own := g.adapters[m.Name]; len(own) > 0 && g.rnd.Float64() < adapterShare {
		r.Model = own[g.rnd.IntN(len(own))]
	}
	return r
}

func (g *generator) organisation() int {
	x := g.rnd.Float64()
	n := len(g.orgShare)
	if g.scenario == OverRate {
		n-- // the last one's demand comes from excess
		x *= 1 - g.orgShare[n]
	}
	for i := range n {
		if x -= g.orgShare[i]; x < 0 {
			return i
		}
	}
	return n - 1
}

// tokens draws a length in tokens with the mean.
func (g *generator) tokens(mean float64) int64 {
	v := mean * math.Exp(g.rnd.NormFloat64()*outputSpread-outputSpread*outputSpread/2)
	return max(int64(v), 2)
}

func (g *generator) poisson(mean float64) int {
	limit, k, p := math.Exp(-mean), 0, g.rnd.Float64()
	for p > limit {
		k++
		p *= g.rnd.Float64()
	}
	return k
}

func (g *generator) faults() []Record {
	third := float64(g.length.Milliseconds()) / 3
	switch g.scenario {
	case ZoneLoss:
		return []Record{
			{AtMS: third, Type: RecordFault, Fault: FaultTargetDown, Target: g.d.Targets[0].ID, DurationMS: third / 2},
			{AtMS: 2 * third, Type: RecordFault, Fault: FaultZoneDown, Zone: g.d.Targets[1].Zone},
		}
	case KVOutage:
		return []Record{{AtMS: third, Type: RecordFault, Fault: FaultKVDown, DurationMS: third}}
	}
	return nil
}

func sum(v []float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}
