package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the planner's thresholds. Utilisation is the fraction of a target's engine time that is used.
type Config struct {
	ScaleUpUtilisation   float64       // a model gets another copy if the utilisation of all its targets is above this
	ScaleDownUtilisation float64       // a copy is removed only if the load on each remaining one stays at or below this
	MinUtilisationGain   float64       // a new copy goes only to a target whose utilisation is lower by this
	RisingDemandFactor   float64       // factor on the load while the short-term demand is over twice the long-term one
	QueueDrainTime       time.Duration // time in which queued requests are to be served
	MinResidence         time.Duration // time for which a copy stays loaded unless a model below MinCopies needs its memory
	IdleAdapterRate      float64       // requests a second below which an adapter counts as idle
	DefaultPrefillRate   float64       // prompt tokens a second, for targets of unknown rate
	DefaultDecodeRate    float64       // output tokens a second, for targets of unknown rate
	DefaultPromptTokens  float64       // prompt tokens of a queued request of a model without recent requests
	DefaultOutputTokens  float64       // output tokens of a queued request of a model without recent requests
	SecondZoneMaxLoads   int           // model loads in flight from which no copies for a second zone are planned
}

// DefaultConfig returns the default thresholds. ScaleUpUtilisation and ScaleDownUtilisation differ enough that a
// removed copy is not planned again at the same demand. RisingDemandFactor compensates for the delay of the short average,
// which shows 40% of a jump after a second.
func DefaultConfig() Config {
	return Config{
		ScaleUpUtilisation: 0.8, ScaleDownUtilisation: 0.45, MinUtilisationGain: 0.57,
		RisingDemandFactor: 1.5, QueueDrainTime: 5 * time.Second, MinResidence: 30 * time.Second,
		IdleAdapterRate: 0.01, DefaultPrefillRate: 8000, DefaultDecodeRate: 2000,
		DefaultPromptTokens: 500, DefaultOutputTokens: 200, SecondZoneMaxLoads: 1,
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
