package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the planner's thresholds. Utilisation is the fraction of a target's engine time that is used.
type Config struct {
	High          float64       // a model gets another copy if the utilisation of all its targets is above this
	Low           float64       // a copy is removed only if the load on each remaining one stays at or below this
	Gain          float64       // a new copy goes only to a target whose utilisation is lower by this
	Rising        float64       // factor on the load while the short-term demand is over twice the long-term one
	QueueDrain    time.Duration // time in which queued requests are to be served
	MinResidence  time.Duration // time for which a copy stays loaded unless a model below MinCopies needs its memory
	AdapterIdle   float64       // requests a second below which an adapter counts as idle
	PrefillRate   float64       // prompt tokens a second, for targets of unknown rate
	DecodeRate    float64       // output tokens a second, for targets of unknown rate
	QueuedPrompt  float64       // prompt tokens of a queued request of a model without recent requests
	QueuedOutput  float64       // output tokens of a queued request of a model without recent requests
	SpareInFlight int           // model loads in flight from which no copies for a second zone are planned
}

// DefaultConfig returns the default thresholds. High and Low differ enough that a removed copy is not planned again at
// the same demand. Rising compensates for the delay of the short average, which shows 40% of a jump after a second.
func DefaultConfig() Config {
	return Config{
		High: 0.8, Low: 0.45, Gain: 0.57, Rising: 1.5, QueueDrain: 5 * time.Second, MinResidence: 30 * time.Second,
		AdapterIdle: 0.01, PrefillRate: 8000, DecodeRate: 2000, QueuedPrompt: 500, QueuedOutput: 200,
		SpareInFlight: 1,
	}
}

// Planner plans loads and unloads. Between plans it keeps only the rate limit of model loads, which protects the weight
// store. It is not safe for concurrent use.
type Planner struct {
	cfg        Config
	loadTokens float64   // token bucket: model loads that may start as of refilledAt
	refilledAt time.Time // zero before the first plan
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Plan returns the actions to start now, most urgent first. A load is planned only into memory that is free now; if
// memory has to be freed first, one plan has the unload and a later plan the load.
func (p *Planner) Plan(in *Input) []Action {
	w := p.newWorkingState(in)
	p.refillLoadTokens(in)
	w.loadBudget = p.loadBudget(in, w)
	w.copyBudget = w.loadBudget + max(1, in.Limits.FullSpeedLoads)
	budgetBefore := w.loadBudget
	w.removeUnconfigured()
	w.restoreMinCopies()
	w.scaleUp()
	w.placeAdapters(in)
	w.addSecondZones()
	p.loadTokens -= float64(budgetBefore - w.loadBudget)
	slices.SortStableFunc(w.actions, func(a, b Action) int { return cmp.Compare(a.Priority, b.Priority) })
	return w.actions
}

// refillLoadTokens adds the model loads that the weight store's rate limit allows for the time since the last plan.
func (p *Planner) refillLoadTokens(in *Input) {
	burst := math.Max(1, in.Limits.LoadsPerSecond)
	if p.refilledAt.IsZero() {
		p.loadTokens = burst
	} else {
		p.loadTokens = math.Min(burst, p.loadTokens+in.Now.Sub(p.refilledAt).Seconds()*in.Limits.LoadsPerSecond)
	}
	p.refilledAt = in.Now
}

// loadBudget returns the number of model loads that may start. More than FullSpeedLoads at once would slow down all of
// them.
func (p *Planner) loadBudget(in *Input, w *workingState) int {
	freeSlots := max(1, in.Limits.FullSpeedLoads) - w.modelLoadsInFlight
	return max(0, min(freeSlots, int(p.loadTokens+1e-9)))
}
