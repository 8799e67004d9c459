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
	OverRate    Scenario = "over_rate"    // the last organisation at five times its rate
	DemandShift Scenario = "demand_shift" // demand moves from every second model to the others
	ZoneLoss    Scenario = "zone_loss"    // a target crashes, later all of an availability zone
	KVOutage    Scenario = "kv_outage"    // the key-value service is down during a burst of one model
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, ModelBurst, OverRate, DemandShift, ZoneLoss, KVOutage}

const (
	popularityExponent = 0.8 // demand of the model of rank n is proportional to n^-0.8
	burstFactor        = 10
	overRateFactor     = 5
	prefixGroups       = 12   // distinct prompt prefixes per model
	adapterFraction    = 0.5  // fraction of a model's requests that use an adapter, if it has any
	lengthSigma        = 0.35 // standard deviation of the logarithm of prompt and output lengths
)

// Shape holds the mean lengths of the requests of a generated trace.
type Shape struct {
	Prompt, Prefix, Output float64 // tokens
}

// requestShape returns a shape for the deployment that keeps both prefill and decode busy. Targets with many batch
// slots get longer requests.
func requestShape(d *Deployment) Shape {
	if d.Targets[0].Slots >= 24 {
		return Shape{Prompt: 1500, Prefix: 1000, Output: 150}
	}
	return Shape{Prompt: 800, Prefix: 500, Output: 60}
}

// Capacity returns how many requests of the shape all targets together can answer per second when every prefix is
// cached.
func Capacity(d *Deployment, s Shape) float64 {
	total := 0.0
	for i := range d.Targets {
		t := &d.Targets[i]
		decode := float64(t.Slots) / (s.Output * t.FullGapMS / 1000)
		prefill := 1 / ((s.Prompt-s.Prefix)/t.PrefillTokensPerSecond + t.FullGapMS/1000)
		total += min(decode, prefill)
	}
	return total
}

// generator draws the records of one trace. The order of its random draws determines the trace of a seed.
type generator struct {
	deployment      *Deployment
	rng             *rand.Rand
	shape           Shape
	scenario        Scenario
	length          time.Duration
	requestRate     float64 // requests per second over all models
	adaptersByModel map[string][]string
	orgFractions    []float64
}

// Generate returns a trace in order of time. Load is the offered load at the peak of the scenario as a fraction of
// Capacity; the excess demand of one organisation in OverRate comes on top. Equal arguments give equal traces.
func Generate(d *Deployment, scenario Scenario, load float64, length time.Duration, seed uint64) []Record {
	g := &generator{
		deployment: d, rng: rand.New(rand.NewPCG(seed, 0)), shape: requestShape(d), scenario: scenario,
		length: length, adaptersByModel: map[string][]string{},
	}
	g.requestRate = load * Capacity(d, g.shape)
	for _, a := range d.Adapters {
		g.adaptersByModel[a.Model] = append(g.adaptersByModel[a.Model], a.Name)
	}
	total := 0.0
	for _, o := range d.Organisations {
		g.orgFractions = append(g.orgFractions, float64(o.Rate))
		total += float64(o.Rate)
	}
	for i := range g.orgFractions {
		g.orgFractions[i] /= total
	}
	records := g.drawRequests()
	records = append(records, g.faultRecords()...)
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

// drawRequests draws the requests of all models. Arrivals are Poisson processes; demand is constant within a step.
func (g *generator) drawRequests() []Record {
	const step = 100 * time.Millisecond
	peak := 0.0
	for at := time.Duration(0); at < g.length; at += step {
		peak = max(peak, sum(g.relativeDemand(at)))
	}
	var out []Record
	for at := time.Duration(0); at < g.length; at += step {
		for m, weight := range g.relativeDemand(at) {
			n := g.drawPoisson(weight / peak * g.requestRate * step.Seconds())
			for range n {
				out = append(out, g.drawRequest(at+time.Duration(g.rng.Float64()*float64(step)), m, -1))
			}
		}
		if g.scenario == OverRate {
			out = append(out, g.drawExcessRequests(at, step)...)
		}
	}
	return out
}

// relativeDemand returns the demand for each model at the time, up to a common factor.
func (g *generator) relativeDemand(at time.Duration) []float64 {
	n := len(g.deployment.Models)
	out := make([]float64, n)
	for m := range out {
		out[m] = math.Pow(float64(m+1), -popularityExponent)
	}
	elapsedFraction := float64(at) / float64(g.length)
	switch g.scenario {
	case ModelBurst:
		if elapsedFraction >= 1.0/3 && elapsedFraction < 2.0/3 {
			out[n/2] *= burstFactor
		}
	case KVOutage:
		if elapsedFraction >= 0.4 && elapsedFraction < 0.6 {
			out[n/2] *= burstFactor
		}
	case DemandShift:
		// Models of even index lose nine tenths of their demand within a fifth of the trace, while those of odd index
		// rise from one tenth to their full demand.
		moved := min(max((elapsedFraction-0.4)/0.2, 0), 1)
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

// drawExcessRequests draws the requests of the last organisation in OverRate, which exceed its rate.
func (g *generator) drawExcessRequests(at, step time.Duration) []Record {
	last := len(g.deployment.Organisations) - 1
	perRequest := g.shape.Prompt + g.shape.Output
	rate := float64(g.deployment.Organisations[last].Rate) / perRequest
	var out []Record
	for range g.drawPoisson(rate * overRateFactor * step.Seconds()) {
		m := g.rng.IntN(len(g.deployment.Models))
		out = append(out, g.drawRequest(at+time.Duration(g.rng.Float64()*float64(step)), m, last))
	}
	return out
}

// drawRequest draws a request for the model of the given index. A negative org draws the organisation as well.
func (g *generator) drawRequest(at time.Duration, model, org int) Record {
	m := &g.deployment.Models[model]
	if org < 0 {
		org = g.drawOrganisation()
	}
	r := Record{
		AtMS:         math.Round(float64(at)/float64(time.Millisecond)*1000) / 1000,
		Organisation: g.deployment.Organisations[org].Name,
		Model:        m.Name,
		PromptTokens: g.drawTokenCount(g.shape.Prompt),
		OutputTokens: g.drawTokenCount(g.shape.Output),
	}
	r.Prefix = fmt.Sprintf("%d.%d", model, g.rng.IntN(prefixGroups))
	r.PrefixTokens = min(int64(g.shape.Prefix), r.PromptTokens)
	// Callers ask for somewhat more output than the model generates.
	r.MaxOutputTokens = r.OutputTokens + r.OutputTokens/4
	if adapters := g.adaptersByModel[m.Name]; len(adapters) > 0 && g.rng.Float64() < adapterFraction {
		r.Model = adapters[g.rng.IntN(len(adapters))]
	}
	return r
}

// drawOrganisation draws the index of an organisation with a probability proportional to its rate.
func (g *generator) drawOrganisation() int {
	x := g.rng.Float64()
	n := len(g.orgFractions)
	if g.scenario == OverRate {
		n-- // drawExcessRequests draws the requests of the last organisation
		x *= 1 - g.orgFractions[n]
	}
	for i := range n {
		if x -= g.orgFractions[i]; x < 0 {
			return i
		}
	}
	return n - 1
}

// drawTokenCount draws a log-normally distributed length with the given mean, at least two tokens.
func (g *generator) drawTokenCount(mean float64) int64 {
	v := mean * math.Exp(g.rng.NormFloat64()*lengthSigma-lengthSigma*lengthSigma/2)
	return max(int64(v), 2)
}

// drawPoisson draws from a Poisson distribution with Knuth's multiplication method.
func (g *generator) drawPoisson(mean float64) int {
	limit, k, p := math.Exp(-mean), 0, g.rng.Float64()
	for p > limit {
		k++
		p *= g.rng.Float64()
	}
	return k
}

func (g *generator) faultRecords() []Record {
	third := float64(g.length.Milliseconds()) / 3
	switch g.scenario {
	case ZoneLoss:
		return []Record{
			{AtMS: third, Type: RecordFault, Fault: FaultTargetDown, Target: g.deployment.Targets[0].ID, DurationMS: third / 2},
			{AtMS: 2 * third, Type: RecordFault, Fault: FaultZoneDown, Zone: g.deployment.Targets[1].Zone},
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
